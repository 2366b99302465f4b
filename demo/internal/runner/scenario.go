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

// Times of the scenario, counted from the start of the load.
const (
	takeOutAt      = 4 * time.Second
	takeBackAt     = 12 * time.Second
	killDaemonAt   = 17 * time.Second
	removeHostAt   = 19 * time.Second
	killUpstreamAt = 22 * time.Second
	defaultLength  = 30 * time.Second
)

const (
	// emptiedAfter is the time after which a failure domain that was taken out receives no new work (G4).
	emptiedAfter = 4 * time.Second
	// requestDeadline is longer than the 3 s within which a key is served again after a loss.
	requestDeadline = 5 * time.Second
	readyLimit      = 15 * time.Second
	readyInterval   = 100 * time.Millisecond
	slots           = 6
	serviceTimeMS   = 5
	serviceSpreadMS = 2
	// probedKeys are enough for every upstream to own some of them.
	probedKeys = 40
	// warmUp is the time in which the probes alone raise the limits of cold upstreams.
	warmUp = 4 * time.Second
)

const (
	keyedService   = "shelf-marks"
	unkeyedService = "label-templates"
)

// failureDomains are the domains of the demo; the first one is taken out of service and back.
var failureDomains = []string{"domain-a", "domain-b", "domain-c"}

// daemonDomains places five daemons, since the controller record names five witnesses. The daemon with the index
// killedDaemon is killed.
var daemonDomains = []string{"domain-a", "domain-a", "domain-b", "domain-b", "domain-c"}

const killedDaemon = 2

// upstream is an upstream that the demo started.
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

// scenario is one run of a part with its own processes.
type scenario struct {
	options   options
	part      part
	work      string
	processes *launcher.Launcher
	out       io.Writer
	start     time.Time

	// peerSecret authenticates the daemons to each other; every run has its own.
	peerSecret string

	store     *configurer.Store
	platform  string
	daemons   []*daemon
	upstreams []*upstream
	loadStart time.Time
	absences  []checker.TakeOut
	// former are upstream processes that were killed and replaced at the same address.
	former []*upstream
	probes *prober.Prober
	// extra are limits that the disturbance of the part measured itself.
	extra []limit
	// judge adds limits that need the executions of all upstreams; it may be nil.
	judge func(*summary, []checker.Execution)
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
	endProbes := s.startProbes(ctx)
	defer endProbes()
	if err := s.awaitServed(ctx); err != nil {
		return nil, err
	}
	loads, err := s.startLoads()
	if err != nil {
		return nil, err
	}
	if err := s.part.disturb(ctx, s); err != nil {
		return nil, err
	}
	if late := time.Since(s.loadStart); late > s.part.length {
		return nil, errors.Newf("the faults ended after the load: %s", late)
	}
	return s.conclude(ctx, loads, endProbes)
}

