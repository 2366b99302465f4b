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

// keyLoads holds the load and the owner of each key.
type keyLoads struct {
	load    [1 << 16]float32
	owners  []string
	targets []rebalancer.Target
}

// newKeyLoads divides the keys evenly among count upstreams.
func newKeyLoads(count int) *keyLoads {
	k := &keyLoads{owners: make([]string, 1<<16)}
	for i := range count {
		k.targets = append(k.targets, rebalancer.Target{
			ID: fmt.Sprintf("u%02d", i), Slots: 6, RunTime: 300 * time.Millisecond,
		})
	}
	for key := range k.owners {
		k.owners[key] = k.targets[key*count/(1<<16)].ID
	}
	return k
}

// add spreads rate requests per second randomly over the given number of keys from first on.
func (k *keyLoads) add(random *rand.Rand, rate float64, first, keys int) {
	for range int(rate * period) {
		k.load[first+random.IntN(keys)]++
	}
}

func (k *keyLoads) plan() *rebalancer.Plan {
	plan := rebalancer.New(&k.load, period)
	for _, t := range k.targets {
		plan.AddTarget(t)
	}
	from := 0
	for key := 1; key <= 1<<16; key++ {
		if key == 1<<16 || k.owners[key] != k.owners[from] {
			plan.AddRange(uint16(from), uint16(key-1), k.owners[from], true)
			from = key
		}
	}
	return plan
}

func (k *keyLoads) apply(parts []rebalancer.Assignment) {
	for _, part := range parts {
		for key := int(part.From); key <= int(part.To); key++ {
			k.owners[key] = part.Owner
		}
	}
}

// utilization returns the highest utilization of an upstream and the utilization of all upstreams together.
func (k *keyLoads) utilization() (highest, mean float64) {
	loads := map[string]float64{}
	total := 0.0
	for key, owner := range k.owners {
		loads[owner] += float64(k.load[key]) / period
		total += float64(k.load[key]) / period
	}
	capacity := 0.0
	for _, t := range k.targets {
		rate := t.Slots / t.RunTime.Seconds()
		capacity += rate
		highest = math.Max(highest, loads[t.ID]/rate)
	}
	return highest, total / capacity
}

// TestRebalance checks that three rounds of moves lower the highest utilization to at most 1.5 times the mean, for hot
// spots and for upstreams with different run times.
func TestRebalance(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(k *keyLoads, random *rand.Rand)
	}{
		{"hot spot of 200 keys", func(k *keyLoads, random *rand.Rand) {
			k.add(random, 140, 0, 1<<16)
			k.add(random, 110, 30000, 200)
		}},
		{"upstreams with different run times", func(k *keyLoads, random *rand.Rand) {
			for i := range k.targets {
				k.targets[i].RunTime = []time.Duration{200, 300, 500}[i%3] * time.Millisecond
			}
			k.add(random, 220, 0, 1<<16)
		}},
		{"busy half", func(k *keyLoads, random *rand.Rand) {
			k.add(random, 40, 0, 1<<15)
			k.add(random, 200, 1<<15, 1<<15)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(10) {
				k := newKeyLoads(20)
				tt.prepare(k, rand.New(rand.NewPCG(seed, 1)))
				before, _ := k.utilization()
				for range 3 {
					k.apply(k.plan().Rebalance())
				}
				highest, mean := k.utilization()
				// The tolerance of 50% covers the noise of the sample.
				assert.Assert(t, highest <= 1.5*mean, "seed %d: highest utilization %.2f, mean %.2f, highest before %.2f",
					seed, highest, mean, before)
			}
		})
	}
}

// TestRebalanceMovesNothingAtLowUtilization checks that no keys move while every upstream has a low utilization,
// because requests seldom queue then and each move interrupts requests.
func TestRebalanceMovesNothingAtLowUtilization(t *testing.T) {
	k := newKeyLoads(20)
	k.add(rand.New(rand.NewPCG(1, 1)), 60, 0, 1<<16)
	assert.Equal(t, len(k.plan().Rebalance()), 0)
}

// TestNewUpstreamGetsKeys checks that an upstream without keys gets some even if no other upstream is highly utilized.
func TestNewUpstreamGetsKeys(t *testing.T) {
	k := newKeyLoads(6)
	k.add(rand.New(rand.NewPCG(1, 1)), 20, 0, 1<<16)
	k.targets = append(k.targets, rebalancer.Target{ID: "new", Slots: 6, RunTime: 300 * time.Millisecond})
	found := false
	for _, part := range k.plan().Rebalance() {
		found = found || part.Owner == "new"
	}
	assert.Assert(t, found)
}

