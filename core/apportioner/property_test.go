package apportioner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/apportioner/simulator"
)

var bounds = apportioner.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

const (
	// settleTime is the time after the last fault and after the beginning of a demand below the limit from which no request is
	// refused.
	settleTime = 3 * time.Second
	// applyTime is the time within which a lower limit is in force on all hosts.
	applyTime = 2500 * time.Millisecond
)

// Guards against histories in which hosts that join, stop, freeze, thaw or are cut off, or changes of the controller or of the
// limit, or the removal and return of the account, let more requests run in a window than the bound.
func TestRequestsInAnyWindowStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := apportioner.Bounds{
			Window: 5 * time.Second, Overshoot: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "overshoot"),
			Slack: rapid.SampledFrom([]float64{0, 20, 100}).Draw(t, "slack"),
		}
		limit := apportioner.Account{
			Tag: 1, Rate: rapid.SampledFrom([]float64{1, 3, 16, 122, 400}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{0, 5, 16, 122}).Draw(t, "burst"),
		}
		f := simulator.New(simulator.Options{
			Hosts: rapid.IntRange(1, 8).Draw(t, "hosts"), Bounds: b, Account: limit, Seed: rapid.Uint64().Draw(t, "seed"), Rough: true,
		})
		hosts := rapid.IntRange(0, 1<<30)
		type period struct {
			from  time.Duration
			bound float64
		}
		periods := []period{{0, f.Bound()}}
		highest := f.Bound()
		removed, unknownLimit := false, false // the controller gets the limit of a removed account when it is restored
		n := rapid.IntRange(5, 25).Draw(t, "events")
		count := f.Hosts()
		for range n {
			h := hosts.Draw(t, "host") % count
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				f.Cut(h, rapid.Bool().Draw(t, "up"), rapid.Bool().Draw(t, "down"))
			case 1:
				f.Cut(h, false, false)
			case 2:
				f.Freeze(h, true)
			case 3:
				f.Freeze(h, false)
			case 4:
				f.Stop(h)
			case 5:
				f.Start(h)
			case 6:
				f.StopController(rapid.Bool().Draw(t, "resigns"))
			case 7:
				f.CutController()
			case 8:
				f.MendController()
			case 9:
				factor := rapid.SampledFrom([]float64{0.1, 0.5, 2}).Draw(t, "factor")
				limit.Rate, limit.Burst = limit.Rate*factor, limit.Burst*factor
				f.SetLimit(limit.Rate, limit.Burst)
				periods = append(periods, period{f.Now, f.Bound()})
				highest = max(highest, f.Bound())
				unknownLimit = unknownLimit || removed
			case 10:
				if last := periods[len(periods)-1]; !removed && len(periods) > 1 {
					unknownLimit = f.Now < last.from+applyTime
				}
				removed = true
				f.SetRemoved(true)
			case 11:
				if unknownLimit {
					periods = append(periods, period{f.Now, f.Bound()})
				}
				removed, unknownLimit = false, false
				f.SetRemoved(false)
			}
			length := time.Duration(rapid.IntRange(1, 3000).Draw(t, "length")) * time.Millisecond
			load := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 3, 20}).Draw(t, "load")
			focus := rapid.Bool().Draw(t, "focus") // all callers at one host
			owed := 0.0
			for end := f.Now + length; f.Now < end; f.Step() {
				if !unknownLimit && (f.Now >= periods[len(periods)-1].from+applyTime+b.Window || len(periods) == 1) {
					assert.Assert(t, f.Usable() <= f.Capacity()+1e-6, "%.1f tokens are valid, capacity %.1f", f.Usable(), f.Capacity())
				}
				for owed += load * limit.Rate * simulator.Tick.Seconds(); owed >= 1; owed-- {
					to := h
					if !focus {
						to = int(f.Now/simulator.Tick) * 7 % count
						h++
					}
					f.Request(to % count)
				}
			}
		}
		assert.Assert(t, float64(f.MaxInWindow(0, f.Now)) <= highest, "%d in a window, bound %.1f", f.MaxInWindow(0, f.Now), highest)
		for i, p := range periods {
			end := f.Now
			if i+1 < len(periods) {
				end = periods[i+1].from - b.Window
			}
			got := f.MaxInWindow(p.from+applyTime+b.Window, end)
			assert.Assert(t, float64(got) <= p.bound, "%d in a window after a change of the limit, bound %.1f", got, p.bound)
		}
	})
}

// Guards against refusals below the limit: tokens that stay on hosts which no longer need them, or do not follow the demand, also
// after the account was removed and restored.
func TestDemandBelowTheLimitIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := apportioner.Account{Tag: 1, Rate: rapid.SampledFrom([]float64{1, 3, 16, 122, 400}).Draw(t, "rate")}
		limit.Burst = limit.Rate
		hosts := rapid.SampledFrom([]int{1, 4, 60}).Draw(t, "hosts")
		f := simulator.New(simulator.Options{Hosts: hosts, Bounds: bounds, Account: limit, Seed: rapid.Uint64().Draw(t, "seed")})
		used := min(hosts, rapid.IntRange(1, 6).Draw(t, "used"))
		first, owed, n := 0, 0.0, 0
		run := func(length time.Duration, load float64) {
			for end := f.Now + length; f.Now < end; f.Step() {
				for owed += load * limit.Rate * simulator.Tick.Seconds(); owed >= 1; owed-- {
					n++
					f.Request((first + n%used) % hosts)
				}
			}
		}
		run(5*time.Second, rapid.SampledFrom([]float64{0, 0.5, 5}).Draw(t, "before"))
		if rapid.Bool().Draw(t, "controller stops") {
			f.StopController(false)
			run(3*time.Second, 0.5)
		}
		if rapid.Bool().Draw(t, "account is removed") {
			f.SetRemoved(true)
			run(10*time.Second, 0)
			f.SetRemoved(false)
		}
		run(settleTime, 0.85)
		refused, unserved := f.Refused, f.Unserved
		for range 4 { // callers move to other hosts
			run(1500*time.Millisecond, 0.85)
			first = rapid.IntRange(0, hosts-1).Draw(t, "first")
		}
		assert.Equal(t, f.Refused-refused, 0)
		assert.Equal(t, f.Unserved-unserved, 0)
	})
}
