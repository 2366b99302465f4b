package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// TestSharedLoads guards against heartbeats that repeat reports which hosts already have, and against reports of idle
// owners, which change no decision. Hosts need the reports of all other upstreams to choose among them.
func TestSharedLoads(t *testing.T) {
	tests := []struct {
		name     string
		load     selector.Load
		ownsKeys bool
		want     int
	}{
		{"idle", selector.Load{Running: 1, Slots: 6}, false, 1},
		{"idle owner", selector.Load{Running: 1, Slots: 6, Slowdown: 3}, true, 0},
		{"owner without a free slot", selector.Load{Running: 6, Slots: 6}, true, 1},
		{"owner with a queue", selector.Load{Running: 5, Waiting: 1, Slots: 6}, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newSharedLoads()
			ownsKeys := func(identifier.Tag) bool { return tt.ownsKeys }
			l.record(time.Second, connector.LoadReport{Upstream: 1, Load: tt.load, Age: 10 * time.Millisecond})
			assert.Assert(t, is.Len(l.take(time.Second, ownsKeys), tt.want))
			assert.Assert(t, is.Len(l.take(time.Second+connector.ReportInterval, ownsKeys), 0), "sent again")
			l.record(time.Second+connector.ReportInterval, connector.LoadReport{Upstream: 1, Load: tt.load})
			assert.Assert(t, is.Len(l.take(time.Second+connector.ReportInterval, ownsKeys), tt.want))
			assert.Assert(t, is.Len(l.take(time.Minute, ownsKeys), 0))
			assert.Assert(t, is.Len(l.latest, 0))
		})
	}
}
