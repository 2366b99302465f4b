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
	raceRounds = 6
	// rolloutBound is the time within which an accepted change is applied on every host (requirement G10).
	rolloutBound        = 4 * time.Second
	rolloutTimeout      = 8 * time.Second
	rolloutPollInterval = 50 * time.Millisecond
	// addedServiceTimeMS keeps slots of the service without keys in use: a service without demand never has
	// insufficient capacity.
	addedServiceTimeMS = 40
)

// raceOperators sends the same change of an upstream, a drain or its end, from two operators at the same time through
// different hosts. It then attempts to take out a failure domain with the only remaining upstream of a service.
func raceOperators(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	wrongRounds := 0
	slowest := time.Duration(0)
	for round := range raceRounds {
		oneWinner, elapsed, err := s.race(ctx, round)
		if err != nil {
			return err
		}
		if !oneWinner {
			wrongRounds++
		}
		slowest = max(slowest, elapsed)
	}
	rejected, err := s.takeOutWithoutCapacity(ctx)
	if err != nil {
		return err
	}
	s.extraLimits = append(s.extraLimits,
		limit{name: "races-without-one-winner-and-one-conflict", measured: float64(wrongRounds)},
		limit{name: "in-force-everywhere-s", measured: slowest.Seconds(), bound: rolloutBound.Seconds()},
		limit{name: "take-outs-without-capacity-not-refused", measured: 1 - float64(rejected)})
	return nil
}

// race returns whether exactly one operator succeeded while the other received a conflict, and the time until all hosts
// had applied the change.
func (s *scenario) race(ctx context.Context, round int) (bool, time.Duration, error) {
	name := s.lastKeyedUpstream().label()
	expected, err := observer.UpstreamVersion(ctx, s.daemons[0].operatorAddress, name)
	if err != nil {
		return false, 0, err
	}
	outcomes := make([]observer.Outcome, 2)
	failures := make([]error, 2)
	start := time.Now()
	var group sync.WaitGroup
	for i := range outcomes {
		group.Go(func() {
			host := s.daemons[(round+i)%len(s.daemons)].operatorAddress
			outcomes[i], failures[i] = observer.Drain(ctx, host, name, round%2 == 0, expected, raceOperationID(round, i))
		})
	}
	group.Wait()
	for i, failure := range failures {
		if failure != nil {
			s.logf("race %d, operator %d: %v", round, i, failure)
		}
	}
	winner := 0
	if outcomes[1] == observer.Accepted {
		winner = 1
	}
	oneWinner := outcomes[winner] == observer.Accepted && outcomes[1-winner] == observer.Conflict
	if outcomes[winner] != observer.Accepted {
		return false, 0, nil
	}
	elapsed, err := s.awaitRollout(ctx, raceOperationID(round, winner), start)
	s.logf("race %d: operator %d won, exactly one=%t, in force on all hosts after %.2f s", round, winner, oneWinner,
		elapsed.Seconds())
	return oneWinner, elapsed, err
}

func raceOperationID(round, operator int) string { return fmt.Sprintf("race-%d-%d", round, operator) }

// awaitRollout returns the time from start until all hosts have applied the change. It stops waiting after
// rolloutTimeout and returns the time until then, which exceeds rolloutBound.
func (s *scenario) awaitRollout(ctx context.Context, operation string, start time.Time) (time.Duration, error) {
	for time.Since(start) < rolloutTimeout {
		progress, err := observer.Progress(ctx, s.daemons[0].operatorAddress, operation)
		if err == nil && progress.Hosts == len(s.daemons) && progress.HostsApplied == progress.Hosts {
			return time.Since(start), nil
		}
		if err := pause(ctx, rolloutPollInterval); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// takeOutWithoutCapacity drains all upstreams without keys except the one in the first failure domain. It returns 1 if
// the take-out of that domain is rejected because of insufficient capacity, otherwise 0.
func (s *scenario) takeOutWithoutCapacity(ctx context.Context) (int, error) {
	host := s.daemons[0].operatorAddress
	for _, u := range s.upstreams {
		if u.service != unkeyedService {
			continue
		}
		if err := injector.SetUpstream(ctx, u.address, injector.Upstream{SlowMS: addedServiceTimeMS}); err != nil {
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
			return 0, errors.Newf("drain upstream %s: outcome %d, %v", u.label(), outcome, err)
		}
		if _, err := s.awaitRollout(ctx, operation, time.Now()); err != nil {
			return 0, err
		}
	}
	// The leader heartbeat that carries the number of slots in use is sent every second.
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
	s.logf("take-out without capacity: refused=%t", outcome == observer.InsufficientCapacity)
	if outcome == observer.InsufficientCapacity {
		return 1, nil
	}
	return 0, nil
}
