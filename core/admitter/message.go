package admitter

import (
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// ID identifies a request of a caller. All attempts of one caller request carry the same ID; it must be unique among
// the requests of the last 10 minutes (for example the hash of Rhubarbtrack-Request-Id).
type ID uint64

// Event is an input of Step. Its types are the structs below; pass them by value.
type Event interface{ event() }

// Offered asks for the admission of a request. The answer is Dispatch or Refuse, at once or in a later step.
type Offered struct {
	ID             ID
	Class          configurator.Class
	Fence          slicer.Fence  // as known to the entry host; the zero value for services not partitioned by key
	Deadline       time.Duration // on the clock of Step
	Signature      uint64        // of the request for the detection of crashes, see detector.Sign
	IdempotencyKey string        // empty when the caller set none
}

// Ended reports the end of a dispatched request. After a CallerLeft the slot stays occupied until Ended arrives.
type Ended struct {
	ID          ID
	Outcome     Outcome
	Latency     time.Duration // since the dispatch
	Incarnation string        // of the response, empty when there was none
	RetryAfter  time.Duration // asked for by the upstream, 0 when it asked for none
}

// Withdrawn withdraws a request. A queued one is dropped without an action. A dispatched one leads to Cancel: at once
// when it is safe or has no slice, otherwise at its deadline, because closing a connection does not tell when the
// upstream stops, and a slice must not move while a request changes it.
type Withdrawn struct{ ID ID }

// LeaseRenewed extends the admission lease until SentAt plus the lease time.
type LeaseRenewed struct {
	Epoch  uint64        // of the assignment of this upstream's admission
	SentAt time.Duration // when the heartbeat was sent that the renewal answers
}

// LeaseEnded ends the admission lease of this and earlier epochs at once. All queued requests are refused, and all
// slices are forgotten; requests in flight continue.
type LeaseEnded struct{ Epoch uint64 }

// SlicesServed lists slices whose requests may be dispatched. Events about slices must be passed in the order in which
// the controller issued them; those with a lower fence than a known one are ignored.
type SlicesServed struct{ Fences []slicer.Fence }

// SlicesStopped lists slices whose requests must not be dispatched any more. Their requests wait. SliceIdle follows for
// each of them, at once or when its last request in flight has ended.
type SlicesStopped struct{ Fences []slicer.Fence }

// SlicesRemoved lists slices that the upstream has given up. Their waiting requests are refused with Moved.
type SlicesRemoved struct{ Fences []slicer.Fence }

// IncarnationObserved reports the incarnation that the upstream gave in any reply. An empty one means that the upstream may
// have been restarted, for example because all its idle connections broke.
type IncarnationObserved struct{ Incarnation string }

// LoadReported carries a load report of the upstream. A report is trusted only for the requests of earlier admission
// hosts: it sets the limit at the takeover and lowers the number of such requests.
type LoadReported struct {
	Incarnation string
	InFlight    int
}

// Tick lets time pass. It is needed at least every 50 ms; every other event has the same effect.
type Tick struct{}

func (Offered) event()             {}
func (Ended) event()               {}
func (Withdrawn) event()           {}
func (LeaseRenewed) event()        {}
func (LeaseEnded) event()          {}
func (SlicesServed) event()        {}
func (SlicesStopped) event()       {}
func (SlicesRemoved) event()       {}
func (IncarnationObserved) event() {}
func (LoadReported) event()        {}
func (Tick) event()                {}

// Outcome is the end of a dispatched request.
type Outcome int

// Outcomes. NotRun reports for which of them the upstream stated that it did not run the request.
const (
	Succeeded Outcome = iota // complete response of the service
	Failed                   // error or truncated response, time-out
	Crashed                  // the connection broke before the response was complete
	Cancelled                // by CallerLeft
	Shed                     // not run: too much load
	ShedCold                 // not run: cold upstream
	Draining                 // not run: leaving upstream
	NotOwner                 // not run: fence refused
	NotSent                  // not run: no connection was made
)

// NotRun reports whether the request is known not to have been run.
func (o Outcome) NotRun() bool {
	return o >= Shed
}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Dispatch sends a request to the upstream. Fence is the one under which the slice is served.
type Dispatch struct {
	ID    ID
	Fence slicer.Fence
	Alone bool // a suspect; nothing else is dispatched until it has ended
}

// Reject answers a request that this admitter never dispatched.
type Reject struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration // estimate of when capacity is free, 0 when unknown
}

// Cancel ends a dispatched request whose caller has left, by closing its connection. Ended must follow.
type Cancel struct{ ID ID }

// SliceDrained reports that no request of a stopped slice is in flight.
type SliceDrained struct{ Fence slicer.Fence }

// UpstreamSuspected reports that the upstream seems to be cold or to have crashed; the driver may ask it for its incarnation.
type UpstreamSuspected struct{ State State }

// CrashDetected reports the signatures that were in flight when the upstream crashed, for the detector. Nothing is
// dispatched in the same step, so the detector can be updated first; call Step with Tick afterwards.
type CrashDetected struct {
	Signatures []uint64
	Alone      bool // the only signature was a suspect that ran alone
}

// CrashRetracted withdraws a CrashSeen: the same incarnation answered a request that was sent after it.
type CrashRetracted struct{ Signatures []uint64 }

// RanAlone reports that a suspect ran alone without a crash, for the detector.
type RanAlone struct{ Signature uint64 }

func (Dispatch) action()          {}
func (Reject) action()            {}
func (Cancel) action()            {}
func (SliceDrained) action()      {}
func (UpstreamSuspected) action() {}
func (CrashDetected) action()     {}
func (CrashRetracted) action()    {}
func (RanAlone) action()          {}

// State is a suspicion about the upstream.
type State int

// States of an upstream.
const (
	Cold State = iota
	Down
)

// Reason says why a request was refused. In all cases it was not run.
type Reason int

// Reasons of a refusal. Reroutable reports which of them a newer table or another upstream can answer.
const (
	NoLease        Reason = iota // the admission lease is not valid
	Moved                        // the slice is not served here (any more)
	StaleFence                   // the entry host knows an older assignment of the slice
	QueueFull                    // the queue has reached its bound
	TooLate                      // the deadline is over or cannot be met
	Duplicate                    // a request with the same idempotency key was admitted before
	DuplicatesFull               // the memory of idempotency keys has reached its bound
	Blocked                      // requests with this signature crash upstreams
	Unreachable                  // the upstream cannot be reached; of services without keys only
)

// Reroutable reports whether the request may be sent to the admission host that a newer table names, or to another
// upstream of a service without keys.
func (r Reason) Reroutable() bool {
	return r == NoLease || r == Moved || r == StaleFence || r == Unreachable
}

// String returns the name in kebab case.
func (r Reason) String() string {
	return [...]string{"no-lease", "moved", "stale-fence", "queue-full", "too-late", "duplicate", "duplicates-full",
		"condemned", "unreachable"}[r]
}
