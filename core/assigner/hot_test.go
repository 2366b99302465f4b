package assigner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
)

// apply carries out the moves and returns how many there were of each kind.
func apply(t *testing.T, table *slicer.Table, moves []assigner.Move) map[assigner.Kind]int {
	t.Helper()
	kinds := map[assigner.Kind]int{}
	for _, move := range moves {
		kinds[move.Kind]++
		assert.NilError(t, move.Apply(table))
	}
	assert.NilError(t, table.Validate())
	return kinds
}

// Guards against a hot key that stays in its range, changes owner by being isolated or folded, flaps while its load lies
// between the thresholds, or keeps its slice after it has cooled down.
func TestHotKeyIsIsolatedAndFolded(t *testing.T) {
	live := upstreams(4)
	table := assigned(64, live)
	in := assigner.Input{Table: &table, Upstreams: live, SliceLoad: evenLoad(&table, 0.2), Budget: 10}
	home, _ := table.Lookup("QA76")
	key := func(load float64) []assigner.KeyLoad { return []assigner.KeyLoad{{Key: "QA76", Load: load}} }

	in.KeyLoad = key(0.1)
	assert.Equal(t, len(assigner.Plan(now, in)), 0)
	in.KeyLoad = append(key(0.5), key(0.5)...) // reported by two hosts
	assert.Equal(t, apply(t, &table, assigner.Plan(now, in))[assigner.Isolate], 1)
	hot := table.Hot["QA76"]
	assert.Equal(t, hot.Owner, home.Owner)

	other := live[0].Name
	if home.Owner == other {
		other = live[1].Name
	}
	assert.NilError(t, table.Assign(hot.ID, other))
	in.SliceLoad[hot.ID] = 0.1
	assert.Equal(t, apply(t, &table, assigner.Plan(now, in))[assigner.Fold], 0)
	in.SliceLoad[hot.ID], in.KeyLoad = 0.01, nil
	assert.Equal(t, apply(t, &table, assigner.Plan(now, in))[assigner.Fold], 0) // transferred to its range first
	assert.Equal(t, apply(t, &table, assigner.Plan(now, in))[assigner.Fold], 1)
	assert.Equal(t, len(table.Hot), 0)
}

// Guards against more hot keys than the bound, and against choosing lighter keys than necessary.
func TestHotKeysAreBounded(t *testing.T) {
	live := upstreams(600)
	table := assigned(1200, live)
	in := assigner.Input{Table: &table, Upstreams: live, SliceLoad: evenLoad(&table, 1)}
	for i := range 400 {
		in.KeyLoad = append(in.KeyLoad, assigner.KeyLoad{Key: fmt.Sprint(i), Load: float64(i)})
	}
	kinds := apply(t, &table, assigner.Plan(now, in))
	assert.Equal(t, kinds[assigner.Isolate], slicer.MaxHotKeys)
	for i := range 400 {
		_, hot := table.Hot[fmt.Sprint(i)]
		assert.Equal(t, hot, i >= 400-slicer.MaxHotKeys)
	}
}

// Guards against a sketch that grows, misses a key whose share is above 1/capacity, or reports more than the exact load,
// compared with an exact count, also across the rescaling of weights.
func TestSketchAgainstExactCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, halfLife = 8, 10 * time.Second
		sketch := assigner.NewSketch(capacity, halfLife)
		exact := map[string]float64{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		at := time.Duration(0)
		total := 0.0
		for range 500 {
			pause := time.Duration(random.ExpFloat64() * float64(rapid.SampledFrom([]time.Duration{0, time.Second,
				time.Minute}).Draw(t, "pause")))
			at += pause
			decay := math.Exp2(-pause.Seconds() / halfLife.Seconds())
			for key := range exact {
				exact[key] *= decay
			}
			key := fmt.Sprint(int(random.ExpFloat64() * 6))
			exact[key]++
			total = total*decay + 1
			sketch.Observe(at, key, time.Second)
		}
		top := sketch.Top(at, 100)
		assert.Assert(t, len(top) <= capacity)
		listed := map[string]bool{}
		for _, key := range top {
			listed[key.Key] = true
			assert.Assert(t, key.Load <= exact[key.Key]*0.0693148, "%s: %v of %v", key.Key, key.Load, exact[key.Key])
		}
		for key, weight := range exact {
			assert.Assert(t, listed[key] || weight <= total/capacity*1.000001, "%s: %v of %v", key, weight, total)
		}
	})
}

