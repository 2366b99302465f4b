package receiver

import (
	"context"
	"sync"
	"time"

	"rhubarbtrack.example/core/balancer"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/retrier"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
)

const (
	// reroutePause bounds how long a request waits for a newer table before it looks again. A change of the table ends
	// the wait at once.
	reroutePause = 50 * time.Millisecond
	// maxWaiting bounds the requests of this host that wait for a newer table.
	maxWaiting = 2048
	// moveCheck is the time between two looks at the admission host of a request that has no answer yet. Most requests are
	// answered before the first one.
	moveCheck = 100 * time.Millisecond
	// safetyMargin is the part of the deadline that must be left for another attempt.
	safetyMargin = 5 * time.Millisecond
)

// result is the end of one attempt. Attempt is set for services that are not partitioned by key.
type result struct {
	response *dispatcher.Response
	failure  *dispatcher.Error
	attempt  balancer.Attempt
}

// run makes attempts until one is answered, the deadline comes near, or the class of the request forbids another one.
func (r *Receiver) run(ctx context.Context, j *job) (*dispatcher.Response, error) {
	r.options.CountRequest(j.service.Name)
	var avoid []string
	sent := 0
	for {
		changed := r.options.Locator.Changed()
		end := r.attempt(ctx, j, avoid)
		if end.failure == nil {
			r.options.CountAttempt(j.service.Name, true)
			return end.response, nil
		}
		if end.failure.Reroutable && end.failure.Kind == dispatcher.NotRun && j.body.replayable() {
			if end.attempt.Upstream != "" {
				// Another upstream can take the request at once; when all are excluded, Begin fails and the wait begins.
				avoid = append(avoid, end.attempt.Upstream)
				continue
			}
			avoid = nil
			if err := r.awaitTable(ctx, changed, end.failure); err != nil {
				return nil, err
			}
			continue
		}
		r.options.CountAttempt(j.service.Name, false)
		sent++
		if !r.repeat(ctx, j, sent, end.failure) {
			return nil, end.failure
		}
		if end.attempt.Upstream != "" {
			avoid = append(avoid, end.attempt.Upstream)
		}
	}
}

// repeat asks the retry budget whether a failed request may be sent again, and waits for its delay.
func (r *Receiver) repeat(ctx context.Context, j *job, sent int, failure *dispatcher.Error) bool {
	if ctx.Err() != nil || !j.body.replayable() || final(failure) {
		return false
	}
	now := r.options.Clock()
	again := retrier.Attempt{
		Class:      j.class,
		Failure:    retrier.Unknown,
		Number:     sent,
		RetryAfter: failure.RetryAfter,
		Deadline:   now + timeLeft(ctx) - safetyMargin,
	}
	if failure.Kind == dispatcher.NotRun {
		again.Failure = retrier.NotRun
	}
	decision := r.options.Allow(now, j.service.Name, again)
	return decision.Retry && pause(ctx, decision.Delay, nil)
}

// final reports whether another attempt would have the same end.
func final(failure *dispatcher.Error) bool {
	switch failure.Reason {
	case "condemned", "duplicate", "too-late", dispatcher.ReasonDeadline, dispatcher.ReasonWithdrawn:
		return true
	default:
		return false
	}
}

// awaitTable waits for a newer table, bounded by the deadline of the request and the number of waiting requests.
func (r *Receiver) awaitTable(ctx context.Context, changed <-chan struct{}, failure *dispatcher.Error) error {
	if r.waiting.Add(1) > maxWaiting {
		r.waiting.Add(-1)
		return &dispatcher.Error{Op: "route", Kind: dispatcher.NotRun, Reason: dispatcher.ReasonOverloaded}
	}
	defer r.waiting.Add(-1)
	if timeLeft(ctx) <= safetyMargin || !pause(ctx, reroutePause, changed) {
		return failure
	}
	return nil
}

// timeLeft returns the time until the deadline, which every request has.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// pause waits for a time or an earlier signal and reports whether ctx is still valid.
func pause(ctx context.Context, length time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-timer.C:
	}
	return true
}

