package controller

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
)

// edit is a change of the set of keys of a range: Isolate gives one of its keys a slice of its own, Fold reverts
// that. It runs like a move to the same owner: the slices concerned are stopped and revoked, the edit is applied
// while no upstream holds them, and new epochs are granted once it is stored. No fence that covered the key before
// the edit is valid after it.
type edit struct {
	key       string
	rangeID   uint32
	hotID     uint32 // for Fold: the slice of the key
	fold      bool
	abandoned bool   // the store went down before the edit was applied
	folded    *slice // for Fold: the removed slice, until the edit is stored
}

// storeReplyMaxAge is the maximum age of the latest reply of the store at the start of an edit. An older reply
// causes a read first. Without that read, the first edit of an outage is what detects the outage: its key is then
// bound to its owner until the store is back, and is not served if that owner crashes (20 s without service in demo
// --scenario store-outage).
const storeReplyMaxAge = 200 * time.Millisecond

// beginEdit starts an edit and returns the number of slices that are stopped for it, 0 if the edit is not possible
// now.
func (c *Controller) beginEdit(now time.Duration, move Move, input Input) int {
	s := c.slices[move.Slice]
	if s == nil || !input.Voluntary || !c.canEdit(s, input) || !c.storeRepliedRecently(now) {
		return 0
	}
	if move.Fold != "" {
		return c.beginFold(s, move.Fold, input)
	}
	keyRange := c.rangeOf(hasher.Sum(move.Isolate))
	if keyRange != s || len(move.Isolate) > slicer.MaxHotKeyBytes ||
		c.countHot() >= slicer.MaxHotKeys || c.isHot(move.Isolate) {
		return 0
	}
	s.edit = &edit{key: move.Isolate, rangeID: s.id}
	c.startMove(s, s.owner)
	return 1
}

// storeRepliedRecently reports whether the store has replied within storeReplyMaxAge. Otherwise it starts a read and
// schedules the next call of Plan.
func (c *Controller) storeRepliedRecently(now time.Duration) bool {
	if c.store.repliedAt > 0 && now-c.store.repliedAt <= storeReplyMaxAge {
		return true
	}
	c.planDueAt = now + planInterval
	if !c.store.pending && now >= c.store.nextCallAt {
		c.readTable(now)
	}
	return false
}

func (c *Controller) beginFold(hot *slice, key string, input Input) int {
	keyRange := c.rangeOf(hot.low)
	if hot.hotKey != key || keyRange == nil || !c.canEdit(keyRange, input) || keyRange.owner != hot.owner {
		return 0
	}
	hot.edit = &edit{key: key, rangeID: keyRange.id, hotID: hot.id, fold: true}
	keyRange.edit = hot.edit
	c.startMove(hot, hot.owner)
	c.startMove(keyRange, keyRange.owner)
	return 2
}

// canEdit reports whether the slice is granted, its assignment is stored and its owner is eligible.
func (c *Controller) canEdit(s *slice, input Input) bool {
	if s.stage != owned || s.provisional || s.uncommittedOwner != "" {
		return false
	}
	return slices.ContainsFunc(input.Upstreams, func(u UpstreamState) bool { return u.Name == s.owner && u.Eligible })
}

// rangeOf returns the range that contains the hash, nil when there are no ranges.
func (c *Controller) rangeOf(hash uint64) *slice {
	var keyRange *slice
	for _, id := range c.order {
		s := c.slices[id]
		if s.hotKey == "" && s.low <= hash && (keyRange == nil || s.low > keyRange.low) {
			keyRange = s
		}
	}
	return keyRange
}

// countHot counts the hot keys, including those with an isolation under way.
func (c *Controller) countHot() int {
	count := 0
	for _, s := range c.slices {
		if s.hotKey != "" || s.edit != nil && !s.edit.fold {
			count++
		}
	}
	return count
}

func (c *Controller) isHot(key string) bool {
	for _, s := range c.slices {
		if s.hotKey == key {
			return true
		}
	}
	return false
}

// abandonEdit cancels the edit of the slice. If the other slice of a Fold has already been revoked, it is granted to
// its owner again.
func (s *slice) abandonEdit() {
	if s.edit != nil {
		s.edit.abandoned = true
		s.edit = nil
	}
}

// finishEdit applies the edit once no upstream holds the slices concerned.
func (c *Controller) finishEdit(now time.Duration, e *edit) {
	keyRange := c.slices[e.rangeID]
	if !e.fold {
		keyRange.edit = nil
		c.assign(keyRange)
		c.addHot(keyRange, e.key)
		return
	}
	hot := c.slices[e.hotID]
	for _, s := range []*slice{keyRange, hot} {
		if s.stage != revoking || !c.released(now, s, c.upstreams[s.owner]) {
			return
		}
	}
	e.folded = hot
	hot.edit = nil
	delete(c.slices, hot.id)
	c.order = slices.DeleteFunc(slices.Clone(c.order), func(id uint32) bool { return id == hot.id })
	c.assign(keyRange)
}

// addHot adds the slice of a key to the planned table. Its first epoch is the term, because an earlier controller may
// have used the same ID for another key without storing it. A fence of that slice must not be valid for this one.
func (c *Controller) addHot(keyRange *slice, key string) {
	hot := &slice{id: c.newID(), low: hasher.Sum(key), hotKey: key, stage: committing, owner: keyRange.owner,
		target: keyRange.owner, epoch: c.term, uncommittedOwner: keyRange.owner}
	c.slices[hot.id] = hot
	c.order = append(slices.Clone(c.order), hot.id)
}

// newID returns an ID above all IDs that are stored or held by any upstream.
func (c *Controller) newID() uint32 {
	for _, upstream := range c.upstreams {
		for id := range upstream.held {
			c.lastID = max(c.lastID, id)
		}
	}
	c.lastID++
	return c.lastID
}

// restoreFolded reverts a Fold whose write has an unknown outcome because the store went down. A successor may read a
// table that still has the hot key, and grant it. If the range covered the key as well, two upstreams could own it.
// The hot slice must not leave its owner before a later write succeeds. The range may, because its new epoch never
// covered the key.
func (c *Controller) restoreFolded(keyRange *slice) {
	hot := keyRange.edit.folded
	keyRange.edit = nil
	for _, s := range []*slice{keyRange, hot} {
		s.target = s.owner
		s.epoch++
		s.operation = 0
		s.provisional = true
	}
	hot.uncommittedOwner = hot.owner
	c.slices[hot.id] = hot
	c.order = append(slices.Clone(c.order), hot.id)
	slices.Sort(c.order)
	c.store.dirty = true
	c.finishMove(keyRange)
	c.finishMove(hot)
}
