// Package coordinator runs the controller of key ownership on the host that holds the lease record, and takes part in
// the election on all other hosts.
//
// It drives two kinds of state machines: the contender, which takes part in the election, and one allocator for each
// keyed service. One goroutine steps them, so they need no locks. Calls to the store and to upstreams run in goroutines
// of their own, and their results come back as events, so a slow call does not delay the renewal of the lease.
//
// # Usage
//
//	c := coordinator.New(coordinator.Options{...})
//	go c.Run(ctx)
//	c.Resign(ctx) // before the host shuts down
package coordinator

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/failuredetector"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/profiler"
	"rhubarbtrack.example/platform/orderer"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
	"rhubarbtrack.example/rhubarbtrackd/internal/resolver"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
)

const (
	// tickInterval is the interval at which the state machines are stepped.
	tickInterval = 40 * time.Millisecond
	// recordTimeout bounds a read or write of the lease record. It leaves time for a second attempt within the lease.
	recordTimeout = 500 * time.Millisecond
	// tableTimeout bounds a read or write of an ownership table.
	tableTimeout = time.Second
	// tableReadInterval is the time between two reads of a table that cannot be read.
	tableReadInterval = 300 * time.Millisecond
	// grantTimeout is far above a round trip, because upstreams respond to grants without waiting for other work.
	grantTimeout = 350 * time.Millisecond
	// releaseTimeout bounds a release. The upstream responds after its work on the range is finished.
	releaseTimeout = 1500 * time.Millisecond
	// tableWait is how long a host waits for the controller to send tables before it reads the stored ones.
	tableWait = 1200 * time.Millisecond
	// announceInterval is the time between two announcements to a host that has not connected.
	announceInterval = time.Second
	// maxEvents bounds the queue of the event loop. Senders block while it is full.
	maxEvents = 256
	// settleTime is how long a controller that is to resign waits for the end of moves. It leaves most of the grace time of
	// the host for the write to the store.
	settleTime = 2 * time.Second
	// panicPause is how long a host that resigned after a panic leaves the role to others.
	panicPause = 5 * time.Second
	// maxRemovedAddresses bounds the number of addresses kept of upstreams whose entries were removed.
	maxRemovedAddresses = 1024
)

// Options configures a Coordinator.
type Options struct {
	Host          string        // unique for each incarnation of the process
	Address       string        // at which other hosts connect
	TakeoverDelay time.Duration // added before a takeover; shorter on hosts that suit the role better
	Fitness       float64       // for the role of the controller, see package qualifier
	LinkRate      float64       // bytes per second of the host's network link; 0: unknown
	MaxLifetime   time.Duration // of a grant
	FirstStart    bool          // no tables are stored yet
	Store         *storer.Client
	Orders        *orderer.Client
	Follower      *follower.Follower
	Tables        *resolver.Tables
	Log           *eventlog.Logger
	Now           func() time.Duration
	// Report returns what this host has observed since the last call.
	Report func() connector.Report
	// OnHeartbeat is called with every heartbeat of the controller, also when this host is the controller.
	OnHeartbeat func(connector.Heartbeat)
	// Suspector holds the requests that crash upstreams. Its reports are passed to ShareSignature.
	Suspector *suspector.Suspector
	// OnDisproved is called with signatures that the controller suspects or blocks, and that this host trusts. They belong
	// into the next report.
	OnDisproved func(signatures ...uint64)
	// CountBytes is called with the size of each message to or from another host. It may be nil.
	CountBytes func(sent, received int)
	// Panics contains panics in the handling of an event. This host then resigns as controller.
	Panics *recoverer.Recoverer
	// OnSent is called with the bytes that this host has sent to others as controller, and OnShed with the number of entries
	// of a part of its messages that did not fit. Both may be nil.
	OnSent func(bytes int)
	OnShed func(part string, entries int)
	// QuotaBounds returns the bounds of the requests of client accounts. It may be nil if there are none.
	QuotaBounds func() apportioner.Bounds
	// OnGrants is called with tokens of client accounts for this host while it is the controller, between two heartbeats. They were
	// made at madeAt or later.
	OnGrants func(madeAt time.Duration, term uint64, grants apportioner.Grants)
}

// leavingTimeout is how long a leaving notice counts after the last report that contains it. Hosts repeat it with each report.
const leavingTimeout = 5 * time.Second

