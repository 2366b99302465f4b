package controller_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
)

// editedKeys become hot and cool down in these tests. Several share a range.
var editedKeys = func() []string {
	var keys []string
	for i := range 16 {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	return keys
}()

// assignment is what a fence says about the keys that it covers, besides the term: an entry host may name the term of a
// later takeover.
type assignment struct {
	slice uint32
	epoch uint64
}

// notePublished notes which fences an entry host may send with the edited keys.
func (w *world) notePublished(table slicer.Table) {
	if w.covered == nil {
		return
	}
	w.published = table
	if err := table.Validate(); err != nil {
		w.fail("published table: %v", err)
	}
	for _, key := range editedKeys {
		if entry, ok := table.Lookup(key); ok && entry.Owner != "" {
			w.covered[key][assignment{entry.ID, entry.Epoch}] = true
		}
	}
}

// checkKeys verifies that no two upstreams would run a request for the same key, whatever published table it was routed
// with.
func (w *world) checkKeys() {
	if w.covered == nil {
		return
	}
	owners := map[string]string{}
	own := func(fence slicer.Fence, name string) {
		for _, key := range editedKeys {
			if !w.covered[key][assignment{fence.Slice, fence.Epoch}] {
				continue
			}
			if other, ok := owners[key]; ok && other != name {
				w.fail("%s is owned by %s and by %s with %+v", key, other, name, fence)
			}
			owners[key] = name
		}
	}
	for _, name := range sorted(w.upstreams) {
		u := w.upstreams[name]
		if u.dead || !u.config.ChecksFence || u.clock(w.now) >= u.end {
			continue
		}
		for _, fence := range u.held {
			own(fence, name)
		}
	}
	for _, n := range w.hosts {
		for name, lease := range n.leases {
			if n.dead || lease.closed || n.clock(w.now) >= lease.end || w.upstreams[name].config.ChecksFence {
				continue
			}
			for _, fence := range lease.serve {
				own(fence, name)
			}
		}
	}
}

// edit asks for a random edit: a hot key is folded if its range has the same owner and moved there otherwise.
func (w *world) edit(input controller.Input) controller.Move {
	key := editedKeys[w.random.IntN(len(editedKeys))]
	hash := hasher.Sum(key)
	var home, hot controller.SliceState
	for _, s := range input.Slices {
		if s.HotKey == "" && s.Low <= hash && (home.ID == 0 || s.Low > home.Low) {
			home = s
		}
		if s.HotKey == key {
			hot = s
		}
	}
	switch {
	case hot.ID == 0:
		return controller.Move{Slice: home.ID, Isolate: key}
	case hot.Owner == home.Owner:
		return controller.Move{Slice: hot.ID, Fold: key}
	default:
		return controller.Move{Slice: hot.ID, To: home.Owner}
	}
}

func newEditedWorld(seed uint64, upstreams ...string) *world {
	w := newWorld(seed, 12, upstreams...)
	w.covered = map[string]map[assignment]bool{}
	for _, key := range editedKeys {
		w.covered[key] = map[assignment]bool{}
	}
	return w
}

// missing counts the slices of the stored table that no request can reach.
func (w *world) missing() int {
	serving := w.serving()
	count := 0
	table := w.table.value.Table
	all := append([]slicer.Slice(nil), table.Ranges...)
	for _, hot := range table.Hot {
		all = append(all, hot)
	}
	for _, entry := range all {
		u := w.upstreams[serving[entry.ID]]
		if u == nil || u.dead || w.now < u.frozen || len(u.held) == 0 {
			count++
		}
	}
	return count
}

// TestEditsUnderFaults guards single ownership of every key, whatever table its request was routed with, and service of
// every slice within 3 s after the last fault, while keys become hot, move and cool down.
func TestEditsUnderFaults(t *testing.T) {
	edited := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newEditedWorld(rapid.Uint64().Draw(t, "seed"), "a", "b", "c", "x", "y")
		w.run(4 * time.Second)
		w.churn = rapid.Bool().Draw(t, "churn")
		w.edits = true
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				target: rapid.IntRange(0, 24).Draw(t, "target"),
				length: time.Duration(rapid.IntRange(1, 5000).Draw(t, "length")) * ms,
			}
		}), 0, 10).Draw(t, "faults")
		last := w.now
		for _, f := range faults {
			w.inject(f)
			// Delayed messages arrive up to 2 s after the fault; a stall begins up to a renewal interval late.
			last = max(last, w.now+f.length+2*time.Second)
			w.run(time.Duration(rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 2500)).Draw(t, "gap")) * ms)
		}
		w.run(last - w.now)
		w.churn, w.edits = false, false
		w.run(progressBound)
		edited += int(w.table.value.Table.LastID) - 12
		if w.wrong != "" {
			t.Fatalf("%s", w.wrong)
		}
		if missing := w.missing(); missing != 0 {
			t.Fatalf("%d slices are not served %v after the faults", missing, progressBound)
		}
	})
	t.Logf("%d keys isolated", edited)
	assert.Assert(t, edited > 0)
}