// Guards against a budget that is exceeded or not refilled, and against counting forced moves.
func TestChurnBudget(t *testing.T) {
	churn := assigner.NewChurnBudget(now, 6, 3)
	churn.Spend(now, []assigner.Move{{Reason: assigner.Balance}, {Reason: assigner.OwnerNotServing},
		{Reason: assigner.Straggler}, {Kind: assigner.Isolate, Reason: assigner.HotKey}})
	assert.Equal(t, churn.Available(now), 1)
	assert.Equal(t, churn.Available(now+10*time.Second), 2)
	assert.Equal(t, churn.Available(now+time.Hour), 3)
}

// Guards against a Plan that moves more when an upstream leaves than the naive versions, or leaves the count of slices
// less even than they do.
func TestPlanAgainstNaive(t *testing.T) {
	for _, count := range []int{3, 18, 20, 60} {
		live := upstreams(count)
		var before, after []string
		for i, upstream := range live {
			before = append(before, upstream.Name)
			if i != 1 {
				after = append(after, upstream.Name)
			}
		}
		table := slicer.New("shelf-marks", 16*count)
		apply(t, &table, assigner.Plan(now, assigner.Input{Table: &table, Upstreams: live}))
		live[1].State = assigner.Unresponsive
		left := table.Clone()
		apply(t, &left, assigner.Plan(now, assigner.Input{Table: &left, Upstreams: live}))
		rings := []*assigner.Ring{assigner.NewRing(before, 16), assigner.NewRing(after, 16)}
		moved := [3]int{}
		owned := [3]map[string]int{{}, {}, {}}
		for i := range 20_000 {
			key := fmt.Sprint(i)
			hash := hasher.Sum(key)
			from, _ := table.Lookup(key)
			to, _ := left.Lookup(key)
			for version, owners := range [3][2]string{{from.Owner, to.Owner},
				{assigner.Modulo(hash, before), assigner.Modulo(hash, after)},
				{rings[0].Owner(hash), rings[1].Owner(hash)}} {
				assert.Assert(t, owners[1] != "u001" && owners[1] != "")
				owned[version][owners[1]]++
				if owners[0] != owners[1] {
					moved[version]++
				}
			}
		}
		assert.Assert(t, moved[0] < moved[1] && float64(moved[0]) < 1.1*20_000/float64(count), "%v", moved)
		assert.Assert(t, largest(owned[0]) <= largest(owned[2]), "%v", owned)
	}
}

func largest(counts map[string]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}

// Guards against a full list that keeps cooler keys out of place of hotter ones, or exchanges keys of similar load.
func TestFullListReplacesCoolestKeys(t *testing.T) {
	live := upstreams(100) // the keys are well above the mean load, so that none is cool enough to fold
	table := assigned(64, live)
	in := assigner.Input{Table: &table, Upstreams: live, SliceLoad: evenLoad(&table, 0.1)}
	for i := range slicer.MaxHotKeys {
		hot, err := table.Isolate(fmt.Sprint(i))
		assert.NilError(t, err)
		in.SliceLoad[hot.ID] = 1 + float64(i)/100
	}
	in.KeyLoad = []assigner.KeyLoad{{Key: "warm", Load: 1.4}}
	assert.Equal(t, len(assigner.Plan(now, in)), 0)
	in.KeyLoad = []assigner.KeyLoad{{Key: "hot", Load: 40}, {Key: "hotter", Load: 50}}
	apply(t, &table, assigner.Plan(now, in))
	for key, want := range map[string]bool{"0": false, "1": false, "2": true} {
		_, hot := table.Hot[key]
		assert.Equal(t, hot, want, "%s", key)
	}
	apply(t, &table, assigner.Plan(now, in)) // the ranges of the folded keys may be in the way of the first plan
	assert.Assert(t, table.Hot["hotter"].ID > 0 && table.Hot["hot"].ID > 0)
}
