package follower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// Guards against a host that drops an upstream which has registered again, because the relay resumed on a copy in which the host
// keeps the upstream only for a while after its removal.
func TestResumedRelayKeepsAnUpstreamThatHasRegisteredAgain(t *testing.T) {
	for _, tt := range []struct {
		name    string
		resumed bool
	}{{"full copy", false}, {"resumed", true}} {
		t.Run(tt.name, func(t *testing.T) {
			store, f := newFollower(t)
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return len(f.Snapshot().Upstreams) == 1 })
			upstream := f.Snapshot().Upstreams["a"]
			store.SetFault(simulator.Fault{Kind: simulator.Busy})
			store.Compact()
			eventually(t, "the outage was not noticed", func() bool { return !f.Connected() })
			store.Delete(translator.UpstreamKind, "a")
			store.SetFault(simulator.Fault{})
			eventually(t, "the removal was not read", func() bool { return f.Snapshot().Kept["a"] })
			// The controller has listed the store after the upstream had registered again.
			controller := follower.Snapshot{Listed: true, Upstreams: map[string]registrar.Upstream{"a": upstream}}
			change := follower.Change{Revision: 1 << 40, Configuration: 3}
			if tt.resumed {
				resumed := change
				resumed.Base = controller.Digest()
				assert.Assert(t, resumed.Base != f.Snapshot().Digest())
				assert.Assert(t, !f.ApplyChange(resumed))
			}
			full := change
			full.Full, full.Puts = true, []registrar.Upstream{upstream}
			assert.Assert(t, f.ApplyChange(full))
			for end := time.Now().Add(registrar.ReregisterTime + 500*time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				assert.Assert(t, f.ApplyChange(change))
			}
			_, listed := f.Snapshot().Upstreams["a"]
			assert.Assert(t, listed, "the host has dropped an upstream that the controller lists")
		})
	}
}

// Guards against a host that applies changes of a new controller to the copy of the former one, because it still follows the
// relay when it refuses the new controller's base.
func TestNoChangeAppliesAfterARefusedBase(t *testing.T) {
	upstream := func(id string) registrar.Upstream {
		return registrar.Upstream{Incarnation: identifier.Incarnation{ID: id, Start: 1}, Service: "s", Address: "127.0.0.1:2", Domain: "d", Slots: 6}
	}
	for _, tt := range []struct {
		name string
		next func(f *follower.Follower) follower.Change
	}{
		{"full copy", func(*follower.Follower) follower.Change {
			return follower.Change{Full: true, Puts: []registrar.Upstream{upstream("a")}}
		}},
		{"fitting base", func(f *follower.Follower) follower.Change { return follower.Change{Base: f.Snapshot().Digest()} }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store, f := newFollower(t)
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			apply := func(change follower.Change) bool {
				change.Revision, change.Configuration = 1<<40, 3
				return f.ApplyChange(change)
			}
			assert.Assert(t, apply(follower.Change{Full: true, Puts: []registrar.Upstream{upstream("a")}}))
			assert.Assert(t, apply(follower.Change{}))
			assert.Assert(t, !apply(follower.Change{Base: f.Snapshot().Digest() + 1}))
			assert.Assert(t, f.Relayed())
			assert.Assert(t, !apply(follower.Change{Puts: []registrar.Upstream{upstream("b")}}), "a change applies to another copy")
			assert.Equal(t, len(f.Snapshot().Upstreams), 1)
			assert.Assert(t, apply(tt.next(f)))
			assert.Assert(t, apply(follower.Change{Puts: []registrar.Upstream{upstream("b")}}))
			assert.Equal(t, len(f.Snapshot().Upstreams), 2)
		})
	}
}
