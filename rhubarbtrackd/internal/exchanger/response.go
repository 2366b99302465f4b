package exchanger

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/validator"
)

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
		if validator.IsInterim(httpResponse.StatusCode) {
			continue
		}
		if httpResponse.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errors.New("upstream switches to another protocol, which no request asks for")
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
		if httpResponse.StatusCode >= http.StatusBadRequest {
			c.failed = append(c.failed, req.ID)
		}
		return buffered, sent && !httpResponse.Close && c.maxIdleTime > 0 && len(c.failed) < maxFailures, nil
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

// maxIdleSeconds bounds the idle time in Keep-Alive that is used.
const maxIdleSeconds = 3600

func idleLimit(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			limit := time.Duration(min(max(seconds, 0), maxIdleSeconds)) * time.Second
			return max(limit/2, limit-idleMargin)
		}
	}
	return defaultIdleTime
}

type joinedBody struct {
	buffered []byte
	rest     io.ReadCloser
}

func (j *joinedBody) Read(p []byte) (int, error) {
	if len(j.buffered) > 0 {
		n := copy(p, j.buffered)
		if j.buffered = j.buffered[n:]; len(j.buffered) == 0 {
			j.buffered = nil // an empty slice would keep its array in memory
		}
		return n, nil
	}
	return j.rest.Read(p)
}

func (j *joinedBody) Close() error { return j.rest.Close() }

// stream is the body of a long response. Close returns the connection to the pool if the body was read to its end, and
// closes the connection otherwise.
type stream struct {
	ctx      context.Context
	source   io.ReadCloser
	conn     *pooledConn
	pool     *Pool
	target   Target
	deadline time.Time
	reusable bool
	stop     func() bool
	complete bool
	closed   sync.Once
}

// Read reads the body. It fails when the upstream sends nothing for the longest silence, or when the deadline passes.
func (s *stream) Read(p []byte) (int, error) {
	until := time.Now().Add(s.pool.options.MaxSilence)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	_ = s.conn.SetReadDeadline(until)
	if s.ctx.Err() != nil {
		// The end of the context may have interrupted the connection before this call set its deadline.
		s.conn.interrupt()
	}
	n, err := s.source.Read(p)
	switch {
	case err == io.EOF:
		s.complete = true
	case err != nil:
		err = classify(s.ctx, s.deadline, s.conn.ended, err)
	}
	return n, err
}

func (s *stream) Close() error {
	var err error
	s.closed.Do(func() {
		if s.stop() && s.complete && s.reusable && s.conn.reader.Buffered() == 0 {
			_ = s.conn.SetDeadline(time.Time{})
			s.pool.put(s.target, s.conn)
			return
		}
		err = s.conn.Close()
	})
	return err
}
