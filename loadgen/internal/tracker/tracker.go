// Package tracker collects the results of requests: outcomes, latencies, and how long each key was unavailable.
//
// An outage of a key lasts from the earliest start of its failed attempts to the end of the first successful attempt
// that was started at that time or later.
//
// Usage:
//
//	results := tracker.New()
//	results.RecordAttempt(tracker.Attempt{Key: "k", Started: started, Ended: ended, OK: true})
//	results.RecordCompletion(tracker.Completion{ID: "r1", Latency: latency, Result: result})
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
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxReasons        = 64
)

// Attempt is one attempt of a request. Times are measured since the start of the run.
type Attempt struct {
	Key     string
	Started time.Duration
	Ended   time.Duration
	OK      bool
}

// Completion is a request after its last attempt.
type Completion struct {
	ID   string
	Key  string
	Kind planner.Kind
	// Latency counts from the intended send time.
	Latency time.Duration
	Result  sender.Result
}

// Outage is the longest outage of a key. Ongoing is true if the key was unavailable at the end of the run.
type Outage struct {
	Key     string
	Longest time.Duration
	Ongoing bool
}

// Counts are numbers of requests. Offered includes requests that were not sent.
type Counts struct {
	Offered    int
	Answered   int
	NotRun     int
	Unknown    int
	Mismatched int
	// Overflow counts requests that were not sent because too many were waiting for a response.
	Overflow int
	Retries  int
}

// Quantiles are latency quantiles of the answered requests.
type Quantiles struct {
	P50, P90, P99, P999, Max time.Duration
}

type keyState struct {
	failing bool
	since   time.Duration
	longest time.Duration
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	counts      Counts
	latencies   *hdrhistogram.Histogram
	keys        map[string]*keyState
	neverRepeat []Completion
	reasons     map[string]int
}

// New returns a tracker without results, in which every key is available.
func New() *Tracker {
	return &Tracker{
		latencies: hdrhistogram.New(1, maxLatencyUS, significantDigits),
		keys:      map[string]*keyState{},
		reasons:   map[string]int{},
	}
}

// RecordAttempt records an attempt. It returns true if this attempt is the first failure of a new outage of the key.
func (t *Tracker) RecordAttempt(attempt Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.keys[attempt.Key]
	if !ok {
		state = &keyState{}
		t.keys[attempt.Key] = state
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
	// A success that was started before the failed attempt does not show that the key has recovered.
	if state.failing && attempt.Started >= state.since {
		state.failing = false
		state.longest = max(state.longest, attempt.Ended-state.since)
	}
	return false
}

// IsUnavailable reports whether the key has an outage that has not ended.
func (t *Tracker) IsUnavailable(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.keys[key]
	return ok && state.failing
}

// RecordOverflow counts a request that was not sent because too many were waiting for a response.
func (t *Tracker) RecordOverflow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Offered++
	t.counts.Overflow++
}

// RecordCompletion records the result of a request after its last attempt.
func (t *Tracker) RecordCompletion(completion Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Offered++
	t.counts.Retries += completion.Result.Attempts - 1
	switch completion.Result.Outcome {
	case sender.Answered:
		t.counts.Answered++
		_ = t.latencies.RecordValue(min(completion.Latency.Microseconds(), maxLatencyUS))
	case sender.NotRun:
		t.counts.NotRun++
	case sender.Mismatched:
		t.counts.Mismatched++
	case sender.Unknown:
		t.counts.Unknown++
	}
	if completion.Kind == planner.NeverRepeat {
		t.neverRepeat = append(t.neverRepeat, completion)
	}
	t.countReason(completion.Result.Reason)
}

func (t *Tracker) countReason(reason string) {
	if reason == "" {
		return
	}
	if _, ok := t.reasons[reason]; !ok && len(t.reasons) >= maxReasons {
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

// Quantiles returns the latency quantiles of the answered requests so far.
func (t *Tracker) Quantiles() Quantiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := func(quantile float64) time.Duration {
		return time.Duration(t.latencies.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}

// Outages returns the keys that were unavailable, the longest outage first. An ongoing outage counts up to end, which
// is the end of the run.
func (t *Tracker) Outages(end time.Duration) []Outage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var outages []Outage
	for key, state := range t.keys {
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

// NeverRepeat returns all completed never-repeat requests in the order of completion.
func (t *Tracker) NeverRepeat() []Completion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Completion(nil), t.neverRepeat...)
}

// Reasons returns the number of requests for each reason of an outcome other than answered. It contains at most
// maxReasons different reasons; requests with others are left out.
func (t *Tracker) Reasons() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	reasons := make(map[string]int, len(t.reasons))
	for reason, count := range t.reasons {
		reasons[reason] = count
	}
	return reasons
}
