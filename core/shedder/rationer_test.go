package shedder_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/shedder"
)

const (
	slots     = 6
	queue     = 24
	runTime   = 280 * time.Millisecond
	objective = 600 * time.Millisecond
	deadline  = 4 * time.Second
	step      = 5 * time.Millisecond
)

// owner is a model of an upstream that serves in the order of arrival.
type owner struct {
	random  *rand.Rand
	running []time.Duration // ends
	waiting []*caller
}

type caller struct {
	first time.Duration // of its first try
	tries int
	next  time.Duration
	end   time.Duration
}

func (o *owner) step(now time.Duration) []*caller {
	var done []*caller
	kept := o.running[:0]
	for _, end := range o.running {
		if end > now {
			kept = append(kept, end)
		}
	}
	o.running = kept
	for len(o.running) < slots && len(o.waiting) > 0 {
		c := o.waiting[0]
		o.waiting = o.waiting[1:]
		if now > c.first+deadline {
			continue
		}
		c.end = now + time.Duration(float64(runTime)*(0.6+0.8*o.random.Float64()))
		o.running = append(o.running, c.end)
		done = append(done, c)
	}
	return done
}

// play sends rate times the capacity for the given time, and returns the share of callers answered in time and at all.
func play(rate float64, d time.Duration, admit func(now time.Duration, c *caller, occupied int) (bool, time.Duration)) (inTime, served float64) {
	random := rand.New(rand.NewPCG(3, 4))
	o := &owner{random: random}
	perStep := rate * slots / runTime.Seconds() * step.Seconds()
	var pending, all []*caller
	seen := 0 // occupancy as hosts know it, which lags
	for now := time.Duration(0); now < d+deadline; now += step {
		o.step(now)
		if now%(200*time.Millisecond) == 0 {
			seen = len(o.running) + len(o.waiting)
		}
		if now < d {
			for n := perStep; n > 0; n-- {
				if n >= 1 || random.Float64() < n {
					c := &caller{first: now, next: now}
					all = append(all, c)
					pending = append(pending, c)
				}
			}
		}
		rest := pending[:0]
		for _, c := range pending {
			if c.next > now {
				rest = append(rest, c)
				continue
			}
			c.tries++
			ok, wait := admit(now, c, seen)
			if ok && len(o.waiting) < queue {
				o.waiting = append(o.waiting, c)
				seen++
				continue
			}
			if c.tries <= 2 && now+wait < c.first+deadline {
				c.next = now + wait
				rest = append(rest, c)
			}
		}
		pending = rest
	}
	good, answered := 0, 0
	for _, c := range all {
		if c.end == 0 || c.end > c.first+deadline {
			continue
		}
		answered++
		if c.end <= c.first+objective {
			good++
		}
	}
	return float64(good) / float64(len(all)), float64(answered) / float64(len(all))
}

func naive(time.Duration, *caller, int) (bool, time.Duration) { return true, 150 * time.Millisecond }

func rationed(r *shedder.Shedder) func(time.Duration, *caller, int) (bool, time.Duration) {
	return func(now time.Duration, c *caller, occupied int) (bool, time.Duration) {
		e := selector.Estimate{Run: runTime}
		if ahead := occupied + 1 - slots; ahead > 0 {
			e.Wait = runTime * time.Duration(ahead) / slots
		}
		left := c.first + deadline - now
		v := r.Decide(now, shedder.Request{Route: "r", Service: "s", Objective: objective, Remaining: left},
			r.LikelyRetry("r", left), e)
		return v.Admit, v.RetryAfter
	}
}

func TestOverloadAnswersInTime(t *testing.T) {
	tests := []struct {
		name string
		rate float64 // relative to the capacity
		d    time.Duration
		// least share of what the capacity allows that is answered in time
		least float64
	}{
		{"burst", 1.7, 4 * time.Second, 0.6},
		{"long overload", 2, 20 * time.Second, 0.6},
		{"hot key", 4, 5 * time.Second, 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			naiveInTime, naiveServed := play(tt.rate, tt.d, naive)
			inTime, served := play(tt.rate, tt.d, rationed(shedder.New(1)))
			t.Logf("in time %.2f (naive %.2f), served %.2f (naive %.2f)", inTime, naiveInTime, served, naiveServed)
			assert.Assert(t, inTime > naiveInTime)
			assert.Assert(t, inTime*tt.rate >= tt.least, "in time %.2f", inTime)
		})
	}
}

func TestNormalLoadIsAdmitted(t *testing.T) {
	inTime, served := play(0.7, 20*time.Second, rationed(shedder.New(1)))
	assert.Assert(t, served > 0.99, "served %.3f", served)
	assert.Assert(t, inTime > 0.95, "in time %.3f", inTime)
}

func TestJudge(t *testing.T) {
	request := shedder.Request{Route: "r", Service: "s", Objective: 600 * time.Millisecond, Remaining: 4 * time.Second}
	urgent := request
	urgent.Urgent = true
	short := request
	short.Remaining = 300 * time.Millisecond
	run := 200 * time.Millisecond
	tests := []struct {
		name      string
		request   shedder.Request
		returning bool
		wait      time.Duration
		admit     bool
	}{
		{"free slot", request, false, 0, true},
		{"short queue", request, false, 200 * time.Millisecond, true},
		{"long queue", request, false, 300 * time.Millisecond, false},
		{"long queue, urgent", urgent, false, 300 * time.Millisecond, true},
		{"short queue, returning", request, true, 200 * time.Millisecond, false},
		{"cannot be answered in its time", short, false, 150 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := shedder.New(1).Decide(0, tt.request, tt.returning, selector.Estimate{Wait: tt.wait, Run: run})
			assert.Equal(t, v.Admit, tt.admit)
			assert.Equal(t, v.RetryAfter > 0, !tt.admit)
		})
	}
}

func TestWaitGrowsWithPressure(t *testing.T) {
	r := shedder.New(1)
	calm := r.RetryAfter(0, "s", 3*time.Second)
	for i := range 100 {
		r.RecordRejection(time.Duration(i)*50*time.Millisecond, "s")
	}
	now := 5 * time.Second
	var waits []time.Duration
	for range 50 {
		waits = append(waits, r.RetryAfter(now, "s", 3*time.Second))
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	assert.Assert(t, calm <= 200*time.Millisecond)
	assert.Assert(t, waits[0] >= 600*time.Millisecond, "%v", waits[0])
	assert.Assert(t, waits[len(waits)-1] <= time.Second, "callers wait for a third of their time at most")
	assert.Assert(t, waits[len(waits)-1]-waits[0] > 100*time.Millisecond, "callers come back together")
}

func TestReturning(t *testing.T) {
	r := shedder.New(1)
	for i := range 200 {
		r.LikelyRetry("r", 3400*time.Millisecond+time.Duration(i%7)*100*time.Millisecond)
	}
	assert.Assert(t, !r.LikelyRetry("r", 3400*time.Millisecond))
	assert.Assert(t, r.LikelyRetry("r", 2300*time.Millisecond))
}
