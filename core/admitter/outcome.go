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
	a.settleKey(request, ended.Outcome)
	mayDispatch := true
	if ended.Incarnation != "" {
		a.down = false
		mayDispatch = a.seeIncarnation(ended.Incarnation)
		a.disprove(request, ended.Incarnation)
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
		a.miss(request)
	case Draining:
		a.holdOff(ended.RetryAfter)
	case Failed, Cancelled, NotOwner:
	}
	if request.alone && ended.Incarnation != "" && !ended.Outcome.NotRun() && ended.Outcome != Cancelled {
		a.emit(RanAlone{Signature: request.signature})
	}
	a.reportIdle(request.fence.Slice)
	return mayDispatch
}

// settleKey forgets the idempotency key of a request that was not run.
func (a *Admitter) settleKey(request running, outcome Outcome) {
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
	a.service.observe(a.now, ended.Latency)
	if a.ramp.observeLatency(ended.Latency) {
		a.emit(UpstreamSuspected{State: Cold})
	}
	if request.generation == a.ramp.generation {
		a.ramp.succeed()
	}
}

func (a *Admitter) shed(request running, ended Ended, occupied int) {
	if request.generation != a.ramp.generation {
		return
	}
	if occupied <= 1 || ended.RetryAfter > 0 {
		a.holdOff(ended.RetryAfter)
	}
	if a.ramp.shed(occupied) {
		a.emit(UpstreamSuspected{State: Cold})
	}
}

func (a *Admitter) coldShed(request running, ended Ended) {
	a.holdOff(ended.RetryAfter)
	if request.generation != a.ramp.generation {
		return
	}
	a.ramp.reset()
	a.emit(UpstreamSuspected{State: Cold})
}

// miss treats a refused connection like a restart, because the next process that listens is cold.
func (a *Admitter) miss(request running) {
	a.down = true
	a.holdOff(0)
	if request.generation == a.ramp.generation {
		a.ramp.reset()
		a.emit(UpstreamSuspected{State: Down})
	}
}

// holdOff stops dispatching for a while that doubles with every call until a request succeeds.
func (a *Admitter) holdOff(retryAfter time.Duration) {
	if a.now < a.pausedUntil {
		return
	}
	a.pause = min(max(2*a.pause, minPause), maxPause)
	a.pausedUntil = a.now + max(a.pause, retryAfter)
}

// crash treats a broken connection as a crash of the upstream, because waiting for its next incarnation would let
// further requests with the same signature through. A later response of the same incarnation disproves it.
func (a *Admitter) crash(request running) {
	if request.reported {
		return
	}
	a.down = true
	a.holdOff(0)
	a.reportCrash(append([]running{request}, a.running...))
	a.ramp.reset()
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

func (a *Admitter) disprove(request running, incarnation string) {
	if !a.lastCrash.pending || a.lastCrash.incarnation != incarnation || request.dispatchedAt <= a.lastCrash.at {
		return
	}
	a.lastCrash.pending = false
	a.emit(CrashRetracted{Signatures: a.lastCrash.signatures})
}

// seeIncarnation starts a cold ramp for a new incarnation and reports whether requests may be dispatched in this step.
func (a *Admitter) seeIncarnation(incarnation string) bool {
	switch {
	case incarnation == "":
		a.ramp.reset()
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
	a.foreign = 0
	a.ramp.reset()
	crashed := slices.ContainsFunc(a.running, func(r running) bool { return !r.reported })
	a.reportCrash(a.running)
	a.lastCrash.pending = false
	return !crashed
}

// report uses the in-flight number of the upstream at a takeover, because the requests of the previous admission host
// may still run and show how many the upstream bears.
func (a *Admitter) report(reported LoadReported) bool {
	if !a.seeIncarnation(reported.Incarnation) {
		return false
	}
	unknown := max(reported.InFlight-len(a.running), 0)
	if a.takeover && reported.InFlight >= 0 {
		a.takeover = false
		a.ramp.startAt(reported.InFlight)
		a.foreign = unknown
		a.foreignUntil = a.now + foreignExpiry
		return true
	}
	a.foreign = min(a.foreign, unknown)
	return true
}
