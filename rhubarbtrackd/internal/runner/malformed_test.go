package runner

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/validator"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
	"rhubarbtrack.example/rhubarbtrackd/internal/messenger"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

// serveText responds to each request with text, in which %s stands for the ID of the request.
func serveText(t *testing.T, text string) string {
	t.Helper()
	return serve(t, func(r *http.Request) string {
		return strings.ReplaceAll(text, "%s", r.Header.Get(dispatcher.HeaderRequestID))
	})
}

// serve responds to each request with what respond returns.
func serve(t *testing.T, respond func(r *http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go simulator.Respond(listener, respond)
	return listener.Addr().String()
}

// response returns a response to the request that it is sent for.
func response(status string, fields ...string) string {
	head := append([]string{"HTTP/1.1 " + status, dispatcher.HeaderRequestID + ": %s"}, fields...)
	return strings.Join(append(head, "Content-Length: 2", "", "{}"), "\r\n")
}

// dispatch sends a request to the upstream at address over a transport of the daemon. observe gets what the admitter reports.
func dispatch(t *testing.T, address string, observe func(admitter.Action)) (*dispatcher.Response, error) {
	t.Helper()
	return dispatchRequest(t, address, &dispatcher.Request{
		ID: "request-1", Service: "marks", Upstream: "marks.u1", Method: http.MethodGet, URI: "/marks/x", Header: http.Header{},
		Body: strings.NewReader(""),
	}, observe)
}

// dispatchRequest is like dispatch, for a given request to the upstream marks.u1.
func dispatchRequest(t *testing.T, address string, request *dispatcher.Request, observe func(admitter.Action)) (*dispatcher.Response, error) {
	t.Helper()
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	d := dispatcher.New(dispatcher.Options{
		Self: "host-1", Incarnation: "a", Clock: clock, Transport: transportFactory{}.transport(upstreamConnections), Scheme: "http",
		Upstream: func(string, string) (configurator.Upstream, bool) {
			return configurator.Upstream{Name: "u1", Service: "marks", Address: address, Slots: 6}, true
		},
		Keyed:           func(string) bool { return false },
		SignatureStatus: func(time.Duration, uint64) detector.Status { return detector.Clear },
		Observe:         func(_ time.Duration, action admitter.Action) { observe(action) },
		StopAnswer:      func(string, controller.StopAnswer) {},
		LeaseReturned:   func(string, controller.LeaseReturned) {},
		Log:             eventlog.New(zap.NewNop()),
	})
	t.Cleanup(d.Close)
	d.ApplyLeases(controller.SendLeases{
		Host: "host-1", Incarnation: "a", Service: "marks", Term: 1, Seq: 1, HeartbeatSent: clock(),
		Leases: []controller.Lease{{Upstream: "marks.u1", Epoch: 1, InFlight: -1}},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	return d.Dispatch(ctx, request)
}

// Guards against an invalid head that reaches the caller, or that counts as a rejection or as a crash, for which requests are blocked.
func TestMalformedHeadsOfUpstreams(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, sent, rest string }{
		{"success", response("200 OK"), ""},
		{"failure", response("500 Internal Server Error"), ""},
		{"rejection", response("503 Service Unavailable", dispatcher.HeaderOutcome+": "+dispatcher.OutcomeNotRun), ""},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nServer: s\r\n\r\n", response("200 OK")},
	}
	for _, tt := range tests {
		for _, form := range simulator.Malformed(tt.sent) {
			t.Run(tt.name+", "+form.Name, func(t *testing.T) {
				t.Parallel()
				actions := make(chan admitter.Action, 10)
				got, err := dispatch(t, serveText(t, form.Text+tt.rest), func(action admitter.Action) { actions <- action })
				assert.Assert(t, err != nil, "%+v", got)
				failure := dispatcher.AsError(err)
				assert.Equal(t, failure.Kind, dispatcher.Unknown)
				assert.Equal(t, failure.Reason, dispatcher.ReasonConnection, "%v", err)
				select {
				case action := <-actions:
					t.Errorf("the admitter reports %+v", action)
				case <-time.After(50 * time.Millisecond):
				}
			})
		}
	}
}

// Guards against an invalid head of another host that counts as the response of the upstream, or as a rejection.
func TestMalformedHeadsOfHosts(t *testing.T) {
	t.Parallel()
	f := forwarder.New(forwarder.Options{
		Self: "host-1", Scheme: "http", Transport: transportFactory{}.transport(peerConnections), Authorize: func(http.Header) {},
	})
	for _, sent := range []string{
		response("200 OK", "Rhubarbtrack-Answered: 1"),
		response("503 Service Unavailable", dispatcher.HeaderOutcome+": "+dispatcher.OutcomeNotRun),
	} {
		for _, form := range simulator.Malformed(sent) {
			t.Run(sent[9:12]+", "+form.Name, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				got, err := f.Forward(ctx, framer.Member{Name: "host-2", Address: serveText(t, form.Text)}, &dispatcher.Request{
					ID: "1", Service: "marks", Upstream: "marks.u1", Method: http.MethodGet, URI: "/marks/x", Header: http.Header{},
					Body: strings.NewReader(""),
				})
				assert.Assert(t, err != nil, "%+v", got)
				assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.Unknown)
			})
		}
	}
}

