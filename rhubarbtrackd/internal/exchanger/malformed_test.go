package exchanger_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// Guards against an invalid head that is taken for a response, and against bytes behind it that are.
func TestMalformedHeadsAreNoResponse(t *testing.T) {
	behind := responseText("b", "in")
	interim := func(form string) string { return strings.TrimSuffix(form, "xy") }
	tests := []struct {
		name string
		// sent becomes malformed. The upstream sends it instead of its response to b, with rest behind it.
		sent, rest string
	}{
		{"success", responseText("b", "xy"), behind},
		{"success whose body is a response", strings.Replace(responseText("b", "xy"), "\r\n\r\nxy", "0\r\n\r\n", 1), behind},
		{"failure", statusText(500, "b"), behind},
		{"rejection", strings.Replace(statusText(503, "b"), "\r\n", "\r\nNot-Executed: 1\r\n", 1), behind},
		{"another instance", strings.Replace(statusText(421, "b"), "\r\n", "\r\nNot-Executed: 1\r\n", 1), behind},
		{"response to another request", responseText("z", "xy"), behind},
		{"interim response", interim("HTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 0\r\n\r\nxy"), behind},
		{"without more bytes", responseText("b", "xy"), ""},
	}
	for _, tt := range tests {
		for _, form := range simulator.Malformed(tt.sent) {
			for _, connection := range []string{"new", "kept"} {
				t.Run(tt.name+", "+form.Name+", "+connection+" connection", func(t *testing.T) {
					t.Parallel()
					u := newUpstream(t, func(_ int, r *http.Request) string {
						if id := r.Header.Get(idHeader); id != "b" {
							return responseText(id, "ok")
						}
						return form.Text + tt.rest
					})
					pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
					target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
					before := int64(1)
					if connection == "kept" {
						_, err := pool.Do(context.Background(), target, newRequest("a"))
						assert.NilError(t, err)
						before++
					}
					began := time.Now()
					response, err := pool.Do(context.Background(), target, newRequest("b"))
					assert.Equal(t, kindOf(err), exchanger.NoResponse, "error %v, response %+v", err, response)
					assert.Assert(t, time.Since(began) < time.Second, "the exchange ended only at its deadline")
					assert.Equal(t, u.requests.Load(), before, "the request was sent again")
					assert.Equal(t, u.conns.Load(), int64(1))
					// What the connection still holds must not reach the next caller.
					response, err = pool.Do(context.Background(), target, newRequest("c"))
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), "ok")
					assert.Equal(t, u.conns.Load(), int64(2), "the connection was used again")
				})
			}
		}
	}
}

// Guards against a sound response that is rejected because of a rare form of its head.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	for _, form := range simulator.Unusual(responseText("a", "ok")) {
		t.Run(form.Name, func(t *testing.T) {
			u := newUpstream(t, func(int, *http.Request) string { return form.Text })
			pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
			target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
			response, err := pool.Do(context.Background(), target, newRequest("a"))
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
			assert.Equal(t, string(response.Body), "ok")
		})
	}
}

// Guards against a switch of protocols that reaches the caller, although the host has asked for none.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: " + r.Header.Get(idHeader) + "\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
	})
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
	response, err := pool.Do(context.Background(), target, newRequest("a"))
	assert.Equal(t, kindOf(err), exchanger.NoResponse, "%+v", response)
}

// Guards against a response of unclear length that reaches the caller with another body than the upstream's.
func TestUnclearFramingIsNoResponse(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	tests := []struct{ name, version, fields, body string }{
		{"length that is no number", "1.1", "Content-Length: 2x", "ok"},
		{"length with a sign", "1.1", "Content-Length: +2", "ok"},
		{"negative length", "1.1", "Content-Length: -2", "ok"},
		{"empty length", "1.1", "Content-Length:", "ok"},
		{"list of lengths", "1.1", "Content-Length: 2, 3", "ok"},
		{"two lengths", "1.1", "Content-Length: 2\r\nContent-Length: 3", "ok"},
		{"length beyond 64 bits", "1.1", "Content-Length: 99999999999999999999", "ok"},
		{"unknown transfer encoding", "1.1", "Transfer-Encoding: x", "ok"},
		{"compressed transfer", "1.1", "Transfer-Encoding: gzip, chunked", chunks},
		{"two transfer encodings", "1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunks},
		{"chunks in version 1.0", "1.0", "Transfer-Encoding: chunked", chunks},
		{"chunks and a length in version 1.0", "1.0", "transfer-ENCODING: chunked\r\nContent-Length: 12", chunks},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(int, *http.Request) string {
				return "HTTP/" + tt.version + " 200 OK\r\nRequest-Id: a\r\n" + tt.fields + "\r\n\r\n" + tt.body + "\x00close"
			})
			pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
			target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
			response, err := pool.Do(context.Background(), target, newRequest("a"))
			assert.Equal(t, kindOf(err), exchanger.NoResponse, "error %v, response %+v", err, response)
		})
	}
}