// uncommitted reports whether an edit has been made and the store does not contain it yet.
func (w *world) uncommitted(fold bool) bool {
	with, without := w.published.Hot, w.table.value.Table.Hot
	if fold {
		with, without = without, with
	}
	for key := range with {
		if _, ok := without[key]; !ok {
			return true
		}
	}
	return false
}

// TestEditDuringStoreFailure guards single ownership of keys when the store goes down, or takes the write and loses the
// answer, between an edit and its commit, the owners crash meanwhile, and a successor reads either table.
func TestEditDuringStoreFailure(t *testing.T) {
	for _, kind := range []string{"store-down", "lose-answers"} {
		for _, fold := range []bool{false, true} {
			for seed := range uint64(6) {
				t.Run(fmt.Sprint(kind, "/", fold, "/", seed), func(t *testing.T) {
					w := newEditedWorld(seed, "a", "b", "c", "x")
					w.run(4 * sec)
					w.edits = true
					w.run(3 * sec)
					for w.now < 12*sec && !w.uncommitted(fold) {
						w.run(100 * time.Microsecond)
					}
					assert.Assert(t, w.uncommitted(fold), "no edit was under way")
					w.inject(fault{kind, 0, 4 * sec})
					if seed%2 == 0 {
						w.run(800 * ms)
						w.inject(fault{"kill-upstream", int(seed), 20 * sec})
						w.run(3190 * ms)
					} else {
						w.run(3990 * ms)
					}
					w.inject(fault{"kill-controller", 0, 20 * sec})
					w.churn = true
					w.run(4 * sec)
					w.churn, w.edits = false, false
					w.run(progressBound)
					assert.Equal(t, w.wrong, "")
					assert.Equal(t, w.missing(), 0)
				})
			}
		}
	}
}

// TestEditSurvivesTakeover guards hot keys and IDs that were used once against a new controller.
func TestEditSurvivesTakeover(t *testing.T) {
	w := newEditedWorld(7, "a", "b", "c", "x")
	w.run(5 * sec)
	w.edits = true
	w.run(5 * sec)
	w.edits = false
	w.run(1 * sec)
	before := w.table.value.Table
	assert.Assert(t, len(before.Hot) > 0)
	assert.Assert(t, before.LastID > uint32(12+len(before.Hot)), "nothing was folded")
	w.inject(fault{"kill-controller", 0, 20 * sec})
	w.run(5 * sec)
	assert.Equal(t, w.wrong, "")
	assert.Equal(t, w.missing(), 0)
	after := w.table.value.Table
	assert.Assert(t, after.Version.Term > before.Version.Term)
	assert.Equal(t, after.LastID, before.LastID)
	assert.DeepEqual(t, after.Hot, before.Hot)
	assert.DeepEqual(t, after.Ranges, before.Ranges)
}

// TestNoEditInOutage guards against an edit that begins while the store is down and nothing has shown it yet: its key would
// not be served when its owner crashes.
func TestNoEditInOutage(t *testing.T) {
	for seed := range uint64(4) {
		w := newEditedWorld(seed, "a", "b", "c", "x")
		w.run(5 * sec)
		before := w.published
		w.inject(fault{"store-down", 0, 10 * sec})
		w.run(1 * sec)
		w.edits = true
		w.run(2 * sec)
		w.inject(fault{"kill-upstream", int(seed % 3), 20 * sec})
		w.run(3 * sec)
		assert.Equal(t, w.published.LastID, before.LastID)
		assert.Equal(t, w.missing(), 0)
		w.run(5 * sec)
		assert.Assert(t, w.published.LastID > before.LastID, "no edit after the outage")
		assert.Equal(t, w.wrong, "")
	}
}

// TestEditAbandoned guards slices that are stopped for an edit against a store outage that begins before the stop is
// answered: they are served again during the outage, with their keys as before.
func TestEditAbandoned(t *testing.T) {
	w := newEditedWorld(7, "a", "b", "c", "x")
	w.run(5 * sec)
	w.edits = true
	w.run(3 * sec)
	w.hold = true
	w.run(300 * ms)
	assert.Assert(t, w.missing() > 0, "no edit was under way")
	before := w.table.value.Table
	w.inject(fault{"store-down", 0, 3 * sec})
	// A writing of the table makes the outage known: the store is not asked otherwise.
	w.inject(fault{"kill-upstream", 0, 20 * sec})
	w.run(2900 * ms)
	assert.Equal(t, w.missing(), 0)
	assert.Equal(t, w.published.LastID, before.LastID)
	w.hold, w.edits = false, false
	w.run(progressBound)
	assert.Equal(t, w.wrong, "")
	assert.Equal(t, w.missing(), 0)
}
