package coordinator

import (
	"time"

	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// handleHeartbeat applies a heartbeat of the controller. Heartbeats of an older term are ignored.
func (c *Coordinator) handleHeartbeat(heartbeat connector.Heartbeat) {
	now := c.options.Now()
	if heartbeat.Term < c.contender.Term() || c.contender.IsHolder() {
		return
	}
	c.options.Store.ObserveGeneration(heartbeat.Generation)
	c.lastHeartbeat = now
	if heartbeat.Valid {
		c.stepElection(c.ctx, contender.HeartbeatReceived{Lease: contender.LeaseStatus{
			Term: heartbeat.Term, Generation: heartbeat.Generation, Origin: heartbeat.Origin, Revision: heartbeat.Revision,
			Remaining: heartbeat.Remaining,
		}})
	}
	if heartbeat.Resigned {
		c.stepElection(c.ctx, contender.HolderResigned{Lease: contender.LeaseStatus{
			Term: heartbeat.Term, Generation: heartbeat.Generation, Origin: heartbeat.Origin, Revision: heartbeat.Revision,
		}})
		return
	}
	for _, change := range heartbeat.Tables {
		c.isRouted = true
		if change.Full {
			c.options.Tables.Replace(change.Service, change.Rows)
			continue
		}
		c.options.Tables.Overlay(change.Service, change.Rows)
	}
	if heartbeat.HasCopy && !c.options.Follower.ApplyChange(heartbeat.Copy) {
		if heartbeat.Copy.Base != 0 {
			c.resumeFailed.Store(true)
		}
		c.needsFullCopy.Store(true)
	}
	if disproved := c.options.Suspector.Merge(now, heartbeat.Signatures); len(disproved) > 0 {
		c.options.OnDisproved(disproved...)
		c.requestReport()
	}
	c.hostList.replace(now, heartbeat.Addresses)
	c.options.OnHeartbeat(heartbeat)
}

// leaves reports whether an upstream has sent a leaving notice to a host.
func (c *Coordinator) leaves(now time.Duration, u registrar.Upstream) bool {
	reportedAt, ok := c.leaving[u.Incarnation]
	return ok && now < reportedAt+leavingTimeout
}

// usable reports whether an upstream may be assigned keys.
func usable(snapshot *follower.Snapshot, u registrar.Upstream) bool {
	_, out := snapshot.TakenOut[u.Domain]
	return !u.Draining && !out
}
