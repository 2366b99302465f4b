package rebalancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/rebalancer"
)

const period = 2.0 // seconds over which the load of these tests was collected

// field is the load of all keys with an owner for each.
type field struct {
	load    [1 << 16]float32
	owners  []string
	targets []rebalancer.Target
}

// newField divides the keys evenly among count upstreams.
func newField(count int) *field {
	f := &field{owners: make([]string, 1<<16)}
	for i := range count {
		f.targets = append(f.targets, rebalancer.Target{ID: fmt.Sprintf("u%02d", i), Slots: 6, RunTime: 300 * time.Millisecond})
	}
	for key := range f.owners {
		f.owners[key] = f.targets[key*count/(1<<16)].ID
	}
	return f
}

// add spreads requests per second over the keys from first on.
func (f *field) add(random *rand.Rand, rate float64, first, keys int) {
	for range int(rate * period) {
		f.load[first+random.IntN(keys)]++
	}
}

func (f *field) plan() *rebalancer.Plan {
	plan := rebalancer.New(&f.load, period)
	for _, t := range f.targets {
		plan.AddTarget(t)
	}
	from := 0
	for key := 1; key <= 1<<16; key++ {
		if key == 1<<16 || f.owners[key] != f.owners[from] {
			plan.AddRange(uint16(from), uint16(key-1), f.owners[from], true)
			from = key
		}
	}
	return plan
}

func (f *field) apply(parts []rebalancer.Assignment) {
	for _, part := range parts {
		for key := int(part.From); key <= int(part.To); key++ {
			f.owners[key] = part.Owner
		}
	}
}

// utilization returns the largest share of its slots that an upstream needs, and that of all together.
func (f *field) utilization() (most, mean float64) {
	loads := map[string]float64{}
	total := 0.0
	for key, owner := range f.owners {
		loads[owner] += float64(f.load[key]) / period
		total += float64(f.load[key]) / period
	}
	capacity := 0.0
	for _, t := range f.targets {
		rate := t.Slots / t.RunTime.Seconds()
		capacity += rate
		most = math.Max(most, loads[t.ID]/rate)
	}
	return most, total / capacity
}

func TestLevel(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *field, random *rand.Rand)
	}{
		{"hot spot of 200 keys", func(f *field, random *rand.Rand) {
			f.add(random, 140, 0, 1<<16)
			f.add(random, 110, 30000, 200)
		}},
		{"upstreams of different speed", func(f *field, random *rand.Rand) {
			for i := range f.targets {
				f.targets[i].RunTime = []time.Duration{200, 300, 500}[i%3] * time.Millisecond
			}
			f.add(random, 220, 0, 1<<16)
		}},
		{"busy half", func(f *field, random *rand.Rand) {
			f.add(random, 40, 0, 1<<15)
			f.add(random, 200, 1<<15, 1<<15)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newField(20)
				tt.prepare(f, rand.New(rand.NewPCG(seed, 1)))
				before, _ := f.utilization()
				for range 3 {
					f.apply(f.plan().Rebalance())
				}
				most, mean := f.utilization()
				// Half a mean above the mean leaves the noise of the sample.
				assert.Assert(t, most <= 1.5*mean, "seed %d: most %.2f, mean %.2f, before %.2f", seed, most, mean, before)
			}
		})
	}
}

func TestLevelLeavesIdleUpstreamsAlone(t *testing.T) {
	f := newField(20)
	f.add(rand.New(rand.NewPCG(1, 1)), 60, 0, 1<<16)
	assert.Equal(t, len(f.plan().Rebalance()), 0)
}

func TestNewUpstreamGetsKeys(t *testing.T) {
	f := newField(6)
	f.add(rand.New(rand.NewPCG(1, 1)), 20, 0, 1<<16)
	f.targets = append(f.targets, rebalancer.Target{ID: "new", Slots: 6, RunTime: 300 * time.Millisecond})
	found := false
	for _, part := range f.plan().Rebalance() {
		found = found || part.Owner == "new"
	}
	assert.Assert(t, found)
}

func TestSingleHotKeyIsNotPassedAround(t *testing.T) {
	f := newField(4)
	random := rand.New(rand.NewPCG(1, 1))
	f.add(random, 20, 0, 1<<16)
	f.add(random, 100, 1000, 1)
	for range 4 {
		f.apply(f.plan().Rebalance())
	}
	hot := f.owners[1000]
	for _, part := range f.plan().Rebalance() {
		assert.Assert(t, part.From > 1000 || part.To < 1000 || part.Owner == hot)
	}
	neighbours := 0
	for key := range 2000 {
		if f.owners[key] == hot {
			neighbours++
		}
	}
	assert.Assert(t, neighbours < 2000, "the owner of the hot key keeps all its other keys")
}

func TestDivideCoversTheRange(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newField(2 + random.IntN(20))
		f.add(random, 100, random.IntN(60000), 1+random.IntN(5000))
		from := uint16(random.IntN(1 << 15))
		to := from + uint16(random.IntN(1<<15))
		next := int(from)
		for _, part := range f.plan().Divide(from, to) {
			assert.Equal(t, int(part.From), next)
			assert.Assert(t, part.To >= part.From)
			next = int(part.To) + 1
		}
		assert.Equal(t, next, int(to)+1)
	}
}

func TestColdUpstreamsGetLittle(t *testing.T) {
	f := newField(10)
	f.add(rand.New(rand.NewPCG(1, 1)), 150, 0, 1<<16)
	f.targets[3].MaxRate = 5
	for range 4 {
		f.apply(f.plan().Rebalance())
	}
	load := 0.0
	for key, owner := range f.owners {
		if owner == f.targets[3].ID {
			load += float64(f.load[key]) / period
		}
	}
	assert.Assert(t, load <= 5, "rate %.1f", load)
}

func TestSpeed(t *testing.T) {
	var s rebalancer.RunTimeAverage
	s.Observe(10, 2*time.Second)
	assert.Equal(t, s.Mean, 200*time.Millisecond)
	for range 100 {
		s.Observe(10, 4*time.Second)
	}
	assert.Assert(t, s.Mean > 390*time.Millisecond)
	s.Observe(0, 0)
	assert.Assert(t, s.Mean > 390*time.Millisecond)
}
