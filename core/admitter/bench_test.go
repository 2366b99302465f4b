package admitter

import (
	"testing"
	"time"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/slicer"
)

// Cost of one admitted request: offered, dispatched, ended.
func BenchmarkAdmit(b *testing.B) {
	fence := slicer.Fence{Slice: 1, Term: 1, Epoch: 1}
	crashes := detector.New(detector.Options{})
	a := New(Options{Slots: 6, Keyed: true, Status: crashes.Status})
	a.Step(0, LeaseRenewed{Epoch: 1, SentAt: 1000 * time.Hour})
	a.Step(0, SlicesServed{Fences: []slicer.Fence{fence}})
	b.ReportAllocs()
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		id := ID(i + 1)
		a.Step(now, Offered{ID: id, Fence: fence, Deadline: now + time.Second, Signature: uint64(i)})
		a.Step(now, Ended{ID: id, Latency: time.Millisecond, Incarnation: "a"})
	}
	if a.InFlight() != 0 || a.Queued() != 0 {
		b.Fatal("requests were not admitted")
	}
}
