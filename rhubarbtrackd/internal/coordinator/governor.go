// Package governor runs the controller of key ownership on the host that holds the record, and competes for the record
// on all others.
//
// It drives the state machines contender and keeper: one goroutine feeds them, and calls to the store and to upstreams
// run in goroutines of their own, whose answers come back as events.
//
// # Usage
//
//	g := governor.New(governor.Options{...})
//	go g.Run(ctx)
//	g.Resign(ctx)   // before the host shuts down
package coordinator

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/confirmer"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/orderer"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/resolver"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

const (
	// tickInterval is the pace of the state machines.
	tickInterval = 40 * time.Millisecond
	// recordTimeout bounds a call about the record. It leaves time for a second try within the right to act.
	recordTimeout = 500 * time.Millisecond
	// tableTimeout bounds a call about a table.
	tableTimeout = time.Second
	// grantTimeout is far above a round trip; upstreams answer grants at once.
	grantTimeout = 350 * time.Millisecond
	// releaseTimeout bounds a release, which waits for the work on the range.
	releaseTimeout = 1500 * time.Millisecond
	// tableWait is how long a host waits for the controller's table before it reads the stored one.
	tableWait = 1200 * time.Millisecond
	// announceInterval is the time between two announcements to a host that has not connected.
	announceInterval = time.Second
	// maxEvents bounds the events that wait for the loop. Senders wait when it is full.
	maxEvents = 256
	// maxGone bounds the addresses that are remembered of upstreams whose entries were removed.
	maxGone = 1024
)

// Options configures a Governor.
type Options struct {
	Host          string // unique for each run of the process
	Address       string // where other hosts connect
	TakeoverDelay time.Duration
	MaxLifetime   time.Duration
	FirstStart    bool // no tables are stored yet
	Store         *storer.Client
	Orders        *orderer.Client
	Follower      *follower.Follower
	Tables        *resolver.Tables
	Log           *eventlog.Logger
	Now           func() time.Duration
	// Report returns what this host has seen since the last call.
	Report func() connector.Report
	// OnHeartbeat is told of what the controller says, also when it is this host.
	OnHeartbeat func(connector.Heartbeat)
}

// run is the state of one service while this host is the controller.
type run struct {
	service  string
	keeper   *allocator.Allocator
	loaded   bool
	loading  bool
	revision int64
	view     allocator.RoutingTable
}

// Coordinator is driven by Run.
type Coordinator struct {
	options   Options
	contender *contender.Contender
	events    chan func()
	hub       *connector.Hub
	client    *connector.Client
	leader    atomic.Pointer[contender.Record]
	valid     atomic.Int64 // end of the right to act
	runs      map[string]*run
	lapsed    bool
	waiting   []func() // outcomes that came while the right had lapsed
	sent      map[*connector.Peer]map[string]allocator.RoutingTable
	addresses map[string]string
	loads     map[string]sighting
	confirmer *confirmer.Confirmer
	ended     map[string]int64 // upstreams whose end was confirmed, with their life
	suspects  int              // upstreams that hosts were asked to try
	reported  time.Duration
	announced time.Duration // when this controller last told hosts of itself
	heard     time.Duration
	began     time.Duration
	fetching  map[string]bool
	snapshot  *follower.Snapshot
	stopped   chan struct{}
	ctx       context.Context // of Run
	// copied is the copy of the store that each host has, as far as it was sent.
	copied map[*connector.Peer]*follower.Snapshot
	roster *roster
	whole  atomic.Bool // this host needs the controller's whole copy
}

type sighting struct {
	connector.LoadReport
	at time.Duration
}

// New returns a governor.
func New(options Options) *Coordinator {
	g := &Coordinator{
		options:   options,
		contender: contender.New(options.Now(), contender.Options{Name: options.Host, Address: options.Address, Delay: options.TakeoverDelay}),
		events:    make(chan func(), maxEvents),
		runs:      map[string]*run{},
		sent:      map[*connector.Peer]map[string]allocator.RoutingTable{},
		addresses: map[string]string{},
		loads:     map[string]sighting{},
		confirmer: confirmer.New(),
		ended:     map[string]int64{},
		fetching:  map[string]bool{},
		began:     options.Now(),
		stopped:   make(chan struct{}),
		copied:    map[*connector.Peer]*follower.Snapshot{},
		roster:    newRoster(options.Address),
	}
	g.hub = connector.NewHub(
		options.Host,
		func(peer *connector.Peer, report connector.Report) {
			g.post(func() {
				if report.NeedsFullCopy {
					delete(g.copied, peer)
				}
				g.takeReport(g.ctx, report)
			})
		},
		func(peer *connector.Peer, err error) {
			options.Log.Log(eventlog.HostLost, zap.String("host", peer.Host), eventlog.Cause(err))
			g.post(func() {
				delete(g.sent, peer)
				delete(g.copied, peer)
				g.roster.forget(peer)
			})
		},
	)
	g.client = connector.NewClient(connector.ClientOptions{
		Leader: g.leaderAddress,
		OnAddressReused: func(host string) {
			g.post(func() { g.vacate(host) })
		},
		Now:         options.Now,
		Report:      g.report,
		OnHeartbeat: func(beat connector.Heartbeat) { g.post(func() { g.takeBeat(beat) }) },
		OnConnect: func(address string) {
			options.Log.Log(eventlog.LeaderFollowed, zap.String("address", address))
		},
		OnDisconnect: func(address string, err error) {
			options.Log.Log(eventlog.LeaderDisconnected, zap.String("address", address), eventlog.Cause(err))
		},
	})
	return g
}

