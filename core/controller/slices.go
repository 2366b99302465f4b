package controller

import (
	"time"

	"rhubarbtrack.example/core/slicer"
)

// stage is the state of a slice within a takeover or a move.
type stage int

const (
	// unresolved slices may have a holder that the controller does not know yet after a takeover.
	unresolved stage = iota
	// owned slices are granted to their owner or will be with the next order.
	owned
	// stopping slices wait until the admission host admits no request to them and none is in flight.
	stopping
	// revoking slices wait until the owner no longer holds them.
	revoking
	// committing slices have no holder and wait until the next owner is stored.
	committing
	// unowned slices have no holder and no next owner yet.
	unowned
)

// slice is the state of one slice. In stages stopping and revoking, owner is the old owner and target the next one;
// in stage committing both are the next owner.
type slice struct {
	id               uint32
	low              uint64
	hotKey           string
	stage            stage
	owner            string
	epoch            uint64
	target           string
	stopSeq          uint64 // Seq of the first SendLeases that asked for the stop, 0 before that
	stopped          bool   // the admission host has confirmed the stop
	operation        uint64 // number of the table write that contains the next owner, 0 before that
	provisional      bool   // assigned while the store was down, not stored yet
	edit             *edit  // edit under way, nil when there is none
	uncommittedOwner string // owner of this hot key by an edit that is not stored yet, otherwise empty
}

// tableEntry returns the entry for the routed table, or with planned set for the stored one. The stored table keeps
// the last owner of a slice without owner, because its epoch belongs to that assignment.
func (s *slice) tableEntry(planned bool) slicer.Slice {
	entry := slicer.Slice{ID: s.id, Low: s.low, HotKey: s.hotKey, Owner: s.owner, Epoch: s.epoch}
	if !planned && (s.stage == unowned || s.stage == committing) {
		entry.Owner = ""
	}
	return entry
}

func (c *Controller) advanceSlices(now time.Duration) {
	c.dropRemoved(now)
	lost := c.countLost(now)
	if c.stableGeneration == c.generation && c.stableLost == lost {
		return
	}
	settled := c.allResolvable(now)
	finished := true
	idle := true
	for _, id := range c.order {
		s := c.slices[id]
		if s == nil {
			continue // removed by a Fold in an earlier iteration
		}
		c.advanceSlice(now, s, settled)
		finished = finished && s.stage != unresolved
		idle = idle && s.stage == owned
	}
	c.stableGeneration = 0
	if idle {
		c.stableGeneration = c.generation
		c.stableLost = lost
	}
	if finished && !c.takeoverFinished {
		c.takeoverFinished = true
		c.log(Log{Code: TakeoverFinished, Term: c.term, Slices: len(c.order)})
	}
}

func (c *Controller) countLost(now time.Duration) int {
	count := 0
	for _, upstream := range c.upstreams {
		if upstream.lost(now) {
			count++
		}
	}
	return count
}

func (c *Controller) advanceSlice(now time.Duration, s *slice, settled bool) {
	switch s.stage {
	case unresolved:
		c.resolve(now, s, settled)
	case owned:
		c.checkOwner(now, s)
	case stopping:
		c.advanceStop(now, s)
	case revoking:
		c.advanceRevocation(now, s)
	case committing:
		c.advanceCommit(s)
	}
}

// allResolvable reports whether each upstream has replied in this term or its grants have expired, so that no unknown
// grants of an earlier controller can be valid.
func (c *Controller) allResolvable(now time.Duration) bool {
	for _, upstream := range c.upstreams {
		if !upstream.replied && !upstream.expired(now) {
			return false
		}
	}
	return true
}

// resolve sets the owner of a slice after a takeover: the upstream that holds it, otherwise the stored owner once no
// upstream can hold it.
func (c *Controller) resolve(now time.Duration, s *slice, settled bool) {
	if holder, grant := c.holder(s.id); holder != "" {
		if holder != s.owner || grant.Epoch != s.epoch {
			// An earlier controller assigned the slice provisionally, or stored a next owner without granting to it.
			s.provisional = true
			c.store.dirty = true
		}
		s.owner = holder
		s.epoch = grant.Epoch
		s.stage = owned
		c.markTableChanged()
		return
	}
	if !settled {
		return
	}
	if s.owner == "" {
		s.stage = unowned
		c.markChanged()
		return
	}
	owner := c.upstreams[s.owner]
	if !owner.config.ChecksFence && !owner.replied && !owner.removed && !owner.processStopped(now) {
		return
	}
	s.stage = owned
	c.markTableChanged()
	c.checkOwner(now, s)
}

