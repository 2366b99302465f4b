// Package sender sends a request until it is answered, may not be sent again, or reaches its deadline.
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
	// headerCallerID carries the request's id to the upstream; the router replaces Rhubarbtrack-Request-Id by its own.
	headerCallerID = "Demo-Request-Id"
	headerKey      = "Rhubarbtrack-Key"
	headerDeadline = "Rhubarbtrack-Deadline-Ms"
	headerOutcome  = "Rhubarbtrack-Outcome"
	headerReason   = "Rhubarbtrack-Reason"
	outcomeNotRun  = "not-run"
)

const (
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = 200 * time.Millisecond
)

// Outcome is what the caller knows about a request in the end.
type Outcome int

// Outcomes of a request.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that every attempt was refused as not run.
	NotRun
	// Answered means that the whole answer to this request was received.
	Answered
	// Mismatched means that an answer was presented as complete, but was not whole or belonged to another request.
	Mismatched
)

// Result is the end of a request. Reason explains every outcome but Answered.
type Result struct {
	Outcome  Outcome
	Reason   string
	Attempts int
}

// Attempt is one exchange with an entry address.
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
	// KeyHeader carries the key; the default is Rhubarbtrack-Key.
	KeyHeader string
	BodyBytes int
	// Observe is called after every attempt.
	Observe func(Attempt)
}

// Sender is safe for concurrent use.
type Sender struct {
	options Options
}

// New returns a sender.
func New(options Options) *Sender {
	if options.KeyHeader == "" {
		options.KeyHeader = headerKey
	}
	return &Sender{options: options}
}

// Send sends the request until the deadline of the context. It sends a request again only when the answer said that it was
// not run, or when no connection was made. A request whose answer was lost is not sent again, whatever its kind.
func (s *Sender) Send(ctx context.Context, arrival planner.Arrival) Result {
	result := Result{Outcome: NotRun}
	for backoff := firstBackoff; ; backoff = min(2*backoff, longestBackoff) {
		result.Attempts++
		outcome, reason, pause := s.attempt(ctx, arrival)
		result.Reason = reason
		if outcome != NotRun {
			result.Outcome = outcome
			return result
		}
		pause = max(pause, time.Duration(float64(backoff)*s.options.Entries.Jitter()))
		select {
		case <-ctx.Done():
			return result
		case <-time.After(pause):
		}
		if ctx.Err() != nil {
			return result
		}
	}
}

// SendOnce makes one attempt and reports whether it was answered.
func (s *Sender) SendOnce(ctx context.Context, arrival planner.Arrival) bool {
	outcome, _, _ := s.attempt(ctx, arrival)
	return outcome == Answered
}

func (s *Sender) attempt(ctx context.Context, arrival planner.Arrival) (Outcome, string, time.Duration) {
	started := time.Now()
	outcome, reason, pause := s.exchange(ctx, arrival)
	s.options.Observe(Attempt{Key: arrival.Key, Started: started, Ended: time.Now(), OK: outcome == Answered})
	return outcome, reason, pause
}

// exchange makes one attempt. The duration is the Retry-After of a refusal.
func (s *Sender) exchange(ctx context.Context, arrival planner.Arrival) (Outcome, string, time.Duration) {
	entry := s.options.Entries.Pick()
	body := s.body(arrival)
	request, err := s.newRequest(ctx, entry, arrival, body)
	if err != nil {
		return NotRun, err.Error(), 0
	}
	answer, err := s.options.Client.Do(request)
	if err != nil {
		return s.failed(entry, err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if answer.Header.Get(headerOutcome) == outcomeNotRun {
		return NotRun, "refused: " + answer.Status + " " + answer.Header.Get(headerReason), retryAfter(answer.Header)
	}
	if err != nil {
		return Unknown, "body: " + cause(err), 0
	}
	if answer.StatusCode != http.StatusOK {
		return Unknown, answer.Status, 0
	}
	if mismatch := verify(arrival, body, answer.Header, content); mismatch != "" {
		return Mismatched, mismatch, 0
	}
	return Answered, "", 0
}

// failed classifies an exchange without an answer. When no connection was made, no byte was sent, so that the request can
// go to another entry.
func (s *Sender) failed(entry string, err error) (Outcome, string, time.Duration) {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		s.options.Entries.SetReady(entry, false)
		return NotRun, "no connection: " + cause(err), 0
	}
	return Unknown, "no answer: " + cause(err), 0
}

// cause leaves out addresses and ports, so that equal reasons can be counted.
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

// body returns a body that no other request has, or an empty one for a GET.
func (s *Sender) body(arrival planner.Arrival) string {
	if arrival.Kind == planner.Safe {
		return ""
	}
	return arrival.ID + " " + strings.Repeat("x", s.options.BodyBytes)
}

// verify returns why the answer is not the whole answer to this request, or an empty string.
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
