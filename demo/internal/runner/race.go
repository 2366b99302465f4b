package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/injector"
	"rhubarbtrack.example/demo/internal/observer"
)

const (
	races = 6
	// inForce is the time within which an accepted change is in force on every host (G10).
	inForce         = 4 * time.Second
	rolloutLimit    = 8 * time.Second
	rolloutInterval = 50 * time.Millisecond
	// busyMS keeps slots of the service without keys in use, since a service without demand never lacks capacity.
	busyMS = 40
)

// raceOperators lets two operators drain and refill an upstream at the same time through different hosts, and then takes
// a failure domain out that holds the only remaining upstream of a service.
func raceOperators(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	wrong := 0
	slowest := time.Duration(0)
	for round := range races {
		right, took, err := s.race(ctx, round)
		if err != nil {
			return err
		}
		if !right {
			wrong++
		}
		slowest = max(slowest, took)
	}
	refused, err := s.takeOutWithoutCapacity(ctx)
	if err != nil {
		return err
	}
	s.extra = append(s.extra,
		limit{name: "races-without-one-winner-and-one-conflict", measured: float64(wrong)},
		limit{name: "in-force-everywhere-s", measured: slowest.Seconds(), bound: inForce.Seconds()},
		limit{name: "take-outs-without-capacity-not-refused", measured: 1 - float64(refused)})
	return nil
}

// race returns whether exactly one operator won while the other saw a conflict, and the time until the change was in force.
func (s *scenario) race(ctx context.Context, round int) (bool, time.Duration, error) {
	name := s.lastKeyed().label()
	expected, err := observer.UpstreamVersion(ctx, s.daemons[0].operators, name)
	if err != nil {
		return false, 0, err
	}
	outcomes := make([]observer.Outcome, 2)
	failures := make([]error, 2)
	begun := time.Now()
	var waiting sync.WaitGroup
	for i := range outcomes {
		waiting.Go(func() {
			host := s.daemons[(round+i)%len(s.daemons)].operators
			outcomes[i], failures[i] = observer.Drain(ctx, host, name, round%2 == 0, expected, raceOperation(round, i))
		})
	}
	waiting.Wait()
	for i, failure := range failures {
		if failure != nil {
			s.say("race %d, operator %d: %v", round, i, failure)
		}
	}
	winner := 0
	if outcomes[1] == observer.Accepted {
		winner = 1
	}
	right := outcomes[winner] == observer.Accepted && outcomes[1-winner] == observer.Conflict
	if outcomes[winner] != observer.Accepted {
		return false, 0, nil
	}
	took, err := s.awaitInForce(ctx, raceOperation(round, winner), begun)
	s.say("race %d: operator %d won, exactly one=%t, in force on all hosts after %.2f s", round, winner, right, took.Seconds())
	return right, took, err
}

func raceOperation(round, operator int) string { return fmt.Sprintf("race-%d-%d", round, operator) }

// awaitInForce returns the time from begun until the change is in force on all hosts, at most about rolloutLimit.
func (s *scenario) awaitInForce(ctx context.Context, operation string, begun time.Time) (time.Duration, error) {
	for time.Since(begun) < rolloutLimit {
		progress, err := observer.Progress(ctx, s.daemons[0].operators, operation)
		if err == nil && progress.Hosts == len(s.daemons) && progress.HostsApplied == progress.Hosts {
			return time.Since(begun), nil
		}
		if err := pause(ctx, rolloutInterval); err != nil {
			return 0, err
		}
	}
	return time.Since(begun), nil
}

// takeOutWithoutCapacity drains all upstreams without keys but the one in the first failure domain, and returns 1 when
// taking that domain out is refused for lack of capacity, otherwise 0.
func (s *scenario) takeOutWithoutCapacity(ctx context.Context) (int, error) {
	host := s.daemons[0].operators
	for _, u := range s.upstreams {
		if u.service != unkeyedService {
			continue
		}
		if err := injector.SetUpstream(ctx, u.address, injector.Upstream{SlowMS: busyMS}); err != nil {
			return 0, err
		}
		if u.failureDomain == failureDomains[0] {
			continue
		}
		version, err := observer.UpstreamVersion(ctx, host, u.label())
		if err != nil {
			return 0, err
		}
		operation := "drain-" + u.label()
		outcome, err := observer.Drain(ctx, host, u.label(), true, version, operation)
		if err != nil || outcome != observer.Accepted {
			return 0, errors.Newf("draining %s: outcome %d, %v", u.label(), outcome, err)
		}
		if _, err := s.awaitInForce(ctx, operation, time.Now()); err != nil {
			return 0, err
		}
	}
	// The beacon that carries the slots in use is sent every second.
	if err := pause(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	version, err := observer.FailureDomainVersion(ctx, host, failureDomains[0])
	if err != nil {
		return 0, err
	}
	outcome, err := observer.TakeOut(ctx, host, failureDomains[0], version, "take-out-without-capacity")
	if err != nil {
		return 0, err
	}
	s.say("take-out without capacity: refused=%t", outcome == observer.InsufficientCapacity)
	if outcome == observer.InsufficientCapacity {
		return 1, nil
	}
	return 0, nil
}
