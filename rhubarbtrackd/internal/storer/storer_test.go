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

func serve(t *testing.T, handle http.HandlerFunc) *storer.Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return storer.New(server.URL, &http.Transport{DisableKeepAlives: true})
}

func refusing(t *testing.T) *storer.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	return storer.New("http://"+address, &http.Transport{})
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func lose(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// cutBody announces more than it sends.
func cutBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"name":"a","ver`))
	panic(http.ErrAbortHandler)
}

// Guards against a write that may have taken effect and counts as not accepted, which would be repeated blindly, and
// against a call that certainly changed nothing and counts as unknown.
func TestErrorKinds(t *testing.T) {
	tests := []struct {
		name         string
		client       *storer.Client
		write, read  storer.Kind
		currentValue string
	}{
		{name: "refused connection", client: refusing(t), write: storer.Unavailable, read: storer.Unavailable},
		{name: "answer lost", client: serve(t, lose), write: storer.Unknown, read: storer.Unavailable},
		{name: "answer cut off", client: serve(t, cutBody), write: storer.Unknown, read: storer.Unavailable},
		{name: "condition failed", client: serve(t, answer(412, `{"name":"a","version":7,"value":"dg=="}`)),
			write: storer.Conflict, read: storer.Conflict, currentValue: "v"},
		{name: "rate limit", client: serve(t, answer(429, "")), write: storer.Unavailable, read: storer.Unavailable},
		{name: "unavailable", client: serve(t, answer(503, "")), write: storer.Unavailable, read: storer.Unavailable},
		{name: "internal error", client: serve(t, answer(500, "")), write: storer.Unknown, read: storer.Unavailable},
		{name: "compacted", client: serve(t, answer(410, "")), write: storer.Compacted, read: storer.Compacted},
		{name: "absent", client: serve(t, answer(404, "")), write: storer.NotFound, read: storer.NotFound},
		{name: "too large", client: serve(t, answer(413, "")), write: storer.Invalid, read: storer.Invalid},
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

// Guards against a watch that reports half a change, hangs on a store that fell silent, or hides that it must list anew.
func TestWatchErrors(t *testing.T) {
	const line = `{"type":"put","name":"config/a","version":4,"value":"dg=="}` + "\n"
	stream := func(body string, end func(r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprint(w, body)
			_ = http.NewResponseController(w).Flush()
			end(r)
		}
	}
	cut := func(*http.Request) { panic(http.ErrAbortHandler) }
	silent := func(r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name    string
		handle  http.HandlerFunc
		kind    storer.Kind
		changes int
	}{
		{"clean end", stream(line, func(*http.Request) {}), storer.Unavailable, 1},
		{"cut between lines", stream(line, cut), storer.Unavailable, 1},
		{"cut within a line", stream(line+line[:30], cut), storer.Unavailable, 1},
		{"malformed line", stream(line+"}\n"+line, cut), storer.Unavailable, 1},
		{"oversized value", stream(line+strings.Repeat("x", 3<<20), cut), storer.Unavailable, 1},
		{"silent store", stream(line, silent), storer.Unavailable, 1},
		{"silent from the start", stream("", silent), storer.Unavailable, 0},
		{"no answer", silentAnswer, storer.Unavailable, 0},
		{"compacted", answer(410, ""), storer.Compacted, 0},
		{"rate limit", answer(429, ""), storer.Unavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			changes := 0
			err := serve(t, test.handle).Watch(ctx, "config/", 1, func(storer.Change) { changes++ })
			assert.NilError(t, ctx.Err(), "the watch ended only with its context")
			assert.Equal(t, storer.KindOf(err), test.kind, "%v", err)
			assert.Equal(t, changes, test.changes)
		})
	}
}

func silentAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
