// Package admitter implements admission control for one upstream: it decides when a request may be sent.
//
// All requests to an upstream pass through one Admitter, so its limit on requests in flight is exact. The limit starts
// at 1 for a cold upstream and rises with observed successes. Requests above the limit wait in a bounded queue.
//
// # Usage
//
//	admission := admitter.New(admitter.Options{Slots: 6, Keyed: true, Status: crashes.Status})
//	for _, action := range admission.Step(now, admitter.Offered{ID: id, Fence: fence, Deadline: deadline}) {
//		switch action := action.(type) {
//		case admitter.Dispatch:
//			// send the request, later call Step with Ended
//		case admitter.Reject:
//			// respond that the request was not run
//		}
//	}
//
// # Guarantees
//
//   - Requests are dispatched only while the admission lease is valid, and under the fence that the controller assigned
//     to their slice.
//   - A rejected request was never dispatched.
//   - Every offered request is dispatched, rejected or withdrawn exactly once.
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
	// DefaultLease is the duration of the admission lease. A controller failover takes 0.9 s, so the lease outlasts it.
	DefaultLease = 1500 * time.Millisecond
	// DefaultQueueBound is the maximum number of queued requests per upstream.
	DefaultQueueBound = 64
	// DefaultOwnershipTimeout is how long requests wait for their slice or for the lease. It exceeds the 1 s for which
	// the move of a slice may wait for requests in flight.
	DefaultOwnershipTimeout = 1500 * time.Millisecond
	// DefaultIdempotencyKeyBound is the maximum number of idempotency keys held. An upstream with 6 slots and 13.7 ms
	// per request reaches it in 10 min, which is keyRetention.
	DefaultIdempotencyKeyBound = 1 << 18
	// DefaultRaiseAfter is the number of successes at a limit that raise it by one. A cold upstream can run one more
	// concurrent request for each 20 that it has completed; the margin covers responses that it did not count.
	DefaultRaiseAfter = 25
)

const (
	// sweepInterval is the maximum delay between the deadline of a queued request and its rejection.
	sweepInterval = 5 * time.Millisecond
	// inheritedExpiry is how long requests of the previous admission host count as in flight without a newer report.
	inheritedExpiry = time.Second
	// maxOldIncarnations is how many earlier incarnations are kept, to recognise them in late responses.
	maxOldIncarnations = 4
	// maxRetryAfter limits the estimate for a full queue. Without it the estimate is far too long when a slow upstream
	// recovers.
	maxRetryAfter = 100 * time.Millisecond
	// Shortest and longest backoff after the upstream was overloaded at a limit of 1, shut down or could not be reached.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// Options configures an Admitter. Zero values of the bounds select the defaults.
type Options struct {
	Slots               int  // highest limit on requests in flight
	Keyed               bool // requests without a fence are rejected
	Lease               time.Duration
	QueueBound          int
	OwnershipTimeout    time.Duration
	IdempotencyKeyBound int
	RaiseAfter          int
	// Status returns whether requests with a signature may run, usually the method Status of a detector. With nil all
	// requests are clear.
	Status func(now time.Duration, signature uint64) detector.Status
}

// Admitter is the admission of one upstream. It is not safe for concurrent use.
type Admitter struct {
	options Options
	now     time.Duration
	actions []Action

	leaseEpoch uint64
	leaseUntil time.Duration

	slices      map[uint32]*sliceState
	queue       queue
	running     []running
	keys        keyStore
	limiter     limiter
	serviceTime estimate

	incarnation     string
	oldIncarnations []string
	lastCrash       crash

	inherited      int // requests of the previous admission host that may still be in flight
	inheritedUntil time.Duration
	takeover       bool // no load report was used and nothing was dispatched yet
	pause          time.Duration
	pausedUntil    time.Duration
	down           bool // no response since the latest refused or broken connection
	lastSweep      time.Duration
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
	draining bool // SliceDrained is yet to be emitted
}

type running struct {
	id            ID
	class         configurator.Class
	fence         slicer.Fence
	signature     uint64
	key           uint64
	hasKey        bool
	deadline      time.Duration
	dispatchedAt  time.Duration
	generation    uint64 // of the limiter at the dispatch
	alone         bool
	reported      bool // part of a CrashDetected
	cancelPending bool // withdrawn; Cancel is yet to be emitted
}

// crash is the latest detected crash. Only a response of the same incarnation retracts it.
type crash struct {
	pending     bool // may still be retracted
	incarnation string
	at          time.Duration
	signatures  []uint64
}

// New returns an Admitter without a lease, with a limit of 1 as for a cold upstream.
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
		keys:     newKeyStore(options.IdempotencyKeyBound),
		limiter:  newLimiter(options.Slots, options.RaiseAfter),
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
func (a *Admitter) Limit() int { return a.limiter.limit }

// InFlight returns the number of dispatched requests that have not ended.
func (a *Admitter) InFlight() int { return len(a.running) }

// Queued returns the number of requests that are yet to be dispatched.
func (a *Admitter) Queued() int { return a.queue.len() }

// Cold reports whether the limit is yet to reach the number of slots after the latest cold start of the upstream.
func (a *Admitter) Cold() bool { return a.limiter.cold }

// LeaseValid reports whether requests may be dispatched at now.
func (a *Admitter) LeaseValid(now time.Duration) bool { return now < a.leaseUntil }

// Step applies event at time now, which must not decrease between calls. The returned slice is valid until the next
// call.
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
		a.withdraw(event.ID)
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
		mayDispatch = a.observeIncarnation(event.Incarnation)
	case LoadReported:
		mayDispatch = a.applyLoad(event)
	case Tick:
	}
	a.rejectUnreachable()
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