// TestSingleHotKeyIsNotMovedRepeatedly covers a key with more load than any upstream has headroom for. Moving it in
// each round would interrupt its requests without balancing the load. Its owner should lose other keys instead.
func TestSingleHotKeyIsNotMovedRepeatedly(t *testing.T) {
	k := newKeyLoads(4)
	random := rand.New(rand.NewPCG(1, 1))
	k.add(random, 20, 0, 1<<16)
	k.add(random, 100, 1000, 1)
	for range 4 {
		k.apply(k.plan().Rebalance())
	}
	hot := k.owners[1000]
	for _, part := range k.plan().Rebalance() {
		assert.Assert(t, part.From > 1000 || part.To < 1000 || part.Owner == hot)
	}
	neighbours := 0
	for key := range 2000 {
		if k.owners[key] == hot {
			neighbours++
		}
	}
	assert.Assert(t, neighbours < 2000, "the owner of the hot key still owns all its other keys")
}

// TestDivideCoversTheRange checks that the parts of a divided range cover it without gaps and overlaps. A key in a gap
// would have no owner.
func TestDivideCoversTheRange(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		k := newKeyLoads(2 + random.IntN(20))
		k.add(random, 100, random.IntN(60000), 1+random.IntN(5000))
		from := uint16(random.IntN(1 << 15))
		to := from + uint16(random.IntN(1<<15))
		next := int(from)
		for _, part := range k.plan().Divide(from, to) {
			assert.Equal(t, int(part.From), next)
			assert.Assert(t, part.To >= part.From)
			next = int(part.To) + 1
		}
		assert.Equal(t, next, int(to)+1)
	}
}

// TestColdUpstreamsStayBelowTheirRate checks that no more load than MaxRate is moved to a cold upstream.
func TestColdUpstreamsStayBelowTheirRate(t *testing.T) {
	k := newKeyLoads(10)
	k.add(rand.New(rand.NewPCG(1, 1)), 150, 0, 1<<16)
	k.targets[3].MaxRate = 5
	for range 4 {
		k.apply(k.plan().Rebalance())
	}
	load := 0.0
	for key, owner := range k.owners {
		if owner == k.targets[3].ID {
			load += float64(k.load[key]) / period
		}
	}
	assert.Assert(t, load <= 5, "rate of the cold upstream is %.1f/s, want at most 5", load)
}

// TestRunTimeAverage checks that the average follows a change of the run time and ignores measurements without
// requests.
func TestRunTimeAverage(t *testing.T) {
	var average rebalancer.RunTimeAverage
	average.Observe(0, 10, 2*time.Second)
	assert.Equal(t, average.Mean, 200*time.Millisecond)
	now := time.Duration(0)
	for range 100 {
		now += 500 * time.Millisecond
		average.Observe(now, 10, 4*time.Second)
	}
	assert.Assert(t, average.Mean > 390*time.Millisecond)
	average.Observe(now, 0, 0)
	assert.Assert(t, average.Mean > 390*time.Millisecond)
}

// responseTime returns the mean run time of the requests, weighted by the load of the owners, and the highest utilization.
func (k *keyLoads) responseTime() (mean time.Duration, highest float64) {
	byID := map[string]rebalancer.Target{}
	for _, t := range k.targets {
		byID[t.ID] = t
	}
	total, sum := 0.0, 0.0
	for key, owner := range k.owners {
		total += float64(k.load[key])
		sum += float64(k.load[key]) * byID[owner].RunTime.Seconds()
	}
	highest, _ = k.utilization()
	return time.Duration(sum / total * float64(time.Second)), highest
}

// TestFastUpstreamsGetMoreLoad plays a calm day of a large fleet: 198 upstreams of three speeds at half of their capacity.
// With loads in proportion to the capacities, many requests run on slow upstreams while fast ones have free slots. The
// mean run time must come at least half of the way from there to that of the target rates, no upstream may be overloaded,
// and the moves must come to rest.
func TestFastUpstreamsGetMoreLoad(t *testing.T) {
	k := newKeyLoads(198)
	capacity, slots := 0.0, 0.0
	var servers []rebalancer.Server
	for i := range k.targets {
		k.targets[i].RunTime = []time.Duration{300, 600, 600, 900}[i%4] * time.Millisecond
		server := rebalancer.Server{Slots: k.targets[i].Slots, RunTime: k.targets[i].RunTime.Seconds()}
		servers = append(servers, server)
		capacity += server.Slots / server.RunTime
		slots += server.Slots
	}
	random := rand.New(rand.NewPCG(1, 1))
	rate := 0.5 * capacity
	var moves int
	for range 30 {
		k.load = [1 << 16]float32{}
		k.add(random, rate, 0, 1<<16)
		parts := k.plan().Rebalance()
		moves = len(parts)
		k.apply(parts)
	}
	mean, highest := k.responseTime()
	proportional, best := time.Duration(slots/capacity*float64(time.Second)), time.Duration(0)
	for i, target := range rebalancer.TargetRates(servers, rate) {
		best += time.Duration(target / rate * servers[i].RunTime * float64(time.Second))
	}
	assert.Assert(t, mean <= (proportional+best)/2, "mean run time %s, in proportion to the capacities %s, target %s",
		mean, proportional, best)
	assert.Assert(t, highest < 1, "highest utilization %.2f", highest)
	assert.Assert(t, moves <= len(k.targets)/5, "%d moves in the last round", moves)
}

