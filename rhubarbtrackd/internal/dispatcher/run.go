package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/validator"
)

// run offers a request to the admitter, waits for the decision, and sends an admitted request to the upstream.
func (w *worker) run(ctx context.Context, request *Request) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	pending := &attempt{decision: make(chan decision, 1), cancel: cancel}
	id := requestID(request.ID)
	offer := offerEvent{offered: w.offered(ctx, id, request), key: request.Key, attempt: pending}
	select {
	case w.queue <- offer:
	default:
		cancel()
		return nil, &Error{Op: "admit", Kind: NotRun, Reason: ReasonOverloaded}
	}
	result, ok := w.await(ctx, id, pending)
	if !ok || result.rejection != nil {
		cancel()
		if result.rejection == nil {
			return nil, &Error{Op: "admit", Kind: NotRun, Reason: ReasonStopping, Reroutable: true}
		}
		return nil, result.rejection
	}
	return w.send(ctx, cancel, id, result.fence, request)
}

func (w *worker) offered(ctx context.Context, id admitter.ID, request *Request) admitter.Offered {
	now := w.dispatcher.options.Clock()
	offered := admitter.Offered{
		ID:             id,
		Class:          request.Class,
		Fence:          request.Fence,
		Deadline:       now + 24*time.Hour,
		Signature:      request.Signature,
		IdempotencyKey: request.IdempotencyKey,
	}
	if deadline, ok := ctx.Deadline(); ok {
		offered.Deadline = now + time.Until(deadline)
	}
	return offered
}

// await returns the decision of the admitter, or false if the dispatcher stops first. When ctx is done first, the
// request is withdrawn. A dispatch that was decided before the withdrawal is still returned. The caller then cancels
// it, because ctx is done.
func (w *worker) await(ctx context.Context, id admitter.ID, pending *attempt) (decision, bool) {
	select {
	case result := <-pending.decision:
		return result, true
	case <-w.dispatcher.ctx.Done():
		return decision{}, false
	case <-ctx.Done():
	}
	w.enqueue(admitter.Withdrawn{ID: id})
	select {
	case result := <-pending.decision:
		return result, true
	case <-w.dispatcher.ctx.Done():
		return decision{}, false
	}
}

// send sends an admitted request to the upstream and reports its completion to the admitter exactly once.
func (w *worker) send(ctx context.Context, cancel context.CancelFunc, id admitter.ID, fence slicer.Fence, request *Request) (*Response, error) {
	start := w.dispatcher.options.Clock()
	done := &completion{worker: w, id: id, ctx: ctx, start: start, cancel: cancel}
	if ctx.Err() != nil {
		// NotSent would count as a connection failure of the upstream.
		done.report(admitter.Cancelled, "", 0)
		return nil, &Error{Op: "dispatch", Kind: NotRun, Reason: ReasonWithdrawn, Err: ctx.Err()}
	}
	outgoing, err := w.encode(ctx, fence, request)
	if err != nil {
		done.report(admitter.NotSent, "", 0)
		return nil, &Error{Op: "dispatch", Kind: NotRun, Reason: ReasonUnreachable, Err: err}
	}
	response, err := RoundTrip(w.dispatcher.options.Transport, outgoing)
	if err != nil {
		failure := AsError(err)
		done.report(outcomeOf(ctx, failure), "", 0)
		// The controller moves the slices of an unreachable owner, so a newer table may name another one.
		failure.Reroutable = failure.Kind == NotRun
		return nil, failure
	}
	return w.receive(done, request, response)
}

func outcomeOf(ctx context.Context, failure *Error) admitter.Outcome {
	var invalid *validator.Error
	switch {
	case failure.Kind == NotRun && ctx.Err() != nil:
		return admitter.Cancelled
	case failure.Kind == NotRun:
		return admitter.NotSent
	case failure.Reason == ReasonDeadline:
		return admitter.Failed
	case errors.As(failure, &invalid):
		// An invalid head is no evidence of a crash, for which the requests in flight may be blocked.
		return admitter.Failed
	default:
		return connectionLossOutcome(ctx)
	}
}

// connectionLossOutcome classifies a request whose connection broke before the full response arrived.
func connectionLossOutcome(ctx context.Context) admitter.Outcome {
	switch ctx.Err() {
	case nil:
		return admitter.Crashed
	case context.DeadlineExceeded:
		return admitter.Failed
	default:
		return admitter.Cancelled
	}
}

