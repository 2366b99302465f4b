package router

import (
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/inhibitor"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

func inhibitorTarget(u registrar.Upstream) inhibitor.Target {
	return inhibitor.Target{Incarnation: u.Incarnation, Address: u.Address}
}

// observeNotices records what an upstream has said about later requests in the response to a request that was sent at began.
func (r *Router) observeNotices(began time.Duration, u registrar.Upstream, resp *exchanger.Response) {
	if other := resp.Header.Get(translator.ServedByHeader); other != "" && other != u.ID {
		return // another upstream listens on the address
	}
	if translator.Leaves(resp.Header) {
		r.recordLeaving(u)
	}
	now := r.options.Now()
	pause := translator.Pause(resp.Status, resp.Header)
	if pause == 0 {
		r.locked(func() { r.inhibitor.RecordServed(began, inhibitorTarget(u)) })
		return
	}
	begins := false
	r.locked(func() { begins = r.inhibitor.RecordPause(now, inhibitorTarget(u), pause) })
	if begins {
		r.options.Log.Log(eventlog.UpstreamPaused, zap.String("upstream", u.ID), zap.Int64("start", u.Start),
			zap.String("service", u.Service), zap.Duration("pause", pause))
		r.options.Meter.UpstreamNotice(u.Service, "paused")
	}
}

// RecordLeaving records a leaving notice in the response to an order.
func (r *Router) RecordLeaving(upstream identifier.Incarnation) {
	if u, ok := r.options.Follower.Snapshot().Upstream(upstream); ok {
		r.recordLeaving(u)
	}
}

func (r *Router) recordLeaving(u registrar.Upstream) {
	begins := false
	r.locked(func() { begins = r.inhibitor.RecordLeaving(r.options.Now(), inhibitorTarget(u)) })
	if begins {
		r.options.Log.Log(eventlog.UpstreamLeaving, zap.String("upstream", u.ID), zap.Int64("start", u.Start),
			zap.String("service", u.Service), zap.Bool("draining", u.Draining))
		r.options.Meter.UpstreamNotice(u.Service, "leaving")
	}
}

// checkNotices decides by the notices of an upstream whether it may get the request. The caller holds the mutex.
func (r *Router) checkNotices(now time.Duration, j *job, u registrar.Upstream) inhibitor.Verdict {
	if r.inhibitor.IsEmpty() {
		return inhibitor.Verdict{}
	}
	return r.inhibitor.Check(now, j.arrived, r.limits.Load().DrainDelay, inhibitorTarget(u))
}

// hasLeft reports whether an upstream must not get the request because it leaves.
func (r *Router) hasLeft(now time.Duration, j *job, u registrar.Upstream) bool {
	left := false
	r.locked(func() { left = r.checkNotices(now, j, u).Decision == inhibitor.Left })
	return left
}

// pauseLeft returns the time for which an upstream that has rejected a request wants no further ones.
func (r *Router) pauseLeft(j *job, u registrar.Upstream) time.Duration {
	var left time.Duration
	r.locked(func() { left = r.checkNotices(r.options.Now(), j, u).Wait })
	return left
}

// leavingUpstreams returns the listed upstreams from which this host has a leaving notice. The caller holds the mutex.
func (r *Router) leavingUpstreams(now time.Duration) []identifier.Incarnation {
	if r.inhibitor.IsEmpty() {
		return nil
	}
	var leaving []identifier.Incarnation
	snapshot := r.options.Follower.Snapshot()
	for target := range r.inhibitor.Leaving(now) {
		if u, ok := snapshot.Upstream(target.Incarnation); ok && inhibitorTarget(u) == target {
			leaving = append(leaving, target.Incarnation)
		}
	}
	return leaving
}
