package qualifier_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/qualifier"
)

const mbit = 1e6 / 8

// Guards against a candidacy that considers only the processor: hosts with 0.4 cores and a link of 10 Mbit/s became
// controllers of 91 hosts and lost their lease within seconds.
func TestDelay(t *testing.T) {
	tests := []struct {
		name     string
		host     qualifier.Host
		min, max time.Duration
	}{
		{"large", qualifier.Host{0.8, 200 * mbit, 536 << 20}, 0, 0},
		{"unknown link and memory", qualifier.Host{0.32, 0, 0}, 0, 0},
		{"fast link, small processor", qualifier.Host{0.15, 1000 * mbit, 284 << 20}, 600 * time.Millisecond, 600 * time.Millisecond},
		{"slow link", qualifier.Host{0.4, 10 * mbit, 424 << 20}, 900 * time.Millisecond, time.Second},
		{"slow link, small processor", qualifier.Host{0.12, 10 * mbit, 144 << 20}, 1050 * time.Millisecond, qualifier.MaxDelay},
		{"little memory", qualifier.Host{0.8, 200 * mbit, 64 << 20}, 600 * time.Millisecond, 600 * time.Millisecond},
		{"no processor", qualifier.Host{0, 200 * mbit, 536 << 20}, qualifier.MaxDelay, qualifier.MaxDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			delay := qualifier.Delay(qualifier.Fitness(tt.host), 0)
			assert.Assert(t, delay >= tt.min && delay <= tt.max, "%v", delay)
		})
	}
}

// Guards against changed delays of hosts whose link and memory suffice: they depend on the processor alone, as they did
// before links were considered.
func TestDelayOfHostsWithSufficientLink(t *testing.T) {
	for _, cores := range []float64{0.05, 0.12, 0.16, 0.299, 0.3, 0.32, 0.8, 4} {
		for _, link := range []float64{0, 50 * mbit, 200 * mbit, 1000 * mbit} {
			for _, seed := range []uint64{0, 7, 255, 256, 1<<64 - 1} {
				shortfall := 1 - min(1, max(0, cores/0.3))
				former := time.Duration(shortfall*float64(1200*time.Millisecond) + float64(seed%256)/256*float64(150*time.Millisecond))
				delay := qualifier.Delay(qualifier.Fitness(qualifier.Host{cores, link, 256 << 20}), seed)
				assert.Assert(t, (delay-former).Abs() <= time.Nanosecond, "%v cores, link %v: %v, before %v", cores, link, delay, former)
			}
		}
	}
}

// fleet runs the election of several hosts over a store that confirms each call at once. Hosts that are not alive take no part.
type fleet struct {
	contenders []*contender.Contender
	alive      []bool
	record     contender.Record
	now        time.Duration
}

func newFleet(hosts []qualifier.Host) *fleet {
	f := &fleet{}
	for i, host := range hosts {
		f.contenders = append(f.contenders, contender.New(0, contender.Options{
			Name: string(rune('a' + i)), Delay: qualifier.Delay(qualifier.Fitness(host), uint64(i*83)),
		}))
		f.alive = append(f.alive, true)
	}
	return f
}

func (f *fleet) step(c *contender.Contender, event contender.Event) {
	for _, action := range c.Step(f.now, event) {
		switch action := action.(type) {
		case contender.Read:
			f.step(c, contender.ReadResult{Record: f.record})
		case contender.Write:
			if action.Record.Revision != f.record.Revision {
				f.step(c, contender.WriteResult{SentAt: f.now, Record: f.record, Conflict: true})
				continue
			}
			f.record = action.Record
			f.record.Revision++
			f.step(c, contender.WriteResult{SentAt: f.now, Record: f.record})
		}
	}
}

// run advances the fleet and returns the holder with a valid lease, or -1.
func (f *fleet) run(d time.Duration) int {
	for end := f.now + d; f.now < end; f.now += 20 * time.Millisecond {
		for i, c := range f.contenders {
			if f.alive[i] {
				f.step(c, contender.Tick{})
			}
		}
	}
	return f.holder()
}

func (f *fleet) holder() int {
	for i, c := range f.contenders {
		if f.alive[i] && c.Valid(f.now) {
			return i
		}
	}
	return -1
}

// Guards against an unsuitable controller while a suitable host runs, and against a fleet without a controller after all
// suitable hosts have died one after another.
func TestSuitableHostsGoFirst(t *testing.T) {
	small, medium, large := qualifier.Host{0.12, 10 * mbit, 144 << 20}, qualifier.Host{0.4, 10 * mbit, 424 << 20}, qualifier.Host{0.8, 200 * mbit, 536 << 20}
	hosts := []qualifier.Host{small, medium, large, small, large, medium, small, large}
	f := newFleet(hosts)
	// A lease expires after 2 s, and the largest delay follows it. The rest is for reads of the record.
	const takeover = contender.LeaseDuration + qualifier.MaxDelay + time.Second
	for range len(hosts) {
		holder := f.run(takeover)
		assert.Assert(t, holder >= 0, "no controller at %v", f.now)
		largeLeft := slices.ContainsFunc([]int{2, 4, 7}, func(i int) bool { return f.alive[i] })
		assert.Equal(t, hosts[holder] == large, largeLeft, "controller %d at %v", holder, f.now)
		f.alive[holder] = false
	}
}

func TestHandover(t *testing.T) {
	type step struct {
		at   time.Duration
		o    qualifier.Observation
		want bool
	}
	const second = time.Second
	starved := qualifier.Observation{Starved: true, Fittest: 1}
	tests := []struct {
		name    string
		fitness float64
		steps   []step
	}{
		{"starved beside a fitter host", 0.2, []step{{0, starved, false}, {2 * second, starved, false}, {3 * second, starved, true}}},
		{"a short peak", 0.2, []step{
			{0, starved, false}, {2 * second, qualifier.Observation{Fittest: 1}, false}, {3 * second, starved, false}, {5 * second, starved, false},
		}},
		{"no fitter host", 0.2, []step{
			{0, qualifier.Observation{Starved: true, Fittest: 0.3}, false}, {9 * second, qualifier.Observation{Starved: true, Fittest: 0.3}, false},
		}},
		{"unknown fitness of all other hosts", 0.2, []step{
			{0, qualifier.Observation{Starved: true}, false}, {9 * second, qualifier.Observation{Starved: true}, false},
		}},
		{"the fitter host disconnects", 0.2, []step{
			{0, starved, false}, {2 * second, qualifier.Observation{Starved: true}, false}, {4 * second, starved, false}, {7 * second, starved, true},
		}},
		{"equal hosts", 1, []step{{0, starved, false}, {9 * second, starved, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := qualifier.NewHandover(tt.fitness)
			for _, s := range tt.steps {
				assert.Equal(t, h.Step(s.at, s.o), s.want, "at %v", s.at)
			}
		})
	}
}
