// Package exchanger sends HTTP/1.1 requests to upstreams over a pool of persistent connections.
//
// It differs from the transport of net/http in six points. It never sends a request again by itself, because the
// request may have run. Its errors state whether the upstream can have received the request. It returns only responses
// that it can attribute to the request, by their ID or because the connection has carried no other request. It accepts only
// heads that are valid by package validator, also of interim responses and of responses to other requests; an invalid one
// ends the connection. A body without a length is complete only if the upstream has ended it: by package delimiter, a connection that
// fails while the request is still sent does not end a body. It bounds the bytes that it reads for a response whose body is not passed
// on.
//
// # Usage
//
//	pool := exchanger.New(exchanger.Options{IDHeader: "Request-Id"})
//	response, err := pool.Do(ctx, exchanger.Target{Incarnation: incarnation, Address: address}, request)
//
// Errors are of type *Error. After an error of kind NotSent, the upstream has not received the request and will not
// receive it later.
package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rhubarbtrack.example/core/delimiter"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/validator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Kind classifies errors of this package.
type Kind int

const (
	// NotSent means that the upstream cannot have received the request.
	NotSent Kind = iota + 1
	// NoResponse means that no valid response was received. The request may have run.
	NoResponse
	// TimedOut means that the deadline passed. The request may have run.
	TimedOut
	// Cancelled means that the context was cancelled, usually because the caller disconnected. The request may have run.
	Cancelled
	// Interrupted means that the upstream closed or reset the connection before the response was complete. The request may
	// have run, and it may have crashed the upstream. A connection on which the upstream has become silent, because of the
	// network for example, is not interrupted.
	Interrupted
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

const (
	// dialTimeout is below the 1 s after which the kernel retransmits a lost SYN packet.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout closes connections on which sent bytes are not acknowledged. Round trips within a region are far
	// shorter; the rest allows for retransmission of lost packets.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes while a request waits for its response.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTime is how long an idle connection is kept if the upstream sends no Keep-Alive timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of the upstream, so that this side closes first.
	idleMargin = time.Second
	// maxIdleUnrepeatable is the longest idle time of a connection for requests that must not be sent again. A short
	// time makes it less likely that the upstream closes the connection while the request is sent.
	maxIdleUnrepeatable = 2 * time.Second
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 4
	// maxBufferedBody is the size in bytes from which on a response body is streamed instead of buffered.
	maxBufferedBody = 128 << 10
	// maxStrayResponses bounds the responses read for one request, including interim responses and responses to other
	// requests.
	maxStrayResponses = 4
	// maxHeadBytes bounds the status lines and headers of all responses read for one request.
	maxHeadBytes = 32 << 10
	// maxStrayBytes bounds the bodies of responses to other requests that are discarded for one request.
	maxStrayBytes = 64 << 10
	// maxFailures bounds the failures on one connection, which is then closed.
	maxFailures = 50
	// maxSilence is how long the upstream may send nothing within a streamed body: the time that a caller has for one write.
	maxSilence = 8 * time.Second
	readBuffer = 2 << 10
)

// Target is one incarnation of an upstream at its address. Connections are pooled by target.
type Target struct {
	identifier.Incarnation
	Address string
}

// Request is an HTTP request to an upstream.
type Request struct {
	Method     string
	URI        string
	Host       string
	Header     http.Header // without hop-by-hop headers
	Extra      [][2]string // names and values that replace those in Header
	Body       []byte
	Stream     io.Reader // a long body instead of Body
	Length     int64     // of Stream in bytes; -1 if unknown
	ID         string    // if not empty, a successful response must carry it
	Repeatable bool      // the request may be sent again, so a connection that was idle for long may be used
	Repeated   bool      // the target has received the ID before
	Deadline   time.Time
	// StreamDeadline is that of the body of a response that is streamed. If it is zero, Deadline applies.
	StreamDeadline time.Time
	// Traffic counts the bytes of the exchange if it is not nil.
	Traffic *Traffic
}

// Traffic is the number of bytes that were sent to and received from an upstream, with heads. It is safe for concurrent use.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Response is a response with its complete body, or with a stream if the body is long. The stream fails with an *Error. It
// lives until it is closed, at the latest until the end of the context or StreamDeadline.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Stream io.ReadCloser // a long body instead of Body; the caller must close it
	Length int64         // of the body in bytes; -1 if unknown
}

// Options configures a Pool.
type Options struct {
	// IDHeader is the response header in which upstreams return the ID of the request.
	IDHeader string
	// MaxSilence is how long the upstream may send nothing within a streamed body; 0 selects the default.
	MaxSilence time.Duration
	// OnConnect is called with the time that a new connection to a target has taken. It may be nil.
	OnConnect func(target Target, taken time.Duration)
}

type pooledConn struct {
	*delimiter.Conn
	traffic     *Traffic // of the present exchange; nil: not counted
	reader      *bufio.Reader
	used        bool // a request has been sent on the connection
	idleSince   time.Time
	maxIdleTime time.Duration
	headBytes   int            // that may still be read while readsHead is set
	readsHead   bool           // the next bytes belong to a head
	head        validator.Head // the present one while readsHead is set
	ended       bool           // the upstream has closed or reset the connection
	// failed holds the IDs of requests that the upstream has answered with a failure. Their IDs are not sent again on the
	// connection, because a second copy of the failure could not be distinguished from the response.
	failed []string
}

