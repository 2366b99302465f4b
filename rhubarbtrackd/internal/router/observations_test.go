package router

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

var upstream = identifier.Incarnation{ID: "u", Start: 1}

// Guards against a running upstream that is reported as stopped. Only a refused connection without a request in flight
// is evidence that the process has stopped.
func TestRecordConnectFailure(t *testing.T) {
	refusal := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	tests := []struct {
		name     string
		err      error
		inFlight int
		refused  int
		timedOut int
		reached  int
	}{
		{"connection refused", refusal, 0, 1, 0, 0},
		{"connection refused with a request in flight", refusal, 1, 0, 0, 1},
		{"timeout", timeout, 0, 0, 1, 0},
		{"host unreachable", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, 0, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := newObservations()
			o.recordConnectFailure(upstream, tt.err, tt.inFlight)
			report := o.take(0)
			assert.Equal(t, len(report.Refused), tt.refused)
			assert.Equal(t, len(report.Unresponsive), tt.timedOut)
			assert.Equal(t, len(report.Reached), tt.reached)
		})
	}
}

// Guards against requests to an upstream after its drain delay, or after the take-out delay of its failure domain. A
// change reaches this host late, here 0.6 s after the store, so the host has to stop before the delay has passed on its
// own clock.
func TestDrainingUpstreamGetsNoLateRequests(t *testing.T) {
	const (
		drainDelay  = 2500 * time.Millisecond
		since       = time.Minute
		propagation = 600 * time.Millisecond
	)
	r := New(Options{Limits: Limits{DrainDelay: drainDelay, TakeOutDelay: drainDelay}})
	u := registrar.Upstream{Incarnation: upstream, Domain: "d"}
	draining := &follower.Snapshot{Draining: map[identifier.Incarnation]time.Duration{upstream: since}}
	takenOut := &follower.Snapshot{TakenOut: map[string]time.Duration{"d": since}}
	for _, snapshot := range []*follower.Snapshot{draining, takenOut} {
		assert.Assert(t, r.eligible(since+time.Second, snapshot, u))
		assert.Assert(t, !r.eligible(since+drainDelay-propagation, snapshot, u))
	}
}

// Guards against observations that are reported twice, reports that grow without bound, and wrong ages of loads.
func TestTakeResetsObservations(t *testing.T) {
	o := newObservations()
	for key := range uint16(maxReportedKeys + 10) {
		o.recordKey("s", key)
	}
	o.recordTime(upstream, time.Second)
	o.recordTime(upstream, time.Second)
	o.recordLoad(time.Second, upstream, selector.Load{Running: 1, Slots: 6})
	report := o.take(3 * time.Second)
	assert.Equal(t, len(report.Keys["s"]), maxReportedKeys)
	assert.Equal(t, report.Timings[0].Count, 2)
	assert.Equal(t, report.Timings[0].Sum, 2*time.Second)
	assert.Equal(t, report.Loads[0].Age, 2*time.Second)
	again := o.take(4 * time.Second)
	assert.Equal(t, len(again.Keys)+len(again.Timings)+len(again.Loads), 0)
}
