package admitter

import (
	"math/bits"
	"time"
)

const (
	// coldSheds among the last shedWindow outcomes mark a cold start: one shed alone also occurs at full load.
	coldSheds  = 2
	shedWindow = 8
	// A latency of jumpFactor times the usual one, after minSamples requests, is a sign of a cold start. Slowed
	// upstreams look the same, so that sign alone does not lower the limit.
	jumpFactor  = 4
	minSamples  = 20
	recentShare = 4
	usualShare  = 64
)

// ramp is the limit on requests in flight.
type ramp struct {
	limit      int
	slots      int
	raiseAfter int
	successes  int    // since the limit changed
	generation uint64 // number of cold starts; outcomes of older generations do not raise the limit
	cold       bool
	recent     uint8 // one bit per outcome, set for a shed
	samples    int
	usual      time.Duration // mean latency over about usualShare requests
	latest     time.Duration // mean latency over about recentShare requests
	jumped     bool
}

func newRamp(slots, raiseAfter int) ramp {
	return ramp{limit: 1, slots: slots, raiseAfter: raiseAfter, cold: slots > 1}
}

func (r *ramp) reset() {
	r.startAt(1)
	r.generation++
	r.recent = 0
}

func (r *ramp) startAt(limit int) {
	r.limit = min(max(limit, 1), r.slots)
	r.successes = 0
	r.cold = r.limit < r.slots
}

func (r *ramp) succeed() {
	r.recent <<= 1
	r.successes++
	if r.successes < r.raiseAfter || r.limit == r.slots {
		return
	}
	r.limit++
	r.successes = 0
	r.cold = r.cold && r.limit < r.slots
}

// shed lowers the limit below the number in flight that was too high, and reports whether this is a cold start.
func (r *ramp) shed(occupied int) bool {
	r.recent = r.recent<<1 | 1
	if r.limit > 1 && (r.jumped || bits.OnesCount8(r.recent) >= coldSheds) {
		r.reset()
		return true
	}
	r.limit = max(min(r.limit, occupied-1), 1)
	r.successes = 0
	return false
}

// observeLatency reports whether the latency has just jumped.
func (r *ramp) observeLatency(latency time.Duration) bool {
	r.samples++
	r.usual += (latency - r.usual) / time.Duration(min(r.samples, usualShare))
	r.latest += (latency - r.latest) / time.Duration(min(r.samples, recentShare))
	before := r.jumped
	r.jumped = r.samples >= minSamples && r.latest > jumpFactor*r.usual
	return r.jumped && !before
}

// estimate is the mean time that the upstream takes for a request.
type estimate struct {
	value   time.Duration
	updated time.Duration
}

// estimateHalfLife makes an estimate decay while no request ends, so that one slow period does not refuse all later
// requests.
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
