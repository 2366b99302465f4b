// Package confirmer decides when the process of an upstream has certainly ended.
//
// An upstream that has crashed leaves its keys without an owner until its grants expire. If its process has ended, it has
// none, and the keys can go to others at once. A host whose connection is refused proves nothing alone: a part of the
// network may reset its connections while others reach the upstream. The verdict needs nearly all hosts to be refused
// and none to be answered.
//
// # Usage
//
//	c := confirmer.New()
//	c.Refused(now, host, upstream)
//	c.Reached(upstream)
//	for _, id := range c.Suspects(now) { ... }   // every host should try to connect
//	for _, id := range c.Ended(now, hosts) { ... }
//
// A Confirmer is not safe for concurrent use. Times are durations since an arbitrary origin.
package confirmer

import (
	"math"
	"sort"
	"time"
)

const (
	// evidenceLife is how long a refusal counts: two rounds of reports and beats, and the attempts between them.
	evidenceLife = 1500 * time.Millisecond
	// leastShare of the hosts must have been refused. Partial failures of the network that operators describe affect a
	// third to a half of the hosts.
	leastShare = 0.8
	// leastHosts must have been refused, however few there are.
	leastHosts = 3
	// leastSilences is the number of hosts without an answer that make a suspect.
	leastSilences = 2
)

// Confirmer holds the evidence about upstreams that refuse connections.
type Confirmer struct {
	refusals map[string]map[string]time.Duration // upstream, host: time of the last refusal
	silences map[string]map[string]time.Duration // the same for attempts without an answer
}

// New returns a confirmer without evidence.
func New() *Confirmer {
	return &Confirmer{
		refusals: map[string]map[string]time.Duration{}, silences: map[string]map[string]time.Duration{},
	}
}

// RecordRefusal notes that an upstream's address refused a connection of a host.
func (c *Confirmer) RecordRefusal(now time.Duration, host, upstream string) {
	note(c.refusals, now, host, upstream)
}

// RecordTimeout notes that an upstream did not answer a host's attempt to connect. That is no evidence of its end.
func (c *Confirmer) RecordTimeout(now time.Duration, host, upstream string) {
	note(c.silences, now, host, upstream)
}

func note(evidence map[string]map[string]time.Duration, now time.Duration, host, upstream string) {
	if evidence[upstream] == nil {
		evidence[upstream] = map[string]time.Duration{}
	}
	evidence[upstream][host] = now
}

// RecordSuccess notes that a host was answered by an upstream or could connect to it. Earlier failures prove nothing then.
func (c *Confirmer) RecordSuccess(upstream string) {
	delete(c.refusals, upstream)
	delete(c.silences, upstream)
}

// Suspects returns the upstreams that a host could not reach: one host if it was refused, two if there was no answer,
// since the path of a single host may be cut.
func (c *Confirmer) Suspects(now time.Duration) []string {
	expire(c.refusals, now)
	expire(c.silences, now)
	var ids []string
	for id := range c.refusals {
		ids = append(ids, id)
	}
	for id, hosts := range c.silences {
		if len(hosts) >= leastSilences && c.refusals[id] == nil {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func expire(evidence map[string]map[string]time.Duration, now time.Duration) {
	for id, hosts := range evidence {
		for host, at := range hosts {
			if now >= at+evidenceLife {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(evidence, id)
		}
	}
}

// Stopped returns the upstreams whose process has certainly ended, when there are as many connected hosts.
func (c *Confirmer) Stopped(now time.Duration, hosts int) []string {
	needed := max(leastHosts, int(math.Ceil(leastShare*float64(hosts))))
	var ended []string
	for _, id := range c.Suspects(now) {
		if len(c.refusals[id]) >= needed {
			ended = append(ended, id)
		}
	}
	return ended
}
