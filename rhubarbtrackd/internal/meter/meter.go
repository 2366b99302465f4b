// Package meter collects the metrics of the daemon with tally and serves them to collectors.
//
// Label values are services, upstreams, outcomes and events, all of which are bounded by the configuration.
//
// # Usage
//
//	m := meter.New()
//	m.Request("shelf-marks", "answered", latency)
//	mux.Handle("GET /metrics", m.Handler())
package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// latencyBuckets cover the objective of 19 ms with a step on either side.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 19 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second,
}

// Meter is safe for concurrent use.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter without figures.
func New() *Meter {
	// A registry of its own lets several hosts run in one process, as in tests.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "rhubarbtrack",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The internal metrics of tally have names that the collectors' format does not allow.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Close reports the last figures.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler serves the figures in the text format of the usual collectors.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Request counts a caller's request by its outcome: answered, aborted, not-run or unknown.
func (m *Meter) Request(service, outcome string, latency time.Duration) {
	scope := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	scope.Counter("requests_total").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(latency)
}

// Dropped counts a message that a full ring refused.
func (m *Meter) Dropped(ring string) {
	m.scope.Tagged(map[string]string{"ring": ring}).Counter("ring_overflows_total").Inc(1)
}

// Admission records the admission of one upstream.
func (m *Meter) Admission(service, upstream string, limit, inFlight, queued int) {
	scope := m.scope.Tagged(map[string]string{"service": service, "upstream": upstream})
	scope.Gauge("admission_limit").Update(float64(limit))
	scope.Gauge("admission_in_flight").Update(float64(inFlight))
	scope.Gauge("admission_queued").Update(float64(queued))
}

// Terms records the term of every service that this host controls.
func (m *Meter) Terms(holding map[string]uint64) {
	for service, term := range holding {
		m.scope.Tagged(map[string]string{"service": service}).Gauge("controller_term").Update(float64(term))
	}
}

// Relay records whether this host is part of the relay tree and which configuration revision it has in force.
func (m *Meter) Relay(connected bool, revision uint64) {
	value := 0.0
	if connected {
		value = 1
	}
	m.scope.Gauge("relay_connected").Update(value)
	m.scope.Gauge("configuration_revision").Update(float64(revision))
}
