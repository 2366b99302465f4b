package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
)

// Guards against a key that is lost or spoilt on the way to the admission host, and against a header for it that reaches
// the upstream although the caller did not send it.
func TestKeyIsForwarded(t *testing.T) {
	var seen []*dispatcher.Request
	options := forwarder.Options{
		Self: "host-1", Scheme: "http", Transport: &http.Transport{},
		Authorize:  func(http.Header) {},
		Authorized: func(*http.Request) bool { return true },
		Dispatch: func(_ context.Context, request *dispatcher.Request) (*dispatcher.Response, error) {
			seen = append(seen, request)
			return nil, &dispatcher.Error{Op: "test", Kind: dispatcher.NotRun, Reason: "test"}
		},
	}
	f := forwarder.New(options)
	server := httptest.NewServer(f.Handler())
	t.Cleanup(server.Close)
	host := framer.Member{Name: "host-2", Address: server.Listener.Addr().String()}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, key := range []string{"QA 76.73", "a\r\nb%20\xff", ""} {
		header := http.Header{"Rhubarbtrack-Key": {"of the caller"}}
		_, err := f.Forward(ctx, host, &dispatcher.Request{
			ID: "1", Service: "marks", Upstream: "marks.u1", Key: key, Method: "GET", URI: "/marks/x", Header: header,
			Body: strings.NewReader(""),
		})
		assert.Equal(t, dispatcher.AsError(err).Reason, "test")
		last := seen[len(seen)-1]
		assert.Equal(t, last.Key, key)
		assert.DeepEqual(t, last.Header["Rhubarbtrack-Key"], header["Rhubarbtrack-Key"])
		for name, values := range last.Header {
			assert.Assert(t, !strings.Contains(name, "Routed"), "%s: %v", name, values)
		}
	}
}
