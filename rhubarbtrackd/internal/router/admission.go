package router

import (
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/prioritizer"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/shedder"
)

// urgentSamples is the number of further samples of upstreams in which an urgent request looks for one that serves it in
// time.
const urgentSamples = 3

// priority returns the priority of a request; 0 is the highest.
func priority(j *job) int { return j.route.PriorityFor(j.account) }

// admissionRequest returns the part of a request that decides on its admission at an upstream with the given estimate,
// and the estimate for its class. The caller holds the mutex.
func (r *Router) admissionRequest(now time.Duration, j *job, estimate selector.Estimate) (shedder.Request, prioritizer.Standing, selector.Estimate) {
	standing := r.prioritizer.Assess(now, j.class, j.isRetry, estimate.Run)
	estimate.Run = standing.Run
	request := shedder.Request{
		Route: j.route.Name, Service: j.service.Name, Objective: j.route.Objective, Remaining: time.Until(j.deadline),
		Urgent: j.route.UrgentFor(j.account) || standing.Urgent, Competing: standing.Competing, WaitLimit: standing.WaitLimit,
	}
	return request, standing, estimate
}

// decideAdmission decides by the expected time at the upstream whether a request is sent. The caller holds the mutex.
func (r *Router) decideAdmission(now time.Duration, j *job, upstream identifier.Incarnation, estimate selector.Estimate) shedder.Decision {
	j.meanRun = estimate.Run
	request, standing, estimate := r.admissionRequest(now, j, estimate)
	if j.service.Keyed {
		request.Owner = upstream.ID
	}
	j.admission = request
	j.estimate, j.loadAge = estimate, r.selector.ReportAge(now, upstream)
	decision := r.shedder.Decide(now, request, j.isRetry || j.beyondShare, estimate)
	r.recordShare(now, j, decision)
	r.prioritizer.RecordDecision(now, j.class, decision.Admit)
	if standing.Competing {
		r.options.Meter.ClassDecision(j.service.Name, j.route.Name, admissionOutcome(decision, standing, estimate))
	}
	return decision
}

// admissionOutcome returns the label of a decision about a request whose class competes with others.
func admissionOutcome(decision shedder.Decision, standing prioritizer.Standing, estimate selector.Estimate) string {
	switch {
	case decision.Admit:
		return "admitted"
	case standing.WaitLimit > 0 && estimate.Wait > standing.WaitLimit:
		return "deferred"
	}
	return "overloaded"
}

// pickForUrgent returns another upstream than picked if that is too busy for an urgent request and a further sample has a
// less busy one. The caller holds the mutex.
func (r *Router) pickForUrgent(now time.Duration, j *job, candidates []selector.Candidate, picked identifier.Incarnation) identifier.Incarnation {
	excluded := j.tried
	for n := range urgentSamples {
		at := slices.IndexFunc(candidates, func(c selector.Candidate) bool { return c.Incarnation == picked })
		estimate := r.selector.Estimate(now, picked, candidates[at].Slots)
		request, standing, estimate := r.admissionRequest(now, j, estimate)
		if !standing.Urgent || r.shedder.Admits(now, request, j.isRetry, estimate) {
			break
		}
		if n == 0 {
			excluded = maps.Clone(j.tried)
		}
		excluded[picked] = true
		next, ok := r.selector.Pick(now, j.service.Name, candidates, excluded)
		if !ok {
			break
		}
		picked = next
	}
	return picked
}
