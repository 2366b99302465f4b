// Package soaker runs the daemons and the upstream simulators as processes on loopback, injects faults in an order that
// a seed determines, and checks the guarantees of the system from the responses at the callers and the records of the
// upstreams.
//
// Daemons and upstreams are stopped, paused, killed and restarted by signals. Proxies on loopback inject network faults
// into the connections from the daemons to the store and to the upstreams. The store is a simulator in this process,
// with faults of its own; in some runs it comes back from a copy of itself.
//
// The checks: no request that must not be repeated runs twice; a rejected one has not run, and its response has a
// Retry-After field; a response with status 200 is complete and belongs to its request; no two upstreams run requests
// of the same key while both hold it; a request that crashes upstreams no longer reaches them soon after it has crashed
// the third; an upstream that sends leaving notices gets no new requests after the drain delay, and one that asks for a
// pause gets almost none during it; with client accounts, upstreams get their names and no keys, and a key that was taken away
// stops to work in time; and nearly all requests are served once the faults have ended.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{
//		BinDir: binDir, WorkDir: workDir, Seed: 7, Length: 20 * time.Second, Hosts: 4, Upstreams: 4, Out: os.Stderr,
//	})
//
// Seeds that are divisible by three run planned operations only, such as shutdowns, new configurations, draining
// upstreams and take-outs of failure domains. In these runs no request may be lost. In runs with even seeds, the configuration has
// client accounts, and keys are taken away all the time.
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
	"sync"
	"sync/atomic"
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
	serviceTimeMS     = "100" // long enough that requests are in flight at each signal
	lateGrantShare    = "0.1"
	// garbleShare is the share of responses that upstreams garble, see simulator.UpstreamOptions, except in
	// runs with planned operations only.
	garbleShare = "0.02"
	// earlyResetShare is the share of long uploads that upstreams reset within the response, in the same runs.
	earlyResetShare = "0.1"
	settleTime      = 15 * time.Second // wait after the last fault; the platform requires recovery within it
	finalLoadTime   = 3 * time.Second  // load after settleTime, for the ratio of served requests
	expireInterval  = 200 * time.Millisecond
	stopTimeout     = 7 * time.Second
	// plannedSeedInterval: seeds that are divisible by it run planned operations only.
	plannedSeedInterval = 3
)

// Options configures a run.
type Options struct {
	BinDir    string // folder with the programs
	WorkDir   string // folder for logs and settings
	Seed      uint64
	Length    time.Duration // time for which faults are injected
	Hosts     int
	Upstreams int       // upstreams with keys; half as many without keys are added
	Out       io.Writer // log of the injected faults
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
	options  Options
	random   *rand.Rand
	launcher *launcher.Launcher
	store    *simulator.Store
	server   *http.Server
	address  string // of the store
	// hostServer serves the store for hosts, which it rejects while isRejecting is set. Upstreams and operators are served.
	hostServer  *http.Server
	hostAddress string
	isRejecting atomic.Bool
	hosts       []*host
	upstreams   []*upstream
	killTimes   map[string]time.Time // upstream ID, which is unique to the process, to the time of its kill
	faults      hostFaults
	mutex       sync.Mutex // guards the processes of upstreams while they are replaced
	planned     bool
	accounts    *accounts
	// configuring guards the version of the configuration, and puts its writes in order.
	configuring sync.Mutex
	version     int
}

