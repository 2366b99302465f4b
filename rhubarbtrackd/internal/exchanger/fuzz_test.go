package exchanger

import (
	"net"
	"testing"
	"time"
)

// FuzzResponse checks that no bytes of an upstream make the exchange panic, and that a success is returned only with the
// ID of the request.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\nx\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.0 500 x\r\nRequest-Id: a\r\nKeep-Alive: timeout=-9\r\n\r\nbody",
		"HTTP/1.1 101 Switching Protocols\r\nRequest-Id: a\r\n\r\n",
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
	})
}
