package balancer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/configurator"
)

const ms = time.Millisecond

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func targets(count int) []Target {
	list := make([]Target, count)
	for i := range list {
		list[i] = Target{Name: fmt.Sprint("u", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 6}
	}
	return list
}

// Guards against ejections beyond the limits, hedges beyond 5% or to cold, drained or ejected upstreams, and requests to
// drained upstreams, for any behaviour of the upstreams.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Options{Seed: 1})
		list := targets(rapid.IntRange(2, 13).Draw(t, "count"))
		for i := range list {
			list[i].Cold = rapid.IntRange(0, 5).Draw(t, "cold") == 0
			list[i].Drained = rapid.IntRange(0, 5).Draw(t, "drained") == 0
		}
		b.SetTargets(0, list)
		now := time.Duration(0)
		requests, hedges := 0, 0
		var open []Attempt
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				class := configurator.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				requests++
				picked, ok := b.Pick(now, class, []string{"u0"})
				if !ok {
					return
				}
				if picked.Upstream == "u0" || b.byName[picked.Upstream].Drained {
					t.Fatalf("picked %s, which is excluded or drained", picked.Upstream)
				}
				open = append(open, picked)
			},
			"hedge": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing in flight")
				}
				first := rapid.SampledFrom(open).Draw(t, "first")
				_, may := b.HedgeAfter(now, first)
				hedge, ok := b.Hedge(now, first)
				if !ok {
					return
				}
				hedges++
				chosen := b.byName[hedge.Upstream]
				if first.Class == configurator.NeverRepeat || chosen.Cold || chosen.Drained || chosen.ejected ||
					hedge.Upstream == first.Upstream {
					t.Fatalf("hedge of class %d from %s to %+v (delay available: %v)", first.Class, first.Upstream, chosen.Target, may)
				}
				if float64(hedges) > DefaultHedgeShare*float64(requests)+1e-6 {
					t.Fatalf("%d hedges for %d requests", hedges, requests)
				}
				open = append(open, hedge)
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing in flight")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "index")
				outcome := Outcome(max(rapid.IntRange(-3, int(Cancelled)).Draw(t, "outcome"), 0))
				ended := open[i]
				open = slices.Delete(open, i, i+1)
				loser, ok := b.Observe(now, Ended{Attempt: ended, Outcome: outcome})
				if ok && !slices.Contains(open, loser) {
					t.Fatalf("loser %+v is not in flight", loser)
				}
			},
			"report": func(t *rapid.T) {
				b.Report(now, Reported{Upstream: "u1", InFlight: rapid.IntRange(0, 6).Draw(t, "in-flight")})
			},
			"": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * ms
				checkEjectedShares(t, b)
			},
		})
	})
}

func checkEjectedShares(t *rapid.T, b *Balancer) {
	all, ejected := map[string]int{}, map[string]int{}
	for _, target := range b.targets {
		if target.Drained {
			continue
		}
		for _, group := range []string{"", target.FailureDomain} {
			all[group]++
			if target.ejected {
				ejected[group]++
			}
		}
	}
	for group, count := range ejected {
		share := DefaultDomainEjectShare
		if group == "" {
			share = DefaultEjectShare
		}
		if float64(count) > share*float64(all[group]) {
			t.Fatalf("%d of %d upstreams ejected in group %q", count, all[group], group)
		}
	}
}

// Guards against an upstream that is preferred because its reports understate its load. The traffic is a closed loop
// with 12 requests in flight.
func TestMisleadingReports(t *testing.T) {
	for _, test := range []struct {
		name  string
		slow  time.Duration // of u0; the others take 10 ms
		fails bool
	}{
		{"reports no load, slow", 60 * ms, false},
		{"reports no load, slightly slow", 25 * ms, false},
		{"reports no load, fails", 1 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := New(Options{Seed: 1})
			b.SetTargets(0, targets(9))
			share := runClosedLoop(b, 20*time.Second, func(upstream string) (time.Duration, Outcome) {
				switch {
				case upstream != "u0":
					return 10 * ms, Succeeded
				case test.fails:
					return test.slow, Failed
				}
				return test.slow, Succeeded
			})
			assert.Assert(t, share < 1.0/18, "share of u0 is %v, want less than half of 1/9", share)
		})
	}
}

