// Package load measures admission, retries, crash detection and balancing against modelled upstreams, and against a naive
// baseline: independent limits on each host, round robin, unlimited retries and no admission.
//
// # Usage
//
//	lines := load.Measure(seed)
//
// Runs use virtual time and a seed, so they give the same figures every time. The model covers 11 hosts and the sizes of
// both users; the controller, the relay and the store are represented by their delays only.
package load

import (
	"fmt"
	"sync"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
)

const (
	// offeredLoad is the share of the capacity that callers use: two of three failure domains then run at two thirds.
	offeredLoad = 0.45
	// maxParallelRuns bounds the runs at the same time, because the machine is shared.
	maxParallelRuns = 4
	warmUp          = 2 * time.Second
	// runsPerSeed is more than the number of runs of any scenario, so that different seeds share no run.
	runsPerSeed = 100
)

// Bounds of section 2 and 8 of the design page.
const (
	coldPeakBound      = 1.0 // G3: no more load than a cold upstream can handle
	lateRequestsBound  = 0   // G4: requests after 4 s
	moveFailuresBound  = 0   // planned moves fail no request
	hedgeLoadBound     = 0.05
	amplificationBound = 1.1
)

// scenario runs one situation and returns its figures by name. It makes a world for each of its seeds.
type scenario func(user, builder) []figure

// builder makes a world with one of the two routers, for the given run of a scenario.
type builder func(user user, run uint64) *world

type figure struct {
	name    string
	value   float64
	unit    string
	bound   float64
	bounded bool
}

type namedScenario struct {
	name string
	user user
	run  scenario
}

// Measure runs all scenarios for both users and both routers.
func Measure(seed uint64) []printer.Line {
	scenarios := allScenarios()
	results := make([][2][]figure, len(scenarios))
	semaphore := make(chan struct{}, maxParallelRuns)
	var group sync.WaitGroup
	for i, s := range scenarios {
		for kind := range 2 {
			group.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				results[i][kind] = s.run(s.user, func(u user, run uint64) *world {
					return build(u, seed*runsPerSeed+run, kind == 1)
				})
			})
		}
	}
	group.Wait()
	var lines []printer.Line
	for i, s := range scenarios {
		lines = append(lines, s.lines(seed, results[i])...)
	}
	return lines
}

func build(user user, seed uint64, withCores bool) *world {
	w := newWorld(user, seed)
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
			Measure:  fmt.Sprintf("%s-%s-%s", s.user.name, s.name, ours.name),
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
	for _, u := range users {
		all = append(all,
			namedScenario{"cold", u, coldPeak},
			namedScenario{"turns-cold", u, warmUpReset},
			namedScenario{"domain", u, domainTakeOut},
			namedScenario{"overload", u, overload},
			namedScenario{"all-fail", u, allFail},
			namedScenario{"poison", u, poison},
		)
		for _, count := range []int{1, 2, 4} {
			for _, duration := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
				name := fmt.Sprintf("slow-%d-%dms", count, duration.Milliseconds())
				all = append(all, namedScenario{name, u, slowUpstreams(count, duration)})
			}
		}
	}
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
