package receiver

import (
	"bytes"
	"io"
	"net/http"
)

// maxReplayBytes is the largest request body, in bytes, that is kept for another attempt.
const maxReplayBytes = 64 << 10

// replayBody reads the body of a request as far as it can be kept. A larger body can be sent once only.
type replayBody struct {
	buffered      []byte
	remainder     io.Reader // nil when kept holds the whole body
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
		// The caller's connection failed; the attempt must fail as well instead of sending a shorter body.
		body.remainder = failingReader{err: err}
	case len(buffered) > maxReplayBytes:
		body.remainder = source
	default:
		body.contentLength = int64(len(buffered))
	}
	return body
}

// replayable reports whether reader may be called again.
func (b *replayBody) replayable() bool {
	return b.remainder == nil || !b.remainderRead
}

func (b *replayBody) length() int64 { return b.contentLength }

// reader returns the body from its beginning.
func (b *replayBody) reader() io.Reader {
	if b.remainder == nil {
		if len(b.buffered) == 0 {
			return http.NoBody
		}
		return bytes.NewReader(b.buffered)
	}
	return io.MultiReader(bytes.NewReader(b.buffered), &remainderReader{body: b})
}

// remainderReader notes that the rest of the body was read, after which it cannot be sent again.
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
