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

// Guards against an item that reaches no host, or a host whose place in the tree has no parent.
func TestTree(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		depth int
	}{
		{name: "single host", hosts: 1, depth: 0},
		{name: "roots only", hosts: 3, depth: 0},
		{name: "today", hosts: 11, depth: 1},
		{name: "target", hosts: 3400, depth: 4},
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

// fleet joins relayers by a network that delivers frames in order and can cut hosts off.
type fleet struct {
	now   time.Duration
	hosts map[string]*relayer.Relayer
	held  map[string]map[relayer.Key]relayer.Version
	cut   map[string]bool
	queue []func()
	t     interface{ Fatalf(string, ...any) }
}

func newFleet(t interface{ Fatalf(string, ...any) }, count int) *fleet {
	f := &fleet{hosts: map[string]*relayer.Relayer{}, held: map[string]map[relayer.Key]relayer.Version{}, cut: map[string]bool{}, t: t}
	for _, name := range names(count) {
		f.start(name)
	}
	for _, name := range names(count) {
		f.step(name, relayer.Hosts{Names: names(count)})
	}
	return f
}

func (f *fleet) start(name string) {
	f.hosts[name] = relayer.New(relayer.Options{Self: name, Seed: 1, Patch: patch})
	f.held[name] = map[relayer.Key]relayer.Version{}
}

func (f *fleet) step(name string, event relayer.Event) {
	for _, action := range f.hosts[name].Step(f.now, event) {
		switch a := action.(type) {
		case relayer.Dial:
			f.dial(name, a.Peer)
		case relayer.Disconnect:
			f.queue = append(f.queue, func() { f.step(a.Peer, relayer.PeerDown{Peer: name}) })
		case relayer.Send:
			f.queue = append(f.queue, func() {
				if !f.cut[name] && !f.cut[a.Peer] {
					f.step(a.Peer, relayer.Received{Peer: name, Frame: a.Frame})
				}
			})
		case relayer.Deliver:
			if held, ok := f.held[name][a.Item.Key]; ok && !held.Less(a.Item.Version) {
				f.t.Fatalf("%s: %v reverted from %v to %v", name, a.Item.Key, held, a.Item.Version)
			}
			if a.Item.Kind == relayer.Config && string(a.Item.Body) != fmt.Sprint(a.Item.Version) {
				f.t.Fatalf("%s: %v has body %s at %v", name, a.Item.Key, a.Item.Body, a.Item.Version)
			}
			f.held[name][a.Item.Key] = a.Item.Version
		}
	}
}

func (f *fleet) dial(from, to string) {
	f.queue = append(f.queue, func() {
		if f.cut[from] || f.cut[to] {
			f.step(from, relayer.PeerDown{Peer: to})
			return
		}
		f.step(to, relayer.PeerUp{Peer: from})
		f.step(from, relayer.PeerUp{Peer: to, Outbound: true})
	})
}

func (f *fleet) drain() {
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		next()
	}
}

// run lets time pass in steps of 100 ms.
func (f *fleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += 100 * time.Millisecond {
		for _, name := range names(len(f.hosts)) {
			f.step(name, relayer.Ticked{})
		}
		f.drain()
	}
}

// publishDelta publishes a version as the change from the one that the host holds. The body of an item is its version.
func (f *fleet) publishDelta(name string, key relayer.Key, version uint64) {
	to := relayer.Version{Seq: version}
	from := f.held[name][key]
	f.step(name, relayer.Published{
		Item:  relayer.Item{Key: key, Version: to, Body: []byte(fmt.Sprint(to))},
		Delta: &relayer.Delta{Key: key, From: from, To: to, Body: []byte(fmt.Sprintf("%v > %v", from, to))},
	})
	f.drain()
}

// patch applies a delta of publishDelta and fails when it does not fit.
func patch(_ relayer.Key, held, delta []byte) ([]byte, error) {
	from, to, _ := strings.Cut(string(delta), " > ")
	if from != string(held) {
		return nil, fmt.Errorf("delta from %s for %s", from, held)
	}
	return []byte(to), nil
}

func (f *fleet) publish(name string, key relayer.Key, version uint64) {
	to := relayer.Version{Seq: version}
	f.step(name, relayer.Published{Item: relayer.Item{Key: key, Version: to, Body: []byte(fmt.Sprint(to))}})
	f.drain()
}

func (f *fleet) check(key relayer.Key, version uint64) {
	for name := range f.hosts {
		if held := f.held[name][key]; !f.cut[name] && held.Seq != version {
			f.t.Fatalf("%s holds %v at %d, want %d", name, key, held.Seq, version)
		}
	}
}

// Guards against configuration that reverts, or that does not reach a host within 4 s after partitions and restarts end.
func TestItemsReachEveryHostAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "hosts")
		f := newFleet(t, count)
		f.run(time.Second)
		key := relayer.Key{Kind: relayer.Config, Name: "config/service/a"}
		version := uint64(0)
		anyHost := rapid.SampledFrom(names(count))
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				version++
				f.publish(anyHost.Draw(t, "host"), key, version)
			},
			"publish delta": func(t *rapid.T) {
				version++
				f.publishDelta(anyHost.Draw(t, "host"), key, version)
			},
			"publish old": func(t *rapid.T) {
				f.publish(anyHost.Draw(t, "host"), key, version/2)
			},
			"cut":     func(t *rapid.T) { f.cut[anyHost.Draw(t, "host")] = true },
			"restore": func(t *rapid.T) { delete(f.cut, anyHost.Draw(t, "host")) },
			"restart": func(t *rapid.T) {
				name := anyHost.Draw(t, "host")
				for other := range f.hosts {
					if other != name {
						f.step(other, relayer.PeerDown{Peer: name})
					}
				}
				f.start(name)
				f.step(name, relayer.Hosts{Names: names(count)})
				f.drain()
			},
			"wait": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")) * 100 * time.Millisecond)
			},
		})
		f.cut = map[string]bool{}
		f.run(4 * time.Second)
		highest := uint64(0)
		for _, held := range f.held {
			highest = max(highest, held[key].Seq)
		}
		f.check(key, highest)
	})
}

// Guards against progress that counts a host twice or not at all.
func TestProgressCountsEveryHost(t *testing.T) {
	f := newFleet(t, 40)
	for name := range f.hosts {
		f.step(name, relayer.RevisionApplied{Revision: 7})
	}
	f.run(3 * time.Second)
	for name, host := range f.hosts {
		counts := host.Progress()
		assert.DeepEqual(t, counts, []relayer.RevisionCount{{Revision: 7, Hosts: 40}})
		assert.Assert(t, host.Connected(), name)
	}
}

// Guards against a host that is counted twice after the roots have changed: a former root keeps connections to new roots.
func TestProgressAfterTheRootsChanged(t *testing.T) {
	for count := 4; count <= 24; count++ {
		f := newFleet(t, count)
		all := names(count)
		for name := range f.hosts {
			f.step(name, relayer.RevisionApplied{Revision: 7})
		}
		for _, listed := range [][]string{all[:count/2], all, all[count/3:], all} {
			for _, name := range all {
				f.step(name, relayer.Hosts{Names: listed})
			}
			f.drain()
			f.run(3 * time.Second)
		}
		for name, host := range f.hosts {
			assert.DeepEqual(t, host.Progress(), []relayer.RevisionCount{{Revision: 7, Hosts: uint32(count)}})
			assert.Assert(t, host.Connected(), name)
		}
	}
}

// Guards against unbounded memory by reports about suspects.
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
