// Package admitter decides when a request may be sent to one upstream.
//
// All requests to an upstream pass one Admitter, so its limit on requests in flight is exact. The limit starts at 1 for a
// cold upstream and rises with observed successes. Requests above the limit wait in a bounded queue.
//
// # Usage
//
//	admission := admitter.New(admitter.Options{Slots: 6, Keyed: true, Judge: crashes.Verdict})
//	for _, action := range admission.Step(now, admitter.Offered{ID: id, Fence: fence, Deadline: deadline}) {
//		switch action := action.(type) {
//		case admitter.Dispatch:
//			// send the request, later call Step with Ended
//		case admitter.Refuse:
//			// answer "not run"
//		}
//	}
//
// Guarantees: requests are dispatched only while the admission lease is valid, and under the fence that the controller
// gave for their slice; a refused request was never dispatched; every offered request is dispatched, refused or withdrawn
// exactly once.
package admitter

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/slicer"
)

// Defaults of Options.
const (
	// DefaultLease is the validity of the admission lease; it outlasts a failover of the controller of 0.9 s.
	DefaultLease = 1500 * time.Millisecond
	// DefaultQueueBound is the number of waiting requests per upstream.
	DefaultQueueBound = 64
	// DefaultOwnershipTimeout is how long requests wait for a slice or the lease; a move waits up to 1 s for requests in flight.
	DefaultOwnershipTimeout = 1500 * time.Millisecond
	// DefaultIdempotencyKeyBound is the number of idempotency keys held. 6 slots and 13.7 ms per request fill it in 10 min.
	DefaultIdempotencyKeyBound = 1 << 18
	// DefaultRaiseAfter successes at a limit raise it by one. A cold upstream bears one more request for each 20 that it
	// completed; the margin covers responses that it did not count.
	DefaultRaiseAfter = 25
)

