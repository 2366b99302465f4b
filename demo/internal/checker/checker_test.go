package checker_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/demo/internal/checker"
)

// Guards against a violation that the demo would report as a success, and against a failure that the guarantees allow.
func TestCheck(t *testing.T) {
	fenced := func(upstream, id, key string, epoch uint64, start, end int64) checker.Execution {
		return checker.Execution{
			Upstream: upstream, FailureDomain: upstream, RequestID: id, Key: key, Fenced: true,
			Slice: 1, Term: 1, Epoch: epoch, Start: start, End: end,
		}
	}
	plain := func(upstream, id string) checker.Execution {
		return checker.Execution{Upstream: upstream, FailureDomain: upstream, RequestID: id, Start: 10, End: 20}
	}
	tests := []struct {
		name       string
		requests   []checker.Request
		executions []checker.Execution
		absences   []checker.TakeOut
		want       checker.Findings
	}{
		{name: "empty"},
		{
			name:       "answered once",
			requests:   []checker.Request{{ID: "r", Outcome: checker.Answered}},
			executions: []checker.Execution{plain("a", "r")},
		},
		{
			name:     "acknowledged, not run",
			requests: []checker.Request{{ID: "r", Outcome: checker.Answered}},
			want:     checker.Findings{Lost: 1},
		},
		{
			name:       "run twice by one upstream",
			requests:   []checker.Request{{ID: "r", Outcome: checker.Answered}},
			executions: []checker.Execution{plain("a", "r"), plain("a", "r")},
			want:       checker.Findings{Duplicated: 1},
		},
		{
			name:       "run twice by two upstreams, unknown to the caller",
			requests:   []checker.Request{{ID: "r", Outcome: checker.Unknown}},
			executions: []checker.Execution{plain("a", "r"), plain("b", "r")},
			want:       checker.Findings{Duplicated: 1, UnknownRan: 1},
		},
		{
			name:       "refused as not run, run",
			requests:   []checker.Request{{ID: "r", Outcome: checker.NotRun}},
			executions: []checker.Execution{plain("a", "r")},
			want:       checker.Findings{FalselyRejected: 1},
		},
		{name: "refused as not run", requests: []checker.Request{{ID: "r", Outcome: checker.NotRun}}},
		{
			name:       "unknown",
			requests:   []checker.Request{{ID: "r", Outcome: checker.Unknown}, {ID: "s", Outcome: checker.Unknown}},
			executions: []checker.Execution{plain("a", "r")},
			want:       checker.Findings{UnknownRan: 1, UnknownNotRun: 1},
		},
		{
			name:       "repeated safe request",
			executions: []checker.Execution{plain("a", "get"), plain("b", "get")},
		},
		{
			name:       "two owners at once",
			executions: []checker.Execution{fenced("a", "r", "k", 1, 10, 20), fenced("b", "s", "k", 2, 19, 30)},
			want:       checker.Findings{Overlapping: 1},
		},
		{
			name: "overlap behind a short run of the first owner",
			executions: []checker.Execution{
				fenced("a", "r", "k", 1, 10, 40), fenced("a", "s", "k", 1, 11, 12), fenced("b", "t", "k", 2, 30, 50),
			},
			want: checker.Findings{Overlapping: 1},
		},
		{
			name: "two owners at once without fences",
			executions: []checker.Execution{
				{Upstream: "a", RequestID: "r", Key: "k", Start: 10, End: 20}, {Upstream: "b", RequestID: "s", Key: "k", Start: 19, End: 30},
			},
			want: checker.Findings{Overlapping: 1},
		},
		{
			name:       "owner after owner",
			executions: []checker.Execution{fenced("a", "r", "k", 1, 10, 20), fenced("b", "s", "k", 2, 20, 30)},
		},
		{
			name:       "different keys at once",
			executions: []checker.Execution{fenced("a", "r", "k", 1, 10, 20), fenced("b", "s", "l", 2, 10, 20)},
		},
		{
			name:       "killed during the run",
			executions: []checker.Execution{fenced("a", "r", "k", 1, 10, 0), fenced("b", "s", "k", 2, 11, 20)},
		},
		{
			name:       "one fence, two upstreams",
			executions: []checker.Execution{fenced("a", "r", "k", 1, 10, 20), fenced("b", "s", "l", 1, 30, 40)},
			want:       checker.Findings{SharedFences: 1},
		},
		{
			name:       "new work while taken out",
			executions: []checker.Execution{plain("a", "r")},
			absences:   []checker.TakeOut{{FailureDomain: "a", From: 5, Until: 15}},
			want:       checker.Findings{RunsWhileTakenOut: 1},
		},
		{
			name:       "old work while taken out",
			executions: []checker.Execution{plain("a", "r"), plain("b", "s")},
			absences:   []checker.TakeOut{{FailureDomain: "a", From: 11, Until: 15}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := checker.Check(test.requests, test.executions, test.absences)
			want := test.want
			assert.Equal(t, got.Failed(), want.Lost+want.Duplicated+want.FalselyRejected+want.Overlapping+want.SharedFences+want.RunsWhileTakenOut > 0)
			got.Examples = nil
			assert.DeepEqual(t, got, want)
		})
	}
}
