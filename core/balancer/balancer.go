// Package balancer chooses among the upstreams of a service that is not partitioned by key.
//
// Decisions are based on the observations of this host: requests in flight and their age, latencies, failures and sheds.
// The weight of a load report decays with its age, and a report can only add to the load that the host observes itself:
//
//   - A report of low load has little effect while the upstream is slow. The host compares the observed latency with the
//     latencies of the other upstreams and lowers its confidence in reports that contradict it. The less confidence, the
//     more the mean load of all upstreams is used instead.
//   - Reports contain no health state. An upstream that fails requests or sheds them receives a lower share and is
//     ejected, based on the host's own requests.
//
// Two upstreams are drawn at random and the one with the lower cost is taken (power of two choices), so that the hosts
// do not all choose the same upstream. Stragglers are ejected, within a maximum share of all upstreams and of those in
// one failure domain. When its ejection has expired, an upstream receives one request as a probe.
//
// # Usage
//
//	choices := balancer.New(balancer.Options{Seed: seed})
//	choices.SetTargets(now, targets)
//	attempt, ok := choices.Pick(now, class, nil)
//	if delay, ok := choices.HedgeAfter(now, attempt); ok {
//		// after delay without a response: hedge, ok := choices.Hedge(now, attempt)
//	}
//	cancel, ok := choices.Observe(now, balancer.Ended{Attempt: attempt, Outcome: balancer.Succeeded})
package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// Defaults of Options.
const (
	DefaultHedgeShare       = 0.05
	DefaultEjectShare       = 1.0 / 3
	DefaultDomainEjectShare = 0.5
)

// Options configures a Balancer. Zero values select the defaults.
type Options struct {
	Seed             uint64
	HedgeShare       float64 // maximum number of hedges per request
	EjectShare       float64 // maximum share of all upstreams that are ejected at once
	DomainEjectShare float64 // maximum share of the upstreams of one failure domain that are ejected at once
}

// Target is an upstream that may be chosen.
type Target struct {
	Name          string
	FailureDomain string
	Slots         int
	Cold          bool // its limit is still rising
	Drained       bool // receives no new requests
}

// Attempt is one request sent to a chosen upstream. Its end must be passed to Observe.
type Attempt struct {
	ID       uint64
	Upstream string
	Class    configurator.Class
}

// Outcome is the end of an attempt.
type Outcome int

// Outcomes.
const (
	Succeeded Outcome = iota
	Failed            // error, broken connection or time-out
	Shed              // rejected by the upstream without running it, because of overload
	Cancelled         // by the caller, or as the loser of a hedge
)

// Ended reports the end of an attempt.
type Ended struct {
	Attempt Attempt
	Outcome Outcome
}

// Reported carries a load report of an upstream.
type Reported struct {
	Upstream string
	InFlight int
	Age      time.Duration // since the report was made
}

// Balancer chooses upstreams for one service on one host. It is not safe for concurrent use.
type Balancer struct {
	options     Options
	random      *rand.Rand
	targets     []*target
	byName      map[string]*target
	attempts    map[uint64]attempt
	nextID      uint64
	hedgeBudget float64 // number of hedges that may be sent
	successRate float64 // share of successes among the recent attempts of all upstreams
	latency     histogram
	checkedAt   time.Duration
	eligible    []*target // reused by draw
}

type attempt struct {
	target *target
	start  time.Duration
	pair   uint64 // ID of the other attempt of a hedged request, 0 if there is none
}

// New returns a balancer without upstreams.
func New(options Options) *Balancer {
	if options.HedgeShare == 0 {
		options.HedgeShare = DefaultHedgeShare
	}
	if options.EjectShare == 0 {
		options.EjectShare = DefaultEjectShare
	}
	if options.DomainEjectShare == 0 {
		options.DomainEjectShare = DefaultDomainEjectShare
	}
	return &Balancer{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		byName:      map[string]*target{},
		attempts:    map[uint64]attempt{},
		successRate: 1,
	}
}

// SetTargets replaces the list of upstreams. Observations of upstreams in both lists are kept.
func (b *Balancer) SetTargets(now time.Duration, targets []Target) {
	known := b.byName
	b.byName = make(map[string]*target, len(targets))
	b.targets = b.targets[:0]
	for _, settings := range targets {
		t, ok := known[settings.Name]
		if !ok {
			t = newTarget(now)
		}
		t.Target = settings
		t.Slots = max(t.Slots, 1)
		b.byName[settings.Name] = t
		b.targets = append(b.targets, t)
	}
}

// Pick chooses an upstream and starts an attempt. It reports false if all upstreams are drained or excluded. Ejected
// upstreams are chosen if no other one is left.
func (b *Balancer) Pick(now time.Duration, class configurator.Class, exclude []string) (Attempt, bool) {
	b.ejectStragglers(now)
	b.hedgeBudget = min(b.hedgeBudget+b.options.HedgeShare, maxHedgeBudget)
	chosen := b.choose(now, class, exclude)
	if chosen == nil {
		return Attempt{}, false
	}
	return b.begin(now, chosen, class, 0), true
}

func (b *Balancer) begin(now time.Duration, chosen *target, class configurator.Class, pair uint64) Attempt {
	b.nextID++
	b.attempts[b.nextID] = attempt{target: chosen, start: now, pair: pair}
	chosen.pending = append(chosen.pending, pending{id: b.nextID, start: now})
	return Attempt{ID: b.nextID, Upstream: chosen.Name, Class: class}
}

