package follower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against a host that resumes the relay on a copy which differs from that of the controller, and against one that needs
// a full copy although it has the same one.
func TestRelayResumesOnTheSameCopy(t *testing.T) {
	for _, tt := range []struct {
		name    string
		base    func(digest uint64) uint64
		resumes bool
	}{
		{"the same copy", func(d uint64) uint64 { return d }, true},
		{"another copy", func(d uint64) uint64 { return d + 1 }, false},
		{"a controller of an earlier version", func(uint64) uint64 { return 0 }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store, f := newFollower(t)
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			added := registrar.Upstream{Incarnation: identifier.Incarnation{ID: "b", Start: 1}, Service: "s", Address: "127.0.0.1:2", Domain: "d", Slots: 6}
			change := follower.Change{
				Revision: 1 << 40, Configuration: 3, MadeAt: timer.Now(), Puts: []registrar.Upstream{added}, Base: tt.base(f.Snapshot().Digest()),
			}
			assert.Equal(t, f.ApplyChange(change), tt.resumes)
			assert.Equal(t, f.Relayed(), tt.resumes)
			assert.Equal(t, len(f.Snapshot().Upstreams) == 2, tt.resumes)
		})
	}
}

// Guards against copies that count as equal although hosts would decide differently with them.
func TestDigest(t *testing.T) {
	u := registrar.Upstream{Incarnation: identifier.Incarnation{ID: "a", Start: 1}, Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 6}
	digest := func(upstreams ...registrar.Upstream) uint64 {
		s := follower.Snapshot{Listed: true, Upstreams: map[string]registrar.Upstream{}}
		for _, u := range upstreams {
			s.Upstreams[u.ID] = u
		}
		return s.Digest()
	}
	for _, change := range []struct {
		name  string
		apply func(u *registrar.Upstream)
		same  bool
	}{
		{"id", func(u *registrar.Upstream) { u.ID = "b" }, false},
		{"start", func(u *registrar.Upstream) { u.Start = 2 }, false},
		{"service", func(u *registrar.Upstream) { u.Service = "t" }, false},
		{"address", func(u *registrar.Upstream) { u.Address = "127.0.0.1:2" }, false},
		{"domain", func(u *registrar.Upstream) { u.Domain = "e" }, false},
		{"slots", func(u *registrar.Upstream) { u.Slots = 7 }, false},
		{"draining", func(u *registrar.Upstream) { u.Draining = true }, false},
		{"time until it is warm", func(u *registrar.Upstream) { u.ColdEnd = time.Second }, true},
	} {
		t.Run(change.name, func(t *testing.T) {
			changed := u
			change.apply(&changed)
			assert.Equal(t, digest(u) == digest(changed), change.same)
		})
	}
	other := u
	other.ID = "b"
	assert.Assert(t, digest(u) != digest(u, other))
	assert.Equal(t, digest(u, other), digest(other, u))
	assert.Assert(t, digest() != 0)
	assert.Equal(t, (&follower.Snapshot{}).Digest(), uint64(0))
}
