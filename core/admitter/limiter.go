package admitter

import (
	"math/bits"
	"time"
)

const (
	// coldSheds sheds among the last shedWindow outcomes indicate a cold start. A single one also occurs at full load.
	coldSheds  = 2
	shedWindow = 8
	// A current latency of jumpFactor times the baseline, after minSamples requests, suggests a cold start. An upstream
	// that became slow looks the same, so the limit is lowered only when a shed follows.
	jumpFactor      = 4
	minSamples      = 20
	currentSamples  = 4
	baselineSamples = 64
)

// limiter adapts the limit on requests in flight: up after successes, down after sheds, to 1 after a cold start.
type limiter struct {
	limit         int
	slots         int
	raiseAfter    int
	successes     int    // since the latest change of the limit
	generation    uint64 // number of cold starts; successes and sheds of earlier generations do not change the limit
	cold          bool
	recentSheds   uint8 // one bit per outcome, set for a shed
	samples       int
	baseline      time.Duration // mean latency over about baselineSamples requests
	current       time.Duration // mean latency over about currentSamples requests
	latencyJumped bool
}

func newLimiter(slots, raiseAfter int) limiter {
	return limiter{limit: 1, slots: slots, raiseAfter: raiseAfter, cold: slots > 1}
}

func (l *limiter) reset() {
	l.restartAt(1)
	l.generation++
	l.recentSheds = 0
}

func (l *limiter) restartAt(limit int) {
	l.limit = min(max(limit, 1), l.slots)
	l.successes = 0
	l.cold = l.limit < l.slots
}

func (l *limiter) succeed() {
	l.recentSheds <<= 1
	l.successes++
	if l.successes < l.raiseAfter || l.limit == l.slots {
		return
	}
	l.limit++
	l.successes = 0
	l.cold = l.cold && l.limit < l.slots
}

// shed lowers the limit below occupied, the number in flight when the upstream shed a request. It reports whether the
// shed indicates a cold start; the limit is then 1.
func (l *limiter) shed(occupied int) bool {
	l.recentSheds = l.recentSheds<<1 | 1
	if l.limit > 1 && (l.latencyJumped || bits.OnesCount8(l.recentSheds) >= coldSheds) {
		l.reset()
		return true
	}
	l.limit = max(min(l.limit, occupied-1), 1)
	l.successes = 0
	return false
}

// observeLatency updates the mean latencies and reports whether this sample raised the current one above the threshold.
func (l *limiter) observeLatency(latency time.Duration) bool {
	l.samples++
	l.baseline += (latency - l.baseline) / time.Duration(min(l.samples, baselineSamples))
	l.current += (latency - l.current) / time.Duration(min(l.samples, currentSamples))
	before := l.latencyJumped
	l.latencyJumped = l.samples >= minSamples && l.current > jumpFactor*l.baseline
	return l.latencyJumped && !before
}

// estimate is a moving mean of the time that the upstream takes for a request.
type estimate struct {
	value   time.Duration
	updated time.Duration
}

// estimateHalfLife is the time in which an estimate halves while no request ends. Without the decay, the estimate of one
// slow period would cause the rejection of all later requests.
const estimateHalfLife = time.Second

func (e *estimate) observe(now, latency time.Duration) {
	value := e.at(now)
	if e.value == 0 {
		value = latency
	}
	e.value = value + (latency-value)/8
	e.updated = now
}

func (e *estimate) at(now time.Duration) time.Duration {
	return e.value >> min(uint64((now-e.updated)/estimateHalfLife), 62)
}
