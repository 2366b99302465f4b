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
	ringSize = 1024
	// tickInterval is below the 50 ms that the admitter needs while requests wait or run.
	tickInterval = 20 * time.Millisecond
	// idleInterval is the tick without requests. Wake-ups of idle workers were most of the processor time of an idle host.
	idleInterval = 500 * time.Millisecond
)

// worker owns the admitter of one upstream.
type worker struct {
	dispatcher *Dispatcher
	key        workerKey
	ring       chan any
	admitter   *admitter.Admitter
	pending    map[admitter.ID]*attempt
	fences     map[uint32]slicer.Fence // slices of the last lease message
	version    leaseVersion
	releasing  uint64 // epoch of a lease that is to be returned, 0 for none
	active     bool   // a lease was applied and has not ended
	generation uint64 // rises with every end of a lease; the admitter's epoch, so that the same lease can begin again
	load       *load
	reportAt   time.Duration // no load report before this

	held   atomic.Pointer[heldLease]
	status atomic.Pointer[Status]
}

type heldLease struct {
	term, epoch uint64
	until       time.Duration
}

// attempt is one request between its offer and its end.
type attempt struct {
	verdict    chan verdict // capacity 1, written once
	dispatched bool
	cancel     context.CancelFunc
}

type verdict struct {
	fence   slicer.Fence
	refusal *Error // nil to dispatch
}

type offerEvent struct {
	offered admitter.Offered
	key     string
	attempt *attempt
}

type leaseEvent struct {
	lease   controller.Lease
	version leaseVersion
	sentAt  time.Duration
	ended   bool
}

// put queues an event that must not be lost. The ring bounds how far requests can run ahead of the worker.
func (w *worker) put(event any) {
	select {
	case w.ring <- event:
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
		case event := <-w.ring:
			w.handle(event)
		}
		w.returnLease()
		w.publishStatus()
		w.reportLoad()
		if now := len(w.pending) == 0; now != idle {
			idle = now
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
		w.measureOffer(e)
		w.step(e.offered)
	case admitter.Ended:
		delete(w.pending, e.ID)
		w.measureEnd(e)
		w.step(e)
	case admitter.Withdrawn:
		w.step(e)
		w.drop(e.ID)
	case leaseEvent:
		w.applyLease(e)
	}
}

// heldFence returns the fence under which the upstream holds the slice of a request. An entry host names the term of its
// table, while an upstream keeps the term of the grant until the slice is added again. A takeover that moves no slice
// changes the term and not the epoch, so that both fences name the same assignment to this upstream.
func (w *worker) heldFence(offered slicer.Fence) slicer.Fence {
	held, ok := w.fences[offered.Slice]
	if ok && held.Term > 0 && held.Term < offered.Term && held.Epoch == offered.Epoch {
		return held
	}
	return offered
}

// drop answers a withdrawn request that was still waiting.
func (w *worker) drop(id admitter.ID) {
	waiting := w.pending[id]
	if waiting == nil || waiting.dispatched {
		return
	}
	delete(w.pending, id)
	waiting.verdict <- verdict{refusal: &Error{Op: "admit", Kind: NotRun, Reason: ReasonWithdrawn}}
}

func (w *worker) step(event admitter.Event) {
	now := w.dispatcher.options.Clock()
	var idle []slicer.Fence
	for _, action := range w.admitter.Step(now, event) {
		switch a := action.(type) {
		case admitter.Dispatch:
			if started := w.pending[a.ID]; started != nil {
				started.dispatched = true
				started.verdict <- verdict{fence: a.Fence}
			}
		case admitter.Reject:
			w.refuse(a)
		case admitter.Cancel:
			if running := w.pending[a.ID]; running != nil {
				running.cancel()
			}
		case admitter.SliceDrained:
			idle = append(idle, a.Fence)
		case admitter.UpstreamSuspected:
			w.log(eventlog.UpstreamCold)
		case admitter.CrashDetected:
			w.log(eventlog.UpstreamCrashed)
			w.dispatcher.options.Observe(now, a)
		case admitter.CrashRetracted, admitter.RanAlone:
			w.dispatcher.options.Observe(now, a)
		}
	}
	if len(idle) > 0 {
		w.dispatcher.options.StopAnswer(w.key.service, controller.StopAnswer{
			Host:        w.dispatcher.options.Self,
			Incarnation: w.dispatcher.options.Incarnation,
			Upstream:    w.key.upstream,
			Term:        w.version.term,
			Seq:         w.version.seq,
			Slices:      idle,
		})
	}
}

func (w *worker) refuse(refused admitter.Reject) {
	waiting := w.pending[refused.ID]
	if waiting == nil {
		return
	}
	delete(w.pending, refused.ID)
	waiting.verdict <- verdict{refusal: &Error{
		Op:         "admit",
		Kind:       NotRun,
		Reason:     refused.Reason.String(),
		Reroutable: refused.Reason.Reroutable(),
		RetryAfter: refused.RetryAfter,
	}}
}

func (w *worker) applyLease(e leaseEvent) {
	if !w.version.less(e.version) {
		return
	}
	w.version = e.version
	if e.ended {
		w.endLease()
		return
	}
	lease := e.lease
	w.releasing = 0
	if lease.Release {
		w.releasing = lease.Epoch
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
		w.load = newLoad(w.dispatcher.options.Clock()) // another host may have measured in the meantime
		w.log(eventlog.AdmissionGained)
	}
	w.applySlices(lease)
}

// applySlices tells the admitter which slices are served, stopped and gone. Without new work every slice is stopped.
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
	w.load.keep(w.dispatcher.options.Clock(), present)
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

// returnLease gives a lease back once nothing is in flight. It is repeated with every message that asks for it.
func (w *worker) returnLease() {
	if w.releasing == 0 || w.admitter.InFlight() > 0 {
		return
	}
	epoch := w.releasing
	w.releasing = 0
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
