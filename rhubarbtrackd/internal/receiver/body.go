package receiver

import (
	"bytes"
	"io"
	"net/http"
)

// replayLimit is the largest request body, in bytes, that is kept for another attempt.
const replayLimit = 64 << 10

// replayBody reads the body of a request as far as it can be kept. A larger body can be sent once only.
type replayBody struct {
	kept      []byte
	rest      io.Reader // nil when kept holds the whole body
	restTaken bool
	declared  int64
}

func newReplayBody(source io.Reader, declared int64) *replayBody {
	if declared == 0 {
		return &replayBody{}
	}
	kept, err := io.ReadAll(io.LimitReader(source, replayLimit+1))
	body := &replayBody{kept: kept, declared: declared}
	switch {
	case err != nil:
		// The caller's connection failed; the attempt must fail as well instead of sending a shorter body.
		body.rest = failingReader{err: err}
	case len(kept) > replayLimit:
		body.rest = source
	default:
		body.declared = int64(len(kept))
	}
	return body
}

// replayable reports whether reader may be called again.
func (b *replayBody) replayable() bool {
	return b.rest == nil || !b.restTaken
}

func (b *replayBody) length() int64 { return b.declared }

// reader returns the body from its beginning.
func (b *replayBody) reader() io.Reader {
	if b.rest == nil {
		if len(b.kept) == 0 {
			return http.NoBody
		}
		return bytes.NewReader(b.kept)
	}
	return io.MultiReader(bytes.NewReader(b.kept), &takenReader{body: b})
}

// takenReader notes that the rest of the body was read, after which it cannot be sent again.
type takenReader struct {
	body *replayBody
}

func (t *takenReader) Read(p []byte) (int, error) {
	t.body.restTaken = true
	return t.body.rest.Read(p)
}

type failingReader struct {
	err error
}

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
