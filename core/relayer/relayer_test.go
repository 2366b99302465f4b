package relayer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/relayer"
)

// Guards against a host without a parent, a parent with more than 8 children, and a tree of the wrong depth.
func TestTree(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		depth int
	}{
		{name: "single host", hosts: 1, depth: 0},
		{name: "roots only", hosts: 3, depth: 0},
		{name: "11 hosts", hosts: 11, depth: 1},
		{name: "3400 hosts", hosts: 3400, depth: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tree := relayer.NewTree(names(tt.hosts), 1, 3, 8)
			assert.Equal(t, tree.Depth(), tt.depth)
			children := map[string]int{}
			for _, name := range tree.Order {
				parents := tree.Parents(name)
				if tree.IsRoot(name) {
					continue
				}
				assert.Assert(t, len(parents) > 0, name)
				children[parents[0]]++
			}
			for parent, count := range children {
				assert.Assert(t, count <= 8, "%s has %d children", parent, count)
			}
		})
	}
}

func names(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("host-%04d", i)
	}
	return list
}

// simulation connects relayers by a simulated network that delivers frames in order and can partition hosts.
type simulation struct {
	now      time.Duration
	hosts    map[string]*relayer.Relayer
	held     map[string]map[relayer.Key]relayer.Version
	isolated map[string]bool
	queue    []func()
	t        interface{ Fatalf(string, ...any) }
}

func newSimulation(t interface{ Fatalf(string, ...any) }, count int) *simulation {
	sim := &simulation{
		hosts:    map[string]*relayer.Relayer{},
		held:     map[string]map[relayer.Key]relayer.Version{},
		isolated: map[string]bool{},
		t:        t,
	}
	for _, name := range names(count) {
		sim.start(name)
	}
	for _, name := range names(count) {
		sim.step(name, relayer.Hosts{Names: names(count)})
	}
	return sim
}

func (sim *simulation) start(name string) {
	sim.hosts[name] = relayer.New(relayer.Options{Self: name, Seed: 1, Patch: patch})
	sim.held[name] = map[relayer.Key]relayer.Version{}
}

func (sim *simulation) step(name string, event relayer.Event) {
	for _, action := range sim.hosts[name].Step(sim.now, event) {
		switch a := action.(type) {
		case relayer.Dial:
			sim.dial(name, a.Peer)
		case relayer.Disconnect:
			sim.queue = append(sim.queue, func() { sim.step(a.Peer, relayer.PeerDown{Peer: name}) })
		case relayer.Send:
			sim.queue = append(sim.queue, func() {
				if !sim.isolated[name] && !sim.isolated[a.Peer] {
					sim.step(a.Peer, relayer.Received{Peer: name, Frame: a.Frame})
				}
			})
		case relayer.Deliver:
			if held, ok := sim.held[name][a.Item.Key]; ok && !held.Less(a.Item.Version) {
				sim.t.Fatalf("%s: %v reverted from %v to %v", name, a.Item.Key, held, a.Item.Version)
			}
			if a.Item.Kind == relayer.Config && string(a.Item.Body) != fmt.Sprint(a.Item.Version) {
				sim.t.Fatalf("%s: %v has body %s at version %v", name, a.Item.Key, a.Item.Body, a.Item.Version)
			}
			sim.held[name][a.Item.Key] = a.Item.Version
		}
	}
}

func (sim *simulation) dial(from, to string) {
	sim.queue = append(sim.queue, func() {
		if sim.isolated[from] || sim.isolated[to] {
			sim.step(from, relayer.PeerDown{Peer: to})
			return
		}
		sim.step(to, relayer.PeerUp{Peer: from})
		sim.step(from, relayer.PeerUp{Peer: to, Outbound: true})
	})
}

func (sim *simulation) drain() {
	for len(sim.queue) > 0 {
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		next()
	}
}

// run advances the time in steps of 100 ms.
func (sim *simulation) run(length time.Duration) {
	for end := sim.now + length; sim.now < end; sim.now += 100 * time.Millisecond {
		for _, name := range names(len(sim.hosts)) {
			sim.step(name, relayer.Ticked{})
		}
		sim.drain()
	}
}

// publishDelta publishes a version with the delta from the stored one. The body of an item is its version as text.
func (sim *simulation) publishDelta(name string, key relayer.Key, version uint64) {
	to := relayer.Version{Seq: version}
	from := sim.held[name][key]
	sim.step(name, relayer.Published{
		Item:  relayer.Item{Key: key, Version: to, Body: []byte(fmt.Sprint(to))},
		Delta: &relayer.Delta{Key: key, From: from, To: to, Body: []byte(fmt.Sprintf("%v > %v", from, to))},
	})
	sim.drain()
}

