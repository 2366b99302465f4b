package coordinator

import (
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// sharedLoads holds the load reports that the controller sends to hosts, each report once.
type sharedLoads struct {
	latest map[identifier.Tag]receivedLoad
}

type receivedLoad struct {
	connector.LoadReport
	at   time.Duration
	sent bool
}

func newSharedLoads() *sharedLoads { return &sharedLoads{latest: map[identifier.Tag]receivedLoad{}} }

// record stores a report that a host sent at now, if it is the newest one of its upstream.
func (l *sharedLoads) record(now time.Duration, report connector.LoadReport) {
	at := now - report.Age
	if known, ok := l.latest[report.Upstream]; !ok || known.at < at {
		l.latest[report.Upstream] = receivedLoad{LoadReport: report, at: at}
	}
}

// take returns the reports to send and deletes those that are too old.
func (l *sharedLoads) take(now time.Duration, ownsKeys func(upstream identifier.Tag) bool) []connector.LoadReport {
	var loads []connector.LoadReport
	for tag, load := range l.latest {
		load.Age = now - load.at
		if load.Age > 2*connector.ReportInterval {
			delete(l.latest, tag)
			continue
		}
		if load.sent || !changesDecision(load.Load, ownsKeys(tag)) {
			continue
		}
		load.sent = true
		l.latest[tag] = load
		loads = append(loads, load.LoadReport)
	}
	return loads
}

// changesDecision reports whether hosts decide differently with a load report than without one. An owner of keys with a
// free slot and an empty queue gets its requests in any case.
func changesDecision(load selector.Load, ownsKeys bool) bool {
	return !ownsKeys || load.Waiting > 0 || load.Running >= load.Slots
}
