// Package placer estimates how long requests take at each upstream, and chooses upstreams by it.
//
// The load that it answers: upstreams whose speeds differ, that slow down for moments, and that are shared by hosts that
// do not see each other's requests. The evidence is what upstreams report with their answers, what this host has in
// flight, and how its own requests ended. Evidence loses weight as it ages.
//
// # Usage
//
//	board := placer.New(seed)
//	board.Report(now, id, placer.Load{Running: 5, Waiting: 2, Slots: 6, Pace: 1})
//	id, ok := board.Pick(now, candidates, exclude)
//	board.Begin(id)
//	board.End(now, id, outcome)
//
// A Board is not safe for concurrent use. Times are durations since an arbitrary origin.
package selector

import (
	"math"
	"math/rand/v2"
	"time"
)

// Figures of the estimate.
const (
	// reportDecayTime is the time constant with which a load report loses weight: upstreams change their pace several times
	// a second.
	reportDecayTime = 400 * time.Millisecond
	// defaultRunTime is the assumed time of a request at an upstream that has not been measured.
	defaultRunTime = 300 * time.Millisecond
	// runTimeWeight is the weight of one more measured time.
	runTimeWeight = 0.1
	// sampleSize is the number of random candidates among which the best is taken. More would send the requests of all
	// hosts to the same upstream.
	sampleSize = 4
	// remoteCostFactor is the cost of another failure domain: its delay, and the price of bytes between failure domains.
	remoteCostFactor = 1.1
	// failureWeight is the weight of one more outcome in the share of failures.
	failureWeight = 0.2
	// failurePenalty is the time that a certain failure costs the caller, in request times.
	failurePenalty = 8.0
	// failureDecayTime is the time constant with which failures are forgotten, so that an upstream gets a trickle of
	// requests that show whether it has recovered.
	failureDecayTime = 2 * time.Second
	// minBackoff and maxBackoff bound the time for which an upstream that cannot be reached is avoided.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// suspicionTime is how long an upstream is avoided that other hosts cannot reach: until the outcome of an attempt of
	// this host is known.
	suspicionTime = 500 * time.Millisecond
)

// Load is what an upstream reports of itself.
type Load struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // time that work takes on its machine at this moment, relative to the usual
}

// Candidate is an upstream that may be chosen.
type Candidate struct {
	ID     string
	Slots  int
	Remote bool // in another failure domain
}

// Outcome is how a request ended at an upstream.
type Outcome int

// Outcomes.
const (
	// Answered means that the upstream answered in full.
	Answered Outcome = iota + 1
	// Rejected means that the upstream did not run the request, because it was full.
	Rejected
	// Failed means that the upstream ran the request and failed, or broke off its answer.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Abandoned means that the caller left or the time was up.
	Abandoned
)

type state struct {
	inFlight         int
	reportedAt       time.Duration
	load             Load
	inFlightAtReport int           // own requests in flight at the time of the report
	runTime          time.Duration // mean time of a request without waiting, at the usual pace
	failureRate      float64       // share of failures
	failedAt         time.Duration
	blockedUntil     time.Duration
	backoff          time.Duration
}

// Selector holds the evidence about all upstreams.
type Selector struct {
	states        map[string]*state
	random        *rand.Rand
	meanOccupancy float64 // mean occupancy of a slot over all upstreams
}

// New returns a board without evidence.
func New(seed uint64) *Selector {
	return &Selector{states: map[string]*state{}, random: rand.New(rand.NewPCG(seed, seed)), meanOccupancy: 0.5}
}

func (sel *Selector) state(id string) *state {
	s := sel.states[id]
	if s == nil {
		s = &state{}
		sel.states[id] = s
	}
	return s
}

// Forget drops the evidence about upstreams that keep does not report.
func (sel *Selector) Forget(keep func(id string) bool) {
	for id, s := range sel.states {
		if s.inFlight == 0 && !keep(id) {
			delete(sel.states, id)
		}
	}
}

// RecordLoad notes the load that an upstream had at the given time.
func (sel *Selector) RecordLoad(at time.Duration, id string, load Load) {
	s := sel.state(id)
	if at < s.reportedAt {
		return
	}
	s.reportedAt = at
	s.load = load
	s.inFlightAtReport = s.inFlight
	if load.Slots > 0 {
		const weight = 0.02
		sel.meanOccupancy += weight * (float64(load.Running+load.Waiting)/float64(load.Slots) - sel.meanOccupancy)
	}
}

// RecordRunTime notes the time that a request took at an upstream.
func (sel *Selector) RecordRunTime(id string, taken time.Duration, pace float64) {
	s := sel.state(id)
	if pace > 0 {
		taken = time.Duration(float64(taken) / pace)
	}
	if s.runTime == 0 {
		s.runTime = taken
		return
	}
	s.runTime += time.Duration(runTimeWeight * float64(taken-s.runTime))
}

