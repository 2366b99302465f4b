package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/rhubarbtrackd/internal/copier"
)

// exchange connects a request with its response, which write sends in the order of the queue.
type exchange struct {
	response chan *Response
	method   string
	last     bool         // the connection is closed after the response
	body     *messageBody // which the handler reads from the connection; nil if it was read before
	// unreadable is set if the request was rejected before its end.
	unreadable bool
	held       int64 // bytes that Memory counts for the bodies of request and response
}

// endsMessage reports whether the next bytes of the connection belong to the next request. It must not be called before the
// handler has returned. A handler that responds without reading the body to its end leaves bytes that the caller meant as a
// body: parsed as requests, they would run, and their responses would go to the caller's next requests.
func (e *exchange) endsMessage() bool { return !e.unreadable && (e.body == nil || e.body.atEnd()) }

type connection struct {
	server    *Server
	conn      net.Conn
	caller    string // IP address of the caller
	reader    *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	queue     chan *exchange
	awaiting  atomic.Bool // no byte of the next request has been read
	writeDone chan struct{}
	inFlight  atomic.Int64
	mutex     sync.Mutex
	closing   bool // a response has announced the end of the connection; guarded by mutex
}

func newConnection(s *Server, conn net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	caller, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		caller = conn.RemoteAddr().String()
	}
	return &connection{
		server: s, conn: conn, caller: caller, reader: bufio.NewReaderSize(conn, 2<<10), ctx: ctx, cancel: cancel,
		queue: make(chan *exchange, pipelineDepth), writeDone: make(chan struct{}),
	}
}

// wake ends the wait for the next request.
func (c *connection) wake() {
	if c.awaiting.Load() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// run calls a function that reads or writes the connection. After a panic, its requests are cancelled and it is closed.
func (c *connection) run(task string, f func()) {
	if !c.server.options.Panics.Do(task, f) {
		c.cancel()
		_ = c.conn.Close()
	}
}

// read reads requests until the caller disconnects or the connection is to be closed.
func (c *connection) read() {
	defer close(c.queue)
	for c.awaitRequest() {
		if c.server.draining.Load() && c.inFlight.Load() > 0 {
			// No further request is read. The last of the outstanding responses closes the connection.
			c.watchDisconnect()
			return
		}
		request, last, err := c.readRequest()
		if err != nil {
			c.reject(err)
			return
		}
		e, done := c.dispatch(request, last)
		if last {
			return
		}
		if done != nil {
			// The handler still reads the body of this request from the connection.
			select {
			case <-done:
			case <-c.ctx.Done():
				return
			}
			if !e.endsMessage() {
				return
			}
		}
	}
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	began := time.Now()
	c.awaiting.Store(true)
	defer c.awaiting.Store(false)
	for {
		// IdleTimeout may change during the wait.
		limit := c.server.options.Limits().IdleTimeout
		deadline := began.Add(limit)
		if c.server.draining.Load() {
			// A request that is already in transit is still accepted.
			deadline = time.Now().Add(drainPollInterval)
		}
		_ = c.conn.SetReadDeadline(deadline)
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancel()
			return false
		}
		expired := time.Since(began) >= c.server.options.Limits().IdleTimeout
		if c.inFlight.Load() > 0 && c.server.draining.Load() {
			c.watchDisconnect()
			return false
		}
		if c.inFlight.Load() > 0 {
			// A connection with outstanding responses is not idle.
			if expired {
				began = time.Now()
			}
			continue
		}
		if expired || c.server.draining.Load() {
			return false
		}
	}
}

// dispatch starts the handler for a request. If the handler reads the body from the connection, dispatch returns a
// channel that is closed when the handler returns, otherwise nil.
func (c *connection) dispatch(request *Request, last bool) (*exchange, <-chan struct{}) {
	e := &exchange{response: make(chan *Response, 1), method: request.Method, last: last, body: request.body, held: request.reserved}
	done := make(chan struct{})
	c.mutex.Lock()
	closing := c.closing
	if !closing {
		c.requestStarted()
	}
	c.mutex.Unlock()
	if closing {
		// The previous response announced the end of the connection, so the caller may safely send this request again.
		c.cancel()
		c.server.options.Memory.release(e.held)
		return e, nil
	}
	select {
	case c.queue <- e:
	case <-c.ctx.Done():
		c.requestFinished(e)
		return e, nil
	}
	go func() {
		defer close(done)
		// The request may have run, which 500 does not exclude.
		response := &Response{Status: http.StatusInternalServerError, Header: http.Header{}}
		c.server.options.Panics.Do("handle-request", func() { response = c.server.options.Handle(c.ctx, request) })
		size := int64(len(response.Body))
		if response.Stream != nil {
			size = maxBufferedBody
		}
		c.server.options.Memory.hold(size)
		e.held += size
		e.response <- response
	}()
	if last && request.Stream == nil {
		// No further request is read, but a disconnect of the caller still has to cancel this one.
		go c.run("watch-caller", c.watchDisconnect)
	}
	if request.Stream != nil {
		return e, done
	}
	return e, nil
}

func (c *connection) requestStarted() {
	c.inFlight.Add(1)
	c.server.active.Add(1)
}

func (c *connection) requestFinished(e *exchange) {
	c.server.options.Memory.release(e.held)
	c.inFlight.Add(-1)
	c.server.active.Add(-1)
}

