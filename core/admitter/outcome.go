package admitter

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// end applies the end of a dispatched request and reports whether requests may be dispatched in the same step.
func (a *Admitter) end(ended Ended) bool {
	index := a.indexRunning(ended.ID)
	if index < 0 {
		return true
	}
	request := a.running[index]
	occupied := a.occupied()
	a.running = slices.Delete(a.running, index, index+1)
	a.releaseKey(request, ended.Outcome)
	mayDispatch := true
	if ended.Incarnation != "" {
		a.down = false
		mayDispatch = a.observeIncarnation(ended.Incarnation)
		a.retractCrash(request, ended.Incarnation)
	}
	switch ended.Outcome {
	case Succeeded:
		a.succeed(request, ended)
	case Crashed:
		a.crash(request)
		mayDispatch = false
	case Shed:
		a.shed(request, ended, occupied)
	case ShedCold:
		a.coldShed(request, ended)
	case NotSent:
		a.connectFailed(request)
	case Draining:
		a.backOff(ended.RetryAfter)
	case Failed, Cancelled, NotOwner:
	}
	if request.alone && ended.Incarnation != "" && !ended.Outcome.NotRun() && ended.Outcome != Cancelled {
		a.emit(RanAlone{Signature: request.signature})
	}
	a.reportDrained(request.fence.Slice)
	return mayDispatch
}

// releaseKey removes the idempotency key of a request that was not run, and allows a further attempt of one that may be
// repeated.
func (a *Admitter) releaseKey(request running, outcome Outcome) {
	if request.hasKey && outcome.NotRun() {
		a.keys.remove(request.key)
		return
	}
	if request.hasKey && request.class != configurator.NeverRepeat {
		a.keys.release(request.key)
	}
}

func (a *Admitter) succeed(request running, ended Ended) {
	a.pause = 0
	a.serviceTime.observe(a.now, ended.Latency)
	if a.limiter.observeLatency(ended.Latency) {
		a.emit(UpstreamSuspected{State: Cold})
	}
	if request.generation == a.limiter.generation {
		a.limiter.succeed()
	}
}

func (a *Admitter) shed(request running, ended Ended, occupied int) {
	if request.generation != a.limiter.generation {
		return
	}
	if occupied <= 1 || ended.RetryAfter > 0 {
		a.backOff(ended.RetryAfter)
	}
	if a.limiter.shed(occupied) {
		a.emit(UpstreamSuspected{State: Cold})
	}
}

func (a *Admitter) coldShed(request running, ended Ended) {
	a.backOff(ended.RetryAfter)
	if request.generation != a.limiter.generation {
		return
	}
	a.limiter.reset()
	a.emit(UpstreamSuspected{State: Cold})
}

// connectFailed treats a refused connection like a restart, because the next process that accepts connections is cold.
func (a *Admitter) connectFailed(request running) {
	a.down = true
	a.backOff(0)
	if request.generation == a.limiter.generation {
		a.limiter.reset()
		a.emit(UpstreamSuspected{State: Down})
	}
}

// backOff pauses dispatching. The pause doubles with every call until a request succeeds.
func (a *Admitter) backOff(retryAfter time.Duration) {
	if a.now < a.pausedUntil {
		return
	}
	a.pause = min(max(2*a.pause, minPause), maxPause)
	a.pausedUntil = a.now + max(a.pause, retryAfter)
}

// crash treats a broken connection as a crash of the upstream, without waiting for a new incarnation as proof: until then,
// further requests with the same signature would be dispatched. A later response of the same incarnation retracts the
// crash.
func (a *Admitter) crash(request running) {
	if request.reported {
		return
	}
	a.down = true
	a.backOff(0)
	a.reportCrash(append([]running{request}, a.running...))
	a.limiter.reset()
	a.emit(UpstreamSuspected{State: Down})
}

func (a *Admitter) reportCrash(requests []running) {
	var signatures []uint64
	for _, request := range requests {
		if !request.reported {
			signatures = append(signatures, request.signature)
		}
	}
	if len(signatures) == 0 {
		return
	}
	for i := range a.running {
		a.running[i].reported = true
	}
	a.lastCrash = crash{pending: true, incarnation: a.incarnation, at: a.now, signatures: signatures}
	a.emit(CrashDetected{Signatures: signatures, Alone: len(requests) == 1 && requests[0].alone})
}

func (a *Admitter) retractCrash(request running, incarnation string) {
	if !a.lastCrash.pending || a.lastCrash.incarnation != incarnation || request.dispatchedAt <= a.lastCrash.at {
		return
	}
	a.lastCrash.pending = false
	a.emit(CrashRetracted{Signatures: a.lastCrash.signatures})
}

// observeIncarnation resets the limit for a new incarnation and reports whether requests may be dispatched in this step.
func (a *Admitter) observeIncarnation(incarnation string) bool {
	switch {
	case incarnation == "":
		a.limiter.reset()
		return true
	case incarnation == a.incarnation || slices.Contains(a.oldIncarnations, incarnation):
		return true
	case a.incarnation == "":
		a.incarnation = incarnation
		return true
	}
	a.oldIncarnations = append(a.oldIncarnations, a.incarnation)
	if len(a.oldIncarnations) > maxOldIncarnations {
		a.oldIncarnations = slices.Delete(a.oldIncarnations, 0, 1)
	}
	a.incarnation = incarnation
	a.down = false
	a.pause, a.pausedUntil = 0, 0
	a.inherited = 0
	a.limiter.reset()
	crashed := slices.ContainsFunc(a.running, func(r running) bool { return !r.reported })
	a.reportCrash(a.running)
	a.lastCrash.pending = false
	return !crashed
}

// applyLoad starts the limit at the in-flight number of the upstream after a change of the admission host: requests of
// the previous host may still run, and their number shows how many the upstream can run at once.
func (a *Admitter) applyLoad(reported LoadReported) bool {
	if !a.observeIncarnation(reported.Incarnation) {
		return false
	}
	unknown := max(reported.InFlight-len(a.running), 0)
	if a.takeover && reported.InFlight >= 0 {
		a.takeover = false
		a.limiter.restartAt(reported.InFlight)
		a.inherited = unknown
		a.inheritedUntil = a.now + inheritedExpiry
		return true
	}
	a.inherited = min(a.inherited, unknown)
	return true
}
