package isolator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/isolator"
)

const step = 200 * time.Millisecond

func TestDetector(t *testing.T) {
	calm := isolator.Sight{Connected: true, Sent: 10}
	cut := isolator.Sight{Sent: 3, Unsent: 7}
	outage := isolator.Sight{Sent: 10}
	silence := isolator.Sight{}
	failing := isolator.Sight{Connected: true, Unsent: 10}
	tests := []struct {
		name  string
		steps []isolator.Sight
		want  bool
	}{
		{"calm", []isolator.Sight{calm, calm, calm}, false},
		{"store and controller lost", []isolator.Sight{outage, outage, outage, outage, outage}, false},
		{"upstreams lost for all", []isolator.Sight{failing, failing, failing, failing, failing}, false},
		{"change of the controller", []isolator.Sight{calm, cut, cut, calm, cut, cut}, false},
		{"cut off from the start", []isolator.Sight{cut, cut, cut, cut}, true},
		{"cut off", []isolator.Sight{calm, calm, cut, cut, cut, cut, cut, cut, cut}, true},
		{"cut off without callers", []isolator.Sight{cut, cut, cut, cut, silence, silence, silence, silence, silence, silence, silence, silence}, true},
		{"few requests", []isolator.Sight{{Unsent: 1}, silence, silence, silence, silence}, false},
		{"healed", []isolator.Sight{cut, cut, cut, cut, {Connected: true}}, false},
		{"healed without the store", []isolator.Sight{cut, cut, cut, cut, outage, outage, outage, outage, outage, outage, outage, outage}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detector := isolator.New()
			for i, sight := range test.steps {
				detector.Step(time.Duration(i)*step, sight)
			}
			assert.Equal(t, detector.Isolated(), test.want)
		})
	}
}

// TestStepTellsChanges checks that each change of the verdict is told once, and how soon.
func TestStepTellsChanges(t *testing.T) {
	detector := isolator.New()
	var changes []time.Duration
	for now := step; now <= 3*time.Second; now += step {
		sight := isolator.Sight{Unsent: 5}
		if now >= 2*time.Second {
			sight = isolator.Sight{Connected: true, Sent: 5}
		}
		if detector.Step(now, sight) {
			changes = append(changes, now)
		}
	}
	assert.DeepEqual(t, changes, []time.Duration{3 * step, 2 * time.Second})
}
