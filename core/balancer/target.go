package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// reportHalfLife is the age at which the weight of a load report has halved. Reports can be up to a second late.
	reportHalfLife = 200 * time.Millisecond
	// successWindow is the number of attempts over which the share of successes is averaged.
	successWindow = 10
	// minSuccessRate limits the effect of failures on the cost, so that the load of failing upstreams still counts.
	minSuccessRate = 0.01
	// Shortest and longest ejection. The duration doubles with each probe that fails.
	minEjection = 200 * time.Millisecond
	maxEjection = 2 * time.Second
)

type pending struct {
	id    uint64
	start time.Duration
}

// target is an upstream with its observations and load reports.
type target struct {
	Target
	pending      []pending // in the order of start
	latency      histogram
	successRate  float64 // share of recent attempts that succeeded
	report       int
	reportedAt   time.Duration
	confidence   float64 // in its reports, from 0 to 1; below 1 if they contradicted the observed latency
	ejected      bool
	ejectedUntil time.Duration
	ejection     time.Duration // duration of the latest ejection
}

func newTarget(now time.Duration) *target {
	return &target{successRate: 1, confidence: 1, reportedAt: now - time.Hour}
}

func (t *target) end(id uint64) {
	t.pending = slices.DeleteFunc(t.pending, func(p pending) bool { return p.id == id })
}

// oldest returns the age of the oldest request in flight. It reveals a stalled upstream, which sends no responses.
func (t *target) oldest(now time.Duration) time.Duration {
	if len(t.pending) == 0 {
		return 0
	}
	return now - t.pending[0].start
}

func (t *target) succeed(succeeded bool) {
	t.successRate -= t.successRate / successWindow
	if succeeded {
		t.successRate += 1.0 / successWindow
	}
}

// reported returns the reported load in excess of the requests of this host. mean replaces reports without confidence.
func (t *target) reported(now time.Duration, mean float64) float64 {
	own := float64(t.report) * t.reportWeight(now)
	return max(own*t.confidence+mean*(1-t.confidence)-float64(len(t.pending)), 0)
}

func (t *target) reportWeight(now time.Duration) float64 {
	age := now - t.reportedAt
	if age > 20*reportHalfLife {
		return 0
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

func (t *target) eject(now time.Duration) {
	if now > t.ejectedUntil+maxEjection {
		t.ejection = 0
	}
	t.ejected = true
	t.ejection = min(max(2*t.ejection, minEjection), maxEjection)
	t.ejectedUntil = now + t.ejection
}

// restore ends an ejection. The latencies are reset, because they are those of the slow period.
func (t *target) restore() {
	t.ejected = false
	t.latency = histogram{}
	t.successRate = 1
}
