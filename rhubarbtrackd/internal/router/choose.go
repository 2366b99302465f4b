package router

import (
	"context"
	"time"

	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/shedder"
	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

const (
	// startWait is how long callers are asked to wait for a host that has just started.
	startWait = 300 * time.Millisecond
	// retryWait is how long callers wait before another host tries the same upstream.
	retryWait = 80 * time.Millisecond
	// ownerWait bounds the time for which a request waits for the owner of its key: a planned move takes about one
	// request's time.
	ownerWait = 600 * time.Millisecond
	// ownerWaitShare bounds it relative to the objective of the route.
	ownerWaitShare = 0.5
	// leaveReserve is the part of the delay for leaving upstreams that is kept for the news on its way to this host (a
	// collected watch, a beat, a weak controller) and for requests on their way.
	leaveReserve = time.Second
)

// sendable reports whether an upstream may get requests now, by what is known of its leaving.
func (c *Router) sendable(now time.Duration, s *follower.Snapshot, u registrar.Upstream) bool {
	if since, draining := s.Draining[u.ID]; draining && now > since+c.limits.Load().DrainDelay-leaveReserve {
		return false
	}
	if since, out := s.TakenOut[u.Domain]; out && now > since+c.limits.Load().TakeOutDelay-leaveReserve {
		return false
	}
	return true
}

// takeCold reports whether a request may go to an upstream as far as its cold start is concerned.
func (c *Router) takeCold(now time.Duration, j *job, u registrar.Upstream) bool {
	if now >= u.ColdEnd || j.service.ColdRate == 0 {
		return true
	}
	bucket := c.cold[u.ID]
	if bucket == nil {
		limit := j.service.ColdRate*c.limits.Load().ColdRateFactor + c.limits.Load().ColdSlack
		share := throttler.ColdShare(u.ID, c.index, c.hosts, limit)
		bucket = throttler.NewBucket(now, share.Rate, share.Burst)
		c.cold[u.ID] = bucket
	}
	return bucket.Take(now)
}

// chooseOwner finds the owner of the key. It waits for a short time when the key is being moved.
func (c *Router) chooseOwner(ctx context.Context, j *job) choice {
	patience := time.Now().Add(min(ownerWait, time.Duration(ownerWaitShare*float64(j.route.Objective))))
	for {
		now := c.options.Now()
		snapshot := c.options.Follower.Snapshot()
		row, changed, ok := c.options.Tables.Find(j.service.Name, j.key)
		if !ok {
			return choice{reason: "no table", wait: startWait}
		}
		u, listed := snapshot.Upstreams[row.Owner]
		wait := row.Wait
		// An owner that has refused this request loses the key or has lost it.
		if listed && !j.tried[u.ID] && c.sendable(now, snapshot, u) {
			return c.admit(now, j, u)
		}
		if wait > ownerWait {
			return choice{reason: "the key has no owner", wait: wait}
		}
		left := time.Until(patience)
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
func (c *Router) admit(now time.Duration, j *job, u registrar.Upstream) choice {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if wait, blocked := c.board.Blocked(now, u.ID); blocked {
		return choice{reason: "the owner cannot be reached", wait: max(wait, retryWait), unreachable: true}
	}
	estimate := c.board.Estimate(now, u.ID, u.Slots)
	if verdict := c.judge(now, j, u.ID, estimate); !verdict.Admit {
		return choice{reason: "the owner is overloaded", wait: verdict.RetryAfter}
	}
	if !c.takeCold(now, j, u) {
		return choice{reason: "the owner is cold", wait: retryWait}
	}
	return choice{upstream: u}
}

// judge decides whether a request is worth sending. The caller holds the mutex.
func (c *Router) judge(now time.Duration, j *job, id string, estimate selector.Estimate) shedder.Decision {
	request := shedder.Request{
		Route: j.route.Name, Service: j.service.Name, Objective: j.route.Objective, Remaining: time.Until(j.deadline), Urgent: j.route.Urgent,
	}
	j.estimate, j.age = estimate, c.board.ReportAge(now, id)
	return c.rations.Decide(now, request, j.returning, estimate)
}

// chooseAny picks an upstream of a service without keys.
func (c *Router) chooseAny(_ context.Context, j *job) choice {
	now := c.options.Now()
	snapshot := c.options.Follower.Snapshot()
	var warm, cold []selector.Candidate
	for _, u := range snapshot.ByService[j.service.Name] {
		if _, out := snapshot.TakenOut[u.Domain]; u.Draining || out {
			continue
		}
		candidate := selector.Candidate{ID: u.ID, Slots: u.Slots, Remote: u.Domain != c.options.FailureDomain}
		if now < u.ColdEnd {
			cold = append(cold, candidate)
			continue
		}
		warm = append(warm, candidate)
	}
	if len(j.tried) >= j.route.MaxAttempts {
		return choice{reason: "all tries are used up", wait: retryWait}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if id, ok := c.board.Pick(now, warm, j.tried); ok {
		u := snapshot.Upstreams[id]
		estimate := c.board.Estimate(now, id, u.Slots)
		if verdict := c.judge(now, j, id, estimate); !verdict.Admit {
			return choice{reason: "all upstreams are overloaded", wait: verdict.RetryAfter}
		}
		return choice{upstream: u}
	}
	for len(cold) > 0 {
		id, ok := c.board.Pick(now, cold, j.tried)
		if !ok {
			break
		}
		if u := snapshot.Upstreams[id]; c.takeCold(now, j, u) {
			return choice{upstream: u}
		}
		cold = without(cold, id)
	}
	if len(warm)+len(cold) == 0 {
		return choice{reason: "no upstream can be used", wait: startWait}
	}
	return choice{reason: "no upstream can be reached", wait: retryWait, unreachable: true}
}

func without(candidates []selector.Candidate, id string) []selector.Candidate {
	kept := candidates[:0]
	for _, candidate := range candidates {
		if candidate.ID != id {
			kept = append(kept, candidate)
		}
	}
	return kept
}
