// Package acceptor serves callers over HTTP/1.1.
//
// It differs from net/http's server in what a router in front of exclusive owners needs: requests that a caller sends
// ahead of the answers run at the same time, and a caller that leaves is noticed at once, even when it has sent further
// requests. Answers go out in the order of the requests. Requests whose length is ambiguous are refused, because another
// server could take a part of them for a request of its own.
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
)

const (
	// pipelineDepth bounds the requests of one connection that run at the same time.
	pipelineDepth = 32
	// maxBufferedBody is the largest body that is held in memory, so that the request can be sent again.
	maxBufferedBody = 128 << 10
	// writeTimeout bounds the time for which a caller may accept nothing of its answer.
	writeTimeout = 8 * time.Second
	// drainPollInterval is how often a connection looks for further requests while the host shuts down.
	drainPollInterval = 50 * time.Millisecond
	// acceptRetryDelay is the pause after a failure to accept. A lack of descriptors passes when connections end.
	acceptRetryDelay = 10 * time.Millisecond
	// lingerTimeout is how long the rest of a caller's bytes is read after the last answer, so that the answer is not lost
	// to a reset.
	lingerTimeout = 300 * time.Millisecond
)

// Limits bound what callers may send. They may change while connections are open.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a request of a caller.
type Request struct {
	Method  string
	Target  string // as sent
	Path    string // Target without query
	Host    string
	Header  http.Header
	Body    []byte    // the whole body, unless Stream is set
	Stream  io.Reader // the whole body, when it is too long to hold
	Length  int64     // of Stream; -1 when it is not known
	Arrived time.Time // when the head was complete
}

// Response is the answer to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream replaces Body for a long answer of Length bytes, or of unknown length when Length is -1.
	Stream io.ReadCloser
	Length int64
	// Abort ends the connection instead of answering.
	Abort bool
}

// Options configures a Server.
type Options struct {
	// Handle answers a request. ctx ends when the caller leaves.
	Handle func(ctx context.Context, request *Request) *Response
	Limits func() Limits
	// Refused is told of requests that do not reach Handle.
	Refused func(status int, remote, reason string)
	// AcceptFailed is told of the first of a series of connections that could not be accepted, for lack of descriptors.
	AcceptFailed func(err error)
	// MaxConnections bounds the open connections.
	MaxConnections int
}

// Server serves callers on one or more listeners.
type Server struct {
	options            Options
	draining           atomic.Bool
	closeAfterResponse atomic.Bool // callers are sent elsewhere
	mutex              sync.Mutex
	conns              map[*connection]bool
	active             atomic.Int64
}

// New returns a server without listeners.
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

// Serve accepts connections until the listener is closed.
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
	go c.read()
	go c.write()
}

func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	delete(s.conns, c)
	s.mutex.Unlock()
}

// SetCloseAfterResponse sets whether connections end with the answer to their last request, so that callers come back through the
// balancer. New connections are taken nevertheless.
func (s *Server) SetCloseAfterResponse(away bool) { s.closeAfterResponse.Store(away) }

// Drain ends connections as soon as they are idle. Answers announce the end of their connection.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		c.wake()
	}
}

// Close ends all connections, whatever they are doing.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}