// Run runs one seed. It returns an error if the run itself failed; violations of guarantees are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	c := &cluster{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), launcher: launcher.New(options.BinDir, options.WorkDir),
		store: simulator.NewStore(), killTimes: map[string]time.Time{}, faults: hostFaults{}, version: 1, planned: options.Seed%plannedSeedInterval == 0,
	}
	if options.Seed%accountSeedInterval == 0 {
		c.accounts = newAccounts()
	}
	defer c.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := c.start(ctx); err != nil {
		return Report{}, err
	}
	callers := newCallers(c.callerAddresses(), c.accounts, !c.planned)
	callers.start(ctx)
	var storeFaults sync.WaitGroup
	if c.accounts != nil {
		go c.changeKeys(ctx)
		go c.useFormerKeys(ctx)
		if !c.planned {
			storeFaults.Go(func() { c.rejectHosts(ctx) })
		}
	}
	if c.hasDrills() {
		storeFaults.Go(func() { c.drill(ctx) })
	}
	if !c.planned {
		go c.sendCrashes(ctx)
		go c.sendNotices(ctx)
	}
	c.injectFaults(ctx)
	c.clearFaults(ctx)
	// These can be the last faults. Their length does not depend on that of the run.
	storeFaults.Wait()
	c.settle(ctx)
	settled := time.Now()
	sleep(ctx, finalLoadTime)
	outcomes := callers.stop()
	c.close()
	lines, err := c.lines()
	if err != nil {
		return Report{}, err
	}
	report := check(outcomes, lines, c.killTimes, settled, c.planned)
	checkLeaving(&report, outcomes, lines, c.faults)
	checkPauses(&report, lines, len(c.hosts), c.faults)
	if c.accounts != nil {
		c.accounts.check(&report, lines)
	}
	return report, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ip returns a loopback address. It depends on the process ID, so that concurrent runs on one machine use different
// ones.
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
		return errors.Wrap(err, "listen for connections to the store")
	}
	c.address = listener.Addr().String()
	c.server = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(listener) }()
	hostListener, err := net.Listen("tcp", ip(250)+":0")
	if err != nil {
		return errors.Wrap(err, "listen for connections of hosts to the store")
	}
	c.hostAddress = hostListener.Addr().String()
	c.hostServer = &http.Server{Handler: http.HandlerFunc(c.serveHosts), ReadHeaderTimeout: time.Minute}
	go func() { _ = c.hostServer.Serve(hostListener) }()
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
		link, err := proxier.Listen(ip(201)+":0", c.hostAddress)
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
	return c.putConfiguration(1 + c.random.IntN(3))
}

// putConfiguration writes the next version of the configuration, whose number is higher by step.
func (c *cluster) putConfiguration(step int) error {
	c.configuring.Lock()
	defer c.configuring.Unlock()
	c.version += step
	configuration := simulator.Configuration(c.version)
	if c.accounts != nil {
		configuration = c.accounts.configuration(c.version)
	}
	return c.store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil)
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
		"--advertise", u.link.Address(), "--service-time-ms", serviceTimeMS, "--late-orders", lateGrantShare,
	}
	if !c.planned {
		args = append(args, "--garble", garbleShare, "--early-resets", earlyResetShare)
	}
	if u.service == simulator.PlainService {
		args = append(args, "--no-keys")
	}
	process, err := c.launcher.Start(u.id, "upstreamsim", args...)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	u.process = process
	c.mutex.Unlock()
	address, err := process.Address(ctx)
	if err != nil {
		return err
	}
	u.link.SetTarget(address)
	return nil
}

func (c *cluster) startHost(h *host) error {
	c.faults.add(h.settings.Callers)
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
	return errors.Newf("host %s is not ready", h.settings.Name)
}

func (c *cluster) callerAddresses() []string {
	var addresses []string
	for _, h := range c.hosts {
		addresses = append(addresses, h.settings.Callers)
	}
	return addresses
}

// lines returns the records of all upstream processes from their logs.
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

// close kills the processes of the run and no others, and closes the proxies and the store. Paused processes are
// continued first. It may be called twice.
func (c *cluster) close() {
	for _, u := range c.upstreams {
		_ = u.process.Signal(syscall.SIGCONT) // returns an error if the process has exited
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
	for _, server := range []*http.Server{c.server, c.hostServer} {
		if server != nil {
			_ = server.Close()
		}
	}
}
