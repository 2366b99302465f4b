package allocator

import (
	"time"
)

// progress takes the next step of one range.
func (k *Allocator) progress(now time.Duration, s *segment) {
	if s.order != 0 {
		return
	}
	if committed := s.phase == committing && k.stored >= s.commit; now < s.next && !committed {
		return
	}
	switch s.phase {
	case committing:
		k.progressCommit(now, s)
	case raising:
		if now >= s.expiry {
			k.free(now, s, "")
			return
		}
		if k.unreachable(now, s.Previous) {
			k.expire(s)
			return
		}
		k.grant(now, s, s.Previous)
	case releasing:
		if now >= s.expiry {
			k.free(now, s, "")
			return
		}
		k.release(now, s, s.Previous)
	case expiring:
		if now >= s.expiry {
			k.free(now, s, "")
			return
		}
		if owner, ok := k.owners[s.Previous]; ok && s.life != 0 && owner.Incarnation != s.life {
			// The new process may have received the last renewal, but it answers.
			s.life = owner.Incarnation
			delete(k.contacts, s.Previous)
			s.phase = raising
			return
		}
		if s.expiry-now > probeReserve {
			// The upstream may be back, or another process may have its address.
			k.release(now, s, s.Previous)
			s.next = now + probeInterval
		}
	case clearing:
		if now >= s.expiry {
			k.free(now, s, "")
			return
		}
		k.release(now, s, s.Previous)
	case settling:
		if now >= s.ownerExpiry {
			s.phase = fencing
			k.progress(now, s)
			return
		}
		k.release(now, s, s.Owner)
	case fencing:
		if now >= s.expiry {
			k.free(now, s, s.handover)
			return
		}
		k.grant(now, s, s.Previous)
	case granting:
		if _, ok := k.owners[s.Owner]; ok {
			k.grant(now, s, s.Owner)
		}
	case held:
		k.grant(now, s, s.Owner)
	}
}

func (k *Allocator) progressCommit(now time.Duration, s *segment) {
	if k.stored < s.commit {
		// The former owner goes on serving, so its grant is renewed meanwhile.
		if s.Previous != "" && s.served == s.Previous && now >= s.moved+RenewInterval {
			k.grant(now, s, s.Previous)
		}
		return
	}
	switch {
	case s.Previous == "":
		s.phase = granting
		k.progress(now, s)
	case now >= s.expiry:
		k.free(now, s, "")
	case k.unreachable(now, s.Previous):
		k.expire(s)
	default:
		s.phase = raising
		k.progress(now, s)
	}
}

// end notes that an upstream's process has ended: all its grants are void.
func (k *Allocator) end(now time.Duration, id string) {
	if k.hasEnded(id) {
		return
	}
	if owner, ok := k.owners[id]; ok {
		k.ended[id] = owner.Incarnation
	}
	for _, s := range k.segments {
		if s.Previous == id || (s.Previous == "" && s.Owner == id) {
			s.expiry = min(s.expiry, now)
		}
		if s.Previous != "" && s.Owner == id {
			s.ownerExpiry = min(s.ownerExpiry, now)
		}
		if s.served == id {
			s.served = ""
		}
	}
}

// hasEnded reports whether the listed process of an upstream has ended.
func (k *Allocator) hasEnded(id string) bool {
	life, ok := k.ended[id]
	return ok && k.owners[id].Incarnation == life
}

// unreachable reports whether the upstream leaves orders unanswered.
func (k *Allocator) unreachable(now time.Duration, id string) bool {
	c := k.contacts[id]
	return c.failures >= lostOrders && now >= c.since+lostAfter
}

// expire gives up on the former owner and waits for its grants to expire.
func (k *Allocator) expire(s *segment) {
	s.phase = expiring
	s.served = ""
}

// free makes the range available to its new owner.
func (k *Allocator) free(now time.Duration, s *segment, handover string) {
	s.phase = granting
	s.Previous = ""
	s.served = ""
	s.handover = handover
	s.fence = 0
	s.expiry = s.ownerExpiry
	s.ownerExpiry = 0
	s.next = now
	k.changed(now)
	k.progress(now, s)
}

