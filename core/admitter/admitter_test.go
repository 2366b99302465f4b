package admitter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/slicer"
)

const ms = time.Millisecond

var fence = slicer.Fence{Slice: 1, Term: 1, Epoch: 1}

// harness wraps an admitter with 6 slots, a long lease and one served slice.
type harness struct {
	*Admitter
	t   *testing.T
	now time.Duration
}

func start(t *testing.T, limit int) *harness {
	h := &harness{New(Options{Slots: 6}), t, 0}
	h.do(LeaseRenewed{Epoch: 1, SentAt: time.Hour})
	h.do(SlicesServed{Fences: []slicer.Fence{fence}})
	h.do(LoadReported{Incarnation: "a", InFlight: limit})
	h.do(LoadReported{Incarnation: "a"})
	return h
}

// do returns the actions as text, with their type names but without the package name.
func (h *harness) do(event Event) string {
	var lines []string
	for _, action := range h.Step(h.now, event) {
		lines = append(lines, strings.ReplaceAll(fmt.Sprintf("%T%v", action, action), "admitter.", ""))
	}
	return strings.Join(lines, " ")
}

func (h *harness) offer(id ID, class configurator.Class) string {
	return h.do(Offered{ID: id, Class: class, Fence: fence, Deadline: h.now + time.Second, Signature: uint64(id)})
}

func (h *harness) end(id ID, outcome Outcome) string {
	return h.do(Ended{ID: id, Outcome: outcome, Latency: 10 * ms, Incarnation: "a"})
}

// Guards against a limit that rises faster than by one per 25 successes, that counts successes of an earlier
// incarnation, or that does not fall when the upstream becomes cold, whether or not the restart is reported.
func TestLimiter(t *testing.T) {
	raiseLatency := func(h *harness) {
		for id := range ID(55) {
			h.offer(100+id, configurator.Safe)
			latency := 10 * ms
			if id >= 50 {
				latency = 100 * ms
			}
			h.do(Ended{ID: 100 + id, Latency: latency, Incarnation: "a"})
		}
	}
	for _, test := range []struct {
		name  string
		limit int
		do    func(h *harness)
		want  int
	}{
		{"start", 0, func(*harness) {}, 1},
		{"24 successes", 1, func(h *harness) { succeed(h, 24) }, 1},
		{"25 successes", 1, func(h *harness) { succeed(h, 25) }, 2},
		{"125 successes", 1, func(h *harness) { succeed(h, 125) }, 6},
		{"takeover", 4, func(*harness) {}, 4},
		{"report above the slots", 40, func(*harness) {}, 6},
		{"later reports do not raise it", 1, func(h *harness) { h.do(LoadReported{Incarnation: "a", InFlight: 6}) }, 1},
		{"new incarnation", 6, func(h *harness) { h.do(IncarnationObserved{Incarnation: "b"}) }, 1},
		{"old incarnation", 6, func(h *harness) {
			h.do(IncarnationObserved{Incarnation: "b"})
			succeedAs(h, 25, "b")
			h.do(IncarnationObserved{Incarnation: "a"})
		}, 2},
		{"successes of an old incarnation", 6, func(h *harness) {
			h.offer(1, configurator.Safe)
			h.do(IncarnationObserved{Incarnation: "b"})
			succeedAs(h, 24, "b")
			h.end(1, Succeeded)
		}, 1},
		{"unknown restart", 6, func(h *harness) { h.do(IncarnationObserved{}) }, 1},
		{"one shed of six", 6, func(h *harness) { fill(h, 6); h.end(1, Shed) }, 5},
		{"two sheds of six", 6, func(h *harness) { fill(h, 6); h.end(1, Shed); h.end(2, Shed) }, 1},
		{"cold shed", 6, func(h *harness) { fill(h, 6); h.end(1, ShedCold) }, 1},
		{"latency alone", 6, raiseLatency, 6},
		{"latency and one shed", 6, func(h *harness) { raiseLatency(h); fill(h, 6); h.end(1, Shed) }, 1},
		{"crash", 6, func(h *harness) { fill(h, 6); h.end(1, Crashed) }, 1},
		{"refused connection", 6, func(h *harness) { fill(h, 6); h.end(1, NotSent) }, 1},
		{"failures", 6, func(h *harness) { fill(h, 6); h.end(1, Failed); h.end(2, Failed) }, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := start(t, test.limit)
			test.do(h)
			assert.Equal(t, h.Limit(), test.want)
		})
	}
}

