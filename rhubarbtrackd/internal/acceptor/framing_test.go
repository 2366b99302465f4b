package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
)

// quoted is a request that stands in the body of another one.
const quoted = "POST /quoted HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// quotingBody returns a body that consists of quoted requests, so that each of its positions is close to one.
func quotingBody(length int) string {
	return strings.Repeat(quoted, length/len(quoted)+1)[:length]
}

// upload returns a request with a body, by length or in chunks of chunkSize bytes.
func upload(path, body string, chunkSize int) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\n"
	if chunkSize == 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var text strings.Builder
	text.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(chunkSize, len(body))
		_, _ = fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\nTrailer: x\r\n\r\n")
	return text.String()
}

// handlers are the ways in which a handler leaves the body of a request.
var handlers = []struct {
	name   string
	handle func(r *acceptor.Request) *acceptor.Response
}{
	{"reads nothing", func(*acceptor.Request) *acceptor.Response { return reject() }},
	{"reads one byte", func(r *acceptor.Request) *acceptor.Response { return readAndReject(r, 1) }},
	{"reads half", func(r *acceptor.Request) *acceptor.Response { return readAndReject(r, max(1, r.Length/2)) }},
	{"reads all but one byte", func(r *acceptor.Request) *acceptor.Response { return readAndReject(r, max(1, r.Length-1)) }},
	{"reads all", func(r *acceptor.Request) *acceptor.Response { return readAndReject(r, 1<<30) }},
	{"panics", func(*acceptor.Request) *acceptor.Response { panic("test") }},
	{"closes the connection", func(*acceptor.Request) *acceptor.Response { return &acceptor.Response{Abort: true} }},
}

func reject() *acceptor.Response {
	return &acceptor.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
}

func readAndReject(r *acceptor.Request, bytes int64) *acceptor.Response {
	if r.Stream != nil {
		_, _ = io.CopyN(io.Discard, r.Stream, bytes)
	}
	return reject()
}

// Guards against request smuggling through a body that the handler has not read to its end: the rest was parsed as further
// requests of the connection, and their responses went to the caller's next requests.
func TestUnreadBodyIsNotParsedAsRequests(t *testing.T) {
	for _, chunkSize := range []int{0, 1000, 1 << 20} {
		for _, length := range []int{1, 131_071, 131_072, 131_073, 222_202, 1 << 20} {
			for _, h := range handlers {
				t.Run(fmt.Sprintf("%s, %d bytes in chunks of %d", h.name, length, chunkSize), func(t *testing.T) {
					var mutex sync.Mutex
					var paths []string
					f := newFixture(t)
					f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response {
						mutex.Lock()
						paths = append(paths, r.Path)
						mutex.Unlock()
						if r.Path == "/next" {
							return textResponse("next")
						}
						return h.handle(r)
					}
					conn, reader := f.dial(t)
					go func() {
						// Fails when the connection is closed meanwhile.
						_, _ = io.WriteString(conn, upload("/upload", quotingBody(length), chunkSize)+"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
					}()
					checkResponses(t, reader)
					mutex.Lock()
					defer mutex.Unlock()
					seen := map[string]int{}
					for _, path := range paths {
						seen[path]++
					}
					assert.Equal(t, seen["/upload"], 1)
					assert.Assert(t, seen["/next"] <= 1)
					assert.Equal(t, len(paths), 1+seen["/next"], "%v", paths)
				})
			}
		}
	}
}

// checkResponses reads the responses to an upload and to the request after it. The connection may end after the first one if
// that says so, or without a response.
func checkResponses(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)
	second, err := http.ReadResponse(reader, nil)
	if first.Close {
		assert.Assert(t, err != nil, "a response follows the last one")
		return
	}
	assert.NilError(t, err)
	text, err := io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "next")
}

// Guards against a connection that is kept although part of a body is left, and one that is closed although none is.
func TestConnectionIsKeptAfterABodyThatWasRead(t *testing.T) {
	for _, tt := range []struct {
		name   string
		read   int64
		closes bool
	}{{"nothing", 0, true}, {"part", 100_000, true}, {"all", 1 << 30, false}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response { return readAndReject(r, tt.read) }
			conn, reader := f.dial(t)
			send(t, conn, upload("/", quotingBody(200_000), 0))
			_, _, response := receive(t, reader)
			assert.Equal(t, response.Close, tt.closes)
		})
	}
}

// Guards against a caller that loses the response to a rejected upload, because the connection is reset while it still sends.
func TestCallerReceivesTheRejectionOfAnUpload(t *testing.T) {
	f := newFixture(t)
	f.handle = func(context.Context, *acceptor.Request) *acceptor.Response { return reject() }
	conn, reader := f.dial(t)
	body := quotingBody(1 << 20)
	send(t, conn, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)))
	for len(body) > 0 { // slowly, for about a second
		n := min(len(body), 16<<10)
		send(t, conn, body[:n])
		body = body[n:]
		time.Sleep(15 * time.Millisecond)
	}
	status, _, response := receive(t, reader)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, response.Close)
	_, err := reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against a request that is sent again with an empty body, because the first attempt has read it.
func TestBodyThatIsNotKeptIsReadOnce(t *testing.T) {
	for _, tt := range []struct {
		length int
		kept   bool
	}{{1, true}, {131_072, true}, {131_073, false}, {1 << 20, false}} {
		for _, chunkSize := range []int{0, 1000} {
			f := newFixture(t)
			f.handle = func(_ context.Context, r *acceptor.Request) *acceptor.Response {
				if r.Stream == nil {
					return textResponse(fmt.Sprint(r.Repeatable()))
				}
				before := r.Repeatable()
				n, err := io.Copy(io.Discard, r.Stream)
				_, again := io.Copy(io.Discard, r.Stream)
				return textResponse(fmt.Sprint(before, n, err, r.Repeatable(), again != nil))
			}
			conn, reader := f.dial(t)
			send(t, conn, upload("/", quotingBody(tt.length), chunkSize))
			_, text, _ := receive(t, reader)
			want := "true"
			if !tt.kept {
				want = fmt.Sprint(true, tt.length, nil, false, true)
			}
			assert.Equal(t, text, want, "%d bytes in chunks of %d", tt.length, chunkSize)
		}
	}
}
