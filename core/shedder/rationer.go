// Package rationer decides which requests are sent to an upstream that has more to do than it can, and when the others
// may come back.
//
// The load that it answers: an owner of keys, or a whole service, that is asked for more than its slots can do, by a
// burst, a hot key or after the loss of other upstreams. Upstreams serve in the order of arrival. If their queues fill
// up, every answer is late, although the same number of requests is served. A short queue answers as many in time as
// there are slots for. Callers that are turned away come back, and by then their answer is late anyway, so new requests
// go first.
//
// # Usage
//
//	r := rationer.New(seed)
//	verdict := r.Judge(now, rationer.Request{...}, estimate)
//
// A Rationer is not safe for concurrent use. Times are durations since an arbitrary origin.
package shedder

import (
	"math"
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/core/selector"
)

// Shares of the time between the run of a request and its objective that it may spend in the queue. The rest bears the
// error of the estimate.
const (
	newShare       = 0.6
	urgentShare    = 1.0
	returningShare = 0.35
	// minSlack is the least slack, as a share of the objective, when the run alone takes nearly as long.
	minSlack = 0.25
)

const (
	// returnThreshold is the share of the usual time left below which a request has been tried before: callers start
	// with 0.83 to 1 of it.
	returnThreshold = 0.78
	// riseWeight and fallWeight make the reference follow a high quantile of the times left.
	riseWeight = 0.1
	fallWeight = 0.005
	// honouredShare is the part of its time left for which a caller waits at most, by the platform's contract.
	honouredShare = 1.0 / 3
	// shortWait is the wait while few requests are refused: the usual time of a straggling upstream's slow spell.
	shortWait = 200 * time.Millisecond
	// highPressure is the share of refusals at which callers wait for as long as they would.
	highPressure = 0.25
	// pressureLife is the time constant of the share of refusals.
	pressureLife = time.Second
	// waitSpread keeps callers that were refused together from coming back together.
	waitSpread = 0.3
	// maxRoutes bounds the routes whose times left are remembered.
	maxRoutes = 4096
)

// Request is what matters of a request.
type Request struct {
	Route     string
	Service   string
	Objective time.Duration // an answer within this time is fully useful
	Remaining time.Duration // how long the caller still waits
	Urgent    bool          // more urgent than other requests of the service
}

// Decision is the decision about a request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // after which a refused caller may come back
}

type pressure struct {
	share float64
	at    time.Duration
}

// Shedder remembers how many requests were refused, and how long callers usually wait.
type Shedder struct {
	random    *rand.Rand
	pressures map[string]pressure
	usual     map[string]time.Duration
}

// New returns a rationer that has refused nothing.
func New(seed uint64) *Shedder {
	return &Shedder{
		random: rand.New(rand.NewPCG(seed, ^seed)), pressures: map[string]pressure{}, usual: map[string]time.Duration{},
	}
}

// LikelyRetry reports whether a request has probably been tried before, and learns the usual time left from it.
func (r *Shedder) LikelyRetry(route string, left time.Duration) bool {
	reference, known := r.usual[route]
	switch {
	case !known:
		if len(r.usual) >= maxRoutes {
			clear(r.usual)
		}
		reference = left
	case left > reference:
		reference += time.Duration(riseWeight * float64(left-reference))
	default:
		reference -= time.Duration(fallWeight * float64(reference-left))
	}
	r.usual[route] = reference
	return float64(left) < returnThreshold*float64(reference)
}

// Decide decides about a request whose course at the upstream would be the estimate.
func (r *Shedder) Decide(now time.Duration, request Request, returning bool, estimate selector.Estimate) Decision {
	admit := estimate.Wait <= 0 || (estimate.Wait <= patience(request, returning, estimate.Run) && estimate.Total() <= request.Remaining)
	r.note(now, request.Service, admit)
	if admit {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: r.RetryAfter(now, request.Service, request.Remaining)}
}

// patience returns the longest wait in the queue for which a request is worth sending.
func patience(request Request, returning bool, run time.Duration) time.Duration {
	slack := max(float64(request.Objective-run), minSlack*float64(request.Objective))
	switch {
	case returning:
		return time.Duration(returningShare * slack)
	case request.Urgent:
		return time.Duration(urgentShare * slack)
	default:
		return time.Duration(newShare * slack)
	}
}

// RecordRejection notes a refusal that another part decided on.
func (r *Shedder) RecordRejection(now time.Duration, service string) { r.note(now, service, false) }

func (r *Shedder) note(now time.Duration, service string, admitted bool) {
	p := r.pressures[service]
	// The weight of one request is chosen so that the share follows in about pressureLife at ten requests a second.
	weight := 1 - math.Exp(-max(0.1, (now-p.at).Seconds())/pressureLife.Seconds())
	value := 1.0
	if admitted {
		value = 0
	}
	p.share += min(weight, 0.1) * (value - p.share)
	p.at = now
	r.pressures[service] = p
}

// RetryAfter returns when a refused caller may come back: soon while refusals are rare, and as late as it would accept while
// they are many, since each further refusal costs the caller a try.
func (r *Shedder) RetryAfter(now time.Duration, service string, left time.Duration) time.Duration {
	p := r.pressures[service]
	share := p.share * math.Exp(-float64(max(0, now-p.at))/float64(pressureLife))
	longest := honouredShare * float64(left)
	weight := min(1, share/highPressure)
	wait := (1-weight)*float64(shortWait) + weight*longest
	wait *= 1 - waitSpread*r.random.Float64()
	return time.Duration(min(wait, longest))
}