// interrupt makes reads and writes fail.
func (c *pooledConn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

func newPooledConn(conn net.Conn) *pooledConn {
	c := &pooledConn{Conn: delimiter.New(conn), maxIdleTime: defaultIdleTime}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

var errHeadTooLong = errors.Newf("the heads of the responses exceed %d bytes", maxHeadBytes)

// Read reads from the connection. While a head is read, it fails after maxHeadBytes, and when the head is invalid.
func (c *pooledConn) Read(p []byte) (int, error) {
	if c.readsHead {
		if c.headBytes <= 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(len(p), c.headBytes)]
	}
	n, err := c.Conn.Read(p)
	if c.traffic != nil {
		c.traffic.Received.Add(int64(n))
	}
	if c.readsHead {
		c.headBytes -= n
	}
	c.ended = c.ended || errors.IsAny(err, io.EOF, syscall.ECONNRESET)
	if c.readsHead {
		if _, invalid := c.head.Check(p[:n]); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}

// Write writes to the connection.
func (c *pooledConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.traffic != nil {
		c.traffic.Sent.Add(int64(n))
	}
	return n, err
}

// readHead reads a status line and a header. The body of the result is read from the connection.
func (c *pooledConn) readHead(request *http.Request) (*http.Response, error) {
	c.readsHead, c.head = true, validator.Head{}
	defer func() { c.readsHead = false }()
	// The buffer may hold the first bytes of the head, behind the response before.
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if _, err := c.head.Check(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

// Pool holds idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	idle    map[Target][]*pooledConn
	dialer  net.Dialer
}

// New returns a pool without connections.
func New(options Options) *Pool {
	if options.MaxSilence == 0 {
		options.MaxSilence = maxSilence
	}
	p := &Pool{options: options, idle: map[Target][]*pooledConn{}}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setAckTimeout,
	}
	return p
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Sweep closes connections that have been idle for too long, and those to targets that are no longer in use.
func (p *Pool) Sweep(now time.Time, used func(Target) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.maxIdleTime && used(target) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
}

// take removes and returns an idle connection that is still usable for a request with the given ID, or returns nil.
func (p *Pool) take(target Target, longest time.Duration, id string) *pooledConn {
	for {
		p.mutex.Lock()
		conns := p.idle[target]
		if len(conns) == 0 {
			p.mutex.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[target] = conns[:len(conns)-1]
		p.mutex.Unlock()
		if time.Since(c.idleSince) < min(c.maxIdleTime, longest) && isReusable(c.NetConn()) && !slices.Contains(c.failed, id) {
			return c
		}
		_ = c.Close()
	}
}

// isReusable reports whether the connection is open and has no unread data.
func isReusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		wouldBlock = err == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

func (p *Pool) put(target Target, c *pooledConn) {
	c.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[target]
	if len(conns) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[target] = append(conns, c)
}

// Do sends the request once and returns the response. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, target Target, req *Request) (*Response, error) {
	maxIdleTime := defaultIdleTime * 10
	if !req.Repeatable {
		maxIdleTime = maxIdleUnrepeatable
	}
	var c *pooledConn
	if req.ID != "" && !req.Repeated {
		c = p.take(target, maxIdleTime, req.ID)
	}
	if c == nil {
		dialed, err := p.dial(ctx, target, req.Deadline)
		if err != nil {
			return nil, err
		}
		c = dialed
	}
	c.traffic = req.Traffic
	_ = c.SetDeadline(req.Deadline)
	stop := context.AfterFunc(ctx, func() { c.interrupt() })
	response, reusable, err := p.exchange(c, req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, classify(ctx, req.Deadline, c.ended, err)
	}
	if response.Stream != nil {
		s := &stream{
			ctx: ctx, source: response.Stream, conn: c, pool: p, target: target, deadline: req.StreamDeadline, reusable: reusable, stop: stop,
		}
		if s.deadline.IsZero() {
			s.deadline = req.Deadline
		}
		response.Stream = s
		return response, nil
	}
	if !stop() || !reusable || c.reader.Buffered() > 0 {
		_ = c.Close()
		return response, nil
	}
	_ = c.SetDeadline(time.Time{})
	p.put(target, c)
	return response, nil
}

// ProbeOpen opens a connection to the target and keeps it for later requests. It returns an error if that fails, or if the
// other side closes the connection within wait, as a proxy does whose upstream is down.
func (p *Pool) ProbeOpen(target Target, wait time.Duration) error {
	c, err := p.dial(context.Background(), target, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	time.Sleep(wait)
	if !isReusable(c.NetConn()) {
		_ = c.Close()
		return &Error{"probe " + target.ID, Interrupted, errors.New("the connection was closed")}
	}
	p.put(target, c)
	return nil
}

// Probe opens a connection to the target and keeps it for later requests. It returns an error if that fails.
func (p *Pool) Probe(target Target) error {
	c, err := p.dial(context.Background(), target, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.put(target, c)
	return nil
}

// classify returns the error of an exchange that failed and should have ended by deadline. ended is set if the upstream has
// ended the connection.
func classify(ctx context.Context, deadline time.Time, ended bool, err error) error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	kind := NoResponse
	switch {
	case ctx.Err() != nil:
		kind = Cancelled
	case !time.Now().Before(deadline):
		// A response that is incomplete at the deadline can also fail to parse.
		kind = TimedOut
	case ended || errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE):
		kind = Interrupted
	}
	// The text may quote what the upstream has sent.
	return &Error{"exchange", kind, errors.New(eventlog.Shorten(err.Error()))}
}

func (p *Pool) dial(ctx context.Context, target Target, deadline time.Time) (*pooledConn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &Error{"dial " + target.ID, NotSent, err}
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect(target, time.Since(began))
	}
	return newPooledConn(conn), nil
}
