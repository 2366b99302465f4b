package router

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// maxKeys bounds the keys of a service in one report. Beyond it a report is a sample of its beginning.
const maxKeys = 512

// observations collects what the next report contains.
type observations struct {
	keys     map[string][]uint16
	times    map[string]connector.Timing
	loads    map[string]seenLoad
	contacts map[string]contact // outcomes of attempts to connect that are worth telling
}

type seenLoad struct {
	at   time.Duration
	load selector.Load
}

type contact int

const (
	refused contact = iota + 1
	silent
	reached // after a suspicion
)

func newObservations() observations {
	return observations{keys: map[string][]uint16{}, times: map[string]connector.Timing{}, loads: map[string]seenLoad{}, contacts: map[string]contact{}}
}

func (o *observations) key(service string, key uint16) {
	if len(o.keys[service]) < maxKeys {
		o.keys[service] = append(o.keys[service], key)
	}
}

func (o *observations) timing(upstream string, taken time.Duration) {
	t := o.times[upstream]
	o.times[upstream] = connector.Timing{Upstream: upstream, Count: t.Count + 1, Sum: t.Sum + taken}
}

func (o *observations) load(now time.Duration, upstream string, load selector.Load) {
	o.loads[upstream] = seenLoad{now, load}
}

// contact notes why an attempt to connect failed. A process that shuts down closes its listener and goes on with its
// work. One that has ended has no connections, so a request that is still in flight there proves that it has not.
func (o *observations) contact(upstream string, err error, inFlight int) {
	var network net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) && inFlight > 0:
		o.contacts[upstream] = reached
	case errors.Is(err, syscall.ECONNREFUSED):
		o.contacts[upstream] = refused
	case errors.As(err, &network) && network.Timeout():
		o.contacts[upstream] = silent
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
	for id, outcome := range o.contacts {
		switch outcome {
		case refused:
			report.Refused = append(report.Refused, id)
		case silent:
			report.Unresponsive = append(report.Unresponsive, id)
		case reached:
			report.Reached = append(report.Reached, id)
		}
	}
	*o = newObservations()
	return report
}
