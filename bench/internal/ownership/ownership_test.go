package ownership

import (
	"slices"
	"testing"
)

// TestMeasure guards against keys that are unavailable for longer than required.
func TestMeasure(t *testing.T) {
	for _, line := range Measure(1) {
		if !line.Passes() {
			t.Errorf("%s: %v exceeds %v %s", line.Measure, line.Ours, line.Bound, line.Unit)
		}
		t.Logf("%+v", line)
	}
}

// TestRepeatable guards against figures that differ between runs of one seed, for example through the order of a map.
func TestRepeatable(t *testing.T) {
	if first, second := measureCosts(3, 4), measureCosts(3, 4); !slices.Equal(first, second) {
		t.Errorf("two runs differ: %v and %v", first, second)
	}
	if first, second := measureUnavailability(3, scenarios[0]), measureUnavailability(3, scenarios[0]); first != second {
		t.Errorf("two runs differ: %v and %v", first, second)
	}
}
