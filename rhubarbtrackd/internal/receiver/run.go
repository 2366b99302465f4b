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
	// rerouteInterval is the longest time that a request waits for a newer routing table before it is routed again. A
	// change of the table ends the wait early.
	rerouteInterval = 50 * time.Millisecond
	// maxWaiting limits the requests of this host that wait for a newer routing table.
	maxWaiting = 2048
	// moveCheckInterval is the time between two checks whether the admission host of a pending request has changed. Most
	// requests complete before the first check.
	moveCheckInterval = 100 * time.Millisecond
	// minAttemptTime is the time before the deadline that another attempt needs.
	minAttemptTime = 5 * time.Millisecond
)

// result is the result of one attempt. The field attempt is set only for services that are not keyed.
type result struct {
	response *dispatcher.Response
	failure  *dispatcher.Error
	attempt  balancer.Attempt
}

// run makes attempts until one gets a response, the deadline leaves no time for another one, or the class of the
// request does not permit another one.
func (r *Receiver) run(ctx context.Context, j *job) (*dispatcher.Response, error) {
	r.options.CountRequest(j.service.Name)
	var excluded []string
	sent := 0
	for {
		changed := r.options.Locator.Changed()
		res := r.attempt(ctx, j, excluded)
		if res.failure == nil {
			r.options.CountAttempt(j.service.Name, true)
			return res.response, nil
		}
		if res.failure.Reroutable && res.failure.Kind == dispatcher.NotRun && j.body.replayable() {
			if res.attempt.Upstream != "" {
				// Another upstream can take the request at once. When all are excluded, Begin fails and the request waits
				// for a newer table.
				excluded = append(excluded, res.attempt.Upstream)
				continue
			}
			excluded = nil
			if err := r.awaitTable(ctx, changed, res.failure); err != nil {
				return nil, err
			}
			continue
		}
		r.options.CountAttempt(j.service.Name, false)
		sent++
		if !r.awaitRetry(ctx, j, sent, res.failure) {
			return nil, res.failure
		}
		if res.attempt.Upstream != "" {
			excluded = append(excluded, res.attempt.Upstream)
		}
	}
}

// awaitRetry waits for the backoff of a failed request. It reports false if the request must not be sent again.
func (r *Receiver) awaitRetry(ctx context.Context, j *job, sent int, failure *dispatcher.Error) bool {
	if ctx.Err() != nil || !j.body.replayable() || isFinal(failure) {
		return false
	}
	now := r.options.Clock()
	retry := retrier.Attempt{
		Class:      j.class,
		Failure:    retrier.Unknown,
		Number:     sent,
		RetryAfter: failure.RetryAfter,
		Deadline:   now + timeLeft(ctx) - minAttemptTime,
	}
	if failure.Kind == dispatcher.NotRun {
		retry.Failure = retrier.NotRun
	}
	decision := r.options.Allow(now, j.service.Name, retry)
	return decision.Retry && wait(ctx, decision.Delay, nil)
}

// isFinal reports whether another attempt would fail for the same reason.
func isFinal(failure *dispatcher.Error) bool {
	switch failure.Reason {
	case "condemned", "duplicate", "too-late", dispatcher.ReasonDeadline, dispatcher.ReasonWithdrawn:
		return true
	default:
		return false
	}
}

// awaitTable waits for a newer routing table. It returns failure if the deadline leaves no time for another attempt,
// and an overload error if too many requests are waiting.
func (r *Receiver) awaitTable(ctx context.Context, changed <-chan struct{}, failure *dispatcher.Error) error {
	if r.waiting.Add(1) > maxWaiting {
		r.waiting.Add(-1)
		return &dispatcher.Error{Op: "route", Kind: dispatcher.NotRun, Reason: dispatcher.ReasonOverloaded}
	}
	defer r.waiting.Add(-1)
	if timeLeft(ctx) <= minAttemptTime || !wait(ctx, rerouteInterval, changed) {
		return failure
	}
	return nil
}

