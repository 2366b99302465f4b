package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateWith plays a failure domain with many small upstreams: 23 hosts, 21 upstreams of 2 slots, and requests that take less time than load
// reports are old. It returns the share of late responses when a request goes to the best of the given number of upstreams.
func lateWith(choices int, rate float64) float64 {
	late := 0.0
	const seeds = 3
	for seed := range uint64(seeds) {
		f := newFleet(seed, 23, 21, true)
		f.slots, f.objective, f.choices = 2, 600*time.Millisecond, choices
		for _, u := range f.upstreams {
			u.slots, u.runTime = 2, u.runTime*14/100
		}
		late += f.lateShare(rate) / seeds
	}
	return late
}

// TestFewChoicesWithOldReports guards against hosts that all send to the few upstreams that were idle in the last load reports: two
// choices must make fewer responses late than four.
func TestFewChoicesWithOldReports(t *testing.T) {
	for _, rate := range []float64{110, 160} {
		two, four := lateWith(2, rate), lateWith(4, rate)
		t.Logf("late at %v/s: %.3f with two choices, %.3f with four", rate, two, four)
		assert.Assert(t, two < four, "late at %v/s: %.3f with two choices, %.3f with four", rate, two, four)
	}
}
