package controller

import (
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// host is what the controller knows of one host.
type host struct {
	incarnation   string
	retired       []string // earlier incarnations, whose delayed messages are ignored
	failureDomain string
	leaving       bool
	seen          time.Duration // latest heartbeat
	sent          time.Duration // by the clock of the host
	leasesDue     bool
	unconfirmed   bool // reports leases, but perhaps from before the takeover
	listed        int  // number of leases in the latest message
}

// maxRetired bounds the remembered incarnations of a host.
const maxRetired = 8

// admission is the admission of one upstream.
type admission struct {
	host      string
	epoch     uint64
	known     bool // host holds the role; otherwise it is only a preference from the stored table
	waiting   bool // the role waits for the table to be stored
	operation uint64
	releasing bool
	leaseEnd  time.Duration // no host can hold an admission lease after this
}

// stored takes the host of the stored table as preference.
func (a *admission) stored(entry slicer.Admission) {
	if a.known {
		a.epoch = max(a.epoch, entry.Epoch)
		return
	}
	a.host = entry.Host
	a.epoch = entry.Epoch
}

// commit starts the role when the table write with this number contained it, and reports whether it did.
func (a *admission) commit(operation uint64) bool {
	started := a.waiting && a.operation == operation
	a.waiting = a.waiting && !started
	return started
}

func (c *Controller) applyHeartbeat(now time.Duration, beat Heartbeat) {
	known, ok := c.hosts[beat.Host]
	if !ok {
		known = &host{incarnation: beat.Incarnation}
		c.hosts[beat.Host] = known
	}
	if slices.Contains(known.retired, beat.Incarnation) {
		return
	}
	if known.incarnation != beat.Incarnation {
		// A process that is still running answers the query. A delayed heartbeat may come from an earlier process that
		// this controller never knew; taking it for a restart would end leases that the present process holds.
		if beat.Term != c.term {
			c.query(beat.Host, beat.Incarnation)
			return
		}
		c.restartHost(beat.Host, known, beat.Incarnation)
	}
	if known.seen > 0 && beat.Sent < known.sent {
		return
	}
	known.failureDomain = beat.FailureDomain
	known.leaving = beat.Leaving
	known.seen = max(now, 1)
	known.sent = beat.Sent
	known.leasesDue = true
	known.unconfirmed = beat.Term != c.term && len(beat.Leases) > 0
	if known.unconfirmed {
		return
	}
	for _, lease := range beat.Leases {
		c.adoptLease(now, beat.Host, lease)
	}
}

// restartHost notes that the earlier process of the host is gone, and its leases with it.
func (c *Controller) restartHost(name string, known *host, incarnation string) {
	known.retired = append(known.retired, known.incarnation)
	if len(known.retired) > maxRetired {
		known.retired = known.retired[1:]
	}
	known.incarnation = incarnation
	known.seen = 0
	known.sent = 0
	for _, upstream := range c.upstreams {
		role := &upstream.admission
		if role.known && role.host == name {
			role.leaseEnd = 0
		}
	}
}

// adoptLease learns after a takeover which host an earlier controller has chosen. The host must have reported the lease
// after the takeover: a delayed report may be about a lease that the earlier controller has given to another host since.
func (c *Controller) adoptLease(now time.Duration, name string, lease HeldLease) {
	upstream, ok := c.upstreams[lease.Upstream]
	if !ok || upstream.admission.known || now >= upstream.admission.leaseEnd {
		return
	}
	role := &upstream.admission
	if lease.Epoch < role.epoch {
		return
	}
	if role.host != name || role.epoch != lease.Epoch {
		c.store.dirty = true
		c.changed()
	}
	role.host = name
	role.epoch = lease.Epoch
	role.known = true
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
	if role.waiting && c.store.down {
		role.waiting = false
		upstream.leasesDue = true
	}
	if role.known && c.usable(now, role.host) {
		c.releaseIfUnwanted(now, upstream)
		if !role.releasing {
			return
		}
	}
	if now < role.leaseEnd {
		return
	}
	if !role.known && role.host != "" && c.wanted(now, role.host) {
		// The stored host holds no lease that is valid, so the role can stay where the table has it.
		role.known = true
		upstream.leasesDue = true
		return
	}
	c.chooseHost(now, name, upstream)
}

// releaseIfUnwanted asks a host that is leaving to return the role when another host can take it.
func (c *Controller) releaseIfUnwanted(now time.Duration, upstream *upstream) {
	role := &upstream.admission
	if role.releasing || role.waiting || c.wanted(now, role.host) || c.store.down {
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
	if now < c.settled && role.host == "" {
		return
	}
	best := c.bestHost(now, upstream)
	if best == "" {
		role.releasing = role.releasing && !c.usable(now, role.host)
		return
	}
	if role.known && role.host != best && !role.releasing {
		c.log(Log{Code: AdmissionExpired, Upstream: name, Host: role.host, Term: c.term})
	}
	role.host = best
	role.epoch++
	role.known = true
	role.releasing = false
	role.waiting = true
	role.operation = 0
	c.store.dirty = true
	c.changed()
	c.log(Log{Code: AdmissionAssigned, Upstream: name, Host: best, Term: c.term})
}

// usable reports whether heartbeats of the host arrive.
func (c *Controller) usable(now time.Duration, name string) bool {
	known, ok := c.hosts[name]
	return ok && known.seen > 0 && now-known.seen < silence
}

// wanted reports whether the host may have a role.
func (c *Controller) wanted(now time.Duration, name string) bool {
	if !c.usable(now, name) {
		return false
	}
	known := c.hosts[name]
	domain := c.snapshot.FailureDomains[known.failureDomain]
	return !known.leaving && !c.listed[name].Leaving && !domain.TakenOut
}

// bestHost returns the wanted host with the fewest roles, preferring the failure domain of the upstream.
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
		if !c.wanted(now, name) {
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

// sendLeases answers heartbeats and pushes changes to the hosts that they concern.
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
		if known.leasesDue && c.usable(now, name) && c.informed(now, name) {
			known.leasesDue = false
			c.answerHost(now, name, known)
		}
	}
}

func (c *Controller) answerHost(now time.Duration, name string, known *host) {
	if known.unconfirmed {
		c.query(name, known.incarnation)
		return
	}
	c.sendHost(now, name, known)
}

// query asks a process of a host for a heartbeat in the present term.
func (c *Controller) query(name, incarnation string) {
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

// informed reports whether the lists of slices in the leases of a host are complete after a takeover.
func (c *Controller) informed(now time.Duration, name string) bool {
	if !c.keyed() || now >= c.adopted+takeoverGrace {
		return true
	}
	for _, upstream := range c.upstreams {
		if upstream.admission.host == name && !upstream.answered && !upstream.removed {
			return false
		}
	}
	return true
}

// sendHost sends all leases of a host. The end of its leases counts from the receipt of its latest heartbeat, which is
// later than its sending.
func (c *Controller) sendHost(now time.Duration, name string, known *host) {
	message := SendLeases{
		Host:          name,
		Incarnation:   known.incarnation,
		Service:       c.options.Service,
		Term:          c.term,
		HeartbeatSent: known.sent,
		Lifetime:      AdmissionLifetime,
		Revision:      c.snapshot.Revision,
	}
	c.seq++
	message.Seq = c.seq
	for _, id := range c.names() {
		upstream := c.upstreams[id]
		role := &upstream.admission
		if role.host != name || !role.known || role.waiting || upstream.removed && !c.owns(id) {
			continue
		}
		message.Leases = append(message.Leases, c.lease(now, id, upstream))
		role.leaseEnd = max(role.leaseEnd, known.seen+AdmissionLifetime+DriftMargin(AdmissionLifetime))
	}
	if len(message.Leases) == 0 && known.listed == 0 {
		return
	}
	known.listed = len(message.Leases)
	c.actions = append(c.actions, message)
}

// owns reports whether the upstream is the owner or next owner of any slice.
func (c *Controller) owns(name string) bool {
	return slices.ContainsFunc(c.order, func(id uint32) bool {
		return c.slices[id].owner == name || c.slices[id].target == name
	})
}

func (c *Controller) lease(now time.Duration, name string, upstream *upstream) Lease {
	lease := Lease{
		Upstream:    name,
		Epoch:       upstream.admission.epoch,
		Incarnation: upstream.incarnation,
		InFlight:    upstream.inFlight,
		Release:     upstream.admission.releasing,
		NoNewWork:   c.shut(now, upstream),
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

// shut reports whether the admission of an upstream is closed. An upstream of a keyed service that is leaving is given
// time for planned moves, which fail no request.
func (c *Controller) shut(now time.Duration, upstream *upstream) bool {
	if upstream.closedSince == 0 {
		return false
	}
	return !c.keyed() || now-upstream.closedSince >= drainGrace
}
