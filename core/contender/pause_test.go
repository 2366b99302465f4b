package contender_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/qualifier"
)

// Guards against a fleet without a controller because the only host that could lead leaves the role to others, and against a host
// that ends its pause although another one leads.
func TestPauseEndsEarlyWithoutAController(t *testing.T) {
	const pause = 8 * time.Second
	for _, tt := range []struct {
		name       string
		pause      time.Duration
		heartbeats time.Duration // until when the successor sends them, from the resignation
		want       time.Duration // end of the pause; 0: never
	}{
		{"the only host", pause, 0, contender.VacancyTimeout},
		{"a successor leads", pause, 20 * time.Second, pause},
		{"a successor stops", pause, 3 * time.Second, 3*time.Second + contender.VacancyTimeout},
		{"shorter pause", time.Second, 0, time.Second},
		{"resigned for good", 0, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Minute
			c := contender.New(0, contender.Options{Name: "h"})
			c.Step(start, contender.WriteResult{SentAt: start, Record: contender.Record{Revision: 1, Holder: "h", Term: 1}})
			assert.Assert(t, c.IsHolder())
			c.Step(start, contender.Resign{Pause: tt.pause})
			c.Step(start, contender.WriteResult{SentAt: start, Record: contender.Record{Revision: 2, Holder: "h", Term: 1, Resigned: true}})
			assert.Assert(t, !c.IsHolder() && c.Declines())
			end := time.Duration(0)
			const tick = 40 * time.Millisecond
			for now := start + tick; now < start+30*time.Second && end == 0; now += tick {
				if now <= start+tt.heartbeats {
					c.Step(now, contender.HeartbeatReceived{Lease: contender.LeaseStatus{Term: 2, Revision: 3, Remaining: time.Second}})
				}
				c.Step(now, contender.Tick{})
				if !c.Declines() {
					end = now - start
				}
			}
			// Ends at the next call that the backoff allows.
			assert.Assert(t, end >= tt.want && end <= tt.want+2*tick && (end > 0) == (tt.want > 0), "%v, not %v", end, tt.want)
		})
	}
	assert.Assert(t, contender.VacancyTimeout >= 2*qualifier.MaxDelay)
}
