package coordinator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/pacer"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// broadcast sends every host a heartbeat with the load reports and suspects of all hosts, and applies it on this host.
func (c *Coordinator) broadcast(now time.Duration) {
	c.fullEntries = 0
	c.apportion(now)
	loads := c.takeLoads(now)
	runTimes := c.takeRunTimes(now)
	update := connector.Heartbeat{
		Loads: c.encodeLoads(loads, runTimes), Packed: c.pacing.packer.Pack(loads, runTimes), Doubted: tags(c.failures.Doubted(now)),
	}
	c.sentDoubted = len(update.Doubted)
	// A host that has just connected gets all run times, the others get the changes.
	first := sync.OnceValue(func() connector.Heartbeat {
		all := c.profiler.All()
		return connector.Heartbeat{Loads: c.encodeLoads(loads, all), Packed: c.pacing.packer.Pack(loads, all)}
	})
	c.beginTables(now)
	signatures := c.signatures.takeChanged()
	sent := c.sendHeartbeats(now, func(peer *connector.Peer, heartbeat *connector.Heartbeat) {
		heartbeat.Signatures = signatures
		if !c.sentSignatures[peer] {
			c.sentSignatures[peer] = true
			heartbeat.Signatures = sharedSignatures(c.options.Suspector.Reports(now))
		}
		heartbeat.Loads, heartbeat.Packed, heartbeat.Doubted = update.Loads, update.Packed, update.Doubted
		if !c.sentRunTimes[peer] {
			c.sentRunTimes[peer] = true
			heartbeat.Loads, heartbeat.Packed = first().Loads, first().Packed
		}
	})
	c.options.OnHeartbeat(connector.Heartbeat{
		Term: c.contender.Term(), Valid: true, Index: sent.own, Hosts: sent.hosts, Loads: update.Loads, Doubted: update.Doubted,
		Suspects: tags(c.keyedSuspects()), MadeAt: c.options.Now(), Quotas: c.grantsFor(nil),
	})
}

// sendHeartbeats sends every host a heartbeat with the state of the controller and the changes to tables and to the copy
// of the store. complete adds the rest; it may be nil. The result has the positions that were sent.
func (c *Coordinator) sendHeartbeats(now time.Duration, complete func(*connector.Peer, *connector.Heartbeat)) positions {
	peers := c.hub.Peers()
	sent := c.hostList.positions(now, peers)
	for _, peer := range peers {
		heartbeat := c.newHeartbeat(now, peer, sent.index[peer], sent.hosts)
		if complete != nil {
			complete(peer, &heartbeat)
		}
		heartbeat.Addresses = c.hostList.update(peer)
		c.send(peer, heartbeat)
	}
	return sent
}

// maxFullEntries bounds the entries of full states that are sent between two broadcasts. The hosts that wait get their full
// state with a later heartbeat. Full states for 300 hosts with 3,000 upstreams at once take the link of the controller for
// seconds, and hosts close their connections and begin again.
const maxFullEntries = 40_000

// allowEntries reports whether a host may get the given number of entries of a full state, and counts them.
func (c *Coordinator) allowEntries(now time.Duration, entries int) bool {
	if entries == 0 {
		return true
	}
	if c.fullEntries > 0 && c.fullEntries+entries > maxFullEntries {
		return false
	}
	if !c.pacing.pacer.TakeFullState(now) {
		c.options.OnShed(partNames[pacer.FullStates], entries)
		return false
	}
	c.fullEntries += entries
	return true
}

// missingTableEntries returns the number of rows of the tables that the connection of a host has not carried.
func (c *Coordinator) missingTableEntries(peer *connector.Peer) int {
	entries := 0
	for service, svc := range c.services {
		if c.sentTables[peer][service] == nil {
			entries += len(svc.routingTable)
		}
	}
	return entries
}

// resumeCopy lets the relay of a host that has just connected begin with changes, if the host has the present copy already.
func (c *Coordinator) resumeCopy(peer *connector.Peer, report connector.Report) {
	if report.CopyDigest == 0 || c.snapshot == nil || c.sentSnapshots[peer] != nil || report.CopyDigest != c.snapshot.Digest() {
		return
	}
	c.sentSnapshots[peer], c.resumed[peer] = c.snapshot, report.CopyDigest
}

// missingCopyEntries returns the number of upstreams in the next change of the copy of the store, if the connection of a host has
// carried none.
func (c *Coordinator) missingCopyEntries(now time.Duration, peer *connector.Peer) int {
	switch {
	case c.sentSnapshots[peer] == nil:
		return len(c.snapshot.Upstreams)
	case c.resumed[peer] != 0:
		return len(coldUpstreams(now, c.snapshot))
	}
	return 0
}

// copyChange returns the next change of the copy of the store for a host, and records it as sent.
func (c *Coordinator) copyChange(now time.Duration, peer *connector.Peer) follower.Change {
	change := changeSince(now, c.sentSnapshots[peer], c.snapshot)
	c.sentSnapshots[peer] = c.snapshot
	if base := c.resumed[peer]; base != 0 {
		// The digest does not cover cold phases. The host may have missed those that began while it had no controller.
		change.Base, change.Puts = base, append(change.Puts, coldUpstreams(now, c.snapshot)...)
		delete(c.resumed, peer)
	}
	return change
}

