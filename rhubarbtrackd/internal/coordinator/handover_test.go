package coordinator

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
)

// Guards against a new controller that hands the role over during its takeover: its successor waits anew for grants of a crashed
// owner, and keys stay without an owner for that time.
func TestNoHandoverDuringATakeover(t *testing.T) {
	const lifetime = 10 * time.Second
	expiry := allocator.GrantExpiry(0, lifetime)
	for _, tt := range []struct {
		name       string
		firstStart bool
		term       uint64
		loadedAt   time.Duration
		want       time.Duration // from the beginning of the term
	}{
		{"takeover", false, 2, time.Second, expiry},
		{"takeover with a table that is read late", false, 2, 20 * time.Second, 20 * time.Second},
		{"first start", true, 1, 0, 3 * time.Second},
		{"first start with a table that is read late", true, 1, 5 * time.Second, 5 * time.Second},
		{"second term after the first start", true, 2, 0, expiry},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Minute
			now := start
			clock := func() time.Duration { return now }
			log := eventlog.New(zap.NewNop())
			c := New(Options{
				Host: "h", Now: clock, Log: log, MaxLifetime: lifetime, FirstStart: tt.firstStart,
				Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: clock}),
			})
			c.snapshot = &follower.Snapshot{Config: &matcher.Config{Services: map[string]matcher.Service{"keyed": {Keyed: true}, "other": {}}}}
			c.pacing.beginTerm(now, c.options)
			c.pacing.fitness[&connector.Peer{}] = 1
			for ; c.pacing.handoverEnd == 0; now += tickInterval {
				assert.Assert(t, now < start+time.Minute, "no hand-over")
				c.contender.Step(now, contender.WriteResult{SentAt: now, Record: contender.Record{Revision: 1, Holder: "h", Term: tt.term}})
				if c.services["keyed"] == nil && now >= start+tt.loadedAt {
					c.services["keyed"] = &serviceState{
						service: "keyed", loaded: true, allocator: allocator.New(allocator.Options{MaxLifetime: lifetime}),
					}
				}
				c.pacing.pacer.Shed(now)
				c.checkHandover(context.Background(), now)
			}
			begun := now - tickInterval - start
			assert.Assert(t, begun >= tt.want && begun < tt.want+2*tickInterval, "hand-over after %v, not %v", begun, tt.want)
		})
	}
}

// Guards against a role that is handed over to a host which leaves it to others, because its reports name the fitness of its settings.
func TestAHostThatDeclinesTheRoleReportsNoFitness(t *testing.T) {
	for _, tt := range []struct {
		name  string
		pause time.Duration
		later float64 // fitness after a minute
	}{{"for a while", panicPause, 0.9}, {"for good", 0, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			clock := func() time.Duration { return now }
			log := eventlog.New(zap.NewNop())
			store := storer.New("127.0.0.1:1")
			c := New(Options{
				Host: "h", Now: clock, Log: log, Fitness: 0.9, Store: store, Panics: recoverer.New(log, meter.New()),
				Follower: follower.New(follower.Options{Store: store, Log: log, Now: clock}),
				Report:   func() connector.Report { return connector.Report{} },
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			assert.Equal(t, c.report().Fitness, 0.9)
			c.stepElection(ctx, contender.Resign{Pause: tt.pause})
			assert.Equal(t, c.report().Fitness, 0.0)
			now += time.Minute
			c.stepElection(ctx, contender.Tick{})
			assert.Equal(t, c.report().Fitness, tt.later)
		})
	}
}
