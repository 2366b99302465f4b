// Package leveler divides ranges of numeric keys among upstreams by the load of each key.
//
// It answers two loads: a hot spot, where a few keys next to each other get a large part of all requests, and upstreams
// whose speeds differ, where equal shares overload the slow ones.
//
// # Usage
//
//	plan := leveler.New(&load, timeConstant)
//	plan.AddTarget(leveler.Target{ID: "a", Slots: 6})
//	plan.AddRange(0, 65535, "a", true)
//	for _, part := range plan.Level() { ... }
//
// Load is in requests, decayed with timeConstant in seconds, so load divided by timeConstant is a rate.
package rebalancer

import (
	"math"
	"sort"
	"time"
)

// Thresholds of a correction.
const (
	// busyUtilization is the share of its slots from which an upstream is worth relieving: below it, requests seldom wait.
	busyUtilization = 0.5
	// imbalance is the ratio to the mean utilization from which an upstream is relieved.
	imbalance = 1.2
	// noiseFactor is the number of standard deviations of the request count that an excess must be above the mean.
	noiseFactor = 1.5
	// leastMoves bounds the corrections of one call, or the number of upstreams where that is larger.
	leastMoves = 32
	// maxParts bounds the parts of one range that loses its owner.
	maxParts = 8
	// partShare is the load of such a part, relative to the mean load of an upstream.
	partShare = 0.3
	// coldShare is the part of its rate that is planned for a cold upstream.
	coldShare = 0.5
	// prior is the load that is spread over all keys, as a share of the whole, so that idle ranges are divided by width.
	prior = 0.02
	// defaultTime is the assumed time of a request at an upstream that has not been measured.
	defaultTime = 300 * time.Millisecond
)

const keySpace = 1 << 16

// Target is an upstream that can own keys.
type Target struct {
	ID      string
	Slots   float64
	RunTime time.Duration // mean time of a request in a slot; 0 if unknown
	MaxRate float64       // requests per second that it bears; 0: as many as its slots do
}

// Assignment is a range of keys with its new owner.
type Assignment struct {
	From, To uint16
	Owner    string
}

// RunTimeAverage is a moving mean of the time that requests take at an upstream.
type RunTimeAverage struct {
	Samples int
	Mean    time.Duration
}

// speedWeight bounds the samples that the moving mean remembers.
const speedWeight = 60

// Observe adds count requests that took sum in total.
func (s *RunTimeAverage) Observe(count int, sum time.Duration) {
	if count <= 0 {
		return
	}
	weight := min(s.Samples, speedWeight)
	s.Mean = (s.Mean*time.Duration(weight) + sum) / time.Duration(weight+count)
	s.Samples += count
}

type target struct {
	Target
	capacity float64 // requests per second
	load     float64
	ranges   int
}

type span struct {
	from, to int
	owner    *target
	movable  bool
	load     float64
}

// Plan is the state of one calculation.
type Plan struct {
	load    *[keySpace]float32
	period  float64
	base    float64 // load that is added to each key
	targets []*target
	byID    map[string]*target
	spans   []*span
}

// New returns a plan without targets. period is the time constant of load, in seconds.
func New(load *[keySpace]float32, period float64) *Plan {
	total := 0.0
	for _, value := range load {
		total += float64(value)
	}
	return &Plan{load: load, period: period, base: (total + 1) * prior / keySpace, byID: map[string]*target{}}
}

// AddTarget adds an upstream. All targets are added before the ranges.
func (p *Plan) AddTarget(t Target) {
	added := &target{Target: t}
	p.targets = append(p.targets, added)
	p.byID[t.ID] = added
}

// AddRange adds a range with its present owner, which need not be a target. Only movable ranges are moved by Level.
func (p *Plan) AddRange(from, to uint16, owner string, movable bool) {
	s := &span{from: int(from), to: int(to), owner: p.byID[owner], movable: movable}
	s.load = p.sum(s.from, s.to)
	if s.owner != nil {
		s.owner.load += s.load
		s.owner.ranges++
	}
	p.spans = append(p.spans, s)
}

func (p *Plan) weight(key int) float64 { return float64(p.load[key]) + p.base }

func (p *Plan) sum(from, to int) float64 {
	total := 0.0
	for key := from; key <= to; key++ {
		total += float64(p.load[key])
	}
	return total + p.base*float64(to-from+1)
}

// prepare fills in the capacities once all targets are known.
func (p *Plan) prepare() {
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
	known, sum := 0, time.Duration(0)
	for _, t := range p.targets {
		if t.RunTime > 0 {
			known++
			sum += t.RunTime
		}
	}
	typical := defaultTime
	if known > 0 {
		typical = sum / time.Duration(known)
	}
	for _, t := range p.targets {
		duration := t.RunTime
		if duration == 0 {
			duration = typical
		}
		t.capacity = max(t.Slots, 1) / duration.Seconds() * p.period
		if t.MaxRate > 0 {
			t.capacity = min(t.capacity, t.MaxRate*coldShare*p.period)
		}
	}
}