// runClosedLoop sends requests for the given time and returns the share that u0 received. All upstreams report 4
// requests in flight, except u0, which reports none.
func runClosedLoop(b *Balancer, length time.Duration, serve func(string) (time.Duration, Outcome)) float64 {
	type inFlight struct {
		Ended
		at time.Duration
	}
	random := rand.New(rand.NewPCG(1, 1))
	var open []inFlight
	count, first := 0, 0
	for now := time.Duration(0); now < length; now += ms {
		open = slices.DeleteFunc(open, func(r inFlight) bool {
			if r.at <= now {
				b.Observe(now, r.Ended)
			}
			return r.at <= now
		})
		for len(open) < 12 {
			picked, _ := b.Pick(now, configurator.Safe, nil)
			took, outcome := serve(picked.Upstream)
			took += time.Duration(random.Int64N(int64(4 * ms)))
			open = append(open, inFlight{Ended{picked, outcome}, now + took})
			count++
			if picked.Upstream == "u0" {
				first++
			}
		}
		for i := range 9 {
			b.Report(now, Reported{Upstream: fmt.Sprint("u", i), InFlight: min(i, 1) * 4})
		}
	}
	return float64(first) / float64(count)
}

// Guards against wrong quantiles, by comparison with sorted values within the width of the buckets, and against old
// values that keep their weight.
func TestHistogram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h histogram
		values := rapid.SliceOfN(rapid.Int64Range(int64(ms)/10, int64(20*time.Second)), 1, 200).Draw(t, "values")
		for _, value := range values {
			h.add(time.Hour, time.Duration(value))
		}
		slices.Sort(values)
		q := rapid.Float64Range(0.01, 0.99).Draw(t, "quantile")
		want := float64(values[min(int(q*float64(len(values))), len(values)-1)])
		below := float64(values[max(int(q*float64(len(values)))-1, 0)])
		if got := float64(h.quantile(q)); got < below || got > want*1.26 {
			t.Fatalf("quantile %v is %v, want %v", q, got, want)
		}
	})
	var h histogram
	h.add(0, time.Second)
	for at := time.Hour; at < time.Hour+time.Second; at += ms {
		h.add(at, ms)
	}
	assert.Assert(t, h.quantile(0.999) < 2*ms)
}

// Guards against a straggler that receives one probe after the other because hedges complete before the probes.
func TestCancelledProbe(t *testing.T) {
	b := New(Options{Seed: 1})
	b.SetTargets(0, targets(9))
	b.targets[0].eject(0)
	now := b.targets[0].ejectedUntil
	probe, _ := b.Pick(now, configurator.Safe, nil)
	assert.Equal(t, probe.Upstream, "u0")
	b.Observe(now+20*ms, Ended{Attempt: probe, Outcome: Cancelled})
	for range 100 {
		picked, _ := b.Pick(now+20*ms, configurator.Safe, nil)
		assert.Assert(t, picked.Upstream != "u0")
	}
}

// Guards against hedges above 5% of the requests when upstreams become slow after an idle period in which the budget
// accumulated.
func TestHedgesAfterIdlePeriod(t *testing.T) {
	b := New(Options{Seed: 1})
	b.SetTargets(0, targets(3))
	now := time.Duration(0)
	for range 1000 {
		now += time.Millisecond
		idle, ok := b.Pick(now, configurator.Safe, nil)
		assert.Assert(t, ok)
		b.Observe(now, Ended{Attempt: idle, Outcome: Succeeded})
	}
	hedges := 0
	for range 100 {
		first, ok := b.Pick(now, configurator.Safe, nil)
		assert.Assert(t, ok)
		if _, hedged := b.Hedge(now, first); hedged {
			hedges++
		}
	}
	assert.Assert(t, hedges <= 6, "%d hedges for 100 requests, want at most 6: 5%% and a budget of 1", hedges)
}
