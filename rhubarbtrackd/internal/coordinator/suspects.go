package coordinator

import (
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// detectSuspects stops the routing to upstreams that nearly all hosts fail to reach, and asks all hosts to probe those that
// some hosts fail to reach.
func (c *Coordinator) detectSuspects(now time.Duration) {
	for _, upstream := range c.failures.DetectSuspects(now, len(c.hub.Peers())+1) {
		c.logSuspect(upstream, "connections refused")
	}
	if doubted := len(c.failures.Doubted(now)); doubted > c.sentDoubted {
		c.broadcast(now)
	}
}

func (c *Coordinator) logSuspect(upstream identifier.Incarnation, reason string) {
	u, _ := c.snapshot.Upstream(upstream)
	c.options.Log.Log(eventlog.UpstreamSuspected, zap.String("upstream", upstream.ID), zap.Int64("start", upstream.Start),
		zap.String("service", u.Service), zap.Int("hosts", len(c.hub.Peers())+1), zap.String("reason", reason))
}

// suspects reports whether an upstream is suspected. A draining upstream refuses connections while it finishes its work.
func (c *Coordinator) suspects(u registrar.Upstream) bool {
	return !u.Draining && c.failures.Suspected(u.Incarnation)
}

// keyedSuspects returns the suspected upstreams that may own keys. They get no requests, whose responses would end the suspicion.
func (c *Coordinator) keyedSuspects() []identifier.Incarnation {
	var keyed []identifier.Incarnation
	for _, suspect := range c.failures.Suspects() {
		if u, ok := c.snapshot.Upstream(suspect); ok && c.services[u.Service] != nil {
			keyed = append(keyed, suspect)
		}
	}
	return keyed
}
