package controller

import (
	"time"

	"rhubarbtrack.example/core/slicer"
)

// store is the state of the stored table and of the calls to the store, of which at most one is under way.
type store struct {
	version        uint64 // of the stored object, 0 when it does not exist
	operation      uint64 // number of the latest call
	pending        bool
	reading        bool // the pending call is a read
	sentAt         time.Duration
	nextCallAt     time.Duration
	dirty          bool // the stored table differs from the planned one
	readBack       bool // the outcome of a write is unknown, or its condition failed: read before the next write
	writeOperation uint64
	down           bool
	probe          bool // read the table to check that the store replies
	repliedAt      time.Duration
	failedAt       time.Duration // latest call that the store rejected or whose outcome is unknown, 0 when none
}

// sendStore reads the table after a takeover and after a write with an unknown outcome. Otherwise it writes the table
// if it has changed. Changes that arrive during a call are written together by the next one.
func (c *Controller) sendStore(now time.Duration) {
	c.checkStore(now)
	if _, configured := c.snapshot.Services[c.options.Service]; !configured {
		return
	}
	if c.store.pending || now < c.store.nextCallAt {
		return
	}
	if !c.loaded || c.store.readBack {
		c.readTable(now)
		return
	}
	if c.store.dirty {
		c.writeTable(now)
		return
	}
	if c.store.probe && now-c.store.repliedAt > storeTimeout {
		c.readTable(now)
	}
}

// checkStore marks the store as down when a call has no reply within storeTimeout.
func (c *Controller) checkStore(now time.Duration) {
	if !c.store.pending || now-c.store.sentAt < storeTimeout {
		return
	}
	c.store.pending = false
	if !c.store.reading {
		c.store.readBack = true
		c.store.dirty = true
	}
	c.storeFailed(now)
}

func (c *Controller) storeFailed(now time.Duration) {
	c.store.nextCallAt = now + storeRetry
	c.store.failedAt = max(now, 1)
	if c.store.down {
		return
	}
	c.store.down = true
	c.log(Log{Code: StoreUnavailable, Term: c.term})
}

func (c *Controller) storeReplied(now time.Duration) {
	c.store.repliedAt = max(now, 1)
	c.store.nextCallAt = 0
	if !c.store.down {
		return
	}
	c.store.down = false
	c.log(Log{Code: StoreAvailable, Term: c.term})
}

func (c *Controller) startCall(now time.Duration, reading bool) uint64 {
	c.store.operation++
	c.store.pending = true
	c.store.reading = reading
	c.store.sentAt = now
	return c.store.operation
}

func (c *Controller) readTable(now time.Duration) {
	c.actions = append(c.actions, ReadTable{Operation: c.startCall(now, true)})
}

func (c *Controller) writeTable(now time.Duration) {
	operation := c.startCall(now, false)
	c.store.dirty = false
	c.store.writeOperation = operation
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

func (c *Controller) applyWritten(now time.Duration, result TableWritten) {
	if !c.store.pending || c.store.reading || result.Operation != c.store.operation {
		return
	}
	c.store.pending = false
	switch result.Outcome {
	case Done:
		c.storeReplied(now)
		c.committed(result.Operation, result.Version)
	case Conflict:
		c.storeReplied(now)
		c.store.dirty = true
		c.store.readBack = true
	case Refused:
		c.store.dirty = true
		c.storeFailed(now)
	case Unknown:
		c.store.dirty = true
		c.store.readBack = true
		c.storeFailed(now)
	}
}

// committed applies a successful write: the slices and admission roles that it contained take effect.
func (c *Controller) committed(operation, version uint64) {
	c.store.version = version
	c.store.readBack = false
	for _, id := range c.order {
		s := c.slices[id]
		if s.operation != operation {
			continue
		}
		s.operation = 0
		s.provisional = false
		s.uncommittedOwner = ""
		s.edit = nil
		if s.stage == committing {
			c.finishMove(s)
		}
	}
	for _, upstream := range c.upstreams {
		if upstream.admission.commit(operation) {
			upstream.leasesDue = true
		}
	}
}

func (c *Controller) applyRead(now time.Duration, result TableRead) {
	if !c.store.pending || !c.store.reading || result.Operation != c.store.operation {
		return
	}
	c.store.pending = false
	if result.Outcome != Done {
		c.storeFailed(now)
		return
	}
	c.storeReplied(now)
	if result.Table.Version.Term > c.term {
		// A later controller has written the table. This one must stop, even if its leader lease has not expired.
		c.leaderLease = LeaderLease{}
		c.log(Log{Code: Superseded, Term: result.Table.Version.Term})
		return
	}
	if !c.loaded {
		c.load(now, result)
		return
	}
	if c.store.readBack {
		c.resolveWrite(result)
	}
}

// resolveWrite compares the stamp of the stored table with the last write to determine whether that write took
// effect.
func (c *Controller) resolveWrite(result TableRead) {
	c.store.readBack = false
	if result.Version != 0 && result.Stamp == c.stamp(c.store.writeOperation) {
		c.committed(c.store.writeOperation, result.Version)
		return
	}
	// The write has not taken effect. If it is still delayed, the next successful write makes its condition fail.
	c.store.version = result.Version
	c.store.dirty = true
}

// load starts the takeover from the stored table. Its owners and admission hosts are preferences until the upstreams
// and hosts have reported what they hold.
func (c *Controller) load(now time.Duration, result TableRead) {
	c.loaded = true
	// One write makes every delayed write of an earlier controller fail its condition.
	c.store.dirty = true
	c.store.version = result.Version
	table := result.Table
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
		c.ensureUpstream(name).admission.applyStored(admission)
	}
	c.updateUpstreams(now)
	c.markTableChanged()
}