// attempt routes the request once, or twice at the same time when it is hedged.
func (r *Receiver) attempt(ctx context.Context, j *job, avoid []string) result {
	now := r.options.Clock()
	if j.service.Keyed {
		route, err := r.options.Locator.Locate(now, j.service.Name, j.key)
		if err != nil {
			return result{failure: notRouted(err)}
		}
		return r.forward(ctx, j, route)
	}
	first, ok := r.options.Begin(now, j.service.Name, j.class, avoid)
	if !ok {
		return result{failure: notRouted(&locator.Error{Op: "locate", Kind: locator.Unassigned})}
	}
	delay, hedged := r.options.HedgeAfter(now, j.service.Name, first)
	if !hedged || j.class == configurator.NeverRepeat || !j.body.replayable() {
		end := r.forwardTo(ctx, j, first)
		r.finish(ctx, j, end)
		return end
	}
	return r.race(ctx, j, first, delay)
}

// forwardTo runs a request on the upstream of a balancer's attempt and reports the end to the balancer.
func (r *Receiver) forwardTo(ctx context.Context, j *job, chosen balancer.Attempt) result {
	route, err := r.options.Locator.LocateUpstream(r.options.Clock(), j.service.Name, chosen.Upstream)
	if err != nil {
		return result{failure: notRouted(err), attempt: chosen}
	}
	end := r.forward(ctx, j, route)
	end.attempt = chosen
	return end
}

// finish tells the balancer how an attempt ended and returns the attempt that lost against it.
func (r *Receiver) finish(ctx context.Context, j *job, end result) (balancer.Attempt, bool) {
	outcome := balancer.Succeeded
	switch {
	case end.failure == nil:
	case ctx.Err() != nil:
		outcome = balancer.Cancelled
	case end.failure.Kind == dispatcher.NotRun:
		outcome = balancer.Shed
	default:
		outcome = balancer.Failed
	}
	return r.options.End(r.options.Clock(), j.service.Name, end.attempt, outcome)
}

// forward sends the request along a route. A request that may be repeated is given up when the admission host is lost and
// another one has taken over: a paused host may not answer before the deadline. A host that hands its role on in order
// still finishes its requests.
func (r *Receiver) forward(ctx context.Context, j *job, route locator.Route) result {
	if j.class != configurator.NeverRepeat {
		attemptCtx, cancel := context.WithCancel(ctx)
		stop := r.whenMoved(j.service.Name, route, cancel)
		end := r.forwardOnce(attemptCtx, j, route)
		stop()
		if end.failure != nil {
			cancel()
			return end
		}
		end.response.Body = &cancelBody{ReadCloser: end.response.Body, cancel: cancel}
		return end
	}
	return r.forwardOnce(ctx, j, route)
}

// whenMoved calls cancel once the host of the route is lost and another one admits to the upstream. The returned function
// ends the watch.
func (r *Receiver) whenMoved(service string, route locator.Route, cancel context.CancelFunc) (stop func()) {
	var mu sync.Mutex
	stopped := false
	var timer *time.Timer
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		table := r.options.Locator.Table(service)
		lost := r.options.Locator.Members()[route.Host.Name].State == framer.Dead
		if lost && table != nil && table.Admission[route.Upstream.ID()].Host != route.Host.Name {
			cancel()
			return
		}
		timer.Reset(moveCheck)
	}
	mu.Lock()
	timer = time.AfterFunc(moveCheck, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

func (r *Receiver) forwardOnce(ctx context.Context, j *job, route locator.Route) result {
	response, err := r.options.Forward(ctx, route.Host, &dispatcher.Request{
		ID:             j.id,
		Service:        j.service.Name,
		Upstream:       route.Upstream.ID(),
		Class:          j.class,
		Fence:          route.Fence,
		Signature:      j.signature,
		IdempotencyKey: j.idempotency,
		Key:            j.key,
		Method:         j.method,
		URI:            j.uri,
		Header:         j.header,
		Body:           j.body.reader(),
		ContentLength:  j.body.length(),
	})
	if err != nil {
		return result{failure: dispatcher.AsError(err)}
	}
	return result{response: response}
}

// notRouted turns a failed lookup into a refusal. Each kind may pass with a newer table or beacon.
func notRouted(err error) *dispatcher.Error {
	reason := "unassigned"
	if locator.KindOf(err) == locator.Stale {
		reason = "stale-table"
	}
	return &dispatcher.Error{Op: "route", Kind: dispatcher.NotRun, Reason: reason, Reroutable: true, Err: err}
}
