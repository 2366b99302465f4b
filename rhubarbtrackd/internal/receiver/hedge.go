package receiver

import (
	"context"
	"io"
	"time"

	"rhubarbtrack.example/core/balancer"
)

// runHedged sends a request and, if there is no response within delay, a hedged request to another upstream. It returns
// the first response and cancels the other attempt. If all attempts fail, it returns the last failure.
func (r *Receiver) runHedged(ctx context.Context, j *job, first balancer.Attempt, delay time.Duration) result {
	results := make(chan result, 2)
	cancels := map[uint64]context.CancelFunc{}
	start := func(chosen balancer.Attempt) {
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels[chosen.ID] = cancel
		go func() { results <- r.forwardTo(attemptCtx, j, chosen) }()
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
		case res := <-results:
			running--
			other, hasOther := r.endAttempt(ctx, j, res)
			if res.failure != nil {
				cancels[res.attempt.ID]()
				failed = res
				continue
			}
			if hasOther {
				cancels[other.ID]()
			}
			r.discard(j, results, running)
			res.response.Body = &cancelBody{ReadCloser: res.response.Body, cancel: cancels[res.attempt.ID]}
			return res
		}
	}
	return failed
}

// discard waits in the background for attempts that were still running when another one got a response, and closes
// their responses.
func (r *Receiver) discard(j *job, results <-chan result, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			res := <-results
			if res.failure == nil {
				_ = res.response.Body.Close()
			}
			r.options.End(r.options.Clock(), j.service.Name, res.attempt, balancer.Cancelled)
		}
	}()
}

// cancelBody cancels the context of an attempt when its response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
