package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

const (
	queueSize = 1024
	// tickInterval must be below 50 ms, the longest interval that the admitter allows while requests wait or run.
	tickInterval = 20 * time.Millisecond
	// idleInterval is the tick interval without requests. With tickInterval, wake-ups of idle workers took most of the
	// CPU time of an idle host.
	idleInterval = 500 * time.Millisecond
)

// worker owns the admitter of one upstream.
type worker struct {
	dispatcher   *Dispatcher
	key          workerKey
	queue        chan any
	admitter     *admitter.Admitter
	pending      map[admitter.ID]*attempt
	fences       map[uint32]slicer.Fence // slices of the last lease message, by slice ID
	version      leaseVersion
	releaseEpoch uint64 // epoch of the lease to return to the controller, 0 for none
	active       bool   // a lease was applied and has not ended
	generation   uint64 // the admitter's epoch; rises with every end of a lease, so that a lease can resume with its epoch
	load         *load
	nextReport   time.Duration // earliest time of the next load report

	held   atomic.Pointer[heldLease]
	status atomic.Pointer[Status]
}

type heldLease struct {
	term, epoch uint64
	until       time.Duration
}

// attempt is a request that was offered and has not completed.
type attempt struct {
	decision   chan decision // capacity 1; receives one value
	dispatched bool
	cancel     context.CancelFunc
}

type decision struct {
	fence     slicer.Fence
	rejection *Error // nil to dispatch
}

type offerEvent struct {
	offered admitter.Offered
	key     string
	attempt *attempt
}

type leaseEvent struct {
	lease    controller.Lease
	version  leaseVersion
	sentAt   time.Duration // of the heartbeat to which the lease message replies
	unlisted bool          // the lease message does not list the upstream
}

// enqueue adds an event that must not be lost. It blocks while the queue is full, so that requests cannot get ahead
// of the worker by more than queueSize events.
func (w *worker) enqueue(event any) {
	select {
	case w.queue <- event:
	case <-w.dispatcher.ctx.Done():
	}
}

func (w *worker) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.step(admitter.Tick{})
		case event := <-w.queue:
			w.handle(event)
		}
		w.returnLease()
		w.publishStatus()
		w.reportLoad()
		if empty := len(w.pending) == 0; empty != idle {
			idle = empty
			ticker.Reset(w.interval(idle))
		}
	}
}

func (w *worker) interval(idle bool) time.Duration {
	if idle {
		return idleInterval
	}
	return tickInterval
}

func (w *worker) handle(event any) {
	switch e := event.(type) {
	case offerEvent:
		e.offered.Fence = w.heldFence(e.offered.Fence)
		w.pending[e.offered.ID] = e.attempt
		w.recordOffer(e)
		w.step(e.offered)
	case admitter.Ended:
		delete(w.pending, e.ID)
		w.recordEnd(e)
		w.step(e)
	case admitter.Withdrawn:
		w.step(e)
		w.rejectWithdrawn(e.ID)
	case leaseEvent:
		w.applyLease(e)
	}
}

// heldFence returns the fence under which the upstream holds the slice of a request. An entry host sends the term of
// its table, while an upstream keeps the term of the grant until the slice is added again. A takeover that does not
// move the slice changes the term but not the epoch. Fences of equal epoch therefore stand for the same assignment.
func (w *worker) heldFence(offered slicer.Fence) slicer.Fence {
	held, ok := w.fences[offered.Slice]
	if ok && held.Term > 0 && held.Term < offered.Term && held.Epoch == offered.Epoch {
		return held
	}
	return offered
}

// rejectWithdrawn rejects a withdrawn request that has not been dispatched.
func (w *worker) rejectWithdrawn(id admitter.ID) {
	pending := w.pending[id]
	if pending == nil || pending.dispatched {
		return
	}
	delete(w.pending, id)
	pending.decision <- decision{rejection: &Error{Op: "admit", Kind: NotRun, Reason: ReasonWithdrawn}}
}

func (w *worker) step(event admitter.Event) {
	now := w.dispatcher.options.Clock()
	var drained []slicer.Fence
	for _, action := range w.admitter.Step(now, event) {
		switch a := action.(type) {
		case admitter.Dispatch:
			if started := w.pending[a.ID]; started != nil {
				started.dispatched = true
				started.decision <- decision{fence: a.Fence}
			}
		case admitter.Reject:
			w.reject(a)
		case admitter.Cancel:
			if running := w.pending[a.ID]; running != nil {
				running.cancel()
			}
		case admitter.SliceDrained:
			drained = append(drained, a.Fence)
		case admitter.UpstreamSuspected:
			w.log(eventlog.UpstreamCold)
		case admitter.CrashDetected:
			w.log(eventlog.UpstreamCrashed)
			w.dispatcher.options.Observe(now, a)
		case admitter.CrashRetracted, admitter.RanAlone:
			w.dispatcher.options.Observe(now, a)
		}
	}
	if len(drained) > 0 {
		w.dispatcher.options.StopAnswer(w.key.service, controller.StopAnswer{
			Host:        w.dispatcher.options.Self,
			Incarnation: w.dispatcher.options.Incarnation,
			Upstream:    w.key.upstream,
			Term:        w.version.term,
			Seq:         w.version.seq,
			Slices:      drained,
		})
	}
}