func (w *worker) encode(ctx context.Context, fence slicer.Fence, request *Request) (*http.Request, error) {
	upstream, ok := w.dispatcher.options.Upstream(w.key.service, w.key.upstream)
	if !ok {
		return nil, &Error{Op: "dispatch", Kind: NotRun, Reason: ReasonUnreachable}
	}
	url := w.dispatcher.options.Scheme + "://" + upstream.Address + request.URI
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, url, request.Body)
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = request.ContentLength
	outgoing.Header = request.Header.Clone()
	outgoing.Header.Set(HeaderRequestID, request.ID)
	outgoing.Header.Del(HeaderFence)
	if fence != (slicer.Fence{}) {
		outgoing.Header.Set(HeaderFence, FormatFence(fence))
	}
	if request.IdempotencyKey != "" {
		outgoing.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		outgoing.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return outgoing, nil
}

// receive checks that a response belongs to the request. It returns an error if not, or if the upstream rejected the
// request.
func (w *worker) receive(done *completion, request *Request, response *http.Response) (*Response, error) {
	incarnation := response.Header.Get(HeaderIncarnation)
	if response.Header.Get(HeaderRequestID) != request.ID {
		_ = response.Body.Close()
		done.report(admitter.Failed, incarnation, 0)
		return nil, &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonMismatched}
	}
	// No request asks for another protocol, so what follows a switch is no body.
	isSwitch := response.StatusCode == http.StatusSwitchingProtocols
	if response.Header.Get(HeaderOutcome) == OutcomeNotRun && !isSwitch {
		return nil, w.rejection(done, response, incarnation)
	}
	if isSwitch || response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed {
		_ = response.Body.Close()
		done.report(admitter.Failed, incarnation, 0)
		return nil, &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonUnframed}
	}
	outcome := admitter.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = admitter.Failed
	}
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &body{reader: response.Body, completion: done, outcome: outcome, incarnation: incarnation},
		Length: response.ContentLength,
	}, nil
}

func (w *worker) rejection(done *completion, response *http.Response, incarnation string) error {
	_ = response.Body.Close()
	reason := response.Header.Get(HeaderReason)
	failure := &Error{Op: "dispatch", Kind: NotRun, Reason: reason}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		failure.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	outcome := admitter.Shed
	switch reason {
	case "cold":
		outcome = admitter.ShedCold
	case "draining":
		outcome = admitter.Draining
		failure.Reroutable = true
	case "not-owner":
		outcome = admitter.NotOwner
		failure.Reroutable = true
	}
	done.report(outcome, incarnation, failure.RetryAfter)
	return failure
}

// completion reports to the admitter, at most once, that a dispatched request has completed.
type completion struct {
	worker *worker
	id     admitter.ID
	ctx    context.Context // of the request; distinguishes a cancellation from a broken connection
	start  time.Duration
	cancel context.CancelFunc
	once   sync.Once
}

// cancelDelay is how long a slot stays occupied after the cancellation or the deadline of its request. In this time the
// upstream may not have detected that the connection was closed and may still run the request. Without the delay a cold
// upstream would run more requests than its limit.
const cancelDelay = 20 * time.Millisecond

func (c *completion) report(outcome admitter.Outcome, incarnation string, retryAfter time.Duration) {
	c.once.Do(func() {
		stopped := outcome == admitter.Cancelled || c.ctx.Err() != nil // by the caller or the deadline, not by the upstream
		c.cancel()
		ended := admitter.Ended{
			ID:          c.id,
			Outcome:     outcome,
			Latency:     c.worker.dispatcher.options.Clock() - c.start,
			Incarnation: incarnation,
			RetryAfter:  retryAfter,
		}
		if stopped {
			time.AfterFunc(cancelDelay, func() { c.worker.enqueue(ended) })
			return
		}
		c.worker.enqueue(ended)
	})
}

// body is a response body that reports the completion of its request.
type body struct {
	reader      io.ReadCloser
	completion  *completion
	outcome     admitter.Outcome
	incarnation string
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.completion.report(b.outcome, b.incarnation, 0)
	} else if err != nil {
		b.completion.report(connectionLossOutcome(b.completion.ctx), b.incarnation, 0)
	}
	return n, err
}

// Close closes the response body. Closing it before its end cancels the request.
func (b *body) Close() error {
	b.completion.report(admitter.Cancelled, b.incarnation, 0)
	return b.reader.Close()
}
