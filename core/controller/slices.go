package controller

import (
	"time"

	"rhubarbtrack.example/core/slicer"
)

// stage is the progress of a slice.
type stage int

const (
	// unresolved slices of a takeover have no known holder yet.
	unresolved stage = iota
	// owned slices are granted to their owner, or will be with the next order.
	owned
	// stopping slices wait until the admission host has stopped and drained them.
	stopping
	// revoking slices wait until the owner does not hold them any more.
	revoking
	// committing slices are held by nobody and wait until the next owner is stored.
	committing
	// unowned slices are held by nobody and have no next owner yet.
	unowned
)

// slice is the state of one slice. In stages stopping and revoking, owner is the old owner and target the next one; in
// stage committing both are the next owner.
type slice struct {
	id               uint32
	low              uint64
	hotKey           string
	stage            stage
	owner            string
	epoch            uint64
	target           string
	stopSeq          uint64 // of the first lease message that asked for the stop, 0 before that
	stopped          bool   // the admission host has answered the stop
	operation        uint64 // table write that contains the next owner, 0 before that
	provisional      bool   // assigned while the store was down, not stored yet
	edit             *edit  // change of the set of keys under way
	uncommittedOwner string // upstream that got this hot key by an edit which is not stored yet, empty otherwise
}

// tableEntry returns the slice for the routed table, or with planned owners for the stored one. The stored table keeps the
// last owner of a slice that has none, because its epoch belongs to that assignment.
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
			continue // folded by an earlier round of this loop
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

// allResolvable reports whether every upstream that may hold unknown grants of an earlier controller has answered in this
// term or its grants have expired.
func (c *Controller) allResolvable(now time.Duration) bool {
	for _, upstream := range c.upstreams {
		if !upstream.answered && !upstream.expired(now) {
			return false
		}
	}
	return true
}

// resolve finds the owner of a slice after a takeover: the upstream that holds it, else the stored owner once nobody can
// hold it.
func (c *Controller) resolve(now time.Duration, s *slice, settled bool) {
	if holder, grant := c.holder(s.id); holder != "" {
		if holder != s.owner || grant.Epoch != s.epoch {
			// Assigned provisionally by an earlier controller, or written but never granted.
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
	if !owner.config.ChecksFence && !owner.answered && !owner.removed && !owner.processStopped(now) {
		return
	}
	s.stage = owned
	c.markTableChanged()
	c.checkOwner(now, s)
}

// holder returns the upstream that reports the slice with the highest fence.
func (c *Controller) holder(id uint32) (string, slicer.Fence) {
	best := slicer.Fence{}
	name := ""
	for _, candidate := range c.names() {
		upstream := c.upstreams[candidate]
		grant, ok := upstream.held[id]
		if ok && upstream.answered && (name == "" || newer(grant, best)) {
			best = grant
			name = candidate
		}
	}
	return name, best
}

func newer(a, b slicer.Fence) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Epoch > b.Epoch
}

// checkOwner releases the slice of an owner that is lost.
func (c *Controller) checkOwner(now time.Duration, s *slice) {
	owner := c.upstreams[s.owner]
	if owner.lost(now) {
		s.stage = unowned
		s.provisional = false
		c.nextPlanAt = 0
		c.markTableChanged()
	}
}

// startMove starts a move to target.
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
		// No voluntary move during a store outage: the old owner still holds the slice. An owner that is to be emptied
		// gets no new work soon, so its slices move and are assigned provisionally.
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

// stopSatisfied reports whether no host can admit a request to the slice any more.
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

// released reports whether the owner can serve the slice no more. An order under way may still add it.
func (c *Controller) released(now time.Duration, s *slice, owner *upstream) bool {
	if owner.expired(now) && (owner.config.ChecksFence || owner.removed || owner.processStopped(now)) {
		return true
	}
	if _, held := owner.held[s.id]; held {
		return false
	}
	return owner.answered && !owner.mayAdd(s.id)
}

// assign makes target the next owner of a slice that nobody holds.
func (c *Controller) assign(s *slice) {
	s.stage = committing
	s.owner = s.target
	s.epoch++
	s.operation = 0
	c.store.dirty = true
	c.markTableChanged()
}

// advanceCommit grants without a stored table when the store is down.
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

// markTableChanged notes that the routed table differs from the published one.
func (c *Controller) markTableChanged() {
	c.publishDue = true
	c.markChanged()
}

// markChanged notes a change of what should be granted, so that work skipped since the last one is done again.
func (c *Controller) markChanged() {
	c.generation++
}
