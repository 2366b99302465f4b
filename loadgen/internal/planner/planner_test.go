package planner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/loadgen/internal/planner"
)

// Guards against a load that differs between runs of the same seed, or that misses its rate or shares.
func TestPlanIsRepeatable(t *testing.T) {
	options := planner.Options{
		Seed: 7, Rate: 1000, Duration: 10 * time.Second, Keys: 100, ZipfExponent: 1.1, NeverRepeatShare: 0.3, IDPrefix: "a",
	}
	first := collect(options)
	assert.DeepEqual(t, first, collect(options))
	assert.Assert(t, len(first) > 9500 && len(first) < 10500, "%d arrivals", len(first))
	ids := map[string]bool{}
	neverRepeat := 0
	for _, arrival := range first {
		ids[arrival.ID] = true
		if arrival.Kind == planner.NeverRepeat {
			neverRepeat++
		}
	}
	assert.Equal(t, len(ids), len(first))
	assert.Assert(t, neverRepeat > 2800 && neverRepeat < 3200, "%d never-repeat requests", neverRepeat)
}

func collect(options planner.Options) []planner.Arrival {
	plan := planner.New(options)
	var arrivals []planner.Arrival
	for arrival, ok := plan.Next(); ok; arrival, ok = plan.Next() {
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}
