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
	// faultAt leaves a quiet time in which cold upstreams warm up.
	faultAt        = 4 * time.Second
	outageLength   = 30 * time.Second
	lossInOutageAt = 14 * time.Second
	pauseLength    = 5 * time.Second
	secondFaultAt  = 12 * time.Second
	// settleTime lets moves that were under way end before owners are compared.
	settleTime   = 5 * time.Second
	spoiltLength = 3 * time.Second
	lateAnswer   = 300 * time.Millisecond
)

// storeOutage takes the platform down for 30 s, with a loss in the middle of the outage unless it is nil.
func storeOutage(lose func(*scenario)) func(context.Context, *scenario) error {
	return func(ctx context.Context, s *scenario) error {
		if err := s.waitUntil(ctx, faultAt); err != nil {
			return err
		}
		if err := s.setPlatform(ctx, injector.Platform{Down: true}); err != nil {
			return err
		}
		if lose != nil {
			if err := s.waitUntil(ctx, lossInOutageAt); err != nil {
				return err
			}
			lose(s)
		}
		if err := s.waitUntil(ctx, faultAt+outageLength); err != nil {
			return err
		}
		return s.setPlatform(ctx, injector.Platform{})
	}
}

func (s *scenario) setPlatform(ctx context.Context, faults injector.Platform) error {
	s.say("platform: down=%t lose-answers=%t stale-reads=%t", faults.Down, faults.DropResponses, faults.StaleReads)
	return injector.SetPlatform(ctx, s.platform, faults)
}

func killLastKeyed(s *scenario) {
	s.kill(s.lastKeyed())
}

// killDomain kills all upstreams of the last failure domain.
func killDomain(s *scenario) {
	for _, u := range s.upstreams {
		if u.failureDomain == failureDomains[len(failureDomains)-1] {
			s.kill(u)
		}
	}
}

// pauseController pauses the daemon that controls the service with keys.
func pauseController(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	name, err := observer.Controller(ctx, s.daemons[0].operators, keyedService)
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
	s.say("paused %s, the controller of %s", name, keyedService)
	if err := s.waitUntil(ctx, faultAt+pauseLength); err != nil {
		return err
	}
	if err := d.process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	s.say("resumed %s", name)
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
	return nil, errors.Newf("there is no daemon %q", name)
}

// freezeUpstream freezes an upstream with keys, which resumes by itself.
func freezeUpstream(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	u := s.lastKeyed()
	if err := s.freeze(ctx, u); err != nil {
		return err
	}
	return s.waitUntil(ctx, faultAt+pauseLength)
}

func (s *scenario) freeze(ctx context.Context, u *upstream) error {
	s.say("froze upstream %s for %s", u.label(), pauseLength)
	return injector.SetUpstream(ctx, u.address, injector.Upstream{FreezeMS: pauseLength.Milliseconds()})
}

