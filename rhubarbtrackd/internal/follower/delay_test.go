package follower_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against a host that takes the state of heartbeats for current that were delayed on their way.
func TestDelayedHeartbeatsDoNotKeepAnOldCopy(t *testing.T) {
	for _, tt := range []struct {
		name  string
		delay time.Duration
		age   time.Duration // of the controller's copy
		reads bool          // the host reads the store itself
	}{
		{"in time", 20 * time.Millisecond, 300 * time.Millisecond, false},
		{"delayed", time.Second, 0, true},
		{"from a controller with an old copy", 20 * time.Millisecond, 1300 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store, f := newFollower(t)
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			change := follower.Change{Full: true, Revision: 1 << 40, Configuration: 3, Age: tt.age, MadeAt: timer.Now()}
			assert.Assert(t, f.ApplyChange(change))
			change.Full = false
			putConfiguration(t, store, 9)
			calls := store.Calls()
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && version(f) != 9; time.Sleep(50 * time.Millisecond) {
				change.MadeAt = timer.Now() - tt.delay
				f.ApplyChange(change)
			}
			assert.Equal(t, version(f) == 9, tt.reads)
			assert.Assert(t, tt.reads || store.Calls() == calls, "%d calls of the store", store.Calls()-calls)
		})
	}
}

// Guards against a drain that is counted from the arrival of a delayed heartbeat.
func TestDrainInADelayedHeartbeatCountsFromItsBegin(t *testing.T) {
	_, f := newFollower(t)
	upstream := registrar.Upstream{Incarnation: identifier.Incarnation{ID: "a"}, Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 6, Draining: true}
	const delay = 500 * time.Millisecond
	madeAt := timer.Now() - delay
	change := follower.Change{
		Full: true, Revision: 1 << 40, MadeAt: madeAt, Puts: []registrar.Upstream{upstream}, DrainAges: map[string]time.Duration{"a": 0},
	}
	eventually(t, "the copy was not applied", func() bool { return f.ApplyChange(change) })
	assert.Equal(t, drainingSince(t, f, "a"), madeAt)
}

// Guards against a configuration that counts as current from the arrival of a response that was delayed on its way.
func TestDelayedResponseToAWatchDoesNotRenewTheConfiguration(t *testing.T) {
	const delay = 500 * time.Millisecond
	store := simulator.NewStore()
	var listedAt atomic.Int64 // arrival of the last list, which is answered without delay
	f := follow(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		if !r.URL.Query().Has("watch") {
			listedAt.Store(int64(timer.Now()))
		}
		store.ServeHTTP(recorder, r)
		if r.URL.Query().Has("watch") {
			time.Sleep(delay)
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	putConfiguration(t, store, 3)
	eventually(t, "the configuration was not read", func() bool { return version(f) == 3 })
	time.Sleep(1500 * time.Millisecond) // until the first watch has ended
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		now := timer.Now()
		age := now - f.ConfirmedAt(now)
		listAge := now - time.Duration(listedAt.Load())
		assert.Assert(t, age >= delay-20*time.Millisecond, "age %v, time since the last list %v", age, listAge)
	}
}
