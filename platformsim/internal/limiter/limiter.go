// Package limiter limits the rate of calls with a token bucket that holds one second's worth of calls.
//
// Usage:
//
//	limit := limiter.New(400)
//	if !limit.Allow(now) { ... }
package limiter

import (
	"sync"
	"time"
)

// Limiter is safe for concurrent use. Times are measured since the start of the process.
type Limiter struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Duration
}

// New returns a limiter of rate calls per second. A rate of zero or less means no limit.
func New(rate float64) *Limiter {
	return &Limiter{rate: rate, tokens: rate}
}

// Allow takes one call from the bucket and reports whether there was one.
func (l *Limiter) Allow(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return true
	}
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Consume takes one call from the bucket even when it is empty. A waiting watch uses it, because it cannot be refused.
func (l *Limiter) Consume(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return
	}
	l.refill(now)
	l.tokens = max(l.tokens-1, -l.rate)
}

func (l *Limiter) refill(now time.Duration) {
	if now <= l.last {
		return
	}
	l.tokens = min(l.rate, l.tokens+l.rate*(now-l.last).Seconds())
	l.last = now
}
