// Package acceptor serves callers over HTTP/1.1.
//
// It differs from net/http's server in three points that a router in front of exclusive owners needs:
//
//   - Pipelined requests run concurrently. Responses are sent in the order of the requests.
//   - A disconnect of the caller cancels its requests at once, even when it has sent further requests.
//   - Requests whose length is ambiguous are rejected, because another server could read part of the body as a separate
//     request (request smuggling).
//
// # Usage
//
//	server := acceptor.New(acceptor.Options{Handle: handle, Limits: limits})
//	go server.Serve(listener)
//	server.Drain()
package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
)

const (
	// pipelineDepth bounds the requests of one connection that run concurrently.
	pipelineDepth = 32
	// maxBufferedBody is the size in bytes up to which a body is kept in memory, so that the request can be sent again.
	maxBufferedBody = 128 << 10
	// writeTimeout bounds one write to a caller that does not read its response.
	writeTimeout = 8 * time.Second
	// drainPollInterval is how long an idle connection waits for a request that is in transit when the host shuts down.
	drainPollInterval = 50 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept. Descriptors become available again when connections are closed.
	acceptRetryDelay = 10 * time.Millisecond
	// lingerTimeout is how long data from the caller is read and discarded after the last response. Closing a socket with
	// unread data sends a reset, by which the caller could lose the response.
	lingerTimeout = 300 * time.Millisecond
	// bodyLingerTimeout is the same while the caller has not sent the whole body of its last request.
	bodyLingerTimeout = 2 * time.Second
	// maxLingerBytes bounds that data. The rest of a body is bounded by the limit for bodies, if that is higher.
	maxLingerBytes = 1 << 20
	// maxTimeLeft is how long callers are assumed to wait that do not say so. It is beyond the timeouts of routes.
	maxTimeLeft = time.Hour
)

// Limits bound what callers may send. They may change while connections are open and then apply to the next request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a parsed request of a caller. Either Body or Stream holds the complete body.
type Request struct {
	Method  string
	Target  string // as sent
	Path    string // Target without query
	Host    string
	Caller  string // IP address of the caller
	Header  http.Header
	Body    []byte    // nil if Stream is set
	Stream  io.Reader // set if the body is too long to be kept in memory; it can be read once
	Length  int64     // of Stream in bytes; -1 if unknown
	Arrived time.Time // when the head was complete
	body    *messageBody
	// reserved is the number of bytes that Memory counts for the body.
	reserved int64
}

// Repeatable reports whether the request can be sent, or sent again, with its whole body.
func (r *Request) Repeatable() bool {
	if r.Stream == nil {
		return true
	}
	body, ok := r.Stream.(*onceReader)
	return ok && !body.begun
}

// Response is the response to a caller. The server closes Stream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream replaces Body in a long response of Length bytes, or of unknown length if Length is -1.
	Stream io.ReadCloser
	Length int64
	// Deadline is when the transfer of Stream is broken off. If it is zero, only each write is bounded.
	Deadline time.Time
	// Abort closes the connection without a response.
	Abort bool
}

// Options configures a Server.
type Options struct {
	// Handle returns the response to a request. It is called concurrently. ctx is cancelled when the caller disconnects.
	// After a panic, the response is 500.
	Handle func(ctx context.Context, request *Request) *Response
	Limits func() Limits
	// Refused is called for requests and connections that are rejected before Handle. status is 0 if there is no response.
	Refused func(status int, remote, reason string)
	// AcceptFailed is called for the first of consecutive failures to accept, for example for lack of descriptors. It may
	// be nil.
	AcceptFailed func(err error)
	// Panics contains panics in Handle and in the goroutines of connections.
	Panics *recoverer.Recoverer
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// TimeLeft returns how long the caller of a request with this header still waits, or false if the header does not say so. The
	// wait for Memory is bounded by it. It may be nil.
	TimeLeft func(header http.Header) (time.Duration, bool)
	// Deadline returns the time until which a request may take, by its head, or the zero time if there is no such bound. A body that is
	// not complete by then is not awaited any more. It may be nil.
	Deadline func(request *Request) time.Time
	// Memory bounds the bodies of requests and responses that are held; nil means no bound.
	Memory *Memory
}

// Server serves callers on one or more listeners. It is safe for concurrent use.
type Server struct {
	options            Options
	draining           atomic.Bool
	closeAfterResponse atomic.Bool // set by SetCloseAfterResponse
	mutex              sync.Mutex
	conns              map[*connection]bool
	active             atomic.Int64
}

// New returns a server without listeners; Serve adds them.
func New(options Options) *Server {
	return &Server{options: options, conns: map[*connection]bool{}}
}

// Active returns the number of requests in flight.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns)
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	failing := false
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			if !failing && s.options.AcceptFailed != nil {
				s.options.AcceptFailed(err)
			}
			failing = true
			time.Sleep(acceptRetryDelay)
			continue
		}
		failing = false
		s.open(conn)
	}
}

func (s *Server) open(conn net.Conn) {
	c := newConnection(s, conn)
	s.mutex.Lock()
	full := s.options.MaxConnections > 0 && len(s.conns) >= s.options.MaxConnections
	if !full {
		s.conns[c] = true
	}
	s.mutex.Unlock()
	if full {
		s.options.Refused(0, conn.RemoteAddr().String(), "too many connections")
		_ = conn.Close()
		return
	}
	go c.run("read-caller", c.read)
	go c.run("write-caller", c.write)
}

func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	delete(s.conns, c)
	s.mutex.Unlock()
}

// SetCloseAfterResponse sets whether a connection is closed with the response to its last outstanding request, so that
// callers reconnect through the balancer and reach another host. New connections are still accepted.
func (s *Server) SetCloseAfterResponse(enabled bool) { s.closeAfterResponse.Store(enabled) }

// Drain closes connections as soon as they are idle. The last response on a connection has the field Connection: close.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		c.wake()
	}
}

// Close closes all connections at once, also those with requests in flight.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}
