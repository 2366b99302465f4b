// Package granter runs the components of this host that grant ownership: the witness, and for every service the elector
// and the controller.
//
// Each service has one goroutine that owns its elector and its controller. Messages of other hosts and replies of the
// store and of upstreams reach it through a bounded queue. When the queue is full, the message is dropped. This is safe
// because every message of the protocol is repeated until a reply arrives.
//
// # Usage
//
//	g := granter.New(options)
//	g.SetConfig(snapshot)           // starts and stops services
//	g.SetHosts(hosts)
//	g.Receive("host-2", message)    // a control message of another host
package granter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/elector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/witness"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

// Options configure a granter. The functions must be safe for concurrent use.
type Options struct {
	Self                   string
	Incarnation            string
	FailureDomain          string
	Seed                   uint64
	Clock                  func() time.Duration
	Store                  *storer.Client
	Transport              http.RoundTripper // for requests to upstreams
	Scheme                 string            // http or https, for requests to upstreams
	Send                   func(host string, message framer.Message)
	ApplyLeases            func(message controller.SendLeases)
	PublishTable           func(service string, action controller.PublishTable)
	PublishLeaderHeartbeat func(heartbeat framer.LeaderHeartbeat)
	Dropped                func(service string)
	Log                    *eventlog.Logger
}

// Hosts lists the hosts that may take roles, in the types of packages controller and elector. The two lists may differ.
type Hosts struct {
	Controller []controller.Host
	Elector    []elector.Host
}

// Granter is safe for concurrent use.
type Granter struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu       sync.Mutex
	witness  *witness.Witness
	services map[string]*worker
	hosts    Hosts
	snapshot *configurator.Snapshot
}

// New returns a granter without services. Close stops its goroutines.
func New(options Options) *Granter {
	ctx, cancel := context.WithCancel(context.Background())
	return &Granter{
		options:  options,
		ctx:      ctx,
		cancel:   cancel,
		witness:  witness.New(witness.Options{Host: options.Self, Started: options.Clock()}),
		services: map[string]*worker{},
	}
}

// Close stops all services and waits for their goroutines.
func (g *Granter) Close() {
	g.cancel()
	g.wait.Wait()
}

// SetConfig sets the applied configuration, and starts and stops services accordingly. The caller must not modify the
// snapshot afterwards.
func (g *Granter) SetConfig(snapshot *configurator.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapshot = snapshot
	for name := range snapshot.Services {
		if g.services[name] == nil {
			g.startLocked(name)
		}
	}
	for name, w := range g.services {
		if _, ok := snapshot.Services[name]; !ok {
			w.cancel()
			delete(g.services, name)
			continue
		}
		w.enqueue(controller.Configured{Snapshot: snapshot})
	}
}

// SetHosts replaces the hosts that may take roles.
func (g *Granter) SetHosts(hosts Hosts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = hosts
	for _, w := range g.services {
		w.enqueueHosts(hosts)
	}
}

func (g *Granter) startLocked(service string) {
	ctx, cancel := context.WithCancel(g.ctx)
	w := newWorker(g, service, cancel)
	g.services[service] = w
	w.enqueueHosts(g.hosts)
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		w.loop(ctx)
	}()
}

func (g *Granter) service(name string) *worker {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// Receive handles a control message of another host or of this host. The caller handles lease messages, which are for
// the admission role. Requests to the witness get a reply for any service. Other messages for an unknown service are
// dropped.
func (g *Granter) Receive(from string, message framer.Message) {
	if message.Confirm != nil {
		reply := g.confirm(*message.Confirm)
		g.options.Send(from, framer.Message{Service: message.Service, Confirmed: &reply})
		return
	}
	w := g.service(message.Service)
	if w == nil {
		return
	}
	switch {
	case message.Confirmed != nil:
		w.enqueue(elector.ConfirmReply{Reply: *message.Confirmed})
	case message.Heartbeat != nil:
		w.enqueue(*message.Heartbeat)
	case message.StopAnswer != nil:
		w.enqueue(*message.StopAnswer)
	case message.LeaseReturned != nil:
		w.enqueue(*message.LeaseReturned)
	case message.Load != nil:
		w.enqueue(*message.Load)
	}
}

// confirm passes a request to the witness of this host. If the witness grants a request that is not a probe, the
// elector receives the promise, which shows that a controller is active.
func (g *Granter) confirm(request witness.Request) witness.Reply {
	g.mu.Lock()
	reply := g.witness.Confirm(g.options.Clock(), request)
	w := g.services[request.Service]
	g.mu.Unlock()
	if reply.Granted && !request.Probe && w != nil {
		w.enqueue(elector.PromiseGranted{Holder: request.Holder})
		w.refreshRecord(g.ctx, request.Term)
	}
	return reply
}

func (g *Granter) observeRecord(record witness.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.witness.Observe(record)
}

// Resign resigns every leader lease of this host, so that another host can take over while this host still runs.
func (g *Granter) Resign() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.services {
		if lease := w.leaderLease.Load(); lease != nil && lease.Term > 0 {
			w.enqueue(elector.Resigned{})
		}
	}
}

// ControlledServices returns the services whose leader lease this host holds now, with the terms of the leases.
func (g *Granter) ControlledServices() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	terms := map[string]uint64{}
	now := g.options.Clock()
	for name, w := range g.services {
		if lease := w.leaderLease.Load(); lease != nil && lease.Term > 0 && now < lease.Until {
			terms[name] = lease.Term
		}
	}
	return terms
}
