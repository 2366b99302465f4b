package drainer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// HeadroomFactor is the part of the demand that must be available. The retry budget lets a service send up to 1.1 times the
// requests that are offered.
const HeadroomFactor = 1.1

// Shortfall is the capacity that a service lacks.
type Shortfall struct {
	Service   string
	Needed    int // slots for the demand with Headroom
	Available int // slots outside the failure domain, cold upstreams at their present capacity
}

// Missing returns the number of slots that the service lacks.
func (s Shortfall) Missing() int {
	return s.Needed - s.Available
}

// Shortfalls returns, by name, the services whose demand exceeds the capacity outside the given failure domain and those
// that are out already. Services without demand never fall short.
func (p *Drainer) Shortfalls(status Status, domain string) []Shortfall {
	available := map[string]int{}
	for _, upstream := range status.Upstreams {
		if upstream.Serving && upstream.FailureDomain != domain && !p.IsOut(upstream.FailureDomain) {
			available[upstream.Service] += min(upstream.Capacity, upstream.Slots)
		}
	}
	var short []Shortfall
	for _, service := range slices.Sorted(maps.Keys(status.Demand)) {
		needed := int(math.Ceil(status.Demand[service]*HeadroomFactor - 1e-9)) // the product may round up past an integer
		if needed > available[service] {
			short = append(short, Shortfall{Service: service, Needed: needed, Available: available[service]})
		}
	}
	return short
}

func describe(shortfalls []Shortfall) string {
	var parts []string
	for _, s := range shortfalls {
		parts = append(parts, fmt.Sprintf("service %q lacks %d slots (%d needed, %d available)", s.Service, s.Missing(),
			s.Needed, s.Available))
	}
	return strings.Join(parts, ", ")
}

// MoveTiming says how fast slices can be moved.
type MoveTiming struct {
	ParallelMoves int           // moves of one service that run at once
	MoveDuration  time.Duration // one move
	RampDuration  time.Duration // time in which a cold upstream becomes warm
	Margin        time.Duration // for admissions and for moves that take longer
}

// DefaultMoveTiming assumes that a move waits 1 s for requests in flight, and that revoking, committing and granting take half
// a second more. A cold upstream with 6 slots needs 25 successes at each of 5 levels, 57 request times in all when every
// slot is used; 30 s covers request times of up to half a second. The margin covers the 1.5 s of an admission lease and
// never-repeat requests, which a move waits for up to their deadline.
var DefaultMoveTiming = MoveTiming{ParallelMoves: 4, MoveDuration: 1500 * time.Millisecond, RampDuration: 30 * time.Second, Margin: time.Minute}

// LeadTime returns the time that emptying the failure domain takes. Services move their slices side by side. If an upstream
// outside the domain is cold, its ramp is added, since it takes its part of the slices only then.
func (p *Drainer) LeadTime(status Status, domain string) time.Duration {
	count := map[string]int{}
	lead := p.pace.Margin
	cold := false
	for _, upstream := range status.Upstreams {
		if upstream.FailureDomain == domain {
			count[upstream.Service] += upstream.Slices
			continue
		}
		cold = cold || upstream.Serving && upstream.Capacity < upstream.Slots
	}
	if cold {
		lead += p.pace.RampDuration
	}
	rounds := 0
	for _, moves := range count {
		rounds = max(rounds, (moves+p.pace.ParallelMoves-1)/p.pace.ParallelMoves)
	}
	return lead + time.Duration(rounds)*p.pace.MoveDuration
}
