// Package throttler holds this host's share of limits that all hosts keep together.
//
// Hosts do not ask each other before each request. Each one keeps a share that is small enough for the sum of all
// shares, bursts included, to stay below the common limit.
//
// # Usage
//
//	share := throttler.ColdShare(id, index, hosts, limit)
//	bucket := throttler.NewBucket(now, share.Rate, share.Burst)
//	if bucket.Take(now) { ... }
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

// NewBucket returns a full bucket.
func NewBucket(now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{Rate: rate, Burst: burst, tokens: burst, last: now}
}

// Take removes a token. It returns false when there is none.
func (b *Bucket) Take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Add puts tokens in, up to the burst.
func (b *Bucket) Add(now time.Duration, tokens float64) {
	b.refill(now)
	b.tokens = min(b.Burst, b.tokens+tokens)
}

// Set changes rate and burst. Tokens beyond the burst are lost.
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

// Share is the part of a rate limit that one host keeps.
type Share struct {
	Rate  float64 // requests per second
	Burst float64
}

const (
	// safety leaves a part of a common limit unused, for hosts that count a moment ago or are not counted yet.
	safety = 0.8
	// coldBurst is the burst of each host that may send to a cold upstream.
	coldBurst = 1
)

// ColdShare returns the share of host number index of hosts in the requests per second that the cold upstream id bears.
// Only as many hosts get a share as can have one request of burst and one a second; which ones depends on id.
func ColdShare(id string, index, hosts int, limit float64) Share {
	limit *= safety
	hosts = max(hosts, 1)
	chosen := max(1, min(hosts, int(limit/(2*coldBurst))))
	first := int(xxhash.Sum64String(id) % uint64(hosts))
	if (index-first+hosts)%hosts >= chosen {
		return Share{}
	}
	return Share{Rate: math.Max(0, limit/float64(chosen)-coldBurst), Burst: coldBurst}
}

// RetryShare returns the repeats that a host may send for each request, and the burst, when all hosts together may send
// ratio times the requests plus slack in each window.
func RetryShare(ratio, slack float64, hosts int) (perRequest, burst float64) {
	// A window holds at most one full bucket and what flows in meanwhile.
	return ratio * safety, max(1, slack*safety/float64(max(hosts, 1)))
}