// Announcements takes the announcements of new controllers.
func (g *Coordinator) Announcements() http.Handler {
	return connector.AnnouncementHandler(func(a connector.Announcement) {
		g.post(func() {
			claim := contender.LeaseStatus{Term: a.Term, Revision: a.Revision, Remaining: a.Remaining}
			g.compete(g.ctx, contender.AnnouncementReceived{Lease: claim, Holder: a.Host, Address: a.Address})
		})
	})
}

// Hub accepts the connections of other hosts.
func (g *Coordinator) Hub() *connector.Hub { return g.hub }

// report returns what this host has seen, for the controller.
func (g *Coordinator) report() connector.Report {
	report := g.options.Report()
	report.NeedsFullCopy = g.whole.Swap(false)
	report.Address = g.options.Address
	return report
}

// vacate notes that the process of a controller has ended.
func (g *Coordinator) vacate(host string) {
	record := g.leader.Load()
	if record != nil && record.Holder == host {
		g.compete(g.ctx, contender.HolderStopped{Term: record.Term})
	}
}

func (g *Coordinator) leaderAddress() (host, address string) {
	record := g.leader.Load()
	if record == nil || record.Holder == g.options.Host {
		return "", ""
	}
	return record.Holder, record.Address
}

// post queues an event for the loop.
func (g *Coordinator) post(event func()) {
	select {
	case g.events <- event:
	case <-g.stopped:
	}
}

// Run competes for the record and acts as controller until ctx ends.
func (g *Coordinator) Run(ctx context.Context) {
	defer close(g.stopped)
	g.ctx = ctx
	go g.client.Run(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-g.events:
			event()
		case <-ticker.C:
			g.tick(ctx)
		}
	}
}

// Resign gives the role up. It returns when the store has confirmed that, or when ctx ends.
func (g *Coordinator) Resign(ctx context.Context) {
	g.post(func() { g.compete(ctx, contender.Resign{}) })
	for ctx.Err() == nil {
		done := make(chan bool, 1)
		g.post(func() { done <- !g.contender.IsHolder() })
		select {
		case <-ctx.Done():
			return
		case <-g.stopped:
			return
		case free := <-done:
			if free {
				return
			}
		}
		time.Sleep(tickInterval)
	}
}

func (g *Coordinator) tick(ctx context.Context) {
	now := g.options.Now()
	g.compete(ctx, contender.Tick{})
	g.valid.Store(0)
	if g.contender.Valid(now) {
		g.valid.Store(int64(now + g.contender.Remaining(now)))
	}
	snapshot := g.options.Follower.Snapshot()
	if snapshot != g.snapshot {
		g.snapshot = snapshot
		g.remember(snapshot)
	}
	if g.contender.IsHolder() {
		g.lead(ctx, now)
	} else {
		g.fetchTables(ctx, now)
	}
	if now >= g.reported+connector.ReportInterval {
		g.reported = now
		if g.contender.IsHolder() {
			g.takeReport(ctx, g.options.Report())
			g.broadcast(now)
		}
	}
}

// remember keeps the addresses of upstreams, since orders are also sent to those whose entries were removed.
func (g *Coordinator) remember(snapshot *follower.Snapshot) {
	if len(g.addresses) > maxGone+len(snapshot.Upstreams) {
		clear(g.addresses)
	}
	for id, life := range g.ended {
		if u, ok := snapshot.Upstreams[id]; !ok || u.Incarnation != life {
			delete(g.ended, id)
		}
	}
	for id, u := range snapshot.Upstreams {
		g.addresses[id] = u.Address
	}
}

// compete feeds the contender and carries out what it asks for.
func (g *Coordinator) compete(ctx context.Context, event contender.Event) {
	g.perform(ctx, g.contender.Step(g.options.Now(), event))
}

// perform carries the actions of the contender out.
func (g *Coordinator) perform(ctx context.Context, actions []contender.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case contender.Read:
			go g.readRecord(ctx)
		case contender.Write:
			go g.writeRecord(ctx, action.Record)
		case contender.Follow:
			record := action.Record
			g.leader.Store(&record)
			if record.Address == g.options.Address {
				// This process has the address now, so the former one has ended.
				g.compete(ctx, contender.HolderStopped{Term: record.Term})
			}
		case contender.Lead:
			g.options.Log.Log(eventlog.LeadershipGained, zap.Uint64("term", action.Term))
			g.leader.Store(&contender.Record{Holder: g.options.Host, Term: action.Term})
			g.options.Follower.StopRelay()
			g.announced = 0
			g.roster.begin(g.options.Now())
			g.runs = map[string]*run{}
			clear(g.ended)
			g.waiting = nil
			g.lapsed = false
		case contender.StepDown:
			g.options.Log.Log(eventlog.LeadershipLost, zap.Uint64("term", g.contender.Term()))
			g.runs = map[string]*run{}
			g.leader.Store(nil)
		}
	}
}

