package controller

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// upstream is what the controller knows of one upstream.
type upstream struct {
	config       configurator.Upstream
	removed      bool // not in the configuration any more
	answered     bool // in this term
	incarnation  string
	held         map[uint32]slicer.Fence
	inFlight     int
	nonce        string
	nonceAt      time.Duration // receipt of nonce
	leaseEnd     time.Duration // all grants have certainly ended by then
	id           uint64        // of the latest order
	pending      bool          // the latest order has no reply yet
	pendingAdd   []Grant       // of the latest order with a nonce until its fate is known
	sentAt       time.Duration
	failedSince  time.Duration // first order without a reply since the last reply, 0 when none
	refusedSince time.Duration // since when nothing has listened at its address, 0 when something may
	lostLogged   bool
	renewAt      time.Duration // when the next order with a nonce is due
	evenAt       uint64        // generation at which it held just what it should hold
	leasesDue    bool
	closedSince  time.Duration // when it was first seen to be closed to new work, 0 when it is open
	admission    admission
}

func (u *upstream) expired(now time.Duration) bool {
	return now >= u.leaseEnd
}

// lost reports whether the slices of the upstream may be given to others without its consent.
func (u *upstream) lost(now time.Duration) bool {
	if u.removed {
		return u.expired(now) && (u.config.ChecksFence || now >= u.admission.leaseEnd)
	}
	return u.config.ChecksFence && u.expired(now) && u.silent(now)
}

// ended reports whether the process of an upstream without fence checks has ended: nothing has listened at its address for
// long enough. An upstream that shuts down closes its listener first and finishes its requests, so its slices move only
// after the admission host has seen the end of all requests in flight.
func (u *upstream) ended(now time.Duration) bool {
	return !u.config.ChecksFence && u.refusedSince > 0 && now-u.refusedSince >= silence
}

// silent reports whether orders have gone without a reply for long enough.
func (u *upstream) silent(now time.Duration) bool {
	return u.failedSince > 0 && now-u.failedSince >= silence
}

// adding reports whether an order whose fate is unknown may still add the slice.
func (u *upstream) adding(id uint32) bool {
	return slices.ContainsFunc(u.pendingAdd, func(grant Grant) bool { return grant.Slice == id })
}

// noteUpstreams follows the configuration. A removed upstream is kept while it owns slices.
func (c *Controller) noteUpstreams(now time.Duration) {
	for _, upstream := range c.upstreams {
		upstream.removed = true
	}
	c.touch()
	for name, config := range c.snapshot.Upstreams {
		if config.Service != c.options.Service {
			continue
		}
		upstream := c.upstream(name)
		upstream.removed = false
		upstream.config = config
		c.noteClosed(now, upstream)
	}
}

func (c *Controller) noteClosed(now time.Duration, upstream *upstream) {
	if !c.closed(upstream) {
		upstream.closedSince = 0
		return
	}
	if upstream.closedSince == 0 {
		upstream.closedSince = max(now, 1)
	}
}

// closed reports whether operators want the upstream to receive no new work.
func (c *Controller) closed(upstream *upstream) bool {
	domain := c.snapshot.FailureDomains[upstream.config.FailureDomain]
	return upstream.removed || upstream.config.Drained || domain.TakenOut
}

// forget drops removed upstreams that own and hold nothing and to which no host can admit.
func (c *Controller) forget(now time.Duration) {
	for name, upstream := range c.upstreams {
		if !upstream.removed || now < upstream.admission.leaseEnd || c.owns(name) {
			continue
		}
		if upstream.expired(now) || upstream.answered && len(upstream.held) == 0 && !upstream.pending {
			delete(c.upstreams, name)
			c.sorted = nil
			c.changed()
		}
	}
}

// upstream returns the state of an upstream. A new one may hold grants and have an admission host of an earlier term.
func (c *Controller) upstream(name string) *upstream {
	known, ok := c.upstreams[name]
	if ok {
		return known
	}
	known = &upstream{
		removed:  true,
		held:     map[uint32]slicer.Fence{},
		inFlight: -1,
		leaseEnd: c.adopted + GrantLifetime + DriftMargin(GrantLifetime),
	}
	known.admission.leaseEnd = c.adopted + AdmissionLifetime + DriftMargin(AdmissionLifetime)
	c.upstreams[name] = known
	c.sorted = nil
	return known
}

