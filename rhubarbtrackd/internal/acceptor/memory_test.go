package acceptor_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/core/reserver"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
)

const (
	memoryLimit = 256 << 10
	uploadSize  = 90_000
)

func uploadOf(size int) string {
	return fmt.Sprintf("POST /scan HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

// heldFixture has handlers of POST that hold their bodies until proceed is closed.
func heldFixture(t *testing.T) (f *fixture, proceed chan struct{}, used, waiting *atomic.Int64) {
	t.Helper()
	used, waiting, proceed = &atomic.Int64{}, &atomic.Int64{}, make(chan struct{})
	f = newFixtureWithMemory(t, acceptor.NewMemory(memoryLimit, func(bytes int64, count int) {
		used.Store(bytes)
		waiting.Store(int64(count))
	}))
	f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response {
		if r.Method == "POST" {
			<-proceed
		}
		return textResponse(r.Path)
	}
	return f, proceed, used, waiting
}

func waitFor(t *testing.T, value *atomic.Int64, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := value.Load(); got != want {
			return poll.Continue("%d, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

// Guards against a host that holds more bodies for slow upstreams than its memory has room for, and against small requests that
// are refused because of them.
func TestUploadWithoutMemoryIsRefusedUnread(t *testing.T) {
	f, proceed, used, waiting := heldFixture(t)
	for range 2 {
		conn, _ := f.dial(t)
		send(t, conn, uploadOf(uploadSize))
	}
	waitFor(t, used, 2*uploadSize)
	began := time.Now()
	conn, reader := f.dial(t)
	send(t, conn, fmt.Sprintf("POST /scan HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", uploadSize))
	waitFor(t, waiting, 1)
	small, smallReader := f.dial(t)
	send(t, small, "GET /card HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, _ := receive(t, smallReader)
	assert.Equal(t, status, 200)
	status, _, response := receive(t, reader)
	assert.Equal(t, status, 503)
	assert.Equal(t, response.Header.Get("Retry-After"), "0.500")
	assert.Assert(t, time.Since(began) >= reserver.MaxWait)
	assert.Equal(t, f.runs.Load(), int64(3), "the refused upload must not reach the handler")
	close(proceed)
	waitFor(t, used, 0)
}

// Guards against an upload that is refused although there is room soon.
func TestUploadWaitsForMemory(t *testing.T) {
	f, proceed, used, waiting := heldFixture(t)
	for range 2 {
		conn, _ := f.dial(t)
		send(t, conn, uploadOf(uploadSize))
	}
	waitFor(t, used, 2*uploadSize)
	conn, reader := f.dial(t)
	send(t, conn, uploadOf(uploadSize))
	waitFor(t, waiting, 1)
	close(proceed)
	status, body, _ := receive(t, reader)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "/scan")
	waitFor(t, used, 0)
}

// Guards against memory that stays counted for callers that have left, and for handlers that panic.
func TestMemoryIsReleasedAfterFailures(t *testing.T) {
	tests := []struct {
		name string
		fail func(t *testing.T, f *fixture, used, waiting *atomic.Int64)
	}{
		{"caller leaves within the body", func(t *testing.T, f *fixture, used, _ *atomic.Int64) {
			conn, _ := f.dial(t)
			send(t, conn, "POST /scan HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\nabc")
			waitFor(t, used, 90000)
			assert.NilError(t, conn.Close())
		}},
		{"caller leaves while it waits", func(t *testing.T, f *fixture, used, waiting *atomic.Int64) {
			for range 2 {
				conn, _ := f.dial(t)
				send(t, conn, "POST /scan HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\nabc")
				defer func() { _ = conn.Close() }()
			}
			waitFor(t, used, 180000)
			conn, _ := f.dial(t)
			send(t, conn, uploadOf(uploadSize))
			waitFor(t, waiting, 1)
			assert.NilError(t, conn.Close())
			waitFor(t, waiting, 0)
		}},
		{"handler panics", func(t *testing.T, f *fixture, _, _ *atomic.Int64) {
			f.handle = func(context.Context, *acceptor.Request) *acceptor.Response { panic("test") }
			conn, reader := f.dial(t)
			send(t, conn, uploadOf(uploadSize))
			status, _, _ := receive(t, reader)
			assert.Equal(t, status, 500)
		}},
		{"caller does not take the response", func(t *testing.T, f *fixture, used, _ *atomic.Int64) {
			f.handle = func(context.Context, *acceptor.Request) *acceptor.Response {
				return textResponse(strings.Repeat("x", 100<<20))
			}
			conn, _ := f.dial(t)
			send(t, conn, "GET /card HTTP/1.1\r\nHost: h\r\n\r\n")
			waitFor(t, used, 100<<20)
			assert.NilError(t, conn.Close())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, proceed, used, waiting := heldFixture(t)
			close(proceed)
			tt.fail(t, f, used, waiting)
			waitFor(t, used, 0)
		})
	}
}

// Guards against open streams that count the buffered beginning of their bodies for as long as they last, so that a few hundred of
// them refuse all uploads.
func TestStreamCountsOneBlockAfterItsBeginning(t *testing.T) {
	for _, length := range []int64{-1, 200 << 10} {
		t.Run(fmt.Sprintf("length %d", length), func(t *testing.T) {
			f, proceed, used, _ := heldFixture(t)
			close(proceed)
			body, upstream := io.Pipe()
			f.handle = func(context.Context, *acceptor.Request) *acceptor.Response {
				return &acceptor.Response{Status: 200, Header: http.Header{}, Stream: body, Length: length}
			}
			conn, reader := f.dial(t)
			send(t, conn, "GET /card HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err := upstream.Write(make([]byte, 100<<10))
			assert.NilError(t, err)
			assert.Equal(t, used.Load(), int64(128<<10), "the beginning is held")
			_, err = upstream.Write(make([]byte, 50<<10))
			assert.NilError(t, err)
			waitFor(t, used, 16<<10)
			_, err = upstream.Write(make([]byte, 50<<10))
			assert.NilError(t, err)
			assert.NilError(t, upstream.Close())
			_, received, _ := receive(t, reader)
			assert.Equal(t, len(received), 200<<10)
			waitFor(t, used, 0)
		})
	}
}

// Guards against an answer that comes after the caller has left, which abandons an attempt that is not read after a third of its time,
// and against a Retry-After of more than a third of the rest.
func TestWaitForMemoryIsBoundedByTheTimeOfTheCaller(t *testing.T) {
	f, proceed, used, _ := heldFixture(t)
	defer close(proceed)
	for range 2 {
		conn, _ := f.dial(t)
		send(t, conn, uploadOf(uploadSize))
	}
	waitFor(t, used, 2*uploadSize)
	for _, tt := range []struct {
		left                  string
		least, most           time.Duration // of the wait
		leastRetry, mostRetry float64       // Retry-After in seconds
	}{
		{"0s", 0, 300 * time.Millisecond, 0, 0},
		{"300ms", 75 * time.Millisecond, 300 * time.Millisecond, 0, 0.075},
		{"1200ms", 300 * time.Millisecond, 480 * time.Millisecond, 0.24, 0.3},
		{"60s", 500 * time.Millisecond, testTimeout, 0.5, 0.5},
		{"unknown", 500 * time.Millisecond, testTimeout, 0.5, 0.5},
	} {
		t.Run(tt.left, func(t *testing.T) {
			conn, reader := f.dial(t)
			began := time.Now()
			send(t, conn, fmt.Sprintf("POST /scan HTTP/1.1\r\nHost: h\r\nTime-Left: %s\r\nContent-Length: %d\r\n\r\n", tt.left, uploadSize))
			status, _, response := receive(t, reader)
			waited := time.Since(began)
			assert.Equal(t, status, 503)
			assert.Assert(t, waited >= tt.least && waited <= tt.most, "%v", waited)
			retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, retryAfter >= tt.leastRetry && retryAfter <= tt.mostRetry, "%v", retryAfter)
		})
	}
}

// Guards against a caller that has left but waits for memory until the end of its wait, in the place of another one.
func TestDisconnectEndsTheWaitForMemory(t *testing.T) {
	f, proceed, used, waiting := heldFixture(t)
	defer close(proceed)
	for range 2 {
		conn, _ := f.dial(t)
		send(t, conn, uploadOf(uploadSize))
	}
	waitFor(t, used, 2*uploadSize)
	conn, _ := f.dial(t)
	send(t, conn, uploadOf(uploadSize))
	waitFor(t, waiting, 1)
	assert.NilError(t, conn.Close())
	waitFor(t, waiting, 0)
	time.Sleep(50 * time.Millisecond) // a refusal would be reported by then
	assert.Equal(t, f.refused.Load(), int64(0), "the wait must end by the disconnect, not by its limit")
}
