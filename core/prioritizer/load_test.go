package prioritizer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/prioritizer"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/shedder"
)

// The model has hosts that share upstreams with a queue in the order of arrival. Load reports are 200 ms old.
const (
	modelHosts     = 10
	modelUpstreams = 8
	modelSlots     = 6
	modelQueue     = 24
	modelStep      = 5 * time.Millisecond
	reportInterval = 200 * time.Millisecond
)

type demand struct {
	class    prioritizer.Class
	run      time.Duration
	deadline time.Duration
	rate     float64 // requests per second
	burst    float64 // factor from burstStart to burstEnd
}

const (
	burstStart = 4 * time.Second
	burstEnd   = 11 * time.Second
	modelEnd   = 16 * time.Second
)

type caller struct {
	demand      *demand
	began, next time.Duration
	attempts    int
	end         time.Duration // 0: not served
}

type modelUpstream struct {
	id      identifier.Incarnation
	running []time.Duration
	waiting []*caller
}

type modelHost struct {
	selector    *selector.Selector
	shedder     *shedder.Shedder
	prioritizer *prioritizer.Prioritizer // nil: classes do not compete
}

type span struct{ from, to time.Duration }

type result struct {
	Count, Served, InTime int
}

func (r result) servedShare() float64 { return float64(r.Served) / float64(r.Count) }
func (r result) inTimeShare() float64 { return float64(r.InTime) / float64(r.Count) }

// play returns what the callers of each class that began during the burst get. Load reports do not arrive during lost.
func play(seed uint64, demands []demand, prioritized bool, lost span) []result {
	random := rand.New(rand.NewPCG(seed, 5))
	var upstreams []*modelUpstream
	var candidates []selector.Candidate
	byID := map[identifier.Incarnation]*modelUpstream{}
	for i := range modelUpstreams {
		u := &modelUpstream{id: identifier.Incarnation{ID: fmt.Sprintf("u%d", i)}}
		upstreams, byID[u.id] = append(upstreams, u), u
		candidates = append(candidates, selector.Candidate{Incarnation: u.id, Slots: modelSlots})
	}
	var hosts []*modelHost
	for i := range modelHosts {
		h := &modelHost{selector: selector.New(seed*100 + uint64(i)), shedder: shedder.New(seed*100 + uint64(i))}
		if prioritized {
			h.prioritizer = prioritizer.New()
		}
		hosts = append(hosts, h)
	}
	var pending, all []*caller
	for now := modelStep; now < modelEnd; now += modelStep {
		for _, u := range upstreams {
			u.step(now, random)
			if now%reportInterval == 0 && (now < lost.from || now >= lost.to) {
				for _, h := range hosts {
					h.selector.RecordSharedLoad(now, u.id, selector.Load{Running: len(u.running), Waiting: len(u.waiting), Slots: modelSlots, Slowdown: 1})
				}
			}
		}
		for i := range demands {
			rate := demands[i].rate
			if now >= burstStart && now < burstEnd {
				rate *= demands[i].burst
			}
			for n := rate * modelStep.Seconds(); n > 0; n-- {
				if n >= 1 || random.Float64() < n {
					c := &caller{demand: &demands[i], began: now, next: now}
					pending, all = append(pending, c), append(all, c)
				}
			}
		}
		rest := pending[:0]
		for _, c := range pending {
			if c.next > now {
				rest = append(rest, c)
			} else if wait := hosts[random.IntN(modelHosts)].send(now, c, candidates, byID); wait > 0 && c.attempts < 2 {
				c.next = now + wait
				rest = append(rest, c)
			}
		}
		pending = rest
	}
	results := make([]result, len(demands))
	for _, c := range all {
		for i := range demands {
			if c.demand == &demands[i] && c.began >= burstStart && c.began < burstEnd {
				results[i].add(c)
			}
		}
	}
	return results
}

func (r *result) add(c *caller) {
	r.Count++
	if c.end != 0 && c.end <= c.began+c.demand.deadline {
		r.Served++
		if c.end <= c.began+c.demand.class.Objective {
			r.InTime++
		}
	}
}

