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

// summary is the result of a run.
type summary struct {
	services     []serviceResult
	findings     checker.Findings
	neverRepeat  int
	executions   int
	peakInFlight int
	exited       []string
	elapsed      time.Duration
}

// failed reports a violation of a guarantee, or a process that ended by itself.
func (s *summary) failed() bool {
	mismatched := 0
	for _, service := range s.services {
		mismatched += service.result.Mismatched
	}
	return s.findings.Failed() || mismatched > 0 || s.peakInFlight > slots || len(s.exited) > 0
}

func (s *summary) print(w io.Writer) {
	for _, service := range s.services {
		printService(w, service)
	}
	f := s.findings
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	say("never-repeat requests=%d executions-of-all-kinds=%d unknown-ran=%d unknown-not-run=%d",
		s.neverRepeat, s.executions, f.UnknownRan, f.UnknownNotRun)
	say("lost=%d doubled=%d falsely-refused=%d overlapping-owners=%d shared-fences=%d late-work=%d peak-in-flight=%d/%d",
		f.Lost, f.Doubled, f.FalselyRefused, f.Overlapping, f.SharedFences, f.LateWork, s.peakInFlight, slots)
	for _, example := range f.Examples {
		say("violation: %s", example)
	}
	for _, exited := range s.exited {
		say("ended by itself: %s", exited)
	}
	verdict := "pass"
	if s.failed() {
		verdict = "fail"
	}
	say("elapsed-s=%.1f verdict=%s", s.elapsed.Seconds(), verdict)
}

func printService(w io.Writer, service serviceResult) {
	r := service.result
	_, _ = fmt.Fprintf(w, "service=%s requests=%d answered-whole=%d not-run=%d unknown=%d mismatched=%d unsent=%d\n",
		service.service, r.Offered, r.Answered, r.NotRun, r.Unknown, r.Mismatched, r.Overflow)
	_, _ = fmt.Fprintf(w, "service=%s latency-p99-ms=%.1f latency-worst-ms=%.1f unavailable-s=%.2f key=%q still-unavailable=%t\n",
		service.service, r.P99MS, r.MaxMS, r.OutageMS/1000, r.OutageKey, r.OutageOpen)
	var reasons []string
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(w, "service=%s reason=%q requests=%d\n", service.service, reason, r.Reasons[reason])
	}
}
