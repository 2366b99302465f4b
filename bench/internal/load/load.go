// Package load measures admission control, retries, crash detection and load balancing with simulated upstreams. The
// naive baseline has independent limits on each host, round robin, unlimited retries and no admission control.
//
// # Usage
//
//	lines := load.Measure(seed)
//
// Runs use virtual time and a seed, so they give the same figures every time. The model covers 11 hosts and the
// upstreams of two deployments. The controller, the relay and the store are represented by their delays only.
package load

import (
	"fmt"
	"sync"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
)

const (
	// offeredLoad is the share of the capacity that callers use. With one of three failure domains taken out, the other
	// two run at two thirds of their capacity.
	offeredLoad = 0.45
	// maxParallelRuns leaves processors to other programs on the same machine.
	maxParallelRuns = 4
	warmUp          = 2 * time.Second
	// runsPerSeed is more than the number of runs of any scenario, so that two seeds have no run in common.
	runsPerSeed = 100
)

// Bounds of the measures, from the requirements.
const (
	coldPeakBound      = 1.0  // a cold upstream gets no more requests at once than it can run
	lateRequestsBound  = 0    // requests received later than 4 s after the domain was taken out
	moveFailuresBound  = 0    // a planned move fails no request
	hedgeLoadBound     = 0.05 // extra requests through hedging, as a share
	amplificationBound = 1.1  // requests sent for each request of a caller
)

// scenario simulates one situation and returns its figures. It builds one world for each of its runs.
type scenario func(deployment, builder) []figure

// builder returns a world with one of the two routers. Different values of run give different random numbers.
type builder func(d deployment, run uint64) *world

type figure struct {
	name    string
	value   float64
	unit    string
	bound   float64
	bounded bool
}

type namedScenario struct {
	name       string
	deployment deployment
	run        scenario
}

// Measure runs all scenarios for all deployments with both routers.
func Measure(seed uint64) []printer.Line {
	scenarios := allScenarios()
	results := make([][2][]figure, len(scenarios))
	semaphore := make(chan struct{}, maxParallelRuns)
	var wait sync.WaitGroup
	for i, s := range scenarios {
		for kind := range 2 {
			wait.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				results[i][kind] = s.run(s.deployment, func(d deployment, run uint64) *world {
					return build(d, seed*runsPerSeed+run, kind == 1)
				})
			})
		}
	}
	wait.Wait()
	var lines []printer.Line
	for i, s := range scenarios {
		lines = append(lines, s.lines(seed, results[i])...)
	}
	return lines
}

func build(d deployment, seed uint64, withCores bool) *world {
	w := newWorld(d, seed)
	if withCores {
		w.router = newOurs(w, seed)
	} else {
		w.router = newNaive(w)
	}
	return w
}

func (s namedScenario) lines(seed uint64, results [2][]figure) []printer.Line {
	var lines []printer.Line
	for i, ours := range results[1] {
		lines = append(lines, printer.Line{
			Measure:  fmt.Sprintf("%s-%s-%s", s.deployment.name, s.name, ours.name),
			Naive:    results[0][i].value,
			Ours:     ours.value,
			Bound:    ours.bound,
			HasBound: ours.bounded,
			Unit:     ours.unit,
			Seed:     seed,
		})
	}
	return lines
}

func allScenarios() []namedScenario {
	var all []namedScenario
	for _, d := range deployments {
		all = append(all,
			namedScenario{"cold", d, coldPeak},
			namedScenario{"turns-cold", d, warmUpReset},
			namedScenario{"domain", d, domainTakeOut},
			namedScenario{"overload", d, overload},
			namedScenario{"all-fail", d, allFail},
			namedScenario{"poison", d, poison},
		)
		for _, count := range []int{1, 2, 4} {
			for _, duration := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
				name := fmt.Sprintf("slow-%d-%dms", count, duration.Milliseconds())
				all = append(all, namedScenario{name, d, slowUpstreams(count, duration)})
			}
		}
	}
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
