package prober

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an interruption that is missed, or reported without cause, when the response to an earlier probe
// arrives after that to a later one.
func TestLongestInterruption(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type probe struct{ started, ended int }
	tests := []struct {
		name   string
		probes []probe
		end    int
		want   time.Duration
	}{
		{name: "steady", probes: []probe{{200, 205}, {400, 405}}, end: 600, want: 205 * time.Millisecond},
		{name: "interruption", probes: []probe{{200, 205}, {1400, 1405}}, end: 1500, want: 1205 * time.Millisecond},
		{name: "late response to an earlier probe", probes: []probe{{400, 405}, {200, 900}}, end: 600, want: 405 * time.Millisecond},
		{name: "interrupted at the end", probes: []probe{{200, 205}}, end: 3200, want: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			subject := Subject{Service: "s", Key: "k"}
			p := New([]Subject{subject}, nil)
			p.states[subject].lastServed = start
			for _, probe := range test.probes {
				p.record(subject, at(probe.started), at(probe.ended))
			}
			p.finish(at(test.end))
			assert.Equal(t, p.LongestInterruption("s").Length, test.want)
		})
	}
}
