// Package sampler keeps the recent values of a gauge, so that its value at an earlier time can be reported.
//
// Usage:
//
//	series := sampler.New()
//	series.Set(now, 3)
//	value := series.At(now - lag)
package sampler

import (
	"sort"
	"sync"
	"time"
)

// sampleLimit bounds the number of stored samples. Above it the older half is dropped.
const sampleLimit = 1 << 16

type sample struct {
	at    time.Duration
	value int
}

// Series is a gauge with its history. It is safe for concurrent use. Times are measured since the start of the process.
type Series struct {
	mu      sync.Mutex
	samples []sample
}

// New returns a series whose value is zero.
func New() *Series {
	return &Series{}
}

// Set records a new value. A time before that of the last sample is raised to it, because At needs ascending times.
func (s *Series) Set(now time.Duration, value int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.samples); n > 0 {
		now = max(now, s.samples[n-1].at)
	}
	s.samples = append(s.samples, sample{at: now, value: value})
	if len(s.samples) > sampleLimit {
		s.samples = append([]sample(nil), s.samples[sampleLimit/2:]...)
	}
}

// At returns the value at the time, and zero for a time before the first sample.
func (s *Series) At(at time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := sort.Search(len(s.samples), func(i int) bool { return s.samples[i].at > at })
	if next == 0 {
		return 0
	}
	return s.samples[next-1].value
}