// Begin notes a request that is sent to an upstream.
func (sel *Selector) Begin(id string) {
	s := sel.state(id)
	s.inFlight++
}

// End notes the outcome of a request that was sent to an upstream.
func (sel *Selector) End(now time.Duration, id string, outcome Outcome) {
	s := sel.state(id)
	if s.inFlight > 0 {
		s.inFlight--
	}
	switch outcome {
	case Answered:
		s.failureRate *= 1 - failureWeight
		s.backoff = 0
		s.blockedUntil = 0
	case Failed:
		s.failureRate = s.failureShare(now)
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.failedAt = now
	case Unreachable:
		s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
		s.blockedUntil = now + s.backoff
	}
}

func (s *state) failureShare(now time.Duration) float64 {
	return s.failureRate * math.Exp(-float64(now-s.failedAt)/float64(failureDecayTime))
}

// Blocked reports whether an upstream could not be reached a moment ago, and for how long it is avoided.
func (sel *Selector) Blocked(now time.Duration, id string) (time.Duration, bool) {
	s := sel.states[id]
	if s == nil || now >= s.blockedUntil {
		return 0, false
	}
	return s.blockedUntil - now, true
}

// ReportAge returns the age of the last load report of an upstream, or 0 if there is none.
func (sel *Selector) ReportAge(now time.Duration, id string) time.Duration {
	if s := sel.states[id]; s != nil && s.reportedAt > 0 {
		return now - s.reportedAt
	}
	return 0
}

// Block avoids an upstream for a moment, because other hosts cannot reach it.
func (sel *Selector) Block(now time.Duration, id string) {
	s := sel.state(id)
	s.blockedUntil = max(s.blockedUntil, now+suspicionTime)
}

// Unblock ends the avoidance of an upstream that can be reached.
func (sel *Selector) Unblock(id string) {
	s := sel.state(id)
	s.blockedUntil, s.backoff = 0, 0
}

// InFlight returns the requests that this host has in flight at an upstream.
func (sel *Selector) InFlight(id string) int {
	if s := sel.states[id]; s != nil {
		return s.inFlight
	}
	return 0
}

// Estimate is the expected course of a request.
type Estimate struct {
	Wait time.Duration // until a slot is free
	Run  time.Duration // in the slot
}

// Total returns the time until the answer.
func (e Estimate) Total() time.Duration { return e.Wait + e.Run }

// Estimate returns the expected course of one more request at an upstream with the given number of slots.
func (sel *Selector) Estimate(now time.Duration, id string, slots int) Estimate {
	s := sel.state(id)
	slots = max(slots, 1)
	run := s.runTime
	if run == 0 {
		run = defaultRunTime
	}
	trust := 0.0
	if s.reportedAt > 0 {
		trust = math.Exp(-float64(max(0, now-s.reportedAt)) / float64(reportDecayTime))
	}
	pace := 1.0
	if s.load.Slowdown > 0 {
		pace += trust * (s.load.Slowdown - 1)
	}
	usual := min(sel.meanOccupancy, 1) * float64(slots)
	occupied := trust*float64(s.load.Running+s.load.Waiting) + (1-trust)*usual
	occupied += float64(s.inFlight) - trust*float64(s.inFlightAtReport)
	occupied = max(occupied, float64(s.inFlight))
	e := Estimate{Run: time.Duration(float64(run) * pace)}
	if ahead := occupied + 1 - float64(slots); ahead > 0 {
		e.Wait = time.Duration(float64(e.Run) * ahead / float64(slots))
	}
	return e
}

// Pick returns the best of some random candidates. Candidates that cannot be reached are left out. It returns false
// when none is left.
func (sel *Selector) Pick(now time.Duration, candidates []Candidate, exclude map[string]bool) (string, bool) {
	open := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if exclude[c.ID] {
			continue
		}
		if _, blocked := sel.Blocked(now, c.ID); blocked {
			continue
		}
		open = append(open, c)
	}
	best, bestScore := "", math.Inf(1)
	for i := range min(sampleSize, len(open)) {
		j := i + sel.random.IntN(len(open)-i)
		open[i], open[j] = open[j], open[i]
		if score := sel.score(now, open[i]); score < bestScore {
			best, bestScore = open[i].ID, score
		}
	}
	return best, best != ""
}

func (sel *Selector) score(now time.Duration, c Candidate) float64 {
	e := sel.Estimate(now, c.ID, c.Slots)
	score := float64(e.Total())
	score *= 1 + failurePenalty*sel.state(c.ID).failureShare(now)
	if c.Remote {
		score *= remoteCostFactor
	}
	return score
}
