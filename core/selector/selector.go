// Package selector estimates the response time of each upstream and selects upstreams by the estimate.
//
// Upstreams have different run times, slow down temporarily, and are shared by hosts that do not see each other's
// requests. The estimate uses the load that upstreams report with their responses, the requests that this host has in
// flight, and the outcomes of its earlier requests. The weight of load reports and failures decays with their age.
//
// # Usage
//
//	s := selector.New(seed)
//	s.RecordLoad(now, id, selector.Load{Running: 5, Waiting: 2, Slots: 6, Slowdown: 1})
//	id, ok := s.Pick(now, service, candidates, exclude)
//	s.Begin(id)
//	s.End(now, id, outcome)
//
// Upstreams are incarnations: a process that starts again under its ID has no record.
//
// A Selector is not safe for concurrent use. Times are durations since an arbitrary origin.
package selector

import (
	"math"
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/rebalancer"
)

// Parameters of the estimate.
const (
	// reportDecayTime is the time constant with which the weight of a load report decays. It is short because the slowdown
	// of upstreams changes several times a second.
	reportDecayTime = 400 * time.Millisecond
	// defaultRunTime is the assumed mean run time of an upstream that has not been measured.
	defaultRunTime = 300 * time.Millisecond
	// runTimeWeight is the weight of a measured run time in the moving average.
	runTimeWeight = 0.1
	// sharedRunTimeSamples is the number of measurements of this host that count as much as the shared run time.
	sharedRunTimeSamples = 10
	// meanWeight is the weight of one load report in the means over all upstreams.
	meanWeight = 0.02
	// sampleSize is the number of random candidates from which the best one is selected. With more candidates, all hosts
	// would send their requests to the same upstream.
	sampleSize = 4
	// remoteCost is the cost of an upstream in another failure domain as a share of the run time, and localPreference the
	// factor on the probability of one in the own failure domain. They account for the network latency and the price of
	// traffic between failure domains.
	remoteCost      = 0.1
	localPreference = 4
	// weightInterval is the time between two calculations of the weights of candidates.
	weightInterval = 500 * time.Millisecond
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.2
	// failurePenalty is the cost of a failure to the caller, as a multiple of the response time.
	failurePenalty = 8.0
	// failureDecayTime is the time constant with which the failure rate decays, so that a failed upstream gets a few
	// requests that show whether it has recovered.
	failureDecayTime = 2 * time.Second
	// minBackoff and maxBackoff limit the time for which an unreachable upstream is not selected.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// suspicionTime is how long an upstream that other hosts cannot reach is not selected. By then, the result of a
	// connection attempt of this host is known.
	suspicionTime = 500 * time.Millisecond
)

// Load is a load report of an upstream.
type Load struct {
	Running  int // requests in slots
	Waiting  int // requests in the queue
	Slots    int
	Slowdown float64 // current run time on its machine as a multiple of the usual run time; 0: unknown
}

// Candidate is an upstream that may be selected.
type Candidate struct {
	identifier.Incarnation
	Slots  int
	Domain string // failure domain
	Remote bool   // Domain is not that of this host
}

// Outcome is the outcome of a request at an upstream.
type Outcome int

// Outcomes of requests.
const (
	// Answered means that the upstream sent a complete response.
	Answered Outcome = iota + 1
	// Rejected means that the upstream did not run the request because its queue was full.
	Rejected
	// Failed means that the upstream failed to process the request, or that its response is incomplete.
	Failed
	// Unreachable means that no connection to the upstream could be established.
	Unreachable
	// Abandoned means that the caller disconnected or that the request timed out.
	Abandoned
)

type state struct {
	inFlight         int
	reportedAt       time.Duration
	load             Load
	inFlightAtReport int           // requests of this host in flight at reportedAt
	runTime          time.Duration // mean run time of a request without slowdown, measured by this host
	runTimeSamples   int
	sharedRunTime    time.Duration // mean run time of a request, measured by all hosts; 0: unknown
	usualRunTime     time.Duration // mean of the other candidates of the service, without slowdown; 0: unknown
	failureRate      float64       // share of failed requests, without the decay since failedAt
	failedAt         time.Duration // time of the last failure
	blockedUntil     time.Duration
	backoff          time.Duration
	weight           float64 // target rate of requests, relative to the mean of the service; 0: not calculated yet
}

