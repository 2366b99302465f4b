// Package placement measures the assignment of slices to upstreams: imbalance of load, churn, isolation of hot keys,
// and the moves when a failure domain is taken out and returned.
//
// It simulates the keyed services of two deployments and a service with 600 upstreams. Requests are sampled, and their
// keys have a Zipf distribution. The naive baselines are the hash modulo the number of serving upstreams and plain
// consistent hashing.
//
// # Usage
//
//	for _, line := range placement.Measure(1) {
//		printer.Print(os.Stdout, line)
//	}
package placement

import (
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/hasher"
)

const (
	settleTime = 2 * time.Minute // until the measured loads are stable and balanced
	// ringPoints is the number of points of an upstream in plain consistent hashing. It equals the number of ranges of
	// an upstream, so that both have the same granularity.
	ringPoints = rangesPerUpstream
	// isolationBound is in seconds. Hot keys change within minutes, so they must be isolated within minutes.
	isolationBound = 120
)

var sizes = []size{
	{"library", 20, 200_000, 1},
	{"wholesaler", 18, 200_000, 1},
	{"600-upstreams", 600, 1_000_000, 0.1},
}

// Measure returns the measures of all sizes.
func Measure(seed uint64) []printer.Line {
	var lines []printer.Line
	for _, s := range sizes {
		lines = append(lines, measure(s, seed)...)
	}
	return append(lines, measureShortfalls(seed))
}

func measure(s size, seed uint64) []printer.Line {
	sim := newSimulator(s, seed)
	sim.advance(settleTime)
	lines := measureImbalance(sim)
	lines = append(lines, measureChurn(sim)...)
	lines = append(lines, measureHotKeys(sim)...)
	lines = append(lines, domainTakeOutAndReturn(newSettled(s, seed))...)
	for i := range lines {
		lines[i].Measure += "-" + s.name
		lines[i].Seed = seed
	}
	return lines
}

func newSettled(s size, seed uint64) *simulator {
	sim := newSimulator(s, seed)
	sim.advance(settleTime)
	return sim
}

// naiveAssignment returns the owner of each hash. It depends on the serving upstreams only, not on their load.
type naiveAssignment func(serving []string) func(hash uint64) string

func modulo(serving []string) func(uint64) string {
	return func(hash uint64) string { return assigner.Modulo(hash, serving) }
}

func ring(serving []string) func(uint64) string {
	return assigner.NewRing(serving, ringPoints).Owner
}

// measureImbalance returns the ratios of the highest to the mean load of an upstream.
func measureImbalance(sim *simulator) []printer.Line {
	ours := sim.imbalance(sim.loads())
	line := func(name string, owner func(uint64) string) printer.Line {
		return printer.Line{Measure: name, Naive: sim.imbalance(sim.naiveLoads(owner)), Ours: ours, Unit: "max/mean"}
	}
	serving := sim.serving()
	withoutHotKeys := func(owner func(uint64) string) float64 {
		return sim.imbalanceWithoutHotKeys(sim.naiveLoads(owner), owner)
	}
	tableOwner := func(hash uint64) string {
		slice, _ := sim.table.Lookup(sim.keys[sim.firstKey(hash)].name)
		return slice.Owner
	}
	return []printer.Line{
		line("imbalance-against-modulo", modulo(serving)),
		line("imbalance-against-ring", ring(serving)),
		{Measure: "imbalance-least-possible", Naive: sim.leastImbalance(), Ours: sim.leastImbalance(), Unit: "max/mean"},
		{Measure: "imbalance-beside-hot-keys", Naive: withoutHotKeys(ring(serving)),
			Ours: sim.imbalanceWithoutHotKeys(sim.loads(), tableOwner), Unit: "max/mean"},
	}
}

// imbalanceWithoutHotKeys returns the imbalance without the upstreams that own a key whose load alone exceeds the mean
// load of the other upstreams. No assignment can reduce the load of the owner of such a key.
func (s *simulator) imbalanceWithoutHotKeys(loads map[string]float64, owner func(hash uint64) string) float64 {
	total, count := s.total(), len(s.serving())
	others := maps.Clone(loads)
	for _, index := range s.ranks {
		k := s.keys[index]
		if k.load <= total/float64(count) {
			break
		}
		delete(others, owner(k.hash))
		total -= k.load
		count--
	}
	return slices.Max(slices.Collect(maps.Values(others))) / (total / float64(count))
}

