package placement

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/drainer"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
)

const (
	tick              = 500 * time.Millisecond
	planInterval      = 5 * time.Second
	halfLife          = 30 * time.Second // of measured loads
	slots             = 6                // of each upstream
	utilization       = 0.5              // load divided by slots while every upstream serves
	requestTime       = 20 * time.Millisecond
	rampSteps         = 25 // successes after which the capacity of a cold upstream rises by one slot
	rangesPerUpstream = 16
	sketchCounters    = 128
	domainCount       = 3
	zipfExponent      = 0.99
)

// size describes a simulated fleet.
type size struct {
	name       string
	upstreams  int
	keys       int
	sampleRate float64 // share of the requests that the sketches count; each counts as 1/sampleRate requests
}

// key is a key with its hash and its load in slots.
type key struct {
	name string
	hash uint64
	load float64
}

// upstream is a simulated upstream with the sketch of its admission host.
type upstream struct {
	assigner.Upstream
	successes float64 // since the last change of the capacity
	sketch    *assigner.Sketch
}

// activeMove is a move in progress. It takes effect at the time done.
type activeMove struct {
	assigner.Move
	done time.Duration
}

// simulator runs the assigner with sampled requests. The field timing limits the number of concurrent moves and sets
// the duration of each.
type simulator struct {
	size
	random       *rand.Rand
	now          time.Duration
	lastPlan     time.Duration
	keys         []key     // in the order of their hashes
	prefixSums   []float64 // by index in keys: load of all keys before it
	ranks        []int     // by rank of load: index in keys
	cumulative   []float64 // by rank: sum of the relative loads of the ranks up to this one
	table        slicer.Table
	upstreams    []*upstream
	byName       map[string]*upstream
	exact        map[uint32]float64 // cache of exactLoads, nil after a change
	measured     map[uint32]float64
	churn        *assigner.ChurnBudget
	timing       drainer.MoveTiming
	pending      []assigner.Move
	running      []activeMove
	transfers    int
	lastTransfer time.Duration
	excess       float64 // highest exact load of a cold upstream beyond its capacity
}

func newSimulator(s size, seed uint64) *simulator {
	sim := &simulator{size: s, random: rand.New(rand.NewPCG(seed, uint64(s.upstreams))), byName: map[string]*upstream{},
		table: slicer.New(s.name, rangesPerUpstream*s.upstreams), measured: map[uint32]float64{}, timing: drainer.DefaultMoveTiming}
	sim.churn = assigner.NewChurnBudget(0, float64(4*s.upstreams), float64(s.upstreams))
	if s.upstreams > 32 {
		sim.timing.ParallelMoves *= s.upstreams / 32 // one controller for each group of 32
	}
	for i := range s.upstreams {
		added := &upstream{Upstream: assigner.Upstream{Name: fmt.Sprintf("upstream-%03d", i),
			FailureDomain: fmt.Sprint(i % domainCount), Slots: slots, Capacity: slots},
			sketch: assigner.NewSketch(sketchCounters, halfLife)}
		sim.upstreams = append(sim.upstreams, added)
		sim.byName[added.Name] = added
	}
	sim.addKeys()
	for _, move := range sim.plan() {
		sim.apply(move)
	}
	sim.transfers = 0
	return sim
}

func (s *simulator) addKeys() {
	for i := range s.size.keys {
		name := fmt.Sprintf("key-%d", i)
		s.keys = append(s.keys, key{name: name, hash: hasher.Sum(name)})
	}
	slices.SortFunc(s.keys, func(x, y key) int { return cmp.Compare(x.hash, y.hash) })
	s.ranks = s.random.Perm(len(s.keys))
	s.assignLoads()
}

// assignLoads sets the loads of the keys from their ranks.
func (s *simulator) assignLoads() {
	s.exact = nil
	total := 0.0
	s.cumulative = s.cumulative[:0]
	for rank := range s.ranks {
		total += math.Pow(float64(rank+1), -zipfExponent)
		s.cumulative = append(s.cumulative, total)
	}
	unit := utilization * slots * float64(s.size.upstreams) / total
	for rank, index := range s.ranks {
		s.keys[index].load = math.Pow(float64(rank+1), -zipfExponent) * unit
	}
	s.prefixSums = append(s.prefixSums[:0], 0)
	for i, k := range s.keys {
		s.prefixSums = append(s.prefixSums, s.prefixSums[i]+k.load)
	}
}

