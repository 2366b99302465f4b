package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCrossingPrice checks that a price out of its range ends the daemon before it serves, and does not count as another price.
func TestCrossingPrice(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"negative", []string{"--platform", "--check-settings", "--crossing-price=-1ms"}, exitUsage},
		{"too high", []string{"--platform", "--check-settings", "--crossing-price=61m"}, exitUsage},
		{"no duration", []string{"--platform", "--check-settings", "--crossing-price=5"}, exitUsage},
		{"valid, without a settings file", []string{"--platform", "--check-settings", "--crossing-price=200ms"}, exitFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("RHUBARBTRACK_BOOT", "")
			assert.Equal(t, run(tt.args), tt.want)
		})
	}
}
