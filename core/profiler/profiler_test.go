package profiler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/profiler"
)

// TestTakeChanges guards against hosts that do not learn a changed run time, and against means that are sent to all hosts
// again and again although they hardly change.
func TestTakeChanges(t *testing.T) {
	p := profiler.New()
	a := identifier.Incarnation{ID: "a", Start: 1}
	p.Observe(0, a, 4, 4*100*time.Millisecond)
	assert.Equal(t, len(p.TakeChanges()), 0, "too few samples")
	p.Observe(0, a, 1, 100*time.Millisecond)
	assert.DeepEqual(t, p.TakeChanges(), map[identifier.Incarnation]time.Duration{a: 100 * time.Millisecond})
	p.Observe(0, a, 10, 10*105*time.Millisecond)
	assert.Equal(t, len(p.TakeChanges()), 0, "small change")
	assert.DeepEqual(t, p.All(), map[identifier.Incarnation]time.Duration{a: 100 * time.Millisecond})
	for i := range 20 {
		p.Observe(time.Duration(i)*time.Second, a, 20, 20*400*time.Millisecond)
	}
	assert.Assert(t, p.TakeChanges()[a] > 350*time.Millisecond)
	assert.Equal(t, len(p.TakeChanges()), 0)
	p.Observe(time.Minute, identifier.Incarnation{ID: "a", Start: 2}, 5, 5*time.Second)
	assert.Equal(t, p.All()[a] > 900*time.Millisecond, false, "requests at the next process count for the former one")
	p.Forget(func(identifier.Incarnation) bool { return false })
	assert.Equal(t, len(p.All()), 0)
}
