// Package ownership measures how long keys are unavailable when slices move or processes crash, and how many store
// calls and messages the control plane needs.
//
// It runs the state machines of core/witness, core/elector and core/controller with simulated hosts, upstreams and a
// simulated store in virtual time. The naive baseline is a lease per upstream in the store, see naive.go.
//
// # Usage
//
//	for _, line := range ownership.Measure(1) {
//		printer.Print(os.Stdout, line)
//	}
package ownership

import (
	"fmt"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
)

const (
	// unavailableBound is the required time after which a key must be served again.
	unavailableBound  = 3 * time.Second
	trials            = 12
	slicesPerUpstream = 16
	settleTime        = 6 * time.Second
	observationTime   = 10 * time.Second // of the steady state, without the watches of the relay roots
)

// scenario is a fault or a planned change that starts in the steady state. Its measure is the time for which keys are
// unavailable.
type scenario struct {
	measure  string
	start    func(s *simulation)
	duration time.Duration
	naive    func(n *naive) time.Duration
}

var scenarios = []scenario{
	{"unavailable-planned-move", (*simulation).drainUpstream, 4 * time.Second, (*naive).move},
	{"unavailable-upstream-crash", (*simulation).killUpstream, 5 * time.Second, (*naive).crash},
	{"unavailable-upstream-restart", (*simulation).restartUpstream, 3 * time.Second, (*naive).restart},
	{"unavailable-controller-and-upstream-crash", (*simulation).killController, 6 * time.Second, (*naive).crash},
	{"unavailable-upstream-crash-store-down", (*simulation).killWithoutStore, 5 * time.Second, (*naive).crashWithoutStore},
}

// Measure returns all measures. An unavailable time is the longest of all slices and trials.
func Measure(seed uint64) []printer.Line {
	lines := []printer.Line{}
	for _, sc := range scenarios {
		lines = append(lines, measureUnavailability(seed, sc))
	}
	for _, count := range []int{4, 20, 32} {
		lines = append(lines, measureCosts(seed, count)...)
	}
	return lines
}

func measureUnavailability(seed uint64, sc scenario) printer.Line {
	worst := time.Duration(0)
	worstNaive := time.Duration(0)
	for trial := range uint64(trials) {
		s := newSimulation(seed*trials+trial, 20)
		s.advance(settleTime)
		s.advance(time.Duration(s.random.IntN(300)) * time.Millisecond)
		sc.start(s)
		worst = max(worst, s.longestOutage(sc.duration))
		worstNaive = max(worstNaive, sc.naive(newNaive(seed*trials+trial, 20)))
	}
	return printer.Line{
		Measure:  sc.measure,
		Naive:    worstNaive.Seconds(),
		Ours:     worst.Seconds(),
		Bound:    unavailableBound.Seconds(),
		HasBound: true,
		Unit:     "s",
		Seed:     seed,
	}
}

// measureCosts returns the store calls and the messages per second of one service in the steady state.
func measureCosts(seed uint64, count int) []printer.Line {
	s := newSimulation(seed, count)
	s.advance(settleTime)
	s.storeCalls = 0
	s.messages = 0
	s.advance(observationTime)
	baseline := newNaive(seed, count)
	return []printer.Line{
		{
			Measure: fmt.Sprintf("store-calls-%d-upstreams", count),
			Naive:   baseline.storeCalls(),
			Ours:    float64(s.storeCalls) / observationTime.Seconds(),
			Unit:    "1/s",
			Seed:    seed,
		},
		{
			Measure: fmt.Sprintf("control-messages-%d-upstreams", count),
			Naive:   baseline.messages(),
			Ours:    float64(s.messages) / observationTime.Seconds(),
			Unit:    "1/s",
			Seed:    seed,
		},
	}
}
