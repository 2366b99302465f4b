package detector

import (
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Guards against a host that blocks a popular request, because it has seen nothing but its interruptions, and against a disproof that
// lifts the block of another request.
func TestDisproofClearsSuspicionsOfOtherHosts(t *testing.T) {
	interrupted := func(i int) Event {
		at := time.Duration(i) * time.Second
		return Interrupted{Signature: 1, Upstream: string(rune('a' + i)), SentAt: at, EndedAt: at + 100*time.Millisecond}
	}
	tests := []struct {
		name      string
		trusted   bool // by the controller
		before    int  // interruptions before the disproof
		want      Status
		wantAfter Status // after two more interruptions
	}{
		{"trusted suspect", true, 2, Clear, Suspect},
		{"trusted request that the host has blocked", true, 3, Blocked, Blocked},
		{"request that no upstream has run", false, 2, Suspect, Blocked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			controller, host := New(Options{}), New(Options{})
			if tt.trusted {
				controller.Observe(0, Completed{1})
			}
			for i := range tt.before {
				host.Observe(time.Duration(i+1)*time.Second, interrupted(i))
			}
			now := time.Duration(tt.before) * time.Second
			host.Observe(now, Reported{controller.Observe(now, Disproved{1})})
			assert.Equal(t, host.Status(now, 1), tt.want)
			for i := range 2 {
				host.Observe(now+time.Duration(i+1)*time.Second, interrupted(tt.before+i))
			}
			assert.Equal(t, host.Status(now+2*time.Second, 1), tt.wantAfter)
		})
	}
}

// Guards against a request that crashes upstreams and is never blocked, and against other requests that stay suspects.
func TestStatus(t *testing.T) {
	crash := func(alone bool, signatures ...uint64) Event { return Crash{Signatures: signatures, Alone: alone} }
	for _, test := range []struct {
		name   string
		events []Event
		after  time.Duration
		want   [3]Status // of signatures 1, 2 and 3
	}{
		{"crash", []Event{crash(false, 1, 2)}, 0, [3]Status{Suspect, Suspect, Clear}},
		{"cleared", []Event{crash(false, 1, 2), Completed{2}}, 0, [3]Status{Suspect, Clear, Clear}},
		{"blocked", []Event{crash(false, 1, 2), crash(true, 1)}, 0, [3]Status{Blocked, Suspect, Clear}},
		{"alone but not a suspect", []Event{crash(true, 1)}, 0, [3]Status{Suspect, Clear, Clear}},
		{"two shared crashes", []Event{crash(false, 1, 2), crash(false, 1, 3)}, 0, [3]Status{Suspect, Suspect, Suspect}},
		{"blocked after another crash", []Event{crash(false, 1), crash(true, 1), crash(false, 1, 2)}, 0,
			[3]Status{Blocked, Suspect, Clear}},
		{"retracted", []Event{crash(false, 1), Retracted{[]uint64{1}}}, 0, [3]Status{}},
		{"second crash retracted", []Event{crash(false, 1), crash(true, 1), Retracted{[]uint64{1}}}, 0, [3]Status{Suspect}},
		{"blocked, ran alone elsewhere", []Event{crash(false, 1), crash(true, 1), Completed{1}}, 0, [3]Status{Blocked}},
		{"suspect again", []Event{crash(false, 1), Completed{1}, crash(false, 1)}, 0, [3]Status{Suspect}},
		{"expired", []Event{crash(false, 1), crash(true, 1)}, DefaultRetention, [3]Status{}},
		{"old report", []Event{Reported{[]Report{{Signature: 1, Status: Blocked, Version: blockVersionStep, Age: DefaultRetention}}}}, 0, [3]Status{}},
		{"aged report", []Event{Reported{[]Report{{Signature: 1, Status: Suspect, Version: 1, Age: 9 * time.Minute}}}}, time.Minute, [3]Status{}},
		{"report of a clearing arrives first", []Event{Reported{[]Report{{Signature: 1, Status: Clear, Version: 2}}},
			Reported{[]Report{{Signature: 1, Status: Suspect, Version: 1}}}}, 0, [3]Status{}},
		{"a concurrent clearing on another host does not unblock", []Event{crash(false, 1), crash(true, 1),
			Reported{[]Report{{Signature: 1, Status: Clear, Version: 7}}}}, 0, [3]Status{Blocked}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New(Options{})
			for _, event := range test.events {
				d.Observe(time.Second, event)
			}
			for i, want := range test.want {
				assert.Equal(t, d.Status(time.Second+test.after, uint64(i+1)), want, "signature %d", i+1)
			}
		})
	}
}

