package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"rhubarbtrack.example/core/controller"
)

// scheduledFault is a fault that begins at a time after the start of a scenario.
type scheduledFault struct {
	after time.Duration
	fault fault
}

const sec = time.Second

// TestScenarios guards against two owners of a slice, a longer outage than allowed and needless moves in the named
// failures.
func TestScenarios(t *testing.T) {
	now := func(kind string, length time.Duration) scheduledFault {
		return scheduledFault{0, fault{kind: kind, length: length}}
	}
	tests := []struct {
		name   string
		faults []scheduledFault
		length time.Duration
		outage time.Duration // longest time in which some slice is not served
		moves  bool          // owners may differ in the end
		codes  []controller.Code
	}{
		{"paused controller with half-sent orders", []scheduledFault{now("stall-controller", 2*sec)},
			8 * sec, 2 * sec, false, nil},
		{"paused controller resumes before a successor",
			[]scheduledFault{now("pause-controller", 640*ms)}, 4 * sec, 0, false, nil},
		{"delayed orders", []scheduledFault{now("delay-messages", 5*sec)}, 10 * sec, 3 * sec, true, nil},
		{"controller isolated from witnesses",
			[]scheduledFault{now("disconnect-witnesses", 5*sec)}, 10 * sec, 1500 * ms, false, nil},
		{"controller isolated from store",
			[]scheduledFault{now("disconnect-store-controller", 5*sec)}, 10 * sec, 0, false, nil},
		{"controller isolated from upstreams",
			[]scheduledFault{now("disconnect-upstreams", 5*sec)}, 12 * sec, 1500 * ms, true,
			[]controller.Code{controller.Resigned}},
		{"controller isolated from witnesses and store",
			[]scheduledFault{now("isolate-controller", 5*sec)}, 10 * sec, 1500 * ms, false, nil},
		{"controller isolated from witnesses and upstreams",
			[]scheduledFault{now("disconnect-witnesses", 5*sec), now("disconnect-upstreams", 5*sec)},
			10 * sec, 1500 * ms, false, nil},
		// For this host the two failures look like a store outage, in which it must not resign, because no other host
		// could take over. Service returns with the connections.
		{"controller isolated from store and upstreams",
			[]scheduledFault{now("disconnect-store-controller", 5*sec), now("disconnect-upstreams", 5*sec)},
			12 * sec, 5 * sec, true, nil},
		{"all upstreams isolated", []scheduledFault{now("isolate-all-upstreams", 9*sec)}, 13 * sec, 10500 * ms, true,
			[]controller.Code{controller.Resigned}},
		{"controller killed", []scheduledFault{now("kill-controller", 20*sec)}, 6 * sec, 2500 * ms, false, nil},
		{"controller and upstream killed",
			[]scheduledFault{now("kill-controller", 20*sec), now("kill-upstream", 20*sec)},
			6 * sec, 3 * sec, true, []controller.Code{controller.UpstreamExpired}},
		{"upstream frozen for 1 s", []scheduledFault{now("freeze-upstream", 1*sec)}, 5 * sec, 1100 * ms, false, nil},
		{"upstream frozen for 4 s", []scheduledFault{now("freeze-upstream", 4*sec)}, 9 * sec, 3 * sec, true,
			[]controller.Code{controller.UpstreamExpired, controller.UpstreamReturned}},
		{"upstream restarted", []scheduledFault{now("restart-upstream", 0)}, 3 * sec, 400 * ms, false,
			[]controller.Code{controller.UpstreamRestarted}},
		{"all hosts restarted", []scheduledFault{now("restart-all-hosts", 0)}, 5 * sec, 3 * sec, false, nil},
		{"all hosts restarted while replies of the store are lost",
			[]scheduledFault{now("restart-all-hosts", 0), now("lose-answers", 1500*ms)},
			8 * sec, 4500 * ms, false, nil},
		{"replies of the store lost after the write",
			[]scheduledFault{now("lose-answers", 3*sec), now("drain-upstream", 4*sec)}, 9 * sec, 1 * sec, true, nil},
		{"store down ten minutes with a crash",
			[]scheduledFault{now("store-down", 600*sec), {300 * sec, fault{"kill-upstream", 0, 700 * sec}}},
			610 * sec, 3 * sec, true, []controller.Code{controller.AssignedProvisionally, controller.StoreAvailable}},
		{"provisional assignments and a new controller",
			[]scheduledFault{now("store-down", 10*sec), {1 * sec, fault{"kill-upstream", 0, 9 * sec}},
				{9990 * ms, fault{"kill-controller", 0, 20 * sec}}}, 16 * sec, 3 * sec, true,
			[]controller.Code{controller.AssignedProvisionally}},
		{"two candidates after a partition",
			[]scheduledFault{now("disconnect-witnesses", 3*sec), {2900 * ms, fault{"restart-all-hosts", 0, 0}}},
			9 * sec, 3 * sec, false, nil},
		{"admission host isolated during a drain without fence checks",
			[]scheduledFault{{0, fault{"disconnect-admission", 3, 6 * sec}},
				{0, fault{"drain-upstream", 3, 6 * sec}}}, 12 * sec, 3 * sec, true, nil},
		{"upstream without fence checks isolated",
			[]scheduledFault{{0, fault{"isolate-upstream", 3, 5 * sec}}}, 8 * sec, 3 * sec, false, nil},
		{"upstream without fence checks removed while it and its admission host are isolated",
			[]scheduledFault{{0, fault{"isolate-upstream", 3, 9 * sec}}, {1900 * ms, fault{"disconnect-admission", 3, 9 * sec}},
				{1950 * ms, fault{"remove-upstream", 3, 9 * sec}}}, 6 * sec, 3 * sec, true, nil},
		{"upstream without fence checks killed",
			[]scheduledFault{{0, fault{"kill-upstream", 3, 20 * sec}}}, 6 * sec, 3 * sec, true, nil},
		{"all hosts paused", []scheduledFault{now("pause-all-hosts", 3*sec)}, 8 * sec, 5 * sec, false, nil},
		{"drained upstream", []scheduledFault{now("drain-upstream", 9*sec)}, 8 * sec, 150 * ms, true, nil},
		{"failure domain taken out while the store is known to be down", []scheduledFault{now("store-down", 20*sec),
			{1 * sec, fault{"kill-upstream", 1, 30 * sec}}, {5 * sec, fault{"take-out-domain", 0, 15 * sec}}},
			12 * sec, 3 * sec, true, []controller.Code{controller.AssignedProvisionally}},
		{"failure domain taken out", []scheduledFault{now("take-out-domain", 9*sec)}, 8 * sec, 250 * ms, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(7, 12, "a", "b", "c", "x")
			sim.run(5 * sec)
			before := sim.serving()
			start := sim.now
			for _, next := range test.faults {
				sim.schedule(next.after, func() { sim.inject(next.fault) })
			}
			outage, since := time.Duration(0), sim.now
			for sim.now < start+test.length && sim.violation == "" {
				sim.run(10 * ms)
				if sim.unservedSlices() == 0 {
					since = sim.now
				}
				outage = max(outage, sim.now-since)
			}
			t.Logf("outage %v, log %v", outage, sim.logCounts)
			assert.Equal(t, sim.violation, "")
			assert.Equal(t, sim.unservedSlices(), 0)
			assert.Assert(t, outage <= test.outage, "no service for %v", outage)
			if !test.moves {
				assert.DeepEqual(t, sim.serving(), before)
			}
			for _, code := range test.codes {
				assert.Assert(t, sim.logCounts[code] > 0, "log event %d is missing", code)
			}
		})
	}
}

