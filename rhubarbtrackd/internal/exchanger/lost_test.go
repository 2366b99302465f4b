package exchanger_test

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

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// TestLostResponses guards against a request that runs twice, or that is said not to have run, because its response was
// lost after the upstream received it. The connection ends at each position of the response, by a close or by a reset.
func TestLostResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 10\r\n"
	tests := []struct{ name, sent string }{
		{"before the head", ""},
		{"in the status line", "HTTP/1.1 20"},
		{"in the head", head},
		{"before the body", head + "\r\n"},
		{"in the body", head + "\r\nshort"},
		{"in a chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort"},
		{"before the last chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			for _, repeatable := range []bool{false, true} {
				name := tt.name + map[bool]string{false: ", closed", true: ", reset"}[reset] +
					map[bool]string{false: ", order", true: ", idempotent"}[repeatable]
				t.Run(name, func(t *testing.T) {
					address, received := newLosingUpstream(t, tt.sent, reset)
					pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
					request := newRequest("a")
					request.Repeatable = repeatable
					_, err := pool.Do(context.Background(), exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: address}, request)
					assert.Equal(t, kindOf(err), exchanger.Interrupted)
					assert.Equal(t, received.Load(), int64(1), "the request was sent again")
				})
			}
		}
	}
}

// newLosingUpstream starts an upstream that receives each request, sends a part of a response and ends the connection.
func newLosingUpstream(t *testing.T, sent string, reset bool) (address string, received *atomic.Int64) {
	t.Helper()
	received = &atomic.Int64{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				received.Add(1)
				_, _ = io.WriteString(conn, sent)
				time.Sleep(5 * time.Millisecond) // a reset could overtake the bytes
				if tcp, ok := conn.(*net.TCPConn); ok && reset {
					_ = tcp.SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}
