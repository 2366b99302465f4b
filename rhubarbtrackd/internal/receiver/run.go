package receiver

import (
	"context"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
)

const (
	// reroutePause bounds how long a request waits for a newer table before it looks again. A change of the table ends
	// the wait at once.
	reroutePause = 50 * time.Millisecond
	// maxWaiting bounds the requests of this host that wait for a newer table.
	maxWaiting = 2048
	// safetyMargin is the part of the deadline that must be left for another attempt.
	safetyMargin = 5 * time.Millisecond
)

// run makes attempts until one is answered, the deadline comes near, or the class of the request forbids another one.
func (r *Receiver) run(ctx context.Context, j *job) (*dispatcher.Response, error) {
	var avoid []string
	sent := 0
	for {
		table := r.options.Locator.Changed()
		upstream, response, err := r.attempt(ctx, j, avoid)
		if err == nil {
			return response, nil
		}
		failure := dispatcher.AsError(err)
		if failure.Reroutable && failure.Kind == dispatcher.NotRun && j.body.replayable() {
			if waitErr := r.awaitTable(ctx, table, failure); waitErr != nil {
				return nil, waitErr
			}
			continue
		}
		sent++
		again := Attempt{
			Service:    j.service.Name,
			Class:      j.class,
			Number:     sent,
			NotRun:     failure.Kind == dispatcher.NotRun,
			RetryAfter: failure.RetryAfter,
		}
		if !r.mayRepeat(ctx, j, again, failure) {
			return nil, failure
		}
		avoid = append(avoid, upstream)
	}
}

// mayRepeat asks the retry budget and waits for its delay.
func (r *Receiver) mayRepeat(ctx context.Context, j *job, again Attempt, failure *dispatcher.Error) bool {
	if ctx.Err() != nil || !j.body.replayable() {
		return false
	}
	if failure.Kind == dispatcher.Unknown && j.class == configurator.NeverRepeat {
		return false
	}
	if !sentToUpstream(failure) {
		// The admission host refused it early, for example because its queue is full. Asking again adds load there.
		return false
	}
	delay, ok := r.options.Retry(r.options.Clock(), again)
	if !ok || !timeLeft(ctx, delay) {
		return false
	}
	return pause(ctx, delay, nil)
}

// sentToUpstream reports whether an upstream itself, or the connection to it, caused the failure.
func sentToUpstream(failure *dispatcher.Error) bool {
	switch failure.Reason {
	case "shed", "cold", "draining", "not-owner", dispatcher.ReasonConnection, dispatcher.ReasonUnreachable,
		dispatcher.ReasonCrossed, dispatcher.ReasonUnframed:
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
	if !timeLeft(ctx, 0) || !pause(ctx, reroutePause, changed) {
		failure.Reroutable = false
		return failure
	}
	return nil
}

func timeLeft(ctx context.Context, delay time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > delay+safetyMargin
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

// attempt routes the request once.
func (r *Receiver) attempt(ctx context.Context, j *job, avoid []string) (string, *dispatcher.Response, error) {
	now := r.options.Clock()
	route, err := r.locate(now, j, avoid)
	if err != nil {
		return "", nil, notRouted(err)
	}
	request := &dispatcher.Request{
		ID:             j.id,
		Service:        j.service.Name,
		Upstream:       route.Upstream.ID(),
		Class:          j.class,
		Fence:          route.Fence,
		Signature:      j.signature,
		IdempotencyKey: j.idempotency,
		Method:         j.method,
		URI:            j.uri,
		Header:         j.header,
		Body:           j.body.reader(),
		ContentLength:  j.body.length(),
	}
	observation := Observation{Service: j.service.Name, Upstream: route.Upstream.ID(), Started: true}
	r.options.Observe(now, observation)
	response, err := r.options.Forward(ctx, route.Host, request)
	end := r.options.Clock()
	observation.Started = false
	observation.Latency = end - now
	if err != nil {
		observation.Failed = true
		observation.Refused = dispatcher.AsError(err).Kind == dispatcher.NotRun
	}
	r.options.Observe(end, observation)
	return route.Upstream.ID(), response, err
}

func (r *Receiver) locate(now time.Duration, j *job, avoid []string) (locator.Route, error) {
	if j.service.Keyed {
		return r.options.Locator.Locate(now, j.service.Name, j.key)
	}
	upstream, ok := r.options.Pick(now, j.service.Name, avoid)
	if !ok {
		return locator.Route{}, &locator.Error{Op: "locate", Kind: locator.Unassigned}
	}
	return r.options.Locator.LocateUpstream(now, j.service.Name, upstream)
}

// notRouted turns a failed lookup into a refusal. Each kind may pass with a newer table or beacon.
func notRouted(err error) error {
	reason := "unassigned"
	if locator.KindOf(err) == locator.Stale {
		reason = "stale-table"
	}
	return &dispatcher.Error{Op: "route", Kind: dispatcher.NotRun, Reason: reason, Reroutable: true, Err: err}
}
