package prober

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an interruption that is hidden or made up by probes that are answered late.
func TestLongestInterruption(t *testing.T) {
	begun := time.Now()
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	type probe struct{ started, ended int }
	tests := []struct {
		name   string
		probes []probe
		end    int
		want   time.Duration
	}{
		{name: "steady", probes: []probe{{200, 205}, {400, 405}}, end: 600, want: 205 * time.Millisecond},
		{name: "gap", probes: []probe{{200, 205}, {1400, 1405}}, end: 1500, want: 1205 * time.Millisecond},
		{name: "late answer of an earlier probe", probes: []probe{{400, 405}, {200, 900}}, end: 600, want: 405 * time.Millisecond},
		{name: "not ended", probes: []probe{{200, 205}}, end: 3200, want: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			subject := Subject{Service: "s", Key: "k"}
			p := New([]Subject{subject}, nil)
			p.records[subject].served = begun
			for _, probe := range test.probes {
				p.record(subject, at(probe.started), at(probe.ended))
			}
			p.finish(at(test.end))
			assert.Equal(t, p.LongestInterruption("s").Length, test.want)
		})
	}
}
