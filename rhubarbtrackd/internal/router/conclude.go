package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// maxAttempts bounds the tries of one request, refused ones included.
const maxAttempts = 3

func kindOf(err error) exchanger.Kind {
	var typed *exchanger.Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return exchanger.Broken
}

// handleOutcome decides what follows from a try. It returns nil when the request is to be sent again.
func (r *Router) handleOutcome(j *job, u registrar.Upstream, answer *exchanger.Answer, err error) *acceptor.Response {
	if err != nil {
		return r.handleFailure(j, u, err)
	}
	if !isRejection(answer) {
		if answer.Status >= 500 && j.route.Idempotent && j.attempts < maxAttempts && !j.service.Keyed {
			j.mayHaveRun = true
			r.logAttempt(j, u, "failed", errors.Newf("status %d", answer.Status))
			if len(j.tried) < j.route.MaxAttempts {
				return nil
			}
		}
		return r.forward(j, u, answer)
	}
	closeStream(answer)
	r.logAttempt(j, u, "refused", errors.Newf("status %d", answer.Status))
	if j.attempts >= maxAttempts || j.request.Stream != nil {
		return r.fail(j, "the upstream refused the request", retryWait)
	}
	if !j.service.Keyed || answer.Status == http.StatusMisdirectedRequest {
		return nil
	}
	if hasFreeSlot(answer) {
		// The refusal says nothing about the next try, and nobody else can run the request.
		delete(j.tried, u.ID)
		return nil
	}
	return r.fail(j, "the owner is full", r.queueFullWait(j))
}

// hasFreeSlot reports whether an upstream refused a request although it has free slots.
func hasFreeSlot(answer *exchanger.Answer) bool {
	load, ok := translator.Load(answer.Header.Get(translator.LoadHeader))
	return ok && load.Waiting == 0 && load.Running < load.Slots
}

// queueFullWait returns when the caller may come back after an upstream had no place in its queue.
func (r *Router) queueFullWait(j *job) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	r.admission.Refused(now, j.service.Name)
	return r.admission.Wait(now, j.service.Name, time.Until(j.deadline))
}

func closeStream(answer *exchanger.Answer) {
	if answer.Stream != nil {
		_ = answer.Stream.Close()
	}
}

func (r *Router) handleFailure(j *job, u registrar.Upstream, err error) *acceptor.Response {
	kind := kindOf(err)
	switch kind {
	case exchanger.Cancelled:
		j.mayHaveRun = true
		return r.abandon(j)
	case exchanger.NotSent:
		r.logAttempt(j, u, "not-sent", err)
		if j.service.Keyed || j.attempts >= maxAttempts || j.request.Stream != nil {
			return r.fail(j, "the upstream cannot be reached", retryWait)
		}
		return nil
	case exchanger.Late:
		r.logAttempt(j, u, "late", err)
		j.mayHaveRun = true
		return r.timeOut(j)
	}
	r.logAttempt(j, u, "broken", err)
	j.mayHaveRun = true
	if !j.route.Idempotent || j.attempts >= maxAttempts || j.request.Stream != nil || len(j.tried) >= j.route.MaxAttempts {
		return r.fail(j, "the upstream broke off", retryWait)
	}
	if j.service.Keyed {
		// The owner is the only one that may run the request; it gets it once more.
		delete(j.tried, u.ID)
	}
	return nil
}

// forward passes the upstream's answer on.
func (r *Router) forward(j *job, u registrar.Upstream, answer *exchanger.Answer) *acceptor.Response {
	taken := time.Since(j.request.Arrived)
	r.options.Log.Log(eventlog.RequestEnded, zap.String("request", j.id), zap.String("route", j.route.Name),
		zap.String("service", j.service.Name), zap.String("upstream", u.ID), zap.Int("tries", j.attempts),
		zap.Int("status", answer.Status), zap.Duration("left", j.timeLeft), zap.Duration("expected-wait", j.estimate.Wait),
		zap.Duration("expected-run", j.estimate.Run), zap.Duration("load-age", j.loadAge), zap.Duration("taken", taken))
	r.options.Meter.Request(j.service.Name, "answered", taken)
	return &acceptor.Response{
		Status: answer.Status, Header: exchanger.Forwardable(answer.Header), Body: answer.Body,
		Stream: answer.Stream, Length: answer.Length,
	}
}

// fail ends a request that gets no answer of an upstream.
func (r *Router) fail(j *job, reason string, wait time.Duration) *acceptor.Response {
	if j.mayHaveRun {
		return r.finish(j, http.StatusBadGateway, reason)
	}
	return r.reject(j, reason, wait)
}

func (r *Router) timeOut(j *job) *acceptor.Response {
	if !j.mayHaveRun {
		return r.reject(j, "the time is up", retryWait)
	}
	return r.finish(j, http.StatusGatewayTimeout, "the time is up")
}

// reject answers that the request has not run and may come back after wait.
func (r *Router) reject(j *job, reason string, wait time.Duration) *acceptor.Response {
	response := r.finish(j, http.StatusServiceUnavailable, reason)
	response.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	return response
}

// abandon ends a request whose caller has left, or that the end of the process cuts off.
func (r *Router) abandon(j *job) *acceptor.Response {
	if r.options.Shutdown.Err() != nil {
		return r.fail(j, "the host shuts down", retryWait)
	}
	response := r.finish(j, 0, "the caller left")
	response.Abort = true
	return response
}

// finish answers for the host itself.
func (r *Router) finish(j *job, status int, reason string) *acceptor.Response {
	taken := time.Since(j.request.Arrived)
	route, service, outcome := "", "", "not-run"
	if j.route != nil {
		route, service = j.route.Name, j.service.Name
	}
	switch {
	case j.mayHaveRun:
		outcome = "unknown"
	case status == 0:
		outcome = "abandoned"
	case status < http.StatusInternalServerError:
		outcome = "refused"
	}
	r.options.Log.Log(eventlog.RequestRejected, zap.String("request", j.id), zap.String("route", route),
		zap.String("service", service), zap.Uint16("key", j.key), zap.Int("status", status), zap.String("outcome", outcome),
		zap.String("reason", reason), zap.Int("tries", j.attempts), zap.Duration("left", j.timeLeft),
		zap.Duration("expected-wait", j.estimate.Wait), zap.Duration("expected-run", j.estimate.Run), zap.Duration("load-age", j.loadAge),
		zap.Duration("taken", taken))
	r.options.Meter.Request(service, outcome, taken)
	return &acceptor.Response{Status: status, Header: http.Header{}}
}
