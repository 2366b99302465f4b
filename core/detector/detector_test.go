package detector

import (
	"flag"
	"os"
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

// Guards against a poison request that is never condemned and against innocent requests that stay suspects.
func TestStatus(t *testing.T) {
	crash := func(alone bool, signatures ...uint64) Event { return Crash{Signatures: signatures, Alone: alone} }
	for _, test := range []struct {
		name   string
		events []Event
		after  time.Duration
		want   [3]Status // of signatures 1, 2 and 3
	}{
		{"crash", []Event{crash(false, 1, 2)}, 0, [3]Status{Suspect, Suspect, Clear}},
		{"cleared", []Event{crash(false, 1, 2), RanAlone{2}}, 0, [3]Status{Suspect, Clear, Clear}},
		{"condemned", []Event{crash(false, 1, 2), crash(true, 1)}, 0, [3]Status{Blocked, Suspect, Clear}},
		{"alone without suspicion", []Event{crash(true, 1)}, 0, [3]Status{Suspect, Clear, Clear}},
		{"two shared crashes", []Event{crash(false, 1, 2), crash(false, 1, 3)}, 0, [3]Status{Suspect, Suspect, Suspect}},
		{"condemned stays", []Event{crash(false, 1), crash(true, 1), crash(false, 1, 2)}, 0,
			[3]Status{Blocked, Suspect, Clear}},
		{"disproved", []Event{crash(false, 1), Retracted{[]uint64{1}}}, 0, [3]Status{}},
		{"second crash disproved", []Event{crash(false, 1), crash(true, 1), Retracted{[]uint64{1}}}, 0, [3]Status{Suspect}},
		{"condemned, ran alone elsewhere", []Event{crash(false, 1), crash(true, 1), RanAlone{1}}, 0, [3]Status{Blocked}},
		{"suspect again", []Event{crash(false, 1), RanAlone{1}, crash(false, 1)}, 0, [3]Status{Suspect}},
		{"expired", []Event{crash(false, 1), crash(true, 1)}, DefaultRetention, [3]Status{}},
		{"old report", []Event{Reported{[]Report{{1, Blocked, condemnation, DefaultRetention}}}}, 0, [3]Status{}},
		{"aged report", []Event{Reported{[]Report{{1, Suspect, 1, 9 * time.Minute}}}}, time.Minute, [3]Status{}},
		{"report of a clearing arrives first", []Event{Reported{[]Report{{1, Clear, 2, 0}}},
			Reported{[]Report{{1, Suspect, 1, 0}}}}, 0, [3]Status{}},
		{"clearing seen elsewhere does not lift a condemnation", []Event{crash(false, 1), crash(true, 1),
			Reported{[]Report{{1, Clear, 7, 0}}}}, 0, [3]Status{Blocked}},
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

// Guards against unbounded memory and against suspects that push condemned signatures out.
func TestBound(t *testing.T) {
	d := New(Options{})
	d.Observe(0, Crash{Signatures: []uint64{1}})
	d.Observe(0, Crash{Signatures: []uint64{1}, Alone: true})
	for signature := range uint64(3 * DefaultBound) {
		d.Observe(time.Second, Crash{Signatures: []uint64{signature + 2}})
	}
	assert.Equal(t, d.Len(), DefaultBound)
	assert.Equal(t, d.Status(time.Second, 1), Blocked)
	d.Observe(time.Hour, Reported{})
	assert.Equal(t, d.Len(), 0)
}

// Guards against hosts that stay at different verdicts after they have exchanged all reports, in whatever order.
func TestHostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Detector{New(Options{}), New(Options{}), New(Options{})}
		var flooded []Report
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			signature := rapid.Uint64Range(1, 3).Draw(t, "signature")
			var event Event = RanAlone{signature}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				event = Crash{Signatures: []uint64{signature}, Alone: rapid.Bool().Draw(t, "alone")}
			case 2:
				event = Retracted{[]uint64{signature}}
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
			want := hosts[0].Status(0, signature)
			for _, host := range hosts[1:] {
				if got := host.Status(0, signature); got != want {
					t.Fatalf("signature %d: verdicts %d and %d", signature, want, got)
				}
			}
		}
	})
}

// Guards against requests that share a signature because text moved from one part to the next.
func TestSign(t *testing.T) {
	assert.Assert(t, Sign("a", "bc", "", "", "") != Sign("ab", "c", "", "", ""))
	assert.Assert(t, Sign("a", "", "b", "", "") != Sign("a", "", "", "b", ""))
	assert.Equal(t, Sign("a", "b", "c", "d", "e"), Sign("a", "b", "c", "d", "e"))
}