func (t *target) utilization() float64 { return t.load / t.capacity }

// mean returns the utilization at which all warm targets are equally loaded.
func (p *Plan) mean() float64 {
	load, capacity := 0.0, 0.0
	for _, t := range p.targets {
		load += t.load
		capacity += t.capacity
	}
	if capacity == 0 {
		return 0
	}
	return load / capacity
}

// Divide returns owners for a range that loses its owner. The parts cover the range in order.
func (p *Plan) Divide(from, to uint16) []Assignment {
	p.prepare()
	if len(p.targets) == 0 {
		return nil
	}
	load := p.sum(int(from), int(to))
	total := 0.0
	for _, s := range p.spans {
		total += s.load
	}
	typical := total / float64(len(p.targets))
	count := int(math.Ceil(load / (typical * partShare)))
	count = max(1, min(count, maxParts, len(p.targets), int(to)-int(from)+1))
	var parts []Assignment
	start := int(from)
	for i := range count {
		end := int(to)
		if i < count-1 {
			end = p.reach(start, int(to)-(count-1-i), load/float64(count))
		}
		part := p.sum(start, end)
		owner := p.leastLoaded(part)
		owner.load += part
		owner.ranges++
		if n := len(parts); n > 0 && parts[n-1].Owner == owner.ID {
			parts[n-1].To = uint16(end)
		} else {
			parts = append(parts, Assignment{uint16(start), uint16(end), owner.ID})
		}
		start = end + 1
	}
	return parts
}

// reach returns the last key of the shortest range from start with at least the given load, at most limit.
func (p *Plan) reach(start, limit int, load float64) int {
	sum := 0.0
	for key := start; key < limit; key++ {
		sum += p.weight(key)
		if sum >= load {
			return key
		}
	}
	return limit
}

func (p *Plan) leastLoaded(extra float64) *target {
	var best *target
	for _, t := range p.targets {
		if best == nil || (t.load+extra)/t.capacity < (best.load+extra)/best.capacity {
			best = t
		}
	}
	return best
}

// Rebalance returns corrections of the load, the most urgent first.
func (p *Plan) Rebalance() []Assignment {
	p.prepare()
	var parts []Assignment
	stuck := map[*target]bool{}
	for len(parts) < max(leastMoves, len(p.targets)) {
		part, ok := p.correct(stuck)
		if !ok {
			break
		}
		if part.Owner != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// correct finds one correction. It reports false when none is needed or possible.
func (p *Plan) correct(stuck map[*target]bool) (Assignment, bool) {
	high, low := p.extremes(stuck)
	if high == nil || low == nil || high == low {
		return Assignment{}, false
	}
	mean := p.mean()
	excess := high.load - mean*high.capacity
	empty := low.ranges == 0 && low.MaxRate == 0
	if !empty {
		if high.utilization() < busyUtilization || high.utilization() < imbalance*mean ||
			excess < noiseFactor*math.Sqrt(high.load) {
			return Assignment{}, false
		}
	}
	room := mean*low.capacity - low.load
	amount := min(excess, room)
	if empty {
		amount = min(room, high.load/2)
	}
	if amount <= 0 {
		return Assignment{}, false
	}
	part, ok := p.take(high, low, amount)
	if !ok {
		stuck[high] = true
		return Assignment{}, true
	}
	return part, true
}

func (p *Plan) extremes(stuck map[*target]bool) (high, low *target) {
	for _, t := range p.targets {
		if !stuck[t] && t.ranges > 0 && (high == nil || t.utilization() > high.utilization()) {
			high = t
		}
		if low == nil || t.utilization() < low.utilization() {
			low = t
		}
	}
	return high, low
}

// take cuts a part with about the given load off a range of high and gives it to low.
func (p *Plan) take(high, low *target, amount float64) (Assignment, bool) {
	var source *span
	for _, s := range p.spans {
		if s.owner == high && s.movable && (source == nil || s.load > source.load) {
			source = s
		}
	}
	if source == nil {
		return Assignment{}, false
	}
	end := p.reach(source.from, source.to, amount)
	moved := p.sum(source.from, end)
	// A single hot key may be more than the other upstream has room for.
	if low.load+moved-low.capacity*p.mean() > high.load-moved-high.capacity*p.mean() && moved > 2*amount {
		source.movable = false
		if source.to > end {
			rest := &span{from: end + 1, to: source.to, owner: high, movable: true, load: source.load - moved}
			source.to = end
			source.load = moved
			p.spans = append(p.spans, rest)
			high.ranges++
			return Assignment{}, true
		}
		return Assignment{}, false
	}
	part := Assignment{uint16(source.from), uint16(end), low.ID}
	high.load -= moved
	low.load += moved
	low.ranges++
	p.spans = append(p.spans, &span{from: source.from, to: end, owner: low, load: moved})
	if end == source.to {
		source.owner = low
		source.movable = false
		source.load = 0
		high.ranges--
	} else {
		source.from = end + 1
		source.load -= moved
	}
	return part, true
}