// watchDisconnect cancels the requests of the connection if the caller disconnects after its last request.
func (c *connection) watchDisconnect() {
	_ = c.conn.SetReadDeadline(time.Time{})
	if _, err := c.reader.Peek(1); err != nil {
		select {
		case <-c.writeDone:
		default:
			c.cancel()
		}
	}
}

// reject responds to a request that could not be read, if its error has a status.
func (c *connection) reject(err error) {
	var typed *Error
	if !errors.As(err, &typed) || typed.Status == 0 {
		c.cancel()
		return
	}
	c.server.options.Refused(typed.Status, c.conn.RemoteAddr().String(), err.Error())
	e := &exchange{response: make(chan *Response, 1), last: true, unreadable: true}
	response := &Response{Status: typed.Status, Header: http.Header{}}
	if typed.Kind == NoMemory {
		response.Header.Set("Retry-After", strconv.FormatFloat(typed.RetryAfter.Seconds(), 'f', 3, 64))
	}
	e.response <- response
	c.requestStarted()
	select {
	case c.queue <- e:
	case <-c.ctx.Done():
		c.requestFinished(e)
	}
}

// write sends the responses in the order of the requests, and closes the connection after the last one.
func (c *connection) write() {
	defer c.close()
	usable := false
	defer func() {
		if !usable { // a response could not be sent
			c.cancel()
			_ = c.conn.Close()
		}
		for rest := range c.queue {
			closeStream(<-rest.response)
			c.requestFinished(rest)
		}
	}()
	for e := range c.queue {
		if !c.respond(e) {
			return
		}
		if e.last {
			c.linger(e)
			break
		}
	}
	usable = true
}

// respond waits for a response and sends it. It returns false when the connection cannot be used any more.
func (c *connection) respond(e *exchange) bool {
	defer c.requestFinished(e)
	response := <-e.response
	e.last = e.last || !e.endsMessage() || c.announceClose()
	return c.send(e, response)
}

// announceClose reports whether the next response closes the connection, because the host shuts down or is isolated.
func (c *connection) announceClose() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if (c.server.draining.Load() || c.server.closeAfterResponse.Load()) && c.inFlight.Load() == 1 {
		c.closing = true
	}
	return c.closing
}

func closeStream(response *Response) {
	if response.Stream != nil {
		_ = response.Stream.Close()
	}
}

func (c *connection) close() {
	close(c.writeDone)
	c.cancel()
	_ = c.conn.Close()
	c.server.remove(c)
}

// linger closes the sending side and reads until the caller has closed the other one, for up to lingerTimeout. A caller that
// still sends a body gets more time, because most callers read the response only after that.
func (c *connection) linger(e *exchange) {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := tcp.CloseWrite(); err != nil {
		return
	}
	timeout, bytes := lingerTimeout, int64(maxLingerBytes)
	if !e.endsMessage() {
		timeout, bytes = bodyLingerTimeout, max(bytes, c.server.options.Limits().BodyBytes)
	}
	_ = tcp.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, tcp, bytes)
}

// reset closes the connection with a TCP reset, so that the caller cannot mistake a truncated response for a complete
// one.
func (c *connection) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// send writes one response. It returns false when the connection cannot be used any more.
func (c *connection) send(e *exchange, response *Response) bool {
	defer closeStream(response)
	if response.Abort || c.ctx.Err() != nil {
		c.reset()
		return false
	}
	bodyless := e.method == http.MethodHead || response.Status == http.StatusNoContent || response.Status == http.StatusNotModified
	buffer := appendHead(nil, response, e.last, bodyless)
	if !bodyless && response.Stream == nil {
		buffer = append(buffer, response.Body...)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.conn.Write(buffer); err != nil {
		return false
	}
	if response.Stream == nil || bodyless {
		return true
	}
	return c.stream(e, response)
}

// stream sends the body of a long response. The beginning of the body is held until it is written, from then on only one block.
func (c *connection) stream(e *exchange, response *Response) bool {
	beginning := maxBufferedBody
	err := copier.Copy(func(data []byte) error {
		until := time.Now().Add(writeTimeout)
		if !response.Deadline.IsZero() && response.Deadline.Before(until) {
			until = response.Deadline
		}
		_ = c.conn.SetWriteDeadline(until)
		_, err := c.conn.Write(data)
		if beginning -= len(data); beginning <= 0 && beginning+len(data) > 0 {
			c.server.options.Memory.release(maxBufferedBody - copier.BlockSize)
			e.held -= maxBufferedBody - copier.BlockSize
		}
		return err
	}, response.Stream, response.Length)
	if copier.KindOf(err) == copier.Incomplete {
		c.reset()
	}
	return err == nil
}

func appendHead(buffer []byte, response *Response, last, bodyless bool) []byte {
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(response.Status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, http.StatusText(response.Status)...)
	buffer = append(buffer, "\r\n"...)
	for name, values := range response.Header {
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	switch {
	case response.Stream == nil:
		if !bodyless || response.Length > 0 {
			length := int64(len(response.Body))
			if bodyless {
				length = response.Length
			}
			buffer = append(buffer, "Content-Length: "...)
			buffer = strconv.AppendInt(buffer, length, 10)
			buffer = append(buffer, "\r\n"...)
		}
	case response.Length >= 0:
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, response.Length, 10)
		buffer = append(buffer, "\r\n"...)
	default:
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	}
	if last {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	return append(buffer, "\r\n"...)
}
