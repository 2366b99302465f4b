package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/checker"
	"rhubarbtrack.example/demo/internal/collector"
	"rhubarbtrack.example/demo/internal/configurer"
	"rhubarbtrack.example/demo/internal/launcher"
	"rhubarbtrack.example/demo/internal/prober"
)

// Times of the default scenario, counted from the start of the load.
const (
	takeOutAt      = 4 * time.Second
	returnAt       = 12 * time.Second
	killDaemonAt   = 17 * time.Second
	removeHostAt   = 19 * time.Second
	killUpstreamAt = 22 * time.Second
	defaultLength  = 30 * time.Second
)

const (
	// takeOutBound is the time after which a failure domain that was taken out of service receives no new requests
	// (requirement G4).
	takeOutBound = 4 * time.Second
	// requestDeadline exceeds the 3 s of recoveryBound, so that a request can be retried until its key is served again.
	requestDeadline   = 5 * time.Second
	readyTimeout      = 15 * time.Second
	readyPollInterval = 100 * time.Millisecond
	slots             = 6
	serviceTimeMS     = 5
	serviceSpreadMS   = 2
	// probedKeys is large enough for every upstream to own some of the probed keys.
	probedKeys = 40
	// warmUpTime is the time in which the probes alone raise the admission limits of cold upstreams.
	warmUpTime = 4 * time.Second
)

const (
	keyedService   = "shelf-marks"
	unkeyedService = "label-templates"
)

// failureDomains are the failure domains of the demo. The first one is taken out of service and returned.
var failureDomains = []string{"domain-a", "domain-b", "domain-c"}

// daemonDomains holds the failure domain of each daemon. There are five daemons, since the controller record names five
// witnesses. The daemon with the index killedDaemon is killed.
var daemonDomains = []string{"domain-a", "domain-a", "domain-b", "domain-b", "domain-c"}

const killedDaemon = 2

// upstream is a process of the upstream simulator.
type upstream struct {
	name          string
	service       string
	failureDomain string
	address       string
	number        int
	runsFile      string
	process       *launcher.Process
	killed        bool
}

func (u *upstream) label() string { return u.service + "." + u.name }

// scenario is the state of one run of a variant: its processes, its probes and the values measured so far.
type scenario struct {
	options   options
	variant   variant
	workDir   string
	processes *launcher.Launcher
	out       io.Writer
	start     time.Time

	// peerSecret authenticates the daemons to each other. It is random, so that daemons of different runs cannot
	// connect.
	peerSecret string

	store     *configurer.Store
	platform  string
	daemons   []*daemon
	upstreams []*upstream
	loadStart time.Time
	takeOuts  []checker.TakeOut
	// replaced holds the previous processes of upstreams that were killed and restarted at the same address. Their
	// executions are checked as well.
	replaced []*upstream
	probes   *prober.Prober
	// extraLimits are the limits that the variant itself measures.
	extraLimits []limit
	// addLimits adds limits that depend on the executions of all upstreams. It may be nil.
	addLimits func(*summary, []checker.Execution)
}

func (s *scenario) run(ctx context.Context) (*summary, error) {
	if err := s.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := s.startUpstreams(ctx); err != nil {
		return nil, err
	}
	if err := s.writeConfiguration(ctx); err != nil {
		return nil, err
	}
	if err := s.startDaemons(ctx); err != nil {
		return nil, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	stopProbes := s.startProbes(ctx)
	defer stopProbes()
	if err := s.awaitServed(ctx); err != nil {
		return nil, err
	}
	loads, err := s.startLoads()
	if err != nil {
		return nil, err
	}
	if err := s.variant.injectFaults(ctx, s); err != nil {
		return nil, err
	}
	if elapsed := time.Since(s.loadStart); elapsed > s.variant.length {
		return nil, errors.Newf("fault injection ended %s after the start of the load, which had ended by then", elapsed)
	}
	return s.collectResults(ctx, loads, stopProbes)
}

// startProbes starts the measurement of interruptions and returns a function that ends it. The default scenario has no
// probes, since they would add to its load.
func (s *scenario) startProbes(ctx context.Context) func() {
	if s.variant.name == "" {
		return func() {}
	}
	var subjects []prober.Subject
	if !s.variant.skipUnkeyedLoad {
		subjects = append(subjects, prober.Subject{Service: unkeyedService})
	}
	for n := range probedKeys {
		subjects = append(subjects, prober.Subject{Service: keyedService, Key: fmt.Sprintf("probe-%d", n)})
	}
	s.probes = prober.New(subjects, s.entries(nil))
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.probes.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// awaitServed waits until every probed subject has been served, and then until the probes have warmed up the upstreams.
func (s *scenario) awaitServed(ctx context.Context) error {
	if s.probes == nil {
		return nil
	}
	start := time.Now()
	for s.probes.NeverServed() > 0 {
		if time.Since(start) > readyTimeout {
			return errors.Newf("%d probed keys are not served after %s", s.probes.NeverServed(), readyTimeout)
		}
		if err := pause(ctx, readyPollInterval); err != nil {
			return err
		}
	}
	s.logf("all probed keys were served %.1f s after the daemons were ready", time.Since(start).Seconds())
	if err := pause(ctx, warmUpTime); err != nil {
		return err
	}
	s.probes.Reset()
	return nil
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "demo")
	case <-time.After(length):
		return nil
	}
}

