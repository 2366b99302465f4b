package controller

import (
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// host is the state of one host as last reported by its heartbeats.
type host struct {
	incarnation          string
	previousIncarnations []string // oldest first; their delayed messages are ignored
	failureDomain        string
	leaving              bool
	lastHeartbeat        time.Duration // receipt of the latest heartbeat, 0 when there is none of this incarnation
	lastSent             time.Duration // sending time of that heartbeat by the clock of the host
	leasesDue            bool
	unconfirmed          bool // the latest heartbeat reports leases that may date from before the takeover
	leaseCount           int  // number of leases in the latest SendLeases
}

// maxPreviousIncarnations bounds the remembered incarnations of a host.
const maxPreviousIncarnations = 8

// admission is the admission role of one upstream: one host at a time admits requests to it.
type admission struct {
	host        string
	epoch       uint64
	assigned    bool // host holds the role; otherwise host is only the preferred one from the stored table
	uncommitted bool // the role takes effect once the table is stored
	operation   uint64
	releasing   bool
	leaseEnd    time.Duration // no host can hold an admission lease after this
}

// applyStored makes the host of the stored table the preferred one.
func (a *admission) applyStored(entry slicer.Admission) {
	if a.assigned {
		a.epoch = max(a.epoch, entry.Epoch)
		return
	}
	a.host = entry.Host
	a.epoch = entry.Epoch
}

// commit makes the role effective if the table write with this number contained it, and reports whether it did.
func (a *admission) commit(operation uint64) bool {
	started := a.uncommitted && a.operation == operation
	a.uncommitted = a.uncommitted && !started
	return started
}

func (c *Controller) applyHeartbeat(now time.Duration, heartbeat Heartbeat) {
	known, ok := c.hosts[heartbeat.Host]
	if !ok {
		known = &host{incarnation: heartbeat.Incarnation}
		c.hosts[heartbeat.Host] = known
	}
	if slices.Contains(known.previousIncarnations, heartbeat.Incarnation) {
		return
	}
	if known.incarnation != heartbeat.Incarnation {
		// A delayed heartbeat may come from an earlier process that is unknown to this controller. Treating it as a
		// restart would end the leases of the running process. Only a running process replies to the query.
		if heartbeat.Term != c.term {
			c.queryHost(heartbeat.Host, heartbeat.Incarnation)
			return
		}
		c.restartHost(heartbeat.Host, known, heartbeat.Incarnation)
	}
	if known.lastHeartbeat > 0 && heartbeat.Sent < known.lastSent {
		return
	}
	known.failureDomain = heartbeat.FailureDomain
	known.leaving = heartbeat.Leaving
	known.lastHeartbeat = max(now, 1)
	known.lastSent = heartbeat.Sent
	known.leasesDue = true
	known.unconfirmed = heartbeat.Term != c.term && len(heartbeat.Leases) > 0
	if known.unconfirmed {
		return
	}
	for _, lease := range heartbeat.Leases {
		c.adoptLease(now, heartbeat.Host, lease)
	}
}

// restartHost records a new incarnation of the host. The leases of the previous one ended with its process.
func (c *Controller) restartHost(name string, known *host, incarnation string) {
	known.previousIncarnations = append(known.previousIncarnations, known.incarnation)
	if len(known.previousIncarnations) > maxPreviousIncarnations {
		known.previousIncarnations = known.previousIncarnations[1:]
	}
	known.incarnation = incarnation
	known.lastHeartbeat = 0
	known.lastSent = 0
	for _, upstream := range c.upstreams {
		role := &upstream.admission
		if role.assigned && role.host == name {
			role.leaseEnd = 0
		}
	}
}

// adoptLease restores, after a takeover, the host that an earlier controller chose. The heartbeat must have been sent
// after the takeover: the earlier controller may have reassigned a lease that a delayed heartbeat reports.
func (c *Controller) adoptLease(now time.Duration, name string, lease HeldLease) {
	upstream, ok := c.upstreams[lease.Upstream]
	if !ok || upstream.admission.assigned || now >= upstream.admission.leaseEnd {
		return
	}
	role := &upstream.admission
	if lease.Epoch < role.epoch {
		return
	}
	if role.host != name || role.epoch != lease.Epoch {
		c.store.dirty = true
		c.markTableChanged()
	}
	role.host = name
	role.epoch = lease.Epoch
	role.assigned = true
}

func (c *Controller) applyStop(answer StopAnswer) {
	known, ok := c.hosts[answer.Host]
	upstream := c.upstreams[answer.Upstream]
	if !ok || upstream == nil || known.incarnation != answer.Incarnation || answer.Term != c.term {
		return
	}
	if upstream.admission.host != answer.Host {
		return
	}
	for _, fence := range answer.Slices {
		s := c.slices[fence.Slice]
		if s == nil || s.stage != stopping || s.owner != answer.Upstream {
			continue
		}
		if s.stopSeq > 0 && answer.Seq >= s.stopSeq && fence.Epoch == s.epoch {
			s.stopped = true
		}
	}
}

func (c *Controller) applyReturn(answer LeaseReturned) {
	known, ok := c.hosts[answer.Host]
	upstream := c.upstreams[answer.Upstream]
	if !ok || upstream == nil || known.incarnation != answer.Incarnation {
		return
	}
	role := &upstream.admission
	if role.host != answer.Host || role.epoch != answer.Epoch || !role.releasing {
		return
	}
	role.leaseEnd = 0
}

// advanceAdmissions reassigns the admission of upstreams whose host is lost or leaving.
func (c *Controller) advanceAdmissions(now time.Duration) {
	for _, name := range c.names() {
		upstream := c.upstreams[name]
		if upstream.removed {
			continue
		}
		c.advanceAdmission(now, name, upstream)
	}
}

func (c *Controller) advanceAdmission(now time.Duration, name string, upstream *upstream) {
	role := &upstream.admission
	if role.uncommitted && c.store.down {
		role.uncommitted = false
		upstream.leasesDue = true
	}
	if role.assigned && c.reachable(now, role.host) {
		c.releaseIfIneligible(now, upstream)
		if !role.releasing {
			return
		}
	}
	if now < role.leaseEnd {
		return
	}
	if !role.assigned && role.host != "" && c.eligible(now, role.host) {
		// All leases of earlier terms have expired, so the preferred host can be given the role without a table
		// write.
		role.assigned = true
		upstream.leasesDue = true
		return
	}
	c.chooseHost(now, name, upstream)
}

// releaseIfIneligible asks a reachable host that is no longer eligible to return the role if another host can assume
// it.
func (c *Controller) releaseIfIneligible(now time.Duration, upstream *upstream) {
	role := &upstream.admission
	if role.releasing || role.uncommitted || c.eligible(now, role.host) || c.store.down {
		return
	}
	if c.bestHost(now, upstream) == "" {
		return
	}
	role.releasing = true
	upstream.leasesDue = true
}

func (c *Controller) chooseHost(now time.Duration, name string, upstream *upstream) {
	role := &upstream.admission
	if now < c.voluntaryAt && role.host == "" {
		return
	}
	best := c.bestHost(now, upstream)
	if best == "" {
		role.releasing = role.releasing && !c.reachable(now, role.host)
		return
	}
	if role.assigned && role.host != best && !role.releasing {
		c.log(Log{Code: AdmissionExpired, Upstream: name, Host: role.host, Term: c.term})
	}
	role.host = best
	role.epoch++
	role.assigned = true
	role.releasing = false
	role.uncommitted = true
	role.operation = 0
	c.store.dirty = true
	c.markTableChanged()
	c.log(Log{Code: AdmissionAssigned, Upstream: name, Host: best, Term: c.term})
}

// reachable reports whether a heartbeat of the host has arrived within unresponsiveTimeout.
func (c *Controller) reachable(now time.Duration, name string) bool {
	known, ok := c.hosts[name]
	return ok && known.lastHeartbeat > 0 && now-known.lastHeartbeat < unresponsiveTimeout
}

// eligible reports whether the host may be assigned admission roles.
func (c *Controller) eligible(now time.Duration, name string) bool {
	if !c.reachable(now, name) {
		return false
	}
	known := c.hosts[name]
	domain := c.snapshot.FailureDomains[known.failureDomain]
	return !known.leaving && !c.hostList[name].Leaving && !domain.TakenOut
}

// bestHost returns the eligible host with the fewest roles. Among equals, it prefers the failure domain of the
// upstream.
func (c *Controller) bestHost(now time.Duration, upstream *upstream) string {
	roles := map[string]int{}
	for _, other := range c.upstreams {
		if other != upstream && other.admission.host != "" {
			roles[other.admission.host]++
		}
	}
	best := ""
	bestCost := 0
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		if !c.eligible(now, name) {
			continue
		}
		cost := 2 * roles[name]
		if c.hosts[name].failureDomain != upstream.config.FailureDomain {
			cost++
		}
		if best == "" || cost < bestCost {
			best = name
			bestCost = cost
		}
	}
	return best
}

