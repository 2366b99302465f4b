package rebalancer

import "math"

// Parameters of the target rates.
const (
	// maxModelUtilization is the utilization up to which the queueing model is used. Above it, the relative cost grows
	// linearly, so that overloaded upstreams can still be compared.
	maxModelUtilization = 0.95
	// minRateShare is the smallest target rate of an upstream, relative to a rate in proportion to its capacity. An
	// upstream without requests would have no measurements, and would stay without requests after a slow phase.
	minRateShare = 0.1
	// costSteps is the number of utilizations at which the relative cost is tabulated.
	costSteps = 64
	// bisectionSteps is the number of halvings by which the common cost is found.
	bisectionSteps = 30
)

// relativeCost returns the increase of the total response time by one more request, relative to the run time, at an
// upstream with the given number of slots. It is 1 while no request queues. The queueing time is Sakasegawa's
// approximation for several servers with one queue.
func relativeCost(utilization, slots float64) float64 {
	u := min(utilization, maxModelUtilization)
	exponent := math.Sqrt(2*(slots+1)) - 1
	power := math.Pow(u, exponent)
	wait := power / (slots * (1 - u))
	slope := (exponent*power/max(u, 1e-9)*(1-u) + power) / (slots * (1 - u) * (1 - u))
	cost := 1 + wait + u*slope
	return cost + max(0, utilization-maxModelUtilization)*cost/(1-maxModelUtilization)
}

// Wait returns the mean queueing time relative to the run time at an upstream with the given number of slots, by the same
// approximation. Above maxModelUtilization it grows as fast as a queue with the same number of requests for each slot.
func Wait(utilization, slots float64) float64 {
	u := min(max(0, utilization), maxModelUtilization)
	return math.Pow(u, math.Sqrt(2*(slots+1))-1)/(slots*(1-u)) + max(0, utilization-maxModelUtilization)
}

// costTable holds relativeCost for utilizations from 0 to maxModelUtilization.
type costTable [costSteps + 1]float64

func newCostTable(slots float64) *costTable {
	var table costTable
	for i := range table {
		table[i] = relativeCost(float64(i)*maxModelUtilization/costSteps, slots)
	}
	return &table
}

// utilization returns the highest utilization at which the relative cost is at most cost.
func (c *costTable) utilization(cost float64) float64 {
	if cost <= c[0] {
		return 0
	}
	if last := c[costSteps]; cost >= last {
		return maxModelUtilization + (cost-last)/last*(1-maxModelUtilization)
	}
	low, high := 0, costSteps
	for high-low > 1 {
		if middle := (low + high) / 2; c[middle] <= cost {
			low = middle
		} else {
			high = middle
		}
	}
	part := (cost - c[low]) / (c[high] - c[low])
	return (float64(low) + part) * maxModelUtilization / costSteps
}

// Server is an upstream in the queueing model.
type Server struct {
	Slots   float64
	RunTime float64 // mean run time of a request in seconds
}

// capacity returns the requests per second that the slots can process.
func (s Server) capacity() float64 { return s.Slots / s.RunTime }

// TargetRates divides a rate of requests per second among servers, so that one more request costs the same everywhere and
// no other division has a shorter mean response time. Fast servers get a higher utilization than slow ones.
func TargetRates(servers []Server, rate float64) []float64 {
	capacity := 0.0
	for _, s := range servers {
		capacity += s.capacity()
	}
	rates := make([]float64, len(servers))
	if capacity == 0 {
		return rates
	}
	mean := rate / capacity
	tables := map[float64]*costTable{}
	lowest, highest := math.Inf(1), 0.0
	for _, s := range servers {
		if tables[s.Slots] == nil {
			tables[s.Slots] = newCostTable(s.Slots)
		}
		lowest = min(lowest, s.RunTime)
		highest = max(highest, s.RunTime*relativeCost(max(1, 2*mean), s.Slots))
	}
	sum := 0.0
	for range bisectionSteps {
		cost := (lowest + highest) / 2
		sum = 0
		for i, s := range servers {
			rates[i] = s.capacity() * max(minRateShare*mean, tables[s.Slots].utilization(cost/s.RunTime))
			sum += rates[i]
		}
		if sum < rate {
			lowest = cost
		} else {
			highest = cost
		}
	}
	for i := range rates {
		rates[i] *= rate / max(sum, math.SmallestNonzeroFloat64) // the costs are tabulated
	}
	return rates
}

// cost returns the increase of the total response time by one more request, in seconds.
func (t *target) cost(load float64) float64 {
	return t.server.RunTime * relativeCost(load/t.capacity, t.server.Slots)
}

// setTargetLoads sets the target load of each upstream by TargetRates. A cold upstream gets a load in proportion to its
// capacity, because its rate is limited and not its slots.
func (p *Plan) setTargetLoads() {
	mean, rest := p.meanUtilization(), 0.0
	var warm []*target
	var servers []Server
	for _, t := range p.targets {
		rest += t.load
		if t.MaxRate > 0 {
			t.targetLoad = mean * t.capacity
			rest -= t.targetLoad
			continue
		}
		warm = append(warm, t)
		servers = append(servers, t.server)
	}
	for i, rate := range TargetRates(servers, max(0, rest)/p.period) {
		warm[i].targetLoad = rate * p.period
	}
}
