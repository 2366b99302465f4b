package receiver

import (
	"context"
	"io"
	"time"

	"rhubarbtrack.example/core/balancer"
)

// race runs a request, and after a delay without an answer a hedge of it on another upstream, and takes the first answer.
// The attempt that loses is cancelled.
func (r *Receiver) race(ctx context.Context, j *job, first balancer.Attempt, delay time.Duration) result {
	ends := make(chan result, 2)
	cancels := map[uint64]context.CancelFunc{}
	start := func(chosen balancer.Attempt) {
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels[chosen.ID] = cancel
		go func() { ends <- r.forwardTo(attemptCtx, j, chosen) }()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	var failed result
	for running > 0 {
		select {
		case <-timer.C:
			if hedge, ok := r.options.Hedge(r.options.Clock(), j.service.Name, first); ok {
				start(hedge)
				running++
			}
		case end := <-ends:
			running--
			loser, lost := r.finish(ctx, j, end)
			if end.failure != nil {
				cancels[end.attempt.ID]()
				failed = end
				continue
			}
			if lost {
				cancels[loser.ID]()
			}
			r.discard(j, ends, running)
			end.response.Body = &cancelBody{ReadCloser: end.response.Body, cancel: cancels[end.attempt.ID]}
			return end
		}
	}
	return failed
}

// discard ends the attempts that were still running when another one was answered.
func (r *Receiver) discard(j *job, ends <-chan result, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			end := <-ends
			if end.failure == nil {
				_ = end.response.Body.Close()
			}
			r.options.End(r.options.Clock(), j.service.Name, end.attempt, balancer.Cancelled)
		}
	}()
}

// cancelBody releases the context of an attempt when its response has been read.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
