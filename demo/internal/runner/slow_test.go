package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/demo/internal/checker"
)

// Guards against a share of extra load that counts executions of another service or of another time.
func TestExtraLoadRatio(t *testing.T) {
	executions := []checker.Execution{
		{Upstream: "label-templates.u1", RequestID: "a", Start: 10},
		{Upstream: "label-templates.u2", RequestID: "a", Start: 11},
		{Upstream: "label-templates.u2", RequestID: "b", Start: 12},
		{Upstream: "label-templates.u2", RequestID: "b", Start: 30},
		{Upstream: "shelf-marks.u1", RequestID: "a", Start: 12},
	}
	assert.Equal(t, extraShare(phase{from: 10, until: 20}, "label-templates", executions), 0.5)
	assert.Equal(t, extraShare(phase{from: 10, until: 20}, "shelf-marks", executions), 0.0)
}
