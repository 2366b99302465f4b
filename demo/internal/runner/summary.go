package runner

import (
	"fmt"
	"io"
	"sort"
	"time"

	"rhubarbtrack.example/demo/internal/checker"
	"rhubarbtrack.example/demo/internal/collector"
)

type serviceResult struct {
	service string
	result  collector.Result
}

// summary is the result of one run of a variant.
type summary struct {
	services     []serviceResult
	findings     checker.Findings
	neverRepeat  int
	executions   int
	peakInFlight int
	// peakOverCapacity counts as a failure only in variants with fragile upstreams.
	peakOverCapacity int
	exited           []string
	elapsed          time.Duration
	variant          variant
	limits           []limit
}

// failed reports whether a guarantee was violated, a limit was exceeded, a response was mismatched, an upstream ran
// more requests at once than it has slots, or a process exited unexpectedly.
func (s *summary) failed() bool {
	mismatched := 0
	for _, service := range s.services {
		mismatched += service.result.Mismatched
	}
	for _, l := range s.limits {
		if l.exceeded() {
			return true
		}
	}
	return s.findings.Failed() || mismatched > 0 || s.peakInFlight > slots || len(s.exited) > 0
}

func (s *summary) print(w io.Writer) {
	for _, service := range s.services {
		printService(w, service)
	}
	f := s.findings
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	printLine("never-repeat requests=%d executions-of-all-kinds=%d unknown-ran=%d unknown-not-run=%d",
		s.neverRepeat, s.executions, f.UnknownRan, f.UnknownNotRun)
	printLine("lost=%d doubled=%d falsely-refused=%d overlapping-owners=%d shared-fences=%d late-work=%d peak-in-flight=%d/%d",
		f.Lost, f.Duplicated, f.FalselyRejected, f.Overlapping, f.SharedFences, f.RunsWhileTakenOut, s.peakInFlight, slots)
	for _, example := range f.Examples {
		printLine("violation: %s", example)
	}
	for _, exited := range s.exited {
		printLine("ended by itself: %s", exited)
	}
	for _, l := range s.limits {
		printLine("limit=%s measured=%.2f bound=%.2f verdict=%s", l.name, l.measured, l.bound, verdictOf(l.exceeded()))
	}
	if s.variant.name == "" {
		printLine("elapsed-s=%.1f verdict=%s", s.elapsed.Seconds(), verdictOf(s.failed()))
		return
	}
	printLine("scenario=%s elapsed-s=%.1f verdict=%s", s.variant.name, s.elapsed.Seconds(), verdictOf(s.failed()))
}

func verdictOf(failed bool) string {
	if failed {
		return "fail"
	}
	return "pass"
}

func printService(w io.Writer, service serviceResult) {
	r := service.result
	_, _ = fmt.Fprintf(w, "service=%s requests=%d answered-whole=%d not-run=%d unknown=%d mismatched=%d unsent=%d\n",
		service.service, r.Offered, r.Answered, r.NotRun, r.Unknown, r.Mismatched, r.Overflow)
	_, _ = fmt.Fprintf(w, "service=%s resends=%d latency-p50-ms=%.1f latency-p99-ms=%.1f latency-p99-9-ms=%.1f latency-worst-ms=%.1f unavailable-s=%.2f key=%q still-unavailable=%t\n",
		service.service, r.Resends, r.P50MS, r.P99MS, r.P999MS, r.MaxMS, r.OutageMS/1000, r.OutageKey, r.OutageOpen)
	var reasons []string
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(w, "service=%s reason=%q requests=%d\n", service.service, reason, r.Reasons[reason])
	}
}