// TestTargetRates checks that the rates add up, that equal servers get equal rates, and that a fast server has the higher
// utilization below saturation.
func TestTargetRates(t *testing.T) {
	fast, slow := rebalancer.Server{Slots: 6, RunTime: 0.2}, rebalancer.Server{Slots: 6, RunTime: 0.6}
	tests := []struct {
		name    string
		servers []rebalancer.Server
		rate    float64
	}{
		{"idle", []rebalancer.Server{fast, slow}, 0.1},
		{"calm", []rebalancer.Server{fast, fast, slow}, 30},
		{"busy", []rebalancer.Server{fast, slow, slow}, 45},
		{"overloaded", []rebalancer.Server{fast, slow}, 120},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rates := rebalancer.TargetRates(tt.servers, tt.rate)
			sum := 0.0
			for i, rate := range rates {
				sum += rate
				if tt.servers[i] == fast {
					assert.Assert(t, rate*fast.RunTime >= rates[len(rates)-1]*slow.RunTime)
				}
			}
			assert.Assert(t, math.Abs(sum-tt.rate) <= 0.05*tt.rate, "sum %.2f, want %.2f", sum, tt.rate)
		})
	}
	assert.Equal(t, len(rebalancer.TargetRates(nil, 5)), 0)
}

// TestHotKeyMovesToTheFastestUpstream plays a key with more requests than any upstream can process. Its requests are
// served best by the upstream with the most capacity, without other keys. The key must get there in one move and stay.
func TestHotKeyMovesToTheFastestUpstream(t *testing.T) {
	k := newKeyLoads(20)
	for i := range k.targets {
		k.targets[i].RunTime = []time.Duration{600, 400, 600, 200}[i%4] * time.Millisecond
	}
	const hotKey = 30000
	fastest := func(id string) bool {
		for _, target := range k.targets {
			if target.ID == id {
				return target.RunTime == 200*time.Millisecond
			}
		}
		return false
	}
	random := rand.New(rand.NewPCG(1, 1))
	moves := 0
	for range 6 {
		k.load = [1 << 16]float32{}
		k.add(random, 100, 0, 1<<16)
		k.add(random, 150, hotKey, 1)
		before := k.owners[hotKey]
		k.apply(k.plan().Rebalance())
		if k.owners[hotKey] != before {
			moves++
		}
		assert.Assert(t, fastest(k.owners[hotKey]), "the owner is %s", k.owners[hotKey])
	}
	assert.Equal(t, moves, 1)
	neighbours := 0
	for _, owner := range k.owners {
		if owner == k.owners[hotKey] {
			neighbours++
		}
	}
	assert.Assert(t, neighbours < 500, "the owner of the hot key still owns %d keys", neighbours)
}

// TestRunTimeAverageCoversSlowPhases guards against keys that move back and forth: a busy upstream whose machine is slowed
// down for 400 ms at a time must not look slow in one second and fast in the next.
func TestRunTimeAverageCoversSlowPhases(t *testing.T) {
	const (
		phase   = 400 * time.Millisecond
		perStep = 10 // requests in 200 ms
		runTime = 60 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	var average rebalancer.RunTimeAverage
	lowest, highest := time.Hour, time.Duration(0)
	slowdown := 1
	for now := time.Duration(0); now < 2*time.Minute; now += phase / 2 {
		if now%phase == 0 {
			slowdown = 1
			if random.Float64() < 0.2 {
				slowdown = 3
			}
		}
		average.Observe(now, perStep, perStep*runTime*time.Duration(slowdown))
		if now > 20*time.Second {
			lowest, highest = min(lowest, average.Mean), max(highest, average.Mean)
		}
	}
	assert.Assert(t, highest < 2*lowest, "the mean varies between %s and %s", lowest, highest)
}
