package spreader_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/spreader"
)

const (
	runTime    = 300 * time.Millisecond
	slots      = 6
	step       = 250 * time.Millisecond
	choices    = 2 // at the run time
	smallBytes = 800
	largeBytes = 60_000
)

// zone is a failure domain of the model: callers, and upstreams of which a request goes to the best of a few.
type zone struct {
	name      string
	upstreams int
	demand    float64 // mean number of slots that the requests of its callers occupy
	cut       bool    // its upstreams cannot be reached
}

// model plays the divisions of all domains against each other. The load that a division causes is seen one step later.
type model struct {
	zones   []zone
	hosts   []*spreader.Spreader // one for each domain
	queues  []float64            // occupied slots
	bytes   float64
	leaving [][]float64 // history of the share that leaves, by domain
}

func newModel(zones []zone, price time.Duration, bytes float64) *model {
	m := &model{zones: zones, queues: make([]float64, len(zones)), leaving: make([][]float64, len(zones)), bytes: bytes}
	for i, own := range zones {
		s := spreader.New(uint64(i))
		s.SetPrice(price)
		for _, other := range zones {
			taken := 2 * time.Millisecond
			if other.name != own.name {
				taken = 3 * time.Millisecond
			}
			s.RecordConnect(other.name, taken)
		}
		m.hosts = append(m.hosts, s)
	}
	return m
}

// play runs the model for the given number of steps. Requests beyond the slots of a domain queue until it has room.
func (m *model) play(steps int) {
	for range steps {
		at := time.Duration(len(m.leaving[0])+1) * step
		var domains []spreader.Domain
		for i, z := range m.zones {
			if z.cut {
				domains = append(domains, spreader.Domain{Name: z.name})
				continue
			}
			all := float64(z.upstreams * slots)
			domains = append(domains, spreader.Domain{Name: z.name, Upstreams: z.upstreams, Slots: all, Occupied: m.queues[i], ReportedSlots: all})
		}
		arriving := make([]float64, len(m.zones))
		for i, z := range m.zones {
			m.hosts[i].Choose("s", m.bytes)
			m.hosts[i].Update(at, "s", z.name, runTime, domains)
			division := m.hosts[i].Division("s", m.bytes)
			m.leaving[i] = append(m.leaving[i], division.Leaving())
			for k := range m.zones {
				arriving[k] += z.demand * share(division, m.zones[k].name, k == i)
			}
		}
		for k, z := range m.zones {
			all := float64(z.upstreams * slots)
			backlog := max(0, m.queues[k]-all)
			// What exceeds the slots in a step waits; the slots run step/runTime rounds of requests.
			backlog = max(0, backlog+(arriving[k]-all)*float64(step)/float64(runTime))
			m.queues[k] = min(arriving[k], all) + backlog
		}
	}
}

func share(d spreader.Division, name string, own bool) float64 {
	if len(d.Names) == 0 && own {
		return 1
	}
	for i := range d.Names {
		if d.Names[i] == name {
			return d.Shares[i]
		}
	}
	return 0
}

// last returns the smallest and the largest share that left a domain in the last steps.
func (m *model) last(i, steps int) (low, high float64) {
	low = 1
	for _, s := range m.leaving[i][len(m.leaving[i])-steps:] {
		low, high = min(low, s), max(high, s)
	}
	return low, high
}

