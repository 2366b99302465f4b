// Package runner assembles the daemon: it builds the parts, joins them by function fields, opens the listeners and ends
// everything in order.
//
// # Usage
//
//	err := runner.Run(ctx, settings, logger)
//
// Run returns after a graceful shutdown, which begins when ctx is done: readiness is withdrawn, roles are handed on,
// requests in flight end, and only then the listeners close.
package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/rhubarbtrackd/internal/chooser"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/distributor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
	"rhubarbtrack.example/rhubarbtrackd/internal/granter"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
	"rhubarbtrack.example/rhubarbtrackd/internal/messenger"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/receiver"
	"rhubarbtrack.example/rhubarbtrackd/internal/scheduler"
	"rhubarbtrack.example/rhubarbtrackd/internal/securer"
	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
)

const (
	// treeSeed orders the hosts of the relay tree. It is the same on every host.
	treeSeed          = 1
	heartbeatInterval = 200 * time.Millisecond
	refreshInterval   = 250 * time.Millisecond
	statusInterval    = time.Second
	planInterval      = 2 * time.Second
	reloadInterval    = 10 * time.Second
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	dialTimeout       = 500 * time.Millisecond
	// upstreamConnections bounds the connections of the admission host to one upstream: its slots at today's sizes are
	// 6, and requests beyond the admission limit are never sent.
	upstreamConnections = 64
	// peerConnections bounds the data connections to one other host.
	peerConnections = 256
	// leaveDelay lets the balancer and the platform's lagging host list notice that this host is leaving.
	leaveDelay = 2 * time.Second
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	ListenFailed Kind = iota + 1
	ServeFailed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// daemon holds the parts of one process.
type daemon struct {
	settings    settings.Settings
	incarnation string
	secure      *securer.Securer // nil without TLS
	log         *eventlog.Logger
	clock       func() time.Duration
	meter       *meter.Meter
	store       *storer.Client
	locator     *locator.Locator
	peerer      *messenger.Messenger
	distributor *distributor.Distributor
	granter     *granter.Granter
	dispatcher  *dispatcher.Dispatcher
	forwarder   *forwarder.Forwarder
	receiver    *receiver.Receiver
	chooser     *chooser.Chooser
	suspector   *suspector.Suspector
	operators   *operators
	scheduler   *scheduler.Scheduler
	stopping    atomic.Bool
	served      atomic.Bool   // every service has been served since the start
	announced   atomic.Uint32 // framer.MemberState of the last SetState
}

// Run serves until ctx is done, then shuts down gracefully.
func Run(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	log := eventlog.New(logger.With(zap.String("host", s.Name)))
	d, err := assemble(s, log)
	if err != nil {
		log.Log(eventlog.TLSFailed, zap.Error(err))
		return err
	}
	listeners, err := d.listen()
	if err != nil {
		d.log.Log(eventlog.ListenFailed, zap.Error(err))
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.distributor.Run(background)
	go d.every(background, heartbeatInterval, d.sendHeartbeats)
	go d.every(background, refreshInterval, d.refresh)
	go d.every(background, statusInterval, d.recordStatus)
	go d.every(background, planInterval, func(time.Duration) { d.plan(background) })
	go d.every(background, maintainInterval, d.operators.maintain)
	if d.secure != nil {
		go d.every(background, reloadInterval, d.reloadTLS)
	}
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { failed <- l.server.Serve(l.socket) }()
	}
	d.log.Log(eventlog.DaemonStarted,
		zap.String("caller-listen", listeners[0].socket.Addr().String()),
		zap.String("peer-listen", listeners[1].socket.Addr().String()),
		zap.String("operator-listen", listeners[2].socket.Addr().String()))
	select {
	case err := <-failed:
		d.log.Log(eventlog.ListenFailed, zap.Error(err))
		return &Error{Op: "serve", Kind: ServeFailed, Err: err}
	case <-ctx.Done():
	}
	d.shutdown(listeners, cancel)
	return nil
}

type listener struct {
	socket net.Listener
	server *http.Server
}

func (d *daemon) listen() ([]listener, error) {
	peers := http.NewServeMux()
	peers.Handle("/peer/", d.peerer.Handler())
	forward := d.forwarder.Handler()
	links := linker{secure: d.secure}
	wanted := []struct {
		address string
		handler http.Handler
		secured bool
	}{
		{d.settings.CallerListen, d.receiver, false}, // the platform's balancer ends the callers' TLS
		{d.settings.PeerListen, peerHandler(peers, forward), true},
		{d.settings.OperatorListen, d.operators.handler(), true},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true) // gRPC tools without TLS
	var listeners []listener
	for _, w := range wanted {
		socket, err := net.Listen("tcp", w.address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.socket.Close()
			}
			return nil, &Error{Op: "listen on " + w.address, Kind: ListenFailed, Err: errors.WithStack(err)}
		}
		if w.secured {
			socket = links.secured(socket)
		}
		listeners = append(listeners, listener{socket: socket, server: &http.Server{
			Protocols:         protocols,
			Handler:           w.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}})
	}
	return listeners, nil
}

