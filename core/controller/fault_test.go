package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"rhubarbtrack.example/core/controller"
)

// at is a fault at a time after the start of a scenario.
type at struct {
	after time.Duration
	fault fault
}

const sec = time.Second

// TestScenarios guards single ownership and terms in each named failure, the time without service that it may cause, and
// that nothing moves without need.
func TestScenarios(t *testing.T) {
	acting := func(kind string, length time.Duration) at { return at{0, fault{kind: kind, length: length}} }
	tests := []struct {
		name   string
		faults []at
		length time.Duration
		outage time.Duration // longest time in which some slice is not served
		moves  bool          // owners may differ in the end
		codes  []controller.Code
	}{
		{"paused controller with half-sent orders", []at{acting("stall-controller", 2*sec)},
			8 * sec, 2 * sec, false, nil},
		{"paused controller resumes before a successor", []at{acting("pause-controller", 640*ms)}, 4 * sec, 0, false, nil},
		{"delayed orders", []at{acting("delay-messages", 5*sec)}, 10 * sec, 3 * sec, true, nil},
		{"controller cut off from witnesses", []at{acting("cut-witnesses", 5*sec)}, 10 * sec, 1500 * ms, false, nil},
		{"controller cut off from store", []at{acting("cut-store-controller", 5*sec)}, 10 * sec, 0, false, nil},
		{"controller cut off from upstreams", []at{acting("cut-upstreams", 5*sec)}, 12 * sec, 1500 * ms, true, []controller.Code{controller.Resigned}},
		{"controller cut off from witnesses and store", []at{acting("isolate-controller", 5*sec)}, 10 * sec, 1500 * ms, false, nil},
		{"controller cut off from witnesses and upstreams",
			[]at{acting("cut-witnesses", 5*sec), acting("cut-upstreams", 5*sec)}, 10 * sec, 1500 * ms, false, nil},
		// From this host the double failure looks like a store outage, in which a resignation would have no successor. Service
		// returns with the connections.
		{"controller cut off from store and upstreams",
			[]at{acting("cut-store-controller", 5*sec), acting("cut-upstreams", 5*sec)}, 12 * sec, 5 * sec, true, nil},
		{"all upstreams cut off", []at{acting("isolate-all-upstreams", 9*sec)}, 13 * sec, 10500 * ms, true,
			[]controller.Code{controller.Resigned}},
		{"controller killed", []at{acting("kill-controller", 20*sec)}, 6 * sec, 2500 * ms, false, nil},
		{"controller and upstream killed", []at{acting("kill-controller", 20*sec), acting("kill-upstream", 20*sec)},
			6 * sec, 3 * sec, true, []controller.Code{controller.UpstreamExpired}},
		{"upstream frozen for a moment", []at{acting("freeze-upstream", 1*sec)}, 5 * sec, 1100 * ms, false, nil},
		{"upstream frozen and back", []at{acting("freeze-upstream", 4*sec)}, 9 * sec, 3 * sec, true,
			[]controller.Code{controller.UpstreamExpired, controller.UpstreamReturned}},
		{"upstream restarted cold", []at{acting("restart-upstream", 0)}, 3 * sec, 400 * ms, false,
			[]controller.Code{controller.UpstreamRestarted}},
		{"all hosts restarted", []at{acting("restart-all-hosts", 0)}, 5 * sec, 3 * sec, false, nil},
		{"all hosts restarted while answers are lost", []at{acting("restart-all-hosts", 0), acting("lose-answers", 1500*ms)},
			8 * sec, 4500 * ms, false, nil},
		{"answers lost after the write", []at{acting("lose-answers", 3*sec), acting("drain-upstream", 4*sec)}, 9 * sec, 1 * sec, true, nil},
		{"store down ten minutes with a crash", []at{acting("store-down", 600*sec), {300 * sec, fault{"kill-upstream", 0, 700 * sec}}},
			610 * sec, 3 * sec, true, []controller.Code{controller.AssignedProvisionally, controller.StoreAvailable}},
		{"provisional assignments and a new controller", []at{acting("store-down", 10*sec), {1 * sec, fault{"kill-upstream", 0, 9 * sec}},
			{9990 * ms, fault{"kill-controller", 0, 20 * sec}}}, 16 * sec, 3 * sec, true, []controller.Code{controller.AssignedProvisionally}},
		{"two candidates after a split", []at{acting("cut-witnesses", 3*sec), {2900 * ms, fault{"restart-all-hosts", 0, 0}}}, 9 * sec, 3 * sec, false, nil},
		{"admission host cut off during a drain without fence checks", []at{{0, fault{"cut-admission", 3, 6 * sec}},
			{0, fault{"drain-upstream", 3, 6 * sec}}}, 12 * sec, 3 * sec, true, nil},
		{"upstream without fence checks cut off", []at{{0, fault{"isolate-upstream", 3, 5 * sec}}}, 8 * sec, 3 * sec, false, nil},
		{"upstream without fence checks removed while it and its admission host are cut off",
			[]at{{0, fault{"isolate-upstream", 3, 9 * sec}}, {1900 * ms, fault{"cut-admission", 3, 9 * sec}},
				{1950 * ms, fault{"remove-upstream", 3, 9 * sec}}}, 6 * sec, 3 * sec, true, nil},
		{"upstream without fence checks killed", []at{{0, fault{"kill-upstream", 3, 20 * sec}}}, 6 * sec, 3 * sec, true, nil},
		{"all hosts paused", []at{acting("pause-all-hosts", 3*sec)}, 8 * sec, 5 * sec, false, nil},
		{"drained upstream", []at{acting("drain-upstream", 9*sec)}, 8 * sec, 150 * ms, true, nil},
		{"failure domain taken out while the store is known to be down", []at{acting("store-down", 20*sec),
			{1 * sec, fault{"kill-upstream", 1, 30 * sec}}, {5 * sec, fault{"take-out-domain", 0, 15 * sec}}},
			12 * sec, 3 * sec, true, []controller.Code{controller.AssignedProvisionally}},
		{"failure domain taken out", []at{acting("take-out-domain", 9*sec)}, 8 * sec, 250 * ms, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(7, 12, "a", "b", "c", "x")
			w.run(5 * sec)
			before := w.serving()
			start := w.now
			for _, next := range test.faults {
				w.at(next.after, func() { w.inject(next.fault) })
			}
			outage, since := time.Duration(0), w.now
			for w.now < start+test.length && w.wrong == "" {
				w.run(10 * ms)
				if w.unserved() == 0 {
					since = w.now
				}
				outage = max(outage, w.now-since)
			}
			t.Logf("outage %v, log %v", outage, w.trace)
			assert.Equal(t, w.wrong, "")
			assert.Equal(t, w.unserved(), 0)
			assert.Assert(t, outage <= test.outage, "no service for %v", outage)
			if !test.moves {
				assert.DeepEqual(t, w.serving(), before)
			}
			for _, code := range test.codes {
				assert.Assert(t, w.trace[code] > 0, "log event %d is missing", code)
			}
		})
	}
}