// patch applies a delta of publishDelta. It fails if the delta is not from the held version.
func patch(_ relayer.Key, held, delta []byte) ([]byte, error) {
	from, to, _ := strings.Cut(string(delta), " > ")
	if from != string(held) {
		return nil, fmt.Errorf("delta from version %s applied to version %s", from, held)
	}
	return []byte(to), nil
}

func (sim *simulation) publish(name string, key relayer.Key, version uint64) {
	to := relayer.Version{Seq: version}
	sim.step(name, relayer.Published{Item: relayer.Item{Key: key, Version: to, Body: []byte(fmt.Sprint(to))}})
	sim.drain()
}

func (sim *simulation) check(key relayer.Key, version uint64) {
	for name := range sim.hosts {
		if held := sim.held[name][key]; !sim.isolated[name] && held.Seq != version {
			sim.t.Fatalf("%s stores %v at sequence number %d, want %d", name, key, held.Seq, version)
		}
	}
}

// Guards against configuration that reverts to an older version, or that does not reach every host within 4 s after the
// end of partitions and restarts.
func TestItemsReachEveryHostAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "hosts")
		sim := newSimulation(t, count)
		sim.run(time.Second)
		key := relayer.Key{Kind: relayer.Config, Name: "config/service/a"}
		version := uint64(0)
		anyHost := rapid.SampledFrom(names(count))
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				version++
				sim.publish(anyHost.Draw(t, "host"), key, version)
			},
			"publish delta": func(t *rapid.T) {
				version++
				sim.publishDelta(anyHost.Draw(t, "host"), key, version)
			},
			"publish old": func(t *rapid.T) {
				sim.publish(anyHost.Draw(t, "host"), key, version/2)
			},
			"isolate": func(t *rapid.T) { sim.isolated[anyHost.Draw(t, "host")] = true },
			"restore": func(t *rapid.T) { delete(sim.isolated, anyHost.Draw(t, "host")) },
			"restart": func(t *rapid.T) {
				name := anyHost.Draw(t, "host")
				for other := range sim.hosts {
					if other != name {
						sim.step(other, relayer.PeerDown{Peer: name})
					}
				}
				sim.start(name)
				sim.step(name, relayer.Hosts{Names: names(count)})
				sim.drain()
			},
			"wait": func(t *rapid.T) {
				sim.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")) * 100 * time.Millisecond)
			},
		})
		sim.isolated = map[string]bool{}
		sim.run(4 * time.Second)
		highest := uint64(0)
		for _, held := range sim.held {
			highest = max(highest, held[key].Seq)
		}
		sim.check(key, highest)
	})
}

// Guards against progress that counts a host twice or not at all.
func TestProgressCountsEveryHost(t *testing.T) {
	sim := newSimulation(t, 40)
	for name := range sim.hosts {
		sim.step(name, relayer.RevisionApplied{Revision: 7})
	}
	sim.run(3 * time.Second)
	for name, host := range sim.hosts {
		counts := host.Progress()
		assert.DeepEqual(t, counts, []relayer.RevisionCount{{Revision: 7, Hosts: 40}})
		assert.Assert(t, host.Connected(), name)
	}
}

// Guards against a host that is counted twice after a change of the roots, because a former root stays connected to the
// new roots.
func TestProgressAfterTheRootsChanged(t *testing.T) {
	for count := 4; count <= 24; count++ {
		sim := newSimulation(t, count)
		all := names(count)
		for name := range sim.hosts {
			sim.step(name, relayer.RevisionApplied{Revision: 7})
		}
		for _, listed := range [][]string{all[:count/2], all, all[count/3:], all} {
			for _, name := range all {
				sim.step(name, relayer.Hosts{Names: listed})
			}
			sim.drain()
			sim.run(3 * time.Second)
		}
		for name, host := range sim.hosts {
			assert.DeepEqual(t, host.Progress(), []relayer.RevisionCount{{Revision: 7, Hosts: uint32(count)}})
			assert.Assert(t, host.Connected(), name)
		}
	}
}

// Guards against reports about suspects that use memory without a limit.
func TestSuspectsAreBoundedAndExpire(t *testing.T) {
	r := relayer.New(relayer.Options{Self: "host-0"})
	for i := range 5000 {
		key := relayer.Key{Kind: relayer.Suspect, Name: fmt.Sprint(i)}
		r.Step(time.Duration(i), relayer.Published{Item: relayer.Item{Key: key, Version: relayer.Version{Seq: 1}}})
	}
	assert.Equal(t, len(r.Keys(relayer.Suspect)), 4096)
	r.Step(11*time.Minute, relayer.Ticked{})
	assert.Equal(t, len(r.Keys(relayer.Suspect)), 0)
}
