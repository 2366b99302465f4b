package executor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/upstreamsim/internal/executor"
)

// Guards against a simulated upstream that bears more or less than the protocol says, which would make the checks of
// cold starts meaningless.
func TestBegin(t *testing.T) {
	tests := []struct {
		name      string
		options   executor.Options
		completed int
		want      []executor.Decision
	}{
		{name: "cold", options: executor.Options{Slots: 2}, want: []executor.Decision{executor.Run, executor.ShedCold}},
		{name: "still cold", options: executor.Options{Slots: 2}, completed: 19, want: []executor.Decision{executor.Run, executor.ShedCold}},
		{name: "warmed up", options: executor.Options{Slots: 2}, completed: 20, want: []executor.Decision{executor.Run, executor.Run, executor.Shed}},
		{name: "never above slots", options: executor.Options{Slots: 2}, completed: 60, want: []executor.Decision{executor.Run, executor.Run, executor.Shed}},
		{name: "warm", options: executor.Options{Slots: 2, Warm: true}, want: []executor.Decision{executor.Run, executor.Run, executor.Shed}},
		{name: "fragile", options: executor.Options{Slots: 2, Fragile: true}, want: []executor.Decision{executor.Run, executor.ShedCold, executor.Crash}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			capacity := executor.New(test.options)
			for range test.completed {
				assert.Equal(t, capacity.Begin(), executor.Run)
				capacity.End(true)
			}
			var got []executor.Decision
			for range test.want {
				got = append(got, capacity.Begin())
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}
