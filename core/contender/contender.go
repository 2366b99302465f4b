// Package contender decides when a host becomes controller and how long it may act as one.
//
// The right to act comes from a record in the platform's store. The holder rewrites the record at short intervals. Its
// right lasts for Right from the moment at which the last confirmed write was sent. Another host takes the record over
// when it has seen the same revision for longer than Right, when the right that the holder has told it of has passed
// without a newer revision, or when the holder has resigned. Terms are ordered by the store alone, since each takeover is
// a conditional write.
//
// # Usage
//
//	c := contender.New(now, contender.Options{Name: "host-1"})
//	for _, action := range c.Step(now, event) { ... }
//
// Times are durations since an arbitrary origin. They must include time during which the host was suspended, otherwise
// a suspended holder would believe in a right that has passed.
package contender

import "time"

// Times of the protocol.
const (
	// LeaseDuration is how long a confirmed write lets its writer act: four renewals, so that three lost answers in a row are
	// survived.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the time between two writes of the holder.
	RenewInterval = 500 * time.Millisecond
	// SafetyMargin covers the drift between the clocks of two hosts (2%) and the delay between deciding and sending.
	SafetyMargin = 150 * time.Millisecond
	// ReadInterval is the time between two reads of the record while the holder is silent.
	ReadInterval = 400 * time.Millisecond
	// HeartbeatTimeout is how long a follower hears nothing from the holder before it reads the record: two missed beats.
	HeartbeatTimeout = 600 * time.Millisecond
	// MaxBackoff bounds the time between two calls of a host that the store does not answer. Calls are paid for, also
	// refused ones, and the first host whose pause ends becomes controller.
	MaxBackoff = 1600 * time.Millisecond
	// maxDoublings is the number of doublings after which a pause is at its bound.
	maxDoublings = 2
	// RenewalOverdueAge is the age of the last confirmation from which the holder expects to lose the store.
	RenewalOverdueAge = 900 * time.Millisecond
)

// Record is the state of the record in the store.
type Record struct {
	Revision int64 // 0: there is no record
	Holder   string
	Address  string // where the holder accepts other hosts
	Term     uint64
	Resigned bool
}

// Options configures a Contender.
type Options struct {
	Name    string        // unique for each run of a process
	Address string        // where other hosts reach this one
	Delay   time.Duration // added before a takeover; hosts that suit the role better have a shorter one
}

// Event is an input of Step. Its types are the structs below.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// LeaseStatus is what a holder tells other hosts of its right.
type LeaseStatus struct {
	Term      uint64
	Revision  int64         // of the record, as far as the holder knows
	Remaining time.Duration // of the right, from the moment of sending
}

// HeartbeatReceived carries the claim of a holder.
type HeartbeatReceived struct{ Lease LeaseStatus }

// AnnouncementReceived carries what a new holder says of itself. It spares hosts that the store refuses the way to the store.
type AnnouncementReceived struct {
	Lease   LeaseStatus
	Holder  string
	Address string
}

// HolderStopped tells that the process of the holder has ended, or that it has given its role up.
type HolderStopped struct{ Term uint64 }

// ReadResult carries the answer to Read.
type ReadResult struct {
	Record Record
	Err    error
}

// WriteResult carries the answer to Write. On a conflict, Record is the record as it is.
type WriteResult struct {
	SentAt   time.Duration
	Record   Record
	Conflict bool
	Err      error // the write was not confirmed
	Rejected bool  // the write certainly has no effect; otherwise it may take effect later
}

// Resign asks the host to give its role up.
type Resign struct{}

func (Tick) event()                 {}
func (HeartbeatReceived) event()    {}
func (AnnouncementReceived) event() {}
func (HolderStopped) event()        {}
func (ReadResult) event()           {}
func (WriteResult) event()          {}
func (Resign) event()               {}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Read asks for the record.
type Read struct{}

// Write asks for a conditional write; Record.Revision is the expected revision, 0 for a creation.
type Write struct{ Record Record }

