// Package rebalancer divides ranges of numeric keys among upstreams by the load of each key.
//
// It handles two cases: hot spots, in which a few adjacent keys get a large part of all requests, and upstreams with
// different run times. Load moves to where one more request adds the least to the total response time, so fast upstreams
// get a higher utilization than slow ones.
//
// # Usage
//
//	plan := rebalancer.New(&load, period)
//	plan.AddTarget(rebalancer.Target{ID: "a", Slots: 6})
//	plan.AddRange(0, 65535, "a", true)
//	for _, assignment := range plan.Rebalance() { ... }
//
// The load of a key is its number of requests, decayed with a time constant of period seconds. Load divided by period
// is a rate in requests per second. A Plan is not safe for concurrent use.
package rebalancer

import (
	"math"
	"sort"
	"time"
)

// Thresholds and limits of moves.
const (
	// minCostRatio is the minimum ratio of the cost of one more request at two upstreams from which load is moved. Each
	// move interrupts requests.
	minCostRatio = 1.25
	// imbalanceRatio is the minimum ratio of an upstream's load to its target load from which load is moved away from it.
	imbalanceRatio = 1.2
	// noiseDeviations is the number of standard deviations of the request count by which load must exceed its target.
	noiseDeviations = 1.5
	// minCapacityGain is the minimum ratio of the capacities of two upstreams from which a hot key moves to the faster one.
	minCapacityGain = 1.3
	// minMoveLimit limits the moves of one call of Rebalance. With more upstreams than that, their number is the limit.
	minMoveLimit = 32
	// maxAssignments limits the parts into which Divide splits a range.
	maxAssignments = 8
	// assignmentLoadRatio is the load of such a part, relative to the mean load of an upstream.
	assignmentLoadRatio = 0.3
	// coldRateShare is the fraction of MaxRate that is planned for a cold upstream.
	coldRateShare = 0.5
	// baseLoadShare is the fraction of the total load that is added evenly to all keys, so that idle ranges are divided by
	// width.
	baseLoadShare = 0.02
	// defaultRunTime is the assumed mean run time if no upstream has been measured.
	defaultRunTime = 300 * time.Millisecond
)

const keySpace = 1 << 16

// Target is an upstream that can own keys.
type Target struct {
	ID      string
	Slots   float64
	RunTime time.Duration // mean run time of a request; 0: unknown
	MaxRate float64       // limit in requests per second, of a cold upstream; 0: limited by its slots only
}

// Assignment is an inclusive range of keys with its new owner.
type Assignment struct {
	From, To uint16
	Owner    string
}

// RunTimeAverage is a moving average of the run times of requests at an upstream.
type RunTimeAverage struct {
	Samples int // since the start
	Mean    time.Duration
	weight  float64 // of the earlier samples, decayed
	at      time.Duration
}

const (
	// averageDecayTime is the time constant with which samples lose their weight. Machines of upstreams are slowed down by
	// their neighbours for some tenths of a second at a time, and the average has to cover many such phases.
	averageDecayTime = 10 * time.Second
	// minAverageWeight is the weight that earlier samples keep, in samples, so that a single one does not replace them.
	minAverageWeight = 20
)

// Observe adds count requests with a total run time of sum that were measured by now.
func (s *RunTimeAverage) Observe(now time.Duration, count int, sum time.Duration) {
	if count <= 0 {
		return
	}
	decayed := s.weight * math.Exp(-float64(max(0, now-s.at))/float64(averageDecayTime))
	weight := max(decayed, min(s.weight, minAverageWeight))
	s.Mean = time.Duration((weight*float64(s.Mean) + float64(sum)) / (weight + float64(count)))
	s.weight = weight + float64(count)
	s.at = now
	s.Samples += count
}

type target struct {
	Target
	server     Server
	capacity   float64 // requests in the period of the plan
	load       float64
	targetLoad float64
	ranges     int
}

// excess is the load beyond the target load. It is negative if the upstream should get more load.
func (t *target) excess() float64 { return t.load - t.targetLoad }

type span struct {
	from, to int
	owner    *target
	movable  bool
	load     float64
}

// Plan is the input and the state of one calculation.
type Plan struct {
	load     *[keySpace]float32
	period   float64 // seconds
	baseLoad float64 // added to the load of each key
	targets  []*target
	byID     map[string]*target
	spans    []*span
}

// New returns a plan without targets. period is the time constant of load, in seconds. load must not change while the
// plan is in use.
func New(load *[keySpace]float32, period float64) *Plan {
	total := 0.0
	for _, value := range load {
		total += float64(value)
	}
	return &Plan{load: load, period: period, baseLoad: (total + 1) * baseLoadShare / keySpace, byID: map[string]*target{}}
}

// AddTarget adds an upstream. All targets must be added before the ranges.
func (p *Plan) AddTarget(t Target) {
	added := &target{Target: t}
	p.targets = append(p.targets, added)
	p.byID[t.ID] = added
}

// AddRange adds a range with its current owner, which need not be a target. Rebalance only moves movable ranges.
func (p *Plan) AddRange(from, to uint16, owner string, movable bool) {
	s := &span{from: int(from), to: int(to), owner: p.byID[owner], movable: movable}
	s.load = p.sum(s.from, s.to)
	if s.owner != nil {
		s.owner.load += s.load
		s.owner.ranges++
	}
	p.spans = append(p.spans, s)
}

func (p *Plan) loadOf(key int) float64 { return float64(p.load[key]) + p.baseLoad }

