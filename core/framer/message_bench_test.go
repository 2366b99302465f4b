package framer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/witness"
)

// BenchmarkMessage measures the control messages that hosts and controllers send every 200 ms.
func BenchmarkMessage(b *testing.B) {
	lease := controller.Lease{Upstream: "marks.u1", Epoch: 3, Incarnation: "0123456789abcdef", Serve: make([]slicer.Fence, 16)}
	messages := []struct {
		name    string
		message framer.Message
	}{
		{"confirm", framer.Message{Service: "marks", Confirm: &witness.Request{Service: "marks", Term: 3, Number: 99}}},
		{"heartbeat", framer.Message{Service: "marks", Heartbeat: &controller.Heartbeat{
			Host: "host-1", Incarnation: "0123456789abcdef", FailureDomain: "a",
			Leases: []controller.HeldLease{{Upstream: "marks.u1", Term: 3, Epoch: 3}},
		}}},
		{"leases", framer.Message{Service: "marks", Leases: &controller.SendLeases{
			Host: "host-1", Incarnation: "0123456789abcdef", Term: 3, Leases: []controller.Lease{lease, lease},
		}}},
	}
	for _, m := range messages {
		data, err := framer.EncodeMessage(m.message)
		assert.NilError(b, err)
		b.Run(m.name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = framer.EncodeMessage(m.message)
			}
		})
		b.Run(m.name+"/decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = framer.DecodeMessage(data)
			}
		})
	}
}
