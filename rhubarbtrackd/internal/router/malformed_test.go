package router

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// Guards against a suspected upstream that gets requests again because of an invalid head, or none in spite of a sound one.
func TestHeadsOfHealthChecks(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nBackend-Id: u\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name     string
		forms    []simulator.Form
		responds bool
	}{
		{"success", simulator.Malformed(sound), false},
		{"failure", simulator.Malformed("HTTP/1.1 503 Service Unavailable\r\nBackend-Id: u\r\nContent-Length: 2\r\n\r\nno"), false},
		{"unusual", simulator.Unusual(sound), true},
	}
	for _, tt := range tests {
		for _, form := range tt.forms {
			t.Run(tt.name+", "+form.Name, func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer listener.Close()
				go simulator.Respond(listener, func(*http.Request) string { return form.Text })
				r := &Router{options: Options{Pool: exchanger.New(exchanger.Options{IDHeader: "Attempt-Id"})}}
				u := registrar.Upstream{Incarnation: identifier.Incarnation{ID: "u", Start: 1}, Address: listener.Addr().String()}
				assert.Equal(t, r.respondsToHealthCheck(u, "/health"), tt.responds)
			})
		}
	}
}