func (p *Plan) sum(from, to int) float64 {
	total := 0.0
	for key := from; key <= to; key++ {
		total += float64(p.load[key])
	}
	return total + p.baseLoad*float64(to-from+1)
}

// setCapacities sets the capacity of each target. A target without a measured run time gets the mean of the others.
func (p *Plan) setCapacities() {
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
	known, sum := 0, time.Duration(0)
	for _, t := range p.targets {
		if t.RunTime > 0 {
			known++
			sum += t.RunTime
		}
	}
	average := defaultRunTime
	if known > 0 {
		average = sum / time.Duration(known)
	}
	for _, t := range p.targets {
		runTime := t.RunTime
		if runTime == 0 {
			runTime = average
		}
		t.server = Server{Slots: max(t.Slots, 1), RunTime: runTime.Seconds()}
		t.capacity = t.server.capacity() * p.period
		if t.MaxRate > 0 {
			t.capacity = min(t.capacity, t.MaxRate*coldRateShare*p.period)
		}
	}
}

// meanUtilization returns the utilization that all targets would have if the load were balanced.
func (p *Plan) meanUtilization() float64 {
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

// Divide returns new owners for a range that loses its owner. The assignments cover the range in key order. Without
// targets, it returns nil.
func (p *Plan) Divide(from, to uint16) []Assignment {
	p.setCapacities()
	if len(p.targets) == 0 {
		return nil
	}
	load := p.sum(int(from), int(to))
	total := 0.0
	for _, s := range p.spans {
		total += s.load
	}
	meanLoad := total / float64(len(p.targets))
	count := int(math.Ceil(load / (meanLoad * assignmentLoadRatio)))
	count = max(1, min(count, maxAssignments, len(p.targets), int(to)-int(from)+1))
	var parts []Assignment
	start := int(from)
	for i := range count {
		end := int(to)
		if i < count-1 {
			end = p.endOfLoad(start, int(to)-(count-1-i), load/float64(count))
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

// endOfLoad returns the last key of the shortest range that begins at start and has at least the given load. The result
// is at most limit.
func (p *Plan) endOfLoad(start, limit int, load float64) int {
	sum := 0.0
	for key := start; key < limit; key++ {
		sum += p.loadOf(key)
		if sum >= load {
			return key
		}
	}
	return limit
}

func (p *Plan) leastLoaded(extra float64) *target {
	var best *target
	for _, t := range p.targets {
		if best == nil || t.cost(t.load+extra) < best.cost(best.load+extra) {
			best = t
		}
	}
	return best
}

// Rebalance returns moves that bring the upstreams to their target loads, the most effective ones first.
func (p *Plan) Rebalance() []Assignment {
	p.setCapacities()
	p.setTargetLoads()
	parts := p.moveHotKeys()
	exhausted := map[*target]bool{}
	for len(parts) < max(minMoveLimit, len(p.targets)) {
		part, ok := p.nextMove(exhausted)
		if !ok {
			break
		}
		if part.Owner != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// nextMove returns the next move. It returns false when none is needed or possible. An Assignment without an owner
// means that the search continues, because the chosen range cannot be moved.
func (p *Plan) nextMove(exhausted map[*target]bool) (Assignment, bool) {
	high, low := p.source(exhausted), p.destination()
	if high == nil || low == nil || high == low {
		return Assignment{}, false
	}
	excess, headroom := high.excess(), -low.excess()
	amount := min(excess, headroom)
	if low.ranges == 0 && low.MaxRate == 0 {
		amount = min(headroom, high.load/2)
	} else if high.cost(high.load) < minCostRatio*low.cost(low.load) || high.load < imbalanceRatio*high.targetLoad ||
		excess < noise(high, low)*math.Sqrt(high.load) {
		exhausted[high] = true
		return Assignment{}, true
	}
	if amount <= 0 {
		return Assignment{}, false
	}
	part, ok := p.moveLoad(high, low, amount)
	if !ok {
		exhausted[high] = true
		return Assignment{}, true
	}
	return part, true
}

// noise returns the number of standard deviations by which the load of high must exceed its target. The faster low is in
// comparison, the more a move gains, and the more often it may turn out to be needless.
func noise(high, low *target) float64 {
	return noiseDeviations / max(1, high.server.RunTime/low.server.RunTime)
}

// source returns the upstream whose load is the furthest above its target load, relative to its capacity.
func (p *Plan) source(exhausted map[*target]bool) *target {
	var best *target
	for _, t := range p.targets {
		if !exhausted[t] && t.ranges > 0 && (best == nil || t.excess()/t.capacity > best.excess()/best.capacity) {
			best = t
		}
	}
	return best
}

// destination returns the upstream whose load is the furthest below its target load, relative to its capacity.
func (p *Plan) destination() *target {
	var best *target
	for _, t := range p.targets {
		if best == nil || t.excess()/t.capacity < best.excess()/best.capacity {
			best = t
		}
	}
	return best
}

// moveLoad moves the first keys of the most loaded movable range of high, with about the given load, to low.
func (p *Plan) moveLoad(high, low *target, amount float64) (Assignment, bool) {
	var source *span
	for _, s := range p.spans {
		if s.owner == high && s.movable && (source == nil || s.load > source.load) {
			source = s
		}
	}
	if source == nil {
		return Assignment{}, false
	}
	end := p.endOfLoad(source.from, source.to, amount)
	moved := p.sum(source.from, end)
	// A single hot key may have more load than the other upstream has headroom for. Moving it would only move the
	// overload, so it stays and later moves take the keys behind it.
	if low.excess()+moved > high.excess()-moved && moved > 2*amount {
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
