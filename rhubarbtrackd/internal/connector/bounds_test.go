package connector

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
)

// acceptText returns the response that accepts the websocket of a request.
func acceptText(request *http.Request, host string) string {
	digest := sha1.Sum([]byte(request.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
		base64.StdEncoding.EncodeToString(digest[:]) + "\r\nSec-WebSocket-Protocol: " + subprotocol + "\r\n" + HostHeader + ": " + host + "\r\n\r\n"
}

// heapGrowth samples the heap until the result is called, which returns the largest growth in bytes.
func heapGrowth() func() int64 {
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapInuse)
	}
	runtime.GC()
	before := heap()
	peak := before
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak = max(peak, heap())
			select {
			case <-done:
				peak = max(peak, heap())
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(done)
		<-sampled
		return peak - before
	}
}

// Guards against a host that runs out of memory, or waits for ever, when the process at the address of another host sends bytes
// without end. An upstream can have got that address.
func TestEndlessResponsesOfOtherProcesses(t *testing.T) {
	const (
		host  = "controller"
		bound = 2 * time.Second
		// maxGrowth allows for a message or a configuration of 4 MB, whose buffer grows in steps.
		maxGrowth = 32 << 20
	)
	letters := strings.Repeat("x", 1024)
	client := NewClient(ClientOptions{
		Leader: func() (string, string) { return host, "" }, OnAddressReused: func(string) {}, OnHeartbeat: func(Heartbeat) {},
		OnConnect: func(string) {}, Report: func() Report { return Report{} }, Now: func() time.Duration { return 0 },
		Panics: recoverer.New(nil, nil),
	})
	calls := []struct {
		name string
		call func(ctx context.Context, address string) error
	}{
		{"announcement", func(ctx context.Context, address string) error {
			return Announce(ctx, address, Announcement{Term: 1, Host: host})
		}},
		{"configuration", func(ctx context.Context, address string) error {
			_, err := FetchConfiguration(ctx, address, nil)
			return err
		}},
		{"link", func(ctx context.Context, address string) error { return client.serve(ctx, host, address, dialTimeout) }},
	}
	floods := []struct {
		name, first, unit string
		isLink            bool // first follows the acceptance of a websocket
	}{
		{"letters", "", letters, false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n", false},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		{"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", letters, false},
		{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", letters, false},
		{"body of a failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", letters, false},
		{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + letters + "\r\n", false},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", letters, false},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n", false},
		{"letters after the handshake", "", letters, true},
		{"long message", "\x82\x7f\x00\x00\x00\x01\x00\x00\x00\x00", letters, true},
		{"message in fragments", "\x02\x7e\x04\x00" + letters, "\x00\x7e\x04\x00" + letters, true},
		{"pings", "", "\x89\x00", true},
	}
	for _, c := range calls {
		for _, f := range floods {
			if f.isLink && c.name != "link" {
				continue
			}
			t.Run(c.name+"/"+f.name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer listener.Close()
				var open atomic.Int64
				block := []byte(strings.Repeat(f.unit, max(1, 8192/len(f.unit))))
				respond := func(conn net.Conn) {
					defer open.Add(-1)
					defer conn.Close()
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(io.Discard, conn) }() // the pongs
					first := f.first
					if f.isLink {
						first = acceptText(request, host) + first
					}
					_, err = io.WriteString(conn, first)
					for err == nil {
						_, err = conn.Write(block)
					}
				}
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						open.Add(1)
						go respond(conn)
					}
				}()
				growth := heapGrowth()
				began := time.Now()
				err = c.call(t.Context(), listener.Addr().String())
				taken, grown := time.Since(began), growth()
				t.Logf("the heap grew by %d KB in %v: %.80v", grown>>10, taken.Round(time.Millisecond), err)
				assert.Assert(t, err != nil)
				assert.Assert(t, taken < bound, "the call took %v", taken)
				assert.Assert(t, grown < maxGrowth, "the heap grew by %d MB", grown>>20)
				for deadline := time.Now().Add(time.Second); open.Load() > 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				assert.Equal(t, open.Load(), int64(0), "the connection is still open")
			})
		}
	}
}
