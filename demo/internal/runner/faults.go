package runner

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/checker"
	"rhubarbtrack.example/demo/internal/injector"
	"rhubarbtrack.example/demo/internal/observer"
)

// Times of the fault scenarios, counted from the start of the load.
const (
	// faultAt leaves time without faults in which cold upstreams warm up.
	faultAt        = 4 * time.Second
	outageLength   = 30 * time.Second
	killInOutageAt = 14 * time.Second
	pauseLength    = 5 * time.Second
	secondFaultAt  = 12 * time.Second
	// settleTime lets moves in progress finish before owners are compared.
	settleTime        = 5 * time.Second
	badResponseLength = 3 * time.Second
	responseDelay     = 300 * time.Millisecond
)

// storeOutage makes the platform unavailable for 30 s. It calls kill 10 s after the start of the outage unless kill is
// nil.
func storeOutage(kill func(*scenario)) func(context.Context, *scenario) error {
	return func(ctx context.Context, s *scenario) error {
		if err := s.waitUntil(ctx, faultAt); err != nil {
			return err
		}
		if err := s.setPlatform(ctx, injector.Platform{Down: true}); err != nil {
			return err
		}
		if kill != nil {
			if err := s.waitUntil(ctx, killInOutageAt); err != nil {
				return err
			}
			kill(s)
		}
		if err := s.waitUntil(ctx, faultAt+outageLength); err != nil {
			return err
		}
		return s.setPlatform(ctx, injector.Platform{})
	}
}

func (s *scenario) setPlatform(ctx context.Context, faults injector.Platform) error {
	s.logf("platform: down=%t lose-answers=%t stale-reads=%t", faults.Down, faults.DropResponses, faults.StaleReads)
	return injector.SetPlatform(ctx, s.platform, faults)
}

func killLastKeyed(s *scenario) {
	s.kill(s.lastKeyedUpstream())
}

// killDomain kills all upstreams of the last failure domain.
func killDomain(s *scenario) {
	for _, u := range s.upstreams {
		if u.failureDomain == failureDomains[len(failureDomains)-1] {
			s.kill(u)
		}
	}
}

// pauseController stops the process of the controller of the service with keys by SIGSTOP for 5 s. The probes avoid the
// paused host until moves have settled.
func pauseController(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	name, err := observer.Controller(ctx, s.daemons[0].operatorAddress, keyedService)
	if err != nil {
		return err
	}
	d, err := s.daemonOf(name)
	if err != nil {
		return err
	}
	s.probes.SetEntries(s.entries(d))
	if err := d.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	s.logf("paused %s, the controller of %s", name, keyedService)
	if err := s.waitUntil(ctx, faultAt+pauseLength); err != nil {
		return err
	}
	if err := d.process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	s.logf("resumed %s", name)
	if err := s.waitUntil(ctx, faultAt+pauseLength+settleTime); err != nil {
		return err
	}
	s.probes.SetEntries(s.entries(nil))
	return nil
}

func (s *scenario) daemonOf(name string) (*daemon, error) {
	for _, d := range s.daemons {
		if d.name == name {
			return d, nil
		}
	}
	return nil, errors.Newf("controller %q is not a daemon of the demo", name)
}

// freezeUpstream freezes an upstream with keys for 5 s. The simulator resumes by itself.
func freezeUpstream(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	u := s.lastKeyedUpstream()
	if err := s.freeze(ctx, u); err != nil {
		return err
	}
	return s.waitUntil(ctx, faultAt+pauseLength)
}

func (s *scenario) freeze(ctx context.Context, u *upstream) error {
	s.logf("froze upstream %s for %s", u.label(), pauseLength)
	return injector.SetUpstream(ctx, u.address, injector.Upstream{FreezeMS: pauseLength.Milliseconds()})
}

// restartUpstreams kills one upstream of each service, one after the other, and restarts each at the same address.
func restartUpstreams(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	if err := s.restart(ctx, s.lastKeyedUpstream()); err != nil {
		return err
	}
	if err := s.waitUntil(ctx, secondFaultAt); err != nil {
		return err
	}
	for _, u := range s.upstreams {
		if u.service == unkeyedService {
			return s.restart(ctx, u)
		}
	}
	return nil
}

func (s *scenario) restart(ctx context.Context, u *upstream) error {
	s.kill(u)
	previous := *u
	s.replaced = append(s.replaced, &previous)
	if err := s.runUpstream(ctx, u, u.label()+"-again", u.address); err != nil {
		return err
	}
	u.killed = false
	s.logf("restarted upstream %s (process %d)", u.label(), u.process.ID())
	return nil
}

// restartAll kills all daemons, restarts them, and counts the slices whose owner differs afterwards.
func restartAll(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	before, err := observer.Owners(ctx, s.daemons[0].operatorAddress, keyedService)
	if err != nil {
		return err
	}
	for _, d := range s.daemons {
		d.process.Kill()
	}
	s.logf("killed all daemons")
	for _, d := range s.daemons {
		if err := s.restartDaemon(d); err != nil {
			return err
		}
	}
	if err := s.waitUntil(ctx, faultAt+restartBound+settleTime); err != nil {
		return err
	}
	after, err := observer.Owners(ctx, s.daemons[0].operatorAddress, keyedService)
	if err != nil {
		return err
	}
	s.extraLimits = append(s.extraLimits, limit{name: "slices-moved", measured: float64(countDifferences(before, after))})
	s.logf("%d slices before, %d after", len(before), len(after))
	return nil
}

