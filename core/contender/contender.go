// Package contender decides when a host becomes the controller and how long it may act as one.
//
// The controller needs a lease, which is based on a record in the platform's store. The holder rewrites the record
// every RenewInterval. Its lease lasts for LeaseDuration from the time at which the last confirmed write was sent.
// Another host takes over the record in one of these cases:
//
//   - It has seen the same revision for longer than LeaseDuration.
//   - The remaining time of the lease that the holder sent has passed without a newer revision.
//   - The holder has resigned, or its process is known to have stopped.
//
// Each takeover is a conditional write, so the store alone orders the terms.
//
// # Generations of the store
//
// The store may come back from a copy of itself. It is then of a later generation, and revisions are given out again. The record
// names the generation in which it was written. One of a former generation is from a copy, or from a write that was carried out
// late, and does not show who has the lease:
//
//   - The holder goes on if it notices the later generation while its lease is valid, because no other host can have taken over in
//     the former one. It writes the record again.
//   - Any other host waits for LeaseDuration from when it first saw the record in the present generation. All leases of former
//     generations have ended by then.
//   - A write counts only if the store was of the generation that the record names.
//   - After a return from a copy, terms are reserved before they are used, above FirstTerm of the generation. The store may have
//     lost terms of former generations, and the record does not always have the highest term of the present one, because a late
//     write can replace it. The counter of reserved terms is an object of its own for each generation, which no write of a former
//     one changes.
//
// A store that does not name its generation is of generation 0, and the record always is of the present one.
//
// # Usage
//
//	c := contender.New(now, contender.Options{Name: "host-1"})
//	for _, action := range c.Step(now, event) { ... }
//
// Times are durations since an arbitrary origin. They must include time during which the host was suspended. Otherwise
// a holder would still act after a suspension that outlasted its lease.
package contender

import "time"

// Timing of the protocol.
const (
	// LeaseDuration is the duration of the lease after a confirmed write. It spans four renewals, so the holder keeps its
	// lease after three lost responses in a row.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the time between two writes of the holder.
	RenewInterval = 500 * time.Millisecond
	// SafetyMargin is added to times of another host for the delay between deciding and sending. The clock drift between
	// two hosts (2%) is added separately.
	SafetyMargin = 150 * time.Millisecond
	// ReadInterval is the time between two reads of the record while no heartbeat arrives.
	ReadInterval = 400 * time.Millisecond
	// HeartbeatTimeout is how long a follower waits for a heartbeat before it reads the record: two missed heartbeats.
	HeartbeatTimeout = 600 * time.Millisecond
	// MaxBackoff limits the time between two calls of a host whose calls fail. The platform charges for each call, even
	// for a rejected one, so failing hosts back off. The limit is short because the first host whose backoff ends becomes
	// controller.
	MaxBackoff = 1600 * time.Millisecond
	// VacancyTimeout is how long a host that leaves the role to others waits for a controller. It is twice the longest delay of
	// a candidate, qualifier.MaxDelay, so a host that takes the role has done so by then.
	VacancyTimeout = 2400 * time.Millisecond
	// UninformedDelay is added to the delay of a takeover from a copy by a host that no holder has sent anything. Other hosts know
	// later owners of keys than the copy.
	UninformedDelay = 600 * time.Millisecond
	// maxBackoffDoublings is the number of doublings of ReadInterval that reaches MaxBackoff.
	maxBackoffDoublings = 2
	// RenewalOverdueAge is the age of the last confirmed write from which the holder expects an outage of the store.
	RenewalOverdueAge = 900 * time.Millisecond
)

