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

// editedKeys are isolated and folded in these tests. Several of them share a range.
var editedKeys = func() []string {
	var keys []string
	for i := range 16 {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	return keys
}()

// fenceKey identifies the set of keys that a fence covers. It omits the term, because an entry host may send the term
// of a later takeover.
type fenceKey struct {
	slice uint32
	epoch uint64
}

// recordPublished records which fences an entry host may send with the edited keys.
func (sim *simulation) recordPublished(table slicer.Table) {
	if sim.keyFences == nil {
		return
	}
	sim.publishedTable = table
	if err := table.Validate(); err != nil {
		sim.fail("published table: %v", err)
	}
	for _, key := range editedKeys {
		if entry, ok := table.Lookup(key); ok && entry.Owner != "" {
			sim.keyFences[key][fenceKey{entry.ID, entry.Epoch}] = true
		}
	}
}

// checkKeys verifies that no two upstreams would run requests for the same key, whichever published table routed
// them.
func (sim *simulation) checkKeys() {
	if sim.keyFences == nil {
		return
	}
	owners := map[string]string{}
	addOwner := func(fence slicer.Fence, name string) {
		for _, key := range editedKeys {
			if !sim.keyFences[key][fenceKey{fence.Slice, fence.Epoch}] {
				continue
			}
			if other, ok := owners[key]; ok && other != name {
				sim.fail("%s is owned by both %s and %s, by the latter with %+v", key, other, name, fence)
			}
			owners[key] = name
		}
	}
	for _, name := range sorted(sim.upstreams) {
		u := sim.upstreams[name]
		if u.dead || !u.config.ChecksFence || u.clock(sim.now) >= u.grantEnd {
			continue
		}
		for _, fence := range u.held {
			addOwner(fence, name)
		}
	}
	for _, n := range sim.hosts {
		for name, lease := range n.leases {
			if n.dead || lease.closed || n.clock(sim.now) >= lease.end || sim.upstreams[name].config.ChecksFence {
				continue
			}
			for _, fence := range lease.serve {
				addOwner(fence, name)
			}
		}
	}
}

// randomEdit returns an edit of a random key. A hot key is folded if its range has the same owner, otherwise it is
// moved to the owner of its range.
func (sim *simulation) randomEdit(input controller.Input) controller.Move {
	key := editedKeys[sim.random.IntN(len(editedKeys))]
	hash := hasher.Sum(key)
	var keyRange, hot controller.SliceState
	for _, s := range input.Slices {
		if s.HotKey == "" && s.Low <= hash && (keyRange.ID == 0 || s.Low > keyRange.Low) {
			keyRange = s
		}
		if s.HotKey == key {
			hot = s
		}
	}
	switch {
	case hot.ID == 0:
		return controller.Move{Slice: keyRange.ID, Isolate: key}
	case hot.Owner == keyRange.Owner:
		return controller.Move{Slice: hot.ID, Fold: key}
	default:
		return controller.Move{Slice: hot.ID, To: keyRange.Owner}
	}
}

func newEditSimulation(seed uint64, upstreams ...string) *simulation {
	sim := newSimulation(seed, 12, upstreams...)
	sim.keyFences = map[string]map[fenceKey]bool{}
	for _, key := range editedKeys {
		sim.keyFences[key] = map[fenceKey]bool{}
	}
	return sim
}

// unreachableSlices counts the slices of the stored table, hot keys included, that no request can reach.
func (sim *simulation) unreachableSlices() int {
	serving := sim.serving()
	count := 0
	table := sim.table.value.Table
	all := append([]slicer.Slice(nil), table.Ranges...)
	for _, hot := range table.Hot {
		all = append(all, hot)
	}
	for _, entry := range all {
		u := sim.upstreams[serving[entry.ID]]
		if u == nil || u.dead || sim.now < u.frozenUntil || len(u.held) == 0 {
			count++
		}
	}
	return count
}

// TestEditsUnderFaults guards against two owners of a key, whichever table routed its requests, and against a slice
// that is not served 3 s after the last fault, while keys are isolated, moved and folded under random faults.
func TestEditsUnderFaults(t *testing.T) {
	edited := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newEditSimulation(rapid.Uint64().Draw(t, "seed"), "a", "b", "c", "x", "y")
		sim.run(4 * time.Second)
		sim.churn = rapid.Bool().Draw(t, "churn")
		sim.editKeys = true
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				target: rapid.IntRange(0, 24).Draw(t, "target"),
				length: time.Duration(rapid.IntRange(1, 5000).Draw(t, "length")) * ms,
			}
		}), 0, 10).Draw(t, "faults")
		last := sim.now
		for _, f := range faults {
			sim.inject(f)
			// A delayed message arrives up to 2 s late. A stall begins up to one renewal interval late.
			last = max(last, sim.now+f.length+2*time.Second)
			sim.run(time.Duration(rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 2500)).Draw(t, "gap")) * ms)
		}
		sim.run(last - sim.now)
		sim.churn, sim.editKeys = false, false
		sim.run(progressBound)
		edited += int(sim.table.value.Table.LastID) - 12
		if sim.violation != "" {
			t.Fatalf("%s", sim.violation)
		}
		if missing := sim.unreachableSlices(); missing != 0 {
			t.Fatalf("%d slices are not served %v after the faults", missing, progressBound)
		}
	})
	t.Logf("%d keys isolated", edited)
	assert.Assert(t, edited > 0)
}