// entries returns the addresses for callers of all daemons except one, which may be nil.
func (s *scenario) entries(except *daemon) []string {
	var addresses []string
	for _, d := range s.daemons {
		if d != except {
			addresses = append(addresses, d.callerAddress)
		}
	}
	return addresses
}

func (s *scenario) startPlatform(ctx context.Context) error {
	process, err := s.processes.Start("platform", "platformsim", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address, err := process.Address(ctx)
	if err != nil {
		return err
	}
	s.platform = "http://" + address
	s.store = configurer.New(s.platform)
	return nil
}

func (s *scenario) startUpstreams(ctx context.Context) error {
	for index, domain := range failureDomains {
		for n := range 2 {
			if err := s.startUpstream(ctx, keyedService, domain, 2*index+n+1); err != nil {
				return err
			}
		}
		if err := s.startUpstream(ctx, unkeyedService, domain, index+1); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) startUpstream(ctx context.Context, service, domain string, number int) error {
	u := &upstream{name: fmt.Sprintf("u%d", number), service: service, failureDomain: domain, number: number}
	if err := s.runUpstream(ctx, u, u.label(), "127.0.0.1:0"); err != nil {
		return err
	}
	s.upstreams = append(s.upstreams, u)
	return nil
}

// runUpstream starts the process of an upstream. The label names its log and its runs file and must be unique in the
// run.
func (s *scenario) runUpstream(ctx context.Context, u *upstream, label, listen string) error {
	u.runsFile = filepath.Join(s.workDir, label+".runs")
	args := []string{
		"--listen", listen, "--slots", strconv.Itoa(slots), "--service-time-ms", strconv.Itoa(serviceTimeMS),
		"--service-spread-ms", strconv.Itoa(serviceSpreadMS), "--runs-file", u.runsFile,
		"--seed", strconv.Itoa(u.number),
	}
	if u.service == unkeyedService {
		args = append(args, "--no-keys")
	}
	if s.options.NoFence {
		args = append(args, "--no-fence")
	}
	if s.variant.fragile {
		args = append(args, "--fragile")
	}
	process, err := s.processes.Start(label, "upstreamsim", args...)
	if err != nil {
		return err
	}
	u.process = process
	u.address, err = process.Address(ctx)
	return err
}

func (s *scenario) writeConfiguration(ctx context.Context) error {
	for _, name := range failureDomains {
		if err := s.store.CreateFailureDomain(ctx, name); err != nil {
			return err
		}
	}
	for _, service := range []configurer.Service{{Name: keyedService, Keyed: true}, {Name: unkeyedService}} {
		if err := s.store.CreateService(ctx, service); err != nil {
			return err
		}
	}
	for _, u := range s.upstreams {
		err := s.store.CreateUpstream(ctx, configurer.Upstream{
			Name: u.name, Service: u.service, FailureDomain: u.failureDomain, Address: u.address, Slots: slots,
			ChecksFence: !s.options.NoFence,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every daemon reports that it is ready to serve callers.
func (s *scenario) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range s.daemons {
		for !isReady(ctx, d.callerAddress) {
			select {
			case <-ctx.Done():
				return errors.Newf("daemon %s is not ready after %s", d.name, readyTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	s.logf("%d daemons and %d upstreams are ready", len(s.daemons), len(s.upstreams))
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// load is the load generator process of one service. result is the path of its result file.
type load struct {
	service string
	result  string
	process *launcher.Process
}

func (s *scenario) startLoads() ([]load, error) {
	s.loadStart = time.Now()
	rate := max(s.variant.rateFactor, 1)
	keyed, err := s.startLoad(keyedService, rate*s.options.KeyedRate, s.options.Keys)
	if err != nil {
		return nil, err
	}
	if s.variant.skipUnkeyedLoad {
		return []load{keyed}, nil
	}
	unkeyed, err := s.startLoad(unkeyedService, rate*s.options.UnkeyedRate, 0)
	if err != nil {
		return nil, err
	}
	return []load{keyed, unkeyed}, nil
}

func (s *scenario) startLoad(service string, rate float64, keys int) (load, error) {
	l := load{service: service, result: filepath.Join(s.workDir, service+".json")}
	args := []string{
		"--service", service, "--rate", fmt.Sprint(rate), "--keys", strconv.Itoa(keys),
		"--duration-s", fmt.Sprint(s.variant.length.Seconds()), "--deadline-ms", fmt.Sprint(requestDeadline.Milliseconds()),
		"--seed", fmt.Sprint(s.options.Seed), "--id-prefix", service, "--json", l.result,
	}
	for _, d := range s.daemons {
		args = append(args, "--entry", d.callerAddress)
	}
	process, err := s.processes.Start("load-"+service, "loadgen", args...)
	l.process = process
	return l, err
}

// runDefaultFaults takes a failure domain out of service, returns it, and kills a daemon and an upstream.
func (s *scenario) runDefaultFaults(ctx context.Context) error {
	steps := []struct {
		at    time.Duration
		kills bool
		do    func(context.Context) error
	}{
		{at: takeOutAt, do: s.takeOut},
		{at: returnAt, do: s.returnToService},
		{at: killDaemonAt, kills: true, do: s.killDaemon},
		{at: removeHostAt, kills: true, do: s.removeHost},
		{at: killUpstreamAt, kills: true, do: s.killUpstream},
	}
	for _, step := range steps {
		if step.kills && s.options.NoKills {
			continue
		}
		if err := s.waitUntil(ctx, step.at); err != nil {
			return err
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitUntil waits until the given time after the start of the load.
func (s *scenario) waitUntil(ctx context.Context, at time.Duration) error {
	return pause(ctx, time.Until(s.loadStart.Add(at)))
}

func (s *scenario) takeOut(ctx context.Context) error {
	domain := failureDomains[0]
	if err := s.store.SetTakenOut(ctx, domain, true); err != nil {
		return err
	}
	accepted := time.Now()
	s.takeOuts = []checker.TakeOut{{FailureDomain: domain, From: accepted.Add(takeOutBound).UnixNano()}}
	s.logf("took %s out of service", domain)
	return nil
}

func (s *scenario) returnToService(ctx context.Context) error {
	domain := failureDomains[0]
	s.takeOuts[0].Until = time.Now().UnixNano()
	if err := s.store.SetTakenOut(ctx, domain, false); err != nil {
		return err
	}
	s.logf("returned %s to service", domain)
	return nil
}

func (s *scenario) killDaemon(context.Context) error {
	d := s.daemons[killedDaemon]
	d.process.Kill()
	s.logf("killed daemon %s (process %d)", d.name, d.process.ID())
	return nil
}

// removeHost removes the host of the killed daemon from the platform's host list. The list of a platform lags behind
// the loss of a host, so this is a later step than the kill.
func (s *scenario) removeHost(ctx context.Context) error {
	return s.store.RemoveHost(ctx, s.daemons[killedDaemon].name)
}

// killUpstream kills the last upstream with keys, which is in a failure domain that was not taken out of service.
func (s *scenario) killUpstream(context.Context) error {
	s.kill(s.lastKeyedUpstream())
	return nil
}

func (s *scenario) lastKeyedUpstream() *upstream {
	var last *upstream
	for _, u := range s.upstreams {
		if u.service == keyedService {
			last = u
		}
	}
	return last
}

func (s *scenario) kill(u *upstream) {
	u.process.Kill()
	u.killed = true
	s.logf("killed upstream %s (process %d)", u.label(), u.process.ID())
}

// collectResults waits for the end of the load and compares its results with the executions that the upstreams
// recorded.
func (s *scenario) collectResults(ctx context.Context, loads []load, stopProbes func()) (*summary, error) {
	result := &summary{variant: s.variant}
	var requests []checker.Request
	for _, l := range loads {
		// An error of the load generator is ignored if there is a result: exit status 3 means mismatched responses,
		// which the result counts as well.
		waitErr := l.process.Wait(ctx)
		loaded, err := collector.LoadResult(l.result)
		if err != nil {
			return nil, errors.CombineErrors(err, waitErr)
		}
		result.services = append(result.services, serviceResult{service: l.service, result: loaded})
		requests = append(requests, loaded.Requests...)
	}
	stopProbes()
	executions, err := s.collectRuns(ctx, result)
	if err != nil {
		return nil, err
	}
	result.neverRepeat = len(requests)
	result.executions = len(executions)
	if s.addLimits != nil {
		s.addLimits(result, executions)
	}
	result.findings = checker.Check(requests, executions, s.takeOuts)
	result.exited = s.processes.Exited()
	result.elapsed = time.Since(s.start)
	result.limits = s.limits(result)
	return result, nil
}

func (s *scenario) collectRuns(ctx context.Context, result *summary) ([]checker.Execution, error) {
	var all []checker.Execution
	for _, u := range append(s.replaced, s.upstreams...) {
		executions, err := s.runsOf(ctx, u, result)
		if err != nil {
			return nil, err
		}
		for i := range executions {
			executions[i].Upstream = u.label()
			executions[i].FailureDomain = u.failureDomain
		}
		all = append(all, executions...)
	}
	return all, nil
}

func (s *scenario) runsOf(ctx context.Context, u *upstream, result *summary) ([]checker.Execution, error) {
	if u.killed {
		return collector.RunsFile(u.runsFile)
	}
	executions, peaks, err := collector.Runs(ctx, u.address)
	result.peakInFlight = max(result.peakInFlight, peaks.InFlight)
	result.peakOverCapacity = max(result.peakOverCapacity, peaks.OverCapacity)
	return executions, err
}

func (s *scenario) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, "%6.2fs %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}
