package exchanger

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"rhubarbtrack.example/core/validator"
)

// FuzzResponse checks that no bytes of an upstream make the exchange panic, that a success is returned only with the ID of the
// request, and that what is returned can be passed on as a message of HTTP/1.1.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\nx\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.0 500 x\r\nRequest-Id: a\r\nKeep-Alive: timeout=-9\r\n\r\nbody",
		"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: a\r\n\r\n",
		"HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length : 4\r\nRequest-Id: a\r\n\r\nbody",
		"HTTP/1.1 200\nRequest-Id: a\nX:\x80\t\n 1\n\nbody",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, used bool) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			_ = server.SetDeadline(time.Now().Add(time.Second))
			buffer := make([]byte, 1024)
			_, _ = server.Read(buffer)
			_, _ = server.Write(data)
			_ = server.Close()
		}()
		pool := New(Options{IDHeader: "Request-Id"})
		c := newPooledConn(client)
		c.used = used
		_ = client.SetDeadline(time.Now().Add(time.Second))
		response, _, err := pool.exchange(c, &Request{Method: "GET", URI: "/", Host: "h", ID: "a"})
		if err != nil {
			return
		}
		id := response.Header.Get("Request-Id")
		if id != "a" && (used || response.Status < 300) {
			t.Fatalf("status %d with ID %q was attributed to the request", response.Status, id)
		}
		var head validator.Head
		text := bytes.NewBufferString(fmt.Sprintf("HTTP/1.1 %03d x\r\n", response.Status))
		for name, values := range response.Header {
			for _, value := range values {
				_, _ = fmt.Fprintf(text, "%s: %s\r\n", name, value)
			}
		}
		if _, err := head.Check(append(text.Bytes(), "\r\n"...)); err != nil {
			t.Fatalf("status %d, header %q: %v", response.Status, response.Header, err)
		}
	})
}
