// Package runner runs the daemon: it creates the components, connects them through function fields, opens the
// listeners, and shuts everything down in order.
//
// # Usage
//
//	err := runner.Run(ctx, settings, logger)
//
// Run returns after a graceful shutdown, which begins when ctx is done. The host first reports that it is not ready, so
// that the balancer sends no new callers. Its roles move to other hosts and requests in flight complete, before the
// listeners close.
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
	// treeSeed determines the order of the hosts in the relay tree. It must be the same on every host.
	treeSeed          = 1
	heartbeatInterval = 200 * time.Millisecond
	refreshInterval   = 250 * time.Millisecond
	statusInterval    = time.Second
	scheduleInterval  = 2 * time.Second
	reloadInterval    = 10 * time.Second
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	dialTimeout       = 500 * time.Millisecond
	// upstreamConnections bounds the connections of the admission host to one upstream. At current sizes an upstream
	// has 6 slots, and requests beyond the admission limit are never sent.
	upstreamConnections = 64
	// peerConnections bounds the data connections to one other host.
	peerConnections = 256
	// drainDelay is the time for the balancer and the platform's host list, which lags, to show that this host is
	// leaving.
	drainDelay = 2 * time.Second
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	// ListenFailed means that a listener could not be opened.
	ListenFailed Kind = iota + 1
	// ServeFailed means that a server stopped before the shutdown.
	ServeFailed
)

// Error is the error type of this package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// daemon holds the components of one process.
type daemon struct {
	settings       settings.Settings
	incarnation    string
	secure         *securer.Securer // nil without TLS
	log            *eventlog.Logger
	clock          func() time.Duration
	meter          *meter.Meter
	store          *storer.Client
	locator        *locator.Locator
	messenger      *messenger.Messenger
	distributor    *distributor.Distributor
	granter        *granter.Granter
	dispatcher     *dispatcher.Dispatcher
	forwarder      *forwarder.Forwarder
	receiver       *receiver.Receiver
	chooser        *chooser.Chooser
	suspector      *suspector.Suspector
	operators      *operators
	scheduler      *scheduler.Scheduler
	stopping       atomic.Bool
	everServed     atomic.Bool   // all services had an admission host at the same time since the start
	announcedState atomic.Uint32 // framer.MemberState of the last SetState
}

// Run runs the daemon until ctx is done, then shuts down gracefully and returns nil. It returns an error if the daemon
// cannot start or a listener fails.
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
	go d.every(background, scheduleInterval, func(time.Duration) { d.runSchedule(background) })
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
	peers.Handle("/peer/", d.messenger.Handler())
	forward := d.forwarder.Handler()
	transports := transportFactory{secure: d.secure}
	endpoints := []struct {
		address string
		handler http.Handler
		secured bool
	}{
		{d.settings.CallerListen, d.receiver, false}, // the platform's balancer terminates the callers' TLS
		{d.settings.PeerListen, peerHandler(peers, forward), true},
		{d.settings.OperatorListen, d.operators.handler(), true},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true) // gRPC tools without TLS
	var listeners []listener
	for _, w := range endpoints {
		socket, err := net.Listen("tcp", w.address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.socket.Close()
			}
			return nil, &Error{Op: "listen on " + w.address, Kind: ListenFailed, Err: errors.WithStack(err)}
		}
		if w.secured {
			socket = transports.secured(socket)
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

// shutdown stops the daemon after the requests in flight have completed, but not later than the shutdown grace period.
func (d *daemon) shutdown(listeners []listener, cancel context.CancelFunc) {
	d.log.Log(eventlog.DaemonStopping)
	d.stopping.Store(true)
	d.distributor.SetState(framer.Leaving)
	ctx, done := context.WithTimeout(context.Background(), d.settings.ShutdownGrace)
	defer done()
	d.awaitLeaseRelease(ctx)
	for _, l := range listeners {
		_ = l.server.Shutdown(ctx)
	}
	cancel()
	d.granter.Close()
	d.dispatcher.Close()
	d.messenger.Close()
	_ = d.meter.Close()
	d.log.Log(eventlog.DaemonStopped)
}

// awaitLeaseRelease waits until this host holds no admission lease, so that it rejects no request that another entry
// host forwards to it.
func (d *daemon) awaitLeaseRelease(ctx context.Context) {
	timer := time.NewTimer(drainDelay)
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

// ready reports whether the balancer may send callers to this host. After the start, the host is not ready until every
// service has an admission host. Later, a service without an admission host does not matter: it affects all hosts at
// the same time, for instance while a service is added. If they all became not ready, the other services would be
// unreachable.
func (d *daemon) ready() bool {
	if d.leaving() || !d.distributor.Connected() || !d.locator.AllFresh(d.clock()) {
		return false
	}
	if !d.everServed.Load() && d.locator.AllServed() {
		d.everServed.Store(true)
	}
	return d.everServed.Load()
}

// leaving reports whether this host should get no new roles and no new callers, because it is shutting down or its
// failure domain is taken out of service. It still handles requests that reach it.
func (d *daemon) leaving() bool {
	return d.stopping.Load() || d.locator.Config().FailureDomains[d.settings.FailureDomain].TakenOut
}

func (d *daemon) refresh(now time.Duration) {
	d.locator.Refresh(now)
	state := framer.Live
	if d.leaving() {
		state = framer.Leaving
	}
	if framer.MemberState(d.announcedState.Swap(uint32(state))) != state {
		d.distributor.SetState(state)
	}
	// A host whose failure domain is taken out keeps its controller roles until it stops. A successor needs the store,
	// so that resigning while the store is unavailable would stop the service.
	if d.stopping.Load() && d.hasLivePeer() {
		d.granter.Resign()
	}
}

// hasLivePeer reports whether there is another host that may take over the roles of this host.
func (d *daemon) hasLivePeer() bool {
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

// upstream returns the configuration of an upstream by its ID.
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
