// Package sender sends a request and retries it with exponential backoff until it is answered, a retry would be unsafe,
// or its deadline passes.
//
// A request is retried only when it is certain that it did not run: the response says so, or no connection was made. In
// all other cases the request may have run, and a retry could run it twice.
//
// Usage:
//
//	send := sender.New(sender.Options{Client: client, Entries: entries, Service: "shelf-marks", Observe: observe})
//	result := send.Send(ctx, arrival)
package sender

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/loadgen/internal/picker"
	"rhubarbtrack.example/loadgen/internal/planner"
)

const (
	headerRequestID = "Rhubarbtrack-Request-Id"
	// headerCallerID carries the request's ID to the upstream. The router overwrites Rhubarbtrack-Request-Id.
	headerCallerID = "Demo-Request-Id"
	headerKey      = "Rhubarbtrack-Key"
	headerDeadline = "Rhubarbtrack-Deadline-Ms"
	headerOutcome  = "Rhubarbtrack-Outcome"
	headerReason   = "Rhubarbtrack-Reason"
	outcomeNotRun  = "not-run"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// Outcome says what the caller can conclude about a request after its last attempt.
type Outcome int

// Outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run: every attempt was rejected as not run or was not sent.
	NotRun
	// Answered means that the complete response to this request was received.
	Answered
	// Mismatched means that a response ended without an error but was truncated or belonged to another request.
	Mismatched
)

// Result is the final state of a request. Reason explains every outcome except Answered, for which it is empty. Reasons
// are keys in stored JSON reports, so their texts must not change.
type Result struct {
	Outcome  Outcome
	Reason   string
	Attempts int
}

// Attempt is one HTTP request to an entry address. OK is true if it was answered.
type Attempt struct {
	Key     string
	Started time.Time
	Ended   time.Time
	OK      bool
}

// Options configure a Sender.
type Options struct {
	Client  *http.Client
	Entries *picker.Picker
	Service string
	// KeyHeader is the name of the header that carries the key; the default is Rhubarbtrack-Key.
	KeyHeader string
	// BodyBytes is the size of the padding in request bodies, in bytes. GET requests have no body.
	BodyBytes int
	// Observe is called after every attempt. It may be called concurrently.
	Observe func(Attempt)
}

// Sender is safe for concurrent use.
type Sender struct {
	options Options
}

// New returns a sender. Client, Entries and Observe must be set.
func New(options Options) *Sender {
	if options.KeyHeader == "" {
		options.KeyHeader = headerKey
	}
	return &Sender{options: options}
}

// Send sends the request and retries it until the deadline of the context. It retries only after a response that says
// that the request was not run, or when no connection was made. A request whose response was lost is not retried, even
// if it is safe or idempotent.
func (s *Sender) Send(ctx context.Context, arrival planner.Arrival) Result {
	result := Result{Outcome: NotRun}
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result.Attempts++
		outcome, reason, delay := s.attempt(ctx, arrival)
		result.Reason = reason
		if outcome != NotRun {
			result.Outcome = outcome
			return result
		}
		delay = max(delay, time.Duration(float64(backoff)*s.options.Entries.Jitter()))
		select {
		case <-ctx.Done():
			return result
		case <-time.After(delay):
		}
		if ctx.Err() != nil {
			return result
		}
	}
}

// SendOnce makes one attempt, without retries, and reports whether it was answered.
func (s *Sender) SendOnce(ctx context.Context, arrival planner.Arrival) bool {
	outcome, _, _ := s.attempt(ctx, arrival)
	return outcome == Answered
}

func (s *Sender) attempt(ctx context.Context, arrival planner.Arrival) (Outcome, string, time.Duration) {
	started := time.Now()
	outcome, reason, delay := s.roundTrip(ctx, arrival)
	s.options.Observe(Attempt{Key: arrival.Key, Started: started, Ended: time.Now(), OK: outcome == Answered})
	return outcome, reason, delay
}

// roundTrip makes one attempt. The duration is the Retry-After of a rejection, zero if there is none.
func (s *Sender) roundTrip(ctx context.Context, arrival planner.Arrival) (Outcome, string, time.Duration) {
	entry := s.options.Entries.Pick()
	body := s.body(arrival)
	request, err := s.newRequest(ctx, entry, arrival, body)
	if err != nil {
		return NotRun, err.Error(), 0
	}
	response, err := s.options.Client.Do(request)
	if err != nil {
		return s.classifyError(entry, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if response.Header.Get(headerOutcome) == outcomeNotRun {
		return NotRun, "refused: " + response.Status + " " + response.Header.Get(headerReason), retryAfter(response.Header)
	}
	if err != nil {
		return Unknown, "body: " + cause(err), 0
	}
	if response.StatusCode != http.StatusOK {
		return Unknown, response.Status, 0
	}
	if mismatch := verify(arrival, body, response.Header, content); mismatch != "" {
		return Mismatched, mismatch, 0
	}
	return Answered, "", 0
}

// classifyError returns the outcome of an attempt without a response. When no connection was made, no byte was sent, so
// that the request can safely be sent to another entry.
func (s *Sender) classifyError(entry string, err error) (Outcome, string, time.Duration) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		s.options.Entries.SetReady(entry, false)
		return NotRun, "no connection: " + cause(err), 0
	}
	return Unknown, "no answer: " + cause(err), 0
}

// cause returns the innermost error. It contains no addresses and ports, so that equal reasons can be counted together.
func cause(err error) string {
	return errors.UnwrapAll(err).Error()
}

func (s *Sender) newRequest(ctx context.Context, entry string, arrival planner.Arrival, body string) (*http.Request, error) {
	method := methodOf(arrival.Kind)
	url := "http://" + entry + "/" + s.options.Service + "/items?id=" + arrival.ID
	var reader io.Reader = http.NoBody
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	request.Header.Set(headerRequestID, arrival.ID)
	request.Header.Set(headerCallerID, arrival.ID)
	if arrival.Key != "" {
		request.Header.Set(s.options.KeyHeader, arrival.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	return request, nil
}

// body returns a body that is unique to the request, or an empty one for a GET.
func (s *Sender) body(arrival planner.Arrival) string {
	if arrival.Kind == planner.Safe {
		return ""
	}
	return arrival.ID + " " + strings.Repeat("x", s.options.BodyBytes)
}

// verify checks that the response is complete and belongs to the request. It returns the mismatch, or an empty string.
func verify(arrival planner.Arrival, body string, header http.Header, content []byte) string {
	var echo struct {
		RequestID string `json:"request-id"`
		RouterID  string `json:"router-id"`
		Key       string `json:"key"`
		Digest    string `json:"digest"`
	}
	if err := json.Unmarshal(content, &echo); err != nil {
		return "body is not whole: " + err.Error()
	}
	if echo.RequestID != arrival.ID {
		return "body names another request"
	}
	if header.Get(headerRequestID) != echo.RouterID {
		return "header and body name different requests"
	}
	if arrival.Key != "" && echo.Key != arrival.Key {
		return "body names another key"
	}
	sum := sha256.Sum256([]byte(body))
	if echo.Digest != hex.EncodeToString(sum[:]) {
		return "digest belongs to another body"
	}
	return ""
}

func methodOf(kind planner.Kind) string {
	switch kind {
	case planner.NeverRepeat:
		return http.MethodPost
	case planner.Idempotent:
		return http.MethodPut
	default:
		return http.MethodGet
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
