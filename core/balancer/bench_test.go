package balancer

import (
	"testing"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// BenchmarkPick measures one Pick among 13 upstreams and the Observe of its end.
func BenchmarkPick(b *testing.B) {
	choices := New(Options{Seed: 1})
	choices.SetTargets(0, targets(13))
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		picked, _ := choices.Pick(now, configurator.Safe, nil)
		choices.Observe(now+5*time.Millisecond, Ended{Attempt: picked})
	}
}