// Contender is the state of one host. It is not safe for concurrent use.
type Contender struct {
	options    Options
	generation int64 // the latest known one of the store
	// record is the lease record of which this host has the latest knowledge. After the generation has changed, the revision
	// is that of the stored record, and the rest stays that of the last holder, see applyFormerRecord.
	record      Record
	recordKnown bool
	// isCurrent is set if the revision of record was seen in the present generation.
	isCurrent      bool
	highestTerm    uint64        // of all terms that this host has seen, including those of former generations
	reservedTerm   uint64        // for a takeover from the present revision of record; 0: none
	ledTerm        uint64        // the last term in which this host has led
	reserving      bool          // a call that reserves a term for the present revision of record is pending
	informed       bool          // this host has received something of a holder, or was one
	revisionSeenAt time.Duration // time at which the revision of record was first seen
	heartbeatAt    time.Duration // time of the last heartbeat or announcement; 0: none, or its holder has stopped
	confirmedAt    time.Duration // time at which the last confirmed write was sent
	holder         bool
	stoppedTerm    uint64        // last term whose holder is known to have stopped
	leaseEnd       time.Duration // end of the other holder's lease if the revision stays the same; 0: unknown
	failedCalls    int           // consecutive failed calls
	callPending    bool
	nextCall       time.Duration // earliest time of the next call
	resigned       bool
	resignedAt     time.Duration // time of the last Resign
	returnAt       time.Duration // from which a host that has resigned may take over again; 0: never
}

// New returns the state of a host that has not read the record. It first reads the record after its delay, so that most
// hosts find a holder with their first call when all hosts start together.
func New(now time.Duration, options Options) *Contender {
	return &Contender{options: options, nextCall: now + options.Delay}
}

// Name returns the name of this host.
func (c *Contender) Name() string { return c.options.Name }

// Valid reports whether this host has a valid lease at now and may act as controller.
func (c *Contender) Valid(now time.Duration) bool {
	return c.holder && !c.resigned && now < c.confirmedAt+LeaseDuration
}

// RenewalOverdue reports whether the holder should prepare for an outage of the store.
func (c *Contender) RenewalOverdue(now time.Duration) bool {
	return c.holder && now >= c.confirmedAt+RenewalOverdueAge
}

// LeaseStatus returns the status that the holder sends to other hosts.
func (c *Contender) LeaseStatus(now time.Duration) LeaseStatus {
	return LeaseStatus{
		Term: c.record.Term, Generation: c.record.Generation, Origin: c.record.Origin, Revision: c.record.Revision, Remaining: c.Remaining(now),
	}
}

// Remaining returns the remaining time of the lease. It is negative after the lease has expired.
func (c *Contender) Remaining(now time.Duration) time.Duration {
	return c.confirmedAt + LeaseDuration - now
}

// IsHolder reports whether this host holds the record, as far as it knows, even if the lease has expired.
func (c *Contender) IsHolder() bool { return c.holder }

// HasResigned reports whether this host was the last holder and has given up the lease.
func (c *Contender) HasResigned() bool {
	return c.record.Resigned && c.record.Holder == c.options.Name
}

// Declines reports whether this host has resigned and does not take the role at present.
func (c *Contender) Declines() bool { return c.resigned }

// Term returns the last known term.
func (c *Contender) Term() uint64 { return c.record.Term }

// Generation returns the latest known generation of the store.
func (c *Contender) Generation() int64 { return c.generation }

// IsFirstTerm reports whether this host leads in the first term of all hosts, so that there was no holder before.
func (c *Contender) IsFirstTerm() bool {
	return c.holder && c.options.FirstStart && c.record.Term == FirstTerm(c.record.Origin)+1
}

// Step applies event at now and returns the actions to take, in order.
func (c *Contender) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case GenerationObserved:
		c.observeGeneration(now, event.Generation)
	case HeartbeatReceived:
		c.applyLeaseStatus(now, event.Lease)
	case AnnouncementReceived:
		if event.Lease.Term <= c.record.Term {
			return nil
		}
		c.observeGeneration(now, event.Lease.Generation)
		c.heartbeatAt = now
		record := Record{
			Revision: event.Lease.Revision, Generation: event.Lease.Generation, Origin: event.Lease.Origin, Holder: event.Holder,
			Address: event.Address, Term: event.Lease.Term,
		}
		if event.Lease.Generation < c.generation {
			// The holder has not written the record in the present generation yet.
			return c.follow(now, record)
		}
		actions := c.applyRecord(now, record)
		c.applyLeaseStatus(now, event.Lease)
		return actions
	case HolderStopped:
		c.recordStopped(now, event.Term)
	case HolderResigned:
		// With the revision, the first attempt to take over succeeds.
		c.applyLeaseStatus(now, event.Lease)
		c.recordStopped(now, event.Lease.Term)
	case Resign:
		c.resigned, c.resignedAt = true, now
		c.returnAt = 0
		if event.Pause > 0 {
			c.returnAt = now + event.Pause
		}
	case ReadResult:
		c.callPending = false
		if event.Err == nil {
			return c.applyResponse(now, event.Generation, event.Record)
		}
		c.failedCalls++
	case WriteResult:
		c.callPending = false
		return c.handleWriteResult(now, event)
	case TermReserved:
		c.callPending = false
		c.observeGeneration(now, event.Generation)
		if event.Err != nil {
			c.failedCalls++
		} else if c.reserving && event.Generation == c.generation {
			c.reservedTerm = event.Term
			c.nextCall = now
		}
		c.reserving = false
	}
	return c.act(now)
}

