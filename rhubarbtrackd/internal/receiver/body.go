package receiver

import (
	"bytes"
	"io"
	"net/http"
)

// maxReplayBytes is the largest request body that is buffered for another attempt.
const maxReplayBytes = 64 << 10

// replayBody buffers a request body of up to maxReplayBytes so that it can be sent again. A larger body can be sent
// only once.
type replayBody struct {
	buffered      []byte
	remainder     io.Reader // nil when buffered holds the complete body
	remainderRead bool
	contentLength int64
}

func newReplayBody(source io.Reader, declared int64) *replayBody {
	if declared == 0 {
		return &replayBody{}
	}
	buffered, err := io.ReadAll(io.LimitReader(source, maxReplayBytes+1))
	body := &replayBody{buffered: buffered, contentLength: declared}
	switch {
	case err != nil:
		// The connection to the caller failed. The attempt must fail as well instead of sending a truncated body.
		body.remainder = failingReader{err: err}
	case len(buffered) > maxReplayBytes:
		body.remainder = source
	default:
		body.contentLength = int64(len(buffered))
	}
	return body
}

// replayable reports whether the complete body can be sent again.
func (b *replayBody) replayable() bool {
	return b.remainder == nil || !b.remainderRead
}

func (b *replayBody) length() int64 { return b.contentLength }

// reader returns the body from its first byte.
func (b *replayBody) reader() io.Reader {
	if b.remainder == nil {
		if len(b.buffered) == 0 {
			return http.NoBody
		}
		return bytes.NewReader(b.buffered)
	}
	return io.MultiReader(bytes.NewReader(b.buffered), &remainderReader{body: b})
}

// remainderReader records that the part of the body after the buffer was read, after which it cannot be sent again.
type remainderReader struct {
	body *replayBody
}

func (t *remainderReader) Read(p []byte) (int, error) {
	t.body.remainderRead = true
	return t.body.remainder.Read(p)
}

type failingReader struct {
	err error
}

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
