package locator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
)

// Guards against a host that reports readiness before it has received the configuration.
func TestNotFreshWithoutConfiguration(t *testing.T) {
	assert.Assert(t, !locator.New().AllFresh(0))
}