// acceptText returns the response that accepts the websocket of a request.
func acceptText(r *http.Request) string {
	digest := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
		base64.StdEncoding.EncodeToString(digest[:]) + "\r\n\r\n"
}

// Guards against a connection to another host whose handshake was answered with an invalid head.
func TestMalformedHeadsOfHandshakes(t *testing.T) {
	t.Parallel()
	connects := func(t *testing.T, respond func(r *http.Request) string) bool {
		result := make(chan bool, 2)
		m := messenger.New(messenger.Options{
			Self: "host-1", Scheme: "ws", Transport: transportFactory{}.transport(0),
			OnConnect:    func(string, messenger.Class, bool) { result <- true },
			OnDisconnect: func(string, messenger.Class) { result <- false },
		})
		defer m.Close()
		m.Dial("host-2", serve(t, respond), messenger.Control)
		return <-result
	}
	assert.Assert(t, connects(t, acceptText))
	for i, form := range simulator.Malformed(acceptText(&http.Request{})) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, !connects(t, func(r *http.Request) string { return simulator.Malformed(acceptText(r))[i].Text }))
		})
	}
}

// Guards against an order that is decided by an invalid head. The granter uses the transport as it is.
func TestMalformedHeadsOfOrders(t *testing.T) {
	t.Parallel()
	for _, form := range simulator.Malformed(response("409 Conflict")) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			request, err := http.NewRequest(http.MethodPost, "http://"+serveText(t, form.Text)+"/-/lease", strings.NewReader("{}"))
			assert.NilError(t, err)
			got, err := transportFactory{}.transport(2).RoundTrip(request)
			var invalid *validator.Error
			assert.Assert(t, errors.As(err, &invalid), "error %v, response %+v", err, got)
		})
	}
}

// Guards against an invalid head of the store that proves that a write has taken effect, or that it has not.
func TestMalformedHeadsOfTheStore(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	calls := []struct {
		name string
		call func(c *storer.Client) error
		kind storer.Kind
	}{
		{"get", func(c *storer.Client) error { _, err := c.Get(ctx, "a"); return err }, storer.Unavailable},
		{"list", func(c *storer.Client) error { _, _, err := c.List(ctx, "a"); return err }, storer.Unavailable},
		{"hosts", func(c *storer.Client) error { _, err := c.Hosts(ctx); return err }, storer.Unavailable},
		{"watch", func(c *storer.Client) error { return c.Watch(ctx, "a", 1, func(storer.Change) {}) }, storer.Unavailable},
		{"put", func(c *storer.Client) error {
			_, err := c.Put(ctx, "a", nil, storer.IfAbsent())
			return err
		}, storer.Unknown},
		{"delete", func(c *storer.Client) error {
			_, err := c.Delete(ctx, "a", storer.IfVersion(1))
			return err
		}, storer.Unknown},
	}
	for _, tt := range calls {
		for _, status := range []string{"200 OK", "404 Not Found", "410 Gone", "412 Precondition Failed", "503 Service Unavailable"} {
			for _, form := range simulator.Malformed(response(status)) {
				t.Run(fmt.Sprintf("%s, %s, %s", tt.name, status, form.Name), func(t *testing.T) {
					t.Parallel()
					err := tt.call(storer.New("http://"+serveText(t, form.Text), transportFactory{}.transport(1)))
					assert.Equal(t, storer.KindOf(err), tt.kind, "%v", err)
				})
			}
		}
	}
}

// Guards against a sound response that is rejected because of a rare form of its head.
func TestUnusualHeadsOfUpstreams(t *testing.T) {
	t.Parallel()
	for _, form := range simulator.Unusual(response("200 OK")) {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			got, err := dispatch(t, serveText(t, form.Text), func(admitter.Action) {})
			assert.NilError(t, err)
			assert.Equal(t, got.Status, http.StatusOK)
			body, err := io.ReadAll(got.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "{}")
		})
	}
}

// Guards against callers that get status 101: the daemon asks upstreams for no other protocol.
func TestSwitchOfProtocolsDoesNotReachCallers(t *testing.T) {
	t.Parallel()
	text := response("101 Switching Protocols", "Connection: Upgrade", "Upgrade: other")
	got, err := dispatch(t, serveText(t, text), func(admitter.Action) {})
	assert.Assert(t, err != nil, "%+v", got)
	assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.Unknown)
}
