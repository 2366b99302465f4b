package router

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// errUntaken is the cause of a transfer that ended before the upstream's response did.
var errUntaken = errors.New("the caller did not take the whole response")

// transfer is the body of a response that is read while it is sent to the caller. What the request holds is released when the
// transfer is closed.
type transfer struct {
	source   io.ReadCloser
	complete bool
	err      error // of a read
	once     sync.Once
	// ended are called once, in their order, with nil if the body was read to its end.
	ended []func(err error)
}

// newTransfer makes the stream of a response a transfer.
func newTransfer(response *exchanger.Response) *transfer {
	t := &transfer{source: response.Stream}
	response.Stream = t
	return t
}

// onEnd adds a function that the end of the transfer calls. It must not be called after Close.
func (t *transfer) onEnd(f func(err error)) { t.ended = append(t.ended, f) }

func (t *transfer) Read(p []byte) (int, error) {
	n, err := t.source.Read(p)
	switch {
	case err == io.EOF:
		t.complete = true
	case err != nil:
		t.err = err
	}
	return n, err
}

// Close ends the transfer. Further calls have no effect.
func (t *transfer) Close() error {
	var err error
	t.once.Do(func() {
		err = t.source.Close()
		cause := t.err
		if cause == nil && !t.complete {
			cause = errUntaken
		}
		for _, f := range t.ended {
			f(cause)
		}
	})
	return err
}
