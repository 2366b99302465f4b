package retrier

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/configurator"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Guards against a second run of a request that must never be repeated, and against an unlimited number of retries.
func TestAllow(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name     string
		attempt  Attempt
		requests int
		want     Reason
		minDelay time.Duration
		maxDelay time.Duration
	}{
		{"idempotent", Attempt{Class: configurator.Idempotent, Number: 1, Deadline: time.Second}, 10, Allowed, 10 * ms, 20 * ms},
		{"second retry", Attempt{Class: configurator.Safe, Number: 2, Deadline: time.Second}, 10, Allowed, 20 * ms, 40 * ms},
		{"third retry", Attempt{Class: configurator.Safe, Number: 3, Deadline: time.Second}, 10, TooMany, 0, 0},
		{"no budget", Attempt{Class: configurator.Safe, Number: 1, Deadline: time.Second}, 9, OverBudget, 0, 0},
		{"never-repeat, unknown", Attempt{Number: 1, Deadline: time.Second}, 10, MayHaveRun, 0, 0},
		{"never-repeat, not run", Attempt{Number: 1, Failure: NotRun, Deadline: time.Second}, 10, Allowed, 10 * ms, 20 * ms},
		{"rerouted needs no budget", Attempt{Reroutes: 1, Failure: Rerouted, Deadline: time.Second}, 0, Allowed, 10 * ms, 20 * ms},
		{"rerouted too often", Attempt{Reroutes: 8, Failure: Rerouted, Deadline: time.Second}, 0, TooMany, 0, 0},
		{"Retry-After", Attempt{Number: 1, Failure: NotRun, RetryAfter: 300 * ms, Deadline: time.Second}, 10, Allowed, 310 * ms, 320 * ms},
		{"Retry-After beyond the deadline", Attempt{Number: 1, Failure: NotRun, RetryAfter: time.Second, Deadline: time.Second}, 10, TooLate, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(Options{Seed: 1})
			for range test.requests {
				r.CountRequest()
			}
			r.budget += 1e-9 // ten times 0.1 sums to slightly less than 1
			got := r.Allow(0, test.attempt)
			assert.Equal(t, got.Reason, test.want)
			assert.Equal(t, got.Retry, test.want == Allowed)
			assert.Assert(t, got.Delay >= test.minDelay && got.Delay <= test.maxDelay, "delay %v", got.Delay)
		})
	}
}

// Guards against retries above 10% of the offered requests since the start, and, while most attempts fail, above 10% of
// the requests offered since then plus the budget at that time.
func TestAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Seed: rapid.Uint64().Draw(t, "seed")})
		offered, retried, failingOffered, failingRetried := 0, 0, 0, 0
		failRate := rapid.IntRange(0, 100)
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			failures := failRate.Draw(t, "failures")
			for i := range rapid.IntRange(1, 100).Draw(t, "requests") {
				r.CountRequest()
				offered++
				failed := i%100 < failures
				r.Observe(!failed)
				if !r.Failing() {
					failingOffered, failingRetried = 0, 0
				}
				failingOffered++
				for attempt := 1; failed && r.Allow(0, Attempt{Class: configurator.Safe, Number: attempt, Deadline: time.Hour}).Retry; attempt++ {
					retried++
					failingRetried++
					r.Observe(false)
				}
				if float64(retried) > DefaultBudgetRatio*float64(offered)+1e-6 {
					t.Fatalf("%d retries for %d requests", retried, offered)
				}
				if failingRetried > 0 && float64(failingRetried) > maxBudget+DefaultBudgetRatio*float64(failingOffered) {
					t.Fatalf("%d retries for %d requests while most attempts fail", failingRetried, failingOffered)
				}
			}
		}
	})
}
