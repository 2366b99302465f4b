package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
)

// Guards against a part of an upstream's or another host's response that looks like the whole, because the upload failed.
func TestEndOfAnEarlyResponse(t *testing.T) {
	// With one processor the goroutine that writes runs before the one that reads, and gets the failure first.
	processors := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(processors) })
	body := strings.Repeat("x", 1000)
	upload := func() *dispatcher.Request {
		return &dispatcher.Request{
			ID: "request-1", Service: "marks", Upstream: "marks.u1", Method: http.MethodPost, URI: "/marks/x", Header: http.Header{},
			Body: strings.NewReader(strings.Repeat("x", 8<<20)), ContentLength: 8 << 20,
		}
	}
	tests := []struct {
		name, fields string
		// needsLength is set if a response without a length is rejected, whatever ends it.
		needsLength bool
		send        func(t *testing.T, address string) (*dispatcher.Response, error)
	}{
		{"upstream", "", true, func(t *testing.T, address string) (*dispatcher.Response, error) {
			return dispatchRequest(t, address, upload(), func(admitter.Action) {})
		}},
		{"host", "Rhubarbtrack-Answered: 1\r\n", false, func(t *testing.T, address string) (*dispatcher.Response, error) {
			f := forwarder.New(forwarder.Options{
				Self: "host-1", Scheme: "http", Transport: transportFactory{}.transport(peerConnections), Authorize: func(http.Header) {},
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			t.Cleanup(cancel)
			return f.Forward(ctx, framer.Member{Name: "host-2", Address: address}, upload())
		}},
	}
	for _, tt := range tests {
		for _, ending := range simulator.Endings() {
			for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(body))} {
				t.Run(fmt.Sprintf("%s, %s, %q", tt.name, ending.Name, length), func(t *testing.T) {
					t.Parallel()
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					assert.NilError(t, err)
					t.Cleanup(func() { _ = listener.Close() })
					go simulator.ServeEarly(listener, func(r *http.Request) string {
						return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s\r\n%s", dispatcher.HeaderRequestID,
							r.Header.Get(dispatcher.HeaderRequestID), tt.fields, length, body)
					}, ending)
					response, err := tt.send(t, listener.Addr().String())
					var got []byte
					if err == nil {
						defer response.Body.Close()
						got, err = io.ReadAll(response.Body)
					}
					if length != "" || (ending.IsGiven && !tt.needsLength) {
						assert.NilError(t, err)
						assert.Equal(t, string(got), body)
						return
					}
					assert.Assert(t, err != nil, "%d bytes", len(got))
				})
			}
		}
	}
}