func TestInterruptionsBlockARequestThatCrashesUpstreams(t *testing.T) {
	const second = time.Second
	at := func(sent, ended time.Duration, upstream string) Event {
		return Interrupted{Signature: 1, Upstream: upstream, SentAt: sent, EndedAt: ended}
	}
	for _, test := range []struct {
		name   string
		events []Event
		want   Status
	}{
		{"one crash", []Event{at(0, 1*second, "a")}, Suspect},
		{"three in sequence", []Event{at(0, 1*second, "a"), at(1*second, 2*second, "b"), at(2*second, 3*second, "c")}, Blocked},
		{"two in sequence", []Event{at(0, 1*second, "a"), at(1*second, 2*second, "b")}, Suspect},
		{"upstreams that fail together", []Event{at(0, 1*second, "a"), at(0, 1*second, "b"), at(0, 1*second, "c"),
			at(second/2, 1*second, "d")}, Suspect},
		{"an upstream that loses responses and goes on", []Event{at(0, 1*second, "a"), at(1*second, 2*second, "a"),
			at(2*second, 3*second, "a")}, Suspect},
		{"upstreams that fail nearly together", []Event{at(0, 1*second, "a"), at(1*second, 1*second+2*time.Millisecond, "b"),
			at(1*second+3*time.Millisecond, 1*second+5*time.Millisecond, "c")}, Suspect},
		{"completed in between", []Event{at(0, 1*second, "a"), at(1*second, 2*second, "b"), Completed{1},
			at(10*second, 11*second, "c"), at(30*second, 31*second, "d")}, Suspect},
		{"three right after a completion", []Event{Completed{1}, at(10*second, 11*second, "a"), at(11*second, 12*second, "b"),
			at(12*second, 13*second, "c")}, Clear},
		{"three long after a completion", []Event{Completed{1}, at(30*second, 31*second, "a"), at(31*second, 32*second, "b"),
			at(32*second, 33*second, "c")}, Blocked},
		{"completed after the block", []Event{at(10*second, 11*second, "a"), at(11*second, 12*second, "b"), at(12*second, 13*second, "c"),
			Completed{1}}, Clear},
		{"blocked by another host and trusted here", []Event{Completed{1},
			Reported{[]Report{{Signature: 1, Status: Blocked, Version: 9, Crashes: 3, Upstream: "b"}}}}, Clear},
		{"reported by the same and another host", []Event{at(0, 1*second, "a"), at(0, 1*second, "a"), at(1*second, 2*second, "b"),
			at(1*second, 2*second, "b")}, Suspect},
		{"the third on another host", []Event{
			Reported{[]Report{{Signature: 1, Status: Suspect, Version: 2, Age: 8 * second, Crashes: 2, Upstream: "b"}}},
			at(3*second, 4*second, "c")}, Blocked},
		{"removed by an operator", []Event{at(0, 1*second, "a"), at(1*second, 2*second, "b"), at(2*second, 3*second, "c"),
			Retracted{[]uint64{1}}}, Suspect},
		{"a crash after it was removed", []Event{at(0, 1*second, "a"), at(1*second, 2*second, "b"), at(2*second, 3*second, "c"),
			Retracted{[]uint64{1}}, at(10*second, 11*second, "d")}, Blocked},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New(Options{})
			now := 10 * second
			for _, event := range test.events {
				if interrupted, ok := event.(Interrupted); ok {
					now = max(now, interrupted.EndedAt)
				}
				d.Observe(now, event)
			}
			assert.Equal(t, d.Status(now, 1), test.want)
		})
	}
}

func TestExpiredBlockIsRestoredByTheNextCrash(t *testing.T) {
	d := New(Options{})
	for i, upstream := range []string{"a", "b", "c"} {
		at := time.Duration(i) * time.Second
		d.Observe(at, Interrupted{Signature: 1, Upstream: upstream, SentAt: at, EndedAt: at})
	}
	assert.Equal(t, d.Status(3*time.Second, 1), Blocked)
	later := DefaultRetention + 3*time.Second
	assert.Equal(t, d.Status(later, 1), Clear)
	d.Observe(later, Interrupted{Signature: 1, Upstream: "d", SentAt: later, EndedAt: later})
	assert.Equal(t, d.Status(later, 1), Blocked)
	d.Observe(4*later, Reported{})
	assert.Equal(t, d.Len(), 0)
}

