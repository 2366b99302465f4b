package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a caller.
type Request struct {
	Method  string
	Target  string
	Host    string
	Attempt string
	Key     int // sent if not negative
	Left    time.Duration
	Body    []byte
	Chunked bool
}

// Bytes returns the request as it is sent.
func (r Request) Bytes() []byte {
	var text strings.Builder
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", method, r.Target, r.Host, r.Attempt)
	if r.Left > 0 {
		fmt.Fprintf(&text, "Deadline-Ms: %d\r\n", r.Left.Milliseconds())
	}
	if r.Key >= 0 {
		fmt.Fprintf(&text, "Shard-Key: %d\r\n", r.Key)
	}
	switch {
	case r.Chunked:
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for body := r.Body; len(body) > 0; {
			n := min(len(body), 8<<10)
			fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		text.WriteString("0\r\n\r\n")
	default:
		if len(r.Body) > 0 || method != http.MethodGet {
			text.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
		}
		text.WriteString("\r\n")
		text.Write(r.Body)
	}
	return []byte(text.String())
}

// Answer is what a caller has received for a request.
type Answer struct {
	Status    int // 0: none
	Attempt   string
	Signature string
	Body      []byte
	Close     bool
	Retry     string
	Err       error // the answer is incomplete, or there is none
}

func (a Answer) String() string {
	return fmt.Sprintf("status %d, id %q, signature %q, %d bytes, error %v", a.Status, a.Attempt, a.Signature, len(a.Body), a.Err)
}

// Conn is a connection of a caller to a host.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial opens a connection to a host.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{conn, bufio.NewReader(conn)}, nil
}

// Receive reads one answer.
func (c *Conn) Receive(method string, limit time.Duration) Answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Answer{
		Status: response.StatusCode, Attempt: response.Header.Get("Attempt-Id"), Signature: response.Header.Get("Response-Signature"),
		Body: body, Close: response.Close, Retry: response.Header.Get("Retry-After"), Err: err,
	}
}

// Send sends one request on a connection of its own and reads the answer.
func Send(address string, r Request) Answer {
	c, err := Dial(address)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(r.Bytes()); err != nil {
		return Answer{Err: err}
	}
	return c.Receive(r.Method, r.Left+time.Second)
}
