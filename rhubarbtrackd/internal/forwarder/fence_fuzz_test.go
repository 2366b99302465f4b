package forwarder_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
)

// FuzzFence guards against a fence that changes when it is formatted and parsed again.
func FuzzFence(f *testing.F) {
	f.Add("1.2.3")
	f.Add("4294967296.1.1")
	f.Fuzz(func(t *testing.T, value string) {
		fence, err := dispatcher.ParseFence(value)
		if err != nil {
			return
		}
		reparsed, err := dispatcher.ParseFence(dispatcher.FormatFence(fence))
		assert.NilError(t, err)
		assert.Equal(t, reparsed, fence)
	})
}
