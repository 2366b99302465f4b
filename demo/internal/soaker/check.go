package soaker

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// minRecoveredRatio of the requests must be served once all faults have ended.
	minRecoveredRatio = 0.95
	// maxViolations bounds the violations that are listed.
	maxViolations = 20
)

// Report is the result of a run.
type Report struct {
	Requests   int
	Served     int
	Recovered  float64 // share of the requests after the last fault that were served
	Violations []string
}

func (r *Report) addViolation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// interval is a time for which an upstream held the checked key.
type interval struct {
	upstream   string
	begin, end int64 // Unix nanoseconds
}

// check verifies the promises.
func check(outcomes []outcome, lines []simulator.Line, killTimes map[string]time.Time, settled time.Time, planned bool) Report {
	report := Report{Requests: len(outcomes)}
	runs := map[string]int{}
	for _, line := range lines {
		if line.Attempt != "" {
			runs[line.Attempt]++
		}
	}
	settledCount, settledServed := 0, 0
	for _, o := range outcomes {
		checkOutcome(&report, o, runs[o.attempt], planned)
		if o.begin.After(settled) {
			settledCount++
			if o.Matches {
				settledServed++
			}
		}
	}
	if settledCount > 0 {
		report.Recovered = float64(settledServed) / float64(settledCount)
	}
	if report.Recovered < minRecoveredRatio {
		report.addViolation("recovery: %.3f of %d requests were served after all faults had ended", report.Recovered, settledCount)
	}
	checkOwners(&report, lines, killTimes)
	return report
}

func checkOutcome(report *Report, o outcome, runs int, planned bool) {
	if o.Matches {
		report.Served++
	}
	if o.err == nil && o.Status == http.StatusOK && !o.Matches {
		report.addViolation("mixed: %s got the answer to another request or a part of its own", o.attempt)
	}
	if o.order && runs > 1 {
		report.addViolation("twice: %s ran %d times", o.attempt, runs)
	}
	rejected := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if o.order && rejected && runs > 0 {
		report.addViolation("refused: %s was answered %d and ran", o.attempt, o.Status)
	}
	if rejected && !o.HasRetryAfter {
		report.addViolation("refused: %s was not told when to come back", o.attempt)
	}
	if o.Status == http.StatusNotFound || o.Status == http.StatusBadRequest {
		report.addViolation("denied: %s was answered %d", o.attempt, o.Status)
	}
	if planned && runs > 0 && (o.err != nil || o.Status >= http.StatusInternalServerError) {
		report.addViolation("lost: %s at %s ran and ended with status %d, %v", o.attempt, o.host, o.Status, o.err)
	}
}

// checkOwners looks for two living upstreams that held a key at the same time and both began requests on it meanwhile.
func checkOwners(report *Report, lines []simulator.Line, killTimes map[string]time.Time) {
	sort.Slice(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
	keys := map[int]bool{}
	for _, line := range lines {
		if line.Attempt != "" && line.Key >= 0 {
			keys[line.Key] = true
		}
	}
	for key := range keys {
		intervals := heldIntervals(key, lines, killTimes)
		for i, a := range intervals {
			for _, b := range intervals[i+1:] {
				begin, end := max(a.begin, b.begin), min(a.end, b.end)
				if a.upstream == b.upstream || begin >= end {
					continue
				}
				if ranWithin(lines, a.upstream, key, begin, end) && ranWithin(lines, b.upstream, key, begin, end) {
					report.addViolation("owner: key %d was held by %s and %s for %v from %v, and both ran requests", key, a.upstream,
						b.upstream, time.Duration(end-begin), time.Unix(0, begin).Format("15:04:05.000"))
				}
			}
		}
	}
}

// heldIntervals returns the times for which upstreams held a key.
func heldIntervals(key int, lines []simulator.Line, killTimes map[string]time.Time) []interval {
	open := map[string]*interval{}
	var intervals []interval
	closeInterval := func(upstream string, at int64) {
		if h := open[upstream]; h != nil {
			h.end = min(h.end, at)
			intervals = append(intervals, *h)
			delete(open, upstream)
		}
	}
	for _, line := range lines {
		if line.Attempt != "" || key < line.From || key > line.To {
			continue
		}
		h := open[line.Upstream]
		switch {
		case line.Until == 0:
			closeInterval(line.Upstream, line.At)
		case h != nil && line.At <= h.end:
			h.end = max(h.end, line.Until)
		default:
			closeInterval(line.Upstream, line.At)
			open[line.Upstream] = &interval{line.Upstream, line.At, line.Until}
		}
	}
	for upstream := range open {
		closeInterval(upstream, time.Now().UnixNano())
	}
	for i, h := range intervals {
		if at, killed := killTimes[h.upstream]; killed {
			intervals[i].end = min(h.end, at.UnixNano())
		}
	}
	return intervals
}

func ranWithin(lines []simulator.Line, upstream string, key int, begin, end int64) bool {
	for _, line := range lines {
		if line.Attempt != "" && line.Upstream == upstream && line.Key == key && line.At >= begin && line.At <= end {
			return true
		}
	}
	return false
}