func (c *Controller) applyReply(now time.Duration, reply OrderReply) {
	upstream, ok := c.upstreams[reply.Upstream]
	if !ok || !upstream.pending || reply.ID != upstream.id {
		return
	}
	upstream.pending = false
	if reply.Failed {
		upstream.fail(upstream.sentAt)
		upstream.nonce = ""
		upstream.noteRefused(reply.ConnectionRefused)
		return
	}
	upstream.refusedSince = 0
	if reply.Refusal == StaleTerm && reply.Term > c.term && upstream.config.ChecksFence {
		c.log(Log{Code: Superseded, Upstream: reply.Upstream, Term: reply.Term})
	}
	c.noteReply(now, upstream, reply)
}

// noteRefused follows whether something listens at the address. Any other failure may be one of the network.
func (u *upstream) noteRefused(refused bool) {
	if !refused {
		u.refusedSince = 0
	} else if u.refusedSince == 0 {
		u.refusedSince = max(u.sentAt, 1)
	}
}

func (u *upstream) fail(since time.Duration) {
	if u.failedSince == 0 {
		u.failedSince = max(since, 1)
	}
}

func (c *Controller) noteReply(now time.Duration, upstream *upstream, reply OrderReply) {
	if upstream.incarnation != "" && upstream.incarnation != reply.Incarnation {
		c.log(Log{Code: UpstreamRestarted, Upstream: reply.Upstream, Term: c.term})
	}
	if upstream.lostLogged {
		upstream.lostLogged = false
		c.log(Log{Code: UpstreamReturned, Upstream: reply.Upstream, Term: c.term})
	}
	if upstream.incarnation != reply.Incarnation || !upstream.answered {
		upstream.leasesDue = true
	}
	upstream.incarnation = reply.Incarnation
	if !upstream.answered || upstream.failedSince > 0 {
		c.touch()
	}
	upstream.answered = true
	upstream.failedSince = 0
	upstream.inFlight = reply.InFlight
	upstream.nonce = reply.Nonce
	upstream.nonceAt = now
	// The reply invalidates every earlier nonce, so the held list is final for all earlier orders.
	upstream.pendingAdd = nil
	c.noteHeld(upstream, reply.Held)
}

func (c *Controller) noteHeld(upstream *upstream, held []slicer.Fence) {
	before := upstream.held
	upstream.held = make(map[uint32]slicer.Fence, len(held))
	changed := len(before) != len(held)
	for _, grant := range held {
		upstream.held[grant.Slice] = grant
		changed = changed || before[grant.Slice] != grant
	}
	if changed {
		upstream.leasesDue = true
		c.changed()
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
		c.noteLoss(now, name, upstream)
		c.sendOrder(now, name, upstream)
	}
}

func (c *Controller) noteLoss(now time.Duration, name string, upstream *upstream) {
	if upstream.lostLogged || !upstream.expired(now) || !upstream.silent(now) {
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
		upstream.fail(upstream.sentAt)
		upstream.nonce = ""
		upstream.refusedSince = 0
	}
	if upstream.nonce == "" || now-upstream.nonceAt > 2*RenewalInterval {
		if now-upstream.sentAt >= retryInterval || upstream.id == 0 {
			c.send(now, upstream, SendOrder{Upstream: name})
		}
		return
	}
	var add, remove []Grant
	if upstream.evenAt != c.generation {
		add, remove = c.difference(upstream, name)
	}
	if len(add) == 0 && len(remove) == 0 {
		upstream.evenAt = c.generation
		if now < upstream.renewAt {
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
		end := upstream.nonceAt + GrantLifetime + DriftMargin(GrantLifetime)
		upstream.leaseEnd = max(upstream.leaseEnd, end)
		upstream.pendingAdd = order.Add
		upstream.renewAt = now + RenewalInterval
		upstream.nonce = ""
	}
	order.ID = upstream.id
	order.Address = upstream.config.Address
	order.Service = c.options.Service
	order.Term = c.term
	order.Lifetime = GrantLifetime
	c.actions = append(c.actions, order)
}

// difference compares what the upstream holds with what it should hold.
func (c *Controller) difference(upstream *upstream, name string) (add, remove []Grant) {
	for _, id := range c.order {
		s := c.slices[id]
		held, ok := upstream.held[id]
		mine := s.owner == name && (s.stage == owned || s.stage == stopping)
		if mine && s.stage == owned && (!ok || held.Epoch != s.epoch) {
			add = append(add, Grant{Slice: id, Epoch: s.epoch})
		}
		if ok && !mine && s.stage != unresolved {
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
