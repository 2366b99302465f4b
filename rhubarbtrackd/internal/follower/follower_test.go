package follower_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

const waitTimeout = 5 * time.Second

func newFollower(t *testing.T) (*simulator.Store, *follower.Follower) {
	t.Helper()
	store := simulator.NewStore()
	return store, follow(t, store)
}

// follow returns a follower of the store that a handler serves.
func follow(t *testing.T, store http.Handler) *follower.Follower {
	t.Helper()
	return followWith(t, store, follower.Options{Log: eventlog.New(zap.NewNop())})
}

// followWith returns a follower of the store that a handler serves, with a log and other options.
func followWith(t *testing.T, store http.Handler, options follower.Options) *follower.Follower {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	options.Store, options.Now = storer.New(strings.TrimPrefix(server.URL, "http://")), timer.Now
	f := follower.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

func putUpstream(t *testing.T, store *simulator.Store, id string) {
	t.Helper()
	u := simulator.NewUpstream(simulator.UpstreamOptions{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 6})
	specification, status := u.Entry()
	assert.NilError(t, store.Put(translator.UpstreamKind, id, specification, status))
}

func putConfiguration(t *testing.T, store *simulator.Store, version int) {
	t.Helper()
	err := store.Put(translator.ConfigurationKind, translator.ConfigurationName, simulator.Configuration(version), nil)
	assert.NilError(t, err)
}

func version(f *follower.Follower) int64 {
	if config := f.Snapshot().Config; config != nil {
		return config.Version
	}
	return 0
}

// TestFollowsStore also covers an invalid entry, which must be left out, and a write of an older version of the
// configuration, which must not be applied.
func TestFollowsStore(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	putUpstream(t, store, "a")
	eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
	putUpstream(t, store, "b")
	assert.NilError(t, store.Put(translator.UpstreamKind, "forged", map[string]any{"address": 7}, nil))
	assert.NilError(t, store.Put(translator.TakeOutKind, "d", map[string]any{}, nil))
	putConfiguration(t, store, 9)
	eventually(t, "the changes were not read", func() bool {
		s := f.Snapshot()
		return version(f) == 9 && len(s.Upstreams) == 2 && len(s.TakenOut) == 1
	})
	store.Delete(translator.UpstreamKind, "a")
	store.Delete(translator.TakeOutKind, "d")
	putConfiguration(t, store, 5)
	eventually(t, "the removals were not read", func() bool {
		return len(f.Snapshot().Upstreams) == 1 && len(f.Snapshot().TakenOut) == 0
	})
	assert.Equal(t, version(f), int64(9), "the version of the configuration decreased")
}

// TestConnected guards against a host that reports itself as connected although neither the store nor the controller
// sends data, or as disconnected although one of them does.
func TestConnected(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	eventually(t, "not connected although the store responds", f.Connected)
	store.SetFault(simulator.Fault{Kind: simulator.Unresponsive})
	eventually(t, "still connected although the store is unresponsive", func() bool { return !f.Connected() })
	assert.Assert(t, f.ApplyChange(follower.Change{Full: true, Revision: 1 << 30}))
	assert.Assert(t, f.Connected(), "not connected although the controller sent its copy")
	eventually(t, "still connected although the controller sends nothing", func() bool { return !f.Connected() })
	store.SetFault(simulator.Fault{})
	eventually(t, "not connected although the store responds again", f.Connected)
}

// TestRecoversAfterStoreLosesWatches guards against a host that waits on a watch which the store has lost in an outage
// and so misses the changes made meanwhile.
func TestRecoversAfterStoreLosesWatches(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	eventually(t, "the configuration was not read", func() bool { return version(f) == 3 })
	store.SetFault(simulator.Fault{Kind: simulator.Unresponsive})
	time.Sleep(500 * time.Millisecond)
	putConfiguration(t, store, 9)
	putUpstream(t, store, "a")
	store.SetFault(simulator.Fault{})
	eventually(t, "the changes during the outage were not read", func() bool {
		return version(f) == 9 && len(f.Snapshot().Upstreams) == 1
	})
}

// TestFollowsController guards against a host that uses the controller's copy after relayTimeout, or applies a change
// to a copy that it does not have.
func TestFollowsController(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	putUpstream(t, store, "a")
	eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
	own := f.Snapshot().Upstreams["a"]
	full := follower.Change{
		Full: true, Revision: f.Snapshot().Revision, Configuration: 3,
		Puts: []registrar.Upstream{own, {Incarnation: identifier.Incarnation{ID: "b"}, Service: "s", Address: "127.0.0.1:2", Slots: 6}},
	}
	assert.Assert(t, f.ApplyChange(full))
	assert.Equal(t, len(f.Snapshot().Upstreams), 2)
	assert.Assert(t, f.ApplyChange(follower.Change{Revision: full.Revision + 1, Configuration: 3, Removed: []string{"b"}}))
	assert.Equal(t, len(f.Snapshot().Upstreams), 1)
	eventually(t, "the relay did not time out", func() bool { return !f.Relayed() })
	assert.Assert(t, !f.ApplyChange(follower.Change{Revision: full.Revision + 2}),
		"a change was applied without the full copy before it")
}

// TestStaleCopyDoesNotBlockConfiguration guards against a host that stops reading the configuration while the
// controller sends copies older than what the host has read itself.
func TestStaleCopyDoesNotBlockConfiguration(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	putUpstream(t, store, "a")
	eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
	putConfiguration(t, store, 9)
	older := follower.Change{Full: true, Revision: f.Snapshot().Revision - 1, Configuration: 3}
	eventually(t, "the configuration was not read while stale copies arrived", func() bool {
		assert.Assert(t, !f.ApplyChange(older))
		return version(f) == 9
	})
}

// configurationText returns a version of the configuration as the store holds it.
func configurationText(t *testing.T, version int) []byte {
	t.Helper()
	text, err := json.Marshal(simulator.Configuration(version))
	assert.NilError(t, err)
	return text
}
