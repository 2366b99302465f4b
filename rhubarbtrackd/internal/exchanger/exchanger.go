// Package exchanger sends requests to upstreams over HTTP/1.1 and keeps the connections.
//
// It differs from net/http's transport in that it never repeats a request by itself, tells whether a request can have
// reached the upstream, and passes answers over that belong to other requests.
//
// # Usage
//
//	pool := exchanger.New(exchanger.Options{IDHeader: "Request-Id"})
//	answer, err := pool.Do(ctx, exchanger.Target{ID: id, Address: address}, call)
//
// Errors are of type *Error. After Kind NotSent the upstream has not received the request and never will.
package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rhubarbtrack.example/rhubarbtrackd/internal/copier"
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	// NotSent means that the upstream cannot have received the request.
	NotSent Kind = iota + 1
	// NoResponse means that no whole answer came; the request may have run.
	NoResponse
	// TimedOut means that the time was up; the request may have run.
	TimedOut
	// Cancelled means that the caller left.
	Cancelled
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// dialTimeout is below the second after which a dropped opening packet is sent again.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout ends connections on which sent bytes are not acknowledged. The round trips of a region are far
	// shorter; the rest bears lost packets.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of the kernel's probes while a request waits for its answer.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTime is how long a connection is kept when the upstream does not say.
	defaultIdleTime = 4 * time.Second
	// idleMargin is taken off the time that the upstream says.
	idleMargin = time.Second
	// maxIdleUnrepeatable is the longest idle time for requests that must not be repeated: the shorter it is, the rarer the
	// upstream closes the connection at that moment.
	maxIdleUnrepeatable = 2 * time.Second
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 4
	// maxBufferedBody is the largest answer that is held until it is complete.
	maxBufferedBody = 256 << 10
	// maxStrayResponses bounds the answers to other requests that are passed over.
	maxStrayResponses = 4
	readBuffer        = 2 << 10
)

// Target is one life of an upstream.
type Target struct {
	ID      string
	Address string
}

// Request is a request to an upstream.
type Request struct {
	Method     string
	URI        string
	Host       string
	Header     http.Header // without fields that concern one connection
	Extra      [][2]string // fields that replace those of Header
	Body       []byte
	Stream     io.Reader // a long body instead of Body
	Length     int64     // of Stream; -1 when it is not known
	ID         string    // the answer must bear it, if it is not empty
	Repeatable bool
	Deadline   time.Time
}

// Response is a complete answer, or the begin of a long one.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Stream io.ReadCloser // a long answer instead of Body
	Length int64         // of the body; -1 when it is not known
}

// Options configures a Pool.
type Options struct {
	// IDHeader is the header in which upstreams return the id of a request.
	IDHeader string
}

type pooledConn struct {
	net.Conn
	reader      *bufio.Reader
	idleSince   time.Time     // since when
	maxIdleTime time.Duration // of the idle time
}

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	idle    map[Target][]*pooledConn
	dialer  net.Dialer
}

// New returns an empty pool.
func New(options Options) *Pool {
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

// Sweep closes connections that have been idle for too long, and those to targets that are not in use.
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

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take(target Target, longest time.Duration) *pooledConn {
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
		if time.Since(c.idleSince) < min(c.maxIdleTime, longest) && isReusable(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// isReusable reports whether the connection is open and has nothing to read.
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

// Do sends the call and returns the answer to it.
func (p *Pool) Do(ctx context.Context, target Target, req *Request) (*Response, error) {
	maxIdleTime := defaultIdleTime * 10
	if !req.Repeatable {
		maxIdleTime = maxIdleUnrepeatable
	}
	c := p.take(target, maxIdleTime)
	if c == nil {
		dialed, err := p.dial(ctx, target, req.Deadline)
		if err != nil {
			return nil, err
		}
		c = dialed
	}
	_ = c.SetDeadline(req.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, reusable, err := p.exchange(c, req)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, classify(ctx, req, err)
	}
	if response.Stream != nil {
		response.Stream = &stream{source: response.Stream, conn: c, pool: p, target: target, reusable: reusable, stop: stop}
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

// Probe reports whether the target accepts connections. The connection is kept for later calls.
func (p *Pool) Probe(target Target) error {
	c, err := p.dial(context.Background(), target, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.put(target, c)
	return nil
}

func classify(ctx context.Context, req *Request, err error) error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	kind := NoResponse
	var network net.Error
	switch {
	case ctx.Err() != nil:
		kind = Cancelled
	case errors.As(err, &network) && network.Timeout() && !time.Now().Before(req.Deadline):
		kind = TimedOut
	}
	return &Error{"exchange", kind, err}
}

func (p *Pool) dial(ctx context.Context, target Target, deadline time.Time) (*pooledConn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &Error{"dial " + target.ID, NotSent, err}
	}
	return &pooledConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), maxIdleTime: defaultIdleTime}, nil
}

// exchange sends the call on the connection and reads the answer.
func (p *Pool) exchange(c *pooledConn, req *Request) (response *Response, reusable bool, err error) {
	if _, err := c.Write(appendRequest(nil, req)); err != nil {
		return nil, false, err
	}
	sent := true
	if req.Stream != nil {
		if err := sendStream(c, req); err != nil {
			// The upstream may have answered before it has read all of the body.
			sent = false
		}
	}
	httpRequest := &http.Request{Method: req.Method}
	for range maxStrayResponses {
		httpResponse, err := http.ReadResponse(c.reader, httpRequest)
		if err != nil {
			return nil, false, err
		}
		if httpResponse.StatusCode < 200 && httpResponse.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := httpResponse.Header.Get(p.options.IDHeader)
		if id != "" && req.ID != "" && id != req.ID {
			if _, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxBufferedBody)); err != nil {
				return nil, false, err
			}
			continue
		}
		if id == "" && req.ID != "" && httpResponse.StatusCode < 300 {
			return nil, false, errors.New("the answer bears no id")
		}
		buffered, err := bufferResponse(httpResponse)
		if err != nil {
			return nil, false, err
		}
		c.maxIdleTime = idleLimit(httpResponse.Header)
		return buffered, sent && !httpResponse.Close && c.maxIdleTime > 0, nil
	}
	return nil, false, errors.New("too many answers to other requests")
}