// send tries one attempt of a caller, and returns the time after which it retries, or 0 if it was sent.
func (h *modelHost) send(now time.Duration, c *caller, candidates []selector.Candidate, upstreams map[identifier.Incarnation]*modelUpstream) time.Duration {
	c.attempts++
	remaining := c.began + c.demand.deadline - now
	class := c.demand.class
	id, ok := h.selector.Pick(now, class.Service, candidates, nil)
	if !ok {
		return time.Second
	}
	estimate := h.selector.Estimate(now, id, modelSlots)
	mean := estimate.Run
	request := shedder.Request{Route: class.Route, Service: class.Service, Objective: class.Objective, Remaining: remaining,
		Urgent: class.Priority == 0}
	retry := h.shedder.LikelyRetry(class.Route, remaining)
	if h.prioritizer != nil {
		h.prioritizer.RecordArrival(now, class)
		standing := h.prioritizer.Assess(now, class, retry, mean)
		request.Competing, request.WaitLimit, estimate.Run = standing.Competing, standing.WaitLimit, standing.Run
	}
	decision := h.shedder.Decide(now, request, retry, estimate)
	if h.prioritizer != nil {
		h.prioritizer.RecordDecision(now, class, decision.Admit)
	}
	u := upstreams[id]
	if !decision.Admit {
		return decision.RetryAfter
	}
	if len(u.waiting) >= modelQueue {
		return h.shedder.RetryAfter(now, request)
	}
	u.waiting = append(u.waiting, c)
	h.selector.RecordRunTime(id, c.demand.run, 1)
	if h.prioritizer != nil {
		h.prioritizer.RecordRunTime(class, c.demand.run, mean)
	}
	return 0
}

func (u *modelUpstream) step(now time.Duration, random *rand.Rand) {
	kept := u.running[:0]
	for _, end := range u.running {
		if end > now {
			kept = append(kept, end)
		}
	}
	u.running = kept
	for len(u.running) < modelSlots && len(u.waiting) > 0 {
		c := u.waiting[0]
		u.waiting = u.waiting[1:]
		c.end = now + time.Duration(float64(c.demand.run)*(0.6+0.8*random.Float64()))
		u.running = append(u.running, c.end)
	}
}

// TestUrgentCallersUnderCompetition plays a burst of a less urgent class at shared upstreams and checks what each class
// gets. Without priorities, the less urgent class fills the queues, and urgent callers are late or rejected.
func TestUrgentCallersUnderCompetition(t *testing.T) {
	// Upstreams have 48 slots. The urgent class needs a fifth of them.
	urgent := demand{match, 130 * time.Millisecond, 2500 * time.Millisecond, 75, 1}
	uploads := demand{upload, 400 * time.Millisecond, 8 * time.Second, 50, 1}
	tests := []struct {
		name                       string
		uploadBurst, urgentBurst   float64
		minUrgent, minUpload, gain float64 // shares; gain is that of urgent callers in time
	}{
		{"burst of uploads", 2.5, 1, 0.7, 0.25, 0.3},
		{"burst of both", 2.2, 2, 0.7, 0.25, 0.3},
		{"no overload", 1, 1, 0.97, 0.97, -0.02},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			urgent, uploads := urgent, uploads
			urgent.burst, uploads.burst = tt.urgentBurst, tt.uploadBurst
			demands := []demand{urgent, uploads}
			before, after := play(1, demands, false, span{}), play(1, demands, true, span{})
			for i, name := range []string{"urgent", "upload"} {
				t.Logf("%s: in time %.2f, was %.2f; served %.2f, was %.2f", name, after[i].inTimeShare(), before[i].inTimeShare(),
					after[i].servedShare(), before[i].servedShare())
			}
			assert.Assert(t, after[0].inTimeShare() >= tt.minUrgent, "%.2f", after[0].inTimeShare())
			assert.Assert(t, after[0].inTimeShare() >= before[0].inTimeShare()+tt.gain)
			assert.Assert(t, after[1].servedShare() >= tt.minUpload, "%.2f", after[1].servedShare())
		})
	}
}

// TestEqualPriorities checks that classes of one priority are treated as without the package.
func TestEqualPriorities(t *testing.T) {
	equal := upload
	equal.Priority = match.Priority
	demands := []demand{
		{match, 130 * time.Millisecond, 2500 * time.Millisecond, 75, 1},
		{equal, 400 * time.Millisecond, 8 * time.Second, 50, 2.5},
	}
	assert.DeepEqual(t, play(1, demands, true, span{}), play(1, demands, false, span{}))
}

// TestCompetitionWithoutLoadReports plays the loss of the controller in the middle of a burst: hosts have no load reports of
// each other for four seconds. Urgent callers must not get less than without priorities, and no class falls below its
// minimum share.
func TestCompetitionWithoutLoadReports(t *testing.T) {
	demands := []demand{
		{match, 130 * time.Millisecond, 2500 * time.Millisecond, 75, 1},
		{upload, 400 * time.Millisecond, 8 * time.Second, 50, 2.5},
	}
	lost := span{burstStart + time.Second, burstStart + 5*time.Second}
	before, after := play(1, demands, false, lost), play(1, demands, true, lost)
	for i, name := range []string{"urgent", "upload"} {
		t.Logf("%s: in time %.2f, was %.2f; served %.2f, was %.2f", name, after[i].inTimeShare(), before[i].inTimeShare(),
			after[i].servedShare(), before[i].servedShare())
	}
	assert.Assert(t, after[0].inTimeShare() >= before[0].inTimeShare())
	assert.Assert(t, after[0].servedShare() >= before[0].servedShare())
	assert.Assert(t, after[1].servedShare() >= 0.25)
}
