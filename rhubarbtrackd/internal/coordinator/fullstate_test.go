package coordinator

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// TestFullStatesAreSpread guards against a controller whose link is taken by full states after all hosts of a large fleet
// have started: none arrives in time, and all hosts connect again. Every host must get its full state within a few
// heartbeats, and hosts that have it must get their changes meanwhile.
func TestFullStatesAreSpread(t *testing.T) {
	const (
		hosts     = 300
		upstreams = 3000
	)
	now := func() time.Duration { return 0 }
	log := eventlog.New(zap.NewNop())
	c := New(Options{
		Host: "h", Now: now, Log: log,
		Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: now}),
	})
	c.snapshot = &follower.Snapshot{Upstreams: map[string]registrar.Upstream{}}
	table := make(allocator.RoutingTable, upstreams)
	for i := range upstreams {
		id := fmt.Sprint(i)
		upstream := identifier.Incarnation{ID: id, Start: 1}
		c.snapshot.Upstreams[id] = registrar.Upstream{Incarnation: upstream}
		table[i] = allocator.Assignment{From: uint16(i), To: uint16(i), Owner: upstream}
	}
	c.services["s"] = &serviceState{service: "s", routingTable: table}
	var peers []*connector.Peer
	for range hosts {
		peers = append(peers, &connector.Peer{})
	}
	missing := hosts
	for heartbeat := 1; missing > 0; heartbeat++ {
		assert.Assert(t, heartbeat <= 100, "%d hosts still have no table", missing)
		c.fullEntries = 0
		full := 0
		for i, peer := range peers {
			for _, change := range c.newHeartbeat(0, peer, i+1, hosts+1).Tables {
				assert.Assert(t, is.Len(change.Rows, upstreams))
				full++
			}
		}
		assert.Assert(t, full > 0)
		assert.Assert(t, full*upstreams <= maxFullEntries, "%d full states in one heartbeat", full)
		missing -= full
	}
	// A changed table goes to all hosts at once.
	changed := append(allocator.RoutingTable{}, table...)
	changed[0].Owner.ID = "other"
	c.services["s"].routingTable = changed
	c.fullEntries = 0
	for i, peer := range peers {
		assert.Assert(t, is.Len(c.newHeartbeat(0, peer, i+1, hosts+1).Tables, 1))
	}
}

// Guards against a new controller that sends its full copy to hosts which have it, or none to hosts which have another one.
func TestCopyIsResumedByHostsThatHaveIt(t *testing.T) {
	now := func() time.Duration { return 0 }
	log := eventlog.New(zap.NewNop())
	c := New(Options{Host: "h", Now: now, Log: log, Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: now})})
	c.snapshot = &follower.Snapshot{Listed: true, Upstreams: map[string]registrar.Upstream{"a": {Slots: 6}, "b": {Slots: 6}}}
	for _, tt := range []struct {
		name    string
		digest  uint64
		resumed bool
	}{{"the same copy", c.snapshot.Digest(), true}, {"another copy", 7, false}, {"earlier version", 0, false}} {
		t.Run(tt.name, func(t *testing.T) {
			peer := &connector.Peer{}
			c.resumeCopy(peer, connector.Report{CopyDigest: tt.digest})
			assert.Equal(t, c.resumed[peer] == tt.digest && tt.digest != 0, tt.resumed)
			assert.Equal(t, c.missingCopyEntries(0, peer) == 0, tt.resumed)
		})
	}
}

