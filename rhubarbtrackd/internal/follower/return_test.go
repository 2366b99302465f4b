package follower_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// putCold writes the entry of an upstream that is cold for the given time.
func putCold(t *testing.T, store *simulator.Store, id string, left time.Duration) {
	t.Helper()
	u := simulator.NewUpstream(simulator.UpstreamOptions{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 6})
	specification, status := u.Entry()
	specification["status"].(map[string]any)["warmup_left_s"] = left.Seconds()
	status["warmup_left_s"] = left.Seconds()
	assert.NilError(t, store.Put(translator.UpstreamKind, id, specification, status))
}

// Guards against a host that sends to upstreams of a returned failure domain as if they were warm, because it reads the return
// before the cold phases that began earlier.
func TestReturnOfAFailureDomainFollowsItsColdPhases(t *testing.T) {
	const coldTime = 20 * time.Second
	for _, tt := range []struct {
		name string
		// lists is how long the store takes for a list of upstreams while the failure domain returns.
		lists  time.Duration
		before func(t *testing.T, store *simulator.Store, f *follower.Follower)
	}{
		{"watches", 0, func(*testing.T, *simulator.Store, *follower.Follower) {}},
		{"pause after a change of upstreams", 0, func(t *testing.T, store *simulator.Store, f *follower.Follower) {
			putUpstream(t, store, "b")
			eventually(t, "the change was not read", func() bool { return len(f.Snapshot().Upstreams) == 2 })
		}},
		{"lists after an outage", 200 * time.Millisecond, func(t *testing.T, store *simulator.Store, f *follower.Follower) {
			store.SetFault(simulator.Fault{Kind: simulator.Busy})
			store.Compact()
			eventually(t, "the outage was not noticed", func() bool { return !f.Connected() })
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store := simulator.NewStore()
			var lists atomic.Int64
			f := followWith(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/"+translator.UpstreamKind) && !r.URL.Query().Has("watch") {
					time.Sleep(time.Duration(lists.Load()))
				}
				store.ServeHTTP(w, r)
			}), follower.Options{Log: eventlog.New(zap.NewNop())})
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			assert.NilError(t, store.Put(translator.TakeOutKind, "d", map[string]any{}, nil))
			eventually(t, "the initial state was not read", func() bool {
				return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 && len(f.Snapshot().TakenOut) == 1
			})
			tt.before(t, store, f)
			lists.Store(int64(tt.lists))
			putCold(t, store, "a", coldTime)
			store.Delete(translator.TakeOutKind, "d")
			store.SetFault(simulator.Fault{})
			var returned *follower.Snapshot
			eventually(t, "the return was not read", func() bool {
				returned = f.Snapshot()
				return len(returned.TakenOut) == 0
			})
			assert.Assert(t, timer.Now() < returned.Upstreams["a"].ColdEnd, "the upstream counts as warm")
		})
	}
}

// Guards against a failure domain that stays out of use although its return and the upstreams have been read, and against one that
// is used although it was taken out again.
func TestReturnOfAFailureDomainDoesNotWaitForChanges(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	putUpstream(t, store, "a")
	assert.NilError(t, store.Put(translator.TakeOutKind, "d", map[string]any{}, nil))
	isOut := func() bool { return len(f.Snapshot().TakenOut) == 1 }
	eventually(t, "the initial state was not read", func() bool { return len(f.Snapshot().Upstreams) == 1 && isOut() })
	time.Sleep(300 * time.Millisecond) // the watch of upstreams waits
	store.Delete(translator.TakeOutKind, "d")
	const longest = 600 * time.Millisecond // far below the wait of a watch
	for began := time.Now(); isOut(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < longest, "the failure domain is still out after %v", time.Since(began))
	}
	assert.NilError(t, store.Put(translator.TakeOutKind, "d", map[string]any{}, nil))
	eventually(t, "the failure domain was not taken out again", isOut)
	time.Sleep(300 * time.Millisecond)
	store.Delete(translator.TakeOutKind, "d")
	assert.NilError(t, store.Put(translator.TakeOutKind, "d", map[string]any{}, nil))
	time.Sleep(longest)
	assert.Assert(t, isOut(), "the failure domain is in use")
}
