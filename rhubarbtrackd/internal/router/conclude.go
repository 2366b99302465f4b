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

// maxAttempts bounds the attempts of one request, including those that an upstream rejected.
const maxAttempts = 3

// maySendAgain reports whether another attempt of the request can be made. Whatever the reason for it, an attempt must have the
// whole body.
func (j *job) maySendAgain() bool { return j.attempts < maxAttempts && j.request.Repeatable() }

func kindOf(err error) exchanger.Kind {
	var typed *exchanger.Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return exchanger.NoResponse
}

// conclude decides what follows from an attempt. It returns nil when the request is to be sent again. A response that does not
// go to the caller is closed.
func (r *Router) conclude(j *job, u registrar.Upstream, resp *exchanger.Response, err error) (response *acceptor.Response) {
	defer func() {
		if resp != nil && (response == nil || response.Stream != resp.Stream) {
			closeStream(resp)
		}
	}()
	return r.handleOutcome(j, u, resp, err)
}

// handleOutcome returns the response for the caller after an attempt, or nil when the request is to be sent again.
func (r *Router) handleOutcome(j *job, u registrar.Upstream, resp *exchanger.Response, err error) *acceptor.Response {
	if err != nil {
		return r.handleFailure(j, u, err)
	}
	if !isRejection(resp) {
		if resp.Status >= 500 && j.route.Idempotent && !j.service.Keyed && j.maySendAgain() {
			j.mayHaveRun = true
			r.logAttempt(j, u, "failed", errors.Newf("upstream responded with status %d", resp.Status))
			if len(j.tried) < j.route.MaxAttempts {
				return nil
			}
		}
		return r.forward(j, u, resp)
	}
	r.logAttempt(j, u, "refused", errors.Newf("upstream rejected the request with status %d", resp.Status))
	if !j.maySendAgain() {
		return r.fail(j, "the upstream rejected the request", max(retryWait, r.pauseLeft(j, u)))
	}
	if !j.service.Keyed || resp.Status == http.StatusMisdirectedRequest {
		return nil
	}
	if hasRoom(resp) {
		// The upstream may accept the next attempt, and no other upstream can run the request.
		delete(j.tried, u.Incarnation)
		return nil
	}
	return r.fail(j, "the queue of the owner is full", max(r.queueFullWait(j), r.pauseLeft(j, u)))
}

// hasRoom reports whether an upstream that rejected a request reported fewer waiting requests than slots. Then it rejects for
// another reason than a full queue.
func hasRoom(resp *exchanger.Response) bool {
	load, ok := translator.Load(resp.Header.Get(translator.LoadHeader))
	return ok && load.Waiting < load.Slots
}

// queueFullWait returns the time after which the caller may retry a request that found the queue of the upstream full.
func (r *Router) queueFullWait(j *job) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	request := j.admission
	request.Remaining = time.Until(j.deadline)
	r.shedder.RecordRejection(now, request)
	return r.shedder.RetryAfter(now, request)
}

func closeStream(resp *exchanger.Response) {
	if resp.Stream != nil {
		_ = resp.Stream.Close()
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
		if j.service.Keyed || !j.maySendAgain() {
			return r.fail(j, "the upstream is unreachable", retryWait)
		}
		return nil
	case exchanger.TimedOut:
		r.logAttempt(j, u, "late", err)
		j.mayHaveRun = true
		return r.timeOut(j)
	}
	r.logAttempt(j, u, "broken", err)
	j.mayHaveRun = true
	if !j.route.Idempotent || !j.maySendAgain() || len(j.tried) >= j.route.MaxAttempts {
		return r.fail(j, "the upstream sent no valid response", retryWait)
	}
	if j.service.Keyed {
		// No other upstream may run the request, so the owner gets it again.
		delete(j.tried, u.Incarnation)
	}
	return nil
}