// serviceState is the state of one service while this host is the controller.
type serviceState struct {
	service      string
	allocator    *allocator.Allocator
	loaded       bool
	loading      bool
	nextLoad     time.Duration
	lostAt       time.Duration // when this controller found that the stored table is unreadable; 0: it is not
	version      storer.Version
	routingTable allocator.RoutingTable
}

// Coordinator takes part in the election and acts as controller while this host holds the lease. Its state is owned by
// the goroutine of Run.
type Coordinator struct {
	options          Options
	contender        *contender.Contender
	events           chan func()
	hub              *connector.Hub
	client           *connector.Client
	leader           atomic.Pointer[contender.Record] // lease record of the known controller; nil if there is none
	leaseEnd         atomic.Int64                     // nanoseconds on the clock of Options.Now; 0 without a valid lease
	services         map[string]*serviceState         // by name; only filled while this host is the controller
	leaseExpired     bool
	resigned         bool                                                  // the host has resigned for good
	deferred         []func()                                              // events that arrived while the lease was expired
	sentTables       map[*connector.Peer]map[string]allocator.RoutingTable // last table sent to each host, by service
	addresses        map[identifier.Incarnation]string                     // including upstreams that were removed
	loads            *sharedLoads
	failures         *failuredetector.Detector
	leaving          map[identifier.Incarnation]time.Duration // time of the last report that the upstream leaves
	sentDoubted      int                                      // number of doubted upstreams in the last broadcast
	lastReport       time.Duration
	lastAnnouncement time.Duration // 0 before the first one of this term
	lastHeartbeat    time.Duration
	started          time.Duration
	fetching         map[string]bool // services whose stored table is being read
	nextFetch        map[string]time.Duration
	snapshot         *follower.Snapshot
	confirmedAt      time.Duration   // of the configuration of snapshot, or of a later one, see follower.ConfirmedAt
	stopped          chan struct{}   // closed when Run returns
	ctx              context.Context // of Run
	// sentSnapshots holds the last snapshot of the store that was sent to each host.
	sentSnapshots map[*connector.Peer]*follower.Snapshot
	// resumed holds the digests of the copies that hosts had when they connected, if the next change applies to these.
	resumed      map[*connector.Peer]uint64
	fullEntries  int                      // entries of full states sent since the last broadcast
	sentRunTimes map[*connector.Peer]bool // hosts that have received the run times of all upstreams
	// sentSignatures holds the hosts that have received the statuses of all signatures.
	sentSignatures map[*connector.Peer]bool
	profiler       *profiler.Profiler
	hostList       *hostList
	signatures     signatureQueue
	blockedWrites  int           // writes of blocked requests in progress
	reportSoon     chan struct{} // has a value when the next report must not wait
	needsFullCopy  atomic.Bool   // the next report requests the controller's full copy of the store
	connected      atomic.Bool   // the next report is the first one of a connection
	declines       atomic.Bool   // this host has resigned and does not take the role at present
	resumeFailed   atomic.Bool   // the host has no copy that the relay can resume on
	reportBlocked  atomic.Bool   // the next report lists the blocked signatures
	pacing         pacing
	quotas         quotas
	generation     int64                                   // of the store, the latest that the state machines know
	generationAt   time.Duration                           // when this host first knew of the present generation of the store
	removed        map[identifier.Incarnation]removedEntry // upstreams whose entries were removed lately
	isRouted       bool                                    // the routing tables of this host are from a controller, which this one may be
	reportingSoon  atomic.Bool                             // an event for a report of this host is queued
}