// shutdown ends the process without cutting a request.
func (d *daemon) shutdown(listeners []listener, cancel context.CancelFunc) {
	d.log.Log(eventlog.DaemonStopping)
	d.stopping.Store(true)
	d.distributor.SetState(framer.Leaving)
	ctx, done := context.WithTimeout(context.Background(), d.settings.ShutdownGrace)
	defer done()
	d.awaitHandover(ctx)
	for _, l := range listeners {
		_ = l.server.Shutdown(ctx)
	}
	cancel()
	d.granter.Close()
	d.dispatcher.Close()
	d.peerer.Close()
	_ = d.meter.Close()
	d.log.Log(eventlog.DaemonStopped)
}

// awaitHandover waits until this host admits to no upstream, so that no request of another entry host is turned away.
func (d *daemon) awaitHandover(ctx context.Context) {
	timer := time.NewTimer(leaveDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for len(d.dispatcher.Statuses(d.clock())) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *daemon) every(ctx context.Context, interval time.Duration, task func(now time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task(d.clock())
		}
	}
}

// ready reports whether the balancer may send callers to this host. It waits for an admission host of every service only
// once: later all hosts lose one at the same time, for instance while a service is added, and the other services must not
// become unreachable by that.
func (d *daemon) ready() bool {
	if d.leaving() || !d.distributor.Connected() || !d.locator.AllFresh(d.clock()) {
		return false
	}
	if !d.served.Load() && d.locator.AllServed() {
		d.served.Store(true)
	}
	return d.served.Load()
}

// leaving reports whether this host should get no new roles and no new callers: it shuts down, or its failure domain is
// taken out of service. It still handles what reaches it.
func (d *daemon) leaving() bool {
	return d.stopping.Load() || d.locator.Config().FailureDomains[d.settings.FailureDomain].TakenOut
}

func (d *daemon) refresh(now time.Duration) {
	d.locator.Refresh(now)
	state := framer.Live
	if d.leaving() {
		state = framer.Leaving
	}
	if framer.MemberState(d.announced.Swap(uint32(state))) != state {
		d.distributor.SetState(state)
	}
	// A host whose failure domain is taken out keeps its controller roles until it stops: a successor needs the store, and
	// giving a role up while the store is faulty would stop the service.
	if d.stopping.Load() && d.replaceable() {
		d.granter.Resign()
	}
}

// replaceable reports whether another host may take the roles of this one.
func (d *daemon) replaceable() bool {
	for name, member := range d.locator.Members() {
		if name != d.settings.Name && member.State == framer.Live {
			return true
		}
	}
	return false
}

func (d *daemon) reloadTLS(time.Duration) {
	changed, err := d.secure.Reload()
	if err != nil {
		d.log.Log(eventlog.TLSFailed, zap.Error(err))
	} else if changed {
		d.log.Log(eventlog.TLSReloaded)
	}
}

func (d *daemon) recordStatus(now time.Duration) {
	for _, status := range d.dispatcher.Statuses(now) {
		d.meter.Admission(status.Service, status.Upstream, status.Limit, status.InFlight, status.Queued)
	}
	d.meter.Terms(d.granter.ControlledServices())
	d.meter.Relay(d.distributor.Connected(), d.locator.Config().Revision)
}

func newIncarnation() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

func seedOf(s settings.Settings) uint64 {
	if s.Seed != 0 {
		return s.Seed
	}
	return hasher.Sum(s.Name)
}

// upstream returns the configuration of an upstream by its id.
func (d *daemon) upstream(_, id string) (configurator.Upstream, bool) {
	upstream, ok := d.locator.Config().Upstreams[id]
	return upstream, ok
}

func (d *daemon) keyed(service string) bool {
	return d.locator.Config().Services[service].Keyed
}

func (d *daemon) self() framer.Member {
	return framer.Member{
		Name:          d.settings.Name,
		Address:       d.settings.PeerAdvertise,
		FailureDomain: d.settings.FailureDomain,
		State:         framer.Live,
	}
}
