package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against a 404, after which callers do not try again, from a configuration that is not the newest.
func TestNotFoundNeedsTheNewestConfiguration(t *testing.T) {
	const path = "/missing/x"
	for _, tt := range []struct {
		name   string
		known  int64 // version that a controller announces before the request
		apply  bool  // a version with the route is applied when the router first reads the clock
		status int
	}{
		{"newest", 3, false, 404},
		{"newer version is known", 9, false, 503},
		// Otherwise the host would confirm the new version, and decide by the old one. The route has no upstreams.
		{"newer version is applied in between", 3, true, 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore()
			assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, simulator.Configuration(3), nil))
			f := followStore(t, store)
			await(t, func() bool {
				return f.Snapshot().Config != nil && timer.Now()-f.ConfirmedAt(timer.Now()) < maxDenyAge/2
			})
			apply := func() {
				next := simulator.Configuration(4)
				host := next["virtual_hosts"].([]any)[0].(map[string]any)
				host["route_paths"] = append(host["route_paths"].([]any), map[string]any{
					"name": "added", "path_prefix": "/missing/", "kind": "idempotent", "timeout_s": 0.2, "service": simulator.PlainService,
				})
				assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, next, nil))
				await(t, func() bool { return f.Snapshot().Config.Version == 4 })
			}
			armed := false
			log := eventlog.New(zap.NewNop())
			r := New(Options{
				Log: log, Meter: meter.New(), Pool: exchanger.New(exchanger.Options{IDHeader: translator.AttemptHeader}),
				Suspector: suspector.New(func(detector.Report) {}, log), Follower: f, Shutdown: context.Background(),
				Now: func() time.Duration {
					if armed {
						armed = false
						apply()
					}
					return timer.Now()
				},
			})
			f.ApplyChange(follower.Change{Configuration: tt.known})
			armed = tt.apply
			response := r.Handle(context.Background(), &acceptor.Request{
				Method: http.MethodGet, Target: path, Path: path, Host: simulator.Hostname, Arrived: time.Now(),
				Header: http.Header{translator.AttemptHeader: {"1"}},
			})
			assert.Equal(t, response.Status, tt.status)
		})
	}
}
