package delimiter_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/delimiter"
)

// scriptedConn is a connection whose reads return io.EOF. With isConcurrent, the write ends after the first read.
type scriptedConn struct {
	net.Conn
	writeErr     error
	isConcurrent bool
	began, ended chan struct{} // closed by the write and by the read
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if c.isConcurrent {
		close(c.began)
		<-c.ended
		time.Sleep(20 * time.Millisecond) // the reader goes on meanwhile
	}
	return len(p), c.writeErr
}

func (c *scriptedConn) Read([]byte) (int, error) {
	if c.isConcurrent {
		<-c.began
		close(c.ended)
	}
	return 0, io.EOF
}

// Guards against a failure that a write has received, before or during a read that takes it for the end of the stream.
func TestFailureOfAWriteIsNoEnd(t *testing.T) {
	write := func(errno syscall.Errno) error {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", errno)}
	}
	tests := []struct {
		name     string
		writeErr error
		want     error
	}{
		{"no failure", nil, io.EOF},
		{"reset", write(syscall.ECONNRESET), syscall.ECONNRESET},
		{"nothing acknowledged", write(syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		{"no route", write(syscall.EHOSTUNREACH), syscall.EHOSTUNREACH},
		{"reset after the end", write(syscall.EPIPE), io.EOF},
		{"deadline", os.ErrDeadlineExceeded, io.EOF},
	}
	for _, tt := range tests {
		for _, isConcurrent := range []bool{false, true} {
			t.Run(tt.name+map[bool]string{true: " during the read"}[isConcurrent], func(t *testing.T) {
				conn := delimiter.New(&scriptedConn{writeErr: tt.writeErr, isConcurrent: isConcurrent, began: make(chan struct{}), ended: make(chan struct{})})
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write([]byte("x"))
					written <- err
				}()
				if !isConcurrent {
					assert.Assert(t, errors.Is(<-written, tt.writeErr))
				}
				n, err := conn.Read(make([]byte, 1))
				assert.Equal(t, n, 0)
				assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			})
		}
	}
}

// Guards against the first failure being replaced by a later one, which is EPIPE for each connection that has failed.
func TestFirstFailureDecides(t *testing.T) {
	scripted := &scriptedConn{writeErr: syscall.ECONNRESET}
	conn := delimiter.New(scripted)
	_, err := conn.Write([]byte("x"))
	assert.Equal(t, err, error(syscall.ECONNRESET))
	scripted.writeErr = syscall.EPIPE
	_, err = conn.Write([]byte("x"))
	assert.Equal(t, err, error(syscall.EPIPE))
	for range 2 {
		_, err = conn.Read(make([]byte, 1))
		assert.Equal(t, err, error(syscall.ECONNRESET))
	}
}

// Guards against an end that is read late, because the other side has ended its stream and takes no more bytes.
func TestEndDoesNotWaitForABlockedWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	conn := delimiter.New(raw)
	defer conn.Close()
	other, err := listener.Accept()
	assert.NilError(t, err)
	defer other.Close()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		written <- err
	}()
	time.Sleep(50 * time.Millisecond) // the buffers are full
	_, err = io.WriteString(other, "sound")
	assert.NilError(t, err)
	assert.NilError(t, other.(*net.TCPConn).CloseWrite())
	// Ends the write, and with it a read that waits for it.
	defer time.AfterFunc(2*time.Second, func() { _ = conn.Close() }).Stop()
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "sound")
	select {
	case err := <-written:
		t.Fatalf("the write ended: %v", err)
	default:
	}
}