const (
	// sweepInterval bounds how late a queued request is refused after its deadline.
	sweepInterval = 5 * time.Millisecond
	// foreignExpiry is how long requests of the previous admission host count when no newer report arrives.
	foreignExpiry = time.Second
	// maxOldIncarnations is how many earlier incarnations are recognised in late responses.
	maxOldIncarnations = 4
	// maxRetryAfter bounds the estimate for a full queue, which is far too long when a slowed upstream recovers.
	maxRetryAfter = 100 * time.Millisecond
	// Pauses after the upstream could not take a request at a limit of 1.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// Options configures an Admitter. Zero values of the bounds select the defaults.
type Options struct {
	Slots               int  // highest limit on requests in flight
	Keyed               bool // requests without a fence are refused
	Lease               time.Duration
	QueueBound          int
	OwnershipTimeout    time.Duration
	IdempotencyKeyBound int
	RaiseAfter          int
	// Status returns the verdict on a signature, usually the method Verdict of a detector. Nil clears all requests.
	Status func(now time.Duration, signature uint64) detector.Status
}

// Admitter is the admission of one upstream. It is not safe for concurrent use.
type Admitter struct {
	options Options
	now     time.Duration
	actions []Action

	leaseEpoch uint64
	leaseUntil time.Duration

	slices  map[uint32]*sliceState
	queue   queue
	running []running
	keys    keyMemory
	ramp    ramp
	service estimate

	incarnation     string
	oldIncarnations []string
	lastCrash       crash

	foreign      int // requests of the previous admission host that may still run
	foreignUntil time.Duration
	takeover     bool // no load report was used and nothing was dispatched yet
	pause        time.Duration
	pausedUntil  time.Duration
	down         bool // the upstream could not be reached or broke its connection, and has not answered since
	lastSweep    time.Duration
}

type phase int

const (
	served phase = iota
	stopped
	removed
)

type sliceState struct {
	fence    slicer.Fence
	phase    phase
	draining bool // SliceIdle is owed
}

type running struct {
	id           ID
	class        configurator.Class
	fence        slicer.Fence
	signature    uint64
	key          uint64
	hasKey       bool
	deadline     time.Duration
	dispatchedAt time.Duration
	generation   uint64 // of the ramp at the dispatch
	alone        bool
	reported     bool // part of a CrashSeen
	left         bool // its caller has left and Cancel is owed
}

// crash is the latest crash that a response of the same incarnation can still disprove.
type crash struct {
	pending     bool
	incarnation string
	at          time.Duration
	signatures  []uint64
}

// New returns the admission of a cold upstream without a lease.
func New(options Options) *Admitter {
	options.Slots = max(options.Slots, 1)
	options.Lease = orDefault(options.Lease, DefaultLease)
	options.QueueBound = orDefault(options.QueueBound, DefaultQueueBound)
	options.OwnershipTimeout = orDefault(options.OwnershipTimeout, DefaultOwnershipTimeout)
	options.IdempotencyKeyBound = orDefault(options.IdempotencyKeyBound, DefaultIdempotencyKeyBound)
	options.RaiseAfter = orDefault(options.RaiseAfter, DefaultRaiseAfter)
	if options.Status == nil {
		options.Status = func(time.Duration, uint64) detector.Status { return detector.Clear }
	}
	return &Admitter{
		options:  options,
		slices:   map[uint32]*sliceState{},
		keys:     newKeyMemory(options.IdempotencyKeyBound),
		ramp:     newRamp(options.Slots, options.RaiseAfter),
		takeover: true,
	}
}

func orDefault[T time.Duration | int](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Limit returns the current limit on requests in flight.
func (a *Admitter) Limit() int { return a.ramp.limit }

// InFlight returns the number of dispatched requests that have not ended.
func (a *Admitter) InFlight() int { return len(a.running) }

// Queued returns the number of waiting requests.
func (a *Admitter) Queued() int { return a.queue.len() }

// Cold reports whether the limit has not reached the number of slots since the upstream was last found to be cold.
func (a *Admitter) Cold() bool { return a.ramp.cold }

// LeaseValid reports whether requests may be dispatched at now.
func (a *Admitter) LeaseValid(now time.Duration) bool { return now < a.leaseUntil }

// Step applies event at time now, which must not decrease between calls. The returned slice is valid until the next call.
func (a *Admitter) Step(now time.Duration, event Event) []Action {
	a.now = max(a.now, now)
	clear(a.actions)
	a.actions = a.actions[:0]
	mayDispatch := true
	switch event := event.(type) {
	case Offered:
		a.offer(event)
	case Ended:
		mayDispatch = a.end(event)
	case Withdrawn:
		a.leave(event.ID)
	case LeaseRenewed:
		a.renew(event)
	case LeaseEnded:
		a.endLease(event)
	case SlicesServed:
		a.eachSlice(event.Fences, a.serve)
	case SlicesStopped:
		a.eachSlice(event.Fences, a.stop)
	case SlicesRemoved:
		a.eachSlice(event.Fences, a.remove)
	case IncarnationObserved:
		mayDispatch = a.seeIncarnation(event.Incarnation)
	case LoadReported:
		mayDispatch = a.report(event)
	case Tick:
	}
	a.passOn()
	a.sweep()
	a.cancel()
	if mayDispatch {
		a.dispatch()
	}
	return a.actions
}

func (a *Admitter) emit(action Action) {
	a.actions = append(a.actions, action)
}

func (a *Admitter) refuse(id ID, reason Reason) {
	a.emit(Reject{ID: id, Reason: reason})
}

// drop refuses a request that was queued and forgets its idempotency key, since it was not run.
func (a *Admitter) drop(entry entry, reason Reason) {
	a.forgetKey(entry.key, entry.hasKey)
	a.refuse(entry.id, reason)
}

func (a *Admitter) forgetKey(key uint64, has bool) {
	if has {
		a.keys.remove(key)
	}
}

func (a *Admitter) offer(offered Offered) {
	if reason, refused := a.examine(offered); refused {
		a.refuse(offered.ID, reason)
		return
	}
	entry := entry{
		id:        offered.ID,
		class:     offered.Class,
		fence:     offered.Fence,
		deadline:  offered.Deadline,
		signature: offered.Signature,
		offeredAt: a.now,
	}
	if wait, ok := a.fits(entry); !ok {
		a.emit(Reject{ID: offered.ID, Reason: TooLate, RetryAfter: wait})
		return
	}
	if !a.LeaseValid(a.now) || a.blocked(&entry) {
		entry.waiting, entry.blockedSince = true, a.waitingSince()
	}
	if !a.queue.accepts(entry, a.options.QueueBound) {
		a.emit(Reject{ID: offered.ID, Reason: QueueFull, RetryAfter: a.drainTime()})
		return
	}
	if offered.IdempotencyKey != "" {
		entry.key, entry.hasKey = hashKey(offered.IdempotencyKey), true
		if reason, refused := a.remember(entry); refused {
			a.refuse(offered.ID, reason)
			return
		}
	}
	a.queue.push(entry)
}

// examine returns the reason for which a request is refused whatever the load is.
func (a *Admitter) examine(offered Offered) (Reason, bool) {
	switch {
	case offered.Deadline <= a.now:
		return TooLate, true
	case a.active(offered.ID):
		return Duplicate, true
	case a.options.Status(a.now, offered.Signature) == detector.Blocked:
		return Blocked, true
	case offered.Fence == slicer.Fence{}:
		return StaleFence, a.options.Keyed
	}
	state, known := a.slices[offered.Fence.Slice]
	switch {
	case !known:
		return 0, false
	case older(offered.Fence, state.fence):
		return StaleFence, true
	case state.phase == removed && offered.Fence == state.fence:
		return Moved, true
	}
	return 0, false
}

func (a *Admitter) active(id ID) bool {
	return a.queue.contains(id) || a.indexRunning(id) >= 0
}

func (a *Admitter) remember(entry entry) (Reason, bool) {
	a.keys.expire(a.now)
	switch a.keys.add(a.now, entry.key, entry.id, entry.class == configurator.NeverRepeat) {
	case keyKnown:
		return Duplicate, true
	case keysFull:
		return DuplicatesFull, true
	}
	return 0, false
}

// fits estimates whether a request offered now can end before its deadline; the estimated wait is returned as well.
// An idle upstream always gets the request, so that an estimate that has become too high is corrected.
func (a *Admitter) fits(entry entry) (time.Duration, bool) {
	service := a.service.at(a.now)
	ahead := a.queue.ahead(entry.class)
	if a.occupied() == 0 && ahead == 0 {
		return 0, true
	}
	if a.occupied() >= a.ramp.limit {
		ahead++
	}
	wait := time.Duration(ahead) * service / time.Duration(a.ramp.limit)
	return wait, a.now+wait+service <= entry.deadline
}

// drainTime estimates when the queue of now will have been dispatched. A request that returns much earlier is refused
// again.
func (a *Admitter) drainTime() time.Duration {
	return min(time.Duration(a.queue.len())*a.service.at(a.now)/time.Duration(a.ramp.limit), maxRetryAfter)
}

func (a *Admitter) occupied() int {
	return len(a.running) + a.foreign
}

// waitingSince returns the time from which a wait that begins now counts. A wait for a lease counts from its end: a host that
// was paused for longer has lost the lease to another host, and requests that arrived during the pause have little time left.
func (a *Admitter) waitingSince() time.Duration {
	if a.leaseUntil > 0 && a.leaseUntil < a.now {
		return a.leaseUntil
	}
	return a.now
}

// blocked reports whether the slice of the entry is not served. Waiting requests keep their place in the queue.
func (a *Admitter) blocked(entry *entry) bool {
	if entry.fence == (slicer.Fence{}) {
		return false
	}
	state, known := a.slices[entry.fence.Slice]
	return !known || state.phase != served || state.fence != entry.fence
}

func (a *Admitter) dispatch() {
	for a.mayDispatch() {
		class, index, ok := a.queue.next(a.blocked)
		if !ok {
			return
		}
		candidate := a.queue.at(class, index)
		verdict := a.options.Status(a.now, candidate.signature)
		if verdict == detector.Suspect && a.occupied() > 0 {
			return // it is first in line, so the upstream empties for it
		}
		entry := a.queue.take(class, index)
		switch {
		case verdict == detector.Blocked:
			a.drop(entry, Blocked)
		case a.tooLate(entry):
			a.drop(entry, TooLate)
		default:
			a.start(entry, verdict == detector.Suspect)
		}
	}
}

func (a *Admitter) mayDispatch() bool {
	if a.queue.len() == 0 || !a.LeaseValid(a.now) || a.now < a.pausedUntil {
		return false
	}
	if len(a.running) > 0 && a.running[0].alone {
		return false
	}
	return a.occupied() < a.ramp.limit
}

func (a *Admitter) tooLate(entry entry) bool {
	if entry.deadline <= a.now {
		return true
	}
	return a.occupied() > 0 && a.now+a.service.at(a.now) > entry.deadline
}

func (a *Admitter) start(entry entry, alone bool) {
	a.takeover = false
	a.running = append(a.running, running{
		id:           entry.id,
		class:        entry.class,
		fence:        entry.fence,
		signature:    entry.signature,
		key:          entry.key,
		hasKey:       entry.hasKey,
		deadline:     entry.deadline,
		dispatchedAt: a.now,
		generation:   a.ramp.generation,
		alone:        alone,
	})
	a.emit(Dispatch{ID: entry.id, Fence: entry.fence, Alone: alone})
}

func (a *Admitter) indexRunning(id ID) int {
	return slices.IndexFunc(a.running, func(r running) bool { return r.id == id })
}

func (a *Admitter) leave(id ID) {
	if entry, ok := a.queue.remove(id); ok {
		a.forgetKey(entry.key, entry.hasKey)
		return
	}
	if index := a.indexRunning(id); index >= 0 {
		a.running[index].left = true
	}
}

// cancel emits the Cancel that is owed to requests whose callers have left.
func (a *Admitter) cancel() {
	for i := range a.running {
		request := &a.running[i]
		changesSlice := request.class != configurator.Safe && request.fence != (slicer.Fence{})
		if !request.left || (changesSlice && a.now < request.deadline) {
			continue
		}
		request.left = false
		a.emit(Cancel{ID: request.id})
	}
}

// passOn refuses the queue of an upstream that is down, because other upstreams can run requests without keys at once. After
// each pause one request is dispatched to find out whether the upstream is back.
func (a *Admitter) passOn() {
	if !a.down || (a.now >= a.pausedUntil && len(a.running) == 0) {
		return
	}
	a.queue.filter(func(entry *entry) bool {
		if entry.fence != (slicer.Fence{}) {
			return true
		}
		a.drop(*entry, Unreachable)
		return false
	})
}

// sweep refuses queued requests whose deadline is over or that have waited too long for their slice or the lease.
func (a *Admitter) sweep() {
	if a.foreign > 0 && a.now >= a.foreignUntil {
		a.foreign = 0
	}
	if a.queue.len() == 0 || a.now < a.lastSweep+sweepInterval {
		return
	}
	a.lastSweep = a.now
	valid := a.LeaseValid(a.now)
	a.queue.filter(func(entry *entry) bool {
		blocked := a.blocked(entry)
		switch {
		case entry.deadline <= a.now:
			a.drop(*entry, TooLate)
			return false
		case valid && !blocked:
			entry.blockedSince, entry.waiting = 0, false
			return true
		case !entry.waiting:
			entry.blockedSince, entry.waiting = a.waitingSince(), true
			return true
		case a.now < entry.blockedSince+a.options.OwnershipTimeout:
			return true
		case !valid:
			a.drop(*entry, NoLease)
			return false
		default:
			a.drop(*entry, Moved)
			return false
		}
	})
}
