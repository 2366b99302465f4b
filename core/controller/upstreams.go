package controller

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// upstream is the state of one upstream as last reported by its replies to orders.
type upstream struct {
	config           configurator.Upstream
	removed          bool // not in the configuration
	replied          bool // has replied to an order in this term
	incarnation      string
	held             map[uint32]slicer.Fence
	inFlight         int
	nonce            string
	nonceReceivedAt  time.Duration
	leaseEnd         time.Duration // all grants have expired by then, clock drift included
	id               uint64        // of the latest order
	pending          bool          // the latest order has no reply yet
	pendingAdd       []Grant       // Add of the latest order with a nonce, until its outcome is known
	sentAt           time.Duration
	failedSince      time.Duration // first order without a reply since the last reply, 0 when none
	refusedSince     time.Duration // since when connections to its address have been refused, 0 when they are not
	lostLogged       bool
	nextRenewalAt    time.Duration // when the next order with a nonce is due
	syncedGeneration uint64        // generation at which it held exactly the slices that it should hold
	leasesDue        bool
	drainingSince    time.Duration // 0 when it is not draining
	admission        admission
}

func (u *upstream) expired(now time.Duration) bool {
	return now >= u.leaseEnd
}

// lost reports whether the slices of the upstream may be assigned to others although it has not released them.
func (u *upstream) lost(now time.Duration) bool {
	if u.removed {
		return u.expired(now) && (u.config.ChecksFence || now >= u.admission.leaseEnd)
	}
	return u.config.ChecksFence && u.expired(now) && u.unresponsive(now)
}

// processStopped reports whether the process of an upstream without fence checks has stopped: connections to its
// address have been refused for unresponsiveTimeout. An upstream that shuts down closes its listener first and then
// finishes its requests, so its slices move only after the admission host has seen the end of all requests in flight.
func (u *upstream) processStopped(now time.Duration) bool {
	return !u.config.ChecksFence && u.refusedSince > 0 && now-u.refusedSince >= unresponsiveTimeout
}

// unresponsive reports whether orders have had no reply for unresponsiveTimeout.
func (u *upstream) unresponsive(now time.Duration) bool {
	return u.failedSince > 0 && now-u.failedSince >= unresponsiveTimeout
}

// mayAdd reports whether an order with an unknown outcome may still add the slice.
func (u *upstream) mayAdd(id uint32) bool {
	return slices.ContainsFunc(u.pendingAdd, func(grant Grant) bool { return grant.Slice == id })
}

// updateUpstreams applies the configuration. It keeps an upstream that the configuration no longer has, marked as
// removed, because it may still own slices.
func (c *Controller) updateUpstreams(now time.Duration) {
	for _, upstream := range c.upstreams {
		upstream.removed = true
	}
	c.markChanged()
	for name, config := range c.snapshot.Upstreams {
		if config.Service != c.options.Service {
			continue
		}
		upstream := c.ensureUpstream(name)
		upstream.removed = false
		upstream.config = config
		c.updateDraining(now, upstream)
	}
}

func (c *Controller) updateDraining(now time.Duration, upstream *upstream) {
	if !c.draining(upstream) {
		upstream.drainingSince = 0
		return
	}
	if upstream.drainingSince == 0 {
		upstream.drainingSince = max(now, 1)
	}
}

// draining reports whether operators have drained or removed the upstream or taken out its failure domain.
func (c *Controller) draining(upstream *upstream) bool {
	domain := c.snapshot.FailureDomains[upstream.config.FailureDomain]
	return upstream.removed || upstream.config.Drained || domain.TakenOut
}

// dropRemoved deletes removed upstreams that own and hold no slice and to which no host can admit requests.
func (c *Controller) dropRemoved(now time.Duration) {
	for name, upstream := range c.upstreams {
		if !upstream.removed || now < upstream.admission.leaseEnd || c.owns(name) {
			continue
		}
		if upstream.expired(now) || upstream.replied && len(upstream.held) == 0 && !upstream.pending {
			delete(c.upstreams, name)
			c.sortedNames = nil
			c.markTableChanged()
		}
	}
}

// ensureUpstream returns the state of an upstream and creates it if necessary. A new one may hold grants and have an
// admission host of an earlier term.
func (c *Controller) ensureUpstream(name string) *upstream {
	known, ok := c.upstreams[name]
	if ok {
		return known
	}
	known = &upstream{
		removed:  true,
		held:     map[uint32]slicer.Fence{},
		inFlight: -1,
		leaseEnd: c.acquiredAt + GrantLifetime + DriftMargin(GrantLifetime),
	}
	known.admission.leaseEnd = c.acquiredAt + AdmissionLifetime + DriftMargin(AdmissionLifetime)
	c.upstreams[name] = known
	c.sortedNames = nil
	return known
}

func (c *Controller) applyReply(now time.Duration, reply OrderReply) {
	upstream, ok := c.upstreams[reply.Upstream]
	if !ok || !upstream.pending || reply.ID != upstream.id {
		return
	}
	upstream.pending = false
	if reply.Failed {
		upstream.recordFailure(upstream.sentAt)
		upstream.nonce = ""
		upstream.updateRefused(reply.ConnectionRefused)
		return
	}
	upstream.refusedSince = 0
	if reply.Refusal == StaleTerm && reply.Term > c.term && upstream.config.ChecksFence {
		c.log(Log{Code: Superseded, Upstream: reply.Upstream, Term: reply.Term})
	}
	c.recordReply(now, upstream, reply)
}

// updateRefused tracks since when connections have been refused. Any other failure may be a network failure, which
// does not show that the process has stopped.
func (u *upstream) updateRefused(refused bool) {
	if !refused {
		u.refusedSince = 0
	} else if u.refusedSince == 0 {
		u.refusedSince = max(u.sentAt, 1)
	}
}

