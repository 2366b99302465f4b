// Package starter assembles and runs the daemon on a platform that provides its settings, store and load balancer
// (option --platform): it creates the components, connects them by function fields, opens the listeners, and shuts down
// in order. Package runner does the same for the standalone daemon.
//
// # Usage
//
//	err := starter.Run(ctx, starter.Options{Load: load, Log: logger})
//
// Run returns after a graceful shutdown, which begins when ctx is done:
//
//  1. The host reports itself not ready and resigns as controller.
//  2. It waits until the balancer sends no new connections.
//  3. It closes each connection after the last response on it, and cancels the requests that remain at the end of the
//     grace time.
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

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/partitiondetector"
	"rhubarbtrack.example/core/qualifier"
	"rhubarbtrack.example/platform/downloader"
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
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
	"rhubarbtrack.example/rhubarbtrackd/internal/resolver"
	"rhubarbtrack.example/rhubarbtrackd/internal/router"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// MetricsPort is the port on which the host serves its metrics. The deployment file contains the same number.
const MetricsPort = "9464"

const (
	// gcPercent is below the default of 100. It reduces peak memory, for which operators are charged, and costs CPU time.
	gcPercent = 50
	// memoryShare is the part of the host's memory that is the soft limit of the Go runtime. The rest is for kernel
	// buffers.
	memoryShare = 0.6
	// bodyMemoryShare is the part of the host's memory for bodies of requests and responses. Each is in up to two buffers.
	bodyMemoryShare = 0.2
	// descriptorReserve is the number of file descriptors reserved for files and for connections to upstreams and other
	// hosts.
	descriptorReserve = 1200
	sweepInterval     = time.Second
	reloadInterval    = 2 * time.Second
	// deregistrationDelay is how long the balancer takes to stop sending new connections: two readiness checks, one a
	// second.
	deregistrationDelay = 2200 * time.Millisecond
	// exitReserve is the part of the grace time that is reserved for the exit of the process.
	exitReserve = 400 * time.Millisecond
	// responseReserve is the part of the grace time that is reserved for sending the last responses.
	responseReserve = 200 * time.Millisecond
	// minExitReserve is what remains of exitReserve if requests are cancelled late, because the process stood still.
	minExitReserve = 100 * time.Millisecond
	// isolationInterval is how often the host checks whether it is isolated: several times between two readiness checks.
	isolationInterval = 200 * time.Millisecond
	// The limits of callers before a configuration has been read.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Kind classifies errors of this package.
type Kind int

const (
	// ListenFailed means that a listener could not be opened.
	ListenFailed Kind = iota + 1
	// ServeFailed means that the listener for callers failed.
	ServeFailed
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// Options configures Run.
type Options struct {
	// Load reads the settings. Run calls it at the start, periodically, and after a value from Reload.
	Load func() (reader.Settings, error)
	Log  *eventlog.Logger
	// Reload delivers a value when the settings have to be read again at once. It may be nil.
	Reload <-chan struct{}
	// Dropped returns the number of log lines dropped since the last call.
	Dropped func() int64
	// CrossingPrice is the time of a caller that a megabyte between two failure domains is worth.
	CrossingPrice time.Duration
	// MetricsPort replaces the constant MetricsPort if it is not empty, for hosts that share an IP address.
	MetricsPort string
	// Listen replaces net.Listen for other hosts, the platform and metrics if it is not nil.
	Listen func(network, address string) (net.Listener, error)
}

type daemon struct {
	options        Options
	settings       reader.Settings
	log            *eventlog.Logger
	meter          *meter.Meter
	follower       *follower.Follower
	tables         *resolver.Tables
	pool           *exchanger.Pool
	router         *router.Router
	suspector      *suspector.Suspector
	coordinator    *coordinator.Coordinator
	server         *acceptor.Server
	stopping       atomic.Bool
	isolated       atomic.Bool
	shutdown       context.Context
	cancelRequests context.CancelFunc
	panics         *recoverer.Recoverer
}

// Run serves callers until ctx is done, and then shuts down gracefully. It returns an error if the settings cannot be
// loaded or a listener fails.
func Run(ctx context.Context, options Options) error {
	settings, err := options.Load()
	if err != nil {
		options.Log.Log(eventlog.SettingsFailed, eventlog.Cause(err))
		return err
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	d := assemble(options, settings)
	return d.run(ctx)
}

// incarnation returns a name that is unique to this run of the process.
func incarnation(host string) string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // documented to never fail
	return host + "/" + hex.EncodeToString(random[:])
}

func assemble(options Options, s reader.Settings) *daemon {
	d := &daemon{options: options, settings: s, log: options.Log, meter: meter.New(), tables: resolver.New()}
	d.shutdown, d.cancelRequests = context.WithCancel(context.Background())
	d.panics = recoverer.New(d.log, d.meter)
	store := storer.New(s.StoreAddress)
	store.CountBytes = func(sent, received int) { d.countBytes("store", sent, received) }
	store.OnGeneration = d.observeGeneration
	d.suspector = suspector.New(func(report detector.Report) { d.coordinator.ShareSignature(report) }, d.log)
	d.follower = follower.New(follower.Options{
		Store: store, Log: d.log, Now: timer.Now, FirstStart: s.FirstStart, Panics: d.panics,
		FetchConfiguration: func(ctx context.Context, known []byte) ([]byte, error) {
			return d.coordinator.FetchConfiguration(ctx, known)
		},
		OnConfigurationRead: func(source string, transfer downloader.Transfer, err error) {
			outcome := "read"
			if err != nil {
				outcome = "failed"
			}
			d.meter.ConfigurationRead(source, outcome, transfer.Taken)
		},
		OnBlocked: func(reports []detector.Report) {
			d.router.ReportCompleted(d.suspector.Merge(timer.Now(), reports)...)
			d.coordinator.ShareStored(reports)
		},
		OnUnblocked: func(signature uint64) {
			// The object of an expired block is removed as well, which must not clear the suspicion.
			if now := timer.Now(); d.suspector.Status(now, signature) == detector.Blocked {
				d.suspector.Record(now, detector.Retracted{Signatures: []uint64{signature}})
			}
		},
	})
	d.pool = exchanger.New(exchanger.Options{
		IDHeader:  translator.AttemptHeader,
		OnConnect: func(target exchanger.Target, taken time.Duration) { d.router.RecordConnect(target, taken) },
	})
	name := incarnation(s.Host)
	seed := xxhash.Sum64String(name)
	fitness := qualifier.Fitness(qualifier.Host{Cores: s.CPUShare, LinkRate: s.LinkRate, MemoryBytes: s.MemoryBytes})
	d.router = router.New(router.Options{
		FailureDomain: s.FailureDomain, CrossingPrice: options.CrossingPrice, Limits: limits(s.Bounds), Follower: d.follower, Tables: d.tables, Pool: d.pool,
		Log: d.log, Meter: d.meter, Now: timer.Now, Seed: seed, Shutdown: d.shutdown, Panics: d.panics,
		Suspector: d.suspector, ReportSoon: func() { d.coordinator.ReportSoon() },
	})
	d.coordinator = coordinator.New(coordinator.Options{
		Host: name, Address: s.PeerAddress, TakeoverDelay: qualifier.Delay(fitness, seed), Fitness: fitness, LinkRate: s.LinkRate,
		MaxLifetime: s.Bounds.MaxGrantLifetime,
		FirstStart:  s.FirstStart,
		Store:       store, Orders: orderer.New(d.router.RecordLeaving), Follower: d.follower, Tables: d.tables, Log: d.log, Now: timer.Now,
		Report: func() connector.Report {
			report := d.router.Report()
			report.Host = name
			return report
		},
		OnHeartbeat: d.router.OnHeartbeat,
		Suspector:   d.suspector,
		OnDisproved: d.router.ReportCompleted,
		QuotaBounds: d.router.QuotaBounds,
		OnGrants:    d.router.ApplyGrants,
		CountBytes:  func(sent, received int) { d.countBytes("hosts", sent, received) },
		Panics:      d.panics,
		OnSent:      d.meter.ControlSent,
		OnShed:      d.meter.ControlShed,
	})
	d.server = acceptor.New(acceptor.Options{
		Handle: d.router.Handle, Limits: d.callerLimits, MaxConnections: max(64, s.FileDescriptors-descriptorReserve),
		Refused: func(status int, remote, reason string) {
			d.log.Log(eventlog.RequestUnreadable, zap.Int("status", status), zap.String("remote", remote),
				zap.String("reason", eventlog.Shorten(reason)))
		},
		TimeLeft:     router.TimeLeft,
		Deadline:     d.router.Deadline,
		Memory:       acceptor.NewMemory(int64(bodyMemoryShare*float64(s.MemoryBytes)), d.meter.BodyMemory),
		Panics:       d.panics,
		AcceptFailed: func(err error) { d.log.Log(eventlog.AcceptFailed, eventlog.Cause(err)) },
	})
	return d
}

// observeGeneration is called with a later generation of the store. The first one that this host receives is no return from a copy.
func (d *daemon) observeGeneration(former, present int64) {
	d.meter.StoreGeneration(present)
	if former > 0 {
		d.log.Log(eventlog.StoreReverted, zap.Int64("former", former), zap.Int64("present", present))
	}
}

// countBytes counts bytes to and from a process whose failure domain this host does not know.
func (d *daemon) countBytes(kind string, sent, received int) {
	d.meter.Bytes(kind, "sent", "unknown", int64(sent))
	d.meter.Bytes(kind, "received", "unknown", int64(received))
}

func limits(b reader.Bounds) router.Limits {
	return router.Limits{
		DrainDelay: b.DrainDelay, TakeOutDelay: b.TakeOutDelay, RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
		ConfigurationTime: b.ConfigurationTime,
		Revocation:        b.RevocationTime,
		Quota:             apportioner.Bounds{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack},
		ColdRateFactor:    b.ColdRateFactor, ColdSlack: b.ColdSlack,
	}
}

func (d *daemon) callerLimits() acceptor.Limits {
	config := d.follower.Snapshot().Config
	if config == nil {
		return acceptor.Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		}
	}
	l := config.Limits
	return acceptor.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

func (d *daemon) run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return d.listenFailed(err)
	}
	mux := http.NewServeMux()
	mux.Handle(connector.Path, d.coordinator.Hub())
	mux.Handle(connector.AnnouncePath, d.coordinator.Announcements())
	mux.Handle(connector.ConfigurationPath, connector.ConfigurationHandler(timer.Now, d.settings.LinkRate, d.follower.Configuration))
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+translator.ReadyPath, d.serveReady)
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
	go d.follower.Run(workCtx)
	go d.coordinator.Run(workCtx)
	go d.maintain(workCtx)
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

