// Package limiter limits the rate of calls with a token bucket. Its capacity is the number of calls allowed per second,
// so that a burst of that size is allowed.
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

// New returns a limiter with a full bucket. The rate is in calls per second; zero or less means no limit.
func New(rate float64) *Limiter {
	return &Limiter{rate: rate, tokens: rate}
}

// Allow takes one token and reports true, or reports false if there is none.
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

// Consume takes one token even if there is none, for calls such as an open watch that can no longer be rejected. The
// deficit is limited to the tokens of one second.
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
