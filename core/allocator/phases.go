package allocator

import (
	"time"

	"rhubarbtrack.example/core/identifier"
)

// progress sends the next order for a range or changes its phase, if that is due.
func (a *Allocator) progress(now time.Duration, s *segment) {
	if s.orderID != 0 {
		return
	}
	if committed := s.phase == committing && a.storedVersion >= s.commitVersion; now < s.nextOrder && !committed {
		return
	}
	if s.phase != committing && !s.Previous.IsZero() && a.latest(s.Previous) == s.Owner {
		// The former owner has ended, and the owner is the next process under its ID: there is nobody else to release.
		s.ownerExpiry = max(s.ownerExpiry, s.expiry)
		a.startGranting(now, s, "")
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
		if a.unreachable(now, a.latest(s.Previous)) {
			a.awaitExpiry(s)
			return
		}
		if a.latest(s.Previous) != s.Previous {
			a.startReleasing(s)
			a.progress(now, s)
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
		if latest := a.latest(s.Previous); !s.contacted.IsZero() && latest != s.contacted {
			// The upstream has restarted. The new process responds, but it may have received the last renewal.
			s.contacted = latest
			a.startReleasing(s)
			return
		}
		if s.expiry-now > lastProbeBeforeExpiry {
			// The upstream may be reachable again, or another process may use its address.
			a.release(now, s, s.Previous)
			s.nextOrder = now + probeInterval
		}
	case releasingPrevious:
		if now >= s.expiry {
			a.startGranting(now, s, "")
			return
		}
		a.release(now, s, s.Previous)
	case granting:
		if a.upstreams[s.Owner.ID].Incarnation == s.Owner {
			a.grant(now, s, s.Owner)
		}
	case held:
		a.grant(now, s, s.Owner)
	}
}

func (a *Allocator) progressCommit(now time.Duration, s *segment) {
	if a.storedVersion < s.commitVersion {
		// The former owner serves the range until the table is stored, so its grant is renewed.
		if !s.Previous.IsZero() && s.routedTo == s.Previous && a.latest(s.Previous) == s.Previous && now >= s.movedAt+RenewInterval {
			a.grant(now, s, s.Previous)
		}
		return
	}
	switch {
	case s.Previous.IsZero():
		s.phase = granting
		a.progress(now, s)
	case now >= s.expiry:
		a.startGranting(now, s, "")
	case a.unreachable(now, a.latest(s.Previous)):
		a.awaitExpiry(s)
	default:
		s.phase = raisingFence
		a.progress(now, s)
	}
}

// markStopped records that an incarnation has stopped, which voids its grants. Another one with the same ID keeps its grants.
// sentAt is the time of the order that arrived at another process: grants after it may have arrived at yet another one, with the
// same ID, that uses the address again.
func (a *Allocator) markStopped(now, sentAt time.Duration, upstream identifier.Incarnation) {
	if upstream.Start == 0 {
		return
	}
	if !a.stopped[upstream] {
		a.stopped[upstream] = true
		a.actions = append(a.actions, UpstreamStopped{upstream})
	}
	for _, s := range a.segments {
		isPending := s.orderID != 0 && a.pending[s.orderID].lifetime > 0
		if s.holder() == upstream && !isPending && s.grantEnded <= sentAt {
			s.expiry = min(s.expiry, max(now, s.inheritedExpiry))
		}
		if s.routedTo == upstream {
			s.routedTo = identifier.Incarnation{}
		}
	}
}

// holder returns the upstream that may have a grant for the range, apart from Owner during a move.
func (s *segment) holder() identifier.Incarnation {
	if s.Previous.IsZero() {
		return s.Owner
	}
	return s.Previous
}

// unreachable reports whether the upstream has failed all orders for so long that its ranges need another owner.
func (a *Allocator) unreachable(now time.Duration, upstream identifier.Incarnation) bool {
	streak := a.failureStreaks[upstream]
	return streak.count >= unreachableOrders && now >= streak.since+unreachableAfter
}

// startReleasing releases the range from the former owner, or from a later incarnation of it, with a fence that is newer than those
// of its grants.
func (a *Allocator) startReleasing(s *segment) {
	s.phase = releasing
	s.fence = 0
}

// awaitExpiry stops routing to the former owner and waits until its grants expire.
func (a *Allocator) awaitExpiry(s *segment) {
	s.phase = expiring
	s.fence = 0
	s.routedTo = identifier.Incarnation{}
}

// startGranting removes the former owner, which has no valid grant any more, and grants the range to the new one.
func (a *Allocator) startGranting(now time.Duration, s *segment, handover string) {
	s.phase = granting
	s.Previous = identifier.Incarnation{}
	s.contacted = identifier.Incarnation{}
	if s.routedTo != s.Owner {
		s.routedTo = identifier.Incarnation{}
	}
	s.handover = handover
	s.fence = 0
	s.expiry = s.ownerExpiry
	s.ownerExpiry = 0
	s.nextOrder = now
	a.markChanged(now, settledCommitDelay)
	a.progress(now, s)
}

func (a *Allocator) nextFence() uint64 {
	a.lastFence++
	return a.lastFence
}

func (a *Allocator) newOrder(now time.Duration, s *segment, upstream identifier.Incarnation, lifetime time.Duration) uint64 {
	a.lastOrderID++
	s.orderID = a.lastOrderID
	a.pending[a.lastOrderID] = pendingOrder{segment: s, upstream: upstream, fence: s.fence, lifetime: lifetime, sentAt: now}
	if upstream.ID == s.holder().ID {
		s.contacted = upstream
	}
	return a.lastOrderID
}

// grant orders the given holder of the range to hold it.
func (a *Allocator) grant(now time.Duration, s *segment, holder identifier.Incarnation) {
	if len(a.pending) >= maxPendingOrders {
		return
	}
	// A move needs a newer fence, and so does a range whose last grant failed.
	if s.fence == 0 || s.phase == raisingFence {
		s.fence = a.nextFence()
	}
	lifetime := a.lifetime
	if a.failureStreaks[holder].count > 0 {
		lifetime = min(lifetime, max(minRetryLifetime, lifetimeLeft(now, s.expiry)))
	}
	handover := ""
	if s.phase == granting {
		handover = s.handover
	}
	id := a.newOrder(now, s, holder, lifetime)
	a.actions = append(a.actions, Grant{
		id, holder, s.From, s.To, s.fence, lifetime, handover, s.fence == s.acceptedFence && lifetime == s.acceptedLifetime,
	})
	s.nextOrder = now + RenewInterval
}

// lifetimeLeft returns the longest lifetime of a grant that is sent now and expires by the given time in any case.
func lifetimeLeft(now, expiry time.Duration) time.Duration {
	return time.Duration(float64(expiry-now-maxCallTime-expiryMargin) / (1 + clockDrift))
}

// ordersUnderWayUntil returns until when orders of the former controller may be under way. One of them could reach a process that
// starts after a release and has not seen its fence.
func (a *Allocator) ordersUnderWayUntil() time.Duration { return a.startTime + maxCallTime }

// release orders the given holder of the range, or a later incarnation of it, to release the range.
func (a *Allocator) release(now time.Duration, s *segment, holder identifier.Incarnation) {
	if len(a.pending) >= maxPendingOrders {
		return
	}
	if underWay := a.ordersUnderWayUntil(); now < underWay {
		s.nextOrder = underWay
		return
	}
	if s.phase != releasingPrevious {
		s.routedTo = identifier.Incarnation{}
	}
	if s.fence == 0 {
		s.fence = a.nextFence()
	}
	upstream := a.latest(holder)
	id := a.newOrder(now, s, upstream, 0)
	a.actions = append(a.actions, Release{id, upstream, s.From, s.To, s.fence})
	s.nextOrder = now + retryDelay
}

func (a *Allocator) handleOrderCompleted(now time.Duration, event OrderCompleted) {
	order, ok := a.pending[event.OrderID]
	if !ok {
		return
	}
	delete(a.pending, event.OrderID)
	s := order.segment
	if s != nil {
		s.orderID = 0
	}
	if event.Result == Replaced {
		a.markStopped(now, order.sentAt, order.upstream)
		event.Result = NotSent
	}
	a.recordResult(now, order.upstream, event.Result)
	if order.revoked != nil {
		order.revoked.complete(now, order, event.Result)
		return
	}
	if order.lifetime == 0 {
		a.handleReleaseResult(now, s, event)
		return
	}
	a.handleGrantResult(now, s, order, event.Result)
}

func (a *Allocator) recordResult(now time.Duration, upstream identifier.Incarnation, result Result) {
	if result == Accepted || result == Stale {
		delete(a.failureStreaks, upstream)
		return
	}
	streak := a.failureStreaks[upstream]
	if streak.count == 0 {
		streak.since = now
	}
	streak.count++
	streak.last = now
	a.failureStreaks[upstream] = streak
	if !streak.reported && a.unreachable(now, upstream) {
		streak.reported = true
		a.failureStreaks[upstream] = streak
		a.actions = append(a.actions, UpstreamUnreachable{upstream})
	}
}

func (a *Allocator) handleReleaseResult(now time.Duration, s *segment, event OrderCompleted) {
	if event.Result == Accepted {
		s.nextOrder = now
		switch s.phase {
		default:
			if event.Handover != "" {
				s.handover = event.Handover
			}
			a.startGranting(now, s, s.handover)
		}
		return
	}
	s.nextOrder = now + retryDelay
	if s.phase == releasing && a.unreachable(now, a.latest(s.Previous)) {
		a.awaitExpiry(s)
	}
}

func (a *Allocator) handleGrantResult(now time.Duration, s *segment, order pendingOrder, result Result) {
	if result == Accepted || result == Unanswered {
		s.grantEnded = now
		s.expiry = max(s.expiry, GrantExpiry(now, order.lifetime))
	}
	if result != Accepted {
		// The retry needs a newer fence, so that the upstream rejects this grant if it arrives late.
		s.fence = 0
		s.nextOrder = now + retryDelay
		return
	}
	switch s.phase {
	case raisingFence:
		a.startReleasing(s)
		s.nextOrder = now
	case granting, held:
		s.phase = held
		s.acceptedFence, s.acceptedLifetime = order.fence, order.lifetime
		s.handover = ""
		s.routedTo = s.Owner
		if order.lifetime < a.lifetime {
			s.nextOrder = now // the upstream responds again
		}
	}
}