func (d *daemon) listenFailed(err error) error {
	d.log.Log(eventlog.ListenFailed, eventlog.Cause(err))
	return &Error{"listen", ListenFailed, err}
}

func (d *daemon) serveHTTP(address string, handler http.Handler) error {
	listen := d.options.Listen
	if listen == nil {
		listen = net.Listen
	}
	listener, err := listen("tcp", address)
	if err != nil {
		return d.listenFailed(err)
	}
	server := &http.Server{Handler: d.panics.Handler("serve-http", handler), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
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
	if d.stopping.Load() || d.isolated.Load() || snapshot.Config == nil || !snapshot.Listed {
		return false
	}
	for name, service := range snapshot.Config.Services {
		if service.Keyed && !d.tables.Serves(name) {
			return false
		}
	}
	return true
}

func (d *daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// maintain periodically removes unused state, checks for isolation, and reloads the settings.
func (d *daemon) maintain(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	reload := time.NewTicker(reloadInterval)
	defer reload.Stop()
	isolation := time.NewTicker(isolationInterval)
	defer isolation.Stop()
	detector := partitiondetector.New()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.panics.Do("sweep", d.sweep)
		case <-isolation.C:
			d.panics.Do("check-isolation", func() { d.checkIsolation(detector) })
		case <-reload.C:
			d.panics.Do("reload", func() { d.reload(false) })
		case <-d.options.Reload:
			d.panics.Do("reload", func() { d.reload(true) })
		}
	}
}