// Selector holds the load and the outcomes of all upstreams.
type Selector struct {
	states        map[identifier.Incarnation]*state
	random        *rand.Rand
	meanOccupancy float64                  // mean occupancy of a slot over all upstreams
	meanSlowdown  float64                  // over all upstreams
	weightsAt     map[string]time.Duration // time of the last calculation of weights, by service
}

// New returns a Selector without records. seed determines the random choice of candidates.
func New(seed uint64) *Selector {
	return &Selector{states: map[identifier.Incarnation]*state{}, random: rand.New(rand.NewPCG(seed, seed)), meanOccupancy: 0.5, meanSlowdown: 1,
		weightsAt: map[string]time.Duration{}}
}

func (sel *Selector) state(id identifier.Incarnation) *state {
	s := sel.states[id]
	if s == nil {
		s = &state{}
		sel.states[id] = s
	}
	return s
}

// Forget removes the records of upstreams for which keep returns false, except those with requests in flight.
func (sel *Selector) Forget(keep func(identifier.Incarnation) bool) {
	for id, s := range sel.states {
		if s.inFlight == 0 && !keep(id) {
			delete(sel.states, id)
		}
	}
}

// RecordSharedLoad records the load that an upstream had at the given time, as reported to another host. Reports that are
// older than the last one are ignored. The means over all upstreams do not change, because hosts do not share the
// reports of idle owners of keys.
func (sel *Selector) RecordSharedLoad(at time.Duration, id identifier.Incarnation, load Load) {
	s := sel.state(id)
	if at < s.reportedAt {
		return
	}
	s.reportedAt = at
	s.load = load
	s.inFlightAtReport = s.inFlight
}

// RecordLoad records the load that an upstream reported to this host.
func (sel *Selector) RecordLoad(at time.Duration, id identifier.Incarnation, load Load) {
	sel.RecordSharedLoad(at, id, load)
	if load.Slots > 0 {
		sel.meanOccupancy += meanWeight * (float64(load.Running+load.Waiting)/float64(load.Slots) - sel.meanOccupancy)
	}
	if load.Slowdown > 0 {
		sel.meanSlowdown += meanWeight * (load.Slowdown - sel.meanSlowdown)
	}
}

// RecordRunTime records the run time of a request at an upstream. slowdown is Load.Slowdown at that time.
func (sel *Selector) RecordRunTime(id identifier.Incarnation, runTime time.Duration, slowdown float64) {
	s := sel.state(id)
	s.runTimeSamples++
	if slowdown > 0 {
		runTime = time.Duration(float64(runTime) / slowdown)
	}
	if s.runTime == 0 {
		s.runTime = runTime
		return
	}
	s.runTime += time.Duration(runTimeWeight * float64(runTime-s.runTime))
}

// RecordSharedRunTime records the mean run time of an upstream over the requests of all hosts, including slowdowns.
func (sel *Selector) RecordSharedRunTime(id identifier.Incarnation, mean time.Duration) {
	sel.state(id).sharedRunTime = mean
}

// isMeasured reports whether the run time of an upstream, or of others of its service, was measured.
func (s *state) isMeasured() bool { return s.runTime > 0 || s.sharedRunTime > 0 || s.usualRunTime > 0 }

// runTime returns the expected run time of a request without slowdown. In a large fleet, this host has few measurements
// of each upstream, so the shared run time counts more at first.
func (sel *Selector) runTime(s *state) time.Duration {
	own, shared := s.runTime, time.Duration(float64(s.sharedRunTime)/sel.meanSlowdown)
	switch {
	case own == 0 && shared == 0 && s.usualRunTime > 0:
		return s.usualRunTime
	case own == 0 && shared == 0:
		return defaultRunTime
	case own == 0:
		return shared
	case shared == 0:
		return own
	}
	samples := min(float64(s.runTimeSamples), 1/runTimeWeight)
	return time.Duration((samples*float64(own) + sharedRunTimeSamples*float64(shared)) / (samples + sharedRunTimeSamples))
}