// bufferResponse reads an answer whole, if it is not too long.
func bufferResponse(httpResponse *http.Response) (*Response, error) {
	response := &Response{Status: httpResponse.StatusCode, Header: httpResponse.Header, Length: httpResponse.ContentLength}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	if len(body) < maxBufferedBody {
		response.Body = body
		if response.Length < 0 {
			response.Length = int64(len(body))
		}
		return response, nil
	}
	response.Stream = &joinedBody{buffered: body, rest: httpResponse.Body}
	return response, nil
}

func idleLimit(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			limit := time.Duration(seconds) * time.Second
			return max(limit/2, limit-idleMargin)
		}
	}
	return defaultIdleTime
}

// connectionFields concern one connection and are not passed on.
var connectionFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// Forwardable returns a copy of header without the fields that concern one connection.
func Forwardable(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !connectionFields[name] {
			kept[name] = values
		}
	}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(kept, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return kept
}

func appendRequest(buffer []byte, req *Request) []byte {
	field := func(name, value string) {
		buffer = append(buffer, name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, value...)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, req.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, req.URI...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	field("Host", req.Host)
	for name, values := range req.Header {
		if replaced(req.Extra, name) {
			continue
		}
		for _, value := range values {
			field(name, value)
		}
	}
	for _, extra := range req.Extra {
		field(extra[0], extra[1])
	}
	switch {
	case req.Stream != nil && req.Length < 0:
		field("Transfer-Encoding", "chunked")
	case req.Stream != nil:
		field("Content-Length", strconv.FormatInt(req.Length, 10))
	case len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead):
		field("Content-Length", strconv.Itoa(len(req.Body)))
	}
	buffer = append(buffer, "\r\n"...)
	return append(buffer, req.Body...)
}

func replaced(extra [][2]string, name string) bool {
	for _, e := range extra {
		if e[0] == name {
			return true
		}
	}
	return false
}

func sendStream(c *pooledConn, req *Request) error {
	err := copier.Copy(func(data []byte) error {
		_, err := c.Write(data)
		return err
	}, req.Stream, req.Length)
	if copier.KindOf(err) == copier.Incomplete {
		// The connection must not look as if the body were whole.
		_ = c.Close()
	}
	return err
}

type joinedBody struct {
	buffered []byte
	rest     io.ReadCloser
}

func (j *joinedBody) Read(p []byte) (int, error) {
	if len(j.buffered) > 0 {
		n := copy(p, j.buffered)
		j.buffered = j.buffered[n:]
		return n, nil
	}
	return j.rest.Read(p)
}

func (j *joinedBody) Close() error { return j.rest.Close() }

// stream is the rest of a long answer. Its end gives the connection back.
type stream struct {
	source   io.ReadCloser
	conn     *pooledConn
	pool     *Pool
	target   Target
	reusable bool
	stop     func() bool
	complete bool
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	if err == io.EOF {
		s.complete = true
	}
	return n, err
}

func (s *stream) Close() error {
	if s.stop() && s.complete && s.reusable && s.conn.reader.Buffered() == 0 {
		_ = s.conn.SetDeadline(time.Time{})
		s.pool.put(s.target, s.conn)
		return nil
	}
	return s.conn.Close()
}
