// Package granter runs the ownership side of this host: its witness, and for every service the elector and the
// controller.
//
// Each service has one goroutine that owns its elector and its controller. Messages, answers of the store and of
// upstreams reach it over a bounded ring. When the ring is full, the message is dropped, because every message of the
// protocol is repeated until it is answered.
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

// Options of a granter. Function fields connect it to the rest of the process.
type Options struct {
	Self                   string
	Incarnation            string
	FailureDomain          string
	Seed                   uint64
	Clock                  func() time.Duration
	Store                  *storer.Client
	Transport              http.RoundTripper // towards upstreams
	Scheme                 string            // http or https towards upstreams
	Send                   func(host string, message framer.Message)
	ApplyLeases            func(message controller.SendLeases)
	PublishTable           func(service string, action controller.PublishTable)
	PublishLeaderHeartbeat func(beacon framer.LeaderHeartbeat)
	Dropped                func(service string)
	Log                    *eventlog.Logger
}

// Hosts are the hosts that may take roles, in the two forms in which the deciding packages know them.
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

// New returns a granter without services.
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

// Close ends all services and waits for their goroutines.
func (g *Granter) Close() {
	g.cancel()
	g.wait.Wait()
}

// SetConfig takes the configuration in force. It must not change later.
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
		w.put(controller.Configured{Snapshot: snapshot})
	}
}

// SetHosts takes the hosts that may take roles.
func (g *Granter) SetHosts(hosts Hosts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = hosts
	for _, w := range g.services {
		w.putHosts(hosts)
	}
}

func (g *Granter) startLocked(service string) {
	ctx, cancel := context.WithCancel(g.ctx)
	w := newWorker(g, service, cancel)
	g.services[service] = w
	w.putHosts(g.hosts)
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

// Receive takes a control message of another host, or of this one. Messages for a host's admission role are not for
// this package.
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
		w.put(elector.ConfirmReply{Reply: *message.Confirmed})
	case message.Heartbeat != nil:
		w.put(*message.Heartbeat)
	case message.StopAnswer != nil:
		w.put(*message.StopAnswer)
	case message.LeaseReturned != nil:
		w.put(*message.LeaseReturned)
	case message.Load != nil:
		w.put(*message.Load)
	}
}

// confirm asks the witness of this host and tells the elector that a controller is alive.
func (g *Granter) confirm(request witness.Request) witness.Reply {
	g.mu.Lock()
	reply := g.witness.Confirm(g.options.Clock(), request)
	w := g.services[request.Service]
	g.mu.Unlock()
	if reply.Granted && !request.Probe && w != nil {
		w.put(elector.PromiseGranted{Holder: request.Holder})
		w.follow(g.ctx, request.Term)
	}
	return reply
}

func (g *Granter) learn(record witness.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.witness.Observe(record)
}

// Resign gives up every right to act of this host, so that another host takes over while this one still runs.
func (g *Granter) Resign() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range g.services {
		if right := w.right.Load(); right != nil && right.Term > 0 {
			w.put(elector.Resigned{})
		}
	}
}

// ControlledServices returns the services of which this host is the controller, with their terms.
func (g *Granter) ControlledServices() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	holding := map[string]uint64{}
	now := g.options.Clock()
	for name, w := range g.services {
		if right := w.right.Load(); right != nil && right.Term > 0 && now < right.Until {
			holding[name] = right.Term
		}
	}
	return holding
}
