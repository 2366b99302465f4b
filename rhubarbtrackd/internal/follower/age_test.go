package follower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against a log that shows a delayed configuration as a recent one, because heartbeats arrived meanwhile.
func TestLoggedAgeCountsFromTheLastConfirmation(t *testing.T) {
	const outage = 900 * time.Millisecond
	for _, tt := range []struct {
		name           string
		fromController bool
	}{{"read from the store", false}, {"read from the controller", true}} {
		t.Run(tt.name, func(t *testing.T) {
			store := simulator.NewStore()
			var raw atomic.Pointer[[]byte]
			core, logs := observer.New(zap.InfoLevel)
			f := followWith(t, store, follower.Options{
				Log: eventlog.New(zap.New(core)),
				FetchConfiguration: func(context.Context, []byte) ([]byte, error) {
					if passed := raw.Load(); passed != nil {
						return *passed, nil
					}
					return nil, context.DeadlineExceeded
				},
			})
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			change := follower.Change{Full: true, Revision: 1 << 40, Configuration: 3}
			assert.Assert(t, f.ApplyChange(change))
			store.SetFault(simulator.Fault{Kind: simulator.Busy})
			putConfiguration(t, store, 9)
			confirmedAt := timer.Now()
			change.Full, change.Configuration = false, 9
			for end := timer.Now() + outage; timer.Now() < end; time.Sleep(50 * time.Millisecond) {
				f.ApplyChange(change)
			}
			if tt.fromController {
				specification := configurationText(t, 9)
				raw.Store(&specification)
			} else {
				store.SetFault(simulator.Fault{})
			}
			eventually(t, "the configuration was not read", func() bool { f.ApplyChange(change); return version(f) == 9 })
			elapsed := timer.Now() - confirmedAt
			lines := logs.FilterMessage(eventlog.ConfigurationChanged.Name).FilterField(zap.Int64("version", 9)).All()
			assert.Equal(t, len(lines), 1)
			age, ok := lines[0].ContextMap()["age"].(time.Duration)
			assert.Assert(t, ok)
			assert.Assert(t, age >= outage && age <= elapsed+time.Second, "age %v, %v after the last confirmation", age, elapsed)
		})
	}
}
