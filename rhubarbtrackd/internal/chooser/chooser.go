// Package chooser holds the decisions of an entry host that need state per service: which upstream of a service that is
// not partitioned by key runs a request, when a hedge is sent, and whether a failed request is sent again.
//
// # Usage
//
//	c := chooser.New(seed, locate)
//	c.Offer("label-templates")
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

// targetInterval bounds how often the list of upstreams is rebuilt from the configuration and the table.
const targetInterval = 50 * time.Millisecond

// Chooser is safe for concurrent use.
type Chooser struct {
	seed    uint64
	locator *locator.Locator

	mu       sync.Mutex
	services map[string]*state
}

// state is the state of one service.
type state struct {
	mu        sync.Mutex
	balancer  *balancer.Balancer
	retrier   *retrier.Retrier
	targetsAt time.Duration
	targets   bool
}

// New returns a chooser that reads upstreams from l.
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

// CountRequest counts a request of a caller for the retry budget.
func (c *Chooser) CountRequest(service string) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.CountRequest()
}

// CountAttempt counts an attempt that reached an upstream.
func (c *Chooser) CountAttempt(service string, succeeded bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.Observe(succeeded)
}

// Allow decides whether a failed request is sent again.
func (c *Chooser) Allow(now time.Duration, service string, attempt retrier.Attempt) retrier.Decision {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Allow(now, attempt)
}

// Begin chooses an upstream that is not excluded.
func (c *Chooser) Begin(now time.Duration, service string, class configurator.Class, exclude []string) (balancer.Attempt, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targets || now-s.targetsAt >= targetInterval {
		s.targets = true
		s.targetsAt = now
		s.balancer.SetTargets(now, c.upstreams(service))
	}
	return s.balancer.Pick(now, class, exclude)
}

// End reports the end of an attempt. It returns the attempt that is to be cancelled because its hedge, or the request
// that it hedges, was answered first.
func (c *Chooser) End(now time.Duration, service string, attempt balancer.Attempt, outcome balancer.Outcome) (balancer.Attempt, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Observe(now, balancer.Ended{Attempt: attempt, Outcome: outcome})
}

// HedgeAfter returns how long to wait for an answer before a hedge is considered. No hedges are sent while most attempts
// of the service fail.
func (c *Chooser) HedgeAfter(now time.Duration, service string, first balancer.Attempt) (time.Duration, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retrier.Failing() {
		return 0, false
	}
	return s.balancer.HedgeAfter(now, first)
}

// Hedge chooses the upstream of a hedge, if the budget allows one.
func (c *Chooser) Hedge(now time.Duration, service string, first balancer.Attempt) (balancer.Attempt, bool) {
	s := c.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retrier.Failing() {
		return balancer.Attempt{}, false
	}
	return s.balancer.Hedge(now, first)
}

// upstreams lists the upstreams that have an admission host.
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
