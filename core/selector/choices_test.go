package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/selector"
)

// lateWith plays a failure domain with many small upstreams: 23 hosts, 21 upstreams of 2 slots, and requests that take less time than load
// reports are old. It returns the share of late responses when a request goes to the best of the given number of upstreams.
func lateWith(choices int, rate float64) float64 {
	late := 0.0
	const seeds = 3
	for seed := range uint64(seeds) {
		f := newFleet(seed, 23, 21, true)
		f.slots, f.objective, f.choices = 2, 600*time.Millisecond, choices
		for _, u := range f.upstreams {
			u.slots, u.runTime = 2, u.runTime*14/100
		}
		late += f.lateShare(rate) / seeds
	}
	return late
}

// TestFewChoicesWithOldReports guards against hosts that all send to the few upstreams that were idle in the last load reports: two
// choices must make fewer responses late than four.
func TestFewChoicesWithOldReports(t *testing.T) {
	for _, rate := range []float64{110, 160} {
		two, four := lateWith(2, rate), lateWith(4, rate)
		t.Logf("late at %v/s: %.3f with two choices, %.3f with four", rate, two, four)
		assert.Assert(t, two < four, "late at %v/s: %.3f with two choices, %.3f with four", rate, two, four)
	}
}

// TestUsable guards against upstreams that fail everything at once and therefore report free slots: they must not count as room.
func TestUsable(t *testing.T) {
	const now = 10 * time.Second
	failing := func(failures int) func(s *selector.Selector) {
		return func(s *selector.Selector) {
			for range failures {
				s.Begin(upstream("a"))
				s.End(now, upstream("a"), selector.Failed)
			}
		}
	}
	tests := []struct {
		name    string
		prepare func(s *selector.Selector)
		want    bool
	}{
		{"no records", func(*selector.Selector) {}, true},
		{"one failure", failing(1), true},
		{"three failures", failing(3), false},
		{"blocked", func(s *selector.Selector) { s.Block(now, upstream("a")) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := selector.New(1)
			tt.prepare(s)
			assert.Equal(t, s.Usable(now, candidates("a")[0]), tt.want)
		})
	}
}

// TestLoad guards against a domain whose load is that of other services: an old report must not be replaced by a mean.
func TestLoad(t *testing.T) {
	s, a := selector.New(1), candidates("a")[0]
	_, _, reported := s.Load(time.Second, a)
	assert.Assert(t, !reported)
	s.RecordLoad(time.Second, a.Incarnation, selector.Load{Running: 3, Waiting: 1, Slots: 6, Slowdown: 1})
	for range 100 {
		s.RecordLoad(time.Second, upstream("b"), selector.Load{Running: 6, Waiting: 9, Slots: 6, Slowdown: 1})
	}
	occupied, _, reported := s.Load(2500*time.Millisecond, a)
	assert.Assert(t, reported)
	assert.Equal(t, occupied, 4.0)
	_, _, reported = s.Load(4*time.Second, a)
	assert.Assert(t, !reported)
}
