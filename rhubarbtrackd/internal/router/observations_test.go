package router

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

func TestRecordConnectFailure(t *testing.T) {
	refusal := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	tests := []struct {
		name     string
		err      error
		inFlight int
		refused  int
		silent   int
		reached  int
	}{
		{"refused", refusal, 0, 1, 0, 0},
		{"refused while a request is in flight", refusal, 1, 0, 0, 1},
		{"no answer", timeout, 0, 0, 1, 0},
		{"no route", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, 0, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := newObservations()
			o.contact("u", tt.err, tt.inFlight)
			report := o.take(0)
			assert.Equal(t, len(report.Refused), tt.refused)
			assert.Equal(t, len(report.Unresponsive), tt.silent)
			assert.Equal(t, len(report.Reached), tt.reached)
		})
	}
}

// TestDrainingUpstreamGetsNoLateRequests covers news that take 0.6 s from the store to this host.
func TestDrainingUpstreamGetsNoLateRequests(t *testing.T) {
	const (
		bound   = 2500 * time.Millisecond
		learned = time.Minute
		news    = 600 * time.Millisecond
	)
	c := New(Options{Limits: Limits{DrainDelay: bound, TakeOutDelay: bound}})
	u := registrar.Upstream{ID: "u", Domain: "d"}
	draining := &follower.Snapshot{Draining: map[string]time.Duration{"u": learned}}
	takenOut := &follower.Snapshot{TakenOut: map[string]time.Duration{"d": learned}}
	for _, snapshot := range []*follower.Snapshot{draining, takenOut} {
		assert.Assert(t, c.sendable(learned+time.Second, snapshot, u))
		assert.Assert(t, !c.sendable(learned+bound-news, snapshot, u))
	}
}

func TestTakeResetsObservations(t *testing.T) {
	o := newObservations()
	for key := range uint16(maxKeys + 10) {
		o.key("s", key)
	}
	o.timing("u", time.Second)
	o.timing("u", time.Second)
	o.load(time.Second, "u", selector.Load{Running: 1, Slots: 6})
	report := o.take(3 * time.Second)
	assert.Equal(t, len(report.Keys["s"]), maxKeys)
	assert.Equal(t, report.Timings[0].Count, 2)
	assert.Equal(t, report.Timings[0].Sum, 2*time.Second)
	assert.Equal(t, report.Loads[0].Age, 2*time.Second)
	again := o.take(4 * time.Second)
	assert.Equal(t, len(again.Keys)+len(again.Timings)+len(again.Loads), 0)
}