// TestDivision plays loads of four failure domains until they are steady, and checks how much leaves each of them. It guards against
// work that crosses without need, domains that are overloaded while others have room, and divisions that swing.
func TestDivision(t *testing.T) {
	tests := []struct {
		name  string
		zones []zone
		price time.Duration
		bytes float64
		low   []float64 // least and most that leaves each domain
		high  []float64
	}{
		{"equal load at any level", []zone{{"a", 10, 30, false}, {"b", 10, 30, false}, {"c", 10, 30, false}}, 0, smallBytes,
			[]float64{0, 0, 0}, []float64{0, 0, 0}},
		{"equal overload", []zone{{"a", 10, 70, false}, {"b", 10, 70, false}, {"c", 10, 70, false}}, 0, smallBytes,
			[]float64{0, 0, 0}, []float64{0, 0, 0}},
		{"uneven, with room everywhere", []zone{{"a", 10, 42, false}, {"b", 10, 24, false}, {"c", 10, 30, false}}, 0, smallBytes,
			[]float64{0, 0, 0}, []float64{0, 0, 0}},
		{"unequal sizes, load in proportion", []zone{{"a", 4, 14, false}, {"b", 20, 70, false}, {"c", 10, 35, false}}, 0, smallBytes,
			[]float64{0, 0, 0}, []float64{0, 0, 0}},
		{"burst in one domain", []zone{{"a", 10, 90, false}, {"b", 10, 30, false}, {"c", 10, 30, false}}, 0, smallBytes,
			[]float64{0.35, 0, 0}, []float64{0.55, 0, 0}},
		{"small domain, large demand", []zone{{"a", 2, 20, false}, {"b", 20, 40, false}, {"c", 20, 40, false}}, 0, smallBytes,
			// At less than half of 12 slots, one more request costs less than 1.05 run times.
			[]float64{0.4, 0, 0}, []float64{0.72, 0, 0}},
		{"no upstreams", []zone{{"a", 0, 20, false}, {"b", 10, 20, false}, {"c", 10, 20, false}}, 0, smallBytes,
			[]float64{1, 0, 0}, []float64{1, 0, 0}},
		{"cut off", []zone{{"a", 10, 20, true}, {"b", 10, 20, false}, {"c", 10, 20, false}}, 0, smallBytes,
			[]float64{1, 0, 0}, []float64{1, 0, 0}},
		{"others have no room", []zone{{"a", 10, 75, false}, {"b", 10, 75, false}, {"c", 0, 0, false}}, 0, smallBytes,
			[]float64{0, 0, 0}, []float64{0, 0, 1}},
		{"large messages at a high price stay longer", []zone{{"a", 10, 54, false}, {"b", 10, 30, false}, {"c", 10, 30, false}}, time.Minute, largeBytes,
			[]float64{0, 0, 0}, []float64{0, 0, 0}},
		{"small messages at the same price leave", []zone{{"a", 10, 58, false}, {"b", 10, 30, false}, {"c", 10, 30, false}}, time.Minute, smallBytes,
			[]float64{0.02, 0, 0}, []float64{0.3, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(tt.zones, tt.price, tt.bytes)
			m.play(240)
			for i, z := range tt.zones {
				low, high := m.last(i, 40)
				assert.Assert(t, low >= tt.low[i] && high <= tt.high[i], "%s: %.3f to %.3f leave", z.name, low, high)
				assert.Assert(t, high-low <= 0.1, "%s: the share swings from %.3f to %.3f", z.name, low, high)
			}
		})
	}
}

// TestDivisionReturns checks that work is moved back when a burst or a loss is over, within three seconds for nine tenths of it.
func TestDivisionReturns(t *testing.T) {
	tests := []struct {
		name   string
		change func(z *zone)
		undo   func(z *zone)
	}{
		{"burst", func(z *zone) { z.demand = 90 }, func(z *zone) { z.demand = 30 }},
		{"taken out", func(z *zone) { z.upstreams = 0 }, func(z *zone) { z.upstreams = 10 }},
		{"cut off", func(z *zone) { z.cut = true }, func(z *zone) { z.cut = false }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel([]zone{{"a", 10, 30, false}, {"b", 10, 30, false}, {"c", 10, 30, false}}, 0, smallBytes)
			m.play(40)
			tt.change(&m.zones[0])
			m.play(40)
			low, _ := m.last(0, 1)
			assert.Assert(t, low > 0.3, "only %.3f leave", low)
			tt.undo(&m.zones[0])
			m.play(16)
			_, high := m.last(0, 1)
			assert.Assert(t, high <= 0.1*low, "%.3f still leave", high)
		})
	}
}

// TestLeavingRequestsAreSpread checks that two overloaded domains do not send everything to the same third one.
func TestLeavingRequestsAreSpread(t *testing.T) {
	m := newModel([]zone{{"a", 10, 80, false}, {"b", 10, 80, false}, {"c", 10, 20, false}, {"d", 10, 24, false}}, 0, smallBytes)
	m.play(240)
	for i := range 2 {
		division := m.hosts[i].Division("s", smallBytes)
		toC, toD := share(division, "c", false), share(division, "d", false)
		assert.Assert(t, toC > 0 && toD > 0, "%v", division)
		assert.Assert(t, math.Abs(toC-toD) < 0.5*(toC+toD), "%v", division)
	}
	for k := 2; k < 4; k++ {
		assert.Assert(t, m.queues[k] <= 1.05*60, "domain %d is overloaded: %.1f requests at 60 slots", k, m.queues[k])
	}
}

// queueing is Sakasegawa's approximation of the mean time in a queue before several slots, relative to the run time. From a utilization
// of 1 on, the queue grows without end.
func queueing(utilization, slots float64) float64 {
	if utilization >= 1 {
		return math.Inf(1)
	}
	return math.Pow(utilization, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilization))
}

// responses returns the mean response times in the queueing model when the callers of the first domain send the share remote to the
// other domains in equal parts, and all other callers stay: of the callers of the first domain, and of all.
func responses(zones []zone, remote float64, crossing time.Duration) (own, all float64) {
	demand := 0.0
	for i, z := range zones {
		part, load := 1-remote, z.demand*(1-remote)
		if i > 0 {
			part = remote / float64(len(zones)-1)
			load = z.demand + zones[0].demand*part
		}
		pool := min(choices, z.upstreams) * slots
		taken := runTime.Seconds() * (1 + queueing(load/float64(z.upstreams*slots), float64(pool)))
		if i > 0 {
			own += part * (taken + crossing.Seconds())
			all += z.demand * taken
		} else {
			own += part * taken
		}
		demand += z.demand
	}
	return own, (all + zones[0].demand*own) / demand
}

