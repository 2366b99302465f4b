package ownership

import (
	"slices"
	"testing"
)

// TestMeasure guards the bounds of the design page.
func TestMeasure(t *testing.T) {
	for _, line := range Measure(1) {
		if !line.Passes() {
			t.Errorf("%s: %v exceeds %v %s", line.Measure, line.Ours, line.Bound, line.Unit)
		}
		t.Logf("%+v", line)
	}
}

// TestRepeatable guards against figures that depend on more than the seed.
func TestRepeatable(t *testing.T) {
	if first, second := measureCosts(3, 4), measureCosts(3, 4); !slices.Equal(first, second) {
		t.Errorf("two runs differ: %v and %v", first, second)
	}
	if first, second := measureUnavailability(3, scenarios[0]), measureUnavailability(3, scenarios[0]); first != second {
		t.Errorf("two runs differ: %v and %v", first, second)
	}
}
