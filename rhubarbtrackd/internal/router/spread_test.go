package router

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
)

func spreadRouter(price time.Duration) *Router {
	return New(Options{FailureDomain: "a", CrossingPrice: price, Log: eventlog.New(zap.NewNop()), Meter: meter.New(), Seed: 3})
}

// domainCandidates returns ten warm upstreams in each of the given failure domains.
func domainCandidates(domains ...string) []selector.Candidate {
	var list []selector.Candidate
	for _, domain := range domains {
		for i := range 10 {
			id := identifier.Incarnation{ID: fmt.Sprintf("%s%d", domain, i), Start: 1}
			list = append(list, selector.Candidate{Incarnation: id, Slots: 6, Domain: domain, Remote: domain != "a"})
		}
	}
	return list
}

func spreadJob(body int) *job {
	return &job{
		route: &matcher.Route{Name: "r"}, service: matcher.Service{Name: "s"}, request: &acceptor.Request{Body: make([]byte, body)},
		tried: map[identifier.Incarnation]bool{},
	}
}

// TestOneDomainIsServedAsBefore checks that the selection of upstreams does not change where all of them are in one failure domain,
// that of the host or another one.
func TestOneDomainIsServedAsBefore(t *testing.T) {
	for _, domain := range []string{"a", "b"} {
		r, before, candidates := spreadRouter(time.Second), selector.New(3), domainCandidates(domain)
		for i := range 500 {
			now := time.Duration(i) * 10 * time.Millisecond
			load := selector.Load{Running: i % 7, Waiting: max(0, i%11-5), Slots: 6, Slowdown: 1 + float64(i%3)}
			for _, s := range []*selector.Selector{r.selector, before} {
				s.RecordLoad(now, candidates[i%10].Incarnation, load)
				s.RecordRunTime(candidates[i%10].Incarnation, time.Duration(100+i%50)*time.Millisecond, 1)
			}
			got, ok := r.pickWarm(now, spreadJob(0), candidates)
			want, wanted := before.Pick(now, "s", candidates, nil)
			assert.Equal(t, ok, wanted)
			assert.Equal(t, got, want)
		}
	}
}

// TestPickWarm checks where requests go under load in the failure domain of the host and beyond it.
func TestPickWarm(t *testing.T) {
	tests := []struct {
		name    string
		domains []string
		loads   map[string]int // requests at each upstream of 6 slots, by domain
		blocked string         // domain whose upstreams cannot be reached
		price   time.Duration
		body    int
		low     float64 // share that leaves the domain of the host
		high    float64
	}{
		{"idle", []string{"a", "b", "c"}, map[string]int{}, "", 0, 0, 0, 0},
		{"equal load", []string{"a", "b", "c"}, map[string]int{"a": 4, "b": 4, "c": 4}, "", 0, 0, 0, 0},
		{"half loaded, others idle", []string{"a", "b", "c"}, map[string]int{"a": 3}, "", 0, 0, 0, 0},
		{"overloaded, others idle", []string{"a", "b", "c"}, map[string]int{"a": 9}, "", 0, 0, 0.9, 1},
		{"all overloaded", []string{"a", "b", "c"}, map[string]int{"a": 9, "b": 9, "c": 9}, "", 0, 0, 0, 0},
		{"a queue that a large body does not pay for", []string{"a", "b", "c"}, map[string]int{"a": 7}, "", time.Minute, 1 << 20, 0, 0},
		{"no upstreams in the own domain", []string{"b", "c"}, map[string]int{}, "", time.Minute, 1 << 20, 1, 1},
		{"own domain unreachable", []string{"a", "b", "c"}, map[string]int{}, "a", time.Minute, 1 << 20, 1, 1},
		{"other domains unreachable", []string{"a", "b"}, map[string]int{"a": 9}, "b", 0, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, candidates := spreadRouter(tt.price), domainCandidates(tt.domains...)
			const picks = 1000
			left := 0
			for i := range 2 * picks {
				now := time.Duration(i) * 10 * time.Millisecond
				for _, c := range candidates {
					load := tt.loads[c.Domain]
					r.selector.RecordLoad(now, c.Incarnation, selector.Load{Running: min(load, 6), Waiting: max(0, load-6), Slots: 6, Slowdown: 1})
					if c.Domain == tt.blocked {
						r.selector.Block(now, c.Incarnation)
					}
				}
				picked, ok := r.pickWarm(now, spreadJob(tt.body), candidates)
				assert.Assert(t, ok)
				if i >= picks && picked.ID[:1] != "a" {
					left++
				}
			}
			share := float64(left) / picks
			assert.Assert(t, share >= tt.low && share <= tt.high, "%.3f of the requests leave", share)
		})
	}
}

// TestQueuesAreAvoidedBeforeTheDivisionChanges guards against requests that fill the queues of the own domain while its demand swings
// faster than divisions change: upstreams of two slots then rejected three times as many requests as before.
func TestQueuesAreAvoidedBeforeTheDivisionChanges(t *testing.T) {
	r, candidates := spreadRouter(0), domainCandidates("a", "b")
	const now = 10 * time.Second
	for _, c := range candidates {
		load := selector.Load{Running: 2, Slots: 6, Slowdown: 1}
		if c.Domain == "a" {
			load = selector.Load{Running: 6, Waiting: 1, Slots: 6, Slowdown: 1}
		}
		r.selector.RecordLoad(now, c.Incarnation, load)
	}
	left := 0
	const picks = 100 // within the first step
	for range picks {
		picked, ok := r.pickWarm(now, spreadJob(0), candidates)
		assert.Assert(t, ok)
		if picked.ID[:1] != "a" {
			left++
		}
	}
	assert.Assert(t, left >= 0.9*picks, "%d of %d requests leave", left, picks)
}

// TestTriedUpstreamsAreNotPickedAgain checks that an attempt after a failure goes to another upstream, elsewhere if none is left in the
// own domain.
func TestTriedUpstreamsAreNotPickedAgain(t *testing.T) {
	r, candidates := spreadRouter(0), domainCandidates("a", "b")
	j := spreadJob(0)
	for i := range candidates {
		picked, ok := r.pickWarm(time.Second, j, candidates)
		assert.Assert(t, ok)
		assert.Assert(t, !j.tried[picked])
		assert.Equal(t, picked.ID[:1] == "a", i < 10, "attempt %d goes to %s", i, picked.ID)
		j.tried[picked] = true
	}
	_, ok := r.pickWarm(time.Second, j, candidates)
	assert.Assert(t, !ok)
}
