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

// maxTries bounds the tries of one request, refused ones included.
const maxTries = 3

func kindOf(err error) exchanger.Kind {
	var typed *exchanger.Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return exchanger.NoResponse
}

// conclude decides what follows from a try. It returns nil when the request is to be sent again.
func (c *Router) conclude(j *job, u registrar.Upstream, answer *exchanger.Response, err error) *acceptor.Response {
	if err != nil {
		return c.concludeFailure(j, u, err)
	}
	if !isRefusal(answer) {
		if answer.Status >= 500 && j.route.Idempotent && j.tries < maxTries && !j.service.Keyed {
			j.ran = true
			c.logAttempt(j, u, "failed", errors.Newf("status %d", answer.Status))
			if len(j.tried) < j.route.MaxAttempts {
				return nil
			}
		}
		return c.relay(j, u, answer)
	}
	discard(answer)
	c.logAttempt(j, u, "refused", errors.Newf("status %d", answer.Status))
	if j.tries >= maxTries || j.request.Stream != nil {
		return c.giveUp(j, "the upstream refused the request", retryWait)
	}
	if !j.service.Keyed || answer.Status == http.StatusMisdirectedRequest {
		return nil
	}
	if hasRoom(answer) {
		// The refusal says nothing about the next try, and nobody else can run the request.
		delete(j.tried, u.ID)
		return nil
	}
	return c.giveUp(j, "the owner is full", c.fullWait(j))
}

// hasRoom reports whether an upstream refused a request although it has free slots.
func hasRoom(answer *exchanger.Response) bool {
	load, ok := translator.Load(answer.Header.Get(translator.LoadHeader))
	return ok && load.Waiting == 0 && load.Running < load.Slots
}

// fullWait returns when the caller may come back after an upstream had no place in its queue.
func (c *Router) fullWait(j *job) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	c.rations.RecordRejection(now, j.service.Name)
	return c.rations.RetryAfter(now, j.service.Name, time.Until(j.deadline))
}

func discard(answer *exchanger.Response) {
	if answer.Stream != nil {
		_ = answer.Stream.Close()
	}
}

func (c *Router) concludeFailure(j *job, u registrar.Upstream, err error) *acceptor.Response {
	kind := kindOf(err)
	switch kind {
	case exchanger.Cancelled:
		j.ran = true
		return c.abandon(j)
	case exchanger.NotSent:
		c.logAttempt(j, u, "not-sent", err)
		if j.service.Keyed || j.tries >= maxTries || j.request.Stream != nil {
			return c.giveUp(j, "the upstream cannot be reached", retryWait)
		}
		return nil
	case exchanger.TimedOut:
		c.logAttempt(j, u, "late", err)
		j.ran = true
		return c.timeOut(j)
	}
	c.logAttempt(j, u, "broken", err)
	j.ran = true
	if !j.route.Idempotent || j.tries >= maxTries || j.request.Stream != nil || len(j.tried) >= j.route.MaxAttempts {
		return c.giveUp(j, "the upstream broke off", retryWait)
	}
	if j.service.Keyed {
		// The owner is the only one that may run the request; it gets it once more.
		delete(j.tried, u.ID)
	}
	return nil
}

// relay passes the upstream's answer on.
func (c *Router) relay(j *job, u registrar.Upstream, answer *exchanger.Response) *acceptor.Response {
	taken := time.Since(j.request.Arrived)
	c.options.Log.Log(eventlog.RequestEnded, zap.String("request", j.id), zap.String("route", j.route.Name),
		zap.String("service", j.service.Name), zap.String("upstream", u.ID), zap.Int("tries", j.tries),
		zap.Int("status", answer.Status), zap.Duration("left", j.left), zap.Duration("expected-wait", j.estimate.Wait),
		zap.Duration("expected-run", j.estimate.Run), zap.Duration("load-age", j.age), zap.Duration("taken", taken))
	c.options.Meter.Request(j.service.Name, "answered", taken)
	return &acceptor.Response{
		Status: answer.Status, Header: exchanger.Forwardable(answer.Header), Body: answer.Body,
		Stream: answer.Stream, Length: answer.Length,
	}
}

// giveUp ends a request that gets no answer of an upstream.
func (c *Router) giveUp(j *job, reason string, wait time.Duration) *acceptor.Response {
	if j.ran {
		return c.final(j, http.StatusBadGateway, reason)
	}
	return c.reject(j, reason, wait)
}

func (c *Router) timeOut(j *job) *acceptor.Response {
	if !j.ran {
		return c.reject(j, "the time is up", retryWait)
	}
	return c.final(j, http.StatusGatewayTimeout, "the time is up")
}

// reject answers that the request has not run and may come back after wait.
func (c *Router) reject(j *job, reason string, wait time.Duration) *acceptor.Response {
	response := c.final(j, http.StatusServiceUnavailable, reason)
	response.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	return response
}

// abandon ends a request whose caller has left, or that the end of the process cuts off.
func (c *Router) abandon(j *job) *acceptor.Response {
	if c.options.Shutdown.Err() != nil {
		return c.giveUp(j, "the host shuts down", retryWait)
	}
	response := c.final(j, 0, "the caller left")
	response.Abort = true
	return response
}

// final answers for the host itself.
func (c *Router) final(j *job, status int, reason string) *acceptor.Response {
	taken := time.Since(j.request.Arrived)
	route, service, outcome := "", "", "not-run"
	if j.route != nil {
		route, service = j.route.Name, j.service.Name
	}
	switch {
	case j.ran:
		outcome = "unknown"
	case status == 0:
		outcome = "abandoned"
	case status < http.StatusInternalServerError:
		outcome = "refused"
	}
	c.options.Log.Log(eventlog.RequestRejected, zap.String("request", j.id), zap.String("route", route),
		zap.String("service", service), zap.Uint16("key", j.key), zap.Int("status", status), zap.String("outcome", outcome),
		zap.String("reason", reason), zap.Int("tries", j.tries), zap.Duration("left", j.left),
		zap.Duration("expected-wait", j.estimate.Wait), zap.Duration("expected-run", j.estimate.Run), zap.Duration("load-age", j.age),
		zap.Duration("taken", taken))
	c.options.Meter.Request(service, outcome, taken)
	return &acceptor.Response{Status: status, Header: http.Header{}}
}
