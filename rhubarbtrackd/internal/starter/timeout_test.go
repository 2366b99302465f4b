package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

const (
	// routeTimeout is the timeout of all routes in tests of timeouts.
	routeTimeout = time.Second
	// timeoutTolerance is the time after the timeout of its route by which a request has to have its answer.
	timeoutTolerance = 500 * time.Millisecond
)

// Guards against requests that have no answer after the timeout of their route, whatever they wait for.
func TestTimeoutOfARouteBoundsEveryWait(t *testing.T) {
	t.Parallel()
	const (
		shortBody = 1000
		longBody  = 400_000 // is streamed
	)
	head := func(prefix, framing string) string {
		return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %016x\r\n%s: 20000\r\n%s: 7\r\n%s\r\n\r\n", prefix, simulator.Hostname,
			translator.AttemptHeader, time.Now().UnixNano(), translator.TimeLeftHeader, translator.KeyHeader, framing)
	}
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d", n) }
	tests := []struct {
		name     string
		workTime time.Duration
		text     string // what the caller sends; then it waits
		status   int    // of the answer
	}{
		{"the upstream works", 20 * time.Second, head(simulator.PlainPrefix, length(0)), http.StatusGatewayTimeout},
		{"the owner of the key works", 20 * time.Second, head(simulator.OrderPrefix, length(0)), http.StatusGatewayTimeout},
		{"the caller sends no body", 0, head(simulator.PlainPrefix, length(shortBody)), http.StatusRequestTimeout},
		{"the caller sends a part of a short body", 0, head(simulator.OrderPrefix, length(shortBody)) + "part", http.StatusRequestTimeout},
		{"the caller sends a part of a body in chunks", 0, head(simulator.PlainPrefix, "Transfer-Encoding: chunked") + "4\r\npart\r\n", http.StatusRequestTimeout},
		{"the caller sends a part of a long body", 0, head(simulator.PlainPrefix, length(longBody)) + strings.Repeat("x", longBody/2), http.StatusGatewayTimeout},
		{"the caller sends a part of a long body for a key", 0, head(simulator.OrderPrefix, length(longBody)) + strings.Repeat("x", longBody/2), http.StatusGatewayTimeout},
		{"the caller sends a part of a long body in chunks", 0, head(simulator.PlainPrefix, "Transfer-Encoding: chunked") +
			strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", longBody/2048), http.StatusGatewayTimeout},
	}
	s := newSystemWith(t, 2, 2, func(o *simulator.UpstreamOptions) { o.LateGrantShare, o.Slots, o.Queue, o.IsSteady = 0, 200, 400, true })
	s.setRouteTimeout(t, routeTimeout)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, u := range s.upstreams {
				u.SetWorkTime(tt.workTime)
			}
			conn, err := net.Dial("tcp", s.hosts[0].settings.CallerAddress)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*routeTimeout)))
			sent := time.Now()
			_, err = io.WriteString(conn, tt.text)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			taken := time.Since(sent)
			assert.NilError(t, err, "no answer after %v", taken)
			assert.Assert(t, taken < routeTimeout+timeoutTolerance, "status %d after %v", response.StatusCode, taken)
			assert.Assert(t, taken > routeTimeout-timeoutTolerance, "status %d after %v", response.StatusCode, taken)
			assert.Equal(t, response.StatusCode, tt.status)
		})
	}
}
