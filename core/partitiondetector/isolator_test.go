package partitiondetector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/partitiondetector"
)

const step = 200 * time.Millisecond

func TestDetector(t *testing.T) {
	calm := partitiondetector.Observation{Connected: true, Answered: 10}
	cut := partitiondetector.Observation{Answered: 3, Unsent: 7}
	outage := partitiondetector.Observation{Answered: 10}
	silence := partitiondetector.Observation{}
	failing := partitiondetector.Observation{Connected: true, Unsent: 10}
	tests := []struct {
		name  string
		steps []partitiondetector.Observation
		want  bool
	}{
		{"calm", []partitiondetector.Observation{calm, calm, calm}, false},
		{"store and controller lost", []partitiondetector.Observation{outage, outage, outage, outage, outage}, false},
		{"upstreams lost for all", []partitiondetector.Observation{failing, failing, failing, failing, failing}, false},
		{"change of the controller", []partitiondetector.Observation{calm, cut, cut, calm, cut, cut}, false},
		{"cut off from the start", []partitiondetector.Observation{cut, cut, cut, cut}, true},
		{"cut off", []partitiondetector.Observation{calm, calm, cut, cut, cut, cut, cut, cut, cut}, true},
		{"cut off without callers", []partitiondetector.Observation{cut, cut, cut, cut, silence, silence, silence, silence, silence, silence, silence, silence}, true},
		{"few requests", []partitiondetector.Observation{{Unsent: 1}, silence, silence, silence, silence}, false},
		{"healed", []partitiondetector.Observation{cut, cut, cut, cut, {Connected: true}}, false},
		{"healed without the store", []partitiondetector.Observation{cut, cut, cut, cut, outage, outage, outage, outage, outage, outage, outage, outage}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detector := partitiondetector.New()
			for i, sight := range test.steps {
				detector.Step(time.Duration(i)*step, sight)
			}
			assert.Equal(t, detector.Isolated(), test.want)
		})
	}
}

// TestStepTellsChanges checks that each change of the verdict is told once, and how soon.
func TestStepTellsChanges(t *testing.T) {
	detector := partitiondetector.New()
	var changes []time.Duration
	for now := step; now <= 3*time.Second; now += step {
		sight := partitiondetector.Observation{Unsent: 5}
		if now >= 2*time.Second {
			sight = partitiondetector.Observation{Connected: true, Answered: 5}
		}
		if detector.Step(now, sight) {
			changes = append(changes, now)
		}
	}
	assert.DeepEqual(t, changes, []time.Duration{3 * step, 2 * time.Second})
}