// coldUpstreams returns the upstreams that are cold at now.
func coldUpstreams(now time.Duration, snapshot *follower.Snapshot) []registrar.Upstream {
	var cold []registrar.Upstream
	for _, u := range snapshot.Upstreams {
		if now < u.ColdEnd {
			cold = append(cold, u)
		}
	}
	return cold
}

// newStatus returns a heartbeat with the state of the lease and tokens of client accounts, which the pacer never holds back.
func (c *Coordinator) newStatus(now time.Duration, peer *connector.Peer, index, hosts int) connector.Heartbeat {
	lease := c.contender.LeaseStatus(now)
	heartbeat := connector.Heartbeat{
		Term: lease.Term, Revision: lease.Revision, Generation: lease.Generation, Origin: lease.Origin, Remaining: lease.Remaining,
		Valid: c.contender.Valid(now), Index: index, Hosts: hosts,
	}
	peer.StampEcho(&heartbeat)
	heartbeat.Quotas = c.grantsFor(peer)
	return heartbeat
}

// newHeartbeat returns a heartbeat with the changes to tables and to the copy of the store that may be sent now.
func (c *Coordinator) newHeartbeat(now time.Duration, peer *connector.Peer, index, hosts int) connector.Heartbeat {
	heartbeat := c.newStatus(now, peer, index, hosts)
	hasCopy := c.contender.Valid(now) && !c.contender.RenewalOverdue(now) && c.options.Follower.Direct()
	// Tables go first: keys need owners, whereas a host without the copy reads the store.
	hasTables := !c.pacing.tablesHeld
	hasFullTables := hasTables && c.allowEntries(now, c.missingTableEntries(peer))
	if hasCopy && c.allowEntries(now, c.missingCopyEntries(now, peer)) {
		heartbeat.HasCopy = true
		heartbeat.Copy = c.copyChange(now, peer)
		// Read after the echo was stamped, and counted from the confirmation of the copy that is sent: a process that stands still in
		// between would pass on an old configuration as a new one.
		heartbeat.Copy.Age = c.options.Now() - c.confirmedAt
	}
	if !hasTables {
		return heartbeat
	}
	known := c.sentTables[peer]
	if known == nil {
		known = map[string]allocator.RoutingTable{}
		c.sentTables[peer] = known
	}
	for service, svc := range c.services {
		if len(svc.routingTable) == 0 {
			continue
		}
		old, full := known[service], known[service] == nil
		if full && !hasFullTables {
			continue // the tables that the host has still follow their changes
		}
		change := connector.TableChange{Service: service, Full: full, Rows: svc.routingTable}
		if !full {
			change.Rows = svc.routingTable.Diff(old)
		}
		if len(change.Rows) > 0 {
			heartbeat.Tables = append(heartbeat.Tables, change)
			known[service] = svc.routingTable
		}
	}
	return heartbeat
}

func (c *Coordinator) send(peer *connector.Peer, heartbeat connector.Heartbeat) {
	now := c.options.Now()
	if err := c.hub.Send(now, peer, heartbeat); err != nil {
		c.options.Log.Log(eventlog.QueueOverflow, zap.String("ring", "beats"), zap.String("host", peer.Host), eventlog.Cause(err))
	}
	if heartbeat.Quotas != nil {
		c.quotas.controller.Confirm(c.options.Now(), peer)
	}
	sent := c.hub.TakeSent()
	if hasFullState(heartbeat) {
		c.pacing.pacer.SpendFullState(now, sent)
	} else {
		c.pacing.pacer.Spend(now, sent)
	}
	c.options.OnSent(sent)
}

// hasFullState reports whether a heartbeat carries the copy of the store or a table to a host that had none, or the cold upstreams to
// one that resumes the relay.
func hasFullState(heartbeat connector.Heartbeat) bool {
	resumes := heartbeat.Copy.Base != 0 && len(heartbeat.Copy.Puts) > 0
	return heartbeat.HasCopy && (heartbeat.Copy.Full || resumes) ||
		slices.ContainsFunc(heartbeat.Tables, func(change connector.TableChange) bool { return change.Full })
}

// changeSince returns the change from old to snapshot, or the full copy if old is nil.
func changeSince(now time.Duration, old, snapshot *follower.Snapshot) follower.Change {
	change := follower.Change{
		Full: old == nil, Revision: snapshot.Revision, Generation: snapshot.Generation, DrainAges: map[string]time.Duration{}, TakeOutAges: map[string]time.Duration{},
	}
	if snapshot.Config != nil {
		change.Configuration = snapshot.Config.Version
	}
	for domain, since := range snapshot.TakenOut {
		change.TakenOut = append(change.TakenOut, domain)
		change.TakeOutAges[domain] = now - since
	}
	if old == snapshot {
		return change
	}
	change.Kept = slices.Sorted(maps.Keys(snapshot.Kept))
	for id, u := range snapshot.Upstreams {
		// Hosts may have left out an upstream while it was kept.
		if old == nil || old.Upstreams[id] != u || old.Kept[id] && !snapshot.Kept[id] {
			change.Puts = append(change.Puts, u)
			if since, ok := snapshot.Draining[u.Incarnation]; ok {
				change.DrainAges[id] = now - since
			}
		}
	}
	if old == nil {
		return change
	}
	for id := range old.Upstreams {
		if _, ok := snapshot.Upstreams[id]; !ok {
			change.Removed = append(change.Removed, id)
		}
	}
	return change
}
