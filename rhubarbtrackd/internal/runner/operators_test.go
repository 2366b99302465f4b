package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/planner"
)

// A refused take-out must name the service that would lack slots, also when several services do.
func TestShortfallNamesService(t *testing.T) {
	shortfall := shortfallOf(planner.Shortfall{Service: "shelf-marks", Needed: 17, Available: 12})
	assert.Equal(t, shortfall.Text, "service shelf-marks needs 17 slots and keeps 12")
	assert.Equal(t, shortfall.Service, "shelf-marks")
}
