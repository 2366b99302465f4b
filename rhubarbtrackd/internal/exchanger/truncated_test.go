package exchanger_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// Guards against a response that ends early and is returned as a complete one with an empty or short body.
func TestResponsesThatEndEarlyAreInterrupted(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nResponse-Signature: 3e1b.07.5a2\r\nBackend-Load: 3,0,8\r\n"
	for _, tt := range []struct{ name, response string }{
		{"length", head + "Content-Length: 12\r\n\r\nhello, world"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{"chunks with a trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n"},
		{"until the connection ends", head + "Connection: close\r\n\r\n"},
		{"no body", head + "Content-Length: 0\r\n\r\n"},
		{"line feeds only", strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 5\n\nhello"},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello"},
		{"response to another request first", strings.Replace(head, "Id: a", "Id: z", 1) + "Content-Length: 2\r\n\r\nno" + head + "Content-Length: 5\r\n\r\nhello"},
		{"failure", strings.Replace(head, "200 OK", "404 Not Found", 1) + "Content-Length: 5\r\n\r\nhello"},
		{"rejection", strings.Replace(head, "200 OK", "503 Busy", 1) + "Not-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, reused := range []bool{false, true} {
				for n := range len(tt.response) {
					u := newUpstream(t, func(_ int, r *http.Request) string {
						if r.Header.Get(idHeader) != "a" {
							return responseText(r.Header.Get(idHeader), "ok")
						}
						return tt.response[:n] + "\x00close"
					})
					pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
					target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: u.address}
					if reused {
						_, err := pool.Do(context.Background(), target, newRequest("before"))
						assert.NilError(t, err)
					}
					response, err := pool.Do(context.Background(), target, newRequest("a"))
					assert.Assert(t, err != nil, "reused %t: %d bytes gave status %d: %q", reused, n, status(response), tt.response[:n])
					assert.Equal(t, kindOf(err), exchanger.Interrupted, "reused %t: %d bytes", reused, n)
				}
			}
		})
	}
}

func status(response *exchanger.Response) int {
	if response == nil {
		return 0
	}
	return response.Status
}
