package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
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

// Guards against requests that run by an older configuration than the one that has to be in force, and against needless rejections.
func TestHostBehindItsControllerRejectsRequests(t *testing.T) {
	const limit = 2 * time.Second
	tests := []struct {
		name       string
		controller int64         // version that heartbeats name
		heartbeats time.Duration // for how long they arrive
		delay      time.Duration // of heartbeats on their way
		wait       time.Duration // until the request, from the last confirmation
		status     int
	}{
		{"no newer version", 3, 3 * limit / 2, 0, 3 * limit / 2, http.StatusOK},
		{"newer version, in time", 9, limit / 2, 0, limit / 2, http.StatusOK},
		{"newer version, overdue", 9, 3 * limit / 2, 0, 3 * limit / 2, http.StatusServiceUnavailable},
		{"newer version, overdue, heartbeats late", 9, 3 * limit / 2, limit / 2, 3 * limit / 2, http.StatusServiceUnavailable},
		{"newer version, controller lost", 9, limit / 2, 0, 5 * limit / 2, http.StatusOK},
		{"no controller", 0, 0, 0, 3 * limit / 2, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore()
			assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, simulator.Configuration(3), nil))
			var runs atomic.Int64
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Set(translator.AttemptHeader, r.Header.Get(translator.AttemptHeader))
			}))
			t.Cleanup(upstream.Close)
			u := simulator.NewUpstream(simulator.UpstreamOptions{
				ID: "u", Service: simulator.PlainService, Address: upstream.Listener.Addr().String(), Domain: "d", Slots: 6,
			})
			specification, status := u.Entry()
			assert.NilError(t, store.Put(translator.UpstreamKind, "u", specification, status))
			f := followStore(t, store)
			await(t, func() bool { return f.Snapshot().Config != nil && len(f.Snapshot().Upstreams) == 1 })
			log := eventlog.New(zap.NewNop())
			r := New(Options{
				Log: log, Meter: meter.New(), Now: timer.Now, Pool: exchanger.New(exchanger.Options{IDHeader: translator.AttemptHeader}),
				Suspector: suspector.New(func(detector.Report) {}, log), Follower: f, Shutdown: context.Background(),
				Limits: Limits{RetryRatio: 1, RetrySlack: 100, ConfigurationTime: limit},
			})
			store.SetFault(simulator.Fault{Kind: simulator.Busy})
			time.Sleep(700 * time.Millisecond) // a watch in progress ends
			confirmedAt := f.ConfirmedAt(timer.Now())
			change := follower.Change{Full: true, Revision: 1 << 40, Configuration: tt.controller, Puts: f.Snapshot().ByService[simulator.PlainService]}
			for end := confirmedAt + tt.wait; timer.Now() < end; time.Sleep(20 * time.Millisecond) {
				if tt.controller > 0 && timer.Now() < confirmedAt+tt.heartbeats {
					change.MadeAt = timer.Now() - tt.delay
					assert.Assert(t, f.ApplyChange(change))
					change.Full = false
				}
			}
			response := r.Handle(context.Background(), &acceptor.Request{
				Method: http.MethodGet, Target: simulator.PlainPrefix + "x", Path: simulator.PlainPrefix + "x",
				Host: simulator.Hostname, Arrived: time.Now(), Header: http.Header{translator.AttemptHeader: {"1"}},
			})
			assert.Equal(t, response.Status, tt.status)
			assert.Equal(t, runs.Load() == 1, tt.status == http.StatusOK)
			if tt.status != http.StatusOK {
				wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				assert.Assert(t, err == nil && wait > 0, "Retry-After %q", response.Header.Get("Retry-After"))
			}
		})
	}
}
