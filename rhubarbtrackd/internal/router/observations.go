package router

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// maxReportedSignatures bounds the interruptions and the completed suspects in one report. Without a controller, the first
// ones are kept until there is one.
const maxReportedSignatures = 1024 // two for each request

// maxReportedKeys bounds the keys of a service in one report. A report that reaches it contains the first keys of its
// period as a sample.
const maxReportedKeys = 512

// observations collects the content of the next report.
type observations struct {
	keys     map[string][]uint16
	times    map[identifier.Incarnation]connector.Timing
	loads    map[identifier.Incarnation]loadReport
	connects map[identifier.Incarnation]connectResult
	// interruptions and completed are requests that may crash upstreams, see package detector.
	interruptions []interruption
	completed     []uint64
	ended         map[identifier.Incarnation]time.Duration // upstreams that have ended under none of interruptions
}

type loadReport struct {
	at   time.Duration
	load selector.Load
}

type connectResult int

const (
	connectRefused connectResult = iota + 1
	connectTimedOut
	connectReached // the process runs, although it was suspected
)

func newObservations() observations {
	return observations{
		keys: map[string][]uint16{}, times: map[identifier.Incarnation]connector.Timing{},
		loads: map[identifier.Incarnation]loadReport{}, connects: map[identifier.Incarnation]connectResult{},
		ended: map[identifier.Incarnation]time.Duration{},
	}
}

func (o *observations) recordKey(service string, key uint16) {
	if len(o.keys[service]) < maxReportedKeys {
		o.keys[service] = append(o.keys[service], key)
	}
}

func (o *observations) recordTime(upstream identifier.Incarnation, taken time.Duration) {
	t := o.times[upstream]
	o.times[upstream] = connector.Timing{Upstream: upstream.Tag(), Count: t.Count + 1, Sum: t.Sum + taken}
}

func (o *observations) recordLoad(now time.Duration, upstream identifier.Incarnation, load selector.Load) {
	o.loads[upstream] = loadReport{now, load}
}

// recordConnectFailure records why an attempt to connect failed. A refused connection alone does not show that the
// process has stopped: a process that shuts down closes its listener first and finishes its requests. A stopped process
// has no connections, so a request in flight to it proves that it still runs.
func (o *observations) recordConnectFailure(upstream identifier.Incarnation, err error, inFlight int) {
	var network net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && inFlight > 0:
		o.connects[upstream] = connectReached
	case errors.Is(err, syscall.ECONNREFUSED):
		o.connects[upstream] = connectRefused
	case errors.As(err, &network) && network.Timeout():
		o.connects[upstream] = connectTimedOut
	}
}

func (o *observations) recordInterruption(event interruption) {
	if len(o.interruptions) < maxReportedSignatures {
		o.interruptions = append(o.interruptions, event)
	}
}

func (o *observations) recordEnd(upstream identifier.Incarnation, at time.Duration) {
	if len(o.ended) < maxReportedSignatures {
		o.ended[upstream] = at
	}
}

func (o *observations) recordCompletion(signature uint64) {
	if len(o.completed) < maxReportedSignatures {
		o.completed = append(o.completed, signature)
	}
}

func (o *observations) take(now time.Duration) connector.Report {
	report := connector.Report{Keys: o.keys, Completed: o.completed}
	for _, event := range o.interruptions {
		report.Interruptions = append(report.Interruptions, connector.Interruption{
			Signature: event.Signature, Variant: event.Variant, Upstream: event.upstream, SentAge: now - event.SentAt, EndedAge: now - event.EndedAt,
		})
	}
	for upstream, at := range o.ended {
		report.Ended = append(report.Ended, connector.Ending{Upstream: upstream, Age: now - at})
	}
	for _, t := range o.times {
		report.Timings = append(report.Timings, t)
	}
	for upstream, seen := range o.loads {
		report.Loads = append(report.Loads, connector.LoadReport{Upstream: upstream.Tag(), Load: seen.load, Age: now - seen.at})
	}
	for upstream, outcome := range o.connects {
		tag := upstream.Tag()
		switch outcome {
		case connectRefused:
			report.Refused = append(report.Refused, tag)
		case connectTimedOut:
			report.Unresponsive = append(report.Unresponsive, tag)
		case connectReached:
			report.Reached = append(report.Reached, tag)
		}
	}
	*o = newObservations()
	return report
}
