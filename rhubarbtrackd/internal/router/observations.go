package router

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// maxReportedKeys bounds the keys of a service in one report. A report that reaches it contains the first keys of its
// period as a sample.
const maxReportedKeys = 512

// observations collects the content of the next report.
type observations struct {
	keys     map[string][]uint16
	times    map[string]connector.Timing
	loads    map[string]loadReport
	connects map[string]connectResult // by upstream
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
		keys: map[string][]uint16{}, times: map[string]connector.Timing{}, loads: map[string]loadReport{},
		connects: map[string]connectResult{},
	}
}

func (o *observations) recordKey(service string, key uint16) {
	if len(o.keys[service]) < maxReportedKeys {
		o.keys[service] = append(o.keys[service], key)
	}
}

func (o *observations) recordTime(upstream string, taken time.Duration) {
	t := o.times[upstream]
	o.times[upstream] = connector.Timing{Upstream: upstream, Count: t.Count + 1, Sum: t.Sum + taken}
}

func (o *observations) recordLoad(now time.Duration, upstream string, load selector.Load) {
	o.loads[upstream] = loadReport{now, load}
}

// recordConnectFailure records why an attempt to connect failed. A refused connection alone does not show that the
// process has stopped: a process that shuts down closes its listener first and finishes its requests. A stopped process
// has no connections, so a request in flight to it proves that it still runs.
func (o *observations) recordConnectFailure(upstream string, err error, inFlight int) {
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

func (o *observations) take(now time.Duration) connector.Report {
	report := connector.Report{Keys: o.keys}
	for _, t := range o.times {
		report.Timings = append(report.Timings, t)
	}
	for id, seen := range o.loads {
		report.Loads = append(report.Loads, connector.LoadReport{Upstream: id, Load: seen.load, Age: now - seen.at})
	}
	for id, outcome := range o.connects {
		switch outcome {
		case connectRefused:
			report.Refused = append(report.Refused, id)
		case connectTimedOut:
			report.Unresponsive = append(report.Unresponsive, id)
		case connectReached:
			report.Reached = append(report.Reached, id)
		}
	}
	*o = newObservations()
	return report
}
