package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/slicer"
)

// run offers a request to the admitter, waits for the verdict, and sends the request to the upstream.
func (w *worker) run(ctx context.Context, request *Request) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	waiting := &attempt{verdict: make(chan verdict, 1), cancel: cancel}
	id := requestID(request.ID)
	offer := offerEvent{offered: w.offered(ctx, id, request), key: request.Key, attempt: waiting}
	select {
	case w.ring <- offer:
	default:
		cancel()
		return nil, &Error{Op: "admit", Kind: NotRun, Reason: ReasonOverloaded}
	}
	decided, ok := w.await(ctx, id, waiting)
	if !ok || decided.refusal != nil {
		cancel()
		if decided.refusal == nil {
			return nil, &Error{Op: "admit", Kind: NotRun, Reason: ReasonStopping, Reroutable: true}
		}
		return nil, decided.refusal
	}
	return w.send(ctx, cancel, id, decided.fence, request)
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

// await returns the verdict. When the caller leaves first, the request is withdrawn; a dispatch that was decided before
// the withdrawal is still returned and then ends at once, because its context is done.
func (w *worker) await(ctx context.Context, id admitter.ID, waiting *attempt) (verdict, bool) {
	select {
	case decided := <-waiting.verdict:
		return decided, true
	case <-w.dispatcher.ctx.Done():
		return verdict{}, false
	case <-ctx.Done():
	}
	w.put(admitter.Withdrawn{ID: id})
	select {
	case decided := <-waiting.verdict:
		return decided, true
	case <-w.dispatcher.ctx.Done():
		return verdict{}, false
	}
}

// send runs an admitted request and reports its end to the admitter exactly once.
func (w *worker) send(ctx context.Context, cancel context.CancelFunc, id admitter.ID, fence slicer.Fence, request *Request) (*Response, error) {
	start := w.dispatcher.options.Clock()
	end := &ending{worker: w, id: id, ctx: ctx, start: start, cancel: cancel}
	if ctx.Err() != nil {
		// Not NotSent, which would be evidence against the upstream.
		end.report(admitter.Cancelled, "", 0)
		return nil, &Error{Op: "dispatch", Kind: NotRun, Reason: ReasonWithdrawn, Err: ctx.Err()}
	}
	outgoing, err := w.encode(ctx, fence, request)
	if err != nil {
		end.report(admitter.NotSent, "", 0)
		return nil, &Error{Op: "dispatch", Kind: NotRun, Reason: ReasonUnreachable, Err: err}
	}
	response, err := RoundTrip(w.dispatcher.options.Transport, outgoing)
	if err != nil {
		failure := AsError(err)
		end.report(outcomeOf(ctx, failure), "", 0)
		// The owner cannot be reached; the controller moves its slices, so a newer table may help.
		failure.Reroutable = failure.Kind == NotRun
		return nil, failure
	}
	return w.receive(end, request, response)
}

func outcomeOf(ctx context.Context, failure *Error) admitter.Outcome {
	switch {
	case failure.Kind == NotRun && ctx.Err() != nil:
		return admitter.Cancelled
	case failure.Kind == NotRun:
		return admitter.NotSent
	case failure.Reason == ReasonDeadline:
		return admitter.Failed
	default:
		return brokenOutcome(ctx)
	}
}

// brokenOutcome classifies a response that did not arrive whole.
func brokenOutcome(ctx context.Context) admitter.Outcome {
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

// receive checks that a response belongs to the request and tells refusals from answers.
func (w *worker) receive(end *ending, request *Request, response *http.Response) (*Response, error) {
	incarnation := response.Header.Get(HeaderIncarnation)
	if response.Header.Get(HeaderRequestID) != request.ID {
		_ = response.Body.Close()
		end.report(admitter.Failed, incarnation, 0)
		return nil, &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonMismatched}
	}
	if response.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return nil, w.refusal(end, response, incarnation)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed {
		_ = response.Body.Close()
		end.report(admitter.Failed, incarnation, 0)
		return nil, &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonUnframed}
	}
	outcome := admitter.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = admitter.Failed
	}
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &body{reader: response.Body, end: end, outcome: outcome, incarnation: incarnation},
		Length: response.ContentLength,
	}, nil
}

func (w *worker) refusal(end *ending, response *http.Response, incarnation string) error {
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
	end.report(outcome, incarnation, failure.RetryAfter)
	return failure
}

// ending reports the end of a dispatched request once.
type ending struct {
	worker *worker
	id     admitter.ID
	ctx    context.Context // of the request, tells a cancellation from a broken connection
	start  time.Duration
	cancel context.CancelFunc
	once   sync.Once
}

// cancelGrace is the time after the cancellation or the deadline of a request in which the upstream may not have noticed
// that the connection was closed. The slot stays occupied that long, or a cold upstream would run more than it bears.
const cancelGrace = 20 * time.Millisecond

func (e *ending) report(outcome admitter.Outcome, incarnation string, retryAfter time.Duration) {
	e.once.Do(func() {
		stopped := outcome == admitter.Cancelled || e.ctx.Err() != nil // by this host, not by the upstream
		e.cancel()
		ended := admitter.Ended{
			ID:          e.id,
			Outcome:     outcome,
			Latency:     e.worker.dispatcher.options.Clock() - e.start,
			Incarnation: incarnation,
			RetryAfter:  retryAfter,
		}
		if stopped {
			time.AfterFunc(cancelGrace, func() { e.worker.put(ended) })
			return
		}
		e.worker.put(ended)
	})
}

// body passes a response body on and reports how it ended.
type body struct {
	reader      io.ReadCloser
	end         *ending
	outcome     admitter.Outcome
	incarnation string
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.end.report(b.outcome, b.incarnation, 0)
	} else if err != nil {
		b.end.report(brokenOutcome(b.end.ctx), b.incarnation, 0)
	}
	return n, err
}

// Close ends the response. Closing it before its end cancels the request.
func (b *body) Close() error {
	b.end.report(admitter.Cancelled, b.incarnation, 0)
	return b.reader.Close()
}
