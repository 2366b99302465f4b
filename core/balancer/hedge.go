package balancer

import (
	"time"

	"rhubarbtrack.example/core/configurator"
)

const (
	// hedgeQuantile is the quantile of all observed latencies after which a hedge is sent. 1 - hedgeQuantile equals
	// DefaultHedgeShare.
	hedgeQuantile = 0.95
	// maxHedgeBudget limits the budget that accumulates while no hedges are needed. Each host has its own budget: with a
	// limit of 15 on each of 5 hosts, hedges added 8% load in the 5 s after two of three upstreams became slow.
	maxHedgeBudget = 1
	// hedgeSuccessRate is the share of successes below which no hedges are sent, because they add load to upstreams that
	// already fail.
	hedgeSuccessRate = 0.8
	// minHedgeSamples is the minimum decayed number of responses from which a delay is derived.
	minHedgeSamples = 20
)

// HedgeAfter returns how long to wait for the response to an attempt before a call of Hedge. It reports false for
// requests that must not be hedged, and while there are too few samples.
func (b *Balancer) HedgeAfter(now time.Duration, first Attempt) (time.Duration, bool) {
	if first.Class == configurator.NeverRepeat || b.latency.count(now) < minHedgeSamples {
		return 0, false
	}
	return b.latency.quantile(hedgeQuantile), true
}

// Hedge starts a second attempt on another upstream for an attempt without a response. It reports false if the budget is
// used up, if many attempts fail, or if every other upstream is cold, drained or ejected.
//
// The caller must not hedge suspects of the detector. They wait until they can run alone, and the hedge of a request
// that crashes upstreams crashes a second one.
func (b *Balancer) Hedge(now time.Duration, first Attempt) (Attempt, bool) {
	known, ok := b.attempts[first.ID]
	if !ok || known.pair != 0 || first.Class == configurator.NeverRepeat {
		return Attempt{}, false
	}
	if b.hedgeBudget < 1 || b.successRate < hedgeSuccessRate {
		return Attempt{}, false
	}
	chosen := b.draw(now, func(t *target) bool {
		return t != known.target && !t.Cold && !t.Drained && !t.ejected
	})
	if chosen == nil {
		return Attempt{}, false
	}
	b.hedgeBudget--
	hedge := b.begin(now, chosen, first.Class, first.ID)
	known.pair = hedge.ID
	b.attempts[first.ID] = known
	return hedge, true
}
