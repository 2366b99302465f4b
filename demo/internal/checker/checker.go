// Package checker compares what callers were told about their requests with what the upstreams ran.
//
// Usage:
//
//	findings := checker.Check(outcomes, executions, absences)
//	if findings.Failed() { ... }
package checker

import (
	"fmt"
	"sort"
)

// exampleLimit bounds the number of examples of a kind of finding.
const exampleLimit = 5

// Outcome says what a caller was told about a never-repeat request.
type Outcome int

// Outcomes of a request.
const (
	Unknown Outcome = iota
	Answered
	NotRun
)

// Request is a never-repeat request with its outcome.
type Request struct {
	ID      string
	Outcome Outcome
}

// Execution is one run of any request by an upstream. Times are wall-clock nanoseconds. End is zero when the upstream was
// killed during the run.
type Execution struct {
	Upstream      string
	FailureDomain string
	RequestID     string
	Key           string
	// Fenced says that the request carried the fence Slice, Term and Epoch.
	Fenced bool
	Slice  uint64
	Term   uint64
	Epoch  uint64
	Start  int64
	End    int64
}

// TakeOut is a time during which a failure domain must not begin any work, in wall-clock nanoseconds.
type TakeOut struct {
	FailureDomain string
	From          int64
	Until         int64
}

// Findings are the violations found, with some examples.
type Findings struct {
	// Lost requests were acknowledged, but did not run.
	Lost int
	// Duplicated requests ran more than once.
	Duplicated int
	// FalselyRejected requests were refused as not run, but ran.
	FalselyRejected int
	// Overlapping pairs of runs had the same key at the same time on different upstreams.
	Overlapping int
	// SharedFences are fences under which more than one upstream ran requests.
	SharedFences int
	// RunsWhileTakenOut are runs that began in a failure domain while it had to be free of new work.
	RunsWhileTakenOut int
	// UnknownRan and UnknownNotRun are requests whose caller does not know whether they ran. They are no violations.
	UnknownRan    int
	UnknownNotRun int
	Examples      []string
}

// Failed reports whether there is any violation.
func (f Findings) Failed() bool {
	return f.Lost+f.Duplicated+f.FalselyRejected+f.Overlapping+f.SharedFences+f.RunsWhileTakenOut > 0
}

// Check looks for violations. Executions without a request in the list are checked for ownership only.
func Check(requests []Request, executions []Execution, absences []TakeOut) Findings {
	findings := &Findings{}
	checkRequests(findings, requests, executions)
	checkOverlaps(findings, executions)
	checkFences(findings, executions)
	checkAbsences(findings, executions, absences)
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
			findings.add(&findings.Lost, "lost: %s was acknowledged and did not run", request.ID)
		case request.Outcome == NotRun && count > 0:
			findings.add(&findings.FalselyRejected, "falsely refused: %s was refused as not run and ran", request.ID)
		case request.Outcome == Unknown && count > 0:
			findings.UnknownRan++
		case request.Outcome == Unknown:
			findings.UnknownNotRun++
		}
	}
}

// checkOverlaps looks for a key that two upstreams served at the same time. Requests without a key have no owner.
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
					findings.add(&findings.Overlapping, "overlap: key %s on %s and %s", key, earlier.Upstream, later.Upstream)
				}
			}
		}
	}
}

type fence struct {
	slice, term, epoch uint64
}

// checkFences looks for a fence that two upstreams accepted. A fence names one assignment of one slice, so that this shows
// a second owner even when the runs do not overlap.
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
			findings.add(&findings.SharedFences, "shared fence: slice %d term %d epoch %d on %s and %s",
				current.slice, current.term, current.epoch, owner, execution.Upstream)
		}
	}
}

func checkAbsences(findings *Findings, executions []Execution, absences []TakeOut) {
	for _, absence := range absences {
		for _, execution := range executions {
			if execution.FailureDomain != absence.FailureDomain {
				continue
			}
			if execution.Start > absence.From && execution.Start < absence.Until {
				findings.add(&findings.RunsWhileTakenOut, "late work: %s began %s in %s", execution.Upstream, execution.RequestID, absence.FailureDomain)
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
