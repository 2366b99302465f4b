package allocator

import "time"

func (a *Allocator) start(now time.Duration, event TermStarted) {
	a.started = true
	a.generation = event.Generation
	a.startTime = now
	a.loadPeriodEnd = now
	a.loadPeriod = 0
	a.load = [keySpace]float32{}
	a.term = event.Term
	a.lastFence = event.Term << fenceBits
	a.segments = nil
	a.pending = map[uint64]pendingOrder{}
	a.writingVersion = 0
	a.storedVersion = a.version
	// The former controller may have sent grants of any lifetime until its lease ended. The last ones are still under way.
	expiry := GrantExpiry(now+maxCallTime, a.options.MaxLifetime)
	for _, row := range event.Table {
		s := &segment{Range: row, phase: granting, expiry: expiry, inheritedExpiry: expiry, commitVersion: a.version}
		if s.Owner.Start == 0 {
			s.Owner = a.latest(s.Owner)
		}
		s.routedTo = s.Owner
		if !row.Previous.IsZero() {
			s.phase = releasingPrevious
			s.ownerExpiry = expiry
		}
		a.segments = append(a.segments, s)
	}
	if event.Recovery != nil {
		a.startRecovery(expiry, *event.Recovery)
	}
}

// IsLost reports whether the store may lack the table in its present generation. A successor would not know who holds grants.
func (a *Allocator) IsLost() bool { return a.isLost }

// beginGeneration is called when the store has come back from a copy while the lease of this controller was valid. The table in
// memory is the latest one, and is written again before any new move.
func (a *Allocator) beginGeneration(now time.Duration, generation int64) {
	if generation <= a.generation || !a.started {
		return
	}
	a.generation = generation
	a.storedVersion, a.writingVersion, a.retryAt = 0, 0, 0
	if a.recovery == nil && len(a.segments) > 0 {
		a.isLost = true
		a.markChanged(now, 0)
	}
}