// sweep removes the state of upstreams that are no longer registered.
func (d *daemon) sweep() {
	d.router.Sweep()
	now := timer.Now()
	age := now - d.follower.ConfirmedAt(now)
	snapshot := d.follower.Snapshot()
	if snapshot.Config != nil {
		d.meter.Configuration(snapshot.Config.Version, age)
	}
	d.pool.Sweep(time.Now(), func(t exchanger.Target) bool {
		u, ok := snapshot.Upstream(t.Incarnation)
		return ok && u.Address == t.Address
	})
	if dropped := d.options.Dropped(); dropped > 0 {
		d.log.Log(eventlog.LogLinesDropped, zap.Int64("lines", dropped))
	}
}

// checkIsolation checks whether this host is isolated. An isolated host reports itself not ready and closes connections
// after their last response.
func (d *daemon) checkIsolation(detector *partitiondetector.Detector) {
	counts := partitiondetector.Observation{Connected: d.follower.Connected()}
	counts.Answered, counts.Unsent = d.router.TakeSendCounts()
	if !detector.Step(timer.Now(), counts) {
		return
	}
	event := eventlog.HostReconnected
	if detector.Isolated() {
		event = eventlog.HostIsolated
	}
	d.isolated.Store(detector.Isolated())
	d.server.SetCloseAfterResponse(detector.Isolated())
	d.log.Log(event, zap.Bool("connected", counts.Connected), zap.Int("sent", counts.Answered), zap.Int("unsent", counts.Unsent))
}