// sendLeases replies to heartbeats and pushes changed leases to the hosts that hold them.
func (c *Controller) sendLeases(now time.Duration) {
	if !c.loaded {
		return
	}
	for _, upstream := range c.upstreams {
		if !upstream.leasesDue {
			continue
		}
		upstream.leasesDue = false
		if known, ok := c.hosts[upstream.admission.host]; ok {
			known.leasesDue = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		known := c.hosts[name]
		if known.leasesDue && c.reachable(now, name) && c.sliceListsComplete(now, name) {
			known.leasesDue = false
			c.replyToHost(now, name, known)
		}
	}
}

func (c *Controller) replyToHost(now time.Duration, name string, known *host) {
	if known.unconfirmed {
		c.queryHost(name, known.incarnation)
		return
	}
	c.sendHost(now, name, known)
}

// queryHost asks one incarnation of a host for a heartbeat in the current term.
func (c *Controller) queryHost(name, incarnation string) {
	c.seq++
	c.actions = append(c.actions, SendLeases{
		Query:       true,
		Host:        name,
		Incarnation: incarnation,
		Service:     c.options.Service,
		Term:        c.term,
		Seq:         c.seq,
	})
}

// sliceListsComplete reports whether the Serve lists of a host's leases can be complete. After a takeover they are
// not until the upstreams have reported the slices that they hold.
func (c *Controller) sliceListsComplete(now time.Duration, name string) bool {
	if !c.keyed() || now >= c.acquiredAt+takeoverGrace {
		return true
	}
	for _, upstream := range c.upstreams {
		if upstream.admission.host == name && !upstream.replied && !upstream.removed {
			return false
		}
	}
	return true
}

// sendHost sends all leases of a host. The host counts the lifetime from the sending of its latest heartbeat. The
// controller counts it from the receipt, which is later, and adds DriftMargin, so that it does not reassign a lease
// before the host lets it expire.
func (c *Controller) sendHost(now time.Duration, name string, known *host) {
	message := SendLeases{
		Host:          name,
		Incarnation:   known.incarnation,
		Service:       c.options.Service,
		Term:          c.term,
		HeartbeatSent: known.lastSent,
		Lifetime:      AdmissionLifetime,
		Revision:      c.snapshot.Revision,
	}
	c.seq++
	message.Seq = c.seq
	for _, id := range c.names() {
		upstream := c.upstreams[id]
		role := &upstream.admission
		if role.host != name || !role.assigned || role.uncommitted || upstream.removed && !c.owns(id) {
			continue
		}
		message.Leases = append(message.Leases, c.buildLease(now, id, upstream))
		role.leaseEnd = max(role.leaseEnd, known.lastHeartbeat+AdmissionLifetime+DriftMargin(AdmissionLifetime))
	}
	if len(message.Leases) == 0 && known.leaseCount == 0 {
		return
	}
	known.leaseCount = len(message.Leases)
	c.actions = append(c.actions, message)
}

// owns reports whether the upstream is the owner or next owner of any slice.
func (c *Controller) owns(name string) bool {
	return slices.ContainsFunc(c.order, func(id uint32) bool {
		return c.slices[id].owner == name || c.slices[id].target == name
	})
}

func (c *Controller) buildLease(now time.Duration, name string, upstream *upstream) Lease {
	lease := Lease{
		Upstream:    name,
		Epoch:       upstream.admission.epoch,
		Incarnation: upstream.incarnation,
		InFlight:    upstream.inFlight,
		Release:     upstream.admission.releasing,
		NoNewWork:   c.admissionClosed(now, upstream),
	}
	for _, id := range c.order {
		s := c.slices[id]
		fence, held := upstream.held[id]
		if s.owner != name {
			continue
		}
		switch {
		case s.stage == owned && held && fence.Epoch == s.epoch && !lease.NoNewWork && !lease.Release:
			lease.Serve = append(lease.Serve, fence)
		case s.stage == stopping:
			lease.Stop = append(lease.Stop, slicer.Fence{Slice: id, Term: fence.Term, Epoch: s.epoch})
			if s.stopSeq == 0 {
				s.stopSeq = c.seq
			}
		}
	}
	return lease
}

// admissionClosed reports whether hosts must admit nothing to the upstream. A draining upstream of a keyed service
// stays open for drainGrace, because planned moves within that time fail no request.
func (c *Controller) admissionClosed(now time.Duration, upstream *upstream) bool {
	if upstream.drainingSince == 0 {
		return false
	}
	return !c.keyed() || now-upstream.drainingSince >= drainGrace
}
