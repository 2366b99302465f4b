// Package throttler limits the requests of this host to its share of rate limits that apply to all hosts together.
//
// Hosts do not coordinate each request. The share of each host is so small that the sum of all shares, including
// bursts, stays below the common limit. It follows from the position of the host among all hosts, which the controller sends with
// its heartbeats. While hosts start, stop or are cut off, some use an outdated position: a host uses the highest number of hosts for
// a while, a share that is new to it begins without a burst, and a share ends without heartbeats before another host gets it.
//
// # Usage
//
//	shares := throttler.NewShares(hosts)
//	shares.SetPosition(now, index, hosts) // of each heartbeat
//	if shares.TakeCold(now, upstream, limit) { ... }
//	perRequest, burst := throttler.RetryShare(ratio, slack, shares.Hosts(now))
//	bucket := throttler.NewBucket(now, 0, burst)
//
// Times are durations since an arbitrary origin.
package throttler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	Rate   float64 // tokens per second
	Burst  float64
	tokens float64
	last   time.Duration
}

// NewBucket returns a bucket that is full at now.
func NewBucket(now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{Rate: rate, Burst: burst, tokens: burst, last: now}
}

// Take removes one token. It returns false if the bucket has less than one.
func (b *Bucket) Take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Spend removes a number of tokens. It returns false if the bucket is empty. A larger number than it has leaves a debt.
func (b *Bucket) Spend(now time.Duration, tokens float64) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= tokens
	return true
}

// Add adds tokens, up to Burst.
func (b *Bucket) Add(now time.Duration, tokens float64) {
	b.refill(now)
	b.tokens = min(b.Burst, b.tokens+tokens)
}

// Set changes rate and burst. Tokens above the new burst are discarded.
func (b *Bucket) Set(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.Rate, b.Burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.Burst, b.tokens+b.Rate*(now-b.last).Seconds())
		b.last = now
	}
}

// Share is the share of a rate limit that one host may use.
type Share struct {
	Rate  float64 // requests per second
	Burst float64
}

const (
	// safetyFactor leaves a part of a common limit unused, because hosts may still use an outdated number of hosts, and
	// new hosts may not be counted yet.
	safetyFactor = 0.8
	// coldBurst is the burst of each host that may send to a cold upstream.
	coldBurst = 1
)

// ColdShare returns the share of the host with the given index in the rate limit of the cold upstream id. limit is in
// requests per second, over all hosts. Only so many hosts get a share that each can have a burst of one request and a
// rate of one request per second. The choice of the hosts depends on id, which spreads cold upstreams over all hosts.
func ColdShare(id string, index, hosts int, limit float64) Share {
	limit *= safetyFactor
	hosts = max(hosts, 1)
	chosen := max(1, min(hosts, int(limit/(2*coldBurst))))
	first := int(xxhash.Sum64String(id) % uint64(hosts))
	if (index-first+hosts)%hosts >= chosen {
		return Share{}
	}
	return Share{Rate: math.Max(0, limit/float64(chosen)-coldBurst), Burst: coldBurst}
}

// RetryShare returns the number of retries per request and the burst of retries that a host may send. All hosts
// together may send ratio retries per request plus slack retries in each window.
func RetryShare(ratio, slack float64, hosts int) (perRequest, burst float64) {
	// In a window, a host uses at most one full bucket and the tokens that are added during the window.
	return ratio * safetyFactor, max(1, slack*safetyFactor/float64(max(hosts, 1)))
}
