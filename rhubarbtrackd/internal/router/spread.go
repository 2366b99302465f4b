package router

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/spreader"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// uploadBytes is the size of a request body from which on the metrics count it as an upload.
const uploadBytes = 16 << 10

// detourShare is what a request must save at least, as a share of the run time, to go to another failure domain than its division
// says.
const detourShare = 0.25

// RecordConnect records the time that a new connection to an upstream has taken.
func (r *Router) RecordConnect(target exchanger.Target, taken time.Duration) {
	if u, ok := r.options.Follower.Snapshot().Upstream(target.Incarnation); ok {
		r.locked(func() { r.spreader.RecordConnect(u.Domain, taken) })
	}
}

// spansDomains reports whether candidates are in several failure domains.
func spansDomains(candidates []selector.Candidate) bool {
	for _, c := range candidates {
		if c.Domain != candidates[0].Domain {
			return true
		}
	}
	return false
}

// pickWarm selects a warm upstream. If there are some in several failure domains, the spreader chooses the domain. The caller
// holds the mutex.
func (r *Router) pickWarm(now time.Duration, j *job, warm []selector.Candidate) (identifier.Incarnation, bool) {
	service := j.service.Name
	if !spansDomains(warm) {
		return r.selector.Pick(now, service, warm, j.tried)
	}
	if r.spreader.IsDue(now, service) {
		r.updateDivision(now, service, warm)
	}
	bytes := r.spreader.ExpectedSize(j.route.Name, bodyLength(j.request))
	chosen := r.spreader.Choose(service, bytes)
	near := filter(warm, func(c selector.Candidate) bool { return c.Domain == chosen })
	picked, ok := r.selector.PickFromSample(now, service+"/"+chosen, near, j.tried, r.spreader.Choices(service))
	if !ok {
		return r.selector.Pick(now, service, warm, j.tried)
	}
	first := find(near, picked)
	excess, usual := r.selector.Excess(now, first)
	least := time.Duration(detourShare * float64(usual))
	if excess <= least {
		return picked, true
	}
	// Queues, slow phases and failures that are shorter than the steps of the division are avoided request by request.
	far := filter(warm, func(c selector.Candidate) bool { return c.Domain != chosen })
	other, ok := r.selector.PickFromSample(now, service+"/other than "+chosen, far, j.tried, r.spreader.Choices(service))
	if !ok {
		return picked, true
	}
	second := find(far, other)
	otherExcess, _ := r.selector.Excess(now, second)
	if excess+r.crossingCost(first, bytes)-otherExcess-r.crossingCost(second, bytes) > least {
		return other, true
	}
	return picked, true
}

func (r *Router) crossingCost(c selector.Candidate, bytes float64) time.Duration {
	return r.spreader.CrossingCost(r.options.FailureDomain, c.Domain, bytes)
}

func filter(candidates []selector.Candidate, keep func(selector.Candidate) bool) []selector.Candidate {
	kept := make([]selector.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func find(candidates []selector.Candidate, upstream identifier.Incarnation) selector.Candidate {
	for _, c := range candidates {
		if c.Incarnation == upstream {
			return c
		}
	}
	return selector.Candidate{Incarnation: upstream}
}

// updateDivision gives the spreader the load of the candidates of a service, without those that are unreachable or fail.
func (r *Router) updateDivision(now time.Duration, service string, candidates []selector.Candidate) {
	var domains []spreader.Domain
	index := map[string]int{}
	upstreams, runTimes := 0, time.Duration(0)
	for _, c := range candidates {
		i, ok := index[c.Domain]
		if !ok {
			i = len(domains)
			index[c.Domain] = i
			domains = append(domains, spreader.Domain{Name: c.Domain})
		}
		if !r.selector.Usable(now, c) {
			continue
		}
		occupied, runTime, reported := r.selector.Load(now, c)
		slots, d := float64(max(c.Slots, 1)), &domains[i]
		d.Upstreams++
		d.Slots += slots
		if reported {
			d.Occupied += occupied
			d.ReportedSlots += slots
		}
		upstreams++
		runTimes += runTime
	}
	if upstreams == 0 {
		return
	}
	r.spreader.Update(now, service, r.options.FailureDomain, runTimes/time.Duration(upstreams), domains)
	widest := r.spreader.Widest(service)
	share := widest.Leaving()
	r.options.Meter.LeavingShare(service, share)
	if leaves := share > 0; leaves != r.leaving[service] {
		r.leaving[service] = leaves
		event := eventlog.DomainSufficient
		if leaves {
			event = eventlog.DomainOverloaded
		}
		r.options.Log.Log(event, zap.String("service", service), zap.Float64("share", share),
			zap.Duration("own-cost", widest.OwnCost), zap.Duration("other-cost", widest.OtherCost), zap.Float64("utilization", widest.Utilization))
	}
}

// bodyLength returns the length of the body of a request, or -1 if it is unknown.
func bodyLength(request *acceptor.Request) int64 {
	if request.Stream != nil {
		return request.Length
	}
	return int64(len(request.Body))
}

// observeTraffic counts the bytes of an attempt that has ended.
func (r *Router) observeTraffic(j *job, u registrar.Upstream, traffic *exchanger.Traffic, err error) {
	sent, received := traffic.Sent.Load(), traffic.Received.Load()
	kind := "unkeyed"
	if j.service.Keyed {
		kind = "keyed"
	}
	if length := bodyLength(j.request); length >= uploadBytes || (length < 0 && sent >= uploadBytes) {
		kind += "-upload"
	}
	domain := "own"
	if u.Domain != r.options.FailureDomain {
		domain = "other"
	}
	r.options.Meter.Bytes(kind, "sent", domain, sent)
	r.options.Meter.Bytes(kind, "received", domain, received)
	if err == nil && !j.service.Keyed {
		r.locked(func() { r.spreader.RecordSize(j.route.Name, float64(sent+received)) })
	}
}

// sweepSpreader deletes what belongs to services and routes that are not configured. The caller holds the mutex.
func (r *Router) sweepSpreader(snapshot *follower.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	routes := map[string]bool{}
	for _, list := range snapshot.Config.Hosts {
		for i := range list {
			routes[list[i].Name] = true
		}
	}
	isService := func(name string) bool { _, ok := snapshot.Config.Services[name]; return ok }
	r.spreader.Keep(isService, func(name string) bool { return routes[name] })
	maps.DeleteFunc(r.leaving, func(name string, _ bool) bool { return !isService(name) })
}
