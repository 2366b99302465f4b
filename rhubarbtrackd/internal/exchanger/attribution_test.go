package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

func statusText(status int, id string) string {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	if id != "" {
		text += "Request-Id: " + id + "\r\n"
	}
	return text + "Content-Length: 2\r\n\r\nno"
}

// TestLateCopies guards against a caller that gets the response to another request. The upstream responds to request a,
// receives request b on the same connection, and then sends bytes that belong to request a before its response to b.
func TestLateCopies(t *testing.T) {
	tests := []struct {
		name string
		late string
		// closes is set when the upstream closes the connection after the late bytes.
		closes bool
		kind   exchanger.Kind // of the outcome of b; 0: the response to b
	}{
		{"copy with the id of a", responseText("a", "ok"), false, 0},
		{"two copies with the id of a", responseText("a", "ok") + responseText("a", "ok"), false, 0},
		{"failure with the id of a", statusText(404, "a"), false, 0},
		{"rejection with the id of a", strings.Replace(statusText(503, "a"), "\r\n", "\r\nNot-Executed: 1\r\n", 1), false, 0},
		{"404 without an id", statusText(404, ""), false, exchanger.NoResponse},
		{"500 without an id", statusText(500, ""), false, exchanger.NoResponse},
		{"rejection without an id", strings.Replace(statusText(503, ""), "\r\n", "\r\nNot-Executed: 1\r\n", 1), false, exchanger.NoResponse},
		{"redirect without an id", statusText(302, ""), false, exchanger.NoResponse},
		{"200 without an id", statusText(200, ""), false, exchanger.NoResponse},
		{"response with two ids", strings.Replace(statusText(404, "b"), "\r\n", "\r\nRequest-Id: a\r\n", 1), false, exchanger.NoResponse},
		{"half a head", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Le", true, exchanger.Interrupted},
		{"half a body", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nhalf", true, exchanger.Interrupted},
		{"copy that ends with the connection", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n\r\nok", true, exchanger.Interrupted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(n int, r *http.Request) string {
				id := r.Header.Get(idHeader)
				switch {
				case n == 0:
					return responseText(id, "ok")
				case tt.closes:
					return tt.late + "\x00close"
				default:
					return tt.late + responseText(id, "B")
				}
			})
			pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
			target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
			_, err := pool.Do(context.Background(), target, newRequest("a"))
			assert.NilError(t, err)
			response, err := pool.Do(context.Background(), target, newRequest("b"))
			assert.Equal(t, kindOf(err), tt.kind)
			if tt.kind == 0 {
				assert.Equal(t, response.Status, 200)
				assert.Equal(t, string(response.Body), "B")
			}
			assert.Equal(t, u.conns.Load(), int64(1))
			if tt.kind == 0 {
				return
			}
			// What the connection still holds must not reach the next caller.
			response, err = pool.Do(context.Background(), target, newRequest("c"))
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "ok")
			assert.Equal(t, u.conns.Load(), int64(2), "the connection was used again")
		})
	}
}

// TestFailureWithoutIDOnANewConnection checks that a failure without an ID is returned on a connection that has carried
// one request only, because it can belong to no other one.
func TestFailureWithoutIDOnANewConnection(t *testing.T) {
	u := newUpstream(t, func(int, *http.Request) string { return statusText(503, "") })
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	response, err := pool.Do(context.Background(), exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}, newRequest("a"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, 503)
}

// TestRequestWithoutIDGetsANewConnection guards against a response that cannot be attributed because the caller sent no
// ID: on a connection in use, it could be a late copy of another response.
func TestRequestWithoutIDGetsANewConnection(t *testing.T) {
	u := newUpstream(t, func(int, *http.Request) string { return statusText(404, "") })
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	for range 2 {
		_, err := pool.Do(context.Background(), exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}, newRequest(""))
		assert.NilError(t, err)
	}
	assert.Equal(t, u.conns.Load(), int64(2))
}

// TestRepeatedAttemptGetsANewConnection guards against a false statement that a request has not run: an upstream rejects
// the first attempt, sends a second copy of the rejection late, and runs the second attempt, which has the same ID.
func TestRepeatedAttemptGetsANewConnection(t *testing.T) {
	rejection := strings.Replace(statusText(503, "a"), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
	u := newUpstream(t, func(n int, r *http.Request) string {
		if n > 0 {
			return rejection + responseText(r.Header.Get(idHeader), "ok")
		}
		return rejection
	})
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
	_, err := pool.Do(context.Background(), target, newRequest("a"))
	assert.NilError(t, err)
	second := newRequest("a")
	second.Repeated = true
	_, err = pool.Do(context.Background(), target, second)
	assert.NilError(t, err)
	assert.Equal(t, u.conns.Load(), int64(2))
}

// TestCopyBeforeTheNextRequest guards against reuse of a connection on which a second copy arrived while it was idle.
func TestCopyBeforeTheNextRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	var conns atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					text := responseText(request.Header.Get(idHeader), "ok")
					_, _ = io.WriteString(conn, text)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: listener.Addr().String()}
	for _, id := range []string{"a", "b"} {
		_, err := pool.Do(context.Background(), target, newRequest(id))
		assert.NilError(t, err)
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, conns.Load(), int64(2))
}

// Guards against a false statement that a request has not run when a caller uses an ID again that the upstream has rejected
// before: a second copy of the rejection has the ID and the connection of the new request.
func TestCopyOfARejectionIsNotTakenForTheNextRequestWithItsID(t *testing.T) {
	rejection := strings.Replace(statusText(503, "a"), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
	var rejected atomic.Bool
	u := newUpstream(t, func(n int, r *http.Request) string {
		id := r.Header.Get(idHeader)
		switch {
		case !rejected.Swap(true):
			return rejection
		case id == "a" && n > 0:
			return rejection + responseText(id, "ok")
		}
		return responseText(id, "ok")
	})
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
	for i, want := range []struct {
		id     string
		status int
	}{{"a", 503}, {"b", 200}, {"a", 200}} {
		response, err := pool.Do(context.Background(), target, newRequest(want.id))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, want.status, "request %d", i)
	}
}

// Guards against a connection that remembers the IDs of rejected requests without bound.
func TestConnectionWithManyRejectionsIsClosed(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request) string { return statusText(503, r.Header.Get(idHeader)) })
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	for i := range 200 {
		_, err := pool.Do(context.Background(), exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}, newRequest(strconv.Itoa(i)))
		assert.NilError(t, err)
	}
	assert.Equal(t, u.conns.Load(), int64(4))
}