func (w *worker) reject(rejected admitter.Reject) {
	pending := w.pending[rejected.ID]
	if pending == nil {
		return
	}
	delete(w.pending, rejected.ID)
	pending.decision <- decision{rejection: &Error{
		Op:         "admit",
		Kind:       NotRun,
		Reason:     rejected.Reason.String(),
		Reroutable: rejected.Reason.Reroutable(),
		RetryAfter: rejected.RetryAfter,
	}}
}

func (w *worker) applyLease(e leaseEvent) {
	if !w.version.less(e.version) {
		return
	}
	w.version = e.version
	if e.unlisted {
		w.endLease()
		return
	}
	lease := e.lease
	w.releaseEpoch = 0
	if lease.Release {
		w.releaseEpoch = lease.Epoch
		w.endLease()
		return
	}
	if lease.Incarnation != "" {
		w.step(admitter.IncarnationObserved{Incarnation: lease.Incarnation})
		if lease.InFlight >= 0 {
			w.step(admitter.LoadReported{Incarnation: lease.Incarnation, InFlight: lease.InFlight})
		}
	}
	keyed := w.dispatcher.options.Keyed(w.key.service)
	if lease.NoNewWork && !keyed {
		w.endLease()
		return
	}
	w.step(admitter.LeaseRenewed{Epoch: w.generation, SentAt: e.sentAt})
	w.held.Store(&heldLease{term: e.version.term, epoch: lease.Epoch, until: e.sentAt + admitter.DefaultLease})
	if !w.active {
		w.active = true
		w.load = newLoad(w.dispatcher.options.Clock()) // the old one lacks the load during leases of other hosts
		w.log(eventlog.AdmissionGained)
	}
	w.applySlices(lease)
}

// applySlices passes served, stopped and removed slices to the admitter. If the lease allows no new work, all slices
// are stopped.
func (w *worker) applySlices(lease controller.Lease) {
	serve, stop := lease.Serve, lease.Stop
	if lease.NoNewWork {
		stop = append(append([]slicer.Fence(nil), stop...), serve...)
		serve = nil
	}
	present := make(map[uint32]slicer.Fence, len(serve)+len(stop))
	for _, fence := range serve {
		present[fence.Slice] = fence
	}
	for _, fence := range stop {
		present[fence.Slice] = fence
	}
	var removed []slicer.Fence
	for id, fence := range w.fences {
		if _, ok := present[id]; !ok {
			removed = append(removed, fence)
		}
	}
	w.fences = present
	w.load.setSlices(w.dispatcher.options.Clock(), present)
	if len(removed) > 0 {
		w.step(admitter.SlicesRemoved{Fences: removed})
	}
	if len(stop) > 0 {
		w.step(admitter.SlicesStopped{Fences: stop})
	}
	if len(serve) > 0 {
		w.step(admitter.SlicesServed{Fences: serve})
	}
}

func (w *worker) endLease() {
	w.held.Store(nil)
	w.fences = map[uint32]slicer.Fence{}
	if !w.active {
		return
	}
	w.active = false
	w.log(eventlog.AdmissionLost)
	w.step(admitter.LeaseEnded{Epoch: w.generation})
	w.generation++
}

// returnLease returns the lease to the controller when no request is in flight. Every message that asks for the lease
// triggers another return, since the previous one may have been lost.
func (w *worker) returnLease() {
	if w.releaseEpoch == 0 || w.admitter.InFlight() > 0 {
		return
	}
	epoch := w.releaseEpoch
	w.releaseEpoch = 0
	w.dispatcher.options.LeaseReturned(w.key.service, controller.LeaseReturned{
		Host:        w.dispatcher.options.Self,
		Incarnation: w.dispatcher.options.Incarnation,
		Upstream:    w.key.upstream,
		Epoch:       epoch,
	})
}

func (w *worker) publishStatus() {
	status := Status{
		Service:  w.key.service,
		Upstream: w.key.upstream,
		Limit:    w.admitter.Limit(),
		InFlight: w.admitter.InFlight(),
		Queued:   w.admitter.Queued(),
		Cold:     w.admitter.Cold(),
	}
	if last := w.status.Load(); last == nil || *last != status {
		w.status.Store(&status)
	}
}

func (w *worker) log(event eventlog.Event) {
	w.dispatcher.options.Log.Log(event, zap.String("service", w.key.service), zap.String("upstream", w.key.upstream))
}