// Guards against memory use without a limit and against suspects that evict blocked signatures.
func TestBound(t *testing.T) {
	d := New(Options{})
	d.Observe(0, Crash{Signatures: []uint64{1}})
	d.Observe(0, Crash{Signatures: []uint64{1}, Alone: true})
	for signature := range uint64(3 * DefaultBound) {
		d.Observe(time.Second, Crash{Signatures: []uint64{signature + 2}})
	}
	assert.Equal(t, d.Len(), DefaultBound)
	assert.Equal(t, d.Status(time.Second, 1), Blocked)
	for signature := range uint64(3 * DefaultBound) {
		d.Observe(time.Second, Completed{signature})
	}
	assert.Equal(t, len(d.trusted), DefaultBound)
	d.Observe(time.Hour, Reported{})
	assert.Equal(t, d.Len(), 0)
}

// Guards against hosts that have different statuses after they have exchanged all reports, in any order, and trust no
// request any longer because of what they have observed themselves.
func TestHostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Detector{New(Options{}), New(Options{}), New(Options{})}
		var flooded []Report
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			signature := rapid.Uint64Range(1, 3).Draw(t, "signature")
			var event Event = Completed{signature}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				event = Crash{Signatures: []uint64{signature}, Alone: rapid.Bool().Draw(t, "alone")}
			case 2:
				event = Retracted{[]uint64{signature}}
			case 4:
				event = Interrupted{Signature: signature, Upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream")}
			case 3:
				if len(flooded) > 0 {
					event = Reported{[]Report{rapid.SampledFrom(flooded).Draw(t, "report")}}
				}
			}
			flooded = append(flooded, host.Observe(0, event)...)
		}
		for _, host := range hosts {
			host.Observe(0, Reported{rapid.Permutation(flooded).Draw(t, "order")})
		}
		for signature := uint64(1); signature <= 3; signature++ {
			want := hosts[0].Status(trustTime, signature)
			for _, host := range hosts[1:] {
				if got := host.Status(trustTime, signature); got != want {
					t.Fatalf("signature %d: statuses %d and %d on two hosts", signature, want, got)
				}
			}
		}
	})
}

// Guards against a harmful request that is blocked later because hosts report its interruptions with different delays.
func TestOrderOfArrivalDoesNotDelayABlock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := make([]Interrupted, rapid.IntRange(3, maxReordered).Draw(t, "events"))
		for i := range events {
			sentAt := time.Duration(rapid.IntRange(0, 1000).Draw(t, "sent")) * time.Millisecond
			events[i] = Interrupted{
				Signature: 1, Upstream: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "upstream"), SentAt: sentAt,
				EndedAt: sentAt + time.Duration(rapid.IntRange(0, 300).Draw(t, "duration"))*time.Millisecond,
			}
		}
		slices.SortFunc(events, compareEnds)
		ordered, reordered := New(Options{}), New(Options{})
		for _, event := range events {
			ordered.Observe(2*time.Second, event)
		}
		for _, event := range rapid.Permutation(events).Draw(t, "arrival") {
			reordered.Observe(2*time.Second, event)
		}
		if ordered.Status(2*time.Second, 1) == Blocked {
			assert.Equal(t, reordered.Status(2*time.Second, 1), Blocked)
		}
	})
}

// Guards against different requests with the same signature, because text of one part can belong to the next.
func TestSign(t *testing.T) {
	assert.Assert(t, Sign("a", "bc", "", "", "") != Sign("ab", "c", "", "", ""))
	assert.Assert(t, Sign("a", "", "b", "", "") != Sign("a", "", "", "b", ""))
	assert.Equal(t, Sign("a", "b", "c", "d", "e"), Sign("a", "b", "c", "d", "e"))
}

