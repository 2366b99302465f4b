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
//	c.Reached(now, upstream)
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
)

// Confirmer holds the evidence about upstreams that refuse connections.
type Confirmer struct {
	refusals map[string]map[string]time.Duration // upstream, host: time of the last refusal
}

// New returns a confirmer without evidence.
func New() *Confirmer { return &Confirmer{refusals: map[string]map[string]time.Duration{}} }

// Refused notes that an upstream's address refused a connection of a host.
func (c *Confirmer) Refused(now time.Duration, host, upstream string) {
	if c.refusals[upstream] == nil {
		c.refusals[upstream] = map[string]time.Duration{}
	}
	c.refusals[upstream][host] = now
}

// Reached notes that a host was answered by an upstream or could connect to it. Earlier refusals prove nothing then.
func (c *Confirmer) Reached(upstream string) { delete(c.refusals, upstream) }

// Suspects returns the upstreams with evidence against them.
func (c *Confirmer) Suspects(now time.Duration) []string {
	var ids []string
	for id, hosts := range c.refusals {
		for host, at := range hosts {
			if now >= at+evidenceLife {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(c.refusals, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Ended returns the upstreams whose process has certainly ended, when there are as many connected hosts.
func (c *Confirmer) Ended(now time.Duration, hosts int) []string {
	needed := max(leastHosts, int(math.Ceil(leastShare*float64(hosts))))
	var ended []string
	for _, id := range c.Suspects(now) {
		if len(c.refusals[id]) >= needed {
			ended = append(ended, id)
		}
	}
	return ended
}
