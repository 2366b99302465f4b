package router

import (
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// observe records the outcome of an attempt for the selection of upstreams and for the next report. began is when the
// attempt was sent. An attempt whose response is streamed stays in flight.
func (r *Router) observe(began time.Duration, j *job, u registrar.Upstream, resp *exchanger.Response, err error) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		r.selector.End(now, u.Incarnation, failureOutcome(err))
		if kindOf(err) == exchanger.NotSent {
			r.observed.recordConnectFailure(u.Incarnation, err, r.selector.InFlight(u.Incarnation))
		}
		return
	}
	rejected := isRejection(resp)
	if resp.Stream == nil {
		r.selector.End(now, u.Incarnation, responseOutcome(resp))
	}
	load, ok := translator.Load(resp.Header.Get(translator.LoadHeader))
	if !ok {
		return
	}
	r.selector.RecordLoad(now, u.Incarnation, load)
	r.observed.recordLoad(now, u.Incarnation, load)
	if !rejected && resp.Status < 500 {
		// Requests that waited in the queue count as well, because an upstream that is always busy would otherwise never
		// get a measurement.
		taken := now - began
		run := max(taken-j.estimate.Wait, time.Duration(minRunShare*float64(taken)))
		r.selector.RecordRunTime(u.Incarnation, run, load.Slowdown)
		r.observed.recordTime(u.Incarnation, run)
		r.prioritizer.RecordRunTime(j.class, run, j.meanRun)
	}
}

func failureOutcome(err error) selector.Outcome {
	switch kindOf(err) {
	case exchanger.NotSent:
		return selector.Unreachable
	case exchanger.Cancelled:
		return selector.Abandoned
	}
	return selector.Failed
}

func responseOutcome(resp *exchanger.Response) selector.Outcome {
	switch {
	case isRejection(resp):
		return selector.Rejected
	case resp.Status >= 500:
		return selector.Failed
	}
	return selector.Answered
}

// transferOutcome returns the outcome of an attempt whose response was streamed. err is the cause if that ended early.
func transferOutcome(resp *exchanger.Response, err error) selector.Outcome {
	outcome := responseOutcome(resp)
	switch {
	case err == nil || outcome != selector.Answered:
		return outcome
	case errors.Is(err, errUntaken):
		return selector.Abandoned
	}
	return failureOutcome(err)
}

// minRunShare is the smallest share of a request's total time that counts as its run time. The run time is the total
// minus the expected wait, and would be too short, or negative, when that estimate is too long.
const minRunShare = 0.25

func isRejection(resp *exchanger.Response) bool {
	return translator.Refused(resp.Status, resp.Header)
}
