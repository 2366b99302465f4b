package coordinator

import (
	"math"
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
			assert.Assert(t, is.Len(l.take(time.Second, ownsKeys, math.MaxInt), tt.want))
			assert.Assert(t, is.Len(l.take(time.Second+connector.ReportInterval, ownsKeys, math.MaxInt), 0), "sent again")
			l.record(time.Second+connector.ReportInterval, connector.LoadReport{Upstream: 1, Load: tt.load})
			assert.Assert(t, is.Len(l.take(time.Second+connector.ReportInterval, ownsKeys, math.MaxInt), tt.want))
			assert.Assert(t, is.Len(l.take(time.Minute, ownsKeys, math.MaxInt), 0))
			assert.Assert(t, is.Len(l.latest, 0))
		})
	}
}

// Guards against upstreams whose load hosts never learn of while not all reports fit on the controller's link.
func TestSharedLoadsTakeTurns(t *testing.T) {
	const upstreams, limit = 100, 30
	l := newSharedLoads()
	sent := map[identifier.Tag]int{}
	for round := range 10 {
		now := time.Duration(round+1) * connector.ReportInterval
		for tag := range upstreams {
			l.record(now, connector.LoadReport{Upstream: identifier.Tag(tag), Load: selector.Load{Slots: 2}})
		}
		loads := l.take(now, func(identifier.Tag) bool { return false }, limit)
		assert.Assert(t, is.Len(loads, limit))
		assert.Equal(t, l.withheld, upstreams-limit)
		for _, load := range loads {
			sent[load.Upstream]++
		}
	}
	for tag := range upstreams {
		// 10 rounds of 30 reports are 3 for each upstream. The order within a round does not matter.
		assert.Assert(t, sent[identifier.Tag(tag)] >= 2 && sent[identifier.Tag(tag)] <= 4, "upstream %d: %d", tag, sent[identifier.Tag(tag)])
	}
}
