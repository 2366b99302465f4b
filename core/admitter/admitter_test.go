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

// harness steps an admitter of 6 slots with a long lease and one served slice.
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

// do returns the actions as text, without the types' package.
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

// Guards against a limit that rises faster than one per 25 successes, counts successes of an earlier incarnation, or does
// not fall when the upstream becomes cold, with and without notice.
func TestLimiter(t *testing.T) {
	jump := func(h *harness) {
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
		{"latency alone", 6, jump, 6},
		{"latency and one shed", 6, func(h *harness) { jump(h); fill(h, 6); h.end(1, Shed) }, 1},
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

// Guards against wrong actions in the sequences that the other parts rely on.
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
		{"a stopped slice is idle after its last request", []step{
			{0, offer(1, time.Second), "Dispatch{1 {1 1 1} false}"},
			{0, SlicesStopped{fences}, ""},
			{0, offer(2, time.Second), ""},
			{0, Ended{ID: 1, Latency: ms}, "SliceIdle{{1 1 1}}"},
			{ms, SlicesRemoved{fences}, "Refuse{2 moved 0s}"},
			{ms, offer(3, time.Second), "Refuse{3 moved 0s}"},
		}},
		{"an aborted move", []step{
			{0, SlicesStopped{fences}, "SliceIdle{{1 1 1}}"},
			{0, offer(1, time.Second), ""},
			{ms, SlicesServed{fences}, "Dispatch{1 {1 1 1} false}"},
		}},
		{"waiting for a stopped slice is bounded", []step{
			{0, SlicesStopped{fences}, "SliceIdle{{1 1 1}}"},
			{0, offer(1, time.Hour), ""},
			{DefaultOwnershipTimeout - ms, Tick{}, ""},
			{DefaultOwnershipTimeout + sweepInterval, Tick{}, "Refuse{1 moved 0s}"},
		}},
		{"an older fence is refused, a newer one waits", []step{
			{0, SlicesServed{[]slicer.Fence{{Slice: 1, Term: 1, Epoch: 2}}}, ""},
			{0, offer(1, time.Second), "Refuse{1 stale-fence 0s}"},
			{0, Offered{ID: 2, Fence: slicer.Fence{Slice: 1, Term: 2, Epoch: 1}, Deadline: time.Second}, ""},
			{ms, SlicesServed{[]slicer.Fence{{Slice: 1, Term: 2, Epoch: 1}}}, "Dispatch{2 {1 2 1} false}"},
		}},
		{"the lease counts from the heartbeat and ends by itself", []step{
			{0, LeaseEnded{Epoch: 1}, ""},
			{time.Second, LeaseRenewed{Epoch: 2, SentAt: 0}, ""},
			{time.Second, SlicesServed{fences}, ""},
			{DefaultLease, offer(1, time.Hour), ""},
			{DefaultLease, LeaseRenewed{Epoch: 1, SentAt: DefaultLease}, ""},
			{DefaultLease, LeaseRenewed{Epoch: 2, SentAt: DefaultLease - 1}, "Dispatch{1 {1 1 1} false}"},
			{DefaultLease, offer(2, time.Hour), ""},
			{DefaultLease, LeaseEnded{Epoch: 2}, "Refuse{2 no-lease 0s}"},
		}},
		// Guards against requests that wait for their deadline at a host that was paused for longer than its lease.
		{"a lease that ended long ago is not waited for", []step{
			{0, LeaseEnded{Epoch: 1}, ""},
			{0, LeaseRenewed{Epoch: 2, SentAt: 0}, ""},
			{0, SlicesServed{fences}, ""},
			{DefaultLease + DefaultOwnershipTimeout, offer(1, time.Hour), "Refuse{1 no-lease 0s}"},
		}},
		{"a request that cannot end in time is refused early", []step{
			{0, offer(1, time.Second), "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Latency: 100 * ms}, ""},
			{0, offer(2, time.Second), "Dispatch{2 {1 1 1} false}"},
			{0, offer(3, 250*ms), ""},
			{0, offer(4, 250*ms), "Refuse{4 too-late 200ms}"},
			{100 * ms, Ended{ID: 2, Latency: 100 * ms}, "Dispatch{3 {1 1 1} false}"},
		}},
		{"duplicates are refused for 10 minutes", []step{
			{0, keyed(1, configurator.NeverRepeat), "Dispatch{1 {1 1 1} false}"},
			{0, keyed(2, configurator.NeverRepeat), "Refuse{2 duplicate 0s}"},
			{0, Ended{ID: 1, Outcome: Failed}, ""},
			{keyRetention - 1, keyed(1, configurator.NeverRepeat), "Refuse{1 duplicate 0s}"},
			{keyRetention, keyed(3, configurator.NeverRepeat), "Dispatch{3 {1 1 1} false}"},
		}},
		{"a key of a request that was not run is free", []step{
			{0, keyed(1, configurator.NeverRepeat), "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Outcome: NotOwner}, ""},
			{0, keyed(2, configurator.NeverRepeat), "Dispatch{2 {1 1 1} false}"},
			{0, keyed(3, configurator.Idempotent), "Refuse{3 duplicate 0s}"},
		}},
		{"a further attempt of the same idempotent request is no duplicate", []step{
			{0, keyed(1, configurator.Idempotent), "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Outcome: Failed}, ""},
			{0, keyed(1, configurator.Idempotent), "Dispatch{1 {1 1 1} false}"},
			{0, keyed(2, configurator.Idempotent), "Refuse{2 duplicate 0s}"},
		}},
		{"a caller leaves", []step{
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
			{time.Second, Ended{ID: 1, Outcome: Cancelled}, "SliceIdle{{1 1 1}}"},
		}},
		{"a crash is reported once and disproved by the same incarnation", []step{
			{0, Offered{ID: 1, Fence: fence, Deadline: time.Hour, Signature: 7}, "Dispatch{1 {1 1 1} false}"},
			{0, Ended{ID: 1, Outcome: Crashed}, "CrashSeen{[7] false} Suspected{1}"},
			{0, IncarnationObserved{"a"}, ""},
			{time.Second, offer(2, time.Hour), "Dispatch{2 {1 1 1} false}"},
			{time.Second, Ended{ID: 2, Incarnation: "a"}, "CrashDisproved{[7]}"},
		}},
		{"a restart with requests in flight is a crash", []step{
			{0, Offered{ID: 1, Fence: fence, Deadline: time.Hour, Signature: 7}, "Dispatch{1 {1 1 1} false}"},
			{0, IncarnationObserved{"b"}, "CrashSeen{[7] false}"},
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

// Guards against a poison request that runs next to others, or again after it was condemned.
func TestSuspects(t *testing.T) {
	crashes := detector.New(detector.Options{})
	h := start(t, 6)
	h.options.Status = crashes.Status
	h.offer(1, configurator.Safe)
	h.offer(2, configurator.Safe)
	assert.Equal(t, h.end(1, Crashed), "CrashSeen{[1 2] false} Suspected{1}")
	crashes.Observe(h.now, detector.Crash{Signatures: []uint64{1, 2}})
	h.end(2, Crashed)
	h.do(IncarnationObserved{Incarnation: "b"})
	h.ramp.startAt(6)
	assert.Equal(t, h.offer(3, configurator.Safe), "Dispatch{3 {1 1 1} false}")
	assert.Equal(t, h.offer(1, configurator.Safe), "")
	assert.Equal(t, h.offer(4, configurator.Safe), "")
	assert.Equal(t, h.do(Ended{ID: 3, Incarnation: "b"}), "Dispatch{1 {1 1 1} true}")
	assert.Equal(t, h.do(Ended{ID: 1, Outcome: Crashed}), "CrashSeen{[1] true} Suspected{1}")
	crashes.Observe(h.now, detector.Crash{Signatures: []uint64{1}, Alone: true})
	assert.Equal(t, h.offer(1, configurator.Safe), "Refuse{1 condemned 0s}")
}

// Guards against a class that starves the other: never-repeat and other requests share 2:1 while both wait.
func TestLaneWeights(t *testing.T) {
	h := start(t, 1)
	h.offer(100, configurator.Safe)
	for id := range ID(12) {
		h.offer(1+id, configurator.Class(id%2)) // odd IDs are never repeated
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

// Guards against a key that is forgotten early or kept too long, by comparison with a plain map, and against more memory
// than the bound.
func TestKeyStore(t *testing.T) {
	const bound = 8
	rapid.Check(t, func(t *rapid.T) {
		m := newKeyMemory(bound)
		naive := map[uint64]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second
			key := rapid.Uint64Range(1, 20).Draw(t, "key")
			for old, expiry := range naive {
				if expiry <= now {
					delete(naive, old)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				m.remove(key)
				delete(naive, key)
				continue
			}
			want := keyAdded
			if _, known := naive[key]; known {
				want = keyKnown
			} else if len(naive) >= bound {
				want = keysFull
			} else {
				naive[key] = now + keyRetention
			}
			m.expire(now)
			if got := m.add(now, key, 1, true); got != want {
				t.Fatalf("key %d at %v: got %d, want %d", key, now, got, want)
			}
			if len(m.states) > bound || len(m.order) > 4*bound {
				t.Fatalf("%d keys, %d entries", len(m.states), len(m.order))
			}
		}
	})
}

// Guards against requests without keys that wait at an upstream that is down until their deadline.
func TestDownUpstreamWithoutKeys(t *testing.T) {
	h := start(t, 1)
	offer := func(id ID) string { return h.do(Offered{ID: id, Deadline: time.Hour, Signature: uint64(id)}) }
	assert.Equal(t, offer(1), "Dispatch{1 {0 0 0} false}")
	assert.Equal(t, offer(2), "")
	assert.Equal(t, h.do(Ended{ID: 1, Outcome: NotSent}), "Suspected{1} Refuse{2 unreachable 0s}")
	assert.Equal(t, offer(3), "Refuse{3 unreachable 0s}")
	h.now = time.Second
	assert.Equal(t, offer(4), "Dispatch{4 {0 0 0} false}")
	assert.Equal(t, offer(5), "Refuse{5 unreachable 0s}")
	assert.Equal(t, h.end(4, Succeeded), "")
	assert.Equal(t, offer(6), "Dispatch{6 {0 0 0} false}")
	assert.Equal(t, offer(7), "")
}
