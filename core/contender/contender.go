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
	// maxBackoffDoublings is the number of doublings of ReadInterval that reaches MaxBackoff.
	maxBackoffDoublings = 2
	// RenewalOverdueAge is the age of the last confirmed write from which the holder expects an outage of the store.
	RenewalOverdueAge = 900 * time.Millisecond
)

// Record is the lease record in the store.
type Record struct {
	Revision int64  // 0: the record does not exist
	Holder   string // name of the host
	Address  string // at which the holder accepts connections of other hosts
	Term     uint64
	Resigned bool
}

// Options configures a Contender.
type Options struct {
	Name    string        // unique for each incarnation of a host
	Address string        // at which this host accepts connections of other hosts
	Delay   time.Duration // added before a takeover; shorter on hosts that are better suited as controller
}

// Event is an input of Step. Its types are the structs below.
type Event interface{ event() }

// Tick advances the time without other input.
type Tick struct{}

// LeaseStatus is the state of the lease that the holder sends to other hosts.
type LeaseStatus struct {
	Term      uint64
	Revision  int64         // last revision of the record that the holder knows
	Remaining time.Duration // remaining time of the lease when the status is sent
}

// HeartbeatReceived carries the lease status from a heartbeat of a holder.
type HeartbeatReceived struct{ Lease LeaseStatus }

// AnnouncementReceived carries the announcement of a new holder. With it, hosts whose calls the store rejects can
// follow the holder.
type AnnouncementReceived struct {
	Lease   LeaseStatus
	Holder  string
	Address string
}

// HolderStopped reports that the holder of Term has resigned or that its process has stopped.
type HolderStopped struct{ Term uint64 }

// HolderResigned reports that the holder has given up the lease. The revision is the one that the record has since then.
type HolderResigned struct{ Lease LeaseStatus }

// ReadResult carries the result of Read.
type ReadResult struct {
	Record Record
	Err    error
}

// WriteResult carries the result of Write. On a conflict, Record is the stored record.
type WriteResult struct {
	SentAt   time.Duration
	Record   Record
	Conflict bool  // the record has another revision than expected
	Err      error // the write was not confirmed
	Rejected bool  // the write has no effect; with Err alone, it may take effect later
}

// Resign makes the host give up the lease. It takes over again after Pause at the earliest, or never if Pause is 0. The pause ends
// early if no other host acts as controller within VacancyTimeout.
type Resign struct{ Pause time.Duration }

func (Tick) event()                 {}
func (HeartbeatReceived) event()    {}
func (AnnouncementReceived) event() {}
func (HolderStopped) event()        {}
func (HolderResigned) event()       {}
func (ReadResult) event()           {}
func (WriteResult) event()          {}
func (Resign) event()               {}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Read asks the caller to read the record and to report ReadResult.
type Read struct{}

// Write asks the caller to write the record and to report WriteResult. Record.Revision is the expected revision, or 0
// to create the record.
type Write struct{ Record Record }

// Follow reports that another host holds the record.
type Follow struct{ Record Record }

// Lead reports that this host has taken over the record with a new term.
type Lead struct{ Term uint64 }

// StepDown reports that this host no longer holds the record.
type StepDown struct{}

func (Read) action()     {}
func (Write) action()    {}
func (Follow) action()   {}
func (Lead) action()     {}
func (StepDown) action() {}

// Contender is the state of one host. It is not safe for concurrent use.
type Contender struct {
	options        Options
	record         Record
	recordKnown    bool
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
	return LeaseStatus{Term: c.record.Term, Revision: c.record.Revision, Remaining: c.Remaining(now)}
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

// Step applies event at now and returns the actions to take, in order.
func (c *Contender) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case HeartbeatReceived:
		c.applyLeaseStatus(now, event.Lease)
	case AnnouncementReceived:
		if event.Lease.Term <= c.record.Term {
			return nil
		}
		c.heartbeatAt = now
		actions := c.applyRecord(now, Record{
			Revision: event.Lease.Revision, Holder: event.Holder, Address: event.Address, Term: event.Lease.Term,
		})
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
			return c.applyRecord(now, event.Record)
		}
		c.failedCalls++
	case WriteResult:
		c.callPending = false
		return c.handleWriteResult(now, event)
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

// applyLeaseStatus applies a status from the holder. As long as the record stays at the revision of the status, the
// lease ends after the remaining time of the status, because a newer renewal would have changed the revision.
func (c *Contender) applyLeaseStatus(now time.Duration, lease LeaseStatus) {
	if lease.Term < c.record.Term {
		return
	}
	c.heartbeatAt = now
	c.failedCalls = 0
	if lease.Term > c.record.Term || lease.Revision < c.record.Revision {
		return
	}
	if lease.Revision > c.record.Revision {
		c.record.Revision = lease.Revision
		c.revisionSeenAt = now
	}
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
	case c.holder && c.resigned:
		if c.record.Resigned {
			return nil
		}
		resigned := c.record
		resigned.Resigned = true
		return c.write(now, resigned)
	case c.resigned:
		return nil
	case c.holder:
		return c.write(now, c.record)
	case c.recordKnown && c.heartbeatAt > 0 && now < c.heartbeatAt+HeartbeatTimeout:
		return nil
	case !c.recordKnown:
		return c.read(now)
	case c.mayTakeOver(now):
		return c.write(now, Record{
			Revision: c.record.Revision, Holder: c.options.Name, Address: c.options.Address, Term: c.record.Term + 1,
		})
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

// applyRecord applies a record that was read from the store or announced by its holder.
func (c *Contender) applyRecord(now time.Duration, record Record) []Action {
	if c.recordKnown && record.Revision < c.record.Revision {
		// The holder has sent a newer revision while the response of the store was in transit.
		return c.act(now)
	}
	if !c.recordKnown || record.Revision != c.record.Revision {
		c.revisionSeenAt = now
		c.leaseEnd = 0
	}
	c.failedCalls = 0
	holderChanged := !c.recordKnown || record.Term != c.record.Term
	c.recordKnown = true
	c.record = record
	switch {
	case c.vacant():
		c.nextCall = min(c.nextCall, c.revisionSeenAt+c.options.Delay)
	case now < c.leaseEnd:
		// The record has not changed since the lease status, so no host can take over earlier.
		c.nextCall = c.leaseEnd + c.options.Delay
	}
	held := record.Holder == c.options.Name && !record.Resigned
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
		return c.applyRecord(now, event.Record)
	}
	c.recordKnown = true
	if event.Record.Revision != c.record.Revision {
		c.revisionSeenAt = now
	}
	c.record = event.Record
	c.leaseEnd, c.failedCalls = 0, 0
	if c.record.Resigned {
		c.holder = false
		return []Action{StepDown{}}
	}
	c.confirmedAt = max(c.confirmedAt, event.SentAt)
	if !c.holder {
		c.holder = true
		return []Action{Lead{c.record.Term}}
	}
	return nil
}
