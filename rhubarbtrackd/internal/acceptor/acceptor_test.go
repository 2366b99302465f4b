package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
)

const testTimeout = 5 * time.Second

type fixture struct {
	server  *acceptor.Server
	address string
	runs    atomic.Int64
	refused atomic.Int64
	handle  func(ctx context.Context, r *acceptor.Request) *acceptor.Response
}

func textResponse(body string) *acceptor.Response {
	return &acceptor.Response{Status: 200, Header: http.Header{}, Body: []byte(body)}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithMemory(t, nil)
}

func newFixtureWithMemory(t *testing.T, memory *acceptor.Memory) *fixture {
	t.Helper()
	f := &fixture{handle: func(_ context.Context, r *acceptor.Request) *acceptor.Response { return textResponse(r.Path) }}
	f.server = acceptor.New(acceptor.Options{
		Handle: func(ctx context.Context, r *acceptor.Request) *acceptor.Response {
			f.runs.Add(1)
			return f.handle(ctx, r)
		},
		Limits: func() acceptor.Limits {
			return acceptor.Limits{HeaderBytes: 2048, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: testTimeout}
		},
		Refused: func(int, string, string) { f.refused.Add(1) },
		TimeLeft: func(header http.Header) (time.Duration, bool) {
			left, err := time.ParseDuration(header.Get("Time-Left"))
			return left, err == nil
		},
		Memory: memory,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.address = listener.Addr().String()
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		f.server.Close()
	})
	return f
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func receive(t *testing.T, reader *bufio.Reader) (int, string, *http.Response) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body), response
}

// Guards against a pipelined request that waits for the one before it.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t)
	second := make(chan struct{})
	f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response {
		if r.Path == "/1" {
			<-second // returns only if the second request runs concurrently
		} else {
			close(second)
		}
		return textResponse(r.Path)
	}
	conn, reader := f.dial(t)
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, want := range []string{"/1", "/2"} {
		status, body, _ := receive(t, reader)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, want)
	}
}

// Guards against request smuggling and unbounded requests: none of these may reach the handler, and the rest of the
// connection must not be parsed as a further request.
func TestInvalidRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 4096)
	tests := []struct {
		name   string
		text   string
		status int
	}{
		{"Content-Length and Transfer-Encoding", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"repeated Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", 400},
		{"malformed chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", 400},
		{"bare line feed", "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", 400},
		{"folded header line", "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400},
		{"space before colon", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", 400},
		{"no Host header", "GET / HTTP/1.1\r\n\r\n", 400},
		{"invalid request line", "hello\r\n\r\n", 400},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + long + "\r\n\r\n", 431},
		{"long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", 413},
		{"slow header", "GET / HTTP/1.1\r\nHost:", 408},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			conn, reader := f.dial(t)
			send(t, conn, tt.text)
			status, _, response := receive(t, reader)
			assert.Equal(t, status, tt.status)
			assert.Assert(t, response.Close)
			_, err := reader.ReadByte()
			assert.Assert(t, err != nil, "the connection is still open after the response")
			assert.Equal(t, f.runs.Load(), int64(0))
		})
	}
}

// Guards against bytes of a body or trailer that are parsed as the next request on the connection.
func TestBodies(t *testing.T) {
	f := newFixture(t)
	f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response {
		if r.Stream == nil {
			return textResponse(string(r.Body))
		}
		n, err := io.Copy(io.Discard, r.Stream)
		return textResponse(fmt.Sprint(n, err))
	}
	conn, reader := f.dial(t)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\nTrailer: x\r\n\r\n")
	_, body, _ := receive(t, reader)
	assert.Equal(t, body, "hello!")
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	_, body, _ = receive(t, reader)
	assert.Equal(t, body, "abc")
	const size = 300000
	send(t, conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)+strings.Repeat("x", size))
	_, body, _ = receive(t, reader)
	assert.Equal(t, body, fmt.Sprint(size, " <nil>"))
	send(t, conn, "GET /after HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, _ := receive(t, reader)
	assert.Equal(t, status, 200)
}

