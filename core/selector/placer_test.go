package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/selector"
)

func candidates(ids ...string) []selector.Candidate {
	var list []selector.Candidate
	for _, id := range ids {
		list = append(list, selector.Candidate{ID: id, Slots: 6})
	}
	return list
}

func shares(b *selector.Selector, now time.Duration, list []selector.Candidate) map[string]int {
	counts := map[string]int{}
	for range 200 {
		if id, ok := b.Pick(now, list, nil); ok {
			counts[id]++
		}
	}
	return counts
}

func TestPick(t *testing.T) {
	const now = 10 * time.Second
	tests := []struct {
		name    string
		prepare func(b *selector.Selector)
		avoided string
	}{
		{"slow", func(b *selector.Selector) {
			b.RecordRunTime("a", 900*time.Millisecond, 1)
			b.RecordRunTime("b", 300*time.Millisecond, 1)
		}, "a"},
		{"queue", func(b *selector.Selector) {
			b.RecordLoad(now, "a", selector.Load{Running: 6, Waiting: 8, Slots: 6, Slowdown: 1})
		}, "a"},
		{"slow for a moment", func(b *selector.Selector) { b.RecordLoad(now, "a", selector.Load{Running: 3, Slots: 6, Slowdown: 3}) }, "a"},
		{"fails while it looks healthy", func(b *selector.Selector) {
			for range 5 {
				b.Begin("a")
				b.End(now, "a", selector.Failed)
			}
		}, "a"},
		{"cannot be reached", func(b *selector.Selector) {
			b.Begin("a")
			b.End(now, "a", selector.Unreachable)
		}, "a"},
		{"other hosts cannot reach it", func(b *selector.Selector) { b.Block(now, "a") }, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := selector.New(1)
			tt.prepare(b)
			assert.Equal(t, shares(b, now, candidates("a", "b"))[tt.avoided], 0)
		})
	}
}

func TestEvidenceAges(t *testing.T) {
	b := selector.New(1)
	const now = time.Second
	b.RecordLoad(now, "a", selector.Load{Running: 6, Waiting: 20, Slots: 6, Slowdown: 3})
	assert.Assert(t, b.Estimate(now, "a", 6).Wait > time.Second)
	assert.Assert(t, b.Estimate(now+3*time.Second, "a", 6).Wait < 100*time.Millisecond)
	for range 20 {
		b.End(0, "b", selector.Failed)
	}
	for range 7 {
		b.Begin("c")
	}
	assert.Assert(t, shares(b, 20*time.Second, candidates("b", "c"))["b"] > 0, "a failed upstream gets no request any more")
}

func TestRemoteUpstreamsAreSecond(t *testing.T) {
	b := selector.New(1)
	list := []selector.Candidate{{ID: "near", Slots: 6}, {ID: "far", Slots: 6, Remote: true}}
	const now = time.Second
	assert.Equal(t, shares(b, now, list)["far"], 0)
	b.RecordLoad(now, "near", selector.Load{Running: 6, Waiting: 3, Slots: 6})
	assert.Assert(t, shares(b, now, list)["far"] > 0)
}

func TestOwnRequestsCount(t *testing.T) {
	b := selector.New(1)
	for range 9 {
		b.Begin("a")
	}
	assert.Equal(t, b.InFlight("a"), 9)
	assert.Assert(t, b.Estimate(0, "a", 6).Wait > 0)
	for range 9 {
		b.End(0, "a", selector.Answered)
	}
	assert.Equal(t, b.Estimate(0, "a", 6).Wait, time.Duration(0))
	b.Forget(func(string) bool { return false })
	assert.Equal(t, b.ReportAge(time.Second, "a"), time.Duration(0))
}

func TestNoCandidates(t *testing.T) {
	_, ok := selector.New(1).Pick(0, candidates("a"), map[string]bool{"a": true})
	assert.Assert(t, !ok)
}