// Guards against hosts that take cold upstreams for warm after a change of the controller, because they resume the relay on a copy
// from before these became cold.
func TestResumedCopyHasTheColdPhases(t *testing.T) {
	const now = time.Second
	clock := func() time.Duration { return now }
	log := eventlog.New(zap.NewNop())
	upstream := func(id string, coldEnd time.Duration) registrar.Upstream {
		return registrar.Upstream{Incarnation: identifier.Incarnation{ID: id, Start: 1}, Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 6, ColdEnd: coldEnd}
	}
	for _, tt := range []struct {
		name                   string
		host, controller, want time.Duration // end of the cold phase
		entries                int           // of the full state
	}{
		{"cold phase that the host has missed", 0, 4 * time.Second, 4 * time.Second, 1},
		{"cold phase after an earlier one", now / 2, 4 * time.Second, 4 * time.Second, 1},
		{"cold phase that the controller has missed", 4 * time.Second, 0, 4 * time.Second, 0},
		{"cold phase after one that the controller knows", 4 * time.Second, 2 * time.Second, 4 * time.Second, 1},
		{"warm", 0, 0, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			host := follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: clock})
			assert.Assert(t, host.ApplyChange(follower.Change{
				Full: true, Revision: 1, Puts: []registrar.Upstream{upstream("a", tt.host), upstream("b", 0)},
			}))
			c := New(Options{Host: "h", Now: clock, Log: log, Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: clock})})
			c.snapshot = &follower.Snapshot{Listed: true, Revision: 2, Upstreams: map[string]registrar.Upstream{
				"a": upstream("a", tt.controller), "b": upstream("b", 0),
			}}
			peer := &connector.Peer{}
			c.resumeCopy(peer, connector.Report{CopyDigest: host.Snapshot().Digest()})
			assert.Equal(t, c.missingCopyEntries(now, peer), tt.entries)
			change := c.copyChange(now, peer)
			assert.Assert(t, change.Base != 0 && !change.Full)
			assert.Assert(t, host.ApplyChange(change))
			assert.Equal(t, host.Snapshot().Upstreams["a"].ColdEnd, tt.want)
			assert.Equal(t, host.Snapshot().Upstreams["b"].ColdEnd, time.Duration(0))
			assert.Assert(t, is.Len(c.copyChange(now, peer).Puts, 0))
		})
	}
}

// Guards against full states whose bytes count as those of other messages, so that the next ones do not wait for them.
func TestFullStateOfAHeartbeat(t *testing.T) {
	for _, tt := range []struct {
		name      string
		heartbeat connector.Heartbeat
		want      bool
	}{
		{"neither", connector.Heartbeat{}, false},
		{"change of the copy", connector.Heartbeat{HasCopy: true}, false},
		{"copy", connector.Heartbeat{HasCopy: true, Copy: follower.Change{Full: true}}, true},
		{"resumed copy", connector.Heartbeat{HasCopy: true, Copy: follower.Change{Base: 1}}, false},
		{"resumed copy with cold upstreams", connector.Heartbeat{HasCopy: true, Copy: follower.Change{Base: 1, Puts: make([]registrar.Upstream, 1)}}, true},
		{"change of a table", connector.Heartbeat{Tables: []connector.TableChange{{}}}, false},
		{"second table in full", connector.Heartbeat{Tables: []connector.TableChange{{}, {Full: true}}}, true},
	} {
		assert.Equal(t, hasFullState(tt.heartbeat), tt.want, tt.name)
	}
}

// Guards against a host that gets no changes of any table while the full table of one service has to wait: it would send requests to
// former owners.
func TestChangesAreSentWhileAFullTableWaits(t *testing.T) {
	now := func() time.Duration { return 0 }
	log := eventlog.New(zap.NewNop())
	c := New(Options{Host: "h", Now: now, Log: log, Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: now})})
	table := func(owner string) allocator.RoutingTable {
		return allocator.RoutingTable{{From: 0, To: 65535, Owner: identifier.Incarnation{ID: owner, Start: 1}}}
	}
	peer := &connector.Peer{}
	c.services["old"] = &serviceState{service: "old", routingTable: table("a")}
	assert.Assert(t, is.Len(c.newHeartbeat(0, peer, 1, 2).Tables, 1))

	c.services["old"].routingTable = table("b")
	c.services["new"] = &serviceState{service: "new", routingTable: table("c")}
	c.fullEntries = maxFullEntries
	waiting := c.newHeartbeat(0, peer, 1, 2).Tables
	assert.Assert(t, is.Len(waiting, 1))
	assert.Equal(t, waiting[0].Service, "old")
	assert.Assert(t, !waiting[0].Full)
	assert.Equal(t, waiting[0].Rows[0].Owner.ID, "b")

	c.fullEntries = 0
	allowed := c.newHeartbeat(0, peer, 1, 2).Tables
	assert.Assert(t, is.Len(allowed, 1))
	assert.Equal(t, allowed[0].Service, "new")
	assert.Assert(t, allowed[0].Full)
}
