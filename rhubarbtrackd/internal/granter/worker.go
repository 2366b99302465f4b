package granter

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/elector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/witness"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

const (
	queueSize = 2048
	// tickInterval applies while this host holds the leader lease. It is the longest interval that elector and
	// controller allow. Without the lease only the start of a candidacy depends on the interval, so that idleInterval
	// suffices. A host that is not a witness becomes a candidate only for a service without any controller, so that
	// nonWitnessInterval suffices. A host counts as not a witness if it has made no promise for recentPromise.
	tickInterval       = controller.TickInterval
	idleInterval       = 100 * time.Millisecond
	nonWitnessInterval = 500 * time.Millisecond
	recentPromise      = 10 * time.Second
)

// worker owns the elector and the controller of one service.
type worker struct {
	granter      *Granter
	service      string
	cancel       context.CancelFunc
	queue        chan any
	elector      *elector.Elector
	controller   *controller.Controller
	planner      *planner
	heartbeatSeq uint64
	lastPromise  time.Duration // time of the latest promise of this host's witness, initially the start of the worker
	demand       demand

	leaderLease atomic.Pointer[elector.LeaderLease]
	recordTerm  atomic.Uint64 // of the latest record that was read
	refreshing  atomic.Bool   // refreshRecord is reading the record
}

func newWorker(g *Granter, service string, cancel context.CancelFunc) *worker {
	planner := newPlanner()
	options := controller.Options{
		Service: service, Host: g.options.Self, Incarnation: g.options.Incarnation, Plan: planner.plan,
	}
	return &worker{
		granter: g,
		service: service,
		cancel:  cancel,
		queue:   make(chan any, queueSize),
		elector: elector.New(elector.Options{
			Service: service,
			Self:    witness.Holder{Host: g.options.Self, Incarnation: g.options.Incarnation},
			Started: g.options.Clock(),
			Seed:    g.options.Seed ^ hasher.Sum(service),
		}),
		controller:  controller.New(options),
		planner:     planner,
		lastPromise: g.options.Clock(),
	}
}

func (w *worker) enqueue(event any) {
	select {
	case w.queue <- event:
	default:
		w.granter.options.Dropped(w.service)
	}
}

func (w *worker) enqueueHosts(hosts Hosts) {
	w.enqueue(elector.Hosts{Hosts: hosts.Elector})
	w.enqueue(controller.Hosts{Hosts: hosts.Controller})
}

// refreshRecord reads the record when a promise has a higher term than the record that this host has read. Otherwise
// the conditional write of a later candidacy would expect an outdated version and fail, which would delay the candidacy
// until its next attempt.
func (w *worker) refreshRecord(ctx context.Context, term uint64) {
	if w.recordTerm.Load() >= term || !w.refreshing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.refreshing.Store(false)
		w.readRecord(ctx, elector.ReadRecord{})
	}()
}

func (w *worker) loop(ctx context.Context) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	interval := idleInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.stepElector(ctx, elector.Tick{})
			if interval == tickInterval {
				w.stepController(ctx, controller.Tick{})
			}
			if next := w.interval(); next != interval {
				interval = next
				ticker.Reset(interval)
			}
		case event := <-w.queue:
			switch e := event.(type) {
			case elector.Event:
				if _, ok := e.(elector.PromiseGranted); ok {
					w.lastPromise = w.granter.options.Clock()
				}
				w.stepElector(ctx, e)
			case controller.Event:
				if reply, ok := e.(controller.OrderReply); ok && !reply.Failed {
					w.demand.record(w.granter.options.Clock(), reply.Upstream, reply.InFlight)
				}
				w.stepController(ctx, e)
			case framer.LoadReport:
				// Upstreams of services that are not keyed get no orders. Load reports are the only source of their
				// demand.
				w.demand.record(w.granter.options.Clock(), e.Upstream, e.InFlight)
				w.planner.loads.record(w.granter.options.Clock(), e)
			}
		}
	}
}

// interval returns the tick interval for the present role of this host.
func (w *worker) interval() time.Duration {
	lease := w.leaderLease.Load()
	switch {
	case lease != nil && lease.Term > 0:
		return tickInterval
	case w.granter.options.Clock()-w.lastPromise < recentPromise:
		return idleInterval
	default:
		return nonWitnessInterval
	}
}