// changeHottest swaps the hottest keys with keys of random ranks and returns the new hottest keys.
func (s *simulator) changeHottest(count int) []key {
	for rank := range count {
		other := count + s.random.IntN(len(s.ranks)-count)
		s.ranks[rank], s.ranks[other] = s.ranks[other], s.ranks[rank]
	}
	s.assignLoads()
	var hottest []key
	for _, index := range s.ranks[:count] {
		hottest = append(hottest, s.keys[index])
	}
	return hottest
}

func (s *simulator) advance(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}

func (s *simulator) step() {
	s.now += tick
	s.sampleRequests()
	s.measureLoads()
	s.finishMoves()
	s.rampUp()
	if s.now-s.lastPlan < planInterval {
		return
	}
	s.lastPlan = s.now
	moves := s.plan()
	s.churn.Spend(s.now, moves)
	s.pending = append(s.pending, moves...)
}

// sampleRequests adds a sample of the requests of one tick to the sketches.
func (s *simulator) sampleRequests() {
	count := int(s.total() / requestTime.Seconds() * tick.Seconds() * s.sampleRate)
	slotTime := time.Duration(float64(requestTime) / s.sampleRate)
	for range count {
		rank, _ := slices.BinarySearch(s.cumulative, s.random.Float64()*s.cumulative[len(s.cumulative)-1])
		k := s.keys[s.ranks[min(rank, len(s.ranks)-1)]]
		slice, _ := s.table.Lookup(k.name)
		if owner := s.byName[slice.Owner]; owner != nil && owner.State.Serves() {
			owner.sketch.Observe(s.now, k.name, slotTime)
		}
	}
}

// measureLoads updates the measured loads of the slices. The number of requests in a tick has a Poisson distribution,
// which a normal distribution approximates.
func (s *simulator) measureLoads() {
	decay := math.Exp2(-tick.Seconds() / halfLife.Seconds())
	for _, slice := range s.slices() {
		load := s.exactLoads()[slice.ID]
		counted := load + s.random.NormFloat64()*math.Sqrt(load*requestTime.Seconds()/tick.Seconds())
		s.measured[slice.ID] = max(0, s.measured[slice.ID]*decay+(1-decay)*counted)
	}
}

// slices returns the ranges and the hot keys in a fixed order. The results depend on the order, because random numbers
// are drawn and rounded sums are computed in it.
func (s *simulator) slices() []slicer.Slice {
	hot := slices.SortedFunc(maps.Values(s.table.Hot), func(x, y slicer.Slice) int { return cmp.Compare(x.ID, y.ID) })
	return append(slices.Clone(s.table.Ranges), hot...)
}

// finishMoves applies the moves that are done and starts pending ones.
func (s *simulator) finishMoves() {
	var remaining []activeMove
	for _, move := range s.running {
		if move.done <= s.now {
			s.apply(move.Move)
			continue
		}
		remaining = append(remaining, move)
	}
	s.running = remaining
	for len(s.pending) > 0 && len(s.running) < s.timing.ParallelMoves {
		s.running = append(s.running, activeMove{s.pending[0], s.now + s.timing.MoveDuration})
		s.pending = s.pending[1:]
	}
}

// apply carries out a move. The measured load of an isolated key is moved from its range to its own slice.
func (s *simulator) apply(move assigner.Move) {
	if move.Apply(&s.table) != nil {
		return
	}
	switch move.Kind {
	case assigner.Transfer:
		s.transfers++
		s.lastTransfer = s.now
		return
	case assigner.Isolate:
		load := 0.0
		for _, keyLoad := range s.byName[move.From].sketch.Top(s.now, sketchCounters) {
			if keyLoad.Key == move.Key {
				load = keyLoad.Load
			}
		}
		s.measured[s.table.Hot[move.Key].ID] = load
		s.measured[move.Slice] = max(0, s.measured[move.Slice]-load)
	case assigner.Fold:
		s.measured[move.Range] += s.measured[move.Slice]
		delete(s.measured, move.Slice)
	}
	s.exact = nil
}

// rampUp raises the capacity of cold upstreams with their successes and records the highest excess load.
func (s *simulator) rampUp() {
	isCold := func(u *upstream) bool { return u.State == assigner.Cold }
	if !slices.ContainsFunc(s.upstreams, isCold) {
		return
	}
	loads := s.loads()
	for _, u := range s.upstreams {
		if u.State != assigner.Cold {
			continue
		}
		load := loads[u.Name]
		s.excess = max(s.excess, load-u.Capacity)
		u.successes += min(load, u.Capacity) * tick.Seconds() / requestTime.Seconds()
		if u.successes < rampSteps {
			continue
		}
		u.successes = 0
		u.Capacity++
		if u.Capacity == slots {
			u.State = assigner.InService
		}
	}
}

