// Package profiler measures the run times of upstreams from the reports of all hosts, and decides which of them hosts
// need to receive.
//
// In a fleet of hundreds of upstreams, one host sends a request to each of them only every few tens of seconds. Its own
// measurements would come too late to prefer fast upstreams, so hosts share them through the controller.
//
// # Usage
//
//	p := profiler.New()
//	p.Observe(now, incarnation, 3, 900*time.Millisecond)
//	for id, mean := range p.TakeChanges() { ... } // to all hosts
//	for id, mean := range p.All() { ... }         // to a host that has just connected
//
// A Profiler is not safe for concurrent use.
package profiler

import (
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/rebalancer"
)

const (
	// minSamples is the number of requests from which a mean is sent to hosts.
	minSamples = 5
	// minChange is the change of a mean, as a share of the mean sent last, from which it is sent again.
	minChange = 0.15
)

type profile struct {
	average rebalancer.RunTimeAverage
	sent    time.Duration // mean that hosts have; 0: none
}

// Profiler holds the mean run time of each upstream.
type Profiler struct {
	profiles map[identifier.Incarnation]*profile
}

// New returns a Profiler without measurements.
func New() *Profiler { return &Profiler{profiles: map[identifier.Incarnation]*profile{}} }

// Observe adds count requests with a total run time of sum that were measured by now.
func (p *Profiler) Observe(now time.Duration, upstream identifier.Incarnation, count int, sum time.Duration) {
	known := p.profiles[upstream]
	if known == nil {
		known = &profile{}
		p.profiles[upstream] = known
	}
	known.average.Observe(now, count, sum)
}

// TakeChanges returns the means that have changed noticeably since they were last returned, by upstream.
func (p *Profiler) TakeChanges() map[identifier.Incarnation]time.Duration {
	changes := map[identifier.Incarnation]time.Duration{}
	for id, known := range p.profiles {
		mean := known.average.Mean
		difference := (mean - known.sent).Abs()
		if known.average.Samples < minSamples || float64(difference) < minChange*float64(known.sent) {
			continue
		}
		known.sent = mean
		changes[id] = mean
	}
	return changes
}

// All returns the means that TakeChanges has returned last, by upstream.
func (p *Profiler) All() map[identifier.Incarnation]time.Duration {
	all := map[identifier.Incarnation]time.Duration{}
	for id, known := range p.profiles {
		if known.sent > 0 {
			all[id] = known.sent
		}
	}
	return all
}

// Forget removes the upstreams for which keep returns false.
func (p *Profiler) Forget(keep func(identifier.Incarnation) bool) {
	for id := range p.profiles {
		if !keep(id) {
			delete(p.profiles, id)
		}
	}
}
