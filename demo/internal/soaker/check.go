package soaker

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// recoveredShare of the requests must be served once all faults have ended.
	recoveredShare = 0.95
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

func (r *Report) violate(format string, args ...any) {
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
func check(outcomes []outcome, lines []simulator.Line, ends map[string]time.Time, quiet time.Time, planned bool) Report {
	report := Report{Requests: len(outcomes)}
	runs := map[string]int{}
	for _, line := range lines {
		if line.Attempt != "" {
			runs[line.Attempt]++
		}
	}
	late, lateServed := 0, 0
	for _, o := range outcomes {
		checkOutcome(&report, o, runs[o.attempt], planned)
		if o.begin.After(quiet) {
			late++
			if o.Matches {
				lateServed++
			}
		}
	}
	if late > 0 {
		report.Recovered = float64(lateServed) / float64(late)
	}
	if report.Recovered < recoveredShare {
		report.violate("recovery: %.3f of %d requests were served after all faults had ended", report.Recovered, late)
	}
	checkOwners(&report, lines, ends)
	return report
}

func checkOutcome(report *Report, o outcome, runs int, planned bool) {
	if o.Matches {
		report.Served++
	}
	if o.err == nil && o.Status == http.StatusOK && !o.Matches {
		report.violate("mixed: %s got the answer to another request or a part of its own", o.attempt)
	}
	if o.order && runs > 1 {
		report.violate("twice: %s ran %d times", o.attempt, runs)
	}
	refused := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if o.order && refused && runs > 0 {
		report.violate("refused: %s was answered %d and ran", o.attempt, o.Status)
	}
	if refused && !o.HasRetryAfter {
		report.violate("refused: %s was not told when to come back", o.attempt)
	}
	if o.Status == http.StatusNotFound || o.Status == http.StatusBadRequest {
		report.violate("denied: %s was answered %d", o.attempt, o.Status)
	}
	if planned && runs > 0 && (o.err != nil || o.Status >= http.StatusInternalServerError) {
		report.violate("lost: %s at %s ran and ended with status %d, %v", o.attempt, o.host, o.Status, o.err)
	}
}

// checkOwners looks for two living upstreams that held a key at the same time and both began requests on it meanwhile.
func checkOwners(report *Report, lines []simulator.Line, ends map[string]time.Time) {
	sort.Slice(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
	keys := map[int]bool{}
	for _, line := range lines {
		if line.Attempt != "" && line.Key >= 0 {
			keys[line.Key] = true
		}
	}
	for key := range keys {
		holds := holdsOf(key, lines, ends)
		for i, a := range holds {
			for _, b := range holds[i+1:] {
				begin, end := max(a.begin, b.begin), min(a.end, b.end)
				if a.upstream == b.upstream || begin >= end {
					continue
				}
				if began(lines, a.upstream, key, begin, end) && began(lines, b.upstream, key, begin, end) {
					report.violate("owner: key %d was held by %s and %s for %v from %v, and both ran requests", key, a.upstream,
						b.upstream, time.Duration(end-begin), time.Unix(0, begin).Format("15:04:05.000"))
				}
			}
		}
	}
}

// holdsOf returns the times for which upstreams held a key.
func holdsOf(key int, lines []simulator.Line, ends map[string]time.Time) []interval {
	open := map[string]*interval{}
	var holds []interval
	closeHold := func(upstream string, at int64) {
		if h := open[upstream]; h != nil {
			h.end = min(h.end, at)
			holds = append(holds, *h)
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
			closeHold(line.Upstream, line.At)
		case h != nil && line.At <= h.end:
			h.end = max(h.end, line.Until)
		default:
			closeHold(line.Upstream, line.At)
			open[line.Upstream] = &interval{line.Upstream, line.At, line.Until}
		}
	}
	for upstream := range open {
		closeHold(upstream, time.Now().UnixNano())
	}
	for i, h := range holds {
		if at, killed := ends[h.upstream]; killed {
			holds[i].end = min(h.end, at.UnixNano())
		}
	}
	return holds
}

func began(lines []simulator.Line, upstream string, key int, begin, end int64) bool {
	for _, line := range lines {
		if line.Attempt != "" && line.Upstream == upstream && line.Key == key && line.At >= begin && line.At <= end {
			return true
		}
	}
	return false
}
