// Package tracker collects the results of requests: outcomes, latencies, and how long each key was unavailable.
//
// Usage:
//
//	results := tracker.New()
//	results.Attempt(tracker.Attempt{Key: "k", Started: started, Ended: ended, OK: true})
//	results.Finish(tracker.Finished{ID: "r1", Latency: latency, Result: result})
package tracker

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbtrack.example/loadgen/internal/planner"
	"rhubarbtrack.example/loadgen/internal/sender"
)

const (
	longestLatencyUS  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	reasonLimit       = 64
)

// Attempt is one exchange, with times since the start of the run.
type Attempt struct {
	Key     string
	Started time.Duration
	Ended   time.Duration
	OK      bool
}

// Completion is the end of a request.
type Completion struct {
	ID   string
	Key  string
	Kind planner.Kind
	// Latency is counted from the intended send time.
	Latency time.Duration
	Result  sender.Result
}

// Outage is the longest time for which a key was unavailable. Open means that it had not ended at the end of the run.
type Outage struct {
	Key     string
	Longest time.Duration
	Ongoing bool
}

// Counts are numbers of requests.
type Counts struct {
	Offered    int
	Answered   int
	NotRun     int
	Unknown    int
	Mismatched int
	// Overflow requests were not sent, because too many were waiting for an answer.
	Overflow int
	Retries  int
}

// Quantiles are latencies of answered requests.
type Quantiles struct {
	P50, P90, P99, P999, Max time.Duration
}

type outage struct {
	failing bool
	since   time.Duration
	longest time.Duration
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	counts      Counts
	latencies   *hdrhistogram.Histogram
	outages     map[string]*outage
	neverRepeat []Completion
	reasons     map[string]int
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		latencies: hdrhistogram.New(1, longestLatencyUS, significantDigits),
		outages:   map[string]*outage{},
		reasons:   map[string]int{},
	}
}

// RecordAttempt records an exchange. It reports whether the key has just become unavailable.
func (t *Tracker) RecordAttempt(attempt Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.outages[attempt.Key]
	if !ok {
		state = &outage{}
		t.outages[attempt.Key] = state
	}
	if !attempt.OK {
		if state.failing {
			state.since = min(state.since, attempt.Started)
			return false
		}
		state.failing = true
		state.since = attempt.Started
		return true
	}
	// A success that began before the failure does not show that the key is available again.
	if state.failing && attempt.Started >= state.since {
		state.failing = false
		state.longest = max(state.longest, attempt.Ended-state.since)
	}
	return false
}

// IsUnavailable reports whether the last attempts of the key failed.
func (t *Tracker) IsUnavailable(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.outages[key]
	return ok && state.failing
}

// RecordOverflow records a request that was not sent.
func (t *Tracker) RecordOverflow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Offered++
	t.counts.Overflow++
}

// RecordCompletion records the end of a request.
func (t *Tracker) RecordCompletion(finished Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Offered++
	t.counts.Retries += finished.Result.Attempts - 1
	switch finished.Result.Outcome {
	case sender.Answered:
		t.counts.Answered++
		_ = t.latencies.RecordValue(min(finished.Latency.Microseconds(), longestLatencyUS))
	case sender.NotRun:
		t.counts.NotRun++
	case sender.Mismatched:
		t.counts.Mismatched++
	case sender.Unknown:
		t.counts.Unknown++
	}
	if finished.Kind == planner.NeverRepeat {
		t.neverRepeat = append(t.neverRepeat, finished)
	}
	t.countReason(finished.Result.Reason)
}

func (t *Tracker) countReason(reason string) {
	if reason == "" {
		return
	}
	if _, ok := t.reasons[reason]; !ok && len(t.reasons) >= reasonLimit {
		return
	}
	t.reasons[reason]++
}

// Counts returns the numbers of requests so far.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Quantiles returns the latencies of the answered requests.
func (t *Tracker) Quantiles() Quantiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(quantile float64) time.Duration {
		return time.Duration(t.latencies.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}

// Outages returns the keys that were unavailable, the longest outage first. End is the end of the run.
func (t *Tracker) Outages(end time.Duration) []Outage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var outages []Outage
	for key, state := range t.outages {
		longest := state.longest
		if state.failing {
			longest = max(longest, end-state.since)
		}
		if longest > 0 {
			outages = append(outages, Outage{Key: key, Longest: longest, Ongoing: state.failing})
		}
	}
	sort.Slice(outages, func(i, j int) bool {
		if outages[i].Longest != outages[j].Longest {
			return outages[i].Longest > outages[j].Longest
		}
		return outages[i].Key < outages[j].Key
	})
	return outages
}

// NeverRepeat returns the ends of all never-repeat requests.
func (t *Tracker) NeverRepeat() []Completion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Completion(nil), t.neverRepeat...)
}

// Reasons returns how often each reason of an outcome other than answered was seen.
func (t *Tracker) Reasons() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons := make(map[string]int, len(t.reasons))
	for reason, count := range t.reasons {
		reasons[reason] = count
	}
	return reasons
}