func (b *Balancer) choose(now time.Duration, class configurator.Class, exclude []string) *target {
	if probe := b.probe(now, class, exclude); probe != nil {
		return probe
	}
	if chosen := b.draw(now, func(t *target) bool {
		return !t.Drained && !t.ejected && !slices.Contains(exclude, t.Name)
	}); chosen != nil {
		return chosen
	}
	return b.draw(now, func(t *target) bool { return !t.Drained && !slices.Contains(exclude, t.Name) })
}

// probe returns an upstream whose ejection has expired. Requests that are never repeated cannot be hedged, so they serve
// as probes only if no other request did so within maxEjection after the expiry.
func (b *Balancer) probe(now time.Duration, class configurator.Class, exclude []string) *target {
	if class == configurator.NeverRepeat {
		now -= maxEjection
	}
	for _, t := range b.targets {
		if t.ejected && now >= t.ejectedUntil && len(t.pending) == 0 && !t.Drained && !slices.Contains(exclude, t.Name) {
			return t
		}
	}
	return nil
}

// draw returns the better of two random upstreams among those that are eligible.
func (b *Balancer) draw(now time.Duration, eligible func(*target) bool) *target {
	b.eligible = b.eligible[:0]
	for _, t := range b.targets {
		if eligible(t) {
			b.eligible = append(b.eligible, t)
		}
	}
	switch count := len(b.eligible); count {
	case 0:
		return nil
	case 1:
		return b.eligible[0]
	default:
		first := b.random.IntN(count)
		second := b.random.IntN(count - 1)
		if second >= first {
			second++
		}
		return b.better(now, b.eligible[first], b.eligible[second])
	}
}

func (b *Balancer) better(now time.Duration, first, second *target) *target {
	if b.cost(now, second) < b.cost(now, first) {
		return second
	}
	return first
}

// cost estimates the time in nanoseconds that a further request takes at t. Failures raise it, because they cause
// retries.
func (b *Balancer) cost(now time.Duration, t *target) float64 {
	latency := max(b.expected(now, t), float64(t.oldest(now)))
	slots := float64(t.Slots)
	if t.Cold {
		slots = 1
	}
	load := float64(len(t.pending)) + t.reported(now, b.meanReported(now, t)) + 1
	return max(latency, 1) * math.Max(load/slots, 0.5+load/slots/2) / max(t.successRate*t.successRate, minSuccessRate)
}

// expected returns the mean latency of t, weighted with the mean of all upstreams. The weight of old observations
// decays, so that an upstream that was slow is used again.
func (b *Balancer) expected(now time.Duration, t *target) float64 {
	count := t.latency.count(now)
	return (float64(t.latency.mean())*count + float64(b.latency.mean())) / (count + 1)
}

// meanReported returns the mean reported load of all upstreams, which replaces reports without confidence.
func (b *Balancer) meanReported(now time.Duration, candidate *target) float64 {
	if candidate.confidence == 1 {
		return 0
	}
	sum := 0.0
	for _, t := range b.targets {
		sum += float64(t.report) * t.reportWeight(now)
	}
	return sum / float64(len(b.targets))
}

// Observe applies the end of an attempt. If a hedged request has succeeded, it returns the other attempt. The caller
// must cancel that one and pass its end to Observe with Cancelled.
func (b *Balancer) Observe(now time.Duration, ended Ended) (Attempt, bool) {
	known, ok := b.attempts[ended.Attempt.ID]
	if !ok {
		return Attempt{}, false
	}
	delete(b.attempts, ended.Attempt.ID)
	known.target.end(ended.Attempt.ID)
	b.record(now, known, ended.Outcome)
	loser, ok := b.attempts[known.pair]
	if !ok || ended.Outcome != Succeeded {
		return Attempt{}, false
	}
	return Attempt{ID: known.pair, Upstream: loser.target.Name, Class: ended.Attempt.Class}, true
}

func (b *Balancer) record(now time.Duration, known attempt, outcome Outcome) {
	latency := now - known.start
	t := known.target
	switch outcome {
	case Succeeded:
		t.latency.add(now, latency)
		b.latency.add(now, latency)
		t.succeed(true)
		b.successRate += (1 - b.successRate) / successWindow
		b.finishProbe(now, t, latency)
	case Failed, Shed:
		t.succeed(false)
		b.successRate -= b.successRate / successWindow
		if t.ejected {
			t.eject(now)
		}
	case Cancelled:
		// The request would have taken at least this long. This says something about the upstream only if it exceeds
		// the mean.
		if latency > t.latency.mean() {
			t.latency.add(now, latency)
		}
		if t.ejected && now >= t.ejectedUntil {
			t.eject(now) // the hedge of the probe was faster
		}
	}
}

// finishProbe ends the ejection of an upstream that responded to its probe, or renews it if the response was slow.
func (b *Balancer) finishProbe(now time.Duration, t *target, latency time.Duration) {
	if !t.ejected || now < t.ejectedUntil {
		return
	}
	if latency > stragglerFactor*b.latency.quantile(0.5) {
		t.eject(now)
		return
	}
	t.restore()
}

// Report applies a load report. Reports of unknown upstreams, and reports older than the latest one, are ignored.
func (b *Balancer) Report(now time.Duration, reported Reported) {
	t, ok := b.byName[reported.Upstream]
	if !ok || now-reported.Age < t.reportedAt {
		return
	}
	t.report = reported.InFlight
	t.reportedAt = now - reported.Age
}