func (c *Contender) recordStopped(now time.Duration, term uint64) {
	if term >= c.record.Term {
		c.stoppedTerm = term
		c.heartbeatAt = 0
		c.nextCall = now
	}
}

// seeRevision records that the stored record has another revision than before.
func (c *Contender) seeRevision(now time.Duration) {
	c.revisionSeenAt = now
	c.leaseEnd = 0
	c.reservedTerm, c.reserving = 0, false
}

// applyLeaseStatus applies a status from the holder. As long as the record stays at the revision of the status, the
// lease ends after the remaining time of the status, because a newer renewal would have changed the revision.
func (c *Contender) applyLeaseStatus(now time.Duration, lease LeaseStatus) {
	c.observeGeneration(now, lease.Generation)
	if lease.Term < c.record.Term {
		return
	}
	c.heartbeatAt = now
	c.failedCalls = 0
	c.informed = true
	c.highestTerm = max(c.highestTerm, lease.Term)
	if lease.Term > c.record.Term || lease.Generation < c.generation || c.isCurrent && lease.Revision < c.record.Revision {
		return
	}
	if !c.isCurrent || lease.Revision > c.record.Revision {
		c.record.Revision = lease.Revision
		c.seeRevision(now)
	}
	c.record.Generation, c.record.Origin = lease.Generation, lease.Origin
	c.isCurrent = true
	c.leaseEnd = now + withMargin(lease.Remaining)
}

// withMargin adds the maximum clock drift (2%) and SafetyMargin to a duration that another host measured.
func withMargin(d time.Duration) time.Duration { return d + d/50 + SafetyMargin }

func (c *Contender) act(now time.Duration) []Action {
	if c.callPending || now < c.nextCall {
		return nil
	}
	if c.resigned && !c.holder && c.returnAt > 0 && now >= min(c.returnAt, c.vacantAt()) {
		c.resigned = false
	}
	switch {
	case c.holder && c.resigned && c.record.Resigned:
		return nil
	case c.holder && !c.isCurrent:
		return c.read(now)
	case c.holder:
		record := c.record
		record.Generation, record.Resigned = c.generation, c.resigned
		return c.write(now, record)
	case c.resigned:
		return nil
	case c.recordKnown && c.heartbeatAt > 0 && now < c.heartbeatAt+HeartbeatTimeout:
		return nil
	case !c.recordKnown || !c.isCurrent:
		return c.read(now)
	case c.mayTakeOver(now):
		return c.takeOver(now)
	case c.vacant():
		c.nextCall = c.revisionSeenAt + c.options.Delay
		return nil
	default:
		return c.read(now)
	}
}

// vacantAt returns from when a host that has resigned assumes that no other host takes the role.
func (c *Contender) vacantAt() time.Duration {
	return max(c.resignedAt, c.revisionSeenAt, c.heartbeatAt) + VacancyTimeout
}

// vacant reports whether no host can have the lease.
func (c *Contender) vacant() bool {
	if c.isFormer() {
		return c.isFirst()
	}
	return c.record.Revision == 0 || c.record.Resigned || c.stoppedTerm == c.record.Term
}

