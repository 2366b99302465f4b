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
	ringSize = 2048
	// tickInterval is the longest that elector and controller allow. Without the right to act only the start of a
	// candidacy depends on it, so idleInterval is enough. A host that is no witness, which shows in the absence of promises
	// for promiseMemory, stands only for a service without any controller; restInterval is enough there.
	tickInterval  = controller.TickInterval
	idleInterval  = 100 * time.Millisecond
	restInterval  = 500 * time.Millisecond
	promiseMemory = 10 * time.Second
)

// worker owns the elector and the controller of one service.
type worker struct {
	granter    *Granter
	service    string
	cancel     context.CancelFunc
	ring       chan any
	elector    *elector.Elector
	controller *controller.Controller
	planner    *planner
	beaconSeq  uint64
	promised   time.Duration // latest promise of the witness of this host, or the start of this worker
	demand     demand

	right      atomic.Pointer[elector.LeaderLease]
	recordTerm atomic.Uint64 // of the latest record that was read
	reading    atomic.Bool   // follow reads the record
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
		ring:    make(chan any, ringSize),
		elector: elector.New(elector.Options{
			Service: service,
			Self:    witness.Holder{Host: g.options.Self, Incarnation: g.options.Incarnation},
			Started: g.options.Clock(),
			Seed:    g.options.Seed ^ hasher.Sum(service),
		}),
		controller: controller.New(options),
		planner:    planner,
		promised:   g.options.Clock(),
	}
}

func (w *worker) put(event any) {
	select {
	case w.ring <- event:
	default:
		w.granter.options.Dropped(w.service)
	}
}

func (w *worker) putHosts(hosts Hosts) {
	w.put(elector.Hosts{Hosts: hosts.Elector})
	w.put(controller.Hosts{Hosts: hosts.Controller})
}

// follow reads the record when a promise shows a term that this host has not read. The condition of a candidate's write
// would otherwise name an outdated version, and the candidate would lose the time until its next attempt.
func (w *worker) follow(ctx context.Context, term uint64) {
	if w.recordTerm.Load() >= term || !w.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.reading.Store(false)
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
		case event := <-w.ring:
			switch e := event.(type) {
			case elector.Event:
				if _, ok := e.(elector.PromiseGranted); ok {
					w.promised = w.granter.options.Clock()
				}
				w.stepElector(ctx, e)
			case controller.Event:
				if reply, ok := e.(controller.OrderReply); ok && !reply.Failed {
					w.demand.note(w.granter.options.Clock(), reply.Upstream, reply.InFlight)
				}
				w.stepController(ctx, e)
			case framer.LoadReport:
				// Upstreams of services without keys get no orders, so that their demand is known from the reports only.
				w.demand.note(w.granter.options.Clock(), e.Upstream, e.InFlight)
				w.planner.loads.note(w.granter.options.Clock(), e)
			}
		}
	}
}

// interval returns the time until the next tick.
func (w *worker) interval() time.Duration {
	right := w.right.Load()
	switch {
	case right != nil && right.Term > 0:
		return tickInterval
	case w.granter.options.Clock()-w.promised < promiseMemory:
		return idleInterval
	default:
		return restInterval
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
			w.right.Store(&a)
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
	w.put(elector.ConfirmReply{Reply: reply})
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
			w.publishBeacon(a)
		case controller.Resign:
			// Queued, because this may run within a step of the elector.
			w.put(elector.Resigned{})
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

func (w *worker) publishBeacon(a controller.PublishLeaderHeartbeat) {
	w.beaconSeq++
	w.granter.options.PublishLeaderHeartbeat(framer.LeaderHeartbeat{
		Service:  a.Service,
		Term:     a.Term,
		Seq:      w.beaconSeq,
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
