// Package shedder sheds load from overloaded upstreams. It decides which requests are sent and when rejected callers
// should retry.
//
// An upstream that owns keys, or all upstreams of a service, can get more requests than their slots can process: in a
// burst, because of a hot key, or after the loss of other upstreams. Upstreams process requests in the order of
// arrival. With a full queue, an upstream processes the same number of requests, but all responses are late. With a
// short queue, as many responses are in time as the slots allow. A retry of a rejected request is late in any case, so
// first attempts take precedence.
//
// A request that only one upstream can run also meets random queues below the capacity, more often the fewer slots the
// upstream has. They are short again soon, and a rejected caller would lose more time than one that waits. The share of
// requests that the owner has rejected lately distinguishes a random queue from one that stays.
//
// # Usage
//
//	s := shedder.New(seed)
//	retry := s.LikelyRetry(route, remaining)
//	decision := s.Decide(now, shedder.Request{...}, retry, estimate)
//
// A Shedder is not safe for concurrent use. Times are durations since an arbitrary origin.
package shedder

import (
	"math"
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/core/selector"
)

// Shares of the slack of a request that it may spend in the queue. The slack is its objective minus its run time. The
// rest of the slack covers the error of the estimate.
const (
	newWaitShare    = 0.6
	urgentWaitShare = 1.0
	// uncontendedWaitShare applies to requests that only one upstream can run, while it rejects none.
	uncontendedWaitShare = 1.0
	retryWaitShare       = 0.35
	// minSlackShare is the minimum slack as a share of the objective. It applies when the run time is close to the
	// objective.
	minSlackShare = 0.25
)

const (
	// retryThreshold is the share of the usual remaining time below which a request counts as a retry. First attempts
	// start with 0.83 to 1 of it.
	retryThreshold = 0.78
	// riseWeight and fallWeight make the usual remaining time follow a high quantile of the remaining times.
	riseWeight = 0.1
	fallWeight = 0.005
	// maxRetryAfterShare is the share of its remaining time for which a caller waits at most, by the contract with callers.
	maxRetryAfterShare = 1.0 / 3
	// shortRetryAfter is the time before a retry while few requests are rejected: the usual duration of a slow phase of a
	// straggler.
	shortRetryAfter = 200 * time.Millisecond
	// highRejectionShare is the share of rejections from which callers should wait for the longest time that they accept.
	highRejectionShare = 0.25
	// rejectionDecayTime is the time constant with which the share of rejections decays.
	rejectionDecayTime = time.Second
	// retryAfterJitter is the share by which RetryAfter varies, so that callers that were rejected together do not retry
	// together.
	retryAfterJitter = 0.3
	// maxRoutes limits the number of routes whose usual remaining time is stored, and that of scopes.
	maxRoutes = 4096
)

// Request is the part of a request on which the decision depends.
type Request struct {
	Route     string
	Service   string
	Objective time.Duration // a response within this time is fully useful
	Remaining time.Duration // time for which the caller still waits
	Urgent    bool          // has a higher priority than other requests of the service
	// Competing is set while requests of different priorities have demand at the service. Rejections are then counted by
	// route, so that those of a less urgent route do not lengthen RetryAfter of an urgent one.
	Competing bool
	// WaitLimit bounds the queueing time in favour of more urgent requests. 0: no bound.
	WaitLimit time.Duration
	// Owner is the only upstream that can run the request, if its service has keys. Rejections are then also counted by
	// owner, so that those at the owner of a hot key do not lengthen RetryAfter of callers of other owners.
	Owner string
}

// scope identifies requests whose rejections are counted together.
type scope struct {
	service string
	route   string // if Request.Competing is set
	owner   string // in the record of one owner
}

func (r Request) scope() scope {
	if r.Competing {
		return scope{service: r.Service, route: r.Route}
	}
	return scope{service: r.Service}
}

func (r Request) ownerScope() scope { return scope{service: r.Service, owner: r.Owner} }

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // time after which a rejected caller should retry
}

type rejections struct {
	share     float64 // of the requests of a scope, decayed
	updatedAt time.Duration
}

// Shedder records the share of rejected requests by scope and the usual remaining time of requests by route.
type Shedder struct {
	random         *rand.Rand
	rejections     map[scope]rejections
	usualRemaining map[string]time.Duration
}

// New returns a Shedder without records. seed determines the jitter of retries.
func New(seed uint64) *Shedder {
	return &Shedder{
		random: rand.New(rand.NewPCG(seed, ^seed)), rejections: map[scope]rejections{},
		usualRemaining: map[string]time.Duration{},
	}
}

