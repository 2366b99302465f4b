package acceptor

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// readRequest reads one request.
func (c *connection) readRequest() (*Request, bool, error) {
	limits := c.server.options.Limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := readHead(c.reader, limits.HeaderBytes)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil, true, &Error{
				Op: "read-head", Kind: Incomplete, Status: http.StatusRequestTimeout, Err: errors.New("header incomplete after the header timeout"),
			}
		}
		return nil, true, err
	}
	parsed, err := parseHead(head)
	if err != nil {
		return nil, true, err
	}
	last := parsed.Close || c.server.draining.Load()
	target := parsed.RequestURI
	request := &Request{
		Method: parsed.Method, Target: target, Path: parsed.URL.EscapedPath(), Host: parsed.Host, Caller: c.caller,
		Header: parsed.Header, Arrived: time.Now(),
	}
	reader, length := body(parsed, c.reader)
	if reader == nil {
		return request, last, nil
	}
	if length > limits.BodyBytes {
		return nil, true, &Error{
			Op: "read-body", Kind: TooLarge, Status: http.StatusRequestEntityTooLarge, Err: errors.New("Content-Length exceeds the size limit"),
		}
	}
	if err := c.readBody(request, reader, length, limits); err != nil {
		return nil, true, err
	}
	return request, last, nil
}

// timeLeft returns the time that the caller of a request still waits, or a long time if it is unknown.
func (c *connection) timeLeft(header http.Header) time.Duration {
	if c.server.options.TimeLeft != nil {
		if left, ok := c.server.options.TimeLeft(header); ok {
			return left
		}
	}
	return maxTimeLeft
}

// isDisconnected reports whether the caller has closed its side of the connection, also behind bytes that have not been read.
func (c *connection) isDisconnected() bool {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(poll, 0)
		closed = err == nil && count > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}

// bodyDeadline returns the time until which the body of a request is read, and whether it is that of the request.
func (c *connection) bodyDeadline(request *Request, limits Limits) (deadline time.Time, bounded bool) {
	deadline = time.Now().Add(limits.HeaderTimeout + limits.IdleTimeout)
	if c.server.options.Deadline == nil {
		return deadline, false
	}
	if due := c.server.options.Deadline(request); !due.IsZero() && due.Before(deadline) {
		return due, true
	}
	return deadline, false
}

// readBody reads the body of a request, or as much of a long one as is kept in memory. Without memory for it, nothing is read.
func (c *connection) readBody(request *Request, reader *messageBody, length int64, limits Limits) error {
	memory := c.server.options.Memory
	reserved := int64(maxBufferedBody + 1)
	if length >= 0 {
		reserved = min(reserved, length)
	}
	if err := memory.reserve(c.ctx, reserved, c.timeLeft(request.Header), c.isDisconnected); err != nil {
		return err
	}
	defer func() { memory.release(reserved - request.reserved) }()
	if request.Header.Get("Expect") != "" && len(c.queue) == 0 {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return &Error{Op: "continue", Kind: Incomplete, Err: err}
		}
	}
	deadline, bounded := c.bodyDeadline(request, limits)
	// It applies to the rest of a long body, too, which the handler reads.
	_ = c.conn.SetReadDeadline(deadline)
	data, err := io.ReadAll(io.LimitReader(reader, maxBufferedBody+1))
	if bounded && errors.Is(err, os.ErrDeadlineExceeded) {
		return &Error{
			Op: "read-body", Kind: Incomplete, Status: http.StatusRequestTimeout, Err: errors.New("body incomplete at the deadline of the request"),
		}
	}
	if err != nil {
		var ambiguous *Error
		var network net.Error
		if errors.As(err, &ambiguous) {
			return err
		}
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
			return &Error{Op: "read-body", Kind: Incomplete, Err: err}
		}
		return malformed(err.Error())
	}
	request.reserved = int64(len(data))
	if len(data) <= maxBufferedBody {
		request.Body = data
		return nil
	}
	request.Stream = &onceReader{
		source: io.MultiReader(bytes.NewReader(data), io.LimitReader(reader, limits.BodyBytes-int64(len(data)))),
	}
	request.Length = length
	request.body = reader
	return nil
}
