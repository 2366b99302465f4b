package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// coldFleet simulates hosts that send as many requests to cold upstreams as they may, and a controller.
type coldFleet struct {
	now       time.Duration
	random    *rand.Rand
	hosts     []*Router       // nil: stopped
	connected map[int]bool    // hosts that the controller sends heartbeats
	connects  []time.Duration // when each host connects to the controller
	upstreams []registrar.Upstream
	sent      map[string][]time.Duration
	job       *job
	nextBeat  time.Duration
	seen      []time.Duration // when each host was last connected, as far as the controller knows
}

const coldStep = 5 * time.Millisecond

func newColdFleet(seed uint64, hosts int) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(seed, 1)), hosts: make([]*Router, hosts), connects: make([]time.Duration, hosts), seen: make([]time.Duration, hosts),
		sent: map[string][]time.Duration{}, connected: map[int]bool{},
		job: &job{service: matcher.Service{Name: "s", ColdRate: 5.8}},
	}
	for i := range 5 {
		f.upstreams = append(f.upstreams, registrar.Upstream{Incarnation: identifier.Incarnation{ID: fmt.Sprintf("u%d-%d", seed, i), Start: 1}, ColdEnd: time.Hour})
	}
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

// stop ends a host.
func (f *coldFleet) stop(host int) { f.hosts[host], f.connected[host] = nil, false }

// start starts a host, which connects to the controller within some time.
func (f *coldFleet) start(host int) {
	f.connects[host] = f.now + time.Duration(f.random.Int64N(int64(400*time.Millisecond)))
	log := eventlog.New(zap.NewNop())
	clock := func() time.Duration { return f.now }
	f.hosts[host] = New(Options{
		Now: clock, Log: log, Seed: f.random.Uint64(), Limits: Limits{ColdRateFactor: 1.5, ColdSlack: 5}, ReportSoon: func() {},
		Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: clock}),
	})
}

// elect lets all hosts connect to a new controller within a time.
func (f *coldFleet) elect(within time.Duration) {
	clear(f.connected)
	for i := range f.seen {
		f.seen[i] = f.now
	}
	for i := range f.connects {
		f.connects[i] = f.now + time.Duration(f.random.Int64N(int64(within)))
	}
}

// run lets a time pass.
func (f *coldFleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += coldStep {
		changed := false
		for i := range f.connected {
			if f.connected[i] {
				f.seen[i] = f.now
			}
		}
		for i, at := range f.connects {
			if f.hosts[i] != nil && f.now >= at && !f.connected[i] {
				f.connected[i], changed = true, true
			}
		}
		if changed || f.now >= f.nextBeat {
			f.nextBeat = f.now + connector.ReportInterval
			for i, host := range f.hosts {
				if host != nil && f.connected[i] {
					index, hosts := f.position(i)
					host.OnHeartbeat(connector.Heartbeat{Index: index, Hosts: hosts})
				}
			}
		}
		for _, i := range f.random.Perm(len(f.hosts)) {
			for _, u := range f.upstreams {
				if f.hosts[i] != nil && f.random.IntN(3) == 0 && f.hosts[i].allowCold(f.now, f.job, u) {
					f.sent[u.ID] = append(f.sent[u.ID], f.now)
				}
			}
		}
	}
}

// most returns the highest number of requests that an upstream got in a second.
func (f *coldFleet) most() int {
	most := 0
	for _, sent := range f.sent {
		first := 0
		for i, at := range sent {
			for sent[first] <= at-time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// position returns that of a host among those that were connected lately, as the controller counts them.
func (f *coldFleet) position(host int) (index, hosts int) {
	for i := range f.hosts {
		if f.connected[i] || f.seen[i] > 0 && f.now < f.seen[i]+throttler.HostMemory {
			hosts++
			if i < host {
				index++
			}
		}
	}
	return index, hosts
}

// Guards against hosts that together send more to a cold upstream than it can serve, while hosts start and stop, are cut off from the
// controller, or follow a new one.
func TestSharesOfColdUpstreamsStayBelowTheirLimit(t *testing.T) {
	const (
		hosts = 11
		limit = 13.7
		least = 8 // requests in the second with most of them: shares that are too low help nobody
	)
	for _, tt := range []struct {
		name string
		play func(f *coldFleet)
	}{
		{"nothing changes", func(f *coldFleet) { f.run(4 * time.Second) }},
		{"new controller", func(f *coldFleet) {
			f.elect(time.Second)
			f.run(4 * time.Second)
		}},
		{"new controller that knows no hosts", func(f *coldFleet) {
			f.elect(time.Second)
			clear(f.seen)
			f.run(4 * time.Second)
		}},
		{"two new controllers", func(f *coldFleet) {
			for range 2 {
				f.elect(400 * time.Millisecond)
				f.run(600 * time.Millisecond)
			}
			f.run(2 * time.Second)
		}},
		{"rolling restart", func(f *coldFleet) {
			for i := range 8 {
				f.stop(i)
				f.run(500 * time.Millisecond)
				f.start(i)
				f.run(500 * time.Millisecond)
			}
		}},
		{"rolling restart, the controller first", func(f *coldFleet) {
			f.elect(400 * time.Millisecond)
			for i := range 8 {
				f.stop(i)
				f.run(500 * time.Millisecond)
				f.start(i)
				f.run(500 * time.Millisecond)
			}
		}},
		{"hosts are lost for good", func(f *coldFleet) {
			for i := range 4 {
				f.stop(2 * i)
			}
			f.run(12 * time.Second)
		}},
		{"hosts are cut off from the controller", func(f *coldFleet) {
			for i := range 4 {
				f.connected[2*i], f.connects[2*i] = false, time.Hour
			}
			f.run(12 * time.Second)
		}},
		{"all hosts restart", func(f *coldFleet) {
			for i := range f.hosts {
				f.start(i)
			}
			f.elect(time.Second)
			clear(f.seen)
			f.run(4 * time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(40) {
				f := newColdFleet(seed, hosts)
				f.run(3 * time.Second)
				clear(f.sent)
				tt.play(f)
				most := f.most()
				assert.Assert(t, float64(most) <= limit, "seed %d: a cold upstream gets %d requests in one second", seed, most)
				assert.Assert(t, most >= least, "seed %d: no cold upstream gets more than %d requests in one second", seed, most)
			}
		})
	}
}

// Guards against a host that is cut off and sends to cold upstreams when its share belongs to others.
func TestShareOfColdUpstreamsEndsWithoutHeartbeats(t *testing.T) {
	f := newColdFleet(1, 3)
	f.run(time.Second)
	for i := range f.hosts {
		f.connected[i], f.connects[i] = false, time.Hour
	}
	f.run(throttler.HostMemory)
	clear(f.sent)
	f.run(2 * time.Second)
	assert.Equal(t, f.most(), 0)
}

// Guards against hosts that together have more retries than the slack of the budget, because they count too few hosts when they start.
func TestRetriesOfStartingHostsStayWithinTheSlack(t *testing.T) {
	const slack = 62.0
	for seed := range uint64(20) {
		f := newColdFleet(seed, 11)
		f.elect(time.Second)
		clear(f.seen)
		retries := 0
		for range 120 {
			f.run(10 * time.Millisecond)
			for i, host := range f.hosts {
				host.SetLimits(Limits{RetryRatio: 0.2, RetrySlack: slack})
				for f.connected[i] && host.takeRetryToken(f.job) {
					retries++
				}
			}
		}
		assert.Assert(t, float64(retries) <= slack, "seed %d: %d retries", seed, retries)
	}
}
