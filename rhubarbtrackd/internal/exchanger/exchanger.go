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
	// silentTimeout ends connections on which sent bytes are not acknowledged. The round trips of a region are far
	// shorter; the rest bears lost packets.
	silentTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of the kernel's probes while a request waits for its answer.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is how long a connection is kept when the upstream does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the upstream says.
	idleMargin = time.Second
	// freshIdle is the longest idle time for requests that must not be repeated: the shorter it is, the rarer the
	// upstream closes the connection at that moment.
	freshIdle = 2 * time.Second
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 4
	// heldAnswer is the largest answer that is held until it is complete.
	heldAnswer = 256 << 10
	// strayAnswers bounds the answers to other requests that are passed over.
	strayAnswers = 4
	readBuffer   = 2 << 10
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

type link struct {
	net.Conn
	reader *bufio.Reader
	idle   time.Time     // since when
	limit  time.Duration // of the idle time
}

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	idle    map[Target][]*link
	dialer  net.Dialer
}

// New returns an empty pool.
func New(options Options) *Pool {
	p := &Pool{options: options, idle: map[Target][]*link{}}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         limitSilence,
	}
	return p
}

func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
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
	for target, links := range p.idle {
		kept := links[:0]
		for _, l := range links {
			if now.Sub(l.idle) < l.limit && used(target) {
				kept = append(kept, l)
				continue
			}
			_ = l.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
}

// take returns an idle connection that is still usable, or nil.
func (p *Pool) take(target Target, longest time.Duration) *link {
	for {
		p.mutex.Lock()
		links := p.idle[target]
		if len(links) == 0 {
			p.mutex.Unlock()
			return nil
		}
		l := links[len(links)-1]
		p.idle[target] = links[:len(links)-1]
		p.mutex.Unlock()
		if time.Since(l.idle) < min(l.limit, longest) && quiet(l.Conn) {
			return l
		}
		_ = l.Close()
	}
}

// quiet reports whether the connection is open and has nothing to read.
func quiet(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}

func (p *Pool) put(target Target, l *link) {
	l.idle = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := p.idle[target]
	if len(links) >= maxIdle {
		_ = l.Close()
		return
	}
	p.idle[target] = append(links, l)
}

// Do sends the call and returns the answer to it.
func (p *Pool) Do(ctx context.Context, target Target, call *Request) (*Response, error) {
	longest := defaultIdle * 10
	if !call.Repeatable {
		longest = freshIdle
	}
	l := p.take(target, longest)
	if l == nil {
		dialed, err := p.dial(ctx, target, call.Deadline)
		if err != nil {
			return nil, err
		}
		l = dialed
	}
	_ = l.SetDeadline(call.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := p.exchange(l, call)
	if err != nil {
		stop()
		_ = l.Close()
		return nil, classify(ctx, call, err)
	}
	if answer.Stream != nil {
		answer.Stream = &stream{source: answer.Stream, link: l, pool: p, target: target, reusable: reusable, stop: stop}
		return answer, nil
	}
	if !stop() || !reusable || l.reader.Buffered() > 0 {
		_ = l.Close()
		return answer, nil
	}
	_ = l.SetDeadline(time.Time{})
	p.put(target, l)
	return answer, nil
}

// Probe reports whether the target accepts connections. The connection is kept for later calls.
func (p *Pool) Probe(target Target) error {
	l, err := p.dial(context.Background(), target, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.put(target, l)
	return nil
}

func classify(ctx context.Context, call *Request, err error) error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	kind := NoResponse
	var network net.Error
	switch {
	case ctx.Err() != nil:
		kind = Cancelled
	case errors.As(err, &network) && network.Timeout() && !time.Now().Before(call.Deadline):
		kind = TimedOut
	}
	return &Error{"exchange", kind, err}
}

func (p *Pool) dial(ctx context.Context, target Target, deadline time.Time) (*link, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &Error{"dial " + target.ID, NotSent, err}
	}
	return &link{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), limit: defaultIdle}, nil
}

