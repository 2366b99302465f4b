// Package meter collects the metrics of the daemon with tally and serves them in the Prometheus text format.
//
// Label values are services, upstreams, outcomes and queues. The configuration bounds their number, and so the number
// of time series.
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

// reportInterval is how often tally publishes values to the handler.
const reportInterval = time.Second

// latencyBuckets have a boundary at the latency objective of 19 ms, and one on either side of it.
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

// New returns a meter with a Prometheus registry of its own.
func New() *Meter {
	// With the default registry, several hosts in one process, as in tests, would register the same metrics twice.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "rhubarbtrack",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The names of tally's internal metrics are not valid in Prometheus.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Close publishes the last values and stops the meter.
func (m *Meter) Close() error { return m.closer.Close() }

// Handler returns the handler from which Prometheus scrapes the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Request counts a caller's request and its latency by outcome: answered, aborted, abandoned, refused, not-run or
// unknown.
func (m *Meter) Request(service, outcome string, latency time.Duration) {
	scope := m.scope.Tagged(map[string]string{"service": service, "outcome": outcome})
	scope.Counter("requests_total").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(latency)
}

// Quota counts a request of a client account with a limit by outcome: admitted, limited or unavailable. account is the name of one
// of the accounts with the highest limits, or other.
func (m *Meter) Quota(account, outcome string) {
	m.scope.Tagged(map[string]string{"account": account, "outcome": outcome}).Counter("account_requests_total").Inc(1)
}

// ClassDecision counts a decision about a request whose route competes with routes of other priorities: admitted, deferred
// in favour of more urgent requests, or overloaded.
func (m *Meter) ClassDecision(service, route, outcome string) {
	m.scope.Tagged(map[string]string{"service": service, "route": route, "outcome": outcome}).Counter("class_decisions_total").Inc(1)
}

// BodyMemory sets the bytes of bodies that the host holds, and the number of requests that wait for room for theirs.
func (m *Meter) BodyMemory(bytes int64, waiting int) {
	m.scope.Gauge("body_bytes").Update(float64(bytes))
	m.scope.Gauge("bodies_waiting").Update(float64(waiting))
}

// Dropped counts a message that was dropped because the named queue was full.
func (m *Meter) Dropped(queue string) {
	m.scope.Tagged(map[string]string{"ring": queue}).Counter("ring_overflows_total").Inc(1)
}

// Authentication counts the decision about the key of a request: allowed, not-needed, unknown, outdated or undecided.
func (m *Meter) Authentication(decision string) {
	m.scope.Tagged(map[string]string{"decision": decision}).Counter("authentications_total").Inc(1)
}

// Bytes counts bytes that were sent or received (direction) by kind: unkeyed, keyed, unkeyed-upload and keyed-upload for requests to
// upstreams, hosts and store. domain is own or other, as seen from this host, or unknown.
func (m *Meter) Bytes(kind, direction, domain string, bytes int64) {
	m.scope.Tagged(map[string]string{"kind": kind, "direction": direction, "domain": domain}).Counter("transferred_bytes_total").Inc(bytes)
}

// Configuration sets the version of the configuration that this host has applied, and the time since it was last known to be the newest.
func (m *Meter) Configuration(version int64, age time.Duration) {
	m.scope.Gauge("configuration_version").Update(float64(version))
	m.scope.Gauge("configuration_age_seconds").Update(age.Seconds())
}

// StoreGeneration sets the latest generation of the store that this host has received.
func (m *Meter) StoreGeneration(generation int64) {
	m.scope.Gauge("store_generation").Update(float64(generation))
}

// ConfigurationRead counts a call for the configuration by source (store or controller) and outcome (read or failed), and the time
// in which the bytes of a response arrived.
func (m *Meter) ConfigurationRead(source, outcome string, taken time.Duration) {
	scope := m.scope.Tagged(map[string]string{"source": source, "outcome": outcome})
	scope.Counter("configuration_reads_total").Inc(1)
	if outcome == "read" {
		scope.Histogram("configuration_transfer_seconds", latencyBuckets).RecordDuration(taken)
	}
}

// LeavingShare sets the highest share of the requests of a service that leave the failure domain of this host.
func (m *Meter) LeavingShare(service string, share float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge("leaving_share").Update(share)
}

// UpstreamNotice counts a first notice of an upstream of a service: leaving or paused.
func (m *Meter) UpstreamNotice(service, kind string) {
	m.scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("upstream_notices_total").Inc(1)
}

// ControlSent counts bytes that this host has sent to other hosts as controller, with the heads of packets.
func (m *Meter) ControlSent(bytes int) { m.scope.Counter("control_sent_bytes_total").Inc(int64(bytes)) }

// ControlShed counts entries that did not fit into the messages of the controller, by part: loads, run-times, tables or full-states.
func (m *Meter) ControlShed(part string, entries int) {
	m.scope.Tagged(map[string]string{"part": part}).Counter("control_shed_total").Inc(int64(entries))
}

// Panicked counts a panic that was contained in the named task.
func (m *Meter) Panicked(task string) {
	m.scope.Tagged(map[string]string{"task": task}).Counter("panics_total").Inc(1)
}

// Admission sets the gauges of admission control for one upstream, in requests.
func (m *Meter) Admission(service, upstream string, limit, inFlight, queued int) {
	scope := m.scope.Tagged(map[string]string{"service": service, "upstream": upstream})
	scope.Gauge("admission_limit").Update(float64(limit))
	scope.Gauge("admission_in_flight").Update(float64(inFlight))
	scope.Gauge("admission_queued").Update(float64(queued))
}

// Terms sets the controller term of every service that this host controls.
func (m *Meter) Terms(terms map[string]uint64) {
	for service, term := range terms {
		m.scope.Tagged(map[string]string{"service": service}).Gauge("controller_term").Update(float64(term))
	}
}

// Relay sets whether this host is connected to the relay tree, and the configuration revision that it has applied.
func (m *Meter) Relay(connected bool, revision uint64) {
	value := 0.0
	if connected {
		value = 1
	}
	m.scope.Gauge("relay_connected").Update(value)
	m.scope.Gauge("configuration_revision").Update(float64(revision))
}
