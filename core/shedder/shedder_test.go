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

// upstream is a model of an upstream that processes requests in the order of arrival.
type upstream struct {
	random  *rand.Rand
	running []time.Duration // times at which the running requests end
	waiting []*caller
}

type caller struct {
	firstAttempt time.Duration
	attempts     int
	nextAttempt  time.Duration
	end          time.Duration // of its request; 0: not processed
}

func (u *upstream) step(now time.Duration) []*caller {
	var done []*caller
	kept := u.running[:0]
	for _, end := range u.running {
		if end > now {
			kept = append(kept, end)
		}
	}
	u.running = kept
	for len(u.running) < slots && len(u.waiting) > 0 {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		if now > c.firstAttempt+deadline {
			continue
		}
		c.end = now + time.Duration(float64(runTime)*(0.6+0.8*u.random.Float64()))
		u.running = append(u.running, c.end)
		done = append(done, c)
	}
	return done
}

// simulate sends requests at rate times the capacity of one upstream for the time d. It returns the share of callers
// with a response within the objective and the share with any response.
func simulate(
	rate float64, d time.Duration, admit func(now time.Duration, c *caller, occupied int) (bool, time.Duration),
) (inTime, served float64) {
	random := rand.New(rand.NewPCG(3, 4))
	u := &upstream{random: random}
	perStep := rate * slots / runTime.Seconds() * step.Seconds()
	var pending, all []*caller
	reported := 0 // occupancy in the last load report, plus the requests sent since then
	for now := time.Duration(0); now < d+deadline; now += step {
		u.step(now)
		if now%(200*time.Millisecond) == 0 {
			reported = len(u.running) + len(u.waiting)
		}
		if now < d {
			for n := perStep; n > 0; n-- {
				if n >= 1 || random.Float64() < n {
					c := &caller{firstAttempt: now, nextAttempt: now}
					all = append(all, c)
					pending = append(pending, c)
				}
			}
		}
		rest := pending[:0]
		for _, c := range pending {
			if c.nextAttempt > now {
				rest = append(rest, c)
				continue
			}
			c.attempts++
			ok, wait := admit(now, c, reported)
			if ok && len(u.waiting) < queue {
				u.waiting = append(u.waiting, c)
				reported++
				continue
			}
			if c.attempts <= 2 && now+wait < c.firstAttempt+deadline {
				c.nextAttempt = now + wait
				rest = append(rest, c)
			}
		}
		pending = rest
	}
	inTimeCount, servedCount := 0, 0
	for _, c := range all {
		if c.end == 0 || c.end > c.firstAttempt+deadline {
			continue
		}
		servedCount++
		if c.end <= c.firstAttempt+objective {
			inTimeCount++
		}
	}
	return float64(inTimeCount) / float64(len(all)), float64(servedCount) / float64(len(all))
}

func admitAll(time.Duration, *caller, int) (bool, time.Duration) { return true, 150 * time.Millisecond }

func shed(s *shedder.Shedder) func(time.Duration, *caller, int) (bool, time.Duration) {
	return shedAt(s, "")
}

// shedAt is shed for requests that only the given owner can run.
func shedAt(s *shedder.Shedder, owner string) func(time.Duration, *caller, int) (bool, time.Duration) {
	return func(now time.Duration, c *caller, occupied int) (bool, time.Duration) {
		e := selector.Estimate{Run: runTime}
		if ahead := occupied + 1 - slots; ahead > 0 {
			e.Wait = runTime * time.Duration(ahead) / slots
		}
		remaining := c.firstAttempt + deadline - now
		decision := s.Decide(now, shedder.Request{Route: "r", Service: "s", Owner: owner, Objective: objective, Remaining: remaining},
			s.LikelyRetry("r", remaining), e)
		return decision.Admit, decision.RetryAfter
	}
}