// reload reads the settings again. A change of an address takes effect only after a restart of the process.
func (d *daemon) reload(bySignal bool) {
	settings, err := d.options.Load()
	if err != nil {
		d.log.Log(eventlog.SettingsFailed, eventlog.Cause(err))
		return
	}
	if settings == d.settings && !bySignal {
		return
	}
	d.log.Log(eventlog.SettingsReloaded, zap.Bool("changed", settings != d.settings), zap.Bool("signal", bySignal))
	d.settings = settings
	d.router.SetLimits(limits(settings.Bounds))
}

func (d *daemon) shutDown(callers net.Listener) {
	began := time.Now()
	end := began.Add(d.settings.Bounds.Grace - exitReserve - responseReserve)
	d.stopping.Store(true)
	d.router.SetEnd(timer.Now() + time.Until(end))
	d.log.Log(eventlog.DaemonStopping, zap.Int("connections", d.server.Connections()), zap.Int("requests", d.server.Active()))
	resign, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	go d.coordinator.Resign(resign)
	time.Sleep(deregistrationDelay)
	// New connections have to reach another host, since this one may exit before it can respond.
	_ = callers.Close()
	d.server.Drain()
	const poll = 20 * time.Millisecond
	for time.Now().Before(end) && d.server.Connections() > 0 {
		time.Sleep(poll)
	}
	// Requests that still run are cancelled, so that the responses queued behind them on the same connection are sent.
	d.cancelRequests()
	// The time runs from here, because a process that stood still may cancel them after end.
	responseEnd := time.Now().Add(responseReserve)
	if last := began.Add(d.settings.Bounds.Grace - minExitReserve); responseEnd.After(last) {
		responseEnd = last
	}
	for time.Now().Before(responseEnd) && d.server.Connections() > 0 {
		time.Sleep(poll)
	}
	d.log.Log(eventlog.DaemonStopped, zap.Duration("taken", time.Since(began)), zap.Int("requests", d.server.Active()))
}
