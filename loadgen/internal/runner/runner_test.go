package runner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/loadgen/internal/planner"
	"rhubarbtrack.example/loadgen/internal/sender"
	"rhubarbtrack.example/platform/simulator"
)

// Guards against a request that is sent again, or counts as answered, because of an invalid head.
func TestMalformedHeadsProveNothing(t *testing.T) {
	for _, sent := range []string{
		"HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 503 Service Unavailable\r\nRhubarbtrack-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, form := range simulator.Malformed(sent) {
			t.Run(sent[9:12]+", "+form.Name, func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer listener.Close()
				var received atomic.Int64
				go simulator.Respond(listener, func(*http.Request) string {
					received.Add(1)
					return form.Text
				})
				r := newRun(options{Entries: []string{listener.Addr().String()}, Service: "s"})
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				result := r.sender.Send(ctx, planner.Arrival{ID: "r1", Key: "k", Kind: planner.NeverRepeat})
				assert.Equal(t, result.Outcome, sender.Unknown, result.Reason)
				assert.Equal(t, received.Load(), int64(1))
			})
		}
	}
}
