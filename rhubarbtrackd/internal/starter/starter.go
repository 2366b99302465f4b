// Package starter assembles the daemon on the users' platform: it builds the parts, joins them by function fields, opens
// the listeners and ends everything in order.
//
// # Usage
//
//	err := starter.Run(ctx, starter.Options{Load: load, Log: logger})
//
// Run returns after a graceful shutdown, which begins when ctx is done: readiness is withdrawn, the controller's role is
// given up, connections end after their answers, and only then the process does.
package starter

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/partitiondetector"
	"rhubarbtrack.example/platform/orderer"
	"rhubarbtrack.example/platform/reader"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/coordinator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/resolver"
	"rhubarbtrack.example/rhubarbtrackd/internal/router"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// MetricsPort is where the host serves its metrics. The deploy file names it too.
const MetricsPort = "9464"

const (
	// collectPercent trades processor time for peak memory, which the operators pay for.
	collectPercent = 50
	// memoryShare is the part of the host's memory that the collector aims at; the rest is for the kernel's buffers.
	memoryShare = 0.6
	// descriptorReserve is kept for files, upstreams and other hosts.
	descriptorReserve = 1200
	sweepInterval     = time.Second
	reloadInterval    = 2 * time.Second
	// rotationDelay is how long the balancer takes to stop sending new connections: two questions, one a second.
	rotationDelay = 2200 * time.Millisecond
	// endReserve is the part of the grace time that is kept for ending the process.
	endReserve = 400 * time.Millisecond
	// answerReserve is kept for the last answers.
	answerReserve = 200 * time.Millisecond
	// lookInterval is how often the host looks whether it is cut off: several times between two polls of the balancer.
	lookInterval = 200 * time.Millisecond
	// startLimits are used until a configuration was read.
	startHeaderBytes   = 16 << 10
	startBodyBytes     = 1 << 20
	startHeaderTimeout = 3 * time.Second
	startIdleTimeout   = 15 * time.Second
	// maxTakeoverDelay is the delay of the weakest hosts before they take the controller's role, and takeoverSpread
	// keeps hosts of the same strength apart.
	maxTakeoverDelay = 1200 * time.Millisecond
	takeoverSpread   = 150 * time.Millisecond
	// controllerShare is the share of a core from which a host suits the controller's role without delay.
	controllerShare = 0.3
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

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options configures Run.
type Options struct {
	// Load reads the settings; it is called again when they may have changed.
	Load func() (reader.Settings, error)
	Log  *eventlog.Logger
	// Reload receives a value when the settings have to be read again.
	Reload <-chan struct{}
	// Dropped returns the number of log lines dropped since the last call.
	Dropped func() int64
	// MetricsPort replaces the usual port, for hosts that share an address.
	MetricsPort string
}

type daemon struct {
	options   Options
	settings  reader.Settings
	log       *eventlog.Logger
	meter     *meter.Meter
	follower  *follower.Follower
	tables    *resolver.Tables
	pool      *exchanger.Pool
	conductor *router.Router
	governor  *coordinator.Coordinator
	server    *acceptor.Server
	leaving   atomic.Bool
	isolated  atomic.Bool
	ending    context.Context
	end       context.CancelFunc
}

// Run serves until ctx ends, and then shuts down.
func Run(ctx context.Context, options Options) error {
	settings, err := options.Load()
	if err != nil {
		options.Log.Log(eventlog.SettingsFailed, eventlog.Cause(err))
		return err
	}
	debug.SetGCPercent(collectPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	d := assemble(options, settings)
	return d.run(ctx)
}

// incarnation returns a name that is unique for this run of the process.
func incarnation(host string) string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // never fails, as its documentation says
	return host + "/" + hex.EncodeToString(random[:])
}

func assemble(options Options, s reader.Settings) *daemon {
	d := &daemon{options: options, settings: s, log: options.Log, meter: meter.New(), tables: resolver.New()}
	d.ending, d.end = context.WithCancel(context.Background())
	store := storer.New(s.StoreAddress)
	d.follower = follower.New(follower.Options{Store: store, Log: d.log, Now: timer.Now, FirstStart: s.FirstStart})
	d.pool = exchanger.New(exchanger.Options{IDHeader: translator.AttemptHeader})
	name := incarnation(s.Host)
	seed := xxhash.Sum64String(name)
	d.conductor = router.New(router.Options{
		FailureDomain: s.FailureDomain, Limits: limits(s.Bounds), Follower: d.follower, Tables: d.tables, Pool: d.pool,
		Log: d.log, Meter: d.meter, Now: timer.Now, Seed: seed, Shutdown: d.ending,
	})
	d.governor = coordinator.New(coordinator.Options{
		Host: name, Address: s.PeerAddress, TakeoverDelay: takeoverDelay(s.CPUShare, seed), MaxLifetime: s.Bounds.MaxGrantLifetime,
		FirstStart: s.FirstStart,
		Store:      store, Orders: orderer.New(), Follower: d.follower, Tables: d.tables, Log: d.log, Now: timer.Now,
		Report: func() connector.Report {
			report := d.conductor.Report()
			report.Host = name
			return report
		},
		OnHeartbeat: d.conductor.OnHeartbeat,
	})
	d.server = acceptor.New(acceptor.Options{
		Handle: d.conductor.Handle, Limits: d.callerLimits, MaxConnections: max(64, s.FileDescriptors-descriptorReserve),
		Refused: func(status int, remote, reason string) {
			d.log.Log(eventlog.RequestUnreadable, zap.Int("status", status), zap.String("remote", remote), zap.String("reason", reason))
		},
		AcceptFailed: func(err error) { d.log.Log(eventlog.AcceptFailed, eventlog.Cause(err)) },
	})
	return d
}

// takeoverDelay is shorter for hosts with more processor time.
func takeoverDelay(share float64, seed uint64) time.Duration {
	weakness := 1 - min(1, max(0, share/controllerShare))
	spread := float64(seed%256) / 256
	return time.Duration(weakness*float64(maxTakeoverDelay) + spread*float64(takeoverSpread))
}

func limits(b reader.Bounds) router.Limits {
	return router.Limits{
		DrainDelay: b.DrainDelay, TakeOutDelay: b.TakeOutDelay, RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		ColdRateFactor: b.ColdRateFactor, ColdSlack: b.ColdSlack,
	}
}

func (d *daemon) callerLimits() acceptor.Limits {
	config := d.follower.Snapshot().Config
	if config == nil {
		return acceptor.Limits{
			HeaderBytes: startHeaderBytes, BodyBytes: startBodyBytes,
			HeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout,
		}
	}
	l := config.Limits
	return acceptor.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

func (d *daemon) run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return d.failed(err)
	}
	mux := http.NewServeMux()
	mux.Handle(connector.Path, d.governor.Hub())
	mux.Handle(connector.AnnouncePath, d.governor.Announcements())
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+translator.ReadyPath, d.answerReady)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", d.meter.Handler())
	for _, listener := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.PeerAddress, mux},
		{d.settings.ReadyAddress, ready},
		{net.JoinHostPort(d.settings.IP, cmp.Or(d.options.MetricsPort, MetricsPort)), metrics},
	} {
		if err := d.serveHTTP(listener.address, listener.handler); err != nil {
			return err
		}
	}
	go d.follower.Run(work)
	go d.governor.Run(work)
	go d.maintain(work)
	failed := make(chan error, 1)
	go func() { failed <- d.server.Serve(callers) }()
	d.log.Log(eventlog.DaemonStarted, zap.String("host", d.settings.Host), zap.String("failure-domain", d.settings.FailureDomain),
		zap.String("callers", d.settings.CallerAddress), zap.Bool("first-start", d.settings.FirstStart))
	select {
	case err := <-failed:
		return &Error{"serve-callers", ServeFailed, err}
	case <-ctx.Done():
	}
	d.shutDown(callers)
	return nil
}