func (s *simulator) plan() []assigner.Move {
	in := assigner.Input{Table: &s.table, SliceLoad: s.measured, Moving: s.moving(), Budget: s.churn.Available(s.now)}
	for _, u := range s.upstreams {
		in.Upstreams = append(in.Upstreams, u.Upstream)
		in.KeyLoad = append(in.KeyLoad, u.sketch.Top(s.now, sketchCounters)...)
	}
	return assigner.Plan(s.now, in)
}

// isBalanced reports whether the last plans contained no transfer although the budget allowed one.
func (s *simulator) isBalanced() bool {
	return s.now-s.lastTransfer > 4*planInterval && len(s.pending)+len(s.running) == 0 && s.churn.Available(s.now) > 0
}

func (s *simulator) moving() map[uint32]string {
	moving := map[uint32]string{}
	for _, move := range s.pending {
		for _, id := range move.Slices() {
			moving[id] = move.To
		}
	}
	for _, move := range s.running {
		for _, id := range move.Slices() {
			moving[id] = move.To
		}
	}
	return moving
}

// setDomain sets the state of all upstreams of a failure domain.
func (s *simulator) setDomain(domain string, state assigner.State) {
	for _, u := range s.upstreams {
		if u.FailureDomain == domain {
			s.setState(u, state)
		}
	}
}

func (s *simulator) setState(u *upstream, state assigner.State) {
	u.State, u.Capacity, u.successes = state, slots, 0
	if state == assigner.Cold {
		u.Capacity = 1
	}
	u.sketch = assigner.NewSketch(sketchCounters, halfLife)
}

// total returns the exact load of all keys.
func (s *simulator) total() float64 {
	return s.prefixSums[len(s.prefixSums)-1]
}

// exactLoads returns the exact load of each slice.
func (s *simulator) exactLoads() map[uint32]float64 {
	if s.exact != nil {
		return s.exact
	}
	s.exact = make(map[uint32]float64, len(s.table.Ranges)+len(s.table.Hot))
	for i, slice := range s.table.Ranges {
		s.exact[slice.ID] = s.prefixSums[s.endKey(i)] - s.prefixSums[s.firstKey(slice.Low)]
	}
	for _, hot := range s.slices()[len(s.table.Ranges):] {
		parent, _ := s.table.RangeOf(hot.Low)
		load := s.keys[s.firstKey(hot.Low)].load
		s.exact[parent.ID] = max(0, s.exact[parent.ID]-load)
		s.exact[hot.ID] = load
	}
	return s.exact
}

// loads returns the exact load of each upstream.
func (s *simulator) loads() map[string]float64 {
	loads := map[string]float64{}
	for _, slice := range s.slices() {
		loads[slice.Owner] += s.exactLoads()[slice.ID]
	}
	return loads
}

// firstKey returns the index of the first key whose hash is not below the given one.
func (s *simulator) firstKey(hash uint64) int {
	at, _ := slices.BinarySearchFunc(s.keys, hash, func(k key, hash uint64) int { return cmp.Compare(k.hash, hash) })
	return at
}

// endKey returns the index after the last key of the range at index i.
func (s *simulator) endKey(i int) int {
	if i+1 == len(s.table.Ranges) {
		return len(s.keys)
	}
	return s.firstKey(s.table.Ranges[i+1].Low)
}

// owners returns the owner of every key, in the order of s.keys.
func (s *simulator) owners() []string {
	all := make([]string, len(s.keys))
	for i, k := range s.keys {
		slice, _ := s.table.Lookup(k.name)
		all[i] = slice.Owner
	}
	return all
}

// serving returns the names of the upstreams that serve.
func (s *simulator) serving() []string {
	var names []string
	for _, u := range s.upstreams {
		if u.State.Serves() {
			names = append(names, u.Name)
		}
	}
	return names
}

// imbalance returns the highest load divided by the mean load of the serving upstreams.
func (s *simulator) imbalance(loads map[string]float64) float64 {
	return slices.Max(slices.Collect(maps.Values(loads))) / s.total() * float64(len(s.serving()))
}

// leastImbalance returns a lower limit of the imbalance of any assignment. It exceeds 1 if the hottest key, which has
// one owner, has more than the mean load.
func (s *simulator) leastImbalance() float64 {
	return max(1, s.keys[s.ranks[0]].load/s.total()*float64(len(s.serving())))
}
