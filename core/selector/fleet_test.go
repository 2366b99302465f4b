package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/internal/sequencer"
	"rhubarbtrack.example/core/profiler"
	"rhubarbtrack.example/core/selector"
)

// fleet is a model of many hosts that send the requests of one service to many upstreams of different speeds. Each
// upstream processes requests in the order of arrival in its slots, and its machine slows down for short phases.
type fleet struct {
	sequencer.Queue
	random    *rand.Rand
	hosts     []*selector.Selector
	upstreams []*modelUpstream
	profiler  *profiler.Profiler // nil: hosts do not share run times
	slots     int                // of each upstream
	objective time.Duration
	choices   int // upstreams of which a request goes to the best one; 0: the default
	late      int
	finished  int
}

type modelUpstream struct {
	id       identifier.Incarnation
	slots    int
	runTime  time.Duration
	slowdown float64
	running  int
	waiting  []func()
}

const (
	modelSlots     = 6
	modelObjective = 3 * time.Second
	modelStep      = 2 * time.Millisecond
	modelWarmup    = 5 * time.Second
	modelEnd       = 25 * time.Second
)

func newFleet(seed uint64, hosts, upstreams int, shared bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), slots: modelSlots, objective: modelObjective}
	if shared {
		f.profiler = profiler.New()
	}
	for i := range hosts {
		f.hosts = append(f.hosts, selector.New(seed*1000+uint64(i)))
	}
	speeds := []float64{0.7, 0.7, 1.6}
	for i := range upstreams {
		u := &modelUpstream{slots: modelSlots, id: identifier.Incarnation{ID: fmt.Sprintf("u%03d", i)}, runTime: time.Duration(speeds[i%3] * float64(time.Second)), slowdown: 1}
		f.upstreams = append(f.upstreams, u)
		f.changeSlowdown(u)
	}
	return f
}

func (f *fleet) changeSlowdown(u *modelUpstream) {
	u.slowdown = 1
	if f.random.Float64() < 0.2 {
		u.slowdown = 3
	}
	f.After(400*time.Millisecond, func() { f.changeSlowdown(u) })
}

func (u *modelUpstream) load() selector.Load {
	return selector.Load{Running: u.running, Waiting: len(u.waiting), Slots: u.slots, Slowdown: u.slowdown}
}

// share sends the load reports of all upstreams, 200 ms old, and the changed run times to all hosts.
func (f *fleet) share() {
	at := f.Now
	for _, u := range f.upstreams {
		load := u.load()
		f.After(200*time.Millisecond, func() {
			for _, h := range f.hosts {
				h.RecordSharedLoad(at, u.id, load)
			}
		})
	}
	if f.profiler != nil {
		for id, mean := range f.profiler.TakeChanges() {
			for _, h := range f.hosts {
				h.RecordSharedRunTime(id, mean)
			}
		}
	}
	f.After(200*time.Millisecond, f.share)
}

func (f *fleet) request() {
	host := f.hosts[f.random.IntN(len(f.hosts))]
	var list []selector.Candidate
	for _, u := range f.upstreams {
		list = append(list, selector.Candidate{Incarnation: u.id, Slots: f.slots})
	}
	sent := f.Now
	pick := host.Pick
	if f.choices > 0 {
		pick = func(now time.Duration, service string, list []selector.Candidate, exclude map[identifier.Incarnation]bool) (identifier.Incarnation, bool) {
			return host.PickFromSample(now, service, list, exclude, f.choices)
		}
	}
	id, ok := pick(sent, "s", list, nil)
	if !ok {
		return
	}
	var u *modelUpstream
	for _, candidate := range f.upstreams {
		if candidate.id == id {
			u = candidate
		}
	}
	host.Begin(id)
	run := func() {
		u.running++
		taken := time.Duration((0.5 + f.random.Float64()) * u.slowdown * float64(u.runTime))
		f.After(taken, func() { f.finish(host, u, sent, taken) })
	}
	if u.running < f.slots {
		run()
		return
	}
	u.waiting = append(u.waiting, run)
}

func (f *fleet) finish(host *selector.Selector, u *modelUpstream, sent, taken time.Duration) {
	now := f.Now
	u.running--
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
	host.End(now, u.id, selector.Answered)
	host.RecordLoad(now, u.id, u.load())
	host.RecordRunTime(u.id, taken, u.slowdown)
	if f.profiler != nil {
		f.profiler.Observe(now, u.id, 1, taken)
	}
	if sent < modelWarmup {
		return
	}
	f.finished++
	if now-sent > f.objective {
		f.late++
	}
}

// lateShare plays the given rate of requests and returns the share of late responses.
func (f *fleet) lateShare(rate float64) float64 {
	f.share()
	for due := 0.0; f.Now < modelEnd; {
		f.Advance(modelStep)
		for due += rate * modelStep.Seconds(); due >= 1; due-- {
			f.request()
		}
	}
	return float64(f.late) / float64(max(1, f.finished))
}

// TestSharedRunTimesInALargeFleet plays the load of a template service: 95 hosts, 132 upstreams of which a third take more
// than twice as long as the others. A host sends each upstream only a few requests a minute, so without shared run times
// it hardly prefers fast ones. Shared run times must halve the late responses of a calm day, and must not add any in a
// burst, when the fast upstreams alone cannot serve all requests.
func TestSharedRunTimesInALargeFleet(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64 // requests per second
		maxRatio float64 // of late responses with and without shared run times
	}{
		{"calm day", 267, 0.5},
		{"burst", 430, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := 0.0, 0.0
			for seed := range uint64(2) {
				with += newFleet(seed, 95, 132, true).lateShare(tt.rate) / 2
				without += newFleet(seed, 95, 132, false).lateShare(tt.rate) / 2
			}
			t.Logf("late: %.3f with shared run times, %.3f without", with, without)
			assert.Assert(t, with <= tt.maxRatio*without, "late: %.3f with shared run times, %.3f without", with, without)
		})
	}
}
