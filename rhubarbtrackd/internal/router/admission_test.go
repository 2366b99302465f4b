package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/prioritizer"
	"rhubarbtrack.example/core/selector"
)

func newClassJob(r *Router, route matcher.Route, service matcher.Service) *job {
	j := newTestJob()
	j.route, j.service = &route, service
	j.class = prioritizer.Class{Service: service.Name, Route: route.Name, Priority: priority(j), Objective: route.Objective}
	r.prioritizer.RecordArrival(r.options.Now(), j.class)
	return j
}

// Guards against uploads that fill the queues of upstreams in which short urgent requests wait, and against a change for routes
// of one priority.
func TestLessUrgentRouteIsDeferred(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name                    string
		lookupPriority          int
		waiting                 int
		wantLookup, wantArchive bool
	}{
		{"short queue", 0, 1, true, true},
		{"queue that only the objective of the urgent route allows", 0, 6, true, false},
		{"the same, one priority", 2, 6, false, true},
		{"full queue", 0, 24, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter()
			service := matcher.Service{Name: "scans"}
			lookup := newClassJob(r, matcher.Route{Name: "lookups", Priority: tt.lookupPriority, Objective: 500 * ms, Urgent: tt.lookupPriority < 2}, service)
			archive := newClassJob(r, matcher.Route{Name: "archive", Priority: 2, Objective: 1500 * ms}, service)
			for range 4 {
				r.prioritizer.RecordDecision(r.options.Now(), archive.class, true)
			}
			r.selector.RecordRunTime(upstream, 200*ms, 1)
			r.selector.RecordSharedLoad(r.options.Now(), upstream, selector.Load{Running: 6, Waiting: tt.waiting, Slots: 6, Slowdown: 1})
			estimate := r.selector.Estimate(r.options.Now(), upstream, 6)
			for _, c := range []struct {
				j    *job
				want bool
			}{{lookup, tt.wantLookup}, {archive, tt.wantArchive}} {
				decision := r.decideAdmission(r.options.Now(), c.j, upstream, estimate)
				assert.Equal(t, decision.Admit, c.want, "%s, wait %v", c.j.route.Name, estimate.Wait)
			}
		})
	}
}

// Guards against an urgent request that is rejected because of a few busy upstreams while others of its service are free, and
// against more choices for other requests, by which all hosts would send to the same upstreams.
func TestUrgentRequestFindsAFreeUpstream(t *testing.T) {
	const upstreams = 16
	for _, urgent := range []bool{false, true} {
		found := 0
		for seed := range 50 {
			r := newTestRouter()
			r.selector = selector.New(uint64(seed))
			service := matcher.Service{Name: "scans"}
			newClassJob(r, matcher.Route{Name: "archive", Priority: 2, Objective: time.Second}, service)
			route := matcher.Route{Name: "lookups", Priority: 2, Objective: time.Second}
			if urgent {
				route.Priority = 0
			}
			j := newClassJob(r, route, service)
			var candidates []selector.Candidate
			for i := range upstreams {
				id := identifier.Incarnation{ID: string(rune('a' + i)), Start: 1}
				candidates = append(candidates, selector.Candidate{Incarnation: id, Slots: 1})
				load := selector.Load{Running: 1, Waiting: 20, Slots: 1, Slowdown: 1}
				if i == 0 {
					load = selector.Load{Slots: 1, Slowdown: 1}
				}
				r.selector.RecordSharedLoad(r.options.Now(), id, load)
			}
			picked, _ := r.selector.Pick(r.options.Now(), service.Name, candidates, nil)
			if r.pickForUrgent(r.options.Now(), j, candidates, picked).ID == "a" {
				found++
			}
		}
		assert.Equal(t, found > 25, urgent, "%d of 50", found)
	}
}