// TestUnkeyed covers a service without slices. It guards against orders to its upstreams, against new work for an
// upstream 4 s after its drain, and against a lost admission host that is not replaced within 3 s.
func TestUnkeyed(t *testing.T) {
	sim := newSimulation(7, 0, "a", "b", "c")
	sim.run(5 * sec)
	lost := sim.admissionHost("a", nil)
	sim.inject(fault{"drain-upstream", 1, 10 * sec})
	lost.dead = true
	sim.run(3 * sec)
	assert.Assert(t, sim.admissionHost("a", lost) != lost)
	sim.run(1 * sec)
	assert.Assert(t, sim.admissionHost("b", nil) == nil)
	for _, u := range sim.upstreams {
		assert.Equal(t, u.nonce, "")
	}
	assert.Equal(t, sim.violation, "")
}

// TestStaleStopAnswer guards against a delayed confirmation of a first stop that is counted for a second one. After
// the first stop was abandoned, the host admits requests to the slices until it receives the second stop.
func TestStaleStopAnswer(t *testing.T) {
	sim := newSimulation(7, 12, "a", "b", "c", "x")
	sim.run(5 * sec)
	admission, active := sim.admissionHost("x", nil), sim.activeHost(nil)
	assert.Assert(t, admission != active)
	sim.holdStopAnswers = true
	sim.inject(fault{"kill-upstream", 0, 20 * sec})
	sim.run(1800 * ms)
	sim.inject(fault{"store-down", 0, 700 * ms})
	sim.run(200 * ms)
	// The move must be voluntary: slices of a draining upstream move even while the store is down.
	sim.offload = "x"
	sim.stepController(active, active.clock(sim.now), controller.Configured{Snapshot: sim.snapshot}) // plans at once
	sim.run(200 * ms)
	stale := sim.heldStopAnswers
	assert.Assert(t, len(stale) > 0, "no stop was requested")
	sim.run(350 * ms)
	assert.Assert(t, len(admission.leases["x"].serve) > 0, "the stop was not abandoned")
	sim.disconnected[[2]string{active.name, admission.name}] = true
	started := sim.logCounts[controller.MoveStarted]
	sim.run(600 * ms)
	assert.Assert(t, sim.logCounts[controller.MoveStarted] > started, "no second stop was requested")
	delete(sim.disconnected, [2]string{active.name, admission.name})
	for _, answer := range stale {
		answer()
	}
	sim.disconnected[[2]string{active.name, admission.name}] = true
	sim.run(400 * ms)
	assert.Equal(t, sim.violation, "")
	assert.Assert(t, len(admission.leases["x"].serve) > 0)
}

// TestDelayedHeartbeatOfEarlierProcess guards against the end of leases that the running process of a host holds. A
// delayed heartbeat of an earlier process, which is unknown to the controller, must not count as a restart of the
// host.
func TestDelayedHeartbeatOfEarlierProcess(t *testing.T) {
	sim := newSimulation(7, 12, "a", "b", "c", "x")
	sim.run(5 * sec)
	active := sim.activeHost(nil)
	for _, upstream := range []string{"a", "b", "c", "x"} {
		host := sim.admissionHost(upstream, nil)
		if host == active {
			continue
		}
		sim.stepController(active, active.clock(sim.now),
			controller.Heartbeat{Host: host.name, Incarnation: "earlier", Term: 0})
		sim.run(2 * sec)
		assert.Equal(t, sim.violation, "")
		assert.Equal(t, sim.admissionHost(upstream, nil), host)
	}
}
