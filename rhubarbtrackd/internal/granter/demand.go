package granter

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the time in which a past peak of the slots in use halves. A capacity check during a short drop
	// of the load must still count the load of the minutes before.
	demandHalfLife = 5 * time.Minute
	// maxDemandAge is how long the report of an upstream counts. Admission hosts report every 2 s, so that one report
	// may be lost.
	maxDemandAge = 5 * time.Second
)

// demand tracks the slots in use of all upstreams of a service.
type demand struct {
	reports     map[string]report
	decayedPeak float64
	updatedAt   time.Duration
}

type report struct {
	inFlight int
	at       time.Duration
}

func (d *demand) record(now time.Duration, upstream string, inFlight int) {
	if d.reports == nil {
		d.reports = map[string]report{}
	}
	d.reports[upstream] = report{inFlight: inFlight, at: now}
	d.peak(now)
}

// peak returns the decayed maximum of the slots in use, rounded up to a power of 2^(1/8). Rounding keeps small changes
// from changing the body of the leader heartbeat.
func (d *demand) peak(now time.Duration) uint64 {
	sum := 0
	for upstream, r := range d.reports {
		if now-r.at > maxDemandAge {
			delete(d.reports, upstream)
			continue
		}
		sum += r.inFlight
	}
	decay := math.Exp2(-float64(now-d.updatedAt) / float64(demandHalfLife))
	d.decayedPeak = max(d.decayedPeak*decay, float64(sum))
	d.updatedAt = now
	if d.decayedPeak < 1 {
		return uint64(math.Ceil(d.decayedPeak))
	}
	return uint64(math.Ceil(math.Exp2(math.Ceil(math.Log2(d.decayedPeak)*8) / 8)))
}
