// Package chooser makes the decisions of an entry host that need state per service: which upstream of a service that is
// not keyed runs a request, when a hedged request is sent, and whether a failed request is retried.
//
// # Usage
//
//	c := chooser.New(seed, locator)
//	c.CountRequest("label-templates")
//	attempt, ok := c.Begin(now, "label-templates", configurator.Safe, nil)
//	c.End(now, "label-templates", attempt, balancer.Succeeded)
package chooser

import (
	"sort"
	"sync"
	"time"

	"rhubarbtrack.example/core/balancer"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/retrier"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
)

// targetInterval is the minimum time between two updates of the upstreams from the configuration and the table.
const targetInterval = 50 * time.Millisecond

// Chooser is safe for concurrent use.
type Chooser struct {
	seed    uint64
	locator *locator.Locator

	mu       sync.Mutex
	services map[string]*state
}

type state struct {
	mu             sync.Mutex
	balancer       *balancer.Balancer
	retrier        *retrier.Retrier
	targetsUpdated time.Duration
	targetsSet     bool
}

// New returns a chooser that reads configuration and tables from l. The seed is for random choices.
func New(seed uint64, l *locator.Locator) *Chooser {
	return &Chooser{seed: seed, locator: l, services: map[string]*state{}}
}

func (c *Chooser) state(service string) *state {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		seed := c.seed ^ hasher.Sum(service)
		s = &state{
			balancer: balancer.New(balancer.Options{Seed: seed}),
			retrier:  retrier.New(retrier.Options{Seed: seed}),
		}
		c.services[service] = s
	}
	return s
}

// CountRequest counts a caller's request. The retry budget is a share of these requests.
func (c *Chooser) CountRequest(service string) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.CountRequest()
}

// CountAttempt counts the result of an attempt that reached an upstream. The rate of successes limits retries and
// hedges.
func (c *Chooser) CountAttempt(service string, succeeded bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Observe(succeeded)
}

// Allow decides whether a failed request is retried.
func (c *Chooser) Allow(now time.Duration, service string, attempt retrier.Attempt) retrier.Decision {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Allow(now, attempt)
}

// Begin starts an attempt on an upstream that is not excluded. It returns false if there is none.
func (c *Chooser) Begin(now time.Duration, service string, class configurator.Class, exclude []string) (balancer.Attempt, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targetsSet || now-s.targetsUpdated >= targetInterval {
		s.targetsSet = true
		s.targetsUpdated = now
		s.balancer.SetTargets(now, c.upstreams(service))
	}
	return s.balancer.Pick(now, class, exclude)
}

// End reports the outcome of an attempt. If a hedged request has succeeded, it returns the other attempt and true. The
// caller must cancel that attempt.
func (c *Chooser) End(now time.Duration, service string, attempt balancer.Attempt, outcome balancer.Outcome) (balancer.Attempt, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Observe(now, balancer.Ended{Attempt: attempt, Outcome: outcome})
}

// HedgeAfter returns the time without a response after which a hedge may be sent. It returns false for a request that
// must not be hedged, while there are too few samples, and while most attempts of the service fail.
func (c *Chooser) HedgeAfter(now time.Duration, service string, first balancer.Attempt) (time.Duration, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retrier.Failing() {
		return 0, false
	}
	return s.balancer.HedgeAfter(now, first)
}

// Hedge starts a hedge of the attempt first on another upstream. It returns false if the hedge budget is used up, if
// many attempts of the service fail, or if no other upstream is suitable.
func (c *Chooser) Hedge(now time.Duration, service string, first balancer.Attempt) (balancer.Attempt, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retrier.Failing() {
		return balancer.Attempt{}, false
	}
	return s.balancer.Hedge(now, first)
}

// upstreams returns the upstreams of a service that have an admission host, sorted by name.
func (c *Chooser) upstreams(service string) []balancer.Target {
	config := c.locator.Config()
	table := c.locator.Table(service)
	if table == nil {
		return nil
	}
	var targets []balancer.Target
	for id, admission := range table.Admission {
		upstream, ok := config.Upstreams[id]
		if !ok || admission.Host == "" {
			continue
		}
		targets = append(targets, balancer.Target{
			Name:          id,
			FailureDomain: upstream.FailureDomain,
			Slots:         upstream.Slots,
			Drained:       upstream.Drained || config.FailureDomains[upstream.FailureDomain].TakenOut,
		})
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
	return targets
}
