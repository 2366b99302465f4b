package placement

import (
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
)

// domainTakeOutAndReturn simulates a cleaning window of one failure domain, until the returned upstreams are warm and
// the assigner has no more slices to move. The naive baseline is plain consistent hashing of the slices. It begins to
// move them at the start of the window and assigns returned upstreams their full share immediately.
func domainTakeOutAndReturn(sim *simulator) []printer.Line {
	const domain = "1"
	origin := time.Date(2026, 6, 6, 23, 55, 0, 0, time.UTC).Add(-sim.now)
	start := time.Date(2026, 6, 7, 0, 0, 0, 0, time.UTC)
	windows := map[string]configurator.Window{"cleaning": {FailureDomain: domain, Weekday: time.Sunday,
		Length: 5 * time.Minute, TimeZone: "UTC"}}
	d := drainer.New(sim.timing, func(string) (*time.Location, error) { return time.UTC, nil })
	var takeOutTime, emptyTime, returnTime, balancedTime time.Time
	var movesOut, movesBack int
	outRing, backRing := sim.naiveTakeOutAndReturn(domain)
	sim.transfers = 0
	for balancedTime.IsZero() && sim.now < settleTime+20*time.Minute {
		sim.step()
		now := origin.Add(sim.now)
		for _, action := range d.Step(now, sim.status(), windows) {
			switch action.Kind {
			case drainer.TakeOut:
				takeOutTime = now
				sim.transfers = 0
				sim.setDomain(domain, assigner.TakenOut)
			case drainer.Emptied:
				emptyTime = now
			case drainer.Return:
				returnTime = now
				movesOut, sim.transfers, sim.excess = sim.transfers, 0, 0
				sim.setDomain(domain, assigner.Cold)
			}
		}
		if !returnTime.IsZero() && sim.warm(domain) && sim.isBalanced() {
			balancedTime = origin.Add(sim.lastTransfer)
			movesBack = sim.transfers
		}
	}
	seconds := func(moves int) float64 {
		return float64((moves+sim.timing.ParallelMoves-1)/sim.timing.ParallelMoves) * sim.timing.MoveDuration.Seconds()
	}
	return []printer.Line{
		{Measure: "domain-out-moves", Naive: float64(outRing.moves), Ours: float64(movesOut), Unit: "moves"},
		{Measure: "domain-out-time", Naive: seconds(outRing.moves), Ours: emptyTime.Sub(takeOutTime).Seconds(), Unit: "s"},
		{Measure: "domain-empty-before-window", Naive: -seconds(outRing.moves), Ours: start.Sub(emptyTime).Seconds(),
			Bound: 0, HasBound: true, AtLeast: true, Unit: "s"},
		{Measure: "domain-back-moves", Naive: float64(backRing.moves), Ours: float64(movesBack), Unit: "moves"},
		{Measure: "domain-back-time", Naive: seconds(backRing.moves), Ours: balancedTime.Sub(returnTime).Seconds(), Unit: "s"},
		{Measure: "cold-upstream-excess-load", Naive: backRing.excess, Ours: max(0, sim.excess), Bound: 0, HasBound: true,
			Unit: "slots"},
	}
}

// naiveChange holds the figures of the naive baseline when a domain is taken out or returned.
type naiveChange struct {
	moves  int
	excess float64 // highest load of a cold upstream beyond its capacity
}

func (s *simulator) naiveTakeOutAndReturn(domain string) (out, back naiveChange) {
	var all, rest []string
	for _, u := range s.upstreams {
		all = append(all, u.Name)
		if u.FailureDomain != domain {
			rest = append(rest, u.Name)
		}
	}
	before, after := ring(all), ring(rest)
	loads := map[string]float64{}
	for i, slice := range s.table.Ranges {
		loads[before(slice.Low)] += s.prefixSums[s.endKey(i)] - s.prefixSums[s.firstKey(slice.Low)]
		if before(slice.Low) != after(slice.Low) {
			out.moves++
			back.moves++
		}
	}
	for _, u := range s.upstreams {
		if u.FailureDomain == domain {
			back.excess = max(back.excess, loads[u.Name]-1)
		}
	}
	return out, back
}

func (s *simulator) warm(domain string) bool {
	for _, u := range s.upstreams {
		if u.FailureDomain == domain && u.State != assigner.InService {
			return false
		}
	}
	return true
}

// status returns the state of the simulated fleet as input for the drainer.
func (s *simulator) status() drainer.Status {
	status := drainer.Status{Demand: map[string]float64{s.name: s.total()}}
	owned := map[string]int{}
	for _, slice := range s.table.Ranges {
		owned[slice.Owner]++
	}
	for _, slice := range s.table.Hot {
		owned[slice.Owner]++
	}
	for _, u := range s.upstreams {
		status.Upstreams = append(status.Upstreams, drainer.Upstream{Name: u.Name, Service: s.name,
			FailureDomain: u.FailureDomain, Slots: slots, Capacity: int(u.Capacity), Serving: u.State != assigner.Unresponsive,
			Slices: owned[u.Name]})
	}
	return status
}

// measureShortfalls generates fleets with a known number of missing slots and returns the share of fleets for which the
// computed number is wrong. The naive baseline compares the demand with the slots outside the domain. It ignores cold
// and drained upstreams and retries.
func measureShortfalls(seed uint64) printer.Line {
	const cases = 1000
	random := rand.New(rand.NewPCG(seed, 0))
	wrong, wrongNaive := 0, 0
	for range cases {
		missing := random.IntN(21) - 10
		status, nominal := fleetWithShortfall(random, missing)
		found := 0
		for _, s := range drainer.New(drainer.DefaultMoveTiming, nil).Shortfalls(status, "0") {
			found += s.Missing()
		}
		if found != max(0, missing) {
			wrong++
		}
		if max(0, int(status.Demand["s"])-nominal) != max(0, missing) {
			wrongNaive++
		}
	}
	return printer.Line{Measure: "capacity-shortfall-errors", Naive: float64(wrongNaive) / cases,
		Ours: float64(wrong) / cases, Bound: 0, HasBound: true, Unit: "share", Seed: seed}
}

// fleetWithShortfall returns a fleet and the sum of the slots outside domain 0. When that domain is taken out, the
// service lacks the given number of slots.
func fleetWithShortfall(random *rand.Rand, missing int) (drainer.Status, int) {
	status := drainer.Status{}
	available, nominal := 0, 0
	for i := range 30 {
		u := drainer.Upstream{Service: "s", FailureDomain: string(rune('0' + i%domainCount)), Slots: slots, Capacity: slots,
			Serving: random.IntN(10) > 0}
		if random.IntN(10) == 0 {
			u.Capacity = 1 + random.IntN(slots-1)
		}
		status.Upstreams = append(status.Upstreams, u)
		if u.FailureDomain == "0" {
			continue
		}
		nominal += slots
		if u.Serving {
			available += u.Capacity
		}
	}
	status.Demand = map[string]float64{"s": float64(available+missing) / drainer.HeadroomFactor}
	return status, nominal
}
