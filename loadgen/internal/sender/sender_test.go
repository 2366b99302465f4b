package sender_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/loadgen/internal/picker"
	"rhubarbtrack.example/loadgen/internal/planner"
	"rhubarbtrack.example/loadgen/internal/sender"
)

// reaction is a scripted response of the server to one attempt.
type reaction func(w http.ResponseWriter, request *http.Request)

func ok(w http.ResponseWriter, request *http.Request) {
	echo(w, request, request.Header.Get("Demo-Request-Id"), "")
}

func echoOtherID(w http.ResponseWriter, request *http.Request) { echo(w, request, "other", "") }

func echoOtherHeader(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	sum := sha256.Sum256(body)
	w.Header().Set("Rhubarbtrack-Request-Id", "router-2")
	_, _ = fmt.Fprintf(w, `{"request-id":"r1","router-id":"router","key":"k","digest":"%s"}`, hex.EncodeToString(sum[:]))
}

func echoOtherBody(w http.ResponseWriter, request *http.Request) {
	echo(w, request, request.Header.Get("Demo-Request-Id"), "other")
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Rhubarbtrack-Outcome", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func unknown(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Rhubarbtrack-Outcome", "unknown")
	w.WriteHeader(http.StatusBadGateway)
}

func unavailableWithoutOutcome(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, `{"request-id"`)
	panic(http.ErrAbortHandler)
}

func cleanlyTruncated(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, `{"request-id"`)
}

func echo(w http.ResponseWriter, request *http.Request, id, extra string) {
	body, _ := io.ReadAll(request.Body)
	sum := sha256.Sum256([]byte(string(body) + extra))
	w.Header().Set("Rhubarbtrack-Request-Id", "router")
	_, _ = fmt.Fprintf(w, `{"request-id":"%s","router-id":"router","key":"k","digest":"%s"}`, id, hex.EncodeToString(sum[:]))
}

// Guards against retrying a request that may have run, against abandoning a request that did not run, and against
// accepting a response that is truncated or belongs to another request.
func TestSend(t *testing.T) {
	tests := []struct {
		name      string
		kind      planner.Kind
		reactions []reaction
		outcome   sender.Outcome
		attempts  int
	}{
		{name: "answered", kind: planner.NeverRepeat, reactions: []reaction{ok}, outcome: sender.Answered, attempts: 1},
		{name: "never-repeat after not-run", kind: planner.NeverRepeat, reactions: []reaction{notRun, ok}, outcome: sender.Answered, attempts: 2},
		{name: "idempotent after not-run", kind: planner.Idempotent, reactions: []reaction{notRun, notRun, ok}, outcome: sender.Answered, attempts: 3},
		{name: "never-repeat unknown", kind: planner.NeverRepeat, reactions: []reaction{unknown, ok}, outcome: sender.Unknown, attempts: 1},
		{name: "never-repeat rejected without outcome", kind: planner.NeverRepeat, reactions: []reaction{unavailableWithoutOutcome, ok}, outcome: sender.Unknown, attempts: 1},
		{name: "never-repeat reset", kind: planner.NeverRepeat, reactions: []reaction{reset, ok}, outcome: sender.Unknown, attempts: 1},
		{name: "not-run, then reset", kind: planner.NeverRepeat, reactions: []reaction{notRun, reset, ok}, outcome: sender.Unknown, attempts: 2},
		{name: "truncated with an error", kind: planner.NeverRepeat, reactions: []reaction{truncated, ok}, outcome: sender.Unknown, attempts: 1},
		{name: "truncated without an error", kind: planner.Safe, reactions: []reaction{cleanlyTruncated}, outcome: sender.Mismatched, attempts: 1},
		{name: "other request", kind: planner.Safe, reactions: []reaction{echoOtherID}, outcome: sender.Mismatched, attempts: 1},
		{name: "header of another request", kind: planner.Safe, reactions: []reaction{echoOtherHeader}, outcome: sender.Mismatched, attempts: 1},
		{name: "other body", kind: planner.NeverRepeat, reactions: []reaction{echoOtherBody}, outcome: sender.Mismatched, attempts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				count := int(received.Add(1))
				test.reactions[min(count, len(test.reactions))-1](w, request)
			}))
			defer server.Close()
			send := newSender(server.URL)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			result := send.Send(ctx, planner.Arrival{ID: "r1", Key: "k", Kind: test.kind})
			assert.Equal(t, result.Outcome, test.outcome, result.Reason)
			assert.Equal(t, int(received.Load()), test.attempts)
		})
	}
}

// Guards against reporting a request as unknown although every attempt was rejected or failed to connect, and against
// retries after its deadline.
func TestSendEndsAtDeadline(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(notRun))
	closedServer := httptest.NewServer(http.HandlerFunc(ok))
	closedServer.Close()
	defer server.Close()
	for _, url := range []string{server.URL, closedServer.URL} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		result := newSender(url).Send(ctx, planner.Arrival{ID: "r1", Kind: planner.NeverRepeat})
		cancel()
		assert.Equal(t, result.Outcome, sender.NotRun, result.Reason)
	}
}

func newSender(url string) *sender.Sender {
	return sender.New(sender.Options{
		Client:  &http.Client{Transport: &http.Transport{}},
		Entries: picker.New(1, []string{strings.TrimPrefix(url, "http://")}),
		Service: "s",
		Observe: func(sender.Attempt) {},
	})
}