func (s *simulator) naiveLoads(owner func(uint64) string) map[string]float64 {
	loads := map[string]float64{}
	for _, k := range s.keys {
		loads[owner(k.hash)] += k.load
	}
	return loads
}

// measureChurn removes an upstream and returns it, and measures the share of keys that move without need. The moves
// that are needed are those of all keys of the removed upstream, and for the returned one the mean number of keys of an
// upstream.
func measureChurn(sim *simulator) []printer.Line {
	all := sim.serving()
	removed := sim.upstreams[1]
	before := sim.owners()
	sim.setState(removed, assigner.Unresponsive)
	sim.advance(settleTime)
	after := sim.owners()
	remaining := sim.serving()
	churnOut := changed(before, after) - share(before, removed.Name)
	sim.setState(removed, assigner.Cold)
	sim.advance(settleTime)
	churnBack := max(0, changed(after, sim.owners())-1/float64(len(all)))
	line := func(name string, ours float64, version naiveAssignment, from, to []string) printer.Line {
		first, second := sim.naiveOwners(version(from)), sim.naiveOwners(version(to))
		least := share(first, removed.Name)
		if len(to) > len(from) {
			least = 1 / float64(len(to))
		}
		return printer.Line{Measure: name, Naive: max(0, changed(first, second)-least), Ours: ours, Unit: "key-share"}
	}
	return []printer.Line{
		line("churn-upstream-leaves-against-modulo", churnOut, modulo, all, remaining),
		line("churn-upstream-leaves-against-ring", churnOut, ring, all, remaining),
		line("churn-upstream-returns-against-modulo", churnBack, modulo, remaining, all),
		line("churn-upstream-returns-against-ring", churnBack, ring, remaining, all),
	}
}

func (s *simulator) naiveOwners(owner func(uint64) string) []string {
	all := make([]string, len(s.keys))
	for i, k := range s.keys {
		all[i] = owner(k.hash)
	}
	return all
}

// changed returns the share of keys that have different owners in before and after.
func changed(before, after []string) float64 {
	count := 0
	for i := range before {
		if before[i] != after[i] {
			count++
		}
	}
	return float64(count) / float64(len(before))
}

// share returns the share of keys that owner has.
func share(owners []string, owner string) float64 {
	count := 0
	for _, name := range owners {
		if name == owner {
			count++
		}
	}
	return float64(count) / float64(len(owners))
}

// measureHotKeys replaces the 120 hottest keys. It measures the time until each of the new ones that has at least twice
// the load of the isolation threshold has a slice of its own (at most 256 keys have one), and the time until the old
// ones below the fold threshold are folded. The naive baselines isolate no keys; their figure is the duration of the
// measurement.
func measureHotKeys(sim *simulator) []printer.Line {
	const hottest, limit = 120, 5 * time.Minute
	old := map[string]bool{}
	for name := range sim.table.Hot {
		old[name] = true
	}
	changedKeys := sim.changeHottest(hottest)
	threshold := 2 * assigner.IsolateShare * sim.total() / float64(len(sim.serving()))
	for _, k := range changedKeys {
		delete(old, k.name)
	}
	start := sim.now
	isolated, folded := limit, limit
	for sim.now-start < limit && (isolated == limit || folded == limit) {
		sim.step()
		if isolated == limit && sim.allIsolated(changedKeys, threshold) {
			isolated = sim.now - start
		}
		if folded == limit && sim.allFolded(old) {
			folded = sim.now - start
		}
	}
	return []printer.Line{
		{Measure: "hot-key-isolation-time", Naive: limit.Seconds(), Ours: isolated.Seconds(), Bound: isolationBound,
			HasBound: true, Unit: "s"},
		{Measure: "hot-key-fold-time", Naive: limit.Seconds(), Ours: folded.Seconds(), Unit: "s"},
	}
}

func (s *simulator) allIsolated(keys []key, threshold float64) bool {
	for _, k := range keys {
		if _, hot := s.table.Hot[k.name]; !hot && k.load >= threshold {
			return false
		}
	}
	return true
}

func (s *simulator) allFolded(names map[string]bool) bool {
	for name := range names {
		if _, hot := s.table.Hot[name]; hot && s.keys[s.firstKey(hasher.Sum(name))].load < assigner.FoldShare*
			s.total()/float64(len(s.serving())) {
			return false
		}
	}
	return true
}