// Guards against requests that keep running at upstreams after their caller has disconnected, when the caller has sent
// several requests ahead.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	f := newFixture(t)
	cancelled := make(chan string, 2)
	f.handle = func(ctx context.Context, r *acceptor.Request) *acceptor.Response {
		<-ctx.Done()
		cancelled <- r.Path
		return &acceptor.Response{Abort: true}
	}
	conn, _ := f.dial(t)
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	for f.runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, conn.Close())
	for range 2 {
		select {
		case <-cancelled:
		case <-time.After(testTimeout):
			t.Fatal("a request was not cancelled after the disconnect")
		}
	}
}

// Guards against a caller that takes a truncated response for a complete one, because the chunked body is terminated
// although the upstream's body ended early.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	f := newFixture(t)
	f.handle = func(context.Context, *acceptor.Request) *acceptor.Response {
		broken := io.MultiReader(strings.NewReader("begin"), errorReader{})
		return &acceptor.Response{Status: 200, Header: http.Header{}, Stream: io.NopCloser(broken), Length: -1}
	}
	conn, reader := f.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	assert.Assert(t, err != nil)
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a drain that aborts a request in flight, or that leaves idle connections open.
func TestDrain(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	f.handle = func(context.Context, *acceptor.Request) *acceptor.Response {
		<-release
		return textResponse("done")
	}
	idle, _ := f.dial(t)
	busy, busyReader := f.dial(t)
	send(t, busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	for f.runs.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	f.server.Drain()
	_, err := idle.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	close(release)
	_, body, response := receive(t, busyReader)
	assert.Equal(t, body, "done")
	assert.Assert(t, response.Close)
	for deadline := time.Now().Add(testTimeout); f.server.Connections() > 0; {
		assert.Assert(t, time.Now().Before(deadline), "connections are still open")
		time.Sleep(time.Millisecond)
	}
}

// Guards against a drain that never ends: the caller always has further requests in transit, so the connection is never
// idle.
func TestDrainEndsBusyConnections(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	f.handle = func(context.Context, *acceptor.Request) *acceptor.Response {
		<-release
		return textResponse("done")
	}
	conn, reader := f.dial(t)
	send(t, conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	for f.runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.server.Drain()
	send(t, conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	time.Sleep(100 * time.Millisecond) // time in which a faulty server would read them
	close(release)
	_, _, first := receive(t, reader)
	assert.Assert(t, !first.Close)
	_, _, second := receive(t, reader)
	assert.Assert(t, second.Close)
	assert.Equal(t, f.runs.Load(), int64(2), "a request was handled after the drain began")
}

// Guards against callers that stay connected to an isolated host, and against an isolated host that rejects new
// connections.
func TestCloseAfterResponse(t *testing.T) {
	f := newFixture(t)
	f.handle = func(context.Context, *acceptor.Request) *acceptor.Response { return textResponse("done") }
	f.server.SetCloseAfterResponse(true)
	conn, reader := f.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _, closed := receive(t, reader)
	assert.Assert(t, closed.Close)

	f.server.SetCloseAfterResponse(false)
	conn, reader = f.dial(t)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _, kept := receive(t, reader)
	assert.Assert(t, !kept.Close)
}

// Guards against connections, and transfers queued behind a response, that stay open because the caller has stopped reading.
func TestCallerThatStopsReadingReleasesItsConnection(t *testing.T) {
	f := newFixture(t)
	closed := make(chan string, 2)
	f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response {
		body := struct {
			io.Reader
			io.Closer
		}{endlessReader{}, closerFunc(func() { closed <- r.Path })}
		return &acceptor.Response{Status: 200, Header: http.Header{}, Stream: body, Length: -1, Deadline: time.Now().Add(200 * time.Millisecond)}
	}
	conn, _ := f.dial(t)
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	for _, want := range []string{"/1", "/2"} {
		select {
		case got := <-closed:
			assert.Equal(t, got, want)
		case <-time.After(600 * time.Millisecond):
			t.Fatalf("the response to %s is not closed", want)
		}
	}
	for deadline := time.Now().Add(600 * time.Millisecond); f.server.Connections() > 0 || f.server.Active() > 0; {
		assert.Assert(t, time.Now().Before(deadline), "%d connections, %d requests", f.server.Connections(), f.server.Active())
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(closed), 0, "a response was closed twice")
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

type closerFunc func()

func (f closerFunc) Close() error {
	f()
	return nil
}