// New returns a Coordinator that does nothing until Run is called.
func New(options Options) *Coordinator {
	if options.OnSent == nil {
		options.OnSent = func(int) {}
	}
	if options.OnShed == nil {
		options.OnShed = func(string, int) {}
	}
	c := &Coordinator{
		options: options,
		contender: contender.New(options.Now(), contender.Options{
			Name: options.Host, Address: options.Address, Delay: options.TakeoverDelay, FirstStart: options.FirstStart,
		}),
		events:         make(chan func(), maxEvents),
		services:       map[string]*serviceState{},
		sentTables:     map[*connector.Peer]map[string]allocator.RoutingTable{},
		addresses:      map[identifier.Incarnation]string{},
		loads:          newSharedLoads(),
		failures:       failuredetector.New(),
		leaving:        map[identifier.Incarnation]time.Duration{},
		fetching:       map[string]bool{},
		nextFetch:      map[string]time.Duration{},
		started:        options.Now(),
		stopped:        make(chan struct{}),
		sentSnapshots:  map[*connector.Peer]*follower.Snapshot{},
		resumed:        map[*connector.Peer]uint64{},
		sentRunTimes:   map[*connector.Peer]bool{},
		sentSignatures: map[*connector.Peer]bool{},
		reportSoon:     make(chan struct{}, 1),
		profiler:       profiler.New(),
		hostList:       newHostList(options.Address),
		pacing:         newPacing(options.Now(), options),
		quotas:         newQuotas(),
		removed:        map[identifier.Incarnation]removedEntry{},
	}
	c.hub = connector.NewHub(
		options.Host,
		func(peer *connector.Peer, report connector.Report) {
			c.post(func() {
				if report.NeedsFullCopy {
					delete(c.sentSnapshots, peer)
					delete(c.resumed, peer)
				}
				c.pacing.fitness[peer] = report.Fitness
				c.resumeCopy(peer, report)
				c.handleReport(report)
				c.handleQuotas(peer, report.Quotas)
				if c.contender.IsHolder() && c.signatures.hasBlocked() {
					c.broadcast(c.options.Now())
				}
			})
		},
		func(peer *connector.Peer, err error) {
			options.Log.Log(eventlog.HostLost, zap.String("host", peer.Host), eventlog.Cause(err))
			c.post(func() {
				delete(c.sentTables, peer)
				delete(c.sentSnapshots, peer)
				delete(c.resumed, peer)
				delete(c.sentRunTimes, peer)
				delete(c.sentSignatures, peer)
				delete(c.pacing.fitness, peer)
				c.hostList.removePeer(peer)
				c.quotas.controller.Remove(peer)
			})
		},
	)
	c.hub.CountBytes = options.CountBytes
	c.client = connector.NewClient(connector.ClientOptions{
		Leader:     c.leaderAddress,
		CountBytes: options.CountBytes,
		OnAddressReused: func(host string) {
			c.post(func() { c.controllerStopped(host) })
		},
		Now:         options.Now,
		Panics:      options.Panics,
		Report:      c.report,
		ReportSoon:  c.reportSoon,
		OnHeartbeat: func(heartbeat connector.Heartbeat) { c.post(func() { c.handleHeartbeat(heartbeat) }) },
		OnConnect: func(address string) {
			c.reportBlocked.Store(true)
			c.connected.Store(true)
			options.Log.Log(eventlog.LeaderFollowed, zap.String("address", address))
		},
		OnDisconnect: func(address string, err error) {
			options.Log.Log(eventlog.LeaderDisconnected, zap.String("address", address), eventlog.Cause(err))
		},
	})
	return c
}

// Announcements returns the handler for announcements of new controllers.
func (c *Coordinator) Announcements() http.Handler {
	return connector.AnnouncementHandler(func(a connector.Announcement) {
		c.post(func() {
			lease := contender.LeaseStatus{Term: a.Term, Revision: a.Revision, Remaining: a.Remaining}
			c.stepElection(c.ctx, contender.AnnouncementReceived{Lease: lease, Holder: a.Host, Address: a.Address})
		})
	})
}

// FetchConfiguration returns the configuration of the controller that this host follows. known is that of this host, or nil.
func (c *Coordinator) FetchConfiguration(ctx context.Context, known []byte) ([]byte, error) {
	host, address := c.leaderAddress()
	if host == "" {
		return nil, &connector.Error{Op: "fetch configuration", Kind: connector.Disconnected, Err: errors.New("no controller is known")}
	}
	return connector.FetchConfiguration(ctx, address, known)
}

// Hub returns the handler that accepts connections of other hosts.
func (c *Coordinator) Hub() *connector.Hub { return c.hub }

// report returns the next report to the controller. It clears needsFullCopy and reportBlocked.
func (c *Coordinator) report() connector.Report {
	report := c.options.Report()
	if c.reportBlocked.Swap(false) {
		report.Blocked = c.options.Suspector.Blocked(c.options.Now())
	}
	report.NeedsFullCopy = c.needsFullCopy.Swap(false)
	report.Address, report.Fitness = c.options.Address, c.options.Fitness
	if c.declines.Load() {
		report.Fitness = 0 // the controller hands the role over to no host that would leave it to others
	}
	connected, failed := c.connected.Swap(false), c.resumeFailed.Swap(false)
	if !failed && (connected || !c.options.Follower.Relayed()) {
		report.CopyDigest = c.options.Follower.Snapshot().Digest()
	}
	return report
}