func (d *daemon) failed(err error) error {
	d.log.Log(eventlog.ListenFailed, eventlog.Cause(err))
	return &Error{"listen", ListenFailed, err}
}

func (d *daemon) serveHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return d.failed(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startHeaderTimeout, IdleTimeout: startIdleTimeout}
	go func() {
		if err := server.Serve(listener); err != nil {
			d.log.Log(eventlog.ListenFailed, zap.String("address", address), eventlog.Cause(err))
		}
	}()
	return nil
}

// ready reports whether this host can serve callers.
func (d *daemon) ready() bool {
	snapshot := d.follower.Snapshot()
	if d.leaving.Load() || d.isolated.Load() || snapshot.Config == nil || !snapshot.Listed {
		return false
	}
	for name, service := range snapshot.Config.Services {
		if service.Keyed && !d.tables.Serves(name) {
			return false
		}
	}
	return true
}

func (d *daemon) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// maintain drops what is no longer needed and follows the settings.
func (d *daemon) maintain(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	reload := time.NewTicker(reloadInterval)
	defer reload.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	detector := partitiondetector.New()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.conductor.Sweep()
			snapshot := d.follower.Snapshot()
			d.pool.Sweep(time.Now(), func(t exchanger.Target) bool {
				u, ok := snapshot.Upstreams[t.ID]
				return ok && u.Address == t.Address
			})
			if dropped := d.options.Dropped(); dropped > 0 {
				d.log.Log(eventlog.LogLinesDropped, zap.Int64("lines", dropped))
			}
		case <-look.C:
			d.look(detector)
		case <-reload.C:
			d.reload(false)
		case <-d.options.Reload:
			d.reload(true)
		}
	}
}

