package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

// sharedLoads holds the load reports that the controller sends to hosts, each report once.
type sharedLoads struct {
	latest   map[identifier.Tag]receivedLoad
	sentAt   map[identifier.Tag]time.Duration // time at which a report of each upstream was last sent
	withheld int                              // reports that the last call of take has left out
}

type receivedLoad struct {
	connector.LoadReport
	at   time.Duration
	sent bool
}

func newSharedLoads() *sharedLoads {
	return &sharedLoads{latest: map[identifier.Tag]receivedLoad{}, sentAt: map[identifier.Tag]time.Duration{}}
}

// record stores a report that a host sent at now, if it is the newest one of its upstream.
func (l *sharedLoads) record(now time.Duration, report connector.LoadReport) {
	at := now - report.Age
	if known, ok := l.latest[report.Upstream]; !ok || known.at < at {
		l.latest[report.Upstream] = receivedLoad{LoadReport: report, at: at}
	}
}

// take returns the reports to send, at most limit, and deletes those that are too old. Of more reports, it returns those of the
// upstreams whose last one was sent the longest ago, so that hosts get fewer reports of each upstream instead of none of some.
func (l *sharedLoads) take(now time.Duration, ownsKeys func(upstream identifier.Tag) bool, limit int) []connector.LoadReport {
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
		loads = append(loads, load.LoadReport)
	}
	l.withheld = 0
	if len(loads) > limit {
		slices.SortFunc(loads, func(a, b connector.LoadReport) int {
			return cmp.Or(cmp.Compare(l.sentAt[a.Upstream], l.sentAt[b.Upstream]), cmp.Compare(a.Upstream, b.Upstream))
		})
		l.withheld = len(loads) - limit
		loads = loads[:limit]
	}
	if len(l.sentAt) > 2*len(l.latest)+len(loads) {
		maps.DeleteFunc(l.sentAt, func(tag identifier.Tag, _ time.Duration) bool { _, ok := l.latest[tag]; return !ok })
	}
	for _, report := range loads {
		load := l.latest[report.Upstream]
		load.sent = true
		l.latest[report.Upstream] = load
		l.sentAt[report.Upstream] = now
	}
	return loads
}

// changesDecision reports whether hosts decide differently with a load report than without one. An owner of keys with a
// free slot and an empty queue gets its requests in any case.
func changesDecision(load selector.Load, ownsKeys bool) bool {
	return !ownsKeys || load.Waiting > 0 || load.Running >= load.Slots
}
