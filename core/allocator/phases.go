package allocator

import (
	"time"
)

// progress takes the next step of one range.
func (a *Allocator) progress(now time.Duration, s *segment) {
	if s.orderID != 0 {
		return
	}
	if committed := s.phase == committing && a.storedVersion >= s.commitVersion; now < s.nextOrder && !committed {
		return
	}
	switch s.phase {
	case committing:
		a.progressCommit(now, s)
	case raisingFence:
		if now >= s.expiry {
			a.startGranting(now, s, "")
			return
		}
		if a.unreachable(now, s.Previous) {
			a.awaitExpiry(s)
			return
		}
		a.grant(now, s, s.Previous)
	case releasing:
		if now >= s.expiry {
			a.startGranting(now, s, "")
			return
		}
		a.release(now, s, s.Previous)
	case expiring:
		if now >= s.expiry {
			a.startGranting(now, s, "")
			return
		}
		if owner, ok := a.upstreams[s.Previous]; ok && s.incarnation != 0 && owner.Incarnation != s.incarnation {
			// The new process may have received the last renewal, but it answers.
			s.incarnation = owner.Incarnation
			delete(a.failureStreaks, s.Previous)
			s.phase = raisingFence
			return
		}
		if s.expiry-now > lastProbeBeforeExpiry {
			// The upstream may be back, or another process may have its address.
			a.release(now, s, s.Previous)
			s.nextOrder = now + probeInterval
		}
	case releasingPrevious:
		if now >= s.expiry {
			a.startGranting(now, s, "")
			return
		}
		a.release(now, s, s.Previous)
	case releasingOwner:
		if now >= s.ownerExpiry {
			s.phase = fencingPrevious
			a.progress(now, s)
			return
		}
		a.release(now, s, s.Owner)
	case fencingPrevious:
		if now >= s.expiry {
			a.startGranting(now, s, s.handover)
			return
		}
		a.grant(now, s, s.Previous)
	case granting:
		if _, ok := a.upstreams[s.Owner]; ok {
			a.grant(now, s, s.Owner)
		}
	case held:
		a.grant(now, s, s.Owner)
	}
}

func (a *Allocator) progressCommit(now time.Duration, s *segment) {
	if a.storedVersion < s.commitVersion {
		// The former owner goes on serving, so its grant is renewed meanwhile.
		if s.Previous != "" && s.routedTo == s.Previous && now >= s.movedAt+RenewInterval {
			a.grant(now, s, s.Previous)
		}
		return
	}
	switch {
	case s.Previous == "":
		s.phase = granting
		a.progress(now, s)
	case now >= s.expiry:
		a.startGranting(now, s, "")
	case a.unreachable(now, s.Previous):
		a.awaitExpiry(s)
	default:
		s.phase = raisingFence
		a.progress(now, s)
	}
}

// markStopped notes that an upstream's process has ended: all its grants are void.
func (a *Allocator) markStopped(now time.Duration, id string) {
	if a.isStopped(id) {
		return
	}
	if owner, ok := a.upstreams[id]; ok {
		a.stopped[id] = owner.Incarnation
	}
	for _, s := range a.segments {
		if s.Previous == id || (s.Previous == "" && s.Owner == id) {
			s.expiry = min(s.expiry, now)
		}
		if s.Previous != "" && s.Owner == id {
			s.ownerExpiry = min(s.ownerExpiry, now)
		}
		if s.routedTo == id {
			s.routedTo = ""
		}
	}
}

// isStopped reports whether the listed process of an upstream has ended.
func (a *Allocator) isStopped(id string) bool {
	life, ok := a.stopped[id]
	return ok && a.upstreams[id].Incarnation == life
}

// unreachable reports whether the upstream leaves orders unanswered.
func (a *Allocator) unreachable(now time.Duration, id string) bool {
	c := a.failureStreaks[id]
	return c.count >= unreachableOrders && now >= c.since+unreachableAfter
}

// awaitExpiry gives up on the former owner and waits for its grants to awaitExpiry.
func (a *Allocator) awaitExpiry(s *segment) {
	s.phase = expiring
	s.routedTo = ""
}

// startGranting makes the range available to its new owner.
func (a *Allocator) startGranting(now time.Duration, s *segment, handover string) {
	s.phase = granting
	s.Previous = ""
	s.routedTo = ""
	s.handover = handover
	s.fence = 0
	s.expiry = s.ownerExpiry
	s.ownerExpiry = 0
	s.nextOrder = now
	a.markChanged(now)
	a.progress(now, s)
}

