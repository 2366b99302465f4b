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

// rawRequest returns the text of a request with a body of known length.
func rawRequest(prefix, attempt string, key int, body string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", prefix, attempt,
		simulator.Hostname, translator.AttemptHeader, attempt, translator.TimeLeftHeader, translator.KeyHeader, key, len(body), body)
}

// Guards against requests that no caller has sent: while the owner of a key cannot be reached, an upload for it was rejected, and
// the requests quoted in its body ran, with their responses given to the caller's next requests.
func TestRejectedUploadIsNotParsedAsRequests(t *testing.T) {
	const (
		uploads = 40
		// Hosts read so many bytes of a body before they route the request.
		buffered = 128<<10 + 1
		copies   = 200
	)
	s := newSystem(t)
	s.partitions[0].cut(t, refused)
	time.Sleep(500 * time.Millisecond) // the hosts reject requests for its keys
	rejected := 0
	for n := range uploads {
		h := s.hosts[n%len(s.hosts)]
		conn, err := net.Dial("tcp", h.settings.CallerAddress)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		quoted := rawRequest(simulator.PlainPrefix, fmt.Sprintf("quoted-%d", n), 0, "")
		body := strings.Repeat("x", buffered) + strings.Repeat(quoted, copies)
		next := fmt.Sprintf("next-%d", n)
		go func() {
			// Fails when the host closes the connection meanwhile.
			_, _ = io.WriteString(conn, rawRequest(simulator.OrderPrefix, fmt.Sprintf("upload-%d", n), n*1600, body)+
				rawRequest(simulator.OrderPrefix, next, n*1600, ""))
		}()
		reader := bufio.NewReader(conn)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode == http.StatusServiceUnavailable {
				rejected++
			}
			attempt := response.Header.Get(translator.AttemptHeader)
			assert.Assert(t, !strings.HasPrefix(attempt, "quoted"), "the response to %s was sent to the caller", attempt)
			if response.Close || attempt == next {
				break
			}
		}
		_ = conn.Close()
	}
	assert.Assert(t, rejected > 0, "no upload was rejected")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for attempt := range s.runs {
		assert.Assert(t, !strings.HasPrefix(attempt, "quoted"), "%s ran, which no caller has sent", attempt)
	}
}
