package dispatcher

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// Headers and header values in messages between entry hosts, admission hosts, upstreams and callers.
const (
	HeaderFence       = "Rhubarbtrack-Fence"
	HeaderRequestID   = "Rhubarbtrack-Request-Id"
	HeaderDeadline    = "Rhubarbtrack-Deadline-Ms"
	HeaderOutcome     = "Rhubarbtrack-Outcome"
	HeaderReason      = "Rhubarbtrack-Reason"
	HeaderIncarnation = "Rhubarbtrack-Incarnation"

	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// Request is one attempt to run a caller's request on one upstream.
type Request struct {
	ID             string // same for all attempts of a caller's request
	Service        string
	Upstream       string // <service>.<name>
	Class          configurator.Class
	Fence          slicer.Fence // zero for services that are not keyed
	Signature      uint64
	IdempotencyKey string
	Key            string // for the detection of hot keys; not sent to the upstream
	Method         string
	URI            string // path and query as sent to the upstream
	Header         http.Header
	Body           io.Reader
	ContentLength  int64 // -1 when unknown
}

// Response is the response of an upstream. Body must be closed. Reading Body returns an error if the response is
// truncated.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // -1 when unknown
}

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	// NotRun means that the upstream did not run the request.
	NotRun Kind = iota + 1
	// Unknown means that the upstream may have run the request.
	Unknown
)

// Reasons of errors. The admitter and upstreams return further reasons.
const (
	ReasonNotAdmittedHere = "no-lease"       // this host has no admission lease
	ReasonOverloaded      = "overloaded"     // a queue of this host is full
	ReasonUnreachable     = "unreachable"    // no connection could be made
	ReasonWithdrawn       = "caller-left"    // cancelled or past its deadline before the dispatch
	ReasonConnection      = "connection"     // the connection broke after the request was sent
	ReasonDeadline        = "deadline"       // the deadline passed after the request was sent
	ReasonMismatched      = "crossed-answer" // the response carries the ID of another request
	ReasonUnframed        = "unframed-body"  // a complete body cannot be distinguished from a broken connection
	ReasonStopping        = "stopping"       // this host is shutting down
)

// Error is the error type of this package. Kind says whether the upstream may have run the request.
type Error struct {
	Op         string
	Kind       Kind
	Reason     string
	Reroutable bool          // a newer table may route the request to another host or upstream
	RetryAfter time.Duration // 0 when unknown
	Err        error
}

func (e *Error) Error() string {
	outcome := OutcomeUnknown
	if e.Kind == NotRun {
		outcome = OutcomeNotRun
	}
	if e.Err == nil {
		return fmt.Sprintf("%s: %s (%s)", e.Op, outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s (%s): %v", e.Op, outcome, e.Reason, e.Err)
}

// Unwrap returns the underlying error, nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns the *Error in the chain of err. It wraps any other error in one of kind Unknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonConnection, Err: err}
}
