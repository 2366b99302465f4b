package router

import (
	"strconv"
	"time"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// crashProbeDelay is the time from an interrupted attempt to the probe of the upstream. A process that ends closes its
// connections and its listener one after the other.
const crashProbeDelay = 5 * time.Millisecond

// crashProbeTime is how long the connection of the probe must stay open.
const crashProbeTime = 5 * time.Millisecond

// maxCrashProbeWait bounds the wait of an attempt for that probe.
const maxCrashProbeWait = 20 * time.Millisecond

// observeCrash records whether an attempt has crashed the upstream. An interrupted one is recorded after a probe has shown that
// the upstream has ended.
func (r *Router) observeCrash(began time.Duration, j *job, u registrar.Upstream, resp *exchanger.Response, err error) {
	now := r.options.Now()
	switch {
	case err != nil && kindOf(err) == exchanger.Interrupted && !r.options.Suspector.Trusted(now, j.signature):
		incarnation := u.ID + "/" + strconv.FormatInt(u.Incarnation, 10)
		r.confirmCrash(u, detector.Interrupted{Signature: j.signature, Upstream: incarnation, SentAt: began, EndedAt: now})
	case err == nil && !isRejection(resp) && resp.Status < 500:
		if r.options.Suspector.Complete(now, j.signature) {
			r.ReportCompleted(j.signature)
		}
	}
}

// crashProbe is a probe of an upstream after interruptions.
type crashProbe struct {
	interruptions []detector.Interrupted
	ended         chan struct{}
}

// confirmCrash probes an upstream after an interruption, unless a probe is in progress. It waits up to maxCrashProbeWait for the
// result, so that the next attempt of the request is decided with it.
func (r *Router) confirmCrash(u registrar.Upstream, event detector.Interrupted) {
	r.mutex.Lock()
	probe := r.crashProbes[event.Upstream]
	if probe == nil {
		probe = &crashProbe{ended: make(chan struct{})}
		r.crashProbes[event.Upstream] = probe
		go r.options.Panics.Do("confirm-crash", func() { r.probeInterrupted(u, event.Upstream, probe) })
	}
	probe.interruptions = append(probe.interruptions, event)
	r.mutex.Unlock()
	select {
	case <-probe.ended:
	case <-time.After(maxCrashProbeWait):
	}
}

// probeInterrupted records the interruptions of an upstream, on this host and for the next report, unless the upstream accepts
// a connection and keeps it open. Upstreams also reset connections on which they fail to respond.
func (r *Router) probeInterrupted(u registrar.Upstream, incarnation string, probe *crashProbe) {
	defer close(probe.ended)
	defer func() { r.locked(func() { delete(r.crashProbes, incarnation) }) }()
	time.Sleep(crashProbeDelay)
	err := r.options.Pool.ProbeOpen(exchanger.Target{ID: u.ID, Address: u.Address}, crashProbeTime)
	if err == nil {
		return
	}
	var confirmed []detector.Interrupted
	r.locked(func() {
		confirmed = probe.interruptions
		delete(r.crashProbes, incarnation)
		for _, event := range confirmed {
			r.observed.recordInterruption(event)
		}
		r.observed.recordConnectFailure(u.ID, err, r.selector.InFlight(u.ID))
		r.selector.Block(r.options.Now(), u.ID)
	})
	for _, event := range confirmed {
		r.options.Suspector.Record(r.options.Now(), event)
	}
}
