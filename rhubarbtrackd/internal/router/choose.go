package router

import (
	"context"
	"time"

	"rhubarbtrack.example/core/placer"
	"rhubarbtrack.example/core/rationer"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

const (
	// startupWait is how long callers are asked to wait for a host that has just started.
	startupWait = 300 * time.Millisecond
	// retryWait is how long callers wait before another host tries the same upstream.
	retryWait = 80 * time.Millisecond
	// maxOwnerWait bounds the time for which a request waits for the owner of its key: a planned move takes about one
	// request's time.
	maxOwnerWait = 600 * time.Millisecond
	// maxOwnerWaitShare bounds it relative to the objective of the route.
	maxOwnerWaitShare = 0.5
	// propagationReserve is the part of the delay for leaving upstreams that is kept for the news on its way to this host (a
	// collected watch, a beat, a weak controller) and for requests on their way.
	propagationReserve = time.Second
)

// eligible reports whether an upstream may get requests now, by what is known of its leaving.
func (r *Router) eligible(now time.Duration, s *follower.Snapshot, u registrar.Upstream) bool {
	if since, draining := s.Draining[u.ID]; draining && now > since+r.limits.Load().DrainDelay-propagationReserve {
		return false
	}
	if since, out := s.TakenOut[u.Domain]; out && now > since+r.limits.Load().TakeOutDelay-propagationReserve {
		return false
	}
	return true
}

// allowCold reports whether a request may go to an upstream as far as its cold start is concerned.
func (r *Router) allowCold(now time.Duration, j *job, u registrar.Upstream) bool {
	if now >= u.ColdEnd || j.service.ColdRate == 0 {
		return true
	}
	bucket := r.coldBuckets[u.ID]
	if bucket == nil {
		limit := j.service.ColdRate*r.limits.Load().ColdRateFactor + r.limits.Load().ColdSlack
		share := throttler.ColdShare(u.ID, r.index, r.hosts, limit)
		bucket = throttler.NewBucket(now, share.Rate, share.Burst)
		r.coldBuckets[u.ID] = bucket
	}
	return bucket.Take(now)
}

// chooseOwner finds the owner of the key. It waits for a short time when the key is being moved.
func (r *Router) chooseOwner(ctx context.Context, j *job) choice {
	deadline := time.Now().Add(min(maxOwnerWait, time.Duration(maxOwnerWaitShare*float64(j.route.Objective))))
	for {
		now := r.options.Now()
		snapshot := r.options.Follower.Snapshot()
		row, changed, ok := r.options.Tables.Find(j.service.Name, j.key)
		if !ok {
			return choice{reason: "no table", wait: startupWait}
		}
		u, listed := snapshot.Upstreams[row.Owner]
		wait := row.Wait
		// An owner that has refused this request loses the key or has lost it.
		if listed && !j.tried[u.ID] && r.eligible(now, snapshot, u) {
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
			return choice{reason: "the caller left"}
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// admit decides whether the owner can take one more request.
func (r *Router) admit(now time.Duration, j *job, u registrar.Upstream) choice {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if wait, blocked := r.estimator.Blocked(now, u.ID); blocked {
		return choice{reason: "the owner cannot be reached", wait: max(wait, retryWait), unreachable: true}
	}
	estimate := r.estimator.Estimate(now, u.ID, u.Slots)
	if decision := r.decideAdmission(now, j, u.ID, estimate); !decision.Admit {
		return choice{reason: "the owner is overloaded", wait: decision.Wait}
	}
	if !r.allowCold(now, j, u) {
		return choice{reason: "the owner is cold", wait: retryWait}
	}
	return choice{upstream: u}
}

// decideAdmission decides whether a request is worth sending. The caller holds the mutex.
func (r *Router) decideAdmission(now time.Duration, j *job, id string, estimate placer.Estimate) rationer.Verdict {
	request := rationer.Request{
		Route: j.route.Name, Service: j.service.Name, Objective: j.route.Objective, Left: time.Until(j.deadline), Urgent: j.route.Urgent,
	}
	j.estimate, j.loadAge = estimate, r.estimator.Age(now, id)
	return r.admission.Judge(now, request, j.isRetry, estimate)
}

// chooseAny picks an upstream of a service without keys.
func (r *Router) chooseAny(_ context.Context, j *job) choice {
	now := r.options.Now()
	snapshot := r.options.Follower.Snapshot()
	var warm, cold []placer.Candidate
	for _, u := range snapshot.ByService[j.service.Name] {
		if _, out := snapshot.TakenOut[u.Domain]; u.Draining || out {
			continue
		}
		candidate := placer.Candidate{ID: u.ID, Slots: u.Slots, Remote: u.Domain != r.options.FailureDomain}
		if now < u.ColdEnd {
			cold = append(cold, candidate)
			continue
		}
		warm = append(warm, candidate)
	}
	if len(j.tried) >= j.route.MaxAttempts {
		return choice{reason: "all tries are used up", wait: retryWait}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if id, ok := r.estimator.Pick(now, warm, j.tried); ok {
		u := snapshot.Upstreams[id]
		estimate := r.estimator.Estimate(now, id, u.Slots)
		if decision := r.decideAdmission(now, j, id, estimate); !decision.Admit {
			return choice{reason: "all upstreams are overloaded", wait: decision.Wait}
		}
		return choice{upstream: u}
	}
	for len(cold) > 0 {
		id, ok := r.estimator.Pick(now, cold, j.tried)
		if !ok {
			break
		}
		if u := snapshot.Upstreams[id]; r.allowCold(now, j, u) {
			return choice{upstream: u}
		}
		cold = removeCandidate(cold, id)
	}
	if len(warm)+len(cold) == 0 {
		return choice{reason: "no upstream can be used", wait: startupWait}
	}
	return choice{reason: "no upstream can be reached", wait: retryWait, unreachable: true}
}

func removeCandidate(candidates []placer.Candidate, id string) []placer.Candidate {
	kept := candidates[:0]
	for _, candidate := range candidates {
		if candidate.ID != id {
			kept = append(kept, candidate)
		}
	}
	return kept
}