func (u *upstream) recordFailure(since time.Duration) {
	if u.failedSince == 0 {
		u.failedSince = max(since, 1)
	}
}

func (c *Controller) recordReply(now time.Duration, upstream *upstream, reply OrderReply) {
	if upstream.incarnation != "" && upstream.incarnation != reply.Incarnation {
		c.log(Log{Code: UpstreamRestarted, Upstream: reply.Upstream, Term: c.term})
	}
	if upstream.lostLogged {
		upstream.lostLogged = false
		c.log(Log{Code: UpstreamReturned, Upstream: reply.Upstream, Term: c.term})
	}
	if upstream.incarnation != reply.Incarnation || !upstream.replied {
		upstream.leasesDue = true
	}
	upstream.incarnation = reply.Incarnation
	if !upstream.replied || upstream.failedSince > 0 {
		c.markChanged()
	}
	upstream.replied = true
	upstream.failedSince = 0
	upstream.inFlight = reply.InFlight
	upstream.nonce = reply.Nonce
	upstream.nonceReceivedAt = now
	// The reply carries a new nonce, which invalidates all earlier ones. No earlier order can change the held list
	// now.
	upstream.pendingAdd = nil
	c.recordHeld(upstream, reply.Held)
}

func (c *Controller) recordHeld(upstream *upstream, held []slicer.Fence) {
	before := upstream.held
	upstream.held = make(map[uint32]slicer.Fence, len(held))
	changed := len(before) != len(held)
	for _, grant := range held {
		upstream.held[grant.Slice] = grant
		changed = changed || before[grant.Slice] != grant
	}
	if changed {
		upstream.leasesDue = true
		c.markTableChanged()
	}
}

func (c *Controller) sendOrders(now time.Duration) {
	if !c.keyed() {
		return
	}
	for _, name := range c.names() {
		upstream := c.upstreams[name]
		if upstream.config.Address == "" && upstream.removed {
			continue
		}
		c.logLoss(now, name, upstream)
		c.sendOrder(now, name, upstream)
	}
}

func (c *Controller) logLoss(now time.Duration, name string, upstream *upstream) {
	if upstream.lostLogged || !upstream.expired(now) || !upstream.unresponsive(now) {
		return
	}
	upstream.lostLogged = true
	c.log(Log{Code: UpstreamExpired, Upstream: name, Term: c.term})
}

func (c *Controller) sendOrder(now time.Duration, name string, upstream *upstream) {
	if upstream.pending {
		if now-upstream.sentAt < retryInterval {
			return
		}
		upstream.recordFailure(upstream.sentAt)
		upstream.nonce = ""
		upstream.refusedSince = 0
	}
	if upstream.nonce == "" || now-upstream.nonceReceivedAt > 2*RenewalInterval {
		if now-upstream.sentAt >= retryInterval || upstream.id == 0 {
			c.send(now, upstream, SendOrder{Upstream: name})
		}
		return
	}
	var add, remove []Grant
	if upstream.syncedGeneration != c.generation {
		add, remove = c.difference(upstream, name)
	}
	if len(add) == 0 && len(remove) == 0 {
		upstream.syncedGeneration = c.generation
		if now < upstream.nextRenewalAt {
			return
		}
	}
	if len(remove) > 0 {
		c.logExcess(name, remove)
	}
	c.send(now, upstream, SendOrder{Upstream: name, Nonce: upstream.nonce, Add: add, Remove: remove})
}

func (c *Controller) send(now time.Duration, upstream *upstream, order SendOrder) {
	upstream.id++
	upstream.pending = true
	upstream.sentAt = now
	if order.Nonce != "" {
		end := upstream.nonceReceivedAt + GrantLifetime + DriftMargin(GrantLifetime)
		upstream.leaseEnd = max(upstream.leaseEnd, end)
		upstream.pendingAdd = order.Add
		upstream.nextRenewalAt = now + RenewalInterval
		upstream.nonce = ""
	}
	order.ID = upstream.id
	order.Address = upstream.config.Address
	order.Service = c.options.Service
	order.Term = c.term
	order.Lifetime = GrantLifetime
	c.actions = append(c.actions, order)
}

// difference returns the grants that make the slices that the upstream holds equal to those that it should hold.
func (c *Controller) difference(upstream *upstream, name string) (add, remove []Grant) {
	for _, id := range c.order {
		s := c.slices[id]
		held, ok := upstream.held[id]
		shouldHold := s.owner == name && (s.stage == owned || s.stage == stopping)
		if shouldHold && s.stage == owned && (!ok || held.Epoch != s.epoch) {
			add = append(add, Grant{Slice: id, Epoch: s.epoch})
		}
		if ok && !shouldHold && s.stage != unresolved {
			remove = append(remove, Grant{Slice: id, Epoch: held.Epoch})
		}
	}
	for id, held := range upstream.held {
		if c.slices[id] == nil && c.loaded {
			remove = append(remove, Grant{Slice: id, Epoch: held.Epoch})
		}
	}
	slices.SortFunc(remove, func(a, b Grant) int { return compare(uint64(a.Slice), uint64(b.Slice)) })
	return add, remove
}

// logExcess counts the removals that are not part of a move.
func (c *Controller) logExcess(name string, remove []Grant) {
	count := 0
	for _, grant := range remove {
		if s := c.slices[grant.Slice]; s == nil || s.owner != name {
			count++
		}
	}
	if count > 0 {
		c.log(Log{Code: ExcessRevoked, Upstream: name, Slices: count, Term: c.term})
	}
}
