package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

func TestBodyIsSentToItsEndAfterAnEarlyResponse(t *testing.T) {
	const length = 1 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), length/16)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	received := make(chan string, 2)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				received <- err.Error()
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, request.Header.Get("Id"))
			time.Sleep(100 * time.Millisecond) // the body is read after the response
			data, err := io.ReadAll(request.Body)
			received <- fmt.Sprint(request.URL.Path, " ", bytes.Equal(data, body) || len(data) == 0, " ", len(data), " ", err)
		}
	}()
	pool := exchanger.New(exchanger.Options{IDHeader: idHeader})
	target := exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: listener.Addr().String()}
	send := func(id string, stream io.Reader) {
		request := newRequest(id)
		request.Method, request.URI, request.Header = http.MethodPost, "/"+id, http.Header{"Id": {id}}
		if stream != nil {
			request.Body, request.Stream, request.Length = nil, stream, length
		}
		response, err := pool.Do(context.Background(), target, request)
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "ok")
	}
	send("a", bytes.NewReader(body))
	assert.Equal(t, <-received, fmt.Sprintf("/a true %d <nil>", length))
	send("b", nil)
	assert.Equal(t, <-received, "/b true 0 <nil>")
}
