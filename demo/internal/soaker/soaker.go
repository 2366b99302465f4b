// Package soaker runs the real programs as processes on loopback, injects faults from outside in a seeded order, and
// checks the promises of the system from what callers and upstreams see.
//
// The daemons and the upstreams are processes that are stopped, paused, killed and restarted by signals. Their links to
// the store and to each other pass loopback proxies. The store is a stand-in in this process, with faults of its own.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Binaries: dir, Work: dir, Seed: 7, Length: 20 * time.Second})
//
// Seeds that are divisible by three have planned work only: shutdowns, configurations, upstreams that drain and failure
// domains that are taken out. Then no request may be lost.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/launcher"
	"rhubarbtrack.example/demo/internal/proxier"
	"rhubarbtrack.example/platform/reader"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

const (
	callerPort   = 7101
	readyPort    = 7102
	peerPort     = 7103
	readyWithin  = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
	workTimeMS   = "100" // long enough for each signal to meet requests in flight
	lateOrders   = "0.1"
	settleTime   = 15 * time.Second // after the last fault: the platform's bound for recovery
	finalTime    = 3 * time.Second  // of load after that
	expireTick   = 200 * time.Millisecond
	stopDeadline = 7 * time.Second
	// planEvery is the interval at which planned seeds get only planned work.
	planEvery = 3
)

// Options configures a run.
type Options struct {
	BinDir    string // folder of the programs
	WorkDir   string // folder for logs and settings
	Seed      uint64
	Length    time.Duration // of the faults
	Hosts     int
	Upstreams int // with keys; half as many without are added
	Out       io.Writer
}

type host struct {
	settings simulator.HostSettings
	process  *launcher.Process
	store    *proxier.Link
	starts   int
	file     string
}

type upstream struct {
	id      string
	service string
	domain  string
	link    *proxier.Link
	process *launcher.Process
	starts  int
}

type world struct {
	options   Options
	random    *rand.Rand
	launcher  *launcher.Launcher
	store     *simulator.Store
	server    *http.Server
	address   string // of the store
	hosts     []*host
	upstreams []*upstream
	ends      map[string]time.Time // upstream life to the time of its kill
	version   int
	planned   bool
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), launcher: launcher.New(options.BinDir, options.WorkDir),
		store: simulator.NewStore(), ends: map[string]time.Time{}, version: 1, planned: options.Seed%planEvery == 0,
	}
	defer w.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.start(ctx); err != nil {
		return Report{}, err
	}
	callers := newCallers(w.callerAddresses())
	callers.start(ctx)
	w.disturb(ctx)
	w.heal(ctx)
	sleep(ctx, settleTime)
	quiet := time.Now()
	sleep(ctx, finalTime)
	outcomes := callers.stop()
	w.close()
	lines, err := w.lines()
	if err != nil {
		return Report{}, err
	}
	return check(outcomes, lines, w.ends, quiet, w.planned), nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ip returns a loopback address that no other run on this machine uses at the same time.
func ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%250, n)
}

func (w *world) start(ctx context.Context) error {
	if err := w.configure(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", ip(250)+":0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	go w.expire(ctx)
	for i := range w.options.Upstreams + w.options.Upstreams/2 {
		u := &upstream{service: simulator.KeyedService, domain: domain(i)}
		if i >= w.options.Upstreams {
			u.service = simulator.PlainService
		}
		if u.link, err = proxier.Listen(ip(200)+":0", ""); err != nil {
			return err
		}
		w.upstreams = append(w.upstreams, u)
		if err := w.startUpstream(ctx, u); err != nil {
			return err
		}
	}
	for i := range w.options.Hosts {
		link, err := proxier.Listen(ip(201)+":0", w.address)
		if err != nil {
			return err
		}
		address := ip(1 + i)
		w.hosts = append(w.hosts, &host{store: link, settings: simulator.HostSettings{
			Name: fmt.Sprintf("host-%d", i), Domain: domain(i), IP: address, Callers: simulator.Address(address, callerPort),
			Ready: simulator.Address(address, readyPort), PeerPort: peerPort, Store: link.Address(), Bootstrap: true,
		}})
		if err := w.startHost(w.hosts[i]); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := waitReady(ctx, h); err != nil {
			return err
		}
		h.settings.Bootstrap = false
	}
	return nil
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%2) }

func (w *world) configure() error {
	w.version += 1 + w.random.IntN(3)
	return w.store.Put(translator.ConfigurationKind, translator.ConfigurationName, simulator.Configuration(w.version), nil)
}

func (w *world) expire(ctx context.Context) {
	for ctx.Err() == nil {
		w.store.Expire(time.Now())
		sleep(ctx, expireTick)
	}
}

func (w *world) startUpstream(ctx context.Context, u *upstream) error {
	u.starts++
	u.id = fmt.Sprintf("u-%s-%d", filepath.Base(u.link.Address()), u.starts)
	args := []string{
		"--listen", ip(202) + ":0", "--store", w.address, "--id", u.id, "--service", u.service, "--failure-domain", u.domain,
		"--advertise", u.link.Address(), "--service-time-ms", workTimeMS, "--late-orders", lateOrders,
	}
	if u.service == simulator.PlainService {
		args = append(args, "--no-keys")
	}
	process, err := w.launcher.Start(u.id, "upstreamsim", args...)
	if err != nil {
		return err
	}
	u.process = process
	address, err := process.Address(ctx)
	if err != nil {
		return err
	}
	u.link.SetTarget(address)
	return nil
}

func (w *world) startHost(h *host) error {
	h.starts++
	name := fmt.Sprintf("%s-%d", h.settings.Name, h.starts)
	h.file = filepath.Join(w.options.WorkDir, name+".yaml")
	if err := os.WriteFile(h.file, h.settings.File(), 0o644); err != nil {
		return err
	}
	process, err := w.launcher.StartWith([]string{reader.PathVariable + "=" + h.file}, name, "rhubarbtrackd", "--platform")
	if err != nil {
		return err
	}
	h.process = process
	return nil
}

func waitReady(ctx context.Context, h *host) error {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, readyPoll) {
		response, err := http.Get("http://" + h.settings.Ready + translator.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("%s is not ready", h.settings.Name)
}

func (w *world) callerAddresses() []string {
	var addresses []string
	for _, h := range w.hosts {
		addresses = append(addresses, h.settings.Callers)
	}
	return addresses
}

// lines returns what all upstream processes reported.
func (w *world) lines() ([]simulator.Line, error) {
	files, err := filepath.Glob(filepath.Join(w.options.WorkDir, "u-*.log"))
	if err != nil {
		return nil, err
	}
	var lines []simulator.Line
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		lines = append(lines, parseLines(data)...)
	}
	return lines, nil
}

// close ends exactly the processes that the run started.
func (w *world) close() {
	for _, u := range w.upstreams {
		_ = u.process.Signal(syscall.SIGCONT) // has no effect on one that has ended
	}
	for _, h := range w.hosts {
		_ = h.process.Signal(syscall.SIGCONT)
	}
	w.launcher.KillAll()
	for _, u := range w.upstreams {
		u.link.Close()
	}
	for _, h := range w.hosts {
		h.store.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}
