package starter_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

// longUpload is more than the buffers between a host and an upstream hold.
const longUpload = 6 << 20

// earlyResponse is what upstreams send to a request before they read its body.
type earlyResponse struct {
	fields string // of the head, besides the attempt
	body   string
	ending simulator.Ending
}

// respond sends the response over the connection of a request.
func (e *earlyResponse) respond(t *testing.T, w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	upload := io.LimitReader(buffered, r.ContentLength)
	if r.ContentLength < 0 {
		upload = httputil.NewChunkedReader(buffered)
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", translator.AttemptHeader, r.Header.Get(translator.AttemptHeader), e.fields, e.body)
	simulator.RespondEarly(unwrap(conn), upload, text, e.ending)
}

// Guards against callers that get a part of a response as the whole, or none of it, because an upload to the upstream failed.
func TestEndOfAnEarlyResponseAtCallers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		fields     func(length int) string
		length     int
		isComplete bool // whatever ends the connection
	}{
		{"no length", func(int) string { return "" }, 1000, false},
		{"no length, streamed", func(int) string { return "" }, 300 << 10, false},
		{"length", func(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }, 1000, true},
	}
	s := newAnswerSystem(t)
	const version = 10
	configuration := simulator.ConfigurationWithTimeout(version, answerTimeout)
	configuration["limits"].(map[string]any)["max_body_bytes"] = longUpload
	s.applyConfiguration(t, version, configuration)
	s.waitOwned(t)
	for _, tt := range tests {
		for _, ending := range simulator.Endings() {
			if tt.length >= bufferedAnswer && ending.IsGiven && !ending.ReadsUpload {
				continue // the host reads nothing until then, and its buffer does not hold the whole response
			}
			for _, framing := range []simulator.Framing{simulator.ByLength, simulator.ByChunks} {
				for _, prefix := range []string{simulator.OrderPrefix, simulator.PlainPrefix} {
					for _, upload := range []int{200_000, longUpload} {
						t.Run(fmt.Sprintf("%s, %s, %s, upload of %d by %s", tt.name, ending.Name, prefix, upload, framing), func(t *testing.T) {
							t.Parallel()
							call := answerCall(prefix, simulator.Body{Bytes: tt.length})
							call.Name, call.Body = call.Attempt, simulator.Body{Bytes: upload, Framing: framing}
							body := call.ExpectedBody()
							e := &earlyResponse{tt.fields(len(body)), body, ending}
							isComplete := tt.isComplete || ending.IsGiven
							if !isComplete {
								e.body = body[:len(body)/2]
							}
							s.early.Store(call.Attempt, e)
							began := time.Now()
							var reply simulator.Reply
							var err error
							for s.attemptsOf(call.Attempt) == 0 && time.Since(began) < readyWithin {
								// A host that is busy with the other requests rejects this one, or waits for an owner of its key.
								reply, err = call.Send(clientFrom(0), s.hosts[0].settings.CallerAddress)
							}
							assert.Equal(t, s.attemptsOf(call.Attempt), 1, "attempts of a request that cannot be repeated")
							if isComplete {
								assert.NilError(t, err)
								assert.Equal(t, reply.Status, http.StatusOK)
								assert.Assert(t, reply.Matches)
								return
							}
							isFailure := reply.Status == http.StatusBadGateway || reply.Status == http.StatusGatewayTimeout
							assert.Assert(t, err != nil || isFailure, "status %d", reply.Status)
						})
					}
				}
			}
		}
	}
}
