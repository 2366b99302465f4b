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

// Headers between entry hosts, admission hosts, upstreams and callers.
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
	Fence          slicer.Fence // zero for services not partitioned by key
	Signature      uint64
	IdempotencyKey string
	Key            string // for the measurement of hot keys, not sent to the upstream
	Method         string
	URI            string // path and query as the upstream sees them
	Header         http.Header
	Body           io.Reader
	ContentLength  int64 // -1 when unknown
}

// Response is the answer of an upstream. Body must be closed. Reading Body returns an error when the answer is cut off.
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

// Reasons of errors, besides those of the admitter and those that the upstream states.
const (
	ReasonNotAdmittedHere = "no-lease"       // this host has no admission lease
	ReasonOverloaded      = "overloaded"     // a ring of this host is full
	ReasonUnreachable     = "unreachable"    // no connection could be made
	ReasonWithdrawn       = "caller-left"    // the caller went away before the dispatch
	ReasonConnection      = "connection"     // the connection broke after the request was sent
	ReasonDeadline        = "deadline"       // the deadline passed after the request was sent
	ReasonMismatched      = "crossed-answer" // the answer belongs to another request
	ReasonUnframed        = "unframed-body"  // the end of the body cannot be told from a broken connection
	ReasonStopping        = "stopping"       // this host is shutting down
)

// Error is the error type of this package.
type Error struct {
	Op         string
	Kind       Kind
	Reason     string
	Reroutable bool          // another host or upstream may take the request according to a newer table
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// AsError returns err as an error of this package. Any other error counts as an unknown outcome.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonConnection, Err: err}
}
