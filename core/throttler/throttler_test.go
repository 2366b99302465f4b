package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/throttler"
)

// TestColdSharesStayBelowTheLimit simulates hosts that use their full share for one cold upstream. The requests in any
// second must not exceed the common limit, and the upstream must still get requests.
func TestColdSharesStayBelowTheLimit(t *testing.T) {
	tests := []struct {
		hosts int
		limit float64 // requests in any second
	}{{1, 13.7}, {3, 13.7}, {11, 13.7}, {79, 14.6}, {300, 14.6}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts), func(t *testing.T) {
			for upstream := range 20 {
				id := fmt.Sprintf("u%d", upstream)
				var buckets []*throttler.Bucket
				for i := range tt.hosts {
					share := throttler.ColdShare(id, i, tt.hosts, tt.limit)
					buckets = append(buckets, throttler.NewBucket(0, share.Rate, share.Burst))
				}
				random := rand.New(rand.NewPCG(uint64(upstream), 1))
				var sent []time.Duration
				for now := time.Duration(0); now < 6*time.Second; now += 5 * time.Millisecond {
					for _, b := range buckets {
						if random.IntN(3) == 0 && b.Take(now) {
							sent = append(sent, now)
						}
					}
				}
				highest, first := 0, 0
				for i, at := range sent {
					for sent[first] <= at-time.Second {
						first++
					}
					highest = max(highest, i-first+1)
				}
				assert.Assert(t, float64(highest) <= tt.limit, "%s gets %d requests in one second", id, highest)
				assert.Assert(t, len(sent) >= 10, "%s gets %d requests in 6 s", id, len(sent))
			}
		})
	}
}

// TestRetrySharesStayWithinTheBudget simulates hosts whose requests all fail. Their retries must not exceed the common
// budget and must use at least half of it.
func TestRetrySharesStayWithinTheBudget(t *testing.T) {
	const (
		hosts  = 11
		ratio  = 0.2
		slack  = 62.0
		window = 10 * time.Second
		rate   = 25 // requests per second of each host
	)
	perRequest, burst := throttler.RetryShare(ratio, slack, hosts)
	retries := 0
	for range hosts {
		bucket := throttler.NewBucket(0, 0, burst)
		for i := range int(window.Seconds()) * rate {
			now := time.Duration(i) * time.Second / rate
			bucket.Add(now, perRequest)
			if bucket.Take(now) {
				retries++
			}
		}
	}
	requests := hosts * rate * window.Seconds()
	assert.Assert(t, float64(retries) <= ratio*requests+slack, "%d retries for %.0f requests", retries, requests)
	assert.Assert(t, float64(retries) >= 0.5*ratio*requests, "%d retries for %.0f requests", retries, requests)
}

// TestBucket checks that a bucket is refilled at its rate, holds at most its burst, and loses the tokens above a lower
// burst.
func TestBucket(t *testing.T) {
	b := throttler.NewBucket(0, 2, 1)
	assert.Assert(t, b.Take(0))
	assert.Assert(t, !b.Take(100*time.Millisecond))
	assert.Assert(t, b.Take(600*time.Millisecond))
	b.Add(600*time.Millisecond, 5)
	assert.Assert(t, b.Take(600*time.Millisecond))
	assert.Assert(t, !b.Take(600*time.Millisecond), "the bucket holds more tokens than its burst")
	b.Set(0, 0, 0)
	assert.Assert(t, !b.Take(time.Hour))
}

// Guards against a number of tokens above the burst that is never available, and against a debt that is forgotten.
func TestSpendLeavesADebt(t *testing.T) {
	b := throttler.NewBucket(0, 2, 1)
	assert.Assert(t, b.Spend(0, 7))
	assert.Assert(t, !b.Spend(3*time.Second, 1), "six tokens are owed, and six are added")
	assert.Assert(t, b.Spend(3100*time.Millisecond, 1))
}