func (a *Admitter) reject(id ID, reason Reason) {
	a.emit(Reject{ID: id, Reason: reason})
}

// rejectQueued rejects a request that was queued and removes its idempotency key, because the request was not run.
func (a *Admitter) rejectQueued(entry entry, reason Reason) {
	a.removeKey(entry.key, entry.hasKey)
	a.reject(entry.id, reason)
}

func (a *Admitter) removeKey(key uint64, has bool) {
	if has {
		a.keys.remove(key)
	}
}

func (a *Admitter) offer(offered Offered) {
	if reason, rejected := a.validate(offered); rejected {
		a.reject(offered.ID, reason)
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
	if wait, ok := a.meetsDeadline(entry); !ok {
		a.emit(Reject{ID: offered.ID, Reason: TooLate, RetryAfter: wait})
		return
	}
	if !a.LeaseValid(a.now) || a.awaitsSlice(&entry) {
		entry.waiting, entry.waitingSince = true, a.waitStart()
	}
	if !a.queue.accepts(entry, a.options.QueueBound) {
		a.emit(Reject{ID: offered.ID, Reason: QueueFull, RetryAfter: a.drainTime()})
		return
	}
	if offered.IdempotencyKey != "" {
		entry.key, entry.hasKey = hashKey(offered.IdempotencyKey), true
		if reason, rejected := a.recordKey(entry); rejected {
			a.reject(offered.ID, reason)
			return
		}
	}
	a.queue.push(entry)
}

// validate returns the reason to reject a request that does not depend on the load, if there is one.
func (a *Admitter) validate(offered Offered) (Reason, bool) {
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

func (a *Admitter) recordKey(entry entry) (Reason, bool) {
	a.keys.expire(a.now)
	switch a.keys.add(a.now, entry.key, entry.id, entry.class == configurator.NeverRepeat) {
	case keyKnown:
		return Duplicate, true
	case keysFull:
		return DuplicatesFull, true
	}
	return 0, false
}

// meetsDeadline estimates the queue time of a request offered now, and whether it can end before its deadline. An idle
// upstream always receives the request; otherwise an estimate that has become too high would never be corrected.
func (a *Admitter) meetsDeadline(entry entry) (time.Duration, bool) {
	service := a.serviceTime.at(a.now)
	ahead := a.queue.ahead(entry.class)
	if a.occupied() == 0 && ahead == 0 {
		return 0, true
	}
	if a.occupied() >= a.limiter.limit {
		ahead++
	}
	wait := time.Duration(ahead) * service / time.Duration(a.limiter.limit)
	return wait, a.now+wait+service <= entry.deadline
}

// drainTime estimates how long it takes to dispatch the present queue. A request that is retried much earlier is
// rejected again.
func (a *Admitter) drainTime() time.Duration {
	return min(time.Duration(a.queue.len())*a.serviceTime.at(a.now)/time.Duration(a.limiter.limit), maxRetryAfter)
}

func (a *Admitter) occupied() int {
	return len(a.running) + a.inherited
}

// waitStart returns the time from which OwnershipTimeout counts for a wait that begins now. A wait for the lease counts
// from the expiry of the lease: a process that was paused beyond its lease has lost it to another host, and the requests
// that arrived during the pause are close to their deadlines.
func (a *Admitter) waitStart() time.Duration {
	if a.leaseUntil > 0 && a.leaseUntil < a.now {
		return a.leaseUntil
	}
	return a.now
}

// awaitsSlice reports whether the slice of the entry is not served here under its fence. Such requests keep their place
// in the queue.
func (a *Admitter) awaitsSlice(entry *entry) bool {
	if entry.fence == (slicer.Fence{}) {
		return false
	}
	state, known := a.slices[entry.fence.Slice]
	return !known || state.phase != served || state.fence != entry.fence
}

func (a *Admitter) dispatch() {
	for a.mayDispatch() {
		class, index, ok := a.queue.next(a.awaitsSlice)
		if !ok {
			return
		}
		candidate := a.queue.at(class, index)
		status := a.options.Status(a.now, candidate.signature)
		if status == detector.Suspect && a.occupied() > 0 {
			return // the suspect stays first in the queue until the upstream is idle
		}
		entry := a.queue.take(class, index)
		switch {
		case status == detector.Blocked:
			a.rejectQueued(entry, Blocked)
		case a.tooLate(entry):
			a.rejectQueued(entry, TooLate)
		default:
			a.start(entry, status == detector.Suspect)
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
	return a.occupied() < a.limiter.limit
}

func (a *Admitter) tooLate(entry entry) bool {
	if entry.deadline <= a.now {
		return true
	}
	return a.occupied() > 0 && a.now+a.serviceTime.at(a.now) > entry.deadline
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
		generation:   a.limiter.generation,
		alone:        alone,
	})
	a.emit(Dispatch{ID: entry.id, Fence: entry.fence, Alone: alone})
}

func (a *Admitter) indexRunning(id ID) int {
	return slices.IndexFunc(a.running, func(r running) bool { return r.id == id })
}

func (a *Admitter) withdraw(id ID) {
	if entry, ok := a.queue.remove(id); ok {
		a.removeKey(entry.key, entry.hasKey)
		return
	}
	if index := a.indexRunning(id); index >= 0 {
		a.running[index].cancelPending = true
	}
}

// cancel emits Cancel for withdrawn requests that are in flight. A request that may change a slice is cancelled only at
// its deadline, see Withdrawn.
func (a *Admitter) cancel() {
	for i := range a.running {
		request := &a.running[i]
		changesSlice := request.class != configurator.Safe && request.fence != (slicer.Fence{})
		if !request.cancelPending || (changesSlice && a.now < request.deadline) {
			continue
		}
		request.cancelPending = false
		a.emit(Cancel{ID: request.id})
	}
}

// rejectUnreachable rejects the queued requests without a fence while the upstream is down, because other upstreams can
// run them at once. After each backoff one request is dispatched as a probe.
func (a *Admitter) rejectUnreachable() {
	if !a.down || (a.now >= a.pausedUntil && len(a.running) == 0) {
		return
	}
	a.queue.filter(func(entry *entry) bool {
		if entry.fence != (slicer.Fence{}) {
			return true
		}
		a.rejectQueued(*entry, Unreachable)
		return false
	})
}

// sweep rejects queued requests whose deadline has passed or that have waited for OwnershipTimeout. It also expires the
// requests of the previous admission host.
func (a *Admitter) sweep() {
	if a.inherited > 0 && a.now >= a.inheritedUntil {
		a.inherited = 0
	}
	if a.queue.len() == 0 || a.now < a.lastSweep+sweepInterval {
		return
	}
	a.lastSweep = a.now
	valid := a.LeaseValid(a.now)
	a.queue.filter(func(entry *entry) bool {
		awaitsSlice := a.awaitsSlice(entry)
		switch {
		case entry.deadline <= a.now:
			a.rejectQueued(*entry, TooLate)
			return false
		case valid && !awaitsSlice:
			entry.waitingSince, entry.waiting = 0, false
			return true
		case !entry.waiting:
			entry.waitingSince, entry.waiting = a.waitStart(), true
			return true
		case a.now < entry.waitingSince+a.options.OwnershipTimeout:
			return true
		case !valid:
			a.rejectQueued(*entry, NoLease)
			return false
		default:
			a.rejectQueued(*entry, Moved)
			return false
		}
	})
}
