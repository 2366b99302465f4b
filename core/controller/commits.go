package controller

import (
	"time"

	"rhubarbtrack.example/core/slicer"
)

// store is the state of the stored table.
type store struct {
	version    uint64 // of the object, 0 when it does not exist
	operation  uint64 // of the latest call
	pending    bool
	reading    bool // the pending call is a read
	sentAt     time.Duration
	retryAt    time.Duration
	dirty      bool // the stored table differs from the planned one
	doubt      bool // a write may have taken effect, or its condition failed: read back first
	written    uint64
	down       bool
	probe      bool // read to learn whether the store answers
	answeredAt time.Duration
	failedAt   time.Duration // latest call without effect or with an unknown one, 0 when none
}

// sendStore reads the table after a takeover and in doubt, else writes it when it differs. One call is under way at a
// time, so changes are written together.
func (c *Controller) sendStore(now time.Duration) {
	c.checkStore(now)
	if _, configured := c.snapshot.Services[c.options.Service]; !configured {
		return
	}
	if c.store.pending || now < c.store.retryAt {
		return
	}
	if !c.loaded || c.store.doubt {
		c.readTable(now)
		return
	}
	if c.store.dirty {
		c.writeTable(now)
		return
	}
	if c.store.probe && now-c.store.answeredAt > storeTimeout {
		c.readTable(now)
	}
}

// checkStore declares the store down when a call has been without an answer for too long.
func (c *Controller) checkStore(now time.Duration) {
	if !c.store.pending || now-c.store.sentAt < storeTimeout {
		return
	}
	c.store.pending = false
	if !c.store.reading {
		c.store.doubt = true
		c.store.dirty = true
	}
	c.storeFailed(now)
}

func (c *Controller) storeFailed(now time.Duration) {
	c.store.retryAt = now + storeRetry
	c.store.failedAt = max(now, 1)
	if c.store.down {
		return
	}
	c.store.down = true
	c.log(Log{Code: StoreUnavailable, Term: c.term})
}

func (c *Controller) storeAnswered(now time.Duration) {
	c.store.answeredAt = max(now, 1)
	c.store.retryAt = 0
	if !c.store.down {
		return
	}
	c.store.down = false
	c.log(Log{Code: StoreAvailable, Term: c.term})
}

func (c *Controller) call(now time.Duration, reading bool) uint64 {
	c.store.operation++
	c.store.pending = true
	c.store.reading = reading
	c.store.sentAt = now
	return c.store.operation
}

func (c *Controller) readTable(now time.Duration) {
	c.actions = append(c.actions, ReadTable{Operation: c.call(now, true)})
}

func (c *Controller) writeTable(now time.Duration) {
	operation := c.call(now, false)
	c.store.dirty = false
	c.store.written = operation
	c.tableSeq++
	for _, id := range c.order {
		s := c.slices[id]
		if s.stage == committing || s.provisional {
			s.operation = operation
		}
	}
	for _, upstream := range c.upstreams {
		upstream.admission.operation = operation
	}
	c.actions = append(c.actions, WriteTable{
		Operation: operation,
		Expect:    c.store.version,
		Stamp:     c.stamp(operation),
		Table:     c.table(true),
	})
}

func (c *Controller) stamp(operation uint64) Stamp {
	return Stamp{Host: c.options.Host, Incarnation: c.options.Incarnation, Operation: operation}
}

func (c *Controller) applyWritten(now time.Duration, answer TableWritten) {
	if !c.store.pending || c.store.reading || answer.Operation != c.store.operation {
		return
	}
	c.store.pending = false
	switch answer.Outcome {
	case Done:
		c.storeAnswered(now)
		c.committed(answer.Operation, answer.Version)
	case Conflict:
		c.storeAnswered(now)
		c.store.dirty = true
		c.store.doubt = true
	case Refused:
		c.store.dirty = true
		c.storeFailed(now)
	case Unknown:
		c.store.dirty = true
		c.store.doubt = true
		c.storeFailed(now)
	}
}

// committed ends the wait of everything that the write contained.
func (c *Controller) committed(operation, version uint64) {
	c.store.version = version
	c.store.doubt = false
	for _, id := range c.order {
		s := c.slices[id]
		if s.operation != operation {
			continue
		}
		s.operation = 0
		s.provisional = false
		s.uncommitted = ""
		s.edit = nil
		if s.stage == committing {
			c.own(s)
		}
	}
	for _, upstream := range c.upstreams {
		if upstream.admission.commit(operation) {
			upstream.leasesDue = true
		}
	}
}

func (c *Controller) applyRead(now time.Duration, answer TableRead) {
	if !c.store.pending || !c.store.reading || answer.Operation != c.store.operation {
		return
	}
	c.store.pending = false
	if answer.Outcome != Done {
		c.storeFailed(now)
		return
	}
	c.storeAnswered(now)
	if answer.Table.Version.Term > c.term {
		// A later controller has written: this one acts no more, whatever its witnesses say.
		c.right = LeaderLease{}
		c.log(Log{Code: Superseded, Term: answer.Table.Version.Term})
		return
	}
	if !c.loaded {
		c.load(now, answer)
		return
	}
	if c.store.doubt {
		c.resolveDoubt(answer)
	}
}

// resolveDoubt learns from the stamp of the stored table whether the last write took effect.
func (c *Controller) resolveDoubt(answer TableRead) {
	c.store.doubt = false
	if answer.Version != 0 && answer.Stamp == c.stamp(c.store.written) {
		c.committed(c.store.written, answer.Version)
		return
	}
	// The write did not take effect, or not yet: its condition fails once the next write has succeeded.
	c.store.version = answer.Version
	c.store.dirty = true
}

// load takes the stored table as the preference of the takeover.
func (c *Controller) load(now time.Duration, answer TableRead) {
	c.loaded = true
	// Writing once makes every delayed write of an earlier controller fail its condition.
	c.store.dirty = true
	c.store.version = answer.Version
	table := answer.Table
	if c.keyed() && len(table.Ranges) == 0 {
		count := min(max(c.snapshot.Services[c.options.Service].SliceCount, 1), MaxRanges)
		table = slicer.New(c.options.Service, count)
	}
	for _, entry := range table.Ranges {
		c.addSlice(entry)
	}
	for _, entry := range table.Hot {
		c.addSlice(entry)
	}
	c.lastID = max(c.lastID, table.LastID)
	c.sortOrder()
	for name, admission := range table.Admission {
		c.upstream(name).admission.stored(admission)
	}
	c.noteUpstreams(now)
	c.changed()
}
