package pacer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/pacer"
)

const (
	mbit     = 1e6 / 8
	interval = 200 * time.Millisecond
)

// load is what a controller has to send with each heartbeat, in bytes over all hosts.
type load struct{ lease, tables, runTimes, loads int }

// sent is what it has sent of each part.
type sent struct {
	load
	starved int           // heartbeats with a starved controller
	longest time.Duration // longest time without a change of tables
}

// play sends the load for some seconds. The processor runs each step late by delay.
func play(p *pacer.Pacer, l load, delay, length time.Duration) sent {
	var s sent
	lastTables := time.Duration(0)
	for now := time.Duration(0); now < length; now += interval {
		p.ObserveDelay(delay)
		spend := func(total *int, bytes int) {
			p.Spend(now, bytes)
			*total += bytes
		}
		take := func(part pacer.Part, total *int, bytes int) {
			granted := min(bytes, p.Budget(now, part))
			if granted < bytes {
				p.Shed(now)
			}
			spend(total, granted)
		}
		spend(&s.lease, l.lease)
		if p.TakeTables(now) {
			spend(&s.tables, l.tables)
			lastTables = now
		}
		s.longest = max(s.longest, now-lastTables)
		take(pacer.RunTimes, &s.runTimes, l.runTimes)
		take(pacer.Loads, &s.loads, l.loads)
		if p.Starved(now) {
			s.starved++
		}
	}
	return s
}

// Guards against a controller that fills its link with load reports until its lease expires, and against one that sheds what
// hosts need more.
func TestOrderOfShedding(t *testing.T) {
	const (
		length = 10 * time.Second
		beats  = int(length / interval)
		none   = "none"
		some   = "some"
		all    = "all"
	)
	tests := []struct {
		name                    string
		link                    float64
		load                    load
		delay                   time.Duration
		tables, runTimes, loads string
		starved                 bool
	}{
		{"fast link", 200 * mbit, load{20_000, 20_000, 5_000, 150_000}, 0, all, all, all, false},
		{"unknown link", 0, load{1 << 20, 1 << 20, 1 << 20, 1 << 20}, 0, all, all, all, false},
		{"slow link, small fleet", 10 * mbit, load{7_000, 7_000, 2_000, 30_000}, 0, all, all, all, false},
		{"slow link, 91 hosts", 10 * mbit, load{20_000, 20_000, 5_000, 400_000}, 0, all, all, some, true},
		{"slow link, run times do not fit", 10 * mbit, load{20_000, 40_000, 200_000, 400_000}, 0, all, some, none, true},
		{"slow link, tables do not fit", 10 * mbit, load{60_000, 100_000, 200_000, 400_000}, 0, some, none, none, true},
		{"squeezed link", 1 * mbit, load{12_000, 20_000, 5_000, 400_000}, 0, some, none, none, true},
		{"late processor", 200 * mbit, load{20_000, 20_000, 5_000, 900_000}, 150 * time.Millisecond, all, all, some, true},
		{"slightly late processor", 200 * mbit, load{20_000, 20_000, 5_000, 150_000}, 15 * time.Millisecond, all, all, all, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := play(pacer.New(0, tt.link), tt.load, tt.delay, length)
			assert.Equal(t, s.lease, beats*tt.load.lease)
			for _, part := range []struct {
				name        string
				sent, asked int
				want        string
			}{
				{"tables", s.tables, tt.load.tables, tt.tables}, {"run times", s.runTimes, tt.load.runTimes, tt.runTimes},
				{"loads", s.loads, tt.load.loads, tt.loads},
			} {
				share := float64(part.sent) / float64(beats*part.asked)
				got := some
				switch {
				case share == 1:
					got = all
				case share < 0.01: // the burst at the start
					got = none
				}
				assert.Equal(t, got, part.want, "%s: %.3f", part.name, share)
			}
			assert.Equal(t, s.starved > beats/2, tt.starved, "starved in %d of %d", s.starved, beats)
			assert.Assert(t, s.longest <= time.Second, "no tables for %v", s.longest)
		})
	}
}

// Guards against a share of the link above linkShare while load reports fill the rest, and against a burst behind which
// a write to the store waits for longer than its time-out leaves.
func TestRateAndBurst(t *testing.T) {
	for _, link := range []float64{mbit, 10 * mbit, 50 * mbit} {
		t.Run(fmt.Sprint(link), func(t *testing.T) {
			const length = 20 * time.Second
			s := play(pacer.New(0, link), load{loads: math.MaxInt32}, 0, length)
			rate := float64(s.loads) / length.Seconds()
			assert.Assert(t, rate <= 0.42*link && rate >= 0.15*link, "%.2f of the link", rate/link)
			burst := float64(pacer.New(0, link).Budget(0, pacer.Tables)) / link
			assert.Assert(t, burst <= 0.1, "a burst takes the link for %v s", burst)
		})
	}
}

// Guards against parts that stay shed long after the load has ended.
func TestRecovery(t *testing.T) {
	p := pacer.New(0, 10*mbit)
	for range 100 {
		p.Spend(0, 1<<20)
		p.ObserveDelay(time.Second)
	}
	p.Shed(0)
	assert.Assert(t, p.Starved(0))
	assert.Equal(t, p.Budget(0, pacer.Tables), 0)
	for range 100 {
		p.ObserveDelay(0)
	}
	assert.Assert(t, !p.Starved(time.Second))
	assert.Assert(t, p.Budget(time.Second, pacer.Loads) > 0)
}

// Guards against hosts that never get the tables of a controller whose link is too slow even for its heartbeats.
func TestFullStatesOnASqueezedLink(t *testing.T) {
	p := pacer.New(0, mbit)
	full := 0
	for now := time.Duration(0); now < 20*time.Second; now += interval {
		p.Spend(now, 1<<20)
		if p.TakeFullState(now) {
			full++
		}
	}
	assert.Assert(t, full >= 19, "%d full states in 20 s", full)
}

// Guards against full states that take the whole link because only a part of their bytes counts, and against two of them that pass
// on the same tokens.
func TestRateOfFullStates(t *testing.T) {
	const length = 60 * time.Second
	for _, link := range []float64{mbit, 10 * mbit, 50 * mbit} {
		for _, size := range []int{20_000, 250_000, 500_000, 1_000_000, 2_000_000} {
			t.Run(fmt.Sprintf("%.0f, %d bytes", link, size), func(t *testing.T) {
				p := pacer.New(0, link)
				full, others := 0, 0
				for now := time.Duration(0); now < length; now += interval {
					for p.TakeFullState(now) {
						assert.Assert(t, !p.TakeFullState(now), "a second full state before the first one is sent")
						p.SpendFullState(now, size)
						full += size
					}
					granted := min(int(0.02*link), p.Budget(now, pacer.Loads)) // a tenth of the link
					p.Spend(now, granted)
					others += granted
				}
				// The last full state may begin at any time, and counts as a whole.
				rate := float64(full-size) / length.Seconds()
				t.Logf("full states %.3f, load reports %.3f of the link", rate/link, float64(others)/length.Seconds()/link)
				assert.Assert(t, rate <= 0.41*link, "%.2f of the link", rate/link)
				assert.Assert(t, full > size || float64(size) > 0.4*link*length.Seconds()/2, "hosts wait for ever")
			})
		}
	}
	p := pacer.New(0, 0)
	for range 100 {
		assert.Assert(t, p.TakeFullState(0), "an unknown link is not limited")
	}
}
