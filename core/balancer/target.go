package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// reportHalfLife is the age at which a load report weighs half. Upstreams report late by up to a second.
	reportHalfLife = 200 * time.Millisecond
	// successWindow is the number of attempts over which the share of successes is taken.
	successWindow = 10
	// minSuccessRate bounds the effect of failures on the cost, so that a failing upstream still ranks by its load.
	minSuccessRate = 0.01
	// First and longest time of an ejection; it doubles with each trial that fails.
	minEjection = 200 * time.Millisecond
	maxEjection = 2 * time.Second
)

type pending struct {
	id    uint64
	start time.Duration
}

// target is an upstream with the evidence about it.
type target struct {
	Target
	pending      []pending // in order of their start
	latency      histogram
	successRate  float64 // share of recent attempts that succeeded
	report       int
	reportedAt   time.Duration
	confidence   float64 // weight of its reports, 1 unless they contradict the observed latency
	ejected      bool
	ejectedUntil time.Duration
	ejection     time.Duration // length of the latest ejection
}

func newTarget(now time.Duration) *target {
	return &target{successRate: 1, confidence: 1, reportedAt: now - time.Hour}
}

func (t *target) end(id uint64) {
	t.pending = slices.DeleteFunc(t.pending, func(p pending) bool { return p.id == id })
}

// oldest returns the age of the oldest request in flight, which shows a stalled upstream before any response does.
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

// reported returns the load that reports add to the requests of this host.
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

// restore readmits an upstream. Its latencies are forgotten, because they are those of the slow period.
func (t *target) restore() {
	t.ejected = false
	t.latency = histogram{}
	t.successRate = 1
}