// forward returns the upstream's response to the caller. The request is logged and counted when its response is complete, or when
// a streamed one has ended.
func (r *Router) forward(j *job, u registrar.Upstream, resp *exchanger.Response) *acceptor.Response {
	response := &acceptor.Response{
		Status: resp.Status, Header: exchanger.Forwardable(resp.Header), Body: resp.Body, Stream: resp.Stream, Length: resp.Length,
	}
	if t, ok := resp.Stream.(*transfer); ok {
		response.Deadline = j.streamDeadline()
		t.onEnd(func(err error) { r.recordEnd(j, u, resp.Status, err) })
		return response
	}
	r.recordEnd(j, u, resp.Status, nil)
	return response
}

// recordEnd logs and counts a request whose response came from an upstream. err is the cause if the response was cut.
func (r *Router) recordEnd(j *job, u registrar.Upstream, status int, err error) {
	taken := time.Since(j.request.Arrived)
	event, outcome := eventlog.RequestEnded, "answered"
	fields := []zap.Field{
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("service", j.service.Name), zap.String("upstream", u.ID),
		zap.Int("tries", j.attempts), zap.Int("status", status), zap.Duration("left", j.timeLeft),
		zap.Duration("expected-wait", j.estimate.Wait), zap.Duration("expected-run", j.estimate.Run),
		zap.Duration("load-age", j.loadAge), zap.Duration("taken", taken),
		accountField(j), zap.Int64("configuration", j.version),
	}
	if err != nil {
		event, outcome = eventlog.ResponseAborted, "aborted"
		fields = append(fields, eventlog.Cause(err))
	}
	r.options.Log.Log(event, fields...)
	r.options.Meter.Request(j.service.Name, outcome, taken)
}

// fail ends a request without a response of an upstream to forward: with 502 if an attempt may have run, otherwise with
// 503. Callers that may retry get wait in Retry-After.
func (r *Router) fail(j *job, reason string, wait time.Duration) *acceptor.Response {
	if !j.mayHaveRun {
		return r.reject(j, reason, wait)
	}
	response := r.finish(j, http.StatusBadGateway, reason)
	if j.route.Idempotent {
		setRetryAfter(response, wait)
	}
	return response
}

func setRetryAfter(response *acceptor.Response, wait time.Duration) {
	response.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

func (r *Router) timeOut(j *job) *acceptor.Response {
	if !j.mayHaveRun {
		return r.reject(j, "the deadline has passed", retryWait)
	}
	return r.finish(j, http.StatusGatewayTimeout, "the deadline has passed")
}

// reject responds that the request has not run and may be retried after wait.
func (r *Router) reject(j *job, reason string, wait time.Duration) *acceptor.Response {
	j.rejected = true
	response := r.finish(j, http.StatusServiceUnavailable, reason)
	setRetryAfter(response, wait)
	return response
}

// abandon ends a request whose caller has disconnected, or that is cancelled by the shutdown of the process.
func (r *Router) abandon(j *job) *acceptor.Response {
	if r.options.Shutdown.Err() != nil {
		return r.fail(j, "the host is shutting down", retryWait)
	}
	response := r.finish(j, 0, "the caller disconnected")
	response.Abort = true
	return response
}

// accountField returns the log field of the client account of a request, if it has one.
func accountField(j *job) zap.Field {
	if j.account == nil {
		return zap.Skip()
	}
	return zap.String("account", j.account.Name)
}

// finish logs and counts a request to which the host itself responds, and returns a response without a body.
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
	r.options.Log.Log(eventlog.RequestRejected, zap.String("request", j.id), signatureField(j), querySignatureField(j), accountField(j), zap.String("route", route),
		zap.String("service", service), zap.Uint16("key", j.key), zap.Int("status", status), zap.String("outcome", outcome),
		zap.String("reason", reason), zap.Int("tries", j.attempts), zap.Duration("left", j.timeLeft),
		zap.Duration("expected-wait", j.estimate.Wait), zap.Duration("expected-run", j.estimate.Run),
		zap.Duration("load-age", j.loadAge), zap.Duration("taken", taken), zap.Int64("configuration", j.version))
	r.options.Meter.Request(service, outcome, taken)
	return &acceptor.Response{Status: status, Header: http.Header{}}
}
