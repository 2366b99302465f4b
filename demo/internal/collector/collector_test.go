package collector_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/demo/internal/checker"
	"rhubarbtrack.example/demo/internal/collector"
)

// Guards against an execution of a killed upstream that is counted twice, because the runs file has one line for its
// start and one for its end, and against a runs file that is rejected because the kill truncated its last line.
func TestRunsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	content := `{"index":0,"request-id":"r1","key":"k","fenced":true,"slice":1,"term":2,"epoch":3,"start-ns":10,"end-ns":0}
{"index":1,"request-id":"r2","start-ns":11,"end-ns":0}
{"index":0,"request-id":"r1","key":"k","fenced":true,"slice":1,"term":2,"epoch":3,"start-ns":10,"end-ns":20}
{"index":2,"requ`
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	executions, err := collector.RunsFile(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, executions, []checker.Execution{
		{RequestID: "r1", Key: "k", Fenced: true, Slice: 1, Term: 2, Epoch: 3, Start: 10, End: 20},
		{RequestID: "r2", Start: 11},
	})
}

// Guards against an unknown outcome that is decoded as a known one, so that the checker misses a violation.
func TestLoadResult(t *testing.T) {
	tests := []struct {
		name    string
		outcome string
		want    checker.Outcome
		fails   bool
	}{
		{name: "answered", outcome: "answered", want: checker.Answered},
		{name: "not run", outcome: "not-run", want: checker.NotRun},
		{name: "unknown", outcome: "unknown", want: checker.Unknown},
		{name: "other", outcome: "lost", fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "load.json")
			content := `{"offered":3,"outages":[{"key":"k","longest-ms":7}],"never-repeat":[{"request-id":"r1","outcome":"` + test.outcome + `"}]}`
			assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
			result, err := collector.LoadResult(path)
			assert.Equal(t, err != nil, test.fails)
			if test.fails {
				return
			}
			assert.Equal(t, result.OutageMS, 7.0)
			assert.DeepEqual(t, result.Requests, []checker.Request{{ID: "r1", Outcome: test.want}})
		})
	}
}
