package exchanger_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// TestTraffic guards against bytes that no metric shows, such as those of a streamed body or of a kept connection, and against
// connections whose time is not reported.
func TestTraffic(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = w.Write([]byte(strings.Repeat("r", 5000)))
	}))
	defer server.Close()
	connects := 0
	pool := exchanger.New(exchanger.Options{IDHeader: "Request-Id", OnConnect: func(target exchanger.Target, taken time.Duration) {
		assert.Equal(t, target.ID, "u")
		assert.Assert(t, taken > 0)
		connects++
	}})
	target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u", Start: 1}, Address: server.Listener.Addr().String()}
	for i, body := range []int{0, 100, 200_000} {
		traffic := &exchanger.Traffic{}
		id := string(rune('a' + i))
		request := &exchanger.Request{
			Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Request-Id": {id}}, ID: id, Repeatable: true,
			Deadline: time.Now().Add(5 * time.Second), Traffic: traffic,
		}
		if body > 1000 {
			request.Stream, request.Length = strings.NewReader(strings.Repeat("b", body)), int64(body)
		} else {
			request.Body = []byte(strings.Repeat("b", body))
		}
		_, err := pool.Do(context.Background(), target, request)
		assert.NilError(t, err)
		sent, received := int(traffic.Sent.Load()), int(traffic.Received.Load())
		assert.Assert(t, sent > body && sent < body+500, "%d bytes sent with a body of %d", sent, body)
		assert.Assert(t, received > 5000 && received < 5500, "%d bytes received", received)
	}
	assert.Equal(t, connects, 1)
}
