package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
)

// Guards against idle connections that are closed by the limit of an earlier configuration.
func TestLongerIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	const former, idle = 300 * time.Millisecond, 900 * time.Millisecond
	var limit atomic.Int64
	limit.Store(int64(former))
	server := acceptor.New(acceptor.Options{
		Handle: func(context.Context, *acceptor.Request) *acceptor.Response { return textResponse("x") },
		Limits: func() acceptor.Limits {
			return acceptor.Limits{HeaderBytes: 2048, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Duration(limit.Load())}
		},
		Refused: func(int, string, string) {},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(conn)
	send := func() error {
		if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	assert.NilError(t, send())
	limit.Store(int64(10 * time.Second))
	time.Sleep(idle)
	assert.NilError(t, send(), "the connection was closed after the former timeout")
}
