package storer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

func newTestClient(t *testing.T, handle http.HandlerFunc) *storer.Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return storer.New(server.URL, &http.Transport{DisableKeepAlives: true})
}

func newRefusingClient(t *testing.T) *storer.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	return storer.New("http://"+address, &http.Transport{})
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncateBody sends fewer bytes than its Content-Length states.
func truncateBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"name":"a","ver`))
	panic(http.ErrAbortHandler)
}

// Guards against reporting a write that may have taken effect as not executed, which would be repeated without a check,
// and against reporting a call that certainly changed nothing as unknown.
func TestErrorKinds(t *testing.T) {
	tests := []struct {
		name         string
		client       *storer.Client
		write, read  storer.Kind
		currentValue string
	}{
		{name: "connection refused", client: newRefusingClient(t), write: storer.Unavailable, read: storer.Unavailable},
		{name: "response lost", client: newTestClient(t, abortConnection), write: storer.Unknown, read: storer.Unavailable},
		{name: "response truncated", client: newTestClient(t, truncateBody), write: storer.Unknown, read: storer.Unavailable},
		{name: "condition failed", client: newTestClient(t, respond(412, `{"name":"a","version":7,"value":"dg=="}`)),
			write: storer.Conflict, read: storer.Conflict, currentValue: "v"},
		{name: "rate limit", client: newTestClient(t, respond(429, "")), write: storer.Unavailable, read: storer.Unavailable},
		{name: "unavailable", client: newTestClient(t, respond(503, "")), write: storer.Unavailable, read: storer.Unavailable},
		{name: "internal error", client: newTestClient(t, respond(500, "")), write: storer.Unknown, read: storer.Unavailable},
		{name: "compacted", client: newTestClient(t, respond(410, "")), write: storer.Compacted, read: storer.Compacted},
		{name: "absent", client: newTestClient(t, respond(404, "")), write: storer.NotFound, read: storer.NotFound},
		{name: "too large", client: newTestClient(t, respond(413, "")), write: storer.Invalid, read: storer.Invalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := test.client.Put(ctx, "a", []byte("x"), storer.IfVersion(3))
			assert.Equal(t, storer.KindOf(err), test.write, "%v", err)
			if test.currentValue != "" {
				var e *storer.Error
				assert.Assert(t, errors.As(err, &e))
				assert.Equal(t, string(e.Current.Value), test.currentValue)
				assert.Equal(t, e.Current.Version, uint64(7))
			}
			_, err = test.client.Delete(ctx, "a", storer.IfVersion(3))
			assert.Equal(t, storer.KindOf(err), test.write, "%v", err)
			_, err = test.client.Get(ctx, "a")
			assert.Equal(t, storer.KindOf(err), test.read, "%v", err)
			_, _, err = test.client.List(ctx, "a")
			assert.Equal(t, storer.KindOf(err), test.read, "%v", err)
		})
	}
}

// Guards against a watch that reports an incomplete change, hangs on an unresponsive store, or does not report that the
// caller must list again.
func TestWatchErrors(t *testing.T) {
	const line = `{"type":"put","name":"config/a","version":4,"value":"dg=="}` + "\n"
	stream := func(body string, end func(r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprint(w, body)
			_ = http.NewResponseController(w).Flush()
			end(r)
		}
	}
	abort := func(*http.Request) { panic(http.ErrAbortHandler) }
	hang := func(r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name    string
		handle  http.HandlerFunc
		kind    storer.Kind
		changes int
	}{
		{"connection closed", stream(line, func(*http.Request) {}), storer.Unavailable, 1},
		{"aborted between lines", stream(line, abort), storer.Unavailable, 1},
		{"aborted within a line", stream(line+line[:30], abort), storer.Unavailable, 1},
		{"malformed line", stream(line+"}\n"+line, abort), storer.Unavailable, 1},
		{"oversized value", stream(line+strings.Repeat("x", 3<<20), abort), storer.Unavailable, 1},
		{"unresponsive after a change", stream(line, hang), storer.Unavailable, 1},
		{"unresponsive after the header", stream("", hang), storer.Unavailable, 0},
		{"no response", waitForCancel, storer.Unavailable, 0},
		{"compacted", respond(410, ""), storer.Compacted, 0},
		{"rate limit", respond(429, ""), storer.Unavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			changes := 0
			err := newTestClient(t, test.handle).Watch(ctx, "config/", 1, func(storer.Change) { changes++ })
			assert.NilError(t, ctx.Err(), "watch did not return before its context was done")
			assert.Equal(t, storer.KindOf(err), test.kind, "%v", err)
			assert.Equal(t, changes, test.changes)
		})
	}
}

func waitForCancel(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
