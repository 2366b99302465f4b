package failuredetector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/failuredetector"
	"rhubarbtrack.example/core/identifier"
)

// u is the upstream of the tests, and next the process that starts after it under the same ID.
var (
	u    = identifier.Incarnation{ID: "u", Start: 1}
	next = identifier.Incarnation{ID: "u", Start: 2}
)

// TestSuspects checks that an upstream is suspected only if nearly all hosts, and at least three, were refused recently and no
// host reached it. Its keys would get no requests although other hosts reach it.
func TestSuspects(t *testing.T) {
	tests := []struct {
		name    string
		hosts   int
		refused int
		reached bool
		age     time.Duration
		suspect bool
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
			d := failuredetector.New()
			for i := range tt.refused {
				d.RecordRefusal(0, fmt.Sprint(i), u)
			}
			if tt.reached {
				d.RecordSuccess(0, u)
			}
			assert.Equal(t, len(d.DetectSuspects(tt.age, tt.hosts)) == 1, tt.suspect)
			assert.Equal(t, d.Suspected(u), tt.suspect)
		})
	}
}

// TestSuspicionEndsWithASuccess guards against an upstream that gets no keys although it responds again, and against one that
// becomes usable only because no host has tried to reach it for a while.
func TestSuspicionEndsWithASuccess(t *testing.T) {
	d := failuredetector.New()
	for i := range 5 {
		d.RecordRefusal(0, fmt.Sprint(i), u)
	}
	assert.DeepEqual(t, d.DetectSuspects(0, 5), []identifier.Incarnation{u})
	assert.Equal(t, len(d.Doubted(0)), 0, "the hosts still try to connect")
	assert.Equal(t, len(d.DetectSuspects(time.Minute, 5)), 0)
	assert.DeepEqual(t, d.Suspects(), []identifier.Incarnation{u})
	d.RecordSuccess(-time.Second, u)
	assert.Equal(t, d.Suspected(u), true, "the response was received before the refusals")
	d.RecordSuccess(time.Second, u)
	assert.Equal(t, d.Suspected(u), false)
	d.Suspect(0, u)
	assert.Equal(t, d.Suspected(u), true)
	d.Forget(func(identifier.Incarnation) bool { return false })
	assert.Equal(t, d.Suspected(u), false)
}

// TestDoubtsExpire checks that an old refusal does not make hosts try to reach an upstream.
func TestDoubtsExpire(t *testing.T) {
	d := failuredetector.New()
	d.RecordRefusal(0, "h", u)
	assert.DeepEqual(t, d.Doubted(time.Second), []identifier.Incarnation{u})
	assert.Equal(t, len(d.Doubted(3*time.Second)), 0)
}

// TestTimeouts checks that an upstream is doubted after time-outs of several hosts, and not suspected because of them: the
// controller's own orders decide then.
func TestTimeouts(t *testing.T) {
	d := failuredetector.New()
	d.RecordTimeout(0, "a", u)
	assert.Equal(t, len(d.Doubted(0)), 0)
	for _, host := range []string{"b", "c", "d", "e"} {
		d.RecordTimeout(0, host, u)
	}
	assert.DeepEqual(t, d.Doubted(0), []identifier.Incarnation{u})
	assert.Equal(t, len(d.DetectSuspects(0, 5)), 0)
	d.RecordSuccess(0, u)
	assert.Equal(t, len(d.Doubted(0)), 0)
}

// TestFailuresOfAFormerProcess guards against an upstream without keys because hosts failed to reach the process that ran before
// it under the same ID.
func TestFailuresOfAFormerProcess(t *testing.T) {
	d := failuredetector.New()
	for i := range 5 {
		d.RecordRefusal(0, fmt.Sprint(i), u)
	}
	d.RecordRefusal(0, "h", next)
	assert.DeepEqual(t, d.DetectSuspects(0, 5), []identifier.Incarnation{u})
	assert.Equal(t, d.Suspected(next), false)
	d.RecordSuccess(time.Second, next)
	assert.Equal(t, d.Suspected(u), true)
}