// Guards against a request that crashes many upstreams and is not blocked, because its copies run at the same time, and against the
// block of a request that runs at upstreams which fail together.
func TestCopiesThatRunAtTheSameTime(t *testing.T) {
	const ms = time.Millisecond
	run := func(sent, ended time.Duration, upstreams ...string) (events []Event) {
		for i, upstream := range upstreams {
			late := time.Duration(i) * ms
			events = append(events, Interrupted{Signature: 1, Upstream: upstream, SentAt: sent + late, EndedAt: ended + late})
		}
		return events
	}
	others := func(at time.Duration, upstreams ...string) (events []Event) {
		for i, upstream := range upstreams {
			events = append(events, Interrupted{Signature: uint64(100 + i), Upstream: upstream, SentAt: 0, EndedAt: at + time.Duration(i)*ms})
		}
		return events
	}
	for _, tt := range []struct {
		name      string
		events    []Event
		collected time.Duration // 0: never
		want      Status
		crashes   int
	}{
		{"four copies", run(0, 25*ms, "a", "b", "c", "d"), 300 * ms, Blocked, 4},
		{"four copies, not all observations have arrived", run(0, 25*ms, "a", "b", "c", "d"), 26 * ms, Suspect, 1},
		{"four copies on a host that does not collect", run(0, 25*ms, "a", "b", "c", "d"), 0, Suspect, 1},
		{"two copies and their second attempts", slices.Concat(run(0, 25*ms, "a", "b"), run(35*ms, 60*ms, "c", "d")), 300 * ms, Blocked, 4},
		{"two copies and later second attempts", slices.Concat(run(0, 25*ms, "a", "b"), run(55*ms, 80*ms, "c", "d")), 300 * ms, Blocked, 4},
		{"two copies", run(0, 25*ms, "a", "b"), 300 * ms, Suspect, 2},
		{"copies one after the other that overlap", slices.Concat(run(0, 25*ms, "a"), run(15*ms, 40*ms, "b"), run(30*ms, 55*ms, "c")), 300 * ms, Blocked, 3},
		{"one upstream", run(0, 25*ms, "a", "a", "a", "a"), 300 * ms, Suspect, 1},
		{"upstreams that fail with others", slices.Concat(run(0, 25*ms, "a", "b", "c", "d"), others(20*ms, "e", "f")), 300 * ms, Suspect, 2},
		{"upstreams that fail with more others", slices.Concat(run(0, 25*ms, "a", "b", "c"), others(20*ms, "d", "e", "f")), 300 * ms, Suspect, 1},
		{"other upstreams fail later", slices.Concat(run(0, 25*ms, "a", "b", "c"), others(200*ms, "d", "e", "f")), 300 * ms, Blocked, 3},
		{"upstreams that fail with others under trusted requests", slices.Concat(run(0, 25*ms, "a", "b", "c"),
			[]Event{Ended{"d", 20 * ms}, Ended{"e", 30 * ms}}), 300 * ms, Suspect, 1},
		{"other requests at the same upstreams", slices.Concat(run(0, 25*ms, "a", "b", "c"), others(24*ms, "a", "b", "c")), 300 * ms, Blocked, 3},
		{"one copy has completed", slices.Concat(run(0, 25*ms, "a", "b", "c"), []Event{Completed{1}}), 300 * ms, Clear, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := New(Options{})
			for _, event := range tt.events {
				d.Observe(300*ms, event)
			}
			if tt.collected > 0 {
				d.Observe(300*ms, Collected{tt.collected})
			}
			assert.Equal(t, d.Status(300*ms, 1), tt.want)
			known, _ := d.get(300*ms, 1)
			assert.Equal(t, known.Crashes, tt.crashes)
		})
	}
}

// Guards against copies in several rounds that are counted from the first round only, and against a completion that does not lift
// a block of simultaneous crashes.
func TestCopiesInRounds(t *testing.T) {
	const ms = time.Millisecond
	d := New(Options{})
	for round, upstreams := range [][]string{{"a", "b"}, {"c"}} {
		at := time.Duration(round) * time.Second
		for _, upstream := range upstreams {
			d.Observe(at+30*ms, Interrupted{Signature: 1, Upstream: upstream, SentAt: at, EndedAt: at + 25*ms})
		}
		d.Observe(at+300*ms, Collected{at + 200*ms})
	}
	assert.Equal(t, d.Status(2*time.Second, 1), Blocked)
	d.Observe(2*time.Second, Completed{1})
	assert.Equal(t, d.Status(2*time.Second, 1), Clear)
}

// Guards against memory that grows with the requests that were interrupted, on hosts that never collect observations.
func TestBoundOfUnsettledSuspects(t *testing.T) {
	d := New(Options{})
	for i := range uint64(3 * DefaultBound) {
		at := time.Duration(i) * time.Millisecond
		d.Observe(at, Interrupted{Signature: i + 1, Upstream: strconv.FormatUint(i, 10), SentAt: at, EndedAt: at})
	}
	assert.Assert(t, len(d.unsettled) <= DefaultBound && len(d.ends) <= maxEndings, "%d suspects, %d ends", len(d.unsettled), len(d.ends))
}

// Guards against an interruption that counts twice, because the report of another host arrives after it was counted.
func TestLateReportOfACountedInterruption(t *testing.T) {
	const ms = time.Millisecond
	d := New(Options{})
	report := func() {
		for i, upstream := range []string{"a", "b"} {
			d.Observe(300*ms, Interrupted{Signature: 1, Upstream: upstream, SentAt: time.Duration(i) * ms, EndedAt: time.Duration(25+i) * ms})
		}
		d.Observe(300*ms, Collected{200 * ms})
	}
	report()
	report()
	known, _ := d.get(300*ms, 1)
	assert.Equal(t, known.Crashes, 2)
}
