package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// newEarlyUpstream starts an upstream that responds to request b with text before it has read the body, behind a proxy if relayed.
func newEarlyUpstream(t *testing.T, text string, ending simulator.Ending, relayed bool) exchanger.Target {
	t.Helper()
	listen := func(serve func(conn *net.TCPConn)) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go serve(conn.(*net.TCPConn))
			}
		}()
		return listener.Addr().String()
	}
	address := listen(func(conn *net.TCPConn) {
		defer conn.Close()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.Header.Get(idHeader) == "b" {
				simulator.RespondEarly(conn, request.Body, text, ending)
				return
			}
			_, _ = io.WriteString(conn, responseText(request.Header.Get(idHeader), "ok"))
		}
	})
	if relayed {
		upstream := address
		address = listen(func(conn *net.TCPConn) {
			onward, err := net.Dial("tcp", upstream)
			if err != nil {
				t.Error(err)
				return
			}
			simulator.Relay(conn, onward.(*net.TCPConn))
		})
	}
	return exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: address}
}

// Guards against a response that a failed upload makes look complete, and against a complete one that is lost.
func TestEndOfAnEarlyResponse(t *testing.T) {
	const (
		upload = 8 << 20 // more than the buffers of both sides hold
		size   = 1000
	)
	head, body := "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nResponse-Signature: 3e1b.07.5a2\r\n", strings.Repeat("x", size)
	long := strings.Repeat("x", 300<<10)
	tests := []struct {
		name, text, body string
		isComplete       bool // whatever ends the connection
		isCut            bool // even if the upstream ends its stream
	}{
		{name: "no length", text: head + "\r\n" + body, body: body},
		{name: "no length, failure", text: strings.Replace(head, "200 OK", "500 Internal Server Error", 1) + "\r\n" + body, body: body},
		{name: "no length, empty", text: head + "\r\n"},
		{name: "no length, streamed", text: head + "\r\n" + long, body: long},
		{name: "length", text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body, body: body, isComplete: true},
		{name: "length, cut", text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 5*size) + body, isCut: true},
		{name: "chunks", text: head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body), body: body, isComplete: true},
		{name: "chunks, cut", text: head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, body), isCut: true},
	}
	for _, tt := range tests {
		for _, ending := range simulator.Endings() {
			if tt.body == long && ending.IsGiven && !ending.ReadsUpload {
				continue // the host reads nothing until then, and its buffer does not hold the whole response
			}
			for _, framing := range []simulator.Framing{simulator.ByLength, simulator.ByChunks} {
				for _, connection := range []string{"new", "kept", "relayed"} {
					t.Run(fmt.Sprintf("%s, %s, upload by %s, %s connection", tt.name, ending.Name, framing, connection), func(t *testing.T) {
						t.Parallel()
						target := newEarlyUpstream(t, tt.text, ending, connection == "relayed")
						pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
						if connection == "kept" {
							_, err := pool.Do(context.Background(), target, newRequest("a"))
							assert.NilError(t, err)
						}
						request := newRequest("b")
						request.Method, request.Stream, request.Length = http.MethodPost, bytes.NewReader(make([]byte, upload)), upload
						if framing == simulator.ByChunks {
							request.Length = -1
						}
						request.Deadline = time.Now().Add(10 * time.Second)
						response, err := pool.Do(context.Background(), target, request)
						var got []byte
						if err == nil {
							got = response.Body
						}
						if err == nil && response.Stream != nil {
							defer response.Stream.Close()
							got, err = io.ReadAll(response.Stream)
						}
						if !tt.isCut && (tt.isComplete || ending.IsGiven) {
							assert.NilError(t, err)
							assert.Assert(t, string(got) == tt.body, "%d bytes", len(got))
							return
						}
						assert.Assert(t, err != nil, "status %d, %d bytes", status(response), len(got))
						want := exchanger.Interrupted
						if ending.Name == "silence" {
							want = exchanger.NoResponse // the upstream may be cut off, and still run
						}
						// A proxy may take so many bytes that the host waits for the reset behind the silence.
						resetLate := connection == "relayed" && kindOf(err) == exchanger.Interrupted
						assert.Assert(t, kindOf(err) == want || resetLate, "%v", err)
					})
				}
			}
		}
	}
}