// Begin records that a request is sent to an upstream. Each call must be followed by a call of End.
func (sel *Selector) Begin(id identifier.Incarnation) {
	s := sel.state(id)
	s.inFlight++
}

// End records the outcome of a request that was sent to an upstream.
func (sel *Selector) End(now time.Duration, id identifier.Incarnation, outcome Outcome) {
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

// Blocked reports whether an upstream is not selected because it was unreachable, and for how much longer.
func (sel *Selector) Blocked(now time.Duration, id identifier.Incarnation) (time.Duration, bool) {
	s := sel.states[id]
	if s == nil || now >= s.blockedUntil {
		return 0, false
	}
	return s.blockedUntil - now, true
}

// ReportAge returns the age of the last load report of an upstream, or 0 if there is none.
func (sel *Selector) ReportAge(now time.Duration, id identifier.Incarnation) time.Duration {
	if s := sel.states[id]; s != nil && s.reportedAt > 0 {
		return now - s.reportedAt
	}
	return 0
}

// Block excludes an upstream from the selection for suspicionTime, because other hosts cannot reach it.
func (sel *Selector) Block(now time.Duration, id identifier.Incarnation) {
	s := sel.state(id)
	s.blockedUntil = max(s.blockedUntil, now+suspicionTime)
}

// Unblock makes an upstream selectable again after this host has reached it.
func (sel *Selector) Unblock(id identifier.Incarnation) {
	s := sel.state(id)
	s.blockedUntil, s.backoff = 0, 0
}

// InFlight returns the number of requests that this host has in flight at an upstream.
func (sel *Selector) InFlight(id identifier.Incarnation) int {
	if s := sel.states[id]; s != nil {
		return s.inFlight
	}
	return 0
}

// Pick returns the best of sampleSize random candidates of a service. It skips blocked candidates and those in
// exclude, and returns false when no candidate is left.
//
// The probability of a candidate is the share of requests that it should get according to its run time. Load reports are
// too old to prefer fast upstreams by the score alone: many hosts would overload them at the same time.
func (sel *Selector) Pick(now time.Duration, service string, candidates []Candidate, exclude map[identifier.Incarnation]bool) (identifier.Incarnation, bool) {
	return sel.PickFromSample(now, service, candidates, exclude, sampleSize)
}

// PickFromSample is Pick with the best of size random candidates, at most sampleSize. With fewer, requests spread better while load reports are older
// than requests take; with more, they find free slots among many busy upstreams.
func (sel *Selector) PickFromSample(now time.Duration, service string, candidates []Candidate, exclude map[identifier.Incarnation]bool, size int) (identifier.Incarnation, bool) {
	size = max(1, min(size, sampleSize))
	if at, ok := sel.weightsAt[service]; !ok || now >= at+weightInterval {
		sel.weightsAt[service] = now
		sel.setWeights(now, candidates)
	}
	var sample [sampleSize]Candidate
	var ranks [sampleSize]float64 // ascending
	count := 0
	for _, c := range candidates {
		if exclude[c.Incarnation] {
			continue
		}
		if _, blocked := sel.Blocked(now, c.Incarnation); blocked {
			continue
		}
		// The smallest of exponentially distributed ranks are a weighted sample without replacement.
		weight := sel.state(c.Incarnation).weight
		if weight == 0 {
			weight = 1 // a candidate that is newer than the last calculation
		}
		if !c.Remote {
			weight *= localPreference
		}
		rank := sel.random.ExpFloat64() / weight
		i := count
		for ; i > 0 && rank < ranks[i-1]; i-- {
			if i < size {
				sample[i], ranks[i] = sample[i-1], ranks[i-1]
			}
		}
		if i < size {
			sample[i], ranks[i] = c, rank
			count = min(count+1, size)
		}
	}
	best, bestScore := identifier.Incarnation{}, math.Inf(1)
	for _, c := range sample[:count] {
		if score := sel.score(now, c); score < bestScore {
			best, bestScore = c.Incarnation, score
		}
	}
	return best, !best.IsZero()
}

// maxLoadAge is the age up to which a load report counts in Load.
const maxLoadAge = 2 * time.Second

// maxFailureShare is the share of failed requests above which a candidate does not count as usable.
const maxFailureShare = 0.25

// Usable reports whether a candidate is reachable and answers most requests. The load reports of one that fails them show free
// slots.
func (sel *Selector) Usable(now time.Duration, c Candidate) bool {
	_, blocked := sel.Blocked(now, c.Incarnation)
	return !blocked && sel.state(c.Incarnation).failureShare(now) <= maxFailureShare
}

// Load returns the number of requests at a candidate, running or waiting, in its last load report, and its expected run time.
// reported is false without a recent report. Unlike Estimate, it does not replace an old report by a mean: sums over many
// candidates would then be those of other services.
func (sel *Selector) Load(now time.Duration, c Candidate) (occupied float64, runTime time.Duration, reported bool) {
	s := sel.state(c.Incarnation)
	runTime = time.Duration(float64(sel.runTime(s)) * sel.meanSlowdown)
	if s.reportedAt == 0 || now-s.reportedAt > maxLoadAge {
		return 0, runTime, false
	}
	return float64(s.load.Running + s.load.Waiting), runTime, true
}

// Excess returns by how much the response time of a request at a candidate is expected to exceed the usual run time there, with a
// penalty for its failures, and the usual run time. Pick selects the least excess.
func (sel *Selector) Excess(now time.Duration, c Candidate) (excess, usual time.Duration) {
	c.Remote = false
	return time.Duration(sel.score(now, c)), sel.runTime(sel.state(c.Incarnation))
}

// setWeights sets the weights of candidates to their target rates, relative to the mean.
func (sel *Selector) setWeights(now time.Duration, candidates []Candidate) {
	sel.setUsualRunTimes(candidates)
	servers := make([]rebalancer.Server, len(candidates))
	rate := 0.0
	for i, c := range candidates {
		s := sel.state(c.Incarnation)
		run := sel.runTime(s).Seconds() * sel.meanSlowdown
		servers[i] = rebalancer.Server{Slots: float64(max(c.Slots, 1)), RunTime: run}
		rate += min(sel.occupied(now, s, c.Slots), servers[i].Slots) / run
	}
	for i, target := range rebalancer.TargetRates(servers, rate) {
		sel.state(candidates[i].Incarnation).weight = target * float64(len(candidates)) / max(rate, 1e-9)
	}
}

// Refresh sets the usual run time of upstreams of a service that have no measurements, for services whose requests are not
// distributed by Pick. It calls candidates only when weightInterval has passed since the last time.
func (sel *Selector) Refresh(now time.Duration, service string, candidates func() []Candidate) {
	if at, ok := sel.weightsAt[service]; !ok || now >= at+weightInterval {
		sel.weightsAt[service] = now
		sel.setUsualRunTimes(candidates())
	}
}

// setUsualRunTimes sets the mean of the measured run times for candidates without measurements. Otherwise a new upstream
// of a slow service would look faster than all others, and all hosts would prefer it.
func (sel *Selector) setUsualRunTimes(candidates []Candidate) {
	var unknown []*state
	sum, known := time.Duration(0), 0
	for _, c := range candidates {
		s := sel.state(c.Incarnation)
		if s.runTime == 0 && s.sharedRunTime == 0 {
			unknown = append(unknown, s)
			continue
		}
		sum += sel.runTime(s)
		known++
	}
	if known == 0 {
		return
	}
	for _, s := range unknown {
		s.usualRunTime = sum / time.Duration(known)
	}
}

// score returns the cost of a request at a candidate, in nanoseconds. The usual run time is not part of it, because it
// determines the probability of the candidate.
func (sel *Selector) score(now time.Duration, c Candidate) float64 {
	s := sel.state(c.Incarnation)
	e := sel.Estimate(now, c.Incarnation, c.Slots)
	usual := float64(sel.runTime(s))
	score := float64(e.Total()) - usual
	score += failurePenalty * s.failureShare(now) * float64(e.Total())
	if c.Remote {
		score += remoteCost * usual
	}
	return score
}