// exchange sends the call on the connection and reads the answer.
func (p *Pool) exchange(l *link, call *Request) (answer *Response, reusable bool, err error) {
	if _, err := l.Write(appendCall(nil, call)); err != nil {
		return nil, false, err
	}
	sent := true
	if call.Stream != nil {
		if err := sendStream(l, call); err != nil {
			// The upstream may have answered before it has read all of the body.
			sent = false
		}
	}
	request := &http.Request{Method: call.Method}
	for range strayAnswers {
		response, err := http.ReadResponse(l.reader, request)
		if err != nil {
			return nil, false, err
		}
		if response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		id := response.Header.Get(p.options.IDHeader)
		if id != "" && call.ID != "" && id != call.ID {
			if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, heldAnswer)); err != nil {
				return nil, false, err
			}
			continue
		}
		if id == "" && call.ID != "" && response.StatusCode < 300 {
			return nil, false, errors.New("the answer bears no id")
		}
		answer, err := hold(response)
		if err != nil {
			return nil, false, err
		}
		l.limit = idleLimit(response.Header)
		return answer, sent && !response.Close && l.limit > 0, nil
	}
	return nil, false, errors.New("too many answers to other requests")
}

// hold reads an answer whole, if it is not too long.
func hold(response *http.Response) (*Response, error) {
	answer := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	body, err := io.ReadAll(io.LimitReader(response.Body, heldAnswer))
	if err != nil {
		return nil, err
	}
	if len(body) < heldAnswer {
		answer.Body = body
		if answer.Length < 0 {
			answer.Length = int64(len(body))
		}
		return answer, nil
	}
	answer.Stream = &joined{held: body, rest: response.Body}
	return answer, nil
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
	return defaultIdle
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

func appendCall(buffer []byte, call *Request) []byte {
	field := func(name, value string) {
		buffer = append(buffer, name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, value...)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, call.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, call.URI...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	field("Host", call.Host)
	for name, values := range call.Header {
		if replaced(call.Extra, name) {
			continue
		}
		for _, value := range values {
			field(name, value)
		}
	}
	for _, extra := range call.Extra {
		field(extra[0], extra[1])
	}
	switch {
	case call.Stream != nil && call.Length < 0:
		field("Transfer-Encoding", "chunked")
	case call.Stream != nil:
		field("Content-Length", strconv.FormatInt(call.Length, 10))
	case len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead):
		field("Content-Length", strconv.Itoa(len(call.Body)))
	}
	buffer = append(buffer, "\r\n"...)
	return append(buffer, call.Body...)
}

func replaced(extra [][2]string, name string) bool {
	for _, e := range extra {
		if e[0] == name {
			return true
		}
	}
	return false
}

func sendStream(l *link, call *Request) error {
	err := copier.Copy(func(data []byte) error {
		_, err := l.Write(data)
		return err
	}, call.Stream, call.Length)
	if copier.KindOf(err) == copier.Incomplete {
		// The connection must not look as if the body were whole.
		_ = l.Close()
	}
	return err
}

type joined struct {
	held []byte
	rest io.ReadCloser
}

func (j *joined) Read(p []byte) (int, error) {
	if len(j.held) > 0 {
		n := copy(p, j.held)
		j.held = j.held[n:]
		return n, nil
	}
	return j.rest.Read(p)
}

func (j *joined) Close() error { return j.rest.Close() }

// stream is the rest of a long answer. Its end gives the connection back.
type stream struct {
	source   io.ReadCloser
	link     *link
	pool     *Pool
	target   Target
	reusable bool
	stop     func() bool
	whole    bool
}

func (s *stream) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	if err == io.EOF {
		s.whole = true
	}
	return n, err
}

func (s *stream) Close() error {
	if s.stop() && s.whole && s.reusable && s.link.reader.Buffered() == 0 {
		_ = s.link.SetDeadline(time.Time{})
		s.pool.put(s.target, s.link)
		return nil
	}
	return s.link.Close()
}