// LikelyRetry reports whether a request is probably a retry, judged by the remaining time of the caller, and updates
// the usual remaining time of the route.
func (s *Shedder) LikelyRetry(route string, remaining time.Duration) bool {
	usual, known := s.usualRemaining[route]
	switch {
	case !known:
		if len(s.usualRemaining) >= maxRoutes {
			clear(s.usualRemaining)
		}
		usual = remaining
	case remaining > usual:
		usual += time.Duration(riseWeight * float64(remaining-usual))
	default:
		usual -= time.Duration(fallWeight * float64(usual-remaining))
	}
	s.usualRemaining[route] = usual
	return float64(remaining) < retryThreshold*float64(usual)
}

// Admits reports whether a request is sent to an upstream, given the estimate of its queueing and run time there.
func (s *Shedder) Admits(now time.Duration, request Request, retry bool, estimate selector.Estimate) bool {
	pressure := 1.0
	if request.Owner != "" {
		pressure = s.pressure(now, request)
	}
	return estimate.Wait <= 0 ||
		(estimate.Wait <= maxQueueTime(request, retry, estimate.Run, pressure) && estimate.Total() <= request.Remaining)
}

// Decide decides whether a request is sent to an upstream and records the decision.
func (s *Shedder) Decide(now time.Duration, request Request, retry bool, estimate selector.Estimate) Decision {
	admit := s.Admits(now, request, retry, estimate)
	s.recordDecision(now, request, admit)
	if admit {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: s.RetryAfter(now, request)}
}

// maxQueueTime returns the longest time in the queue for which a request is sent. Without pressure, a long queue is a random
// one that will be short again, and the request may use all of its slack. Under pressure, the queue stays, and requests that
// use all of their slack make all later ones late.
func maxQueueTime(request Request, retry bool, run time.Duration, pressure float64) time.Duration {
	share := newWaitShare
	switch {
	case retry && request.Urgent && request.Competing:
		// Room for it comes from less urgent requests, not from first attempts of its own class alone.
	case retry:
		share = retryWaitShare
	case request.Urgent:
		share = urgentWaitShare
	}
	share += (1 - pressure) * (uncontendedWaitShare - share)
	slack := max(float64(request.Objective-run), minSlackShare*float64(request.Objective))
	longest := time.Duration(share * slack)
	if request.WaitLimit > 0 {
		longest = min(longest, request.WaitLimit)
	}
	return longest
}

// RecordRejection records a rejection of a request for another reason than a call of Decide.
func (s *Shedder) RecordRejection(now time.Duration, request Request) {
	s.recordDecision(now, request, false)
}

func (s *Shedder) recordDecision(now time.Duration, request Request, admitted bool) {
	s.record(now, request.scope(), admitted)
	if request.Owner != "" {
		s.record(now, request.ownerScope(), admitted)
	}
}

func (s *Shedder) record(now time.Duration, key scope, admitted bool) {
	r, known := s.rejections[key]
	if !known && len(s.rejections) >= maxRoutes {
		clear(s.rejections)
	}
	// With this weight of one request, the share adapts within about rejectionDecayTime at ten requests per second.
	weight := 1 - math.Exp(-max(0.1, (now-r.updatedAt).Seconds())/rejectionDecayTime.Seconds())
	value := 1.0
	if admitted {
		value = 0
	}
	r.share += min(weight, 0.1) * (value - r.share)
	r.updatedAt = now
	s.rejections[key] = r
}

func (s *Shedder) rejectedShare(now time.Duration, key scope) float64 {
	r := s.rejections[key]
	return r.share * math.Exp(-float64(max(0, now-r.updatedAt))/float64(rejectionDecayTime))
}

// pressure returns how far the share of rejections is towards highRejectionShare, from 0 to 1. Rejections at other owners do
// not count for a request that only one upstream can run.
func (s *Shedder) pressure(now time.Duration, request Request) float64 {
	share := s.rejectedShare(now, request.scope())
	if request.Owner != "" {
		share = min(share, s.rejectedShare(now, request.ownerScope()))
	}
	return min(1, share/highRejectionShare)
}

// RetryAfter returns the time after which a rejected caller should retry: a short time while rejections are rare, and
// the longest time that the caller accepts while there are many, because each further rejection costs the caller an
// attempt.
func (s *Shedder) RetryAfter(now time.Duration, request Request) time.Duration {
	longest := maxRetryAfterShare * float64(request.Remaining)
	weight := s.pressure(now, request)
	wait := (1-weight)*float64(shortRetryAfter) + weight*longest
	wait *= 1 - retryAfterJitter*s.random.Float64()
	return time.Duration(min(wait, longest))
}
