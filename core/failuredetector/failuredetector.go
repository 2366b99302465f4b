// Package failuredetector finds upstreams that hosts cannot reach.
//
// A refused or reset connection and a time-out are what a stopped process looks like, and what a partition of the network
// looks like. A Detector therefore only suspects: requests are sent elsewhere or rejected, and no keys are assigned to a
// suspect. It never shows that a process has stopped, however many hosts agree. The hosts that still reach the upstream may
// be on the other side of the partition, where their reports do not arrive. Grants of a suspect stay valid until they expire
// or the upstream releases them.
//
// Upstreams are incarnations: failures to reach a process say nothing about the next one with its ID.
//
// # Usage
//
//	d := failuredetector.New()
//	d.RecordRefusal(now, host, upstream)
//	d.RecordSuccess(at, upstream)
//	for _, id := range d.Doubted(now) { ... }        // every host should try to connect
//	for _, id := range d.DetectSuspects(now, hosts)  // newly suspected
//	if d.Suspected(id) { ... }
//
// A Detector is not safe for concurrent use. Times are durations since an arbitrary origin.
package failuredetector

import (
	"math"
	"slices"
	"time"

	"rhubarbtrack.example/core/identifier"
)

const (
	// failureTTL is how long a refusal or time-out counts: two rounds of reports and heartbeats, and the connection
	// attempts between them.
	failureTTL = 1500 * time.Millisecond
	// minRefusedShare is the share of the connected hosts that must have been refused. Below it, requests reach the upstream
	// through the other hosts.
	minRefusedShare = 0.8
	// minRefusedHosts is the number of hosts that must have been refused, even if fewer are connected.
	minRefusedHosts = 3
	// minTimedOutHosts is the number of hosts with a time-out from which an upstream is doubted.
	minTimedOutHosts = 2
)

// Detector records failed connections to upstreams.
type Detector struct {
	refusals map[identifier.Incarnation]map[string]time.Duration // time of the last refusal by upstream and host
	timeouts map[identifier.Incarnation]map[string]time.Duration // time of the last time-out by upstream and host
	suspects map[identifier.Incarnation]time.Duration            // time of the suspicion by upstream
}

// New returns a Detector without records.
func New() *Detector {
	return &Detector{
		refusals: map[identifier.Incarnation]map[string]time.Duration{}, timeouts: map[identifier.Incarnation]map[string]time.Duration{},
		suspects: map[identifier.Incarnation]time.Duration{},
	}
}

// RecordRefusal records that the address of an upstream refused a connection of a host.
func (d *Detector) RecordRefusal(now time.Duration, host string, upstream identifier.Incarnation) {
	record(d.refusals, now, host, upstream)
}

// RecordTimeout records that an upstream did not respond to a connection attempt of a host.
func (d *Detector) RecordTimeout(now time.Duration, host string, upstream identifier.Incarnation) {
	record(d.timeouts, now, host, upstream)
}

func record(failures map[identifier.Incarnation]map[string]time.Duration, now time.Duration, host string, upstream identifier.Incarnation) {
	if failures[upstream] == nil {
		failures[upstream] = map[string]time.Duration{}
	}
	failures[upstream][host] = now
}

// RecordSuccess records that a host got a response from an upstream, or connected to it, at the given time. It discards
// earlier failures and ends an earlier suspicion.
func (d *Detector) RecordSuccess(at time.Duration, upstream identifier.Incarnation) {
	for _, records := range []map[identifier.Incarnation]map[string]time.Duration{d.refusals, d.timeouts} {
		for host, failedAt := range records[upstream] {
			if failedAt <= at {
				delete(records[upstream], host)
			}
		}
		if len(records[upstream]) == 0 {
			delete(records, upstream)
		}
	}
	if since, ok := d.suspects[upstream]; ok && since <= at {
		delete(d.suspects, upstream)
	}
}

// Suspect makes an upstream suspected, because it has left all orders of the controller without a response for too long.
func (d *Detector) Suspect(now time.Duration, upstream identifier.Incarnation) {
	d.suspects[upstream] = now
}

// Suspected reports whether an upstream is suspected.
func (d *Detector) Suspected(upstream identifier.Incarnation) bool {
	_, ok := d.suspects[upstream]
	return ok
}

// Suspects returns the suspected upstreams. They stay suspected until RecordSuccess or Forget.
func (d *Detector) Suspects() []identifier.Incarnation {
	ids := make([]identifier.Incarnation, 0, len(d.suspects))
	for id := range d.suspects {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, identifier.Compare)
	return ids
}

// Forget discards the records of upstreams for which keep returns false.
func (d *Detector) Forget(keep func(upstream identifier.Incarnation) bool) {
	for _, records := range []map[identifier.Incarnation]map[string]time.Duration{d.refusals, d.timeouts} {
		for id := range records {
			if !keep(id) {
				delete(records, id)
			}
		}
	}
	for id := range d.suspects {
		if !keep(id) {
			delete(d.suspects, id)
		}
	}
}

// Doubted returns the upstreams that every host should try to reach: those that refused a connection of at least
// one host, or did not respond to at least two, because the network path of a single host may have failed.
func (d *Detector) Doubted(now time.Duration) []identifier.Incarnation {
	expire(d.refusals, now)
	expire(d.timeouts, now)
	var ids []identifier.Incarnation
	for id := range d.refusals {
		ids = append(ids, id)
	}
	for id, hosts := range d.timeouts {
		if len(hosts) >= minTimedOutHosts && d.refusals[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, identifier.Compare)
	return ids
}

func expire(failures map[identifier.Incarnation]map[string]time.Duration, now time.Duration) {
	for id, hosts := range failures {
		for host, at := range hosts {
			if now >= at+failureTTL {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(failures, id)
		}
	}
}

// DetectSuspects makes the upstreams suspected that have refused the connections of nearly all hosts, and returns those that
// were not suspected before. hosts is the number of connected hosts.
func (d *Detector) DetectSuspects(now time.Duration, hosts int) []identifier.Incarnation {
	needed := max(minRefusedHosts, int(math.Ceil(minRefusedShare*float64(hosts))))
	var detected []identifier.Incarnation
	for _, id := range d.Doubted(now) {
		if len(d.refusals[id]) < needed {
			continue
		}
		// The hosts need not try to connect any longer.
		delete(d.refusals, id)
		delete(d.timeouts, id)
		if !d.Suspected(id) {
			d.suspects[id] = now
			detected = append(detected, id)
		}
	}
	return detected
}
