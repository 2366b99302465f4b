package conductor

import (
	"time"

	"rhubarbtrack.example/core/placer"
	"rhubarbtrack.example/rhubarbtrackd/internal/linker"
)

// maxKeys bounds the keys of a service in one report. Beyond it a report is a sample of its beginning.
const maxKeys = 512

// observations collects what the next report contains.
type observations struct {
	keys  map[string][]uint16
	times map[string]linker.Timing
	loads map[string]seenLoad
	// contacts are upstreams that refused a connection (false) or accepted one after a suspicion (true).
	contacts map[string]bool
}

type seenLoad struct {
	at   time.Duration
	load placer.Load
}

func newObservations() observations {
	return observations{keys: map[string][]uint16{}, times: map[string]linker.Timing{}, loads: map[string]seenLoad{}, contacts: map[string]bool{}}
}

func (o *observations) key(service string, key uint16) {
	if len(o.keys[service]) < maxKeys {
		o.keys[service] = append(o.keys[service], key)
	}
}

func (o *observations) timing(upstream string, taken time.Duration) {
	t := o.times[upstream]
	o.times[upstream] = linker.Timing{Upstream: upstream, Count: t.Count + 1, Sum: t.Sum + taken}
}

func (o *observations) load(now time.Duration, upstream string, load placer.Load) {
	o.loads[upstream] = seenLoad{now, load}
}

func (o *observations) take(now time.Duration) linker.Report {
	report := linker.Report{Keys: o.keys}
	for _, t := range o.times {
		report.Times = append(report.Times, t)
	}
	for id, seen := range o.loads {
		report.Loads = append(report.Loads, linker.Sighting{Upstream: id, Load: seen.load, Age: now - seen.at})
	}
	for id, reached := range o.contacts {
		if reached {
			report.Reached = append(report.Reached, id)
			continue
		}
		report.Refused = append(report.Refused, id)
	}
	*o = newObservations()
	return report
}