func countDifferences(before, after map[uint32]string) int {
	count := 0
	for slice, owner := range before {
		if after[slice] != owner {
			count++
		}
	}
	for slice := range after {
		if _, ok := before[slice]; !ok {
			count++
		}
	}
	return count
}

// restartDaemon starts a daemon that has exited, with the same addresses. The new process logs to a file of its own.
func (s *scenario) restartDaemon(d *daemon) error {
	d.restarts++
	process, err := s.processes.Start(fmt.Sprintf("%s-%d", d.name, d.restarts+1), "rhubarbtrackd", "--settings", d.settings)
	d.process = process
	return err
}

// faultyPlatform takes a failure domain out of service and returns it while the platform drops the responses to all
// writes and answers reads with the state before the change.
func faultyPlatform(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	faulty := injector.Platform{DropResponses: true, StaleReads: true}
	if err := s.changeWithLostResponse(ctx, true, faulty); err != nil {
		return err
	}
	s.takeOuts = []checker.TakeOut{{FailureDomain: failureDomains[0], From: time.Now().Add(takeOutBound).UnixNano()}}
	if err := s.waitUntil(ctx, secondFaultAt); err != nil {
		return err
	}
	s.takeOuts[0].Until = time.Now().UnixNano()
	if err := s.changeWithLostResponse(ctx, false, faulty); err != nil {
		return err
	}
	if err := s.waitUntil(ctx, secondFaultAt+2*settleTime); err != nil {
		return err
	}
	return s.setPlatform(ctx, injector.Platform{})
}

// changeWithLostResponse takes the first failure domain out of service, or returns it, by a write whose response is
// lost. The version is read without faults, since a stale one would make the write fail.
func (s *scenario) changeWithLostResponse(ctx context.Context, takenOut bool, faults injector.Platform) error {
	if err := s.setPlatform(ctx, injector.Platform{}); err != nil {
		return err
	}
	version, err := s.store.FailureDomainVersion(ctx, failureDomains[0])
	if err != nil {
		return err
	}
	if err := s.setPlatform(ctx, faults); err != nil {
		return err
	}
	if s.store.PutTakenOut(ctx, failureDomains[0], takenOut, version) == nil {
		return errors.New("the platform responded to a write while it had to drop responses")
	}
	s.logf("%s: taken-out=%t, answer lost", failureDomains[0], takenOut)
	return nil
}

// replaceDaemons restarts the daemons one after the other. It stops each by SIGTERM and waits until all are ready
// before the next one.
func replaceDaemons(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	for _, d := range s.daemons {
		s.probes.SetEntries(s.entries(d))
		start := time.Now()
		if err := d.process.Terminate(ctx); err != nil {
			return err
		}
		s.logf("%s exited %.2f s after SIGTERM", d.name, time.Since(start).Seconds())
		if err := s.restartDaemon(d); err != nil {
			return err
		}
		if err := s.awaitReady(ctx); err != nil {
			return err
		}
		s.probes.SetEntries(s.entries(nil))
	}
	return nil
}

// moveAndKillWithoutFences takes a failure domain out of service, returns it, and then kills an upstream.
func moveAndKillWithoutFences(ctx context.Context, s *scenario) error {
	steps := []struct {
		at time.Duration
		do func(context.Context) error
	}{{takeOutAt, s.takeOut}, {returnAt, s.returnToService}, {killUpstreamAt, s.killUpstream}}
	for _, step := range steps {
		if err := s.waitUntil(ctx, step.at); err != nil {
			return err
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// corruptResponses makes the last upstream with keys and the first one without keys send wrong responses: each kind of
// fault for 3 s, and then all kinds together.
func corruptResponses(ctx context.Context, s *scenario) error {
	var faulty []*upstream
	for _, u := range s.upstreams {
		if u == s.lastKeyedUpstream() || u.service == unkeyedService && u.number == 1 {
			faulty = append(faulty, u)
		}
	}
	kinds := []injector.Upstream{
		{SwapResponses: true}, {TruncateResponses: true}, {ResponseDelayMS: responseDelay.Milliseconds()},
		{SwapResponses: true, TruncateResponses: true, ResponseDelayMS: responseDelay.Milliseconds()}, {},
	}
	for i, kind := range kinds {
		if err := s.waitUntil(ctx, faultAt+time.Duration(i)*badResponseLength); err != nil {
			return err
		}
		s.logf("responses of %d upstreams: cross=%t truncate=%t late-ms=%d", len(faulty), kind.SwapResponses,
			kind.TruncateResponses, kind.ResponseDelayMS)
		for _, u := range faulty {
			if err := injector.SetUpstream(ctx, u.address, kind); err != nil {
				return err
			}
		}
	}
	return nil
}
