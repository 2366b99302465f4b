package granter

import (
	"math"
	"time"
)

const (
	// demandMemory is the time in which a past peak of the slots in use loses half of its weight. A capacity check made
	// in a quiet second must still see the busy minutes before it.
	demandMemory = 5 * time.Minute
	// demandAge is how long the report of an upstream counts. Admission hosts report every 2 s, and one report may be lost.
	demandAge = 5 * time.Second
)

// demand follows the slots in use of all upstreams of a service.
type demand struct {
	reports map[string]report
	highest float64
	at      time.Duration
}

type report struct {
	inFlight int
	at       time.Duration
}

func (d *demand) note(now time.Duration, upstream string, inFlight int) {
	if d.reports == nil {
		d.reports = map[string]report{}
	}
	d.reports[upstream] = report{inFlight: inFlight, at: now}
	d.peak(now)
}

// peak returns the decayed maximum of the slots in use, in steps of an eighth, so that small changes do not make a new
// beacon.
func (d *demand) peak(now time.Duration) uint64 {
	sum := 0
	for upstream, r := range d.reports {
		if now-r.at > demandAge {
			delete(d.reports, upstream)
			continue
		}
		sum += r.inFlight
	}
	decay := math.Exp2(-float64(now-d.at) / float64(demandMemory))
	d.highest = max(d.highest*decay, float64(sum))
	d.at = now
	if d.highest < 1 {
		return uint64(math.Ceil(d.highest))
	}
	return uint64(math.Ceil(math.Exp2(math.Ceil(math.Log2(d.highest)*8) / 8)))
}