func succeed(h *harness, count int) { succeedAs(h, count, "a") }

func succeedAs(h *harness, count int, incarnation string) {
	for id := range ID(count) {
		h.offer(1000+id, configurator.Safe)
		h.do(Ended{ID: 1000 + id, Latency: 10 * ms, Incarnation: incarnation})
	}
}

func fill(h *harness, count int) {
	for id := range ID(count) {
		h.offer(id+1, configurator.Safe)
	}
}

// Guards against wrong actions in the event sequences that dispatchers and the detector rely on.
func TestSequences(t *testing.T) {
	type step struct {
		at    time.Duration
		event Event
		want  string
	}
	offer := func(id ID, deadline time.Duration) Event { return Offered{ID: id, Fence: fence, Deadline: deadline} }
	keyed := func(id ID, class configurator.Class) Event {
		return Offered{ID: id, Class: class, Fence: fence, Deadline: time.Hour, IdempotencyKey: "k"}
	}
	fences := []slicer.Fence{fence}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"a stopped slice is drained after its last request", []step{
			{0, offer(1, time.Second), "Dispatch{1 {1 1 1} false}"},
			{0, SlicesStopped{fences}, ""},
			{0, offer(2, time.Second), ""},
			{0, Ended{ID: 1, Latency: ms}, "SliceDrained{{1 1 1}}"},
			{ms, SlicesRemoved{fences}, "Reject{2 moved 0s}"},
			{ms, offer(3, time.Second), "Reject{3 moved 0s}"},
		}},
		{"an aborted move", []step{
			{0, SlicesStopped{fences}, "SliceDrained{{1 1 1}}"},
			{0, offer(1, time.Second), ""},
			{ms, SlicesServed{fences}, "Dispatch{1 {1 1 1} false}"},
		}},
		{"waiting for a stopped slice is bounded", []step{
			{0, SlicesStopped{fences}, "SliceDrained{{1 1 1}}"},
			{0, offer(1, time.Hour), ""},
			{DefaultOwnershipTimeout - ms, Tick{}, ""},
			{DefaultOwnershipTimeout + sweepInterval, Tick{}, "Reject{1 moved 0s}"},
		}},
		{"an older fence is rejected, a newer one waits", []step{
			{0, SlicesServed{[]slicer.Fence{{Slice: 1, Term: 1, Epoch: 2}}}, ""},
			{0, offer(1, time.Second), "Reject{1 stale-fence 0s}"},
			{0, Offered{ID: 2, Fence: slicer.Fence{Slice: 1, Term: 2, Epoch: 1}, Deadline: time.Second}, ""},
			{ms, SlicesServed{[]slicer.Fence{{Slice: 1, Term: 2, Epoch: 1}}}, "Dispatch{2 {1 2 1} false}"},
		}},
		{"the lease counts from the heartbeat and expires", []step{
			{0, LeaseEnded{Epoch: 1}, ""},
			{time.Second, LeaseRenewed{Epoch: 2, SentAt: 0}, ""},
			{time.Second, SlicesServed{fences}, ""},
			{DefaultLease, offer(1, time.Hour), ""},
			{DefaultLease, LeaseRenewed{Epoch: 1, SentAt: DefaultLease}, ""},
			{DefaultLease, LeaseRenewed{Epoch: 2, SentAt: DefaultLease - 1}, "Dispatch{1 {1 1 1} false}"},
			{DefaultLease, offer(2, time.Hour), ""},
			{DefaultLease, LeaseEnded{Epoch: 2}, "Reject{2 no-lease 0s}"},
		}},
		// Guards against requests that wait until their deadline at a host whose process was paused beyond its lease.
		{"no wait for a lease that expired long ago", []step{
			{0, LeaseEnded{Epoch: 1}, ""},
			{0, LeaseRenewed{Epoch: 2, SentAt: 0}, ""},
			{0, SlicesServed{fences}, ""},
			{DefaultLease + DefaultOwnershipTimeout, offer(1, time.Hour), "Reject{1 no-lease 0s}"},
		}},
		{"a request that cannot end in time is rejected early", []step{
			{0, offer(1, time.Second), "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Latency: 100 * ms}, ""},
			{0, offer(2, time.Second), "Dispatch{2 {1 1 1} false}"},
			{0, offer(3, 250*ms), ""},
			{0, offer(4, 250*ms), "Reject{4 too-late 200ms}"},
			{100 * ms, Ended{ID: 2, Latency: 100 * ms}, "Dispatch{3 {1 1 1} false}"},
		}},
		{"duplicates are rejected for 10 minutes", []step{
			{0, keyed(1, configurator.NeverRepeat), "Dispatch{1 {1 1 1} false}"},
			{0, keyed(2, configurator.NeverRepeat), "Reject{2 duplicate 0s}"},
			{0, Ended{ID: 1, Outcome: Failed}, ""},
			{keyRetention - 1, keyed(1, configurator.NeverRepeat), "Reject{1 duplicate 0s}"},
			{keyRetention, keyed(3, configurator.NeverRepeat), "Dispatch{3 {1 1 1} false}"},
		}},
		{"a key of a request that was not run can be used again", []step{
			{0, keyed(1, configurator.NeverRepeat), "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Outcome: NotOwner}, ""},
			{0, keyed(2, configurator.NeverRepeat), "Dispatch{2 {1 1 1} false}"},
			{0, keyed(3, configurator.Idempotent), "Reject{3 duplicate 0s}"},
		}},
		{"a further attempt of the same idempotent request is no duplicate", []step{
			{0, keyed(1, configurator.Idempotent), "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Outcome: Failed}, ""},
			{0, keyed(1, configurator.Idempotent), "Dispatch{1 {1 1 1} false}"},
			{0, keyed(2, configurator.Idempotent), "Reject{2 duplicate 0s}"},
		}},
		{"a caller withdraws its requests", []step{
			{0, Offered{ID: 1, Class: configurator.Safe, Fence: fence, Deadline: time.Second}, "Dispatch{1 {1 1 1} false}"},
			{0, offer(2, time.Second), ""},
			{0, Withdrawn{1}, "Cancel{1}"},
			{0, Withdrawn{2}, ""},
			{0, Ended{ID: 1, Outcome: Cancelled}, ""},
		}},
		{"a request that changes a slice is cancelled at its deadline", []step{
			{0, offer(1, time.Second), "Dispatch{1 {1 1 1} false}"},
			{0, Withdrawn{1}, ""},
			{0, SlicesStopped{fences}, ""},
			{time.Second - 1, Tick{}, ""},
			{time.Second, Tick{}, "Cancel{1}"},
			{time.Second, Tick{}, ""},
			{time.Second, Ended{ID: 1, Outcome: Cancelled}, "SliceDrained{{1 1 1}}"},
		}},
		{"a crash is reported once and retracted by the same incarnation", []step{
			{0, Offered{ID: 1, Fence: fence, Deadline: time.Hour, Signature: 7}, "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Outcome: Crashed}, "CrashDetected{[7] false} UpstreamSuspected{1}"},
			{0, IncarnationObserved{"a"}, ""},
			{time.Second, offer(2, time.Hour), "Dispatch{2 {1 1 1} false}"},
			{time.Second, Ended{ID: 2, Incarnation: "a"}, "CrashRetracted{[7]}"},
		}},
		{"a restart with requests in flight is a crash", []step{
			{0, Offered{ID: 1, Fence: fence, Deadline: time.Hour, Signature: 7}, "Dispatch{1 {1 1 1} false}"},
			{0, IncarnationObserved{"b"}, "CrashDetected{[7] false}"},
			{0, Ended{ID: 1, Outcome: Crashed}, ""},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := start(t, 1)
			h.leaseUntil = 2 * time.Hour
			for i, step := range test.steps {
				h.now = step.at
				assert.Equal(t, h.do(step.event), step.want, "step %d", i)
			}
		})
	}
}

// Guards against a request that crashes upstreams and runs concurrently with others, or again after it was blocked.
func TestSuspects(t *testing.T) {
	crashes := detector.New(detector.Options{})
	h := start(t, 6)
	h.options.Status = crashes.Status
	h.offer(1, configurator.Safe)
	h.offer(2, configurator.Safe)
	assert.Equal(t, h.end(1, Crashed), "CrashDetected{[1 2] false} UpstreamSuspected{1}")
	crashes.Observe(h.now, detector.Crash{Signatures: []uint64{1, 2}})
	h.end(2, Crashed)
	h.do(IncarnationObserved{Incarnation: "b"})
	h.limiter.restartAt(6)
	assert.Equal(t, h.offer(3, configurator.Safe), "Dispatch{3 {1 1 1} false}")
	assert.Equal(t, h.offer(1, configurator.Safe), "")
	assert.Equal(t, h.offer(4, configurator.Safe), "")
	assert.Equal(t, h.do(Ended{ID: 3, Incarnation: "b"}), "Dispatch{1 {1 1 1} true}")
	assert.Equal(t, h.do(Ended{ID: 1, Outcome: Crashed}), "CrashDetected{[1] true} UpstreamSuspected{1}")
	crashes.Observe(h.now, detector.Crash{Signatures: []uint64{1}, Alone: true})
	assert.Equal(t, h.offer(1, configurator.Safe), "Reject{1 condemned 0s}")
}

// Guards against a lane that starves the other: they are served 2:1 while both hold requests.
func TestLaneWeights(t *testing.T) {
	h := start(t, 1)
	h.offer(100, configurator.Safe)
	for id := range ID(12) {
		h.offer(1+id, configurator.Class(id%2)) // odd IDs have class NeverRepeat
	}
	order := []ID{}
	for last := ID(100); h.InFlight() > 0; {
		h.end(last, Succeeded)
		if h.InFlight() > 0 {
			last = h.running[0].id
			order = append(order, last)
		}
	}
	assert.DeepEqual(t, order, []ID{1, 3, 2, 5, 7, 4, 9, 11, 6, 8, 10, 12})
}

// Guards against a key that is removed too early or too late, by comparison with a plain map, and against memory beyond
// the bound.
func TestKeyStore(t *testing.T) {
	const bound = 8
	rapid.Check(t, func(t *rapid.T) {
		store := newKeyStore(bound)
		expiries := map[uint64]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second
			key := rapid.Uint64Range(1, 20).Draw(t, "key")
			for old, expiry := range expiries {
				if expiry <= now {
					delete(expiries, old)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				store.remove(key)
				delete(expiries, key)
				continue
			}
			want := keyAdded
			if _, known := expiries[key]; known {
				want = keyKnown
			} else if len(expiries) >= bound {
				want = keysFull
			} else {
				expiries[key] = now + keyRetention
			}
			store.expire(now)
			if got := store.add(now, key, 1, true); got != want {
				t.Fatalf("key %d at %v: got %d, want %d", key, now, got, want)
			}
			if len(store.states) > bound || len(store.order) > 4*bound {
				t.Fatalf("%d keys, %d entries", len(store.states), len(store.order))
			}
		}
	})
}

// Guards against requests without a fence that wait until their deadline at an upstream that is down.
func TestDownUpstreamWithoutKeys(t *testing.T) {
	h := start(t, 1)
	offer := func(id ID) string { return h.do(Offered{ID: id, Deadline: time.Hour, Signature: uint64(id)}) }
	assert.Equal(t, offer(1), "Dispatch{1 {0 0 0} false}")
	assert.Equal(t, offer(2), "")
	assert.Equal(t, h.do(Ended{ID: 1, Outcome: NotSent}), "UpstreamSuspected{1} Reject{2 unreachable 0s}")
	assert.Equal(t, offer(3), "Reject{3 unreachable 0s}")
	h.now = time.Second
	assert.Equal(t, offer(4), "Dispatch{4 {0 0 0} false}")
	assert.Equal(t, offer(5), "Reject{5 unreachable 0s}")
	assert.Equal(t, h.end(4, Succeeded), "")
	assert.Equal(t, offer(6), "Dispatch{6 {0 0 0} false}")
	assert.Equal(t, offer(7), "")
}
