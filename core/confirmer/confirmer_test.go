package confirmer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/confirmer"
)

// TestStopped checks that an upstream is confirmed to have stopped only if nearly all hosts, and at least three, were
// refused recently and no host reached it. Otherwise its keys would be granted to other upstreams while it still serves
// them.
func TestStopped(t *testing.T) {
	tests := []struct {
		name    string
		hosts   int
		refused int
		reached bool
		age     time.Duration
		stopped bool
	}{
		{"refused by all", 11, 11, false, 0, true},
		{"refused by nearly all", 11, 9, false, 0, true},
		{"refused by half", 11, 6, false, 0, false},
		{"reached by one", 11, 10, true, 0, false},
		{"too few hosts", 2, 2, false, 0, false},
		{"expired refusals", 11, 11, false, 2 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := confirmer.New()
			for i := range tt.refused {
				c.RecordRefusal(0, fmt.Sprint(i), "u")
			}
			if tt.reached {
				c.RecordSuccess("u")
			}
			assert.Equal(t, len(c.Stopped(tt.age, tt.hosts)) == 1, tt.stopped)
		})
	}
}

// TestSuspectsExpire checks that an old refusal does not make an upstream suspected.
func TestSuspectsExpire(t *testing.T) {
	c := confirmer.New()
	c.RecordRefusal(0, "h", "u")
	assert.DeepEqual(t, c.Suspects(time.Second), []string{"u"})
	assert.Equal(t, len(c.Suspects(3*time.Second)), 0)
}

// TestTimeoutsDoNotConfirm checks that an upstream is suspected after time-outs of several hosts but never confirmed to
// have stopped, because it may run behind a failed network path.
func TestTimeoutsDoNotConfirm(t *testing.T) {
	c := confirmer.New()
	c.RecordTimeout(0, "a", "u")
	assert.Equal(t, len(c.Suspects(0)), 0)
	for _, host := range []string{"b", "c", "d", "e"} {
		c.RecordTimeout(0, host, "u")
	}
	assert.DeepEqual(t, c.Suspects(0), []string{"u"})
	assert.Equal(t, len(c.Stopped(0, 5)), 0)
	c.RecordSuccess("u")
	assert.Equal(t, len(c.Suspects(0)), 0)
}