func (g *Coordinator) readRecord(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	object, err := g.options.Store.Get(callCtx, serializer.RecordKind, serializer.RecordName)
	var record contender.Record
	switch {
	case storer.KindOf(err) == storer.NotFound:
		err = nil
	case err == nil:
		record, err = serializer.DecodeRecord(object.Revision, object.Specification)
	}
	g.post(func() { g.compete(ctx, contender.ReadResult{Record: record, Err: err}) })
}

func (g *Coordinator) writeRecord(ctx context.Context, record contender.Record) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outcome := contender.WriteResult{SentAt: g.options.Now()}
	data, err := serializer.EncodeRecord(record, uint64(outcome.SentAt))
	if err == nil {
		var object storer.Object
		if record.Revision == 0 {
			object, err = g.options.Store.Create(callCtx, serializer.RecordKind, serializer.RecordName, data)
		} else {
			object, err = g.options.Store.Replace(callCtx, serializer.RecordKind, serializer.RecordName, record.Revision, data)
		}
		record.Revision = object.Revision
	}
	outcome.Record = record
	outcome.Err = err
	if current := conflicting(err); current != nil {
		if decoded, decodeErr := serializer.DecodeRecord(current.Revision, current.Specification); decodeErr == nil {
			outcome.Conflict, outcome.Record, outcome.Err = true, decoded, nil
		}
	}
	outcome.Rejected = storer.KindOf(outcome.Err) == storer.Unavailable
	if outcome.Err != nil {
		g.options.Log.Log(eventlog.RecordWriteFailed, zap.Uint64("term", record.Term), eventlog.Cause(err))
	}
	g.post(func() { g.compete(ctx, outcome) })
}

// takeBeat applies what the controller says.
func (g *Coordinator) takeBeat(beat connector.Heartbeat) {
	now := g.options.Now()
	if beat.Term < g.contender.Term() || g.contender.IsHolder() {
		return
	}
	g.heard = now
	if beat.Valid {
		g.compete(g.ctx, contender.HeartbeatReceived{Lease: contender.LeaseStatus{Term: beat.Term, Revision: beat.Revision, Remaining: beat.Remaining}})
	}
	for _, change := range beat.Tables {
		if change.Full {
			g.options.Tables.Replace(change.Service, change.Rows)
			continue
		}
		g.options.Tables.Overlay(change.Service, change.Rows)
	}
	if beat.HasCopy && !g.options.Follower.ApplyChange(beat.Copy) {
		g.whole.Store(true)
	}
	g.roster.adopt(now, beat.Addresses)
	g.options.OnHeartbeat(beat)
}

// fetchTables reads the stored tables when no controller has sent any, for example after the start.
func (g *Coordinator) fetchTables(ctx context.Context, now time.Duration) {
	if g.snapshot.Config == nil || (g.options.FirstStart && now < max(g.heard, g.began)+tableWait) {
		return
	}
	for name, service := range g.snapshot.Config.Services {
		if !service.Keyed || g.options.Tables.Has(name) || g.fetching[name] {
			continue
		}
		g.fetching[name] = true
		go g.fetchTable(ctx, name)
	}
}

func (g *Coordinator) fetchTable(ctx context.Context, service string) {
	table, _, err := g.readTable(ctx, service)
	g.post(func() {
		delete(g.fetching, service)
		if err != nil || g.options.Tables.Has(service) || len(table.Ranges) == 0 {
			return
		}
		view := make(allocator.RoutingTable, 0, len(table.Ranges))
		for _, row := range table.Ranges {
			view = append(view, allocator.Assignment{From: row.From, To: row.To, Owner: row.Owner})
		}
		g.options.Tables.Replace(service, view)
	})
	if err != nil {
		g.options.Log.Log(eventlog.TableRefused, zap.String("service", service), eventlog.Cause(err))
	}
}

func (g *Coordinator) readTable(ctx context.Context, service string) (serializer.Table, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	object, err := g.options.Store.Get(ctx, serializer.TableKind, service)
	if storer.KindOf(err) == storer.NotFound {
		return serializer.Table{}, 0, nil
	}
	if err != nil {
		return serializer.Table{}, 0, err
	}
	table, err := serializer.DecodeTable(object.Specification)
	return table, object.Revision, err
}

// usable reports whether an upstream may get keys.
func usable(snapshot *follower.Snapshot, u registrar.Upstream) bool {
	_, out := snapshot.TakenOut[u.Domain]
	return !u.Draining && !out
}