// TestOverloadIsDividedWell checks that the mean response times of the callers of an overloaded domain, and of all callers, are within a
// tenth of those of the best division of the same requests.
func TestOverloadIsDividedWell(t *testing.T) {
	for _, demand := range []float64{54, 58, 62, 70, 80, 90, 100, 110} {
		zones := []zone{{"a", 10, demand, false}, {"b", 10, 30, false}, {"c", 10, 30, false}}
		m := newModel(zones, 0, smallBytes)
		m.play(400)
		remote := 0.0
		for _, s := range m.leaving[0][len(m.leaving[0])-40:] {
			remote += s / 40
		}
		bestOwn, best := 0.0, math.Inf(1)
		for a := 0.0; a <= 1; a += 0.005 {
			if own, all := responses(zones, a, time.Millisecond); all < best {
				bestOwn, best = own, all
			}
		}
		own, all := responses(zones, remote, time.Millisecond)
		t.Logf("demand %.0f: %.3f leaves, mean response %.3f s, best %.3f s; of all %.3f s, best %.3f s", demand, remote, own, bestOwn, all, best)
		assert.Assert(t, own <= 1.1*bestOwn, "demand %.0f: %.3f leaves, mean response %.3f s, best %.3f s", demand, remote, own, bestOwn)
		assert.Assert(t, all <= 1.1*best, "demand %.0f: %.3f leaves, mean response %.3f s, best %.3f s", demand, remote, all, best)
	}
}

// TestCrossingCost checks that the cost follows the distance alone without a price, and the bytes with one.
func TestCrossingCost(t *testing.T) {
	s := spreader.New(1)
	assert.Equal(t, s.CrossingCost("a", "b", smallBytes), time.Duration(0)) // no distance is known
	s.RecordConnect("a", 2*time.Millisecond)
	s.RecordConnect("b", 6*time.Millisecond)
	near := s.CrossingCost("a", "b", 1)
	assert.Assert(t, near >= 4*time.Millisecond && near < 5*time.Millisecond, "%s", near)
	assert.Assert(t, s.CrossingCost("a", "b", 1e6) > 5*near)
	assert.Equal(t, s.CrossingCost("a", "a", 1e6), time.Duration(0))
	without := s.CrossingCost("a", "b", 1e6)
	s.SetPrice(2 * time.Second)
	assert.Equal(t, s.CrossingCost("a", "b", 1e6)-without, 2*time.Second)
}

// TestExpectedSize checks that a long body counts before the route has a mean, and that the mean follows the messages.
func TestExpectedSize(t *testing.T) {
	s := spreader.New(1)
	assert.Equal(t, s.ExpectedSize("r", -1), 0.0)
	assert.Equal(t, s.ExpectedSize("r", 50_000), 50_000.0)
	for range 200 {
		s.RecordSize("r", 1000)
	}
	assert.Assert(t, math.Abs(s.ExpectedSize("r", 0)-1000) < 1)
	none := func(string) bool { return false }
	s.Keep(none, none)
	assert.Equal(t, s.ExpectedSize("r", -1), 0.0)
}

// TestChoices checks that requests which take longer than load reports are old choose from more upstreams.
func TestChoices(t *testing.T) {
	s := spreader.New(1)
	domains := []spreader.Domain{{Name: "a", Upstreams: 10, Slots: 60}, {Name: "b", Upstreams: 10, Slots: 60}}
	assert.Equal(t, s.Choices("s"), choices)
	s.Update(0, "s", "a", runTime, domains)
	assert.Equal(t, s.Choices("s"), choices)
	s.Update(time.Second, "s", "a", 500*time.Millisecond, domains)
	assert.Equal(t, s.Choices("s"), 4)
}

// TestUnknownLoads guards against a domain that counts as idle because this host has no recent load reports of it.
func TestUnknownLoads(t *testing.T) {
	s := spreader.New(1)
	s.Choose("s", smallBytes)
	for i := range 40 {
		now := time.Duration(i) * step
		assert.Assert(t, s.IsDue(now, "s"))
		s.Choose("s", smallBytes)
		s.Update(now, "s", "a", runTime, []spreader.Domain{
			{Name: "a", Upstreams: 10, Slots: 60, Occupied: 58, ReportedSlots: 60}, {Name: "b", Upstreams: 10, Slots: 60},
		})
		assert.Assert(t, !s.IsDue(now+time.Millisecond, "s"))
	}
	assert.Equal(t, s.Choose("s", smallBytes), "a")
}

// TestNoDivision checks that a service without an update, and one whose last update is old, have no division.
func TestNoDivision(t *testing.T) {
	s := spreader.New(1)
	assert.Equal(t, s.Choose("s", smallBytes), "")
	assert.Equal(t, s.Division("s", smallBytes).Leaving(), 0.0)
}
