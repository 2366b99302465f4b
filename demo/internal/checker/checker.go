// Package checker compares the outcomes that callers received for their never-repeat requests with the executions that
// the upstreams recorded, and reports violations of the guarantees:
//
//   - A request that was answered has run, and one that was rejected as not run has not.
//   - No never-repeat request runs more than once.
//   - A key is served by one upstream at a time, and a fence is used by one upstream only.
//   - No request starts in a failure domain that is out of service.
//
// Usage:
//
//	findings := checker.Check(requests, executions, takeOuts)
//	if findings.Failed() { ... }
package checker

import (
	"fmt"
	"sort"
)

// exampleLimit is the number of examples that are kept for each kind of violation.
const exampleLimit = 5

// Outcome is what the caller of a never-repeat request was able to conclude from the response.
type Outcome int

// Outcomes of a request. Unknown means that the caller cannot tell whether the request ran.
const (
	Unknown Outcome = iota
	Answered
	NotRun
)

// Request is a never-repeat request and the outcome at its caller.
type Request struct {
	ID      string
	Outcome Outcome
}

// Execution is one run of a request of any class by an upstream. Start and End are Unix times in nanoseconds. End is
// zero when the upstream was killed during the run.
type Execution struct {
	Upstream      string
	FailureDomain string
	RequestID     string
	Key           string
	// Fenced reports that the request carried the fence (Slice, Term, Epoch).
	Fenced bool
	Slice  uint64
	Term   uint64
	Epoch  uint64
	Start  int64
	End    int64
}

// TakeOut is an interval in which no request may start in a failure domain, in Unix nanoseconds.
type TakeOut struct {
	FailureDomain string
	From          int64
	Until         int64
}

// Findings counts the violations of each kind.
type Findings struct {
	// Lost counts requests that were answered but did not run.
	Lost int
	// Duplicated counts requests that ran more than once.
	Duplicated int
	// FalselyRejected counts requests that were rejected as not run but ran.
	FalselyRejected int
	// Overlapping counts pairs of executions of the same key that overlapped on different upstreams.
	Overlapping int
	// SharedFences counts fences under which more than one upstream ran requests.
	SharedFences int
	// RunsWhileTakenOut counts executions that started in a failure domain while it was out of service.
	RunsWhileTakenOut int
	// UnknownRan and UnknownNotRun count requests of unknown outcome by whether they ran. They are not violations,
	// since the caller was not given a wrong outcome.
	UnknownRan    int
	UnknownNotRun int
	// Examples describes the first violations of each kind.
	Examples []string
}

// Failed reports whether any guarantee was violated.
func (f Findings) Failed() bool {
	return f.Lost+f.Duplicated+f.FalselyRejected+f.Overlapping+f.SharedFences+f.RunsWhileTakenOut > 0
}

// Check returns the violations. Executions of requests that are not in the list, such as safe ones, may be repeated;
// they are checked against the rules for owners and failure domains only.
func Check(requests []Request, executions []Execution, takeOuts []TakeOut) Findings {
	findings := &Findings{}
	checkRequests(findings, requests, executions)
	checkOverlaps(findings, executions)
	checkFences(findings, executions)
	checkTakeOuts(findings, executions, takeOuts)
	return *findings
}

func checkRequests(findings *Findings, requests []Request, executions []Execution) {
	counts := map[string]int{}
	for _, execution := range executions {
		counts[execution.RequestID]++
	}
	for _, request := range requests {
		count := counts[request.ID]
		if count > 1 {
			findings.add(&findings.Duplicated, "doubled: %s ran %d times", request.ID, count)
		}
		switch {
		case request.Outcome == Answered && count == 0:
			findings.add(&findings.Lost, "lost: %s was answered but did not run", request.ID)
		case request.Outcome == NotRun && count > 0:
			findings.add(&findings.FalselyRejected, "falsely refused: %s was rejected as not run but ran", request.ID)
		case request.Outcome == Unknown && count > 0:
			findings.UnknownRan++
		case request.Outcome == Unknown:
			findings.UnknownNotRun++
		}
	}
}

// checkOverlaps finds keys that two upstreams served at the same time. Requests without a key have no owner and are
// skipped. The end of a run that a kill interrupted is unknown, so later runs are not compared with it.
func checkOverlaps(findings *Findings, executions []Execution) {
	byKey := map[string][]Execution{}
	for _, execution := range executions {
		if execution.Key != "" {
			byKey[execution.Key] = append(byKey[execution.Key], execution)
		}
	}
	for key, runs := range byKey {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Start < runs[j].Start })
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				if later.Start >= earlier.End {
					break
				}
				if later.Upstream != earlier.Upstream {
					findings.add(&findings.Overlapping, "overlap: key %s ran on %s and %s at the same time", key, earlier.Upstream,
						later.Upstream)
				}
			}
		}
	}
}

type fence struct {
	slice, term, epoch uint64
}

// checkFences finds fences that two upstreams accepted. A fence identifies one assignment of one slice, so a shared
// fence shows a second owner even when the executions do not overlap.
func checkFences(findings *Findings, executions []Execution) {
	owners := map[fence]string{}
	shared := map[fence]bool{}
	for _, execution := range executions {
		if !execution.Fenced {
			continue
		}
		current := fence{slice: execution.Slice, term: execution.Term, epoch: execution.Epoch}
		owner, ok := owners[current]
		if !ok {
			owners[current] = execution.Upstream
			continue
		}
		if owner != execution.Upstream && !shared[current] {
			shared[current] = true
			findings.add(&findings.SharedFences, "shared fence: slice %d term %d epoch %d was used on %s and %s",
				current.slice, current.term, current.epoch, owner, execution.Upstream)
		}
	}
}

func checkTakeOuts(findings *Findings, executions []Execution, takeOuts []TakeOut) {
	for _, takeOut := range takeOuts {
		for _, execution := range executions {
			if execution.FailureDomain != takeOut.FailureDomain {
				continue
			}
			if execution.Start > takeOut.From && execution.Start < takeOut.Until {
				findings.add(&findings.RunsWhileTakenOut, "late work: %s started %s in %s, which was out of service",
					execution.Upstream, execution.RequestID, takeOut.FailureDomain)
			}
		}
	}
}

func (f *Findings) add(count *int, format string, args ...any) {
	*count++
	if *count <= exampleLimit {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}
