package admitter

import (
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// ID identifies a request of a caller. All attempts of one request have the same ID. It must be unique among the
// requests of the last 10 minutes, for example the hash of Rhubarbtrack-Request-Id.
type ID uint64

// Event is an input of Step. Its types are the structs below; pass them by value.
type Event interface{ event() }

// Offered requests the admission of a request. Dispatch or Reject follows, in the same step or a later one.
type Offered struct {
	ID             ID
	Class          configurator.Class
	Fence          slicer.Fence  // as known to the entry host; the zero value for services not partitioned by key
	Deadline       time.Duration // on the clock of Step
	Signature      uint64        // for the crash detector, see detector.Sign
	IdempotencyKey string        // empty if the caller set none
}

// Ended reports the end of a dispatched request. A slot stays occupied after Withdrawn until Ended arrives.
type Ended struct {
	ID          ID
	Outcome     Outcome
	Latency     time.Duration // since the dispatch
	Incarnation string        // of the response, empty when there was none
	RetryAfter  time.Duration // from the response, 0 if it has none
}

// Withdrawn reports that the caller no longer waits for a request. A queued request is dropped without an action. A
// dispatched one is cancelled: at once if it is safe or has no slice, otherwise at its deadline. The upstream may go on
// running a request for some time after its connection is closed, and a slice must not move while a request changes it.
type Withdrawn struct{ ID ID }

// LeaseRenewed extends the admission lease until SentAt plus the lease time.
type LeaseRenewed struct {
	Epoch  uint64        // of the assignment of this upstream's admission
	SentAt time.Duration // send time of the heartbeat to which the renewal replies
}

// LeaseEnded ends the admission lease of this and earlier epochs at once. All queued requests are rejected and all
// slices removed; requests in flight continue.
type LeaseEnded struct{ Epoch uint64 }

// SlicesServed lists slices whose requests may be dispatched. Events about slices must be passed in the order in which
// the controller issued them; those with a lower fence than a known one are ignored.
type SlicesServed struct{ Fences []slicer.Fence }

// SlicesStopped lists slices whose requests must not be dispatched any more and wait instead. SliceDrained follows for
// each slice, at once or when its last request in flight has ended.
type SlicesStopped struct{ Fences []slicer.Fence }

// SlicesRemoved lists slices that are no longer assigned to the upstream. Their queued requests are rejected with Moved.
type SlicesRemoved struct{ Fences []slicer.Fence }

// IncarnationObserved reports the incarnation in any response of the upstream. An empty one means that the upstream may
// have restarted, for example because all its idle connections broke.
type IncarnationObserved struct{ Incarnation string }

// LoadReported carries a load report of the upstream. It is used only for the requests of the previous admission host: a
// report before the first dispatch sets the limit, and later ones lower the number of those requests. A negative
// InFlight means that the number is unknown.
type LoadReported struct {
	Incarnation string
	InFlight    int
}

// Tick advances the time without another event. Step must be called at least every 50 ms, with any event.
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
	Cancelled                // after Cancel
	Shed                     // not run: overload
	ShedCold                 // not run: cold upstream
	Draining                 // not run: the upstream is shutting down
	NotOwner                 // not run: the upstream rejected the fence
	NotSent                  // not run: no connection was made
)

// NotRun reports whether the request is known not to have been run.
func (o Outcome) NotRun() bool {
	return o >= Shed
}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Dispatch requests to send a request to the upstream, under the fence under which its slice is served.
type Dispatch struct {
	ID    ID
	Fence slicer.Fence
	Alone bool // a suspect of the detector; nothing else is dispatched until it has ended
}

// Reject rejects a request that this admitter never dispatched.
type Reject struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration // estimated time until capacity is free, 0 if unknown
}

// Cancel requests to cancel a withdrawn request by closing its connection. Ended must follow.
type Cancel struct{ ID ID }

// SliceDrained reports that no request of a stopped slice is in flight.
type SliceDrained struct{ Fence slicer.Fence }

// UpstreamSuspected reports that the upstream is probably cold or down. The driver may query its incarnation.
type UpstreamSuspected struct{ State State }

// CrashDetected reports the signatures that were in flight when the upstream crashed. Nothing is dispatched in the same
// step, so that the driver can update the detector first and then call Step with Tick.
type CrashDetected struct {
	Signatures []uint64
	Alone      bool // the only signature is that of a suspect that ran alone
}

// CrashRetracted cancels a CrashDetected: the same incarnation responded to a request that was dispatched after it.
type CrashRetracted struct{ Signatures []uint64 }

// RanAlone reports to the detector that a suspect ran alone without a crash.
type RanAlone struct{ Signature uint64 }

func (Dispatch) action()          {}
func (Reject) action()            {}
func (Cancel) action()            {}
func (SliceDrained) action()      {}
func (UpstreamSuspected) action() {}
func (CrashDetected) action()     {}
func (CrashRetracted) action()    {}
func (RanAlone) action()          {}

// State is the suspected state of the upstream.
type State int

// States of an upstream.
const (
	Cold State = iota
	Down
)

// Reason is why a request was rejected. A rejected request was not run.
type Reason int

// Reasons of a rejection. Reroutable reports for which of them the request may be sent elsewhere.
const (
	NoLease        Reason = iota // the admission lease is not valid
	Moved                        // the slice is not served here
	StaleFence                   // the entry host used an older assignment of the slice
	QueueFull                    // the queue has reached its bound
	TooLate                      // the deadline has passed or cannot be met
	Duplicate                    // a request with the same idempotency key was admitted before
	DuplicatesFull               // the number of idempotency keys has reached its bound
	Blocked                      // requests with this signature crash the upstream
	Unreachable                  // the upstream cannot be reached; only for requests without a fence
)

// Reroutable reports whether the request may be sent to the admission host in a newer table or, if its service is not
// partitioned by key, to another upstream.
func (r Reason) Reroutable() bool {
	return r == NoLease || r == Moved || r == StaleFence || r == Unreachable
}

// String returns the name in kebab case.
func (r Reason) String() string {
	return [...]string{"no-lease", "moved", "stale-fence", "queue-full", "too-late", "duplicate", "duplicates-full",
		"condemned", "unreachable"}[r]
}
