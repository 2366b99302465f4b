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
	// reportLife is the time constant with which a load report loses weight: upstreams change their pace several times
	// a second.
	reportLife = 400 * time.Millisecond
	// defaultTime is the assumed time of a request at an upstream that has not been measured.
	defaultTime = 300 * time.Millisecond
	// timeWeight is the weight of one more measured time.
	timeWeight = 0.1
	// choices is the number of random candidates among which the best is taken. More would send the requests of all
	// hosts to the same upstream.
	choices = 4
	// remoteFactor is the cost of another failure domain: its delay, and the price of bytes between failure domains.
	remoteFactor = 1.1
	// failureWeight is the weight of one more outcome in the share of failures.
	failureWeight = 0.2
	// failurePenalty is the time that a certain failure costs the caller, in request times.
	failurePenalty = 8.0
	// failureLife is the time constant with which failures are forgotten, so that an upstream gets a trickle of
	// requests that show whether it has recovered.
	failureLife = 2 * time.Second
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
	inFlight int
	reported time.Duration
	load     Load
	ownThen  int           // own requests in flight at the time of the report
	time     time.Duration // mean time of a request without waiting, at the usual pace
	failures float64       // share of failures
	failedAt time.Duration
	blocked  time.Duration
	backoff  time.Duration
}

// Selector holds the evidence about all upstreams.
type Selector struct {
	states map[string]*state
	random *rand.Rand
	mean   float64 // mean occupancy of a slot over all upstreams
}

// New returns a board without evidence.
func New(seed uint64) *Selector {
	return &Selector{states: map[string]*state{}, random: rand.New(rand.NewPCG(seed, seed)), mean: 0.5}
}

func (b *Selector) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Forget drops the evidence about upstreams that keep does not report.
func (b *Selector) Forget(keep func(id string) bool) {
	for id, s := range b.states {
		if s.inFlight == 0 && !keep(id) {
			delete(b.states, id)
		}
	}
}

// RecordLoad notes the load that an upstream had at the given time.
func (b *Selector) RecordLoad(at time.Duration, id string, load Load) {
	s := b.state(id)
	if at < s.reported {
		return
	}
	s.reported = at
	s.load = load
	s.ownThen = s.inFlight
	if load.Slots > 0 {
		const weight = 0.02
		b.mean += weight * (float64(load.Running+load.Waiting)/float64(load.Slots) - b.mean)
	}
}

// RecordRunTime notes the time that a request took at an upstream.
func (b *Selector) RecordRunTime(id string, taken time.Duration, pace float64) {
	s := b.state(id)
	if pace > 0 {
		taken = time.Duration(float64(taken) / pace)
	}
	if s.time == 0 {
		s.time = taken
		return
	}
	s.time += time.Duration(timeWeight * float64(taken-s.time))
}

// Begin notes a request that is sent to an upstream.
func (b *Selector) Begin(id string) {
	s := b.state(id)
	s.inFlight++
}

// End notes the outcome of a request that was sent to an upstream.
func (b *Selector) End(now time.Duration, id string, outcome Outcome) {
	s := b.state(id)
	if s.inFlight > 0 {
		s.inFlight--
	}
	switch outcome {
	case Answered:
		s.failures *= 1 - failureWeight
		s.backoff = 0
		s.blocked = 0
	case Failed:
		s.failures = s.failureShare(now)
		s.failures += failureWeight * (1 - s.failures)
		s.failedAt = now
	case Unreachable:
		s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
		s.blocked = now + s.backoff
	}
}

func (s *state) failureShare(now time.Duration) float64 {
	return s.failures * math.Exp(-float64(now-s.failedAt)/float64(failureLife))
}

// Blocked reports whether an upstream could not be reached a moment ago, and for how long it is avoided.
func (b *Selector) Blocked(now time.Duration, id string) (time.Duration, bool) {
	s := b.states[id]
	if s == nil || now >= s.blocked {
		return 0, false
	}
	return s.blocked - now, true
}

// ReportAge returns the age of the last load report of an upstream, or 0 if there is none.
func (b *Selector) ReportAge(now time.Duration, id string) time.Duration {
	if s := b.states[id]; s != nil && s.reported > 0 {
		return now - s.reported
	}
	return 0
}

// Block avoids an upstream for a moment, because other hosts cannot reach it.
func (b *Selector) Block(now time.Duration, id string) {
	s := b.state(id)
	s.blocked = max(s.blocked, now+suspicionTime)
}

// Unblock ends the avoidance of an upstream that can be reached.
func (b *Selector) Unblock(id string) {
	s := b.state(id)
	s.blocked, s.backoff = 0, 0
}

// InFlight returns the requests that this host has in flight at an upstream.
func (b *Selector) InFlight(id string) int {
	if s := b.states[id]; s != nil {
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
func (b *Selector) Estimate(now time.Duration, id string, slots int) Estimate {
	s := b.state(id)
	slots = max(slots, 1)
	run := s.time
	if run == 0 {
		run = defaultTime
	}
	trust := 0.0
	if s.reported > 0 {
		trust = math.Exp(-float64(max(0, now-s.reported)) / float64(reportLife))
	}
	pace := 1.0
	if s.load.Slowdown > 0 {
		pace += trust * (s.load.Slowdown - 1)
	}
	usual := min(b.mean, 1) * float64(slots)
	occupied := trust*float64(s.load.Running+s.load.Waiting) + (1-trust)*usual
	occupied += float64(s.inFlight) - trust*float64(s.ownThen)
	occupied = max(occupied, float64(s.inFlight))
	e := Estimate{Run: time.Duration(float64(run) * pace)}
	if ahead := occupied + 1 - float64(slots); ahead > 0 {
		e.Wait = time.Duration(float64(e.Run) * ahead / float64(slots))
	}
	return e
}

// Pick returns the best of some random candidates. Candidates that cannot be reached are left out. It returns false
// when none is left.
func (b *Selector) Pick(now time.Duration, candidates []Candidate, exclude map[string]bool) (string, bool) {
	open := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if exclude[c.ID] {
			continue
		}
		if _, blocked := b.Blocked(now, c.ID); blocked {
			continue
		}
		open = append(open, c)
	}
	best, bestScore := "", math.Inf(1)
	for i := range min(choices, len(open)) {
		j := i + b.random.IntN(len(open)-i)
		open[i], open[j] = open[j], open[i]
		if score := b.score(now, open[i]); score < bestScore {
			best, bestScore = open[i].ID, score
		}
	}
	return best, best != ""
}

func (b *Selector) score(now time.Duration, c Candidate) float64 {
	e := b.Estimate(now, c.ID, c.Slots)
	score := float64(e.Total())
	score *= 1 + failurePenalty*b.state(c.ID).failureShare(now)
	if c.Remote {
		score *= remoteFactor
	}
	return score
}