// editUncommitted reports whether an edit has been published but is not stored yet.
func (sim *simulation) editUncommitted(fold bool) bool {
	with, without := sim.publishedTable.Hot, sim.table.value.Table.Hot
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

// TestEditDuringStoreFailure guards against two owners of a key after a store failure between an edit and its commit.
// The store goes down, or applies the write and loses the reply. Meanwhile an owner crashes, and a new controller
// reads the table from before or after the edit.
func TestEditDuringStoreFailure(t *testing.T) {
	for _, kind := range []string{"store-down", "lose-answers"} {
		for _, fold := range []bool{false, true} {
			for seed := range uint64(6) {
				t.Run(fmt.Sprint(kind, "/", fold, "/", seed), func(t *testing.T) {
					sim := newEditSimulation(seed, "a", "b", "c", "x")
					sim.run(4 * sec)
					sim.editKeys = true
					sim.run(3 * sec)
					for sim.now < 12*sec && !sim.editUncommitted(fold) {
						sim.run(100 * time.Microsecond)
					}
					assert.Assert(t, sim.editUncommitted(fold), "no edit is under way")
					sim.inject(fault{kind, 0, 4 * sec})
					if seed%2 == 0 {
						sim.run(800 * ms)
						sim.inject(fault{"kill-upstream", int(seed), 20 * sec})
						sim.run(3190 * ms)
					} else {
						sim.run(3990 * ms)
					}
					sim.inject(fault{"kill-controller", 0, 20 * sec})
					sim.churn = true
					sim.run(4 * sec)
					sim.churn, sim.editKeys = false, false
					sim.run(progressBound)
					assert.Equal(t, sim.violation, "")
					assert.Equal(t, sim.unreachableSlices(), 0)
				})
			}
		}
	}
}

// TestEditSurvivesTakeover guards against a new controller that loses hot keys or reuses the ID of a folded slice.
func TestEditSurvivesTakeover(t *testing.T) {
	sim := newEditSimulation(7, "a", "b", "c", "x")
	sim.run(5 * sec)
	sim.editKeys = true
	sim.run(5 * sec)
	sim.editKeys = false
	sim.run(1 * sec)
	before := sim.table.value.Table
	assert.Assert(t, len(before.Hot) > 0)
	assert.Assert(t, before.LastID > uint32(12+len(before.Hot)), "no key was folded")
	sim.inject(fault{"kill-controller", 0, 20 * sec})
	sim.run(5 * sec)
	assert.Equal(t, sim.violation, "")
	assert.Equal(t, sim.unreachableSlices(), 0)
	after := sim.table.value.Table
	assert.Assert(t, after.Version.Term > before.Version.Term)
	assert.Equal(t, after.LastID, before.LastID)
	assert.DeepEqual(t, after.Hot, before.Hot)
	assert.DeepEqual(t, after.Ranges, before.Ranges)
}

// TestNoEditInOutage guards against an edit that begins while the store is down but not yet detected as down. The key
// would not be served if its owner crashed.
func TestNoEditInOutage(t *testing.T) {
	for seed := range uint64(4) {
		sim := newEditSimulation(seed, "a", "b", "c", "x")
		sim.run(5 * sec)
		before := sim.publishedTable
		sim.inject(fault{"store-down", 0, 10 * sec})
		sim.run(1 * sec)
		sim.editKeys = true
		sim.run(2 * sec)
		sim.inject(fault{"kill-upstream", int(seed % 3), 20 * sec})
		sim.run(3 * sec)
		assert.Equal(t, sim.publishedTable.LastID, before.LastID)
		assert.Equal(t, sim.unreachableSlices(), 0)
		sim.run(5 * sec)
		assert.Assert(t, sim.publishedTable.LastID > before.LastID, "no edit began after the outage")
		assert.Equal(t, sim.violation, "")
	}
}

// TestEditAbandoned guards against slices that stay stopped during a store outage which begins after an edit has
// stopped them and before the stop is confirmed. They must be served again during the outage, with the same keys as
// before.
func TestEditAbandoned(t *testing.T) {
	sim := newEditSimulation(7, "a", "b", "c", "x")
	sim.run(5 * sec)
	sim.editKeys = true
	sim.run(3 * sec)
	sim.holdStopAnswers = true
	sim.run(300 * ms)
	assert.Assert(t, sim.unreachableSlices() > 0, "no edit is under way")
	before := sim.table.value.Table
	sim.inject(fault{"store-down", 0, 3 * sec})
	// The crash causes a table write, by which the controller detects the outage. Nothing else calls the store here.
	sim.inject(fault{"kill-upstream", 0, 20 * sec})
	sim.run(2900 * ms)
	assert.Equal(t, sim.unreachableSlices(), 0)
	assert.Equal(t, sim.publishedTable.LastID, before.LastID)
	sim.holdStopAnswers, sim.editKeys = false, false
	sim.run(progressBound)
	assert.Equal(t, sim.violation, "")
	assert.Equal(t, sim.unreachableSlices(), 0)
}
