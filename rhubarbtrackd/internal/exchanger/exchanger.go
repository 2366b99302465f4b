// Package exchanger sends HTTP/1.1 requests to upstreams over a pool of persistent connections.
//
// It differs from the transport of net/http in four points. It never sends a request again by itself, because the
// request may have run. Its errors state whether the upstream can have received the request. It returns only responses
// that it can attribute to the request, by their ID or because the connection has carried no other request. It bounds
// the bytes that it reads for a response whose body is not passed on.
//
// # Usage
//
//	pool := exchanger.New(exchanger.Options{IDHeader: "Request-Id"})
//	response, err := pool.Do(ctx, exchanger.Target{ID: id, Address: address}, request)
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
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rhubarbtrack.example/rhubarbtrackd/internal/copier"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Kind classifies errors of this package.
type Kind int

const (
	// NotSent means that the upstream cannot have received the request.
	NotSent Kind = iota + 1
	// NoResponse means that no complete, valid response was received. The request may have run.
	NoResponse
	// TimedOut means that the deadline passed. The request may have run.
	TimedOut
	// Cancelled means that the context was cancelled, usually because the caller disconnected. The request may have run.
	Cancelled
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
	readBuffer    = 2 << 10
)

// Target identifies one incarnation of an upstream by its ID and its address. Connections are pooled by target.
type Target struct {
	ID      string
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
}

// Response is a response with its complete body, or with a stream if the body is long.
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
}

type pooledConn struct {
	net.Conn
	reader      *bufio.Reader
	used        bool // a request has been sent on the connection
	idleSince   time.Time
	maxIdleTime time.Duration
	headBytes   int  // that may still be read while readsHead is set
	readsHead   bool // the next bytes belong to a head
}

func newPooledConn(conn net.Conn) *pooledConn {
	c := &pooledConn{Conn: conn, maxIdleTime: defaultIdleTime}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

var errHeadTooLong = errors.Newf("the heads of the responses exceed %d bytes", maxHeadBytes)

// Read reads from the connection. While a head is read, it fails after maxHeadBytes.
func (c *pooledConn) Read(p []byte) (int, error) {
	if !c.readsHead {
		return c.Conn.Read(p)
	}
	if c.headBytes <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytes)])
	c.headBytes -= n
	return n, err
}

// readHead reads a status line and a header. The body of the result is read from the connection.
func (c *pooledConn) readHead(request *http.Request) (*http.Response, error) {
	c.readsHead = true
	defer func() { c.readsHead = false }()
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

// take removes and returns an idle connection that is still usable, or returns nil.
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
		c = p.take(target, maxIdleTime)
	}
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

// Probe opens a connection to the target and keeps it for later requests. It returns an error if that fails.
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
	switch {
	case ctx.Err() != nil:
		kind = Cancelled
	case !time.Now().Before(req.Deadline):
		// A response that is incomplete at the deadline can also fail to parse.
		kind = TimedOut
	}
	// The text may quote what the upstream has sent.
	return &Error{"exchange", kind, errors.New(eventlog.Shorten(err.Error()))}
}

func (p *Pool) dial(ctx context.Context, target Target, deadline time.Time) (*pooledConn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &Error{"dial " + target.ID, NotSent, err}
	}
	return newPooledConn(conn), nil
}

// exchange sends the request on the connection and reads the response.
func (p *Pool) exchange(c *pooledConn, req *Request) (response *Response, reusable bool, err error) {
	reused := c.used
	c.used = true
	c.headBytes = maxHeadBytes
	if _, err := c.Write(appendRequest(nil, req)); err != nil {
		return nil, false, err
	}
	sent := true
	if req.Stream != nil {
		if err := sendStream(c, req); err != nil {
			// The upstream may have sent its response before it has read the full body.
			sent = false
		}
	}
	httpRequest := &http.Request{Method: req.Method}
	strayBytes := int64(maxStrayBytes)
	for range maxStrayResponses {
		httpResponse, err := c.readHead(httpRequest)
		if err != nil {
			return nil, false, err
		}
		if httpResponse.StatusCode < 200 && httpResponse.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		owner, err := p.attribute(httpResponse, req, reused)
		if err != nil {
			return nil, false, err
		}
		if owner != req.ID {
			n, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, strayBytes))
			if err != nil {
				return nil, false, err
			}
			if strayBytes -= n; strayBytes <= 0 {
				// The rest of the body would be parsed as the next response.
				return nil, false, errors.Newf("the responses to other requests exceed %d bytes", maxStrayBytes)
			}
			continue
		}
		buffered, err := bufferResponse(httpResponse)
		if err != nil {
			return nil, false, err
		}
		c.maxIdleTime = idleLimit(httpResponse.Header)
		return buffered, sent && !httpResponse.Close && c.maxIdleTime > 0, nil
	}
	return nil, false, errors.New("too many responses to other requests")
}

// attribute returns the ID of the request that a response belongs to. On a connection that has carried other requests,
// a response without an ID may be a late copy of a response to one of them, so it belongs to no request.
func (p *Pool) attribute(response *http.Response, req *Request, reused bool) (string, error) {
	ids := response.Header.Values(p.options.IDHeader)
	switch {
	case len(ids) > 1:
		return "", errors.New("response carries several request IDs")
	case len(ids) == 1 && ids[0] != "" && req.ID != "":
		return ids[0], nil
	case reused:
		return "", errors.New("response on a reused connection carries no request ID")
	case req.ID != "" && response.StatusCode < 300:
		return "", errors.New("response carries no request ID")
	}
	return req.ID, nil
}

// bufferResponse reads the full body of a response, or returns it as a stream if it is too long.
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

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// Forwardable returns a copy of header without hop-by-hop headers, including those named by Connection.
func Forwardable(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] {
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
		// Closing the connection prevents the upstream from taking the truncated body for a complete one.
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

// stream is the body of a long response. Close returns the connection to the pool if the body was read to its end, and
// closes the connection otherwise.
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