// controllerStopped is called when the process of the given controller is known to have stopped.
func (c *Coordinator) controllerStopped(host string) {
	record := c.leader.Load()
	if record != nil && record.Holder == host {
		c.stepElection(c.ctx, contender.HolderStopped{Term: record.Term})
	}
}

func (c *Coordinator) leaderAddress() (host, address string) {
	record := c.leader.Load()
	if record == nil || record.Holder == c.options.Host {
		return "", ""
	}
	return record.Holder, record.Address
}

// post queues an event for the loop. It drops the event after Run has returned.
func (c *Coordinator) post(event func()) {
	select {
	case c.events <- event:
	case <-c.stopped:
	}
}

// Run takes part in the election and acts as controller while this host holds the lease. It returns when ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.stopped)
	c.ctx = ctx
	go c.client.Run(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			c.contain(ctx, event)
		case <-ticker.C:
			c.contain(ctx, func() { c.tick(ctx) })
		}
	}
}

// contain calls f on the goroutine of Run. After a panic, the state of the allocators may be inconsistent, so this host
// discards it and resigns. The successor starts from the stored tables.
func (c *Coordinator) contain(ctx context.Context, f func()) {
	if c.options.Panics.Do("coordinate", f) {
		return
	}
	c.services = map[string]*serviceState{}
	c.deferred = nil
	c.options.Panics.Do("resign", func() { c.stepElection(ctx, contender.Resign{Pause: panicPause}) })
}

// spawn calls f on a goroutine of its own. After a panic, no result of f arrives, so this host resigns as controller.
func (c *Coordinator) spawn(ctx context.Context, f func()) {
	go func() {
		if !c.options.Panics.Do("call", f) {
			c.post(func() { c.stepElection(ctx, contender.Resign{Pause: panicPause}) })
		}
	}()
}

func (c *Coordinator) tick(ctx context.Context) {
	now := c.options.Now()
	c.pacing.observeTick(now)
	c.observeGeneration(ctx, now)
	c.stepElection(ctx, contender.Tick{})
	c.quotas.observeTerm(now, c.quotaBounds().Window, c.contender.Term())
	c.leaseEnd.Store(0)
	if c.contender.Valid(now) {
		c.leaseEnd.Store(int64(now + c.contender.Remaining(now)))
	}
	c.confirmedAt = c.options.Follower.ConfirmedAt(now) // before the snapshot, see there
	snapshot := c.options.Follower.Snapshot()
	if snapshot != c.snapshot {
		c.recordRemoved(now, c.snapshot, snapshot)
		c.snapshot = snapshot
		c.updateAddresses(snapshot)
	}
	c.storeBlocked(ctx)
	if c.contender.IsHolder() {
		c.runController(ctx, now)
		c.settleCrashes(now)
	} else {
		c.signatures.takeChanged() // the controller sends them
		c.fetchTables(ctx, now)
	}
	if now >= c.lastReport+connector.ReportInterval || (c.contender.IsHolder() && c.signatures.hasBlocked()) {
		c.lastReport = now
		if c.contender.IsHolder() {
			c.handleOwnReport()
			c.broadcast(now)
		}
	}
}

// updateAddresses records the addresses of upstreams. Addresses of removed entries are kept, because orders are also
// sent to upstreams whose entries were removed.
func (c *Coordinator) updateAddresses(snapshot *follower.Snapshot) {
	if len(c.addresses) > maxRemovedAddresses+len(snapshot.Upstreams) {
		clear(c.addresses)
	}
	isListed := func(upstream identifier.Incarnation) bool { _, ok := snapshot.Upstream(upstream); return ok }
	c.failures.Forget(isListed)
	c.profiler.Forget(isListed)
	maps.DeleteFunc(c.leaving, func(upstream identifier.Incarnation, _ time.Duration) bool { return !isListed(upstream) })
	for _, u := range snapshot.Upstreams {
		c.addresses[u.Incarnation] = u.Address
	}
}