func (c *Contender) mayTakeOver(now time.Duration) bool {
	if c.vacant() {
		return now >= c.revisionSeenAt+c.options.Delay
	}
	end := c.revisionSeenAt + withMargin(LeaseDuration)
	if c.leaseEnd > 0 {
		end = min(end, c.leaseEnd)
	}
	if c.isFormer() && !c.informed {
		end += UninformedDelay
	}
	return now >= end+c.options.Delay
}

func (c *Contender) read(now time.Duration) []Action {
	c.callPending = true
	c.nextCall = now + c.callInterval(ReadInterval)
	return []Action{Read{}}
}

func (c *Contender) write(now time.Duration, record Record) []Action {
	c.callPending = true
	c.nextCall = now + c.callInterval(RenewInterval)
	return []Action{Write{record}}
}

// callInterval returns the time until the next call. The holder does not back off, because it needs the calls to renew
// its lease.
func (c *Contender) callInterval(interval time.Duration) time.Duration {
	if c.holder {
		return interval
	}
	return min(MaxBackoff, interval<<min(c.failedCalls, maxBackoffDoublings))
}

// applyRecord applies a record of the present generation that was read from the store or announced by its holder.
func (c *Contender) applyRecord(now time.Duration, record Record) []Action {
	wasCurrent := c.recordKnown && c.isCurrent
	if wasCurrent && record.Revision < c.record.Revision {
		// The holder has sent a newer revision while the response of the store was in transit.
		return c.act(now)
	}
	if !wasCurrent || record.Revision != c.record.Revision {
		c.seeRevision(now)
	}
	c.failedCalls = 0
	holderChanged := !c.recordKnown || record.Term != c.record.Term
	c.recordKnown, c.isCurrent = true, true
	c.highestTerm = max(c.highestTerm, record.Term)
	c.record = record
	switch {
	case c.vacant():
		c.nextCall = min(c.nextCall, c.revisionSeenAt+c.options.Delay)
	case now < c.leaseEnd:
		// The record has not changed since the lease status, so no host can take over earlier.
		c.nextCall = c.leaseEnd + c.options.Delay
	}
	held := record.Holder == c.options.Name && !record.Resigned
	if held && !c.holder && record.Term <= c.ledTerm {
		return c.leaveTerm(now)
	}
	if held && !c.holder {
		// A takeover took effect although its response was lost. The lease starts with the next confirmed write.
		c.nextCall = now
		return c.write(now, record)
	}
	if held {
		c.nextCall = now
		return c.act(now)
	}
	var actions []Action
	if c.holder {
		c.holder = false
		actions = append(actions, StepDown{})
	}
	if holderChanged && record.Revision != 0 && !record.Resigned {
		actions = append(actions, Follow{record})
	}
	return append(actions, c.act(now)...)
}

func (c *Contender) handleWriteResult(now time.Duration, event WriteResult) []Action {
	if event.Rejected {
		c.failedCalls++
		return c.act(now)
	}
	if event.Err != nil {
		// The write may have taken effect, so the revision has to be read again.
		return c.read(now)
	}
	if event.Conflict {
		return c.applyResponse(now, event.Generation, event.Record)
	}
	c.observeGeneration(now, event.Generation)
	if event.Record.Generation != c.generation || event.Generation != c.generation {
		// The store carried out the write in another generation than that of the revision, or has lost it since.
		return c.read(now)
	}
	if !c.isCurrent || event.Record.Revision != c.record.Revision {
		c.seeRevision(now)
	}
	c.recordKnown, c.isCurrent = true, true
	c.highestTerm = max(c.highestTerm, event.Record.Term)
	c.record = event.Record
	c.leaseEnd, c.failedCalls = 0, 0
	if c.record.Resigned {
		c.holder = false
		return []Action{StepDown{}}
	}
	if !c.holder && c.record.Term <= c.ledTerm {
		return c.leaveTerm(now)
	}
	c.confirmedAt = max(c.confirmedAt, event.SentAt)
	if !c.holder {
		c.holder, c.informed = true, true
		c.ledTerm = c.record.Term
		return []Action{Lead{c.record.Term}}
	}
	return nil
}
