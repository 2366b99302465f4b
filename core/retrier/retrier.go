// Package retrier decides whether and when a failed request is sent again.
//
// Retries of a service may add at most a share of its traffic, so a failure of all upstreams does not multiply the load.
// The budget starts empty and is filled by offered requests. While most requests fail it is filled at half the rate and
// holds almost nothing, because retries cannot help then; this keeps the amplification below 1 + share.
//
// # Usage
//
//	retries := retrier.New(retrier.Options{Seed: seed})
//	retries.Offer()                                    // once for each request of a caller
//	retries.Observe(succeeded)                         // once for each attempt that was sent to an upstream
//	decision := retries.Allow(now, retrier.Attempt{...}) // after an attempt that failed
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
	// maxSaved is the budget that may be saved up while nothing fails, in retries. More would arrive as one burst.
	maxSaved = 10
	// maxSavedFailing is the same while most requests fail.
	maxSavedFailing = 1
	// failingShare is the success rate below which most requests fail; successMemory is the number of attempts over
	// which the rate is taken.
	failingShare  = 0.5
	successMemory = 10
)

// Options configures a Retrier. Zero values select the defaults.
type Options struct {
	BudgetRatio float64 // retries per offered request
	MaxAttempts int     // attempts sent to upstreams per request, the first one included
	MaxReroutes int     // attempts that no upstream saw
	BaseBackoff time.Duration
	MaxBackoff  time.Duration // longest back-off
	Seed        uint64
}

// Failure says what is known about a failed attempt.
type Failure int

// Kinds of failed attempts.
const (
	Unknown  Failure = iota // may have run
	NotRun                  // an upstream or a full admission queue refused it without running it
	Rerouted                // no upstream saw it, because its slice or its admission has moved
)

// Attempt describes a failed attempt.
type Attempt struct {
	Class      configurator.Class
	Failure    Failure
	Number     int           // attempts so far with Unknown or NotRun
	Reroutes   int           // attempts so far with Rerouted
	RetryAfter time.Duration // asked for by the refusal, 0 when none
	Deadline   time.Duration
}

// Decision says whether to send the request again. Delay is the time to wait before.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Reason says why a request is not sent again.
type Reason int

// Reasons.
const (
	Allowed    Reason = iota
	MayHaveRun        // it must never be repeated and may have run
	TooMany           // its attempts are used up
	TooLate           // its deadline does not leave time for the delay
	OverBudget        // the service has used its share of retries
)

// Retrier holds the budget of one service on one host. It is not safe for concurrent use.
type Retrier struct {
	options Options
	random  *rand.Rand
	budget  float64
	success float64 // share of recent attempts that succeeded
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
	return &Retrier{options: options, random: rand.New(rand.NewPCG(options.Seed, 0)), success: 1}
}

// CountRequest counts a request of a caller.
func (r *Retrier) CountRequest() {
	share, bound := r.options.BudgetRatio, float64(maxSaved)
	if r.Failing() {
		share, bound = share/2, maxSavedFailing
	}
	r.budget = min(r.budget+share, bound)
}

// Observe counts an attempt that an upstream answered, or failed to answer.
func (r *Retrier) Observe(succeeded bool) {
	r.success -= r.success / successMemory
	if succeeded {
		r.success += 1.0 / successMemory
	}
}

// Failing reports whether most recent attempts failed. Hedges should not be sent then.
func (r *Retrier) Failing() bool {
	return r.success < failingShare
}

// Allow decides on a failed attempt and takes a retry out of the budget when it is sent again. Rerouted attempts cost
// nothing, because no upstream saw them and a move would otherwise fail requests.
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
	delay := attempt.RetryAfter + r.backOff(count)
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

// backOff doubles with each attempt; half of it is random, so that requests that failed together do not return together.
func (r *Retrier) backOff(count int) time.Duration {
	full := r.options.MaxBackoff
	if shift := max(count-1, 0); shift < 16 {
		full = min(r.options.BaseBackoff<<shift, r.options.MaxBackoff)
	}
	return full/2 + time.Duration(r.random.Int64N(int64(full/2)+1))
}
