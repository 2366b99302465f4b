package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Kind classifies errors of this package.
type Kind int

const (
	// Malformed means that the request violates HTTP/1.1.
	Malformed Kind = iota + 1
	// TooLarge means that the header or the body exceeds its limit.
	TooLarge
	// Incomplete means that the caller disconnected or timed out before the request was complete.
	Incomplete
	// NoMemory means that the host holds too many bodies to read another one.
	NoMemory
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op     string
	Kind   Kind
	Status int // of the response to the caller; 0 if there is none
	// RetryAfter is when the caller may send the request again after NoMemory.
	RetryAfter time.Duration
	Err        error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

func malformed(reason string) error {
	return &Error{Op: "parse-request", Kind: Malformed, Status: http.StatusBadRequest, Err: errors.New(eventlog.Shorten(reason))}
}

// readHead reads the request line and the header, including the empty line at the end, of up to limit bytes.
func readHead(reader *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	skipped := 0
	for {
		line, err := reader.ReadSlice('\n')
		head = append(head, line...)
		if skipped+len(head) > limit {
			return nil, &Error{
				Op: "read-head", Kind: TooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Err: errors.New("header exceeds the size limit"),
			}
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, &Error{Op: "read-head", Kind: Incomplete, Err: err}
		}
		if len(line) == 2 && line[0] == '\r' && (len(head) == 2 || head[len(head)-3] == '\n') {
			if len(head) == 2 {
				// RFC 9112, section 2.2, allows an empty line before a request.
				skipped += len(head)
				head = head[:0]
				continue
			}
			if !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
				return nil, malformed("header line ends with a bare LF")
			}
			return head, nil
		}
	}
}

// checkHead rejects headers that another server could parse differently. http.ReadRequest accepts some of them.
func checkHead(head []byte) error {
	lengths, encodings := 0, 0
	lines := bytes.Split(head[:len(head)-4], []byte("\r\n"))
	for i, line := range lines {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return malformed("header line contains a bare CR, a bare LF or a NUL")
		}
		if i == 0 {
			continue
		}
		if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
			return malformed("header line is folded")
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return malformed("header field name is missing or contains white space")
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return malformed("body length is ambiguous: more than one Content-Length or Transfer-Encoding field")
	}
	return nil
}

// parseHead decodes the request line and the header.
func parseHead(head []byte) (*http.Request, error) {
	if err := checkHead(head); err != nil {
		return nil, err
	}
	parsed, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		return nil, malformed(withoutField(err))
	}
	if parsed.Host == "" && parsed.ProtoAtLeast(1, 1) {
		return nil, malformed("Host header is missing")
	}
	return parsed, nil
}

// withoutField returns the text of an error without the header line that caused it, which may hold the credentials of the caller.
func withoutField(err error) string {
	const prefix = "malformed MIME header"
	if strings.HasPrefix(err.Error(), prefix) {
		return prefix
	}
	return err.Error()
}

// body returns the body that follows the header, or nil, and its length in bytes, or -1 if unknown.
func body(parsed *http.Request, reader *bufio.Reader) (*messageBody, int64) {
	if len(parsed.TransferEncoding) > 0 {
		return &messageBody{source: reader, chunks: httputil.NewChunkedReader(reader)}, -1
	}
	if parsed.ContentLength > 0 {
		return &messageBody{source: reader, remaining: parsed.ContentLength}, parsed.ContentLength
	}
	return nil, 0
}

// messageBody reads the body of a request from a connection. It returns io.ErrUnexpectedEOF if the connection ends before.
type messageBody struct {
	source    *bufio.Reader
	remaining int64     // bytes of a body with a length
	chunks    io.Reader // decodes a chunked body; nil for a body with a length
	lastChunk bool      // the last chunk and the trailer have been read
}

// atEnd reports whether the next bytes of the connection belong to the next request.
func (b *messageBody) atEnd() bool {
	if b.chunks != nil {
		return b.lastChunk
	}
	return b.remaining == 0
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	if b.atEnd() {
		return 0, io.EOF
	}
	if b.chunks != nil {
		return b.readChunk(p)
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// onceReader fails when it is read again after its end. A request that is sent a second time with such a body would otherwise have
// an empty one, and be complete.
type onceReader struct {
	source       io.Reader
	begun, ended bool
}

var errReadBefore = errors.New("the body was read before and is not kept in memory")

// Read implements io.Reader.
func (o *onceReader) Read(p []byte) (int, error) {
	if o.ended {
		return 0, errReadBefore
	}
	o.begun = true
	n, err := o.source.Read(p)
	o.ended = err != nil
	return n, err
}

// readChunk reads from a chunked body, and discards the trailer after it.
func (b *messageBody) readChunk(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.lastChunk = true
	return n, io.EOF
}

// maxTrailerBytes bounds the trailer of a chunked body.
const maxTrailerBytes = 4 << 10

func (b *messageBody) skipTrailer() error {
	lineStart := true
	for size := 0; ; {
		part, err := b.source.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return io.ErrUnexpectedEOF
		}
		if lineStart && len(bytes.TrimRight(part, "\r\n")) == 0 {
			return nil
		}
		if size += len(part); size > maxTrailerBytes {
			return malformed("trailer exceeds 4 KiB")
		}
		lineStart = err == nil
	}
}
