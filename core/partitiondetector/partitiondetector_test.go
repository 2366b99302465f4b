package partitiondetector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/partitiondetector"
)

const step = 200 * time.Millisecond

// TestDetector checks that a host counts as isolated only after it has been connected to neither the controller nor the
// store, and has been unable to send most requests, for confirmationTime. Otherwise an outage of the store, or of all
// upstreams, would make every host reject its callers.
func TestDetector(t *testing.T) {
	normal := partitiondetector.Observation{Connected: true, Answered: 10}
	isolated := partitiondetector.Observation{Answered: 3, Unsent: 7}
	outage := partitiondetector.Observation{Answered: 10}
	idle := partitiondetector.Observation{}
	failing := partitiondetector.Observation{Connected: true, Unsent: 10}
	tests := []struct {
		name  string
		steps []partitiondetector.Observation
		want  bool
	}{
		{"normal operation", []partitiondetector.Observation{normal, normal, normal}, false},
		{"not connected to store and controller", []partitiondetector.Observation{
			outage, outage, outage, outage, outage,
		}, false},
		{"upstreams unreachable for all hosts", []partitiondetector.Observation{
			failing, failing, failing, failing, failing,
		}, false},
		{"change of the controller", []partitiondetector.Observation{
			normal, isolated, isolated, normal, isolated, isolated,
		}, false},
		{"isolated from the start", []partitiondetector.Observation{isolated, isolated, isolated, isolated}, true},
		{"isolated", []partitiondetector.Observation{
			normal, normal, isolated, isolated, isolated, isolated, isolated, isolated, isolated,
		}, true},
		{"isolated without requests", []partitiondetector.Observation{
			isolated, isolated, isolated, isolated, idle, idle, idle, idle, idle, idle, idle, idle,
		}, true},
		{"few requests", []partitiondetector.Observation{{Unsent: 1}, idle, idle, idle, idle}, false},
		{"partition ends", []partitiondetector.Observation{
			isolated, isolated, isolated, isolated, {Connected: true},
		}, false},
		{"partition ends during a store outage", []partitiondetector.Observation{
			isolated, isolated, isolated, isolated, outage, outage, outage, outage, outage, outage, outage, outage,
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detector := partitiondetector.New()
			for i, observation := range test.steps {
				detector.Step(time.Duration(i)*step, observation)
			}
			assert.Equal(t, detector.Isolated(), test.want)
		})
	}
}

// TestStepReportsChanges checks that each change is reported once, and after how many steps.
func TestStepReportsChanges(t *testing.T) {
	detector := partitiondetector.New()
	var changes []time.Duration
	for now := step; now <= 3*time.Second; now += step {
		observation := partitiondetector.Observation{Unsent: 5}
		if now >= 2*time.Second {
			observation = partitiondetector.Observation{Connected: true, Answered: 5}
		}
		if detector.Step(now, observation) {
			changes = append(changes, now)
		}
	}
	assert.DeepEqual(t, changes, []time.Duration{3 * step, 2 * time.Second})
}