// startProbes starts the measurement of interruptions, except in the default scenario, whose load must stay as it is. The
// result ends it.
func (s *scenario) startProbes(ctx context.Context) func() {
	if s.part.name == "" {
		return func() {}
	}
	var subjects []prober.Subject
	if !s.part.unkeyedQuiet {
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

// awaitServed waits until all probed keys have been served, and then until the probes have warmed up the upstreams.
func (s *scenario) awaitServed(ctx context.Context) error {
	if s.probes == nil {
		return nil
	}
	begun := time.Now()
	for s.probes.NeverServed() > 0 {
		if time.Since(begun) > readyLimit {
			return errors.Newf("%d probed keys are not served after %s", s.probes.NeverServed(), readyLimit)
		}
		if err := pause(ctx, readyInterval); err != nil {
			return err
		}
	}
	s.say("all probed keys were served %.1f s after readiness", time.Since(begun).Seconds())
	if err := pause(ctx, warmUp); err != nil {
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

// entries returns the callers' addresses of all daemons but one.
func (s *scenario) entries(without *daemon) []string {
	var addresses []string
	for _, d := range s.daemons {
		if d != without {
			addresses = append(addresses, d.callers)
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

// runUpstream starts the process of an upstream under a label that no other process has.
func (s *scenario) runUpstream(ctx context.Context, u *upstream, label, listen string) error {
	u.runsFile = filepath.Join(s.work, label+".runs")
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
	if s.part.fragile {
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

// awaitReady waits until every daemon is ready to serve callers.
func (s *scenario) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, d := range s.daemons {
		for !isReady(ctx, d.callers) {
			select {
			case <-ctx.Done():
				return errors.Newf("daemon %s is not ready after %s", d.name, readyLimit)
			case <-time.After(readyInterval):
			}
		}
	}
	s.say("%d daemons and %d upstreams are ready", len(s.daemons), len(s.upstreams))
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// load is a load generator of one service.
type load struct {
	service string
	result  string
	process *launcher.Process
}

func (s *scenario) startLoads() ([]load, error) {
	s.loadStart = time.Now()
	rate := max(s.part.rateFactor, 1)
	keyed, err := s.startLoad(keyedService, rate*s.options.KeyedRate, s.options.Keys)
	if err != nil {
		return nil, err
	}
	if s.part.unkeyedQuiet {
		return []load{keyed}, nil
	}
	unkeyed, err := s.startLoad(unkeyedService, rate*s.options.UnkeyedRate, 0)
	if err != nil {
		return nil, err
	}
	return []load{keyed, unkeyed}, nil
}

func (s *scenario) startLoad(service string, rate float64, keys int) (load, error) {
	l := load{service: service, result: filepath.Join(s.work, service+".json")}
	args := []string{
		"--service", service, "--rate", fmt.Sprint(rate), "--keys", strconv.Itoa(keys),
		"--duration-s", fmt.Sprint(s.part.length.Seconds()), "--deadline-ms", fmt.Sprint(requestDeadline.Milliseconds()),
		"--seed", fmt.Sprint(s.options.Seed), "--id-prefix", service, "--json", l.result,
	}
	for _, d := range s.daemons {
		args = append(args, "--entry", d.callers)
	}
	process, err := s.processes.Start("load-"+service, "loadgen", args...)
	l.process = process
	return l, err
}

// disturb takes a failure domain out of service and back, and kills a daemon and an upstream, while the load runs.
func (s *scenario) disturb(ctx context.Context) error {
	steps := []struct {
		at    time.Duration
		kills bool
		do    func(context.Context) error
	}{
		{at: takeOutAt, do: s.takeOut},
		{at: takeBackAt, do: s.takeBack},
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

// waitUntil waits for a time since the start of the load.
func (s *scenario) waitUntil(ctx context.Context, at time.Duration) error {
	return pause(ctx, time.Until(s.loadStart.Add(at)))
}

func (s *scenario) takeOut(ctx context.Context) error {
	domain := failureDomains[0]
	if err := s.store.SetTakenOut(ctx, domain, true); err != nil {
		return err
	}
	accepted := time.Now()
	s.absences = []checker.TakeOut{{FailureDomain: domain, From: accepted.Add(emptiedAfter).UnixNano()}}
	s.say("took %s out of service", domain)
	return nil
}

func (s *scenario) takeBack(ctx context.Context) error {
	domain := failureDomains[0]
	s.absences[0].Until = time.Now().UnixNano()
	if err := s.store.SetTakenOut(ctx, domain, false); err != nil {
		return err
	}
	s.say("returned %s to service", domain)
	return nil
}

func (s *scenario) killDaemon(context.Context) error {
	d := s.daemons[killedDaemon]
	d.process.Kill()
	s.say("killed daemon %s (process %d)", d.name, d.process.ID())
	return nil
}

// removeHost removes the killed daemon from the platform's list, which lags behind the loss.
func (s *scenario) removeHost(ctx context.Context) error {
	return s.store.RemoveHost(ctx, s.daemons[killedDaemon].name)
}

// killUpstream kills the last upstream with keys. It is in a domain that was not taken out.
func (s *scenario) killUpstream(context.Context) error {
	s.kill(s.lastKeyed())
	return nil
}

func (s *scenario) lastKeyed() *upstream {
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
	s.say("killed upstream %s (process %d)", u.label(), u.process.ID())
}

// conclude waits for the load to end and compares its results with the evidence of the upstreams.
func (s *scenario) conclude(ctx context.Context, loads []load, endProbes func()) (*summary, error) {
	result := &summary{part: s.part}
	var requests []checker.Request
	for _, l := range loads {
		// A status of 3 reports mismatched answers, which the result names as well.
		waited := l.process.Wait(ctx)
		loaded, err := collector.LoadResult(l.result)
		if err != nil {
			return nil, errors.CombineErrors(err, waited)
		}
		result.services = append(result.services, serviceResult{service: l.service, result: loaded})
		requests = append(requests, loaded.Requests...)
	}
	endProbes()
	executions, err := s.collectRuns(ctx, result)
	if err != nil {
		return nil, err
	}
	result.neverRepeat = len(requests)
	result.executions = len(executions)
	if s.judge != nil {
		s.judge(result, executions)
	}
	result.findings = checker.Check(requests, executions, s.absences)
	result.exited = s.processes.Exited()
	result.elapsed = time.Since(s.start)
	result.limits = s.limits(result)
	return result, nil
}

func (s *scenario) collectRuns(ctx context.Context, result *summary) ([]checker.Execution, error) {
	var all []checker.Execution
	for _, u := range append(s.former, s.upstreams...) {
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

func (s *scenario) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, "%6.2fs %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}