func (k *Allocator) nextFence() uint64 {
	k.fence++
	return k.fence
}

func (k *Allocator) newOrder(s *segment, owner string, lifetime time.Duration) uint64 {
	k.orders++
	s.order = k.orders
	k.pending[k.orders] = pending{segment: s, owner: owner, life: k.owners[owner].Incarnation, lifetime: lifetime}
	return k.orders
}

func (k *Allocator) grant(now time.Duration, s *segment, owner string) {
	if len(k.pending) >= maxOrders {
		return
	}
	// A move needs a newer fence, and so does a range whose last grant was not answered.
	if s.fence == 0 || s.phase == raising || s.phase == fencing {
		s.fence = k.nextFence()
	}
	lifetime := k.lifetime
	if s.phase == fencing {
		lifetime = fenceLifetime
	}
	handover := ""
	if s.phase == granting {
		handover = s.handover
	}
	if s.phase == granting || s.phase == held {
		s.life = k.owners[owner].Incarnation
	}
	order := k.newOrder(s, owner, lifetime)
	k.actions = append(k.actions, Grant{
		order, owner, s.From, s.To, s.fence, lifetime, handover, s.phase == held || s.phase == committing,
	})
	s.next = now + RenewInterval
}

func (k *Allocator) release(now time.Duration, s *segment, owner string) {
	if len(k.pending) >= maxOrders {
		return
	}
	if s.phase != clearing {
		s.served = ""
	}
	if s.fence == 0 {
		s.fence = k.nextFence()
	}
	order := k.newOrder(s, owner, 0)
	k.actions = append(k.actions, Release{order, owner, s.From, s.To, s.fence})
	s.next = now + retryDelay
}

// ordered handles the outcome of an order.
func (k *Allocator) ordered(now time.Duration, event OrderCompleted) {
	order, ok := k.pending[event.OrderID]
	if !ok {
		return
	}
	delete(k.pending, event.OrderID)
	s := order.segment
	s.order = 0
	if event.Result == Replaced {
		k.end(now, order.owner)
		event.Result = NotSent
	}
	k.contact(now, order.owner, event.Result)
	if order.lifetime == 0 {
		k.released(now, s, event)
		return
	}
	k.granted(now, s, order, event.Result)
}

func (k *Allocator) contact(now time.Duration, owner string, result Result) {
	if result == Accepted || result == Stale {
		delete(k.contacts, owner)
		return
	}
	c := k.contacts[owner]
	if c.failures == 0 {
		c.since = now
	}
	c.failures++
	k.contacts[owner] = c
}

func (k *Allocator) released(now time.Duration, s *segment, event OrderCompleted) {
	if event.Result == Accepted {
		s.next = now
		switch s.phase {
		case clearing:
			s.phase = settling
			s.handover = event.Handover
		case settling:
			s.phase = fencing
			if event.Handover != "" {
				s.handover = event.Handover
			}
		case expiring:
			// It answers again. A newer fence makes sure that older grants have no effect.
			s.phase = raising
		default:
			if event.Handover != "" {
				s.handover = event.Handover
			}
			k.free(now, s, s.handover)
		}
		return
	}
	s.next = now + retryDelay
	if s.phase == releasing && k.unreachable(now, s.Previous) {
		k.expire(s)
	}
}

func (k *Allocator) granted(now time.Duration, s *segment, order pending, result Result) {
	if result == Unanswered && k.hasEnded(order.owner) {
		result = NotSent
	}
	if result == Accepted || result == Unanswered {
		s.expiry = max(s.expiry, k.expiryAfter(now, order.lifetime))
	}
	if result != Accepted {
		// Another try needs a newer fence, so that this one has no effect when it is carried out late.
		s.fence = 0
		s.next = now + retryDelay
		return
	}
	switch s.phase {
	case raising:
		s.phase = releasing
		s.next = now
	case fencing:
		// An older grant may have been carried out since the first release. From now on all are refused.
		s.phase = releasing
		s.next = now
	case granting:
		s.phase = held
		s.handover = ""
		s.served = s.Owner
		s.life = order.life
	case held:
		s.served = s.Owner
	}
}