// look finds out whether this host is cut off.
func (d *daemon) look(detector *partitiondetector.Detector) {
	sight := partitiondetector.Observation{Connected: d.follower.Connected()}
	sight.Answered, sight.Unsent = d.conductor.TakeSendCounts()
	if !detector.Step(timer.Now(), sight) {
		return
	}
	event := eventlog.HostReconnected
	if detector.Isolated() {
		event = eventlog.HostIsolated
	}
	d.isolated.Store(detector.Isolated())
	d.server.SetCloseAfterResponse(detector.Isolated())
	d.log.Log(event, zap.Bool("connected", sight.Connected), zap.Int("sent", sight.Answered), zap.Int("unsent", sight.Unsent))
}

// reload reads the settings again. Addresses take effect at the next start only.
func (d *daemon) reload(asked bool) {
	settings, err := d.options.Load()
	if err != nil {
		d.log.Log(eventlog.SettingsFailed, eventlog.Cause(err))
		return
	}
	if settings == d.settings && !asked {
		return
	}
	d.log.Log(eventlog.SettingsReloaded, zap.Bool("changed", settings != d.settings), zap.Bool("signal", asked))
	d.settings = settings
	d.conductor.SetLimits(limits(settings.Bounds))
}

func (d *daemon) shutDown(callers net.Listener) {
	began := time.Now()
	end := began.Add(d.settings.Bounds.Grace - endReserve - answerReserve)
	d.leaving.Store(true)
	d.log.Log(eventlog.DaemonStopping, zap.Int("connections", d.server.Connections()), zap.Int("requests", d.server.Active()))
	resign, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go d.governor.Resign(resign)
	time.Sleep(rotationDelay)
	// Callers that still come are sent to another host, since this one may end before their answers.
	_ = callers.Close()
	d.server.Drain()
	const poll = 20 * time.Millisecond
	for time.Now().Before(end) && d.server.Connections() > 0 {
		time.Sleep(poll)
	}
	// Requests that are still running are cut, so that answers that wait behind them are delivered.
	d.end()
	for time.Now().Before(end.Add(answerReserve)) && d.server.Connections() > 0 {
		time.Sleep(poll)
	}
	d.log.Log(eventlog.DaemonStopped, zap.Duration("taken", time.Since(began)), zap.Int("requests", d.server.Active()))
}