// Follow tells where the holder is.
type Follow struct{ Record Record }

// Lead tells that this host has a new term.
type Lead struct{ Term uint64 }

// StepDown tells that this host is no longer the holder.
type StepDown struct{}

func (Read) action()     {}
func (Write) action()    {}
func (Follow) action()   {}
func (Lead) action()     {}
func (StepDown) action() {}

// Contender is the state of one host. It is not safe for concurrent use.
type Contender struct {
	options   Options
	record    Record
	known     bool
	seen      time.Duration // when record was first seen at its revision
	heard     time.Duration
	confirmed time.Duration // when the last confirmed write was sent
	holder    bool
	gone      uint64        // term whose holder has ended
	ends      time.Duration // when the right passes that belongs to the revision of record; 0: not known
	fruitless int           // calls in a row that failed
	busy      bool          // a call is outstanding
	next      time.Duration
	resigned  bool
}

// New returns a follower that knows no record. It reads the record after its delay, so that at the start of all hosts
// most find a holder with their first call.
func New(now time.Duration, options Options) *Contender {
	return &Contender{options: options, next: now + options.Delay}
}

// Name returns the name of this host.
func (c *Contender) Name() string { return c.options.Name }

// Valid reports whether this host may act as controller at now.
func (c *Contender) Valid(now time.Duration) bool {
	return c.holder && !c.resigned && now < c.confirmed+LeaseDuration
}

// RenewalOverdue reports whether the holder should prepare for the loss of the store.
func (c *Contender) RenewalOverdue(now time.Duration) bool {
	return c.holder && now >= c.confirmed+RenewalOverdueAge
}

// LeaseStatus returns what the holder tells other hosts of its right.
func (c *Contender) LeaseStatus(now time.Duration) LeaseStatus {
	return LeaseStatus{Term: c.record.Term, Revision: c.record.Revision, Remaining: c.Remaining(now)}
}

// Remaining returns how much longer the right lasts.
func (c *Contender) Remaining(now time.Duration) time.Duration {
	return c.confirmed + LeaseDuration - now
}

// IsHolder reports whether this host holds the record as far as it knows, even if its right has lapsed.
func (c *Contender) IsHolder() bool { return c.holder }

// Term returns the last known term.
func (c *Contender) Term() uint64 { return c.record.Term }

// Step applies event at now.
func (c *Contender) Step(now time.Duration, event Event) []Action {
	switch event := event.(type) {
	case HeartbeatReceived:
		c.hear(now, event.Lease)
	case AnnouncementReceived:
		if event.Lease.Term <= c.record.Term {
			return nil
		}
		c.heard = now
		actions := c.learn(now, Record{
			Revision: event.Lease.Revision, Holder: event.Holder, Address: event.Address, Term: event.Lease.Term,
		})
		c.hear(now, event.Lease)
		return actions
	case HolderStopped:
		if event.Term >= c.record.Term {
			c.gone = event.Term
			c.heard = 0
			c.next = now
		}
	case Resign:
		c.resigned = true
	case ReadResult:
		c.busy = false
		if event.Err == nil {
			return c.learn(now, event.Record)
		}
		c.fruitless++
	case WriteResult:
		c.busy = false
		return c.written(now, event)
	}
	return c.act(now)
}

// hear takes over a claim. While the record stays at the claimed revision, the right passes when the claim says: a newer
// confirmation would have changed the revision.
func (c *Contender) hear(now time.Duration, claim LeaseStatus) {
	if claim.Term < c.record.Term {
		return
	}
	c.heard = now
	c.fruitless = 0
	if claim.Term > c.record.Term || claim.Revision < c.record.Revision {
		return
	}
	if claim.Revision > c.record.Revision {
		c.record.Revision = claim.Revision
		c.seen = now
	}
	c.ends = now + safely(claim.Remaining)
}

// safely adds the drift between clocks and the delay between deciding and sending to a time of another host.
func safely(d time.Duration) time.Duration { return d + d/50 + SafetyMargin }

