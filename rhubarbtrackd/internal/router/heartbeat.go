package router

import (
	"context"
	"net/http"
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// probeInterval is the minimum time between two probes of a suspected upstream, because each probe has the cost of a new
// connection.
const probeInterval = 400 * time.Millisecond

// healthCheckTimeout bounds a health check of a suspect. It may have to wait for a slot.
const healthCheckTimeout = time.Second

// OnHeartbeat applies a heartbeat of the controller: the number of hosts, the load reports of other hosts, and the
// suspected upstreams, which this host probes.
func (r *Router) OnHeartbeat(heartbeat connector.Heartbeat) {
	now := r.options.Now()
	loads, runTimes, err := heartbeat.SharedLoads()
	if err != nil {
		r.options.Log.Log(eventlog.FrameRefused, eventlog.Cause(err))
	}
	snapshot := r.options.Follower.Snapshot()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.applyQuotas(now, snapshot, heartbeat) {
		r.options.ReportSoon()
	}
	r.shares.SetPosition(now, heartbeat.Index, heartbeat.Hosts)
	for _, load := range loads {
		if u, ok := snapshot.Resolve(load.Upstream); ok {
			r.selector.RecordSharedLoad(now-load.Age, u.Incarnation, load.Load)
		}
	}
	for tag, mean := range runTimes {
		if u, ok := snapshot.Resolve(tag); ok {
			r.selector.RecordSharedRunTime(u.Incarnation, mean)
		}
	}
	for _, probes := range []struct {
		tags  []identifier.Tag
		probe func(registrar.Upstream)
	}{{heartbeat.Doubted, r.probe}, {heartbeat.Suspects, r.checkHealth}} {
		for _, tag := range probes.tags {
			if u, ok := snapshot.Resolve(tag); ok && !r.probing[u.Incarnation] && now >= r.lastProbe[u.Incarnation]+probeInterval {
				r.probing[u.Incarnation] = true
				r.lastProbe[u.Incarnation] = now
				r.selector.Block(now, u.Incarnation)
				go r.options.Panics.Do("probe", func() {
					defer r.locked(func() { delete(r.probing, u.Incarnation) })
					probes.probe(u)
				})
			}
		}
	}
}

// checkHealth sends a suspect a health check, and reports it as reached if it responds. A connection alone does not show that:
// the kernel accepts those for a process that is frozen.
func (r *Router) checkHealth(u registrar.Upstream) {
	service := r.options.Follower.Snapshot().Config.Services[u.Service]
	if !r.respondsToHealthCheck(u, service.HealthPath) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.observed.connects[u.Incarnation] = connectReached
	r.selector.Unblock(u.Incarnation)
}

// respondsToHealthCheck reports whether an upstream itself responds to a health check, with any status.
func (r *Router) respondsToHealthCheck(u registrar.Upstream, path string) bool {
	resp, err := r.options.Pool.Do(context.Background(), target(u), &exchanger.Request{
		Method: http.MethodGet, URI: path, Host: u.Address, Repeatable: true, Deadline: time.Now().Add(healthCheckTimeout),
		Extra: [][2]string{{translator.UpstreamHeader, u.ID}},
	})
	if err != nil {
		return false
	}
	closeStream(resp)
	return resp.Status != http.StatusMisdirectedRequest
}

// probe tries to connect to an upstream that another host could not reach, and records the result for the next report.
func (r *Router) probe(u registrar.Upstream) {
	err := r.options.Pool.Probe(target(u))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil {
		r.observed.connects[u.Incarnation] = connectReached
		r.selector.Unblock(u.Incarnation)
		return
	}
	r.observed.recordConnectFailure(u.Incarnation, err, r.selector.InFlight(u.Incarnation))
	r.selector.Block(r.options.Now(), u.Incarnation)
}