// TestUnkeyed guards a service without slices: its upstreams get no orders, a drained upstream receives no new work after
// 4 s, and a lost admission host is replaced within 3 s.
func TestUnkeyed(t *testing.T) {
	w := newWorld(7, 0, "a", "b", "c")
	w.run(5 * sec)
	lost := w.admitting("a", nil)
	w.inject(fault{"drain-upstream", 1, 10 * sec})
	lost.dead = true
	w.run(3 * sec)
	assert.Assert(t, w.admitting("a", lost) != lost)
	w.run(1 * sec)
	assert.Assert(t, w.admitting("b", nil) == nil)
	for _, u := range w.upstreams {
		assert.Equal(t, u.nonce, "")
	}
	assert.Equal(t, w.wrong, "")
}

// TestStaleStopAnswer guards against an answer to a stop that was abandoned and asked for again: the host admits to the
// slices again until it learns of the second stop.
func TestStaleStopAnswer(t *testing.T) {
	w := newWorld(7, 12, "a", "b", "c", "x")
	w.run(5 * sec)
	admitting, acting := w.admitting("x", nil), w.acting(nil)
	assert.Assert(t, admitting != acting)
	w.hold = true
	w.inject(fault{"kill-upstream", 0, 20 * sec})
	w.run(1800 * ms)
	w.inject(fault{"store-down", 0, 700 * ms})
	w.run(200 * ms)
	// A move by choice: slices of an upstream that is to be emptied move also while the store is down.
	w.offload = "x"
	w.control(acting, acting.clock(w.now), controller.Configured{Snapshot: w.snapshot}) // plans at once
	w.run(200 * ms)
	stale := w.stops
	assert.Assert(t, len(stale) > 0, "no stop was asked for")
	w.run(350 * ms)
	assert.Assert(t, len(admitting.leases["x"].serve) > 0, "the stop was not abandoned")
	w.cut[[2]string{acting.name, admitting.name}] = true
	started := w.trace[controller.MoveStarted]
	w.run(600 * ms)
	assert.Assert(t, w.trace[controller.MoveStarted] > started, "no second stop")
	delete(w.cut, [2]string{acting.name, admitting.name})
	for _, answer := range stale {
		answer()
	}
	w.cut[[2]string{acting.name, admitting.name}] = true
	w.run(400 * ms)
	assert.Equal(t, w.wrong, "")
	assert.Assert(t, len(admitting.leases["x"].serve) > 0)
}

// TestDelayedHeartbeatOfEarlierProcess guards against the end of leases that the present process of a host holds: a
// heartbeat of an earlier process arrives late at a controller that never knew that process.
func TestDelayedHeartbeatOfEarlierProcess(t *testing.T) {
	w := newWorld(7, 12, "a", "b", "c", "x")
	w.run(5 * sec)
	acting := w.acting(nil)
	for _, upstream := range []string{"a", "b", "c", "x"} {
		host := w.admitting(upstream, nil)
		if host == acting {
			continue
		}
		w.control(acting, acting.clock(w.now), controller.Heartbeat{Host: host.name, Incarnation: "earlier", Term: 0})
		w.run(2 * sec)
		assert.Equal(t, w.wrong, "")
		assert.Equal(t, w.admitting(upstream, nil), host)
	}
}
