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
	callerPort        = 7101
	readyPort         = 7102
	peerPort          = 7103
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	serviceTimeMS     = "100" // long enough for each signal to meet requests in flight
	lateGrantRatio    = "0.1"
	settleTime        = 15 * time.Second // after the last fault: the platform's bound for recovery
	finalLoadTime     = 3 * time.Second  // of load after that
	expireInterval    = 200 * time.Millisecond
	stopTimeout       = 7 * time.Second
	// plannedSeedInterval is the interval at which planned seeds get only planned work.
	plannedSeedInterval = 3
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
	settings     simulator.HostSettings
	process      *launcher.Process
	store        *proxier.Link
	starts       int
	settingsFile string
}

type upstream struct {
	id      string
	service string
	domain  string
	link    *proxier.Link
	process *launcher.Process
	starts  int
}

type cluster struct {
	options   Options
	random    *rand.Rand
	launcher  *launcher.Launcher
	store     *simulator.Store
	server    *http.Server
	address   string // of the store
	hosts     []*host
	upstreams []*upstream
	killTimes map[string]time.Time // upstream life to the time of its kill
	version   int
	planned   bool
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	w := &cluster{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), launcher: launcher.New(options.BinDir, options.WorkDir),
		store: simulator.NewStore(), killTimes: map[string]time.Time{}, version: 1, planned: options.Seed%plannedSeedInterval == 0,
	}
	defer w.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.start(ctx); err != nil {
		return Report{}, err
	}
	callers := newCallers(w.callerAddresses())
	callers.start(ctx)
	w.injectFaults(ctx)
	w.clearFaults(ctx)
	sleep(ctx, settleTime)
	settled := time.Now()
	sleep(ctx, finalLoadTime)
	outcomes := callers.stop()
	w.close()
	lines, err := w.lines()
	if err != nil {
		return Report{}, err
	}
	return check(outcomes, lines, w.killTimes, settled, w.planned), nil
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

func (c *cluster) start(ctx context.Context) error {
	if err := c.configure(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", ip(250)+":0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	c.address = listener.Addr().String()
	c.server = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(listener) }()
	go c.expire(ctx)
	for i := range c.options.Upstreams + c.options.Upstreams/2 {
		u := &upstream{service: simulator.KeyedService, domain: domain(i)}
		if i >= c.options.Upstreams {
			u.service = simulator.PlainService
		}
		if u.link, err = proxier.Listen(ip(200)+":0", ""); err != nil {
			return err
		}
		c.upstreams = append(c.upstreams, u)
		if err := c.startUpstream(ctx, u); err != nil {
			return err
		}
	}
	for i := range c.options.Hosts {
		link, err := proxier.Listen(ip(201)+":0", c.address)
		if err != nil {
			return err
		}
		address := ip(1 + i)
		c.hosts = append(c.hosts, &host{store: link, settings: simulator.HostSettings{
			Name: fmt.Sprintf("host-%d", i), Domain: domain(i), IP: address, Callers: simulator.Address(address, callerPort),
			Ready: simulator.Address(address, readyPort), PeerPort: peerPort, Store: link.Address(), Bootstrap: true,
		}})
		if err := c.startHost(c.hosts[i]); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		if err := waitReady(ctx, h); err != nil {
			return err
		}
		h.settings.Bootstrap = false
	}
	return nil
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%2) }

func (c *cluster) configure() error {
	c.version += 1 + c.random.IntN(3)
	return c.store.Put(translator.ConfigurationKind, translator.ConfigurationName, simulator.Configuration(c.version), nil)
}

func (c *cluster) expire(ctx context.Context) {
	for ctx.Err() == nil {
		c.store.Expire(time.Now())
		sleep(ctx, expireInterval)
	}
}

func (c *cluster) startUpstream(ctx context.Context, u *upstream) error {
	u.starts++
	u.id = fmt.Sprintf("u-%s-%d", filepath.Base(u.link.Address()), u.starts)
	args := []string{
		"--listen", ip(202) + ":0", "--store", c.address, "--id", u.id, "--service", u.service, "--failure-domain", u.domain,
		"--advertise", u.link.Address(), "--service-time-ms", serviceTimeMS, "--late-orders", lateGrantRatio,
	}
	if u.service == simulator.PlainService {
		args = append(args, "--no-keys")
	}
	process, err := c.launcher.Start(u.id, "upstreamsim", args...)
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

func (c *cluster) startHost(h *host) error {
	h.starts++
	name := fmt.Sprintf("%s-%d", h.settings.Name, h.starts)
	h.settingsFile = filepath.Join(c.options.WorkDir, name+".yaml")
	if err := os.WriteFile(h.settingsFile, h.settings.File(), 0o644); err != nil {
		return err
	}
	process, err := c.launcher.StartWith([]string{reader.PathVariable + "=" + h.settingsFile}, name, "rhubarbtrackd", "--platform")
	if err != nil {
		return err
	}
	h.process = process
	return nil
}

func waitReady(ctx context.Context, h *host) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, readyPollInterval) {
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

func (c *cluster) callerAddresses() []string {
	var addresses []string
	for _, h := range c.hosts {
		addresses = append(addresses, h.settings.Callers)
	}
	return addresses
}

// lines returns what all upstream processes reported.
func (c *cluster) lines() ([]simulator.Line, error) {
	files, err := filepath.Glob(filepath.Join(c.options.WorkDir, "u-*.log"))
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
func (c *cluster) close() {
	for _, u := range c.upstreams {
		_ = u.process.Signal(syscall.SIGCONT) // has no effect on one that has ended
	}
	for _, h := range c.hosts {
		_ = h.process.Signal(syscall.SIGCONT)
	}
	c.launcher.KillAll()
	for _, u := range c.upstreams {
		u.link.Close()
	}
	for _, h := range c.hosts {
		h.store.Close()
	}
	if c.server != nil {
		_ = c.server.Close()
	}
}