func (w *worker) stepElector(ctx context.Context, event elector.Event) {
	now := w.granter.options.Clock()
	for _, action := range w.elector.Step(now, event) {
		switch a := action.(type) {
		case elector.SendConfirm:
			w.sendConfirm(a)
		case elector.ReadRecord:
			go w.readRecord(ctx, a)
		case elector.WriteRecord:
			go w.writeRecord(ctx, a)
		case elector.LeaderLease:
			w.leaderLease.Store(&a)
			w.stepController(ctx, controller.LeaderLease{Term: a.Term, Acquired: a.Acquired, Until: a.Until})
		case elector.Log:
			w.logElection(a)
		}
	}
}

func (w *worker) sendConfirm(a elector.SendConfirm) {
	if a.Witness != w.granter.options.Self {
		w.granter.options.Send(a.Witness, framer.Message{Service: w.service, Confirm: &a.Request})
		return
	}
	reply := w.granter.confirm(a.Request)
	w.enqueue(elector.ConfirmReply{Reply: reply})
}

func (w *worker) stepController(ctx context.Context, event controller.Event) {
	now := w.granter.options.Clock()
	for _, action := range w.controller.Step(now, event) {
		switch a := action.(type) {
		case controller.SendOrder:
			go w.sendOrder(ctx, a)
		case controller.SendLeases:
			w.sendLeases(a)
		case controller.WriteTable:
			go w.writeTable(ctx, a)
		case controller.ReadTable:
			go w.readTable(ctx, a)
		case controller.PublishTable:
			w.granter.options.PublishTable(w.service, a)
		case controller.PublishLeaderHeartbeat:
			w.publishLeaderHeartbeat(a)
		case controller.Resign:
			// The event is queued, because this code may run within a step of the elector.
			w.enqueue(elector.Resigned{})
		case controller.Log:
			w.logDecision(a)
		}
	}
}

func (w *worker) sendLeases(a controller.SendLeases) {
	if a.Host == w.granter.options.Self {
		w.granter.options.ApplyLeases(a)
		return
	}
	w.granter.options.Send(a.Host, framer.Message{Service: w.service, Leases: &a})
}

func (w *worker) publishLeaderHeartbeat(a controller.PublishLeaderHeartbeat) {
	w.heartbeatSeq++
	w.granter.options.PublishLeaderHeartbeat(framer.LeaderHeartbeat{
		Service:  a.Service,
		Term:     a.Term,
		Seq:      w.heartbeatSeq,
		Table:    a.Table,
		Revision: a.Revision,
		Holder:   w.granter.options.Self,
		InUse:    w.demand.peak(w.granter.options.Clock()),
	})
}

var electionEvents = map[elector.Code]eventlog.Event{
	elector.CandidacyStarted:    eventlog.TakeoverStarted,
	elector.LeaderLeaseAcquired: eventlog.ControllerActive,
	elector.LeaderLeaseLost:     eventlog.ControllerLost,
}

func (w *worker) logElection(a elector.Log) {
	event, ok := electionEvents[a.Code]
	if !ok {
		event = eventlog.ElectionProgress
	}
	w.granter.options.Log.Log(event, zap.String("service", w.service), zap.Uint64("term", a.Term), zap.Int("code", int(a.Code)))
}

func (w *worker) logDecision(a controller.Log) {
	event, ok := decisionEvents[a.Code]
	if !ok {
		event = eventlog.ControllerDecision
	}
	w.granter.options.Log.Log(event,
		zap.String("service", w.service), zap.Uint64("term", a.Term), zap.String("upstream", a.Upstream),
		zap.String("host", a.Host), zap.Int("slices", a.Slices))
}

var decisionEvents = map[controller.Code]eventlog.Event{
	controller.TakeoverStarted:       eventlog.TableTakeoverStarted,
	controller.TakeoverFinished:      eventlog.TableTakeoverFinished,
	controller.UpstreamRestarted:     eventlog.UpstreamRestarted,
	controller.UpstreamExpired:       eventlog.UpstreamExpired,
	controller.UpstreamReturned:      eventlog.UpstreamReturned,
	controller.MoveStarted:           eventlog.MoveStarted,
	controller.MoveFinished:          eventlog.SliceMoved,
	controller.ExcessRevoked:         eventlog.ExcessRevoked,
	controller.AssignedProvisionally: eventlog.AssignedProvisionally,
	controller.StoreUnavailable:      eventlog.StoreUnavailable,
	controller.StoreAvailable:        eventlog.StoreAvailable,
	controller.AdmissionAssigned:     eventlog.AdmissionAssigned,
	controller.AdmissionExpired:      eventlog.AdmissionExpired,
	controller.Superseded:            eventlog.ControllerSuperseded,
}