func (c *Contender) act(now time.Duration) []Action {
	if c.busy || now < c.next {
		return nil
	}
	switch {
	case c.holder && c.resigned:
		if c.record.Resigned {
			return nil
		}
		released := c.record
		released.Resigned = true
		return c.write(now, released)
	case c.resigned:
		return nil
	case c.holder:
		return c.write(now, c.record)
	case c.known && c.heard > 0 && now < c.heard+HeartbeatTimeout:
		return nil
	case !c.known:
		return c.read(now)
	case c.mayTakeOver(now):
		return c.write(now, Record{
			Revision: c.record.Revision, Holder: c.options.Name, Address: c.options.Address, Term: c.record.Term + 1,
		})
	case c.vacant():
		c.next = c.seen + c.options.Delay
		return nil
	default:
		return c.read(now)
	}
}

// vacant reports whether nobody can have the right to act.
func (c *Contender) vacant() bool {
	return c.record.Revision == 0 || c.record.Resigned || c.gone == c.record.Term
}

func (c *Contender) mayTakeOver(now time.Duration) bool {
	if c.vacant() {
		return now >= c.seen+c.options.Delay
	}
	ends := c.seen + safely(LeaseDuration)
	if c.ends > 0 {
		ends = min(ends, c.ends)
	}
	return now >= ends+c.options.Delay
}

func (c *Contender) read(now time.Duration) []Action {
	c.busy = true
	c.next = now + c.pause(ReadInterval)
	return []Action{Read{}}
}

func (c *Contender) write(now time.Duration, record Record) []Action {
	c.busy = true
	c.next = now + c.pause(RenewInterval)
	return []Action{Write{record}}
}

// pause returns the time until the next call. The holder does not pause longer, since its right depends on the calls.
func (c *Contender) pause(interval time.Duration) time.Duration {
	if c.holder {
		return interval
	}
	return min(MaxBackoff, interval<<min(c.fruitless, maxDoublings))
}

// learn takes over what the store says of the record.
func (c *Contender) learn(now time.Duration, record Record) []Action {
	if c.known && record.Revision < c.record.Revision {
		// The answer was on its way while the holder told of a newer revision.
		return c.act(now)
	}
	if !c.known || record.Revision != c.record.Revision {
		c.seen = now
		c.ends = 0
	}
	c.fruitless = 0
	changedHolder := !c.known || record.Term != c.record.Term
	c.known = true
	c.record = record
	switch {
	case c.vacant():
		c.next = min(c.next, c.seen+c.options.Delay)
	case now < c.ends:
		// The record has not changed since the claim, so nobody can take over before.
		c.next = c.ends + c.options.Delay
	}
	mine := record.Holder == c.options.Name && !record.Resigned
	if mine && !c.holder {
		// A takeover took effect although its answer was lost. The right begins with the next confirmed write.
		c.next = now
		return c.write(now, record)
	}
	if mine {
		c.next = now
		return c.act(now)
	}
	var actions []Action
	if c.holder {
		c.holder = false
		actions = append(actions, StepDown{})
	}
	if changedHolder && record.Revision != 0 && !record.Resigned {
		actions = append(actions, Follow{record})
	}
	return append(actions, c.act(now)...)
}

func (c *Contender) written(now time.Duration, event WriteResult) []Action {
	if event.Rejected {
		c.fruitless++
		return c.act(now)
	}
	if event.Err != nil {
		// The write may have taken effect, so the revision has to be read again.
		return c.read(now)
	}
	if event.Conflict {
		return c.learn(now, event.Record)
	}
	c.known = true
	if event.Record.Revision != c.record.Revision {
		c.seen = now
	}
	c.record = event.Record
	c.ends, c.fruitless = 0, 0
	if c.record.Resigned {
		c.holder = false
		return []Action{StepDown{}}
	}
	c.confirmed = max(c.confirmed, event.SentAt)
	if !c.holder {
		c.holder = true
		return []Action{Lead{c.record.Term}}
	}
	return nil
}
