package connector

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
)

// serveText responds to each request with what respond returns.
func serveText(t *testing.T, respond func(r *http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go simulator.Respond(listener, respond)
	return listener.Addr().String()
}

// Guards against an invalid head that counts as a configuration, as a link, or as evidence that the controller has stopped.
func TestMalformedHeadsOfHostsProveNothing(t *testing.T) {
	t.Parallel()
	const host = "controller"
	client := NewClient(ClientOptions{
		Leader:          func() (string, string) { return host, "" },
		OnAddressReused: func(string) { t.Error("the process of the controller counts as stopped") },
		OnConnect:       func(string) { t.Error("the link counts as connected") },
		OnHeartbeat:     func(Heartbeat) {}, Report: func() Report { return Report{} }, Now: func() time.Duration { return 0 },
		Panics: recoverer.New(nil, nil),
	})
	link := func(ctx context.Context, address string) error { return client.serve(ctx, host, address, dialTimeout) }
	configuration := func(ctx context.Context, address string) error {
		_, err := FetchConfiguration(ctx, address, nil)
		return err
	}
	text := func(status string) func(*http.Request) string {
		return func(*http.Request) string {
			return "HTTP/1.1 " + status + "\r\n" + HostHeader + ": other\r\nContent-Length: 2\r\n\r\n{}"
		}
	}
	const confirmed = "HTTP/1.1 204 No Content\r\n" + HostHeader + ": controller\r\n\r\n"
	tests := []struct {
		name string
		call func(ctx context.Context, address string) error
		sent func(r *http.Request) string
		rest string
	}{
		{"announcement", func(ctx context.Context, address string) error {
			return Announce(ctx, address, Announcement{Term: 1, Host: host})
		}, func(*http.Request) string { return confirmed }, ""},
		{"announcement, interim response", func(ctx context.Context, address string) error {
			return Announce(ctx, address, Announcement{Term: 1, Host: host})
		}, func(*http.Request) string { return "HTTP/1.1 103 Early Hints\r\nServer: s\r\n\r\n" }, confirmed},
		{"configuration", configuration, text("200 OK"), ""},
		{"no configuration", configuration, text("404 Not Found"), ""},
		{"link", link, func(r *http.Request) string { return acceptText(r, host) }, ""},
		{"link to another host", link, func(r *http.Request) string { return acceptText(r, "other") }, ""},
	}
	for _, tt := range tests {
		for i, form := range simulator.Malformed(tt.sent(&http.Request{})) {
			t.Run(tt.name+", "+form.Name, func(t *testing.T) {
				t.Parallel()
				address := serveText(t, func(r *http.Request) string { return simulator.Malformed(tt.sent(r))[i].Text + tt.rest })
				err := tt.call(t.Context(), address)
				var typed *Error
				assert.Assert(t, errors.As(err, &typed), "%v", err)
				assert.Equal(t, typed.Kind, Disconnected, "%v", err)
			})
		}
	}
}

// Guards against a sound response of another host that is rejected because of a rare form of its head.
func TestUnusualHeadsOfHostsAreAccepted(t *testing.T) {
	const body = "configuration"
	sent := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, form := range simulator.Unusual(sent) {
		t.Run(form.Name, func(t *testing.T) {
			got, err := FetchConfiguration(t.Context(), serveText(t, func(*http.Request) string { return form.Text }), nil)
			assert.NilError(t, err)
			assert.Equal(t, string(got), body)
		})
	}
}
