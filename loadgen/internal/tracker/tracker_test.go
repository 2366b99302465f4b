package tracker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/loadgen/internal/tracker"
)

// Guards against an unavailability that is understated, because a success that began before the failure ends it, or
// overstated, because two outages are added up.
func TestOutages(t *testing.T) {
	tests := []struct {
		name     string
		attempts []tracker.Attempt
		longest  time.Duration
		open     bool
	}{
		{name: "none", attempts: []tracker.Attempt{{Started: 1, Ended: 2, OK: true}}},
		{name: "one", attempts: []tracker.Attempt{{Started: 10, Ended: 20}, {Started: 30, Ended: 40, OK: true}}, longest: 30},
		{
			name: "counted from the first failed attempt",
			attempts: []tracker.Attempt{
				{Started: 10, Ended: 20}, {Started: 30, Ended: 40}, {Started: 50, Ended: 60, OK: true},
			},
			longest: 50,
		},
		{
			name: "failures that end out of order",
			attempts: []tracker.Attempt{
				{Started: 30, Ended: 40}, {Started: 10, Ended: 50}, {Started: 60, Ended: 70, OK: true},
			},
			longest: 60,
		},
		{
			name: "success that began before the failure",
			attempts: []tracker.Attempt{
				{Started: 10, Ended: 20}, {Started: 5, Ended: 30, OK: true}, {Started: 40, Ended: 50, OK: true},
			},
			longest: 40,
		},
		{
			name: "longest of two",
			attempts: []tracker.Attempt{
				{Started: 10, Ended: 11}, {Started: 20, Ended: 30, OK: true},
				{Started: 50, Ended: 51}, {Started: 55, Ended: 60, OK: true},
			},
			longest: 20,
		},
		{name: "open", attempts: []tracker.Attempt{{Started: 10, Ended: 20}}, longest: 90, open: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			results := tracker.New()
			for _, attempt := range test.attempts {
				results.RecordAttempt(attempt)
			}
			outages := results.Outages(100)
			if test.longest == 0 {
				assert.Equal(t, len(outages), 0)
				return
			}
			assert.DeepEqual(t, outages, []tracker.Outage{{Longest: test.longest, Ongoing: test.open}})
		})
	}
}
