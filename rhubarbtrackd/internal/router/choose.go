package router

import (
	"context"
	"slices"
	"time"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/inhibitor"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

const (
	// startupWait is sent in Retry-After while this host has no configuration, ownership table or usable upstream, usually
	// because it has just started.
	startupWait = 300 * time.Millisecond
	// retryWait is sent in Retry-After, so that another host tries the same upstream only after this time.
	retryWait = 80 * time.Millisecond
	// blockedWait is sent in Retry-After with a request that crashes upstreams. It is not served earlier.
	blockedWait = detector.DefaultRetention
	// maxOwnerWait bounds the time that a request waits for an owner of its key. A planned move takes about as long as
	// one request.
	maxOwnerWait = 600 * time.Millisecond
	// maxOwnerWaitShare bounds the same wait as a share of the latency objective of the route.
	maxOwnerWaitShare = 0.5
	// shutdownRunFactor is the multiple of the expected run time that must be left before this host shuts down.
	shutdownRunFactor = 1.5
	// propagationReserve is the part of DrainDelay and TakeOutDelay that is reserved for the time until this host
	// receives the change (batched watch events, the heartbeat interval, a slow controller) and for requests in transit
	// to the upstream.
	propagationReserve = time.Second
)

// eligible reports whether an upstream may get requests now. One that drains or whose failure domain is taken out gets
// requests until its delay, minus propagationReserve, has passed.
func (r *Router) eligible(now time.Duration, s *follower.Snapshot, u registrar.Upstream) bool {
	if since, draining := s.Draining[u.Incarnation]; draining && now > since+r.limits.Load().DrainDelay-propagationReserve {
		return false
	}
	if since, out := s.TakenOut[u.Domain]; out && now > since+r.limits.Load().TakeOutDelay-propagationReserve {
		return false
	}
	return true
}

// allowCold reports whether the cold-start limit of an upstream admits one more request, and takes a token if so.
func (r *Router) allowCold(now time.Duration, j *job, u registrar.Upstream) bool {
	if now >= u.ColdEnd || j.service.ColdRate == 0 {
		return true
	}
	limits := r.limits.Load()
	return r.shares.TakeCold(now, u.Incarnation, j.service.ColdRate*limits.ColdRateFactor+limits.ColdSlack)
}

// chooseOwner finds the owner of the key. It waits up to maxOwnerWait while the key is being moved.
func (r *Router) chooseOwner(ctx context.Context, j *job) choice {
	deadline := time.Now().Add(min(maxOwnerWait, time.Duration(maxOwnerWaitShare*float64(j.route.Objective))))
	for {
		now := r.options.Now()
		snapshot := r.options.Follower.Snapshot()
		row, changed, ok := r.options.Tables.Find(j.service.Name, j.key)
		if !ok {
			return choice{reason: "no ownership table for the service", wait: startupWait}
		}
		u, listed := findOwner(snapshot, row.Owner)
		wait := row.Wait
		// An owner that has rejected this request no longer owns the key, or is about to release it.
		if listed && !j.tried[u.Incarnation] && r.eligible(now, snapshot, u) && !r.hasLeft(now, j, u) {
			return r.admit(now, j, u)
		}
		if wait > maxOwnerWait {
			return choice{reason: "the key has no owner", wait: wait}
		}
		left := time.Until(deadline)
		if left <= 0 {
			return choice{reason: "the key has no owner", wait: max(wait, retryWait)}
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return choice{reason: "the caller disconnected"}
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// findOwner returns the owner of a row if that incarnation is listed. The start is unknown in tables of earlier versions.
func findOwner(snapshot *follower.Snapshot, owner identifier.Incarnation) (registrar.Upstream, bool) {
	if owner.Start != 0 {
		return snapshot.Upstream(owner)
	}
	u, ok := snapshot.Upstreams[owner.ID]
	return u, ok
}

// admit chooses the owner if it is reachable and can serve one more request in time.
func (r *Router) admit(now time.Duration, j *job, u registrar.Upstream) choice {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if wait, blocked := r.selector.Blocked(now, u.Incarnation); blocked {
		return choice{reason: "the owner is unreachable", wait: max(wait, retryWait), unreachable: true}
	}
	if verdict := r.checkNotices(now, j, u); verdict.Decision == inhibitor.Paused {
		return choice{reason: "the owner has asked for a pause", wait: verdict.Wait}
	}
	r.selector.Refresh(now, j.service.Name, func() []selector.Candidate { return r.candidates(j.service.Name) })
	estimate := r.selector.Estimate(now, u.Incarnation, u.Slots)
	if r.endsBefore(now, j, u.Incarnation, estimate) {
		return choice{reason: shutdownReason, wait: retryWait}
	}
	if decision := r.decideAdmission(now, j, u.Incarnation, estimate); !decision.Admit {
		return choice{reason: "the owner is overloaded", wait: decision.RetryAfter}
	}
	if !r.allowCold(now, j, u) {
		return choice{reason: "the cold-start limit of the owner is reached", wait: retryWait}
	}
	r.inhibitor.RecordSent(now, inhibitorTarget(u))
	return choice{upstream: u}
}

// candidates returns all upstreams of a service.
func (r *Router) candidates(service string) []selector.Candidate {
	var list []selector.Candidate
	for _, u := range r.options.Follower.Snapshot().ByService[service] {
		list = append(list, selector.Candidate{Incarnation: u.Incarnation, Slots: u.Slots})
	}
	return list
}

const shutdownReason = "the host shuts down before a response is expected"

// endsBefore reports whether this host shuts down before the response to a request that is sent now is expected. A request
// whose deadline passes before that is not affected by the shutdown. The caller holds the mutex.
func (r *Router) endsBefore(now time.Duration, j *job, upstream identifier.Incarnation, estimate selector.Estimate) bool {
	end := time.Duration(r.end.Load())
	if end == 0 || now+time.Until(j.deadline) <= end {
		return false
	}
	expected := estimate.Wait + time.Duration(shutdownRunFactor*float64(estimate.Run))
	return estimate.Assumed || now+max(expected, r.attempts[upstream].longest(now)) > end || r.attempts[upstream].exceeds(now, expected)
}

// candidateGroups holds the upstreams of a service without keys that may get a request, in the order of preference.
type candidateGroups struct {
	warm, cold, leaving []selector.Candidate
	// pauses is set if upstreams have asked for a pause, and wait is then the time until the first pause ends.
	pauses bool
	wait   time.Duration
}

// groupCandidates returns the upstreams of a service that may get the request. The caller holds the mutex.
func (r *Router) groupCandidates(now time.Duration, j *job, snapshot *follower.Snapshot) candidateGroups {
	var g candidateGroups
	for _, u := range snapshot.ByService[j.service.Name] {
		if _, out := snapshot.TakenOut[u.Domain]; u.Draining || out {
			continue
		}
		candidate := selector.Candidate{Incarnation: u.Incarnation, Slots: u.Slots, Domain: u.Domain, Remote: u.Domain != r.options.FailureDomain}
		verdict := r.checkNotices(now, j, u)
		switch {
		case verdict.Decision == inhibitor.Left:
		case verdict.Decision == inhibitor.Paused:
			if !g.pauses || verdict.Wait < g.wait {
				g.pauses, g.wait = true, verdict.Wait
			}
		case verdict.Decision == inhibitor.Avoided:
			g.leaving = append(g.leaving, candidate)
		case now < u.ColdEnd:
			g.cold = append(g.cold, candidate)
		default:
			g.warm = append(g.warm, candidate)
		}
	}
	return g
}

// chooseAny selects an upstream of a service without keys. Warm upstreams are preferred to cold ones, and these to upstreams that
// leave.
func (r *Router) chooseAny(_ context.Context, j *job) choice {
	now := r.options.Now()
	snapshot := r.options.Follower.Snapshot()
	if len(j.tried) >= j.route.MaxAttempts {
		return choice{reason: "the maximum number of attempts is reached", wait: retryWait}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	g := r.groupCandidates(now, j, snapshot)
	if r.status(now, j.signatures) == detector.Suspect && r.areMostUnreachable(now, g.warm, g.cold) {
		return choice{reason: "most upstreams are down, and the request may have crashed one", wait: retryWait}
	}
	if picked, ok := r.pickWarm(now, j, g.warm); ok {
		picked = r.pickForUrgent(now, j, g.warm, picked)
		u := snapshot.Upstreams[picked.ID]
		estimate := r.selector.Estimate(now, picked, u.Slots)
		if r.endsBefore(now, j, picked, estimate) {
			return choice{reason: shutdownReason, wait: retryWait}
		}
		if decision := r.decideAdmission(now, j, picked, estimate); !decision.Admit {
			return choice{reason: "all upstreams are overloaded", wait: decision.RetryAfter}
		}
		r.inhibitor.RecordSent(now, inhibitorTarget(u))
		return choice{upstream: u}
	}
	for _, class := range []struct {
		name       string
		candidates []selector.Candidate
	}{{"/cold", g.cold}, {"/leaving", g.leaving}} {
		for candidates := class.candidates; len(candidates) > 0; {
			picked, ok := r.selector.Pick(now, j.service.Name+class.name, candidates, j.tried)
			if !ok {
				break
			}
			u := snapshot.Upstreams[picked.ID]
			if r.endsBefore(now, j, picked, r.selector.Estimate(now, picked, u.Slots)) {
				return choice{reason: shutdownReason, wait: retryWait}
			}
			if r.allowCold(now, j, u) {
				r.inhibitor.RecordSent(now, inhibitorTarget(u))
				return choice{upstream: u}
			}
			candidates = removeCandidate(candidates, picked)
		}
	}
	if g.pauses {
		return choice{reason: "the upstreams have asked for a pause", wait: g.wait}
	}
	if len(g.warm)+len(g.cold)+len(g.leaving) == 0 {
		return choice{reason: "no upstream is available", wait: startupWait}
	}
	return choice{reason: "no upstream is reachable", wait: retryWait, unreachable: true}
}

// areMostUnreachable reports whether this host cannot reach more than half of the upstreams of a service. The others are
// then kept from requests that may have crashed these, until it is known which one has. The caller holds the mutex.
func (r *Router) areMostUnreachable(now time.Duration, candidates ...[]selector.Candidate) bool {
	total, unreachable := 0, 0
	for _, candidate := range slices.Concat(candidates...) {
		total++
		if _, blocked := r.selector.Blocked(now, candidate.Incarnation); blocked {
			unreachable++
		}
	}
	return 2*unreachable > total
}

func removeCandidate(candidates []selector.Candidate, upstream identifier.Incarnation) []selector.Candidate {
	kept := candidates[:0]
	for _, candidate := range candidates {
		if candidate.Incarnation != upstream {
			kept = append(kept, candidate)
		}
	}
	return kept
}
