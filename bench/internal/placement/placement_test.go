package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against measures that differ between runs of one seed or are outside their bounds. The fleet is small to keep
// the test fast.
func TestMeasureSmallFleet(t *testing.T) {
	small := size{"small", 6, 2000, 1}
	lines := measure(small, 3)
	assert.DeepEqual(t, lines, measure(small, 3))
	for _, line := range lines {
		assert.Assert(t, line.Passes(), "%+v", line)
	}
}

// Guards against an exact load of an upstream that differs from the sum of the loads of its keys, as when a hot key
// counts twice.
func TestLoadsAgainstSum(t *testing.T) {
	sim := newSettled(size{"small", 6, 2000, 1}, 3)
	assert.Assert(t, len(sim.table.Hot) > 0)
	want := map[string]float64{}
	for i, owner := range sim.owners() {
		want[owner] += sim.keys[i].load
	}
	for owner, load := range sim.loads() {
		assert.Assert(t, load > want[owner]-1e-9 && load < want[owner]+1e-9, "%s", owner)
	}
}
