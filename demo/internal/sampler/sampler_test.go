package sampler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against quantiles that omit the slowest requests because an index is off by one.
func TestQuantilesIncludeTheTail(t *testing.T) {
	var latencies []time.Duration
	for n := range 1000 {
		latencies = append(latencies, time.Duration(1000-n)*time.Millisecond)
	}
	q := quantilesOf(latencies)
	assert.Equal(t, q.P50, 500*time.Millisecond)
	assert.Equal(t, q.P99, 990*time.Millisecond)
	assert.Equal(t, q.P999, 999*time.Millisecond)
	assert.Equal(t, quantilesOf([]time.Duration{time.Second}).P999, time.Second)
}