// TestOverloadKeepsResponsesInTime checks that during overload, a minimum part of the capacity is used for responses in
// time, and more than without shedding. Without shedding, the queue stays full, so responses are late although the
// upstream processes requests at full capacity.
func TestOverloadKeepsResponsesInTime(t *testing.T) {
	tests := []struct {
		name string
		rate float64 // relative to the capacity
		d    time.Duration
		// minimum share of the capacity that is used for responses in time
		minInTime float64
	}{
		{"burst", 1.7, 4 * time.Second, 0.6},
		{"long overload", 2, 20 * time.Second, 0.6},
		{"hot key", 4, 5 * time.Second, 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			baseInTime, baseServed := simulate(tt.rate, tt.d, admitAll)
			inTime, served := simulate(tt.rate, tt.d, shed(shedder.New(1)))
			t.Logf("in time %.2f (without shedding %.2f), served %.2f (without shedding %.2f)",
				inTime, baseInTime, served, baseServed)
			assert.Assert(t, inTime > baseInTime)
			assert.Assert(t, inTime*tt.rate >= tt.minInTime, "in time %.2f", inTime)
		})
	}
}

// TestNormalLoadIsAdmitted checks that nearly all requests are processed in time at 70% of the capacity.
func TestNormalLoadIsAdmitted(t *testing.T) {
	inTime, served := simulate(0.7, 20*time.Second, shed(shedder.New(1)))
	assert.Assert(t, served > 0.99, "served %.3f", served)
	assert.Assert(t, inTime > 0.95, "in time %.3f", inTime)
}

// TestDecide checks that urgent requests may wait longer in the queue than others, that retries may wait less, and that
// a request is rejected if its response would arrive after the caller has stopped waiting.
func TestDecide(t *testing.T) {
	request := shedder.Request{Route: "r", Service: "s", Objective: 600 * time.Millisecond, Remaining: 4 * time.Second}
	urgent := request
	urgent.Urgent = true
	limited := request
	limited.Competing, limited.WaitLimit = true, 100*time.Millisecond
	leading := urgent
	leading.Competing = true
	short := request
	short.Remaining = 300 * time.Millisecond
	run := 200 * time.Millisecond
	tests := []struct {
		name    string
		request shedder.Request
		retry   bool
		wait    time.Duration
		admit   bool
	}{
		{"free slot", request, false, 0, true},
		{"short queue", request, false, 200 * time.Millisecond, true},
		{"long queue", request, false, 300 * time.Millisecond, false},
		{"long queue, urgent", urgent, false, 300 * time.Millisecond, true},
		{"short queue, retry", request, true, 200 * time.Millisecond, false},
		{"short queue, more urgent requests compete", limited, false, 150 * time.Millisecond, false},
		{"queue within the limit of the class", limited, false, 90 * time.Millisecond, true},
		{"short queue, urgent retry", urgent, true, 200 * time.Millisecond, false},
		{"short queue, urgent retry that competes with less urgent requests", leading, true, 200 * time.Millisecond, true},
		{"response later than the caller waits", short, false, 150 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			decision := shedder.New(1).Decide(0, tt.request, tt.retry, selector.Estimate{Wait: tt.wait, Run: run})
			assert.Equal(t, decision.Admit, tt.admit)
			assert.Equal(t, decision.RetryAfter > 0, !tt.admit)
		})
	}
}

