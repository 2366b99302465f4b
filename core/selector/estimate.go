package selector

import (
	"math"
	"time"

	"rhubarbtrack.example/core/identifier"
)

// reportWeight returns the weight of the last load report.
func (s *state) reportWeight(now time.Duration) float64 {
	if s.reportedAt == 0 {
		return 0
	}
	return math.Exp(-float64(max(0, now-s.reportedAt)) / float64(reportDecayTime))
}

// occupied returns the expected number of requests at an upstream, running or waiting.
func (sel *Selector) occupied(now time.Duration, s *state, slots int) float64 {
	reportWeight := s.reportWeight(now)
	expected := min(sel.meanOccupancy, 1) * float64(slots)
	occupied := reportWeight*float64(s.load.Running+s.load.Waiting) + (1-reportWeight)*expected
	occupied += float64(s.inFlight) - reportWeight*float64(s.inFlightAtReport)
	return max(occupied, float64(s.inFlight))
}

// Estimate is the expected duration of a request at an upstream.
type Estimate struct {
	Wait time.Duration // queueing time
	Run  time.Duration // run time
	// Assumed is set if no run time was measured, so that Run is a default.
	Assumed bool
}

// Total returns the expected response time.
func (e Estimate) Total() time.Duration { return e.Wait + e.Run }

// Estimate returns the expected duration of one more request at an upstream with the given number of slots. The mean
// occupancy of all upstreams replaces the reported load to the extent to which the weight of the report has decayed.
func (sel *Selector) Estimate(now time.Duration, id identifier.Incarnation, slots int) Estimate {
	s := sel.state(id)
	slots = max(slots, 1)
	run := sel.runTime(s)
	slowdown, reportWeight := 1.0, s.reportWeight(now)
	if s.load.Slowdown > 0 {
		slowdown += reportWeight * (s.load.Slowdown - 1)
	}
	occupied := sel.occupied(now, s, slots)
	e := Estimate{Run: time.Duration(float64(run) * slowdown), Assumed: !s.isMeasured()}
	if ahead := occupied + 1 - float64(slots); ahead > 0 {
		e.Wait = time.Duration(float64(e.Run) * ahead / float64(slots))
	}
	return e
}
