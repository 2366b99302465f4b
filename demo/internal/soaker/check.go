package soaker

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/validator"
	"rhubarbtrack.example/platform/simulator"
)

const (
	// minRecoveredRatio is the minimum ratio of requests that are served after all faults have ended.
	minRecoveredRatio = 0.95
	// maxViolations is the maximum number of violations in a report.
	maxViolations = 20
)

// Report is the result of a run.
type Report struct {
	Requests   int
	Served     int
	Recovered  float64 // ratio of served requests among those sent once settleTime has passed
	Violations []string
}

func (r *Report) addViolation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// interval is a time for which an upstream held a grant for the checked key.
type interval struct {
	upstream   string
	begin, end int64 // Unix nanoseconds
}

// check verifies the guarantees. Requests that begin after settled count for the recovery. In a planned run, no request
// may be lost.
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
	checkCrashes(&report, lines)
	return report
}

const (
	// maxCrashes is the number of upstreams that a request may crash before it has to be blocked, and of attempts that may
	// run later than blockTime after the last of these crashes.
	maxCrashes = 3
	blockTime  = 3 * time.Second
)

// checkCrashes finds requests that reach upstreams although they have crashed enough of them. Several copies can run at the
// upstream that one of them crashes.
func checkCrashes(report *Report, lines []simulator.Line) {
	runs := map[string][]simulator.Line{} // by prefix of the path
	for _, line := range lines {
		if rest, ok := strings.CutPrefix(line.Attempt, crashAttempt); ok {
			prefix := rest[:strings.LastIndex(rest, "/")+1]
			runs[prefix] = append(runs[prefix], line)
		}
	}
	for prefix, copies := range runs {
		slices.SortFunc(copies, func(a, b simulator.Line) int { return cmp.Compare(a.At, b.At) })
		crashed, late := map[string]bool{}, 0
		var last int64 // when the last of maxCrashes upstreams began to run it
		for _, line := range copies {
			if len(crashed) < maxCrashes {
				crashed[line.Upstream] = true
				last = line.At
			}
			if len(crashed) == maxCrashes && line.At > last+blockTime.Nanoseconds() {
				late++
			}
		}
		if late > maxCrashes {
			report.addViolation("crashes: %d runs of %s%s, %d of them later than %v after the third crash", len(copies), prefix,
				simulator.CrashName, late, blockTime)
		}
	}
}

func checkOutcome(report *Report, o outcome, runs int, planned bool) {
	if o.Matches {
		report.Served++
	}
	if o.err == nil && o.Status == http.StatusOK && !o.Matches {
		report.addViolation("mixed: %s received the response to another request or an incomplete one", o.attempt)
	}
	var invalid *validator.Error
	if errors.As(o.err, &invalid) {
		report.addViolation("malformed: %s received bytes that are no response: %v", o.attempt, invalid)
	}
	if o.neverRepeat && runs > 1 {
		report.addViolation("twice: %s ran %d times", o.attempt, runs)
	}
	rejected := o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests
	if o.neverRepeat && rejected && runs > 0 {
		report.addViolation("refused: %s was rejected with status %d but ran", o.attempt, o.Status)
	}
	if rejected && !o.HasRetryAfter {
		report.addViolation("refused: %s was rejected without a Retry-After field", o.attempt)
	}
	if o.Status == http.StatusNotFound || o.Status == http.StatusBadRequest || o.Status == http.StatusUnauthorized {
		report.addViolation("denied: %s received status %d", o.attempt, o.Status)
	}
	if planned && runs > 0 && (o.err != nil || o.Status >= http.StatusInternalServerError) {
		report.addViolation("lost: %s at %s ran but its response failed: status %d, error %v", o.attempt, o.host, o.Status,
			o.err)
	}
}

// checkOwners finds pairs of running upstreams that held the same key at the same time and both started requests with
// this key during that time.
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

// heldIntervals returns the intervals for which upstreams held a key. An interval ends with the release or the expiry
// of the grant, or with the kill of the upstream. A grant that is extended before its expiry continues its interval.
func heldIntervals(key int, lines []simulator.Line, killTimes map[string]time.Time) []interval {
	open := map[string]*interval{}
	var intervals []interval
	closeInterval := func(upstream string, at int64) {
		if current := open[upstream]; current != nil {
			current.end = min(current.end, at)
			intervals = append(intervals, *current)
			delete(open, upstream)
		}
	}
	for _, line := range lines {
		if line.Attempt != "" || key < line.From || key > line.To {
			continue
		}
		current := open[line.Upstream]
		switch {
		case line.Until == 0:
			closeInterval(line.Upstream, line.At)
		case current != nil && line.At <= current.end:
			current.end = max(current.end, line.Until)
		default:
			closeInterval(line.Upstream, line.At)
			open[line.Upstream] = &interval{line.Upstream, line.At, line.Until}
		}
	}
	for upstream := range open {
		closeInterval(upstream, time.Now().UnixNano())
	}
	for i, held := range intervals {
		if at, killed := killTimes[held.upstream]; killed {
			intervals[i].end = min(held.end, at.UnixNano())
		}
	}
	return intervals
}

// ranWithin reports whether the upstream started a request with the key from begin to end, in Unix nanoseconds.
func ranWithin(lines []simulator.Line, upstream string, key int, begin, end int64) bool {
	for _, line := range lines {
		if line.Attempt != "" && line.Upstream == upstream && line.Key == key && line.At >= begin && line.At <= end {
			return true
		}
	}
	return false
}