// TestRetryAfterGrowsWithRejections checks that RetryAfter grows with the share of rejections, up to a third of the
// remaining time, and that it varies. Otherwise callers that were rejected together would retry together.
func TestRetryAfterGrowsWithRejections(t *testing.T) {
	s := shedder.New(1)
	request := shedder.Request{Service: "s", Remaining: 3 * time.Second}
	initial := s.RetryAfter(0, request)
	for i := range 100 {
		s.RecordRejection(time.Duration(i)*50*time.Millisecond, request)
	}
	now := 5 * time.Second
	var waits []time.Duration
	for range 50 {
		waits = append(waits, s.RetryAfter(now, request))
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	assert.Assert(t, initial <= 200*time.Millisecond)
	assert.Assert(t, waits[0] >= 600*time.Millisecond, "%v", waits[0])
	assert.Assert(t, waits[len(waits)-1] <= time.Second, "a caller waits longer than a third of its remaining time")
	assert.Assert(t, waits[len(waits)-1]-waits[0] > 100*time.Millisecond, "callers retry together")
}

// TestLikelyRetry checks that a request counts as a retry if its remaining time is well below the usual one of its
// route, and not because of the usual variation.
func TestLikelyRetry(t *testing.T) {
	s := shedder.New(1)
	for i := range 200 {
		s.LikelyRetry("r", 3400*time.Millisecond+time.Duration(i%7)*100*time.Millisecond)
	}
	assert.Assert(t, !s.LikelyRetry("r", 3400*time.Millisecond))
	assert.Assert(t, s.LikelyRetry("r", 2300*time.Millisecond))
}

// TestRetryAfterOfCompetingRoutes checks that rejections of a less urgent route do not delay the retry of an urgent one, which
// could still be in time, and that routes that do not compete share one record.
func TestRetryAfterOfCompetingRoutes(t *testing.T) {
	for _, competing := range []bool{false, true} {
		s := shedder.New(1)
		request := shedder.Request{Route: "uploads", Service: "s", Objective: time.Second, Remaining: 3 * time.Second, Competing: competing}
		for i := range 100 {
			s.Decide(time.Duration(i)*50*time.Millisecond, request, false, selector.Estimate{Wait: 5 * time.Second})
		}
		request.Route = "lookups"
		wait := s.RetryAfter(5*time.Second, request)
		assert.Equal(t, wait <= 200*time.Millisecond, competing, "%v", wait)
	}
}

// TestRetryAfterBesideHotKey checks that callers of other owners return soon while the owner of a hot key rejects most of a
// service's requests, and that callers of the hot key return late.
func TestRetryAfterBesideHotKey(t *testing.T) {
	s := shedder.New(1)
	hot := shedder.Request{Route: "r", Service: "s", Owner: "hot", Objective: time.Second, Remaining: 3 * time.Second}
	other := hot
	other.Owner = "other"
	for i := range 200 {
		now := time.Duration(i) * 25 * time.Millisecond
		s.Decide(now, hot, false, selector.Estimate{Wait: 5 * time.Second})
		s.Decide(now, other, false, selector.Estimate{})
	}
	now := 5 * time.Second
	assert.Assert(t, s.RetryAfter(now, hot) >= 600*time.Millisecond)
	assert.Assert(t, s.RetryAfter(now, other) <= 200*time.Millisecond)
}

// TestRandomQueueAtAnOwner plays the load below and above the capacity of the only upstream that can run its requests. Below it,
// queues are random and short, and fewer callers are rejected if a request may use all of its slack. Above it, the queue stays, and
// a minimum part of the capacity must go to responses in time, as without an owner.
func TestRandomQueueAtAnOwner(t *testing.T) {
	tests := []struct {
		name string
		rate float64 // relative to the capacity
		d    time.Duration
		// minimum gain in the share of callers with a response in time
		minGain float64
		// minimum share of the capacity that is used for such responses
		minInTime float64
	}{
		{"high load", 0.9, 60 * time.Second, 0.02, 0.7},
		{"load at the capacity", 1, 60 * time.Second, 0.02, 0.7},
		{"burst", 1.7, 4 * time.Second, 0, 0.6},
		{"long overload", 2, 20 * time.Second, -0.02, 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			beforeInTime, before := simulate(tt.rate, tt.d, shed(shedder.New(1)))
			inTime, served := simulate(tt.rate, tt.d, shedAt(shedder.New(1), "owner"))
			t.Logf("in time %.3f, was %.3f; served %.3f, was %.3f", inTime, beforeInTime, served, before)
			assert.Assert(t, inTime >= beforeInTime+tt.minGain)
			assert.Assert(t, served >= before-0.01)
			assert.Assert(t, inTime*tt.rate >= tt.minInTime, "in time %.2f", inTime)
		})
	}
}