// timeLeft returns the time until the deadline of ctx, which every request has.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// wait returns after duration or on signal, whichever comes first. It reports false if ctx is done before.
func wait(ctx context.Context, duration time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-timer.C:
	}
	return true
}

// attempt sends the request once, or twice if it is hedged.
func (r *Receiver) attempt(ctx context.Context, j *job, excluded []string) result {
	now := r.options.Clock()
	if j.service.Keyed {
		route, err := r.options.Locator.Locate(now, j.service.Name, j.key)
		if err != nil {
			return result{failure: routingError(err)}
		}
		return r.forward(ctx, j, route)
	}
	first, ok := r.options.Begin(now, j.service.Name, j.class, excluded)
	if !ok {
		return result{failure: routingError(&locator.Error{Op: "locate", Kind: locator.Unassigned})}
	}
	delay, hedged := r.options.HedgeAfter(now, j.service.Name, first)
	if !hedged || j.class == configurator.NeverRepeat || !j.body.replayable() {
		res := r.forwardTo(ctx, j, first)
		r.endAttempt(ctx, j, res)
		return res
	}
	return r.runHedged(ctx, j, first, delay)
}

// forwardTo sends a request to the upstream that the balancer chose. The caller must report the result to the balancer.
func (r *Receiver) forwardTo(ctx context.Context, j *job, chosen balancer.Attempt) result {
	route, err := r.options.Locator.LocateUpstream(r.options.Clock(), j.service.Name, chosen.Upstream)
	if err != nil {
		return result{failure: routingError(err), attempt: chosen}
	}
	res := r.forward(ctx, j, route)
	res.attempt = chosen
	return res
}

// endAttempt reports the result of an attempt to the balancer. It returns the concurrent attempt, if any, that is to be
// cancelled because this one got a response first.
func (r *Receiver) endAttempt(ctx context.Context, j *job, res result) (balancer.Attempt, bool) {
	outcome := balancer.Succeeded
	switch {
	case res.failure == nil:
	case ctx.Err() != nil:
		outcome = balancer.Cancelled
	case res.failure.Kind == dispatcher.NotRun:
		outcome = balancer.Shed
	default:
		outcome = balancer.Failed
	}
	return r.options.End(r.options.Clock(), j.service.Name, res.attempt, outcome)
}

// forward sends the request along a route. An attempt of a request that may be repeated is cancelled when its admission
// host is dead and another host has replaced it: a host that is only paused counts as dead too, and may not respond
// before the deadline. A host that is leaving still completes its requests, so they are not cancelled.
func (r *Receiver) forward(ctx context.Context, j *job, route locator.Route) result {
	if j.class != configurator.NeverRepeat {
		attemptCtx, cancel := context.WithCancel(ctx)
		stop := r.cancelWhenMoved(j.service.Name, route, cancel)
		res := r.forwardOnce(attemptCtx, j, route)
		stop()
		if res.failure != nil {
			cancel()
			return res
		}
		res.response.Body = &cancelBody{ReadCloser: res.response.Body, cancel: cancel}
		return res
	}
	return r.forwardOnce(ctx, j, route)
}

// cancelWhenMoved calls cancel once the host of the route is dead and another host admits requests to the upstream. The
// returned function stops the checks.
func (r *Receiver) cancelWhenMoved(service string, route locator.Route, cancel context.CancelFunc) (stop func()) {
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
		dead := r.options.Locator.Members()[route.Host.Name].State == framer.Dead
		if dead && table != nil && table.Admission[route.Upstream.ID()].Host != route.Host.Name {
			cancel()
			return
		}
		timer.Reset(moveCheckInterval)
	}
	mu.Lock()
	timer = time.AfterFunc(moveCheckInterval, check)
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

// routingError converts an error of the locator. Each kind is reroutable because a newer table or heartbeat may resolve
// it.
func routingError(err error) *dispatcher.Error {
	reason := "unassigned"
	if locator.KindOf(err) == locator.Stale {
		reason = "stale-table"
	}
	return &dispatcher.Error{Op: "route", Kind: dispatcher.NotRun, Reason: reason, Reroutable: true, Err: err}
}
