// Package confirmer confirms that the process of an upstream has stopped.
//
// The keys of a crashed upstream normally have no owner until its grants expire. The grants of a stopped process are
// void, so after a confirmation the keys can be granted to other upstreams immediately. A refused connection of one
// host is not sufficient: a part of the network may reset the connections of this host while other hosts reach the
// upstream. A confirmation requires that the connections of nearly all hosts are refused and that no host gets a
// response.
//
// # Usage
//
//	c := confirmer.New()
//	c.RecordRefusal(now, host, upstream)
//	c.RecordSuccess(upstream)
//	for _, id := range c.Suspects(now) { ... }   // every host should try to connect
//	for _, id := range c.Stopped(now, hosts) { ... }
//
// A Confirmer is not safe for concurrent use. Times are durations since an arbitrary origin.
package confirmer

import (
	"math"
	"sort"
	"time"
)

const (
	// failureTTL is how long a refusal or time-out counts: two rounds of reports and heartbeats, and the connection
	// attempts between them.
	failureTTL = 1500 * time.Millisecond
	// minRefusedShare is the share of hosts that must have been refused. Partial network failures that operators describe
	// affect a third to a half of the hosts.
	minRefusedShare = 0.8
	// minRefusedHosts is the number of hosts that must have been refused, even if fewer are connected.
	minRefusedHosts = 3
	// minTimedOutHosts is the number of hosts with a time-out from which an upstream is suspected.
	minTimedOutHosts = 2
)

// Confirmer records failed connections to upstreams.
type Confirmer struct {
	refusals map[string]map[string]time.Duration // time of the last refusal by upstream and host
	timeouts map[string]map[string]time.Duration // time of the last time-out by upstream and host
}

// New returns a Confirmer without records.
func New() *Confirmer {
	return &Confirmer{
		refusals: map[string]map[string]time.Duration{}, timeouts: map[string]map[string]time.Duration{},
	}
}

// RecordRefusal records that the address of an upstream refused a connection of a host.
func (c *Confirmer) RecordRefusal(now time.Duration, host, upstream string) {
	record(c.refusals, now, host, upstream)
}

// RecordTimeout records that an upstream did not respond to a connection attempt of a host. Time-outs make an upstream
// suspected. They never confirm that it has stopped, because the network may drop packets.
func (c *Confirmer) RecordTimeout(now time.Duration, host, upstream string) {
	record(c.timeouts, now, host, upstream)
}

func record(failures map[string]map[string]time.Duration, now time.Duration, host, upstream string) {
	if failures[upstream] == nil {
		failures[upstream] = map[string]time.Duration{}
	}
	failures[upstream][host] = now
}

// RecordSuccess records that a host got a response from an upstream or connected to it. It discards earlier failures.
func (c *Confirmer) RecordSuccess(upstream string) {
	delete(c.refusals, upstream)
	delete(c.timeouts, upstream)
}

// Suspects returns the IDs of the upstreams that may have stopped: those that refused a connection of at least one
// host, or did not respond to at least two, because the network path of a single host may have failed.
func (c *Confirmer) Suspects(now time.Duration) []string {
	expire(c.refusals, now)
	expire(c.timeouts, now)
	var ids []string
	for id := range c.refusals {
		ids = append(ids, id)
	}
	for id, hosts := range c.timeouts {
		if len(hosts) >= minTimedOutHosts && c.refusals[id] == nil {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func expire(failures map[string]map[string]time.Duration, now time.Duration) {
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

// Stopped returns the IDs of the upstreams whose process is confirmed to have stopped. hosts is the number of connected
// hosts.
func (c *Confirmer) Stopped(now time.Duration, hosts int) []string {
	needed := max(minRefusedHosts, int(math.Ceil(minRefusedShare*float64(hosts))))
	var stopped []string
	for _, id := range c.Suspects(now) {
		if len(c.refusals[id]) >= needed {
			stopped = append(stopped, id)
		}
	}
	return stopped
}
