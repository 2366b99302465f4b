// Package retrier decides whether and when a failed request is sent again.
//
// Retries may add at most a given share to the requests of a service, so that a failure of all upstreams does not
// multiply the load. The retry budget starts empty and grows with each offered request. While most attempts fail, it
// grows at half the rate and is limited to one retry, because retries have little chance of success. This keeps the
// amplification below 1 + BudgetRatio.
//
// # Usage
//
//	retries := retrier.New(retrier.Options{Seed: seed})
//	retries.CountRequest()                               // for each request of a caller
//	retries.Observe(succeeded)                           // for each attempt that was sent to an upstream
//	decision := retries.Allow(now, retrier.Attempt{...}) // after a failed attempt
package retrier

import (
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// Defaults of Options.
const (
	DefaultBudgetRatio = 0.1
	DefaultMaxAttempts = 3
	DefaultMaxReroutes = 8
	DefaultBaseBackoff = 20 * time.Millisecond
	DefaultMaxBackoff  = time.Second
)

const (
	// maxBudget is the maximum budget in retries. A larger one, accumulated without failures, would be used in one
	// burst.
	maxBudget = 10
	// maxBudgetFailing is the maximum budget in retries while most attempts fail.
	maxBudgetFailing = 1
	// failingRate is the success rate below which most attempts count as failing, and successWindow is the number of
	// attempts over which the rate is averaged.
	failingRate   = 0.5
	successWindow = 10
)

// Options configures a Retrier. Zero values select the defaults.
type Options struct {
	BudgetRatio float64 // retries per offered request
	MaxAttempts int     // attempts sent to upstreams per request, the first one included
	MaxReroutes int     // attempts that did not reach an upstream
	BaseBackoff time.Duration
	MaxBackoff  time.Duration // does not include RetryAfter
	Seed        uint64
}

// Failure says what is known about a failed attempt.
type Failure int

// Kinds of failed attempts.
const (
	Unknown  Failure = iota // may have run
	NotRun                  // an upstream or a full admission queue rejected it without running it
	Rerouted                // it reached no upstream, because its slice or its admission has moved
)

// Attempt describes a failed attempt.
type Attempt struct {
	Class      configurator.Class
	Failure    Failure
	Number     int           // attempts so far that failed with Unknown or NotRun
	Reroutes   int           // attempts so far that failed with Rerouted
	RetryAfter time.Duration // from the rejection, 0 if it has none
	Deadline   time.Duration
}

// Decision says whether to send the request again, and after which delay.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Reason is why a request is not sent again.
type Reason int

// Reasons.
const (
	Allowed    Reason = iota
	MayHaveRun        // the request must never be repeated and may have run
	TooMany           // the maximum number of attempts is reached
	TooLate           // the delay ends after the deadline
	OverBudget        // the retry budget of the service is used up
)

// Retrier holds the budget of one service on one host. It is not safe for concurrent use.
type Retrier struct {
	options     Options
	random      *rand.Rand
	budget      float64
	successRate float64 // share of recent attempts that succeeded
}

// New returns a retrier with an empty budget.
func New(options Options) *Retrier {
	if options.BudgetRatio == 0 {
		options.BudgetRatio = DefaultBudgetRatio
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	if options.MaxReroutes == 0 {
		options.MaxReroutes = DefaultMaxReroutes
	}
	if options.BaseBackoff == 0 {
		options.BaseBackoff = DefaultBaseBackoff
	}
	if options.MaxBackoff == 0 {
		options.MaxBackoff = DefaultMaxBackoff
	}
	return &Retrier{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), successRate: 1}
}

// CountRequest adds BudgetRatio to the retry budget for a request of a caller, or half of it while most attempts fail.
func (r *Retrier) CountRequest() {
	ratio, bound := r.options.BudgetRatio, float64(maxBudget)
	if r.Failing() {
		ratio, bound = ratio/2, maxBudgetFailing
	}
	r.budget = min(r.budget+ratio, bound)
}

// Observe records the result of an attempt that was sent to an upstream.
func (r *Retrier) Observe(succeeded bool) {
	r.successRate -= r.successRate / successWindow
	if succeeded {
		r.successRate += 1.0 / successWindow
	}
}

// Failing reports whether most of the recent attempts failed. Callers should not send hedges then.
func (r *Retrier) Failing() bool {
	return r.successRate < failingRate
}

// Allow decides whether a request is sent again after a failed attempt, and deducts the retry from the budget. A retry
// after Rerouted needs no budget: the attempt added no load to an upstream, and the move of a slice would otherwise fail
// requests.
func (r *Retrier) Allow(now time.Duration, attempt Attempt) Decision {
	if attempt.Class == configurator.NeverRepeat && attempt.Failure == Unknown {
		return Decision{Reason: MayHaveRun}
	}
	count, limit := attempt.Number, r.options.MaxAttempts
	if attempt.Failure == Rerouted {
		count, limit = attempt.Reroutes, r.options.MaxReroutes
	}
	if count >= limit {
		return Decision{Reason: TooMany}
	}
	delay := attempt.RetryAfter + r.backoff(count)
	if now+delay >= attempt.Deadline {
		return Decision{Reason: TooLate}
	}
	if attempt.Failure != Rerouted {
		if r.budget < 1 {
			return Decision{Reason: OverBudget}
		}
		r.budget--
	}
	return Decision{Retry: true, Delay: delay}
}

// backoff returns a delay that doubles with each attempt. Half of it is random, so that requests that failed at the same
// time are not retried at the same time.
func (r *Retrier) backoff(count int) time.Duration {
	full := r.options.MaxBackoff
	if shift := max(count-1, 0); shift < 16 {
		full = min(r.options.BaseBackoff<<shift, r.options.MaxBackoff)
	}
	return full/2 + time.Duration(r.random.Int64N(int64(full/2)+1))
}
