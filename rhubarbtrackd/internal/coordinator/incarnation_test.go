package coordinator

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// Guards against what hosts report about one process of an upstream and the controller applies to the next one with its ID.
func TestReportsAboutAFormerProcessAreDropped(t *testing.T) {
	former, listed := identifier.Incarnation{ID: "u", Start: 1}, identifier.Incarnation{ID: "u", Start: 2}
	for _, tt := range []struct {
		name     string
		reported identifier.Incarnation
		applied  bool
	}{{"former process", former, false}, {"listed process", listed, true}} {
		t.Run(tt.name, func(t *testing.T) {
			now := func() time.Duration { return time.Minute }
			log := eventlog.New(zap.NewNop())
			c := New(Options{
				Host: "h", Now: now, Log: log,
				Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: now}),
			})
			c.snapshot = &follower.Snapshot{Upstreams: map[string]registrar.Upstream{"u": {Incarnation: listed}}, Incarnations: identifier.Index{}}
			c.snapshot.Incarnations.Add(listed)
			tag := tt.reported.Tag()
			for i := range 5 {
				c.handleReport(connector.Report{
					Host: fmt.Sprint(i), Refused: []identifier.Tag{tag}, Leaving: []identifier.Incarnation{tt.reported},
					Timings: []connector.Timing{{Upstream: tag, Count: 9, Sum: 9 * time.Second}},
				})
			}
			assert.Equal(t, len(c.failures.DetectSuspects(now(), 5)) == 1, tt.applied)
			assert.Equal(t, c.suspects(c.snapshot.Upstreams["u"]), tt.applied)
			assert.Equal(t, c.leaves(now(), c.snapshot.Upstreams["u"]), tt.applied)
			assert.Equal(t, len(c.profiler.TakeChanges()) == 1, tt.applied)

			c.failures.Suspect(now(), listed)
			c.handleReport(connector.Report{Loads: []connector.LoadReport{{Upstream: tag, Load: selector.Load{Slots: 6}}}})
			assert.Equal(t, c.suspects(c.snapshot.Upstreams["u"]), !tt.applied, "a response of the former process ends the suspicion")
			assert.Equal(t, len(c.loads.latest) == 1, tt.applied)
		})
	}
}
