// Package delimiter makes connections whose reads return io.EOF only if the other side has sent the end of its stream.
//
// A body without a length ends with its connection, and is complete unless the connection failed (RFC 9112, section 8). The kernel
// reports the failure of a connection, by a reset or because the other side acknowledges nothing, to one call only. If that is a
// write, the reads behind it return what has arrived and then io.EOF, as they do after an end that the other side has sent: a part of
// the body looks like the whole. Reads of a Conn return the failure of the write there.
//
// One failure leaves io.EOF as it is: EPIPE as the first error says that the reset came after the end of the stream, so that all of the
// stream has arrived. That is the case for a server that responds early, ends its stream, and does not read the rest of the request.
//
// # Usage
//
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//	if err != nil {
//		return err
//	}
//	response, err := http.ReadResponse(bufio.NewReader(delimiter.New(conn)), request)
//
// Errors are those of the connection. The package has none of its own.
package delimiter

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Conn is a connection that distinguishes its failure from the end of the stream. It is safe for concurrent use by readers and writers.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write
	failure error      // the first that the kernel reported to a write; guarded by writing
}

// New returns a Conn over conn, whose Read and Write must not be called directly from then on.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection that New was called with.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var reported syscall.Errno // deadlines and the end by this side are no failures of the connection
	if c.failure == nil && errors.As(err, &reported) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. Instead of io.EOF it returns the error of a write if the connection has failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF if the other side has sent the end of its stream, otherwise the failure of the connection.
func (c *Conn) end() error {
	if !c.writing.TryLock() {
		if isOpen(c.Conn) {
			return io.EOF
		}
		// If the connection has failed, the write in progress returns at once, with the failure if no other call has received it.
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.failure == nil || errors.Is(c.failure, syscall.EPIPE) {
		return io.EOF
	}
	return c.failure
}