// restartUpstreams kills an upstream of each service and starts it again at the same address.
func restartUpstreams(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	if err := s.restart(ctx, s.lastKeyed()); err != nil {
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
	former := *u
	s.former = append(s.former, &former)
	if err := s.runUpstream(ctx, u, u.label()+"-again", u.address); err != nil {
		return err
	}
	u.killed = false
	s.say("started upstream %s again (process %d)", u.label(), u.process.ID())
	return nil
}

// restartAll kills all daemons, starts them again, and compares the owners of the slices.
func restartAll(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	before, err := observer.Owners(ctx, s.daemons[0].operators, keyedService)
	if err != nil {
		return err
	}
	for _, d := range s.daemons {
		d.process.Kill()
	}
	s.say("killed all daemons")
	for _, d := range s.daemons {
		if err := s.startDaemonAgain(d); err != nil {
			return err
		}
	}
	if err := s.waitUntil(ctx, faultAt+servedAfterRestart+settleTime); err != nil {
		return err
	}
	after, err := observer.Owners(ctx, s.daemons[0].operators, keyedService)
	if err != nil {
		return err
	}
	s.extra = append(s.extra, limit{name: "slices-moved", measured: float64(differences(before, after))})
	s.say("%d slices before, %d after", len(before), len(after))
	return nil
}

func differences(before, after map[uint32]string) int {
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

// startDaemonAgain starts a daemon that has ended at the same addresses. Its log gets a new name.
func (s *scenario) startDaemonAgain(d *daemon) error {
	d.starts++
	process, err := s.processes.Start(fmt.Sprintf("%s-%d", d.name, d.starts+1), "rhubarbtrackd", "--settings", d.settings)
	d.process = process
	return err
}

// faultyPlatform takes a failure domain out and returns it while the platform loses the answers of all writes and returns
// the state of the moment before as the current one.
func faultyPlatform(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	faulty := injector.Platform{DropResponses: true, StaleReads: true}
	if err := s.changeUnanswered(ctx, true, faulty); err != nil {
		return err
	}
	s.absences = []checker.TakeOut{{FailureDomain: failureDomains[0], From: time.Now().Add(emptiedAfter).UnixNano()}}
	if err := s.waitUntil(ctx, secondFaultAt); err != nil {
		return err
	}
	s.absences[0].Until = time.Now().UnixNano()
	if err := s.changeUnanswered(ctx, false, faulty); err != nil {
		return err
	}
	if err := s.waitUntil(ctx, secondFaultAt+2*settleTime); err != nil {
		return err
	}
	return s.setPlatform(ctx, injector.Platform{})
}

// changeUnanswered takes the first failure domain out or back by a write whose answer is lost.
func (s *scenario) changeUnanswered(ctx context.Context, out bool, faults injector.Platform) error {
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
	if s.store.PutTakenOut(ctx, failureDomains[0], out, version) == nil {
		return errors.New("the platform answered a write whose answer had to be lost")
	}
	s.say("%s: taken-out=%t, answer lost", failureDomains[0], out)
	return nil
}

// replaceDaemons ends one daemon after the other by SIGTERM and starts it again.
func replaceDaemons(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	for _, d := range s.daemons {
		s.probes.SetEntries(s.entries(d))
		begun := time.Now()
		if err := d.process.Terminate(ctx); err != nil {
			return err
		}
		s.say("%s ended %.2f s after SIGTERM", d.name, time.Since(begun).Seconds())
		if err := s.startDaemonAgain(d); err != nil {
			return err
		}
		if err := s.awaitReady(ctx); err != nil {
			return err
		}
		s.probes.SetEntries(s.entries(nil))
	}
	return nil
}

// moveAndKillWithoutFences takes a failure domain out and back and then kills an upstream.
func moveAndKillWithoutFences(ctx context.Context, s *scenario) error {
	steps := []struct {
		at time.Duration
		do func(context.Context) error
	}{{takeOutAt, s.takeOut}, {takeBackAt, s.takeBack}, {killUpstreamAt, s.killUpstream}}
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

// spoilAnswers makes the last upstream with keys and the first one without answer wrongly, each kind of fault in turn and
// then all together.
func spoilAnswers(ctx context.Context, s *scenario) error {
	var spoilt []*upstream
	for _, u := range s.upstreams {
		if u == s.lastKeyed() || u.service == unkeyedService && u.number == 1 {
			spoilt = append(spoilt, u)
		}
	}
	kinds := []injector.Upstream{
		{SwapResponses: true}, {TruncateResponses: true}, {ResponseDelayMS: lateAnswer.Milliseconds()},
		{SwapResponses: true, TruncateResponses: true, ResponseDelayMS: lateAnswer.Milliseconds()}, {},
	}
	for i, kind := range kinds {
		if err := s.waitUntil(ctx, faultAt+time.Duration(i)*spoiltLength); err != nil {
			return err
		}
		s.say("answers of %d upstreams: cross=%t truncate=%t late-ms=%d", len(spoilt), kind.SwapResponses, kind.TruncateResponses, kind.ResponseDelayMS)
		for _, u := range spoilt {
			if err := injector.SetUpstream(ctx, u.address, kind); err != nil {
				return err
			}
		}
	}
	return nil
}
