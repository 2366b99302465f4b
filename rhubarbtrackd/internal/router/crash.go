package router

import (
	"time"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
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
	case err != nil && kindOf(err) == exchanger.Interrupted:
		var events []interruption
		for _, signature := range j.signatures.all() {
			if r.options.Suspector.Trusted(now, signature) {
				continue
			}
			event := detector.Interrupted{Signature: signature, Upstream: u.String(), SentAt: began, EndedAt: now}
			if signature == j.signatures.withoutQuery {
				event.Variant = j.signatures.withQuery
			}
			events = append(events, interruption{u.Incarnation, event})
		}
		r.confirmCrash(now, u, events)
	case err == nil && !isRejection(resp) && resp.Status < 500:
		for _, signature := range j.signatures.all() {
			if r.options.Suspector.Complete(now, signature) {
				r.ReportCompleted(signature)
			}
		}
	}
}

// interruption is the end of an attempt at an upstream, for one signature of the request.
type interruption struct {
	upstream identifier.Incarnation
	detector.Interrupted
}

// crashProbe is a probe of an upstream after interruptions.
type crashProbe struct {
	interruptedAt time.Duration // first interruption, also of requests whose interruptions do not count
	interruptions []interruption
	ended         chan struct{}
}

// confirmCrash probes an upstream after the interruption of a request, unless a probe is in progress. If the interruption may count,
// it waits up to maxCrashProbeWait for the result, so that the next attempt of the request is decided with it.
func (r *Router) confirmCrash(now time.Duration, u registrar.Upstream, events []interruption) {
	r.mutex.Lock()
	probe := r.crashProbes[u.Incarnation]
	if probe == nil {
		probe = &crashProbe{interruptedAt: now, ended: make(chan struct{})}
		r.crashProbes[u.Incarnation] = probe
		go r.options.Panics.Do("confirm-crash", func() { r.probeInterrupted(u, probe) })
	}
	probe.interruptions = append(probe.interruptions, events...)
	r.mutex.Unlock()
	if len(events) == 0 {
		return
	}
	select {
	case <-probe.ended:
	case <-time.After(maxCrashProbeWait):
	}
}

// probeInterrupted records the interruptions of an upstream, on this host and for the next report, unless the upstream accepts
// a connection and keeps it open. Upstreams also reset connections on which they fail to respond.
func (r *Router) probeInterrupted(u registrar.Upstream, probe *crashProbe) {
	defer close(probe.ended)
	defer func() { r.locked(func() { delete(r.crashProbes, u.Incarnation) }) }()
	time.Sleep(crashProbeDelay)
	err := r.options.Pool.ProbeOpen(target(u), crashProbeTime)
	if err == nil {
		return
	}
	var confirmed []interruption
	r.locked(func() {
		confirmed = probe.interruptions
		delete(r.crashProbes, u.Incarnation)
		for _, event := range confirmed {
			r.observed.recordInterruption(event)
		}
		if len(confirmed) == 0 {
			r.observed.recordEnd(u.Incarnation, probe.interruptedAt)
		}
		r.observed.recordConnectFailure(u.Incarnation, err, r.selector.InFlight(u.Incarnation))
		r.selector.Block(r.options.Now(), u.Incarnation)
	})
	for _, event := range confirmed {
		r.options.Suspector.Record(r.options.Now(), event.Interrupted)
	}
	if len(confirmed) == 0 {
		r.options.Suspector.Record(r.options.Now(), detector.Ended{Upstream: u.String(), At: probe.interruptedAt})
		r.options.ReportSoon()
	}
}