func (a *Allocator) nextFence() uint64 {
	a.lastFence++
	return a.lastFence
}

func (a *Allocator) newOrder(s *segment, owner string, lifetime time.Duration) uint64 {
	a.lastOrderID++
	s.orderID = a.lastOrderID
	a.pending[a.lastOrderID] = pendingOrder{segment: s, upstream: owner, incarnation: a.upstreams[owner].Incarnation, lifetime: lifetime}
	return a.lastOrderID
}

func (a *Allocator) grant(now time.Duration, s *segment, owner string) {
	if len(a.pending) >= maxPendingOrders {
		return
	}
	// A move needs a newer fence, and so does a range whose last grant was not answered.
	if s.fence == 0 || s.phase == raisingFence || s.phase == fencingPrevious {
		s.fence = a.nextFence()
	}
	lifetime := a.lifetime
	if s.phase == fencingPrevious {
		lifetime = fenceOnlyLifetime
	}
	handover := ""
	if s.phase == granting {
		handover = s.handover
	}
	if s.phase == granting || s.phase == held {
		s.incarnation = a.upstreams[owner].Incarnation
	}
	order := a.newOrder(s, owner, lifetime)
	a.actions = append(a.actions, Grant{
		order, owner, s.From, s.To, s.fence, lifetime, handover, s.phase == held || s.phase == committing,
	})
	s.nextOrder = now + RenewInterval
}

func (a *Allocator) release(now time.Duration, s *segment, owner string) {
	if len(a.pending) >= maxPendingOrders {
		return
	}
	if s.phase != releasingPrevious {
		s.routedTo = ""
	}
	if s.fence == 0 {
		s.fence = a.nextFence()
	}
	order := a.newOrder(s, owner, 0)
	a.actions = append(a.actions, Release{order, owner, s.From, s.To, s.fence})
	s.nextOrder = now + retryDelay
}

// handleOrderCompleted handles the outcome of an order.
func (a *Allocator) handleOrderCompleted(now time.Duration, event OrderCompleted) {
	order, ok := a.pending[event.OrderID]
	if !ok {
		return
	}
	delete(a.pending, event.OrderID)
	s := order.segment
	s.orderID = 0
	if event.Result == Replaced {
		a.markStopped(now, order.upstream)
		event.Result = NotSent
	}
	a.recordResult(now, order.upstream, event.Result)
	if order.lifetime == 0 {
		a.handleReleaseResult(now, s, event)
		return
	}
	a.handleGrantResult(now, s, order, event.Result)
}

func (a *Allocator) recordResult(now time.Duration, owner string, result Result) {
	if result == Accepted || result == Stale {
		delete(a.failureStreaks, owner)
		return
	}
	c := a.failureStreaks[owner]
	if c.count == 0 {
		c.since = now
	}
	c.count++
	a.failureStreaks[owner] = c
}

func (a *Allocator) handleReleaseResult(now time.Duration, s *segment, event OrderCompleted) {
	if event.Result == Accepted {
		s.nextOrder = now
		switch s.phase {
		case releasingPrevious:
			s.phase = releasingOwner
			s.handover = event.Handover
		case releasingOwner:
			s.phase = fencingPrevious
			if event.Handover != "" {
				s.handover = event.Handover
			}
		case expiring:
			// It answers again. A newer fence makes sure that older grants have no effect.
			s.phase = raisingFence
		default:
			if event.Handover != "" {
				s.handover = event.Handover
			}
			a.startGranting(now, s, s.handover)
		}
		return
	}
	s.nextOrder = now + retryDelay
	if s.phase == releasing && a.unreachable(now, s.Previous) {
		a.awaitExpiry(s)
	}
}

func (a *Allocator) handleGrantResult(now time.Duration, s *segment, order pendingOrder, result Result) {
	if result == Unanswered && a.isStopped(order.upstream) {
		result = NotSent
	}
	if result == Accepted || result == Unanswered {
		s.expiry = max(s.expiry, a.expiryAfter(now, order.lifetime))
	}
	if result != Accepted {
		// Another try needs a newer fence, so that this one has no effect when it is carried out late.
		s.fence = 0
		s.nextOrder = now + retryDelay
		return
	}
	switch s.phase {
	case raisingFence:
		s.phase = releasing
		s.nextOrder = now
	case fencingPrevious:
		// An older grant may have been carried out since the first release. From now on all are refused.
		s.phase = releasing
		s.nextOrder = now
	case granting:
		s.phase = held
		s.handover = ""
		s.routedTo = s.Owner
		s.incarnation = order.incarnation
	case held:
		s.routedTo = s.Owner
	}
}