// holder returns the upstream that reports the slice with the highest fence, an empty name when none reports it.
func (c *Controller) holder(id uint32) (string, slicer.Fence) {
	best := slicer.Fence{}
	name := ""
	for _, candidate := range c.names() {
		upstream := c.upstreams[candidate]
		grant, ok := upstream.held[id]
		if ok && upstream.replied && (name == "" || newer(grant, best)) {
			best = grant
			name = candidate
		}
	}
	return name, best
}

func newer(a, b slicer.Fence) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Epoch > b.Epoch
}

// checkOwner removes a lost owner from its slice.
func (c *Controller) checkOwner(now time.Duration, s *slice) {
	owner := c.upstreams[s.owner]
	if owner.lost(now) {
		s.stage = unowned
		s.provisional = false
		c.nextPlanAt = 0
		c.markTableChanged()
	}
}

// startMove starts a move or, if target is the present owner, an edit.
func (c *Controller) startMove(s *slice, target string) {
	s.target = target
	s.stopSeq = 0
	s.stopped = false
	s.operation = 0
	if s.stage == unowned {
		c.assign(s)
		return
	}
	s.stage = stopping
	c.markChanged()
	c.upstreams[s.owner].leasesDue = true
	c.log(Log{Code: MoveStarted, Upstream: target, Slices: 1, Term: c.term})
}

func (c *Controller) advanceStop(now time.Duration, s *slice) {
	if owner := c.upstreams[s.owner]; c.store.down && !c.draining(owner) && !owner.processStopped(now) {
		// A voluntary move is abandoned during a store outage, as the old owner still holds the slice. A draining
		// owner will soon get no new work, so its slices move nevertheless and are assigned provisionally.
		s.abandonEdit()
		s.stage = owned
		s.target = ""
		c.markChanged()
		c.upstreams[s.owner].leasesDue = true
		return
	}
	if !c.stopSatisfied(now, s) {
		return
	}
	s.stage = revoking
	c.markChanged()
	c.advanceRevocation(now, s)
}

// stopSatisfied reports whether no host can admit requests to the slice.
func (c *Controller) stopSatisfied(now time.Duration, s *slice) bool {
	admission := &c.upstreams[s.owner].admission
	if now >= admission.leaseEnd {
		return true
	}
	return s.stopped
}

func (c *Controller) advanceRevocation(now time.Duration, s *slice) {
	owner := c.upstreams[s.owner]
	if !c.released(now, s, owner) {
		return
	}
	if s.edit != nil && !s.edit.abandoned {
		c.finishEdit(now, s.edit)
		return
	}
	s.edit = nil
	c.assign(s)
}

// released reports whether the owner can no longer serve the slice. It cannot be released while an order with an
// unknown outcome may still add it.
func (c *Controller) released(now time.Duration, s *slice, owner *upstream) bool {
	if owner.expired(now) && (owner.config.ChecksFence || owner.removed || owner.processStopped(now)) {
		return true
	}
	if _, held := owner.held[s.id]; held {
		return false
	}
	return owner.replied && !owner.mayAdd(s.id)
}

// assign makes target the next owner of a slice that no upstream holds.
func (c *Controller) assign(s *slice) {
	s.stage = committing
	s.owner = s.target
	s.epoch++
	s.operation = 0
	c.store.dirty = true
	c.markTableChanged()
}

// advanceCommit grants a slice before its assignment is stored when the store is down.
func (c *Controller) advanceCommit(s *slice) {
	if !c.store.down || s.uncommittedOwner != "" && s.uncommittedOwner != s.owner {
		return
	}
	if s.edit != nil && s.edit.folded != nil {
		c.restoreFolded(s)
		return
	}
	c.finishMove(s)
	s.provisional = true
	c.store.dirty = true
	c.log(Log{Code: AssignedProvisionally, Upstream: s.owner, Slices: 1, Term: c.term})
}

func (c *Controller) finishMove(s *slice) {
	s.stage = owned
	s.target = ""
	c.markTableChanged()
	c.log(Log{Code: MoveFinished, Upstream: s.owner, Slices: 1, Term: c.term})
}

// markTableChanged schedules the publication of the routed table.
func (c *Controller) markTableChanged() {
	c.publishDue = true
	c.markChanged()
}

// markChanged starts a new generation: slices, orders and the plan are evaluated again, which is skipped while
// nothing has changed.
func (c *Controller) markChanged() {
	c.generation++
}
