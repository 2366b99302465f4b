package drainer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// HeadroomFactor is the required capacity relative to the demand. With retries, which the retry budget limits, a
// service receives up to 1.1 times the offered requests.
const HeadroomFactor = 1.1

// Shortfall describes a service whose demand exceeds the available capacity.
type Shortfall struct {
	Service   string
	Needed    int // slots for the demand times HeadroomFactor
	Available int // slots outside the failure domain; cold upstreams count with their current capacity
}

// Missing returns the number of additional slots that the service needs.
func (s Shortfall) Missing() int {
	return s.Needed - s.Available
}

// Shortfalls returns the services whose demand exceeds the capacity that remains without the given failure domain and
// the domains that are already out of service, sorted by name. A service without demand is never included.
func (d *Drainer) Shortfalls(status Status, domain string) []Shortfall {
	available := map[string]int{}
	for _, upstream := range status.Upstreams {
		if upstream.Serving && upstream.FailureDomain != domain && !d.IsOut(upstream.FailureDomain) {
			available[upstream.Service] += min(upstream.Capacity, upstream.Slots)
		}
	}
	var shortfalls []Shortfall
	for _, service := range slices.Sorted(maps.Keys(status.Demand)) {
		// The product may be slightly above an integer because of rounding, which would add a slot.
		needed := int(math.Ceil(status.Demand[service]*HeadroomFactor - 1e-9))
		if needed > available[service] {
			shortfalls = append(shortfalls, Shortfall{Service: service, Needed: needed, Available: available[service]})
		}
	}
	return shortfalls
}

func formatShortfalls(shortfalls []Shortfall) string {
	var parts []string
	for _, s := range shortfalls {
		parts = append(parts, fmt.Sprintf("service %q lacks %d slots (%d needed, %d available)", s.Service, s.Missing(),
			s.Needed, s.Available))
	}
	return strings.Join(parts, ", ")
}

// MoveTiming contains the parameters from which the duration of a drain is estimated.
type MoveTiming struct {
	ParallelMoves int           // concurrent moves of one service
	MoveDuration  time.Duration // duration of one move
	RampDuration  time.Duration // time until a cold upstream is warm
	Margin        time.Duration // additional time for admissions and slower moves
}

// DefaultMoveTiming is based on these durations:
//   - A move waits 1 s for requests in flight. Revoking, committing and granting take another 0.5 s.
//   - A cold upstream with 6 slots must complete 25 requests successfully at each of 5 levels. This takes 57 request
//     times if all slots are in use, so 30 s is sufficient for request times of up to 0.5 s.
//   - An admission lease lasts 1.5 s, and a move waits for never-repeat requests until their deadline. Margin
//     covers both.
var DefaultMoveTiming = MoveTiming{ParallelMoves: 4, MoveDuration: 1500 * time.Millisecond,
	RampDuration: 30 * time.Second, Margin: time.Minute}

// LeadTime returns the estimated time to drain the failure domain. Services move their slices concurrently. If an
// upstream outside the domain is cold, RampDuration is added, because it can receive its share of the slices only when
// it is warm.
func (d *Drainer) LeadTime(status Status, domain string) time.Duration {
	count := map[string]int{}
	lead := d.timing.Margin
	cold := false
	for _, upstream := range status.Upstreams {
		if upstream.FailureDomain == domain {
			count[upstream.Service] += upstream.Slices
			continue
		}
		cold = cold || upstream.Serving && upstream.Capacity < upstream.Slots
	}
	if cold {
		lead += d.timing.RampDuration
	}
	rounds := 0
	for _, moves := range count {
		rounds = max(rounds, (moves+d.timing.ParallelMoves-1)/d.timing.ParallelMoves)
	}
	return lead + time.Duration(rounds)*d.timing.MoveDuration
}
