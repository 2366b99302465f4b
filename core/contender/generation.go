package contender

import "time"

// generationTerms is the number of terms that begin in one generation before they reach those of the next one.
const generationTerms = 1 << 16

// MaxTerm is the highest term. Terms fit into the part of a fence that package allocator provides for them.
const MaxTerm = 1<<29 - 1

// FirstTerm returns the term below the first one of a generation. Beyond generation 8191, terms no longer begin above those
// of the former generation.
func FirstTerm(generation int64) uint64 {
	const lastGeneration = MaxTerm / generationTerms
	return uint64(min(generation, lastGeneration)) * generationTerms
}

// observeGeneration records that the store is of a generation. After a later one than all before, the holder writes the record
// again at once, and does not wait for the result of a call that began before.
func (c *Contender) observeGeneration(now time.Duration, generation int64) {
	if generation <= c.generation {
		return
	}
	c.generation = generation
	c.isCurrent = false
	c.leaseEnd = 0
	c.reservedTerm, c.reserving = 0, false
	c.nextCall = now
	if c.holder {
		c.callPending = false
		// A holder that resigns now would leave its successor without tables of the generation. The caller resigns again.
		c.resigned = c.resigned && c.record.Resigned
	}
}

// isFormer reports whether the stored record was written in a former generation, or is missing in a generation that may be a copy.
func (c *Contender) isFormer() bool { return c.record.Generation < c.generation }

// isFirst reports whether there was no holder before.
func (c *Contender) isFirst() bool {
	return c.options.FirstStart && c.record.Revision == 0 && c.highestTerm == 0
}

// takeOver writes the record with this host as holder, and reserves a term before that if the record does not show the highest one.
func (c *Contender) takeOver(now time.Duration) []Action {
	record := Record{
		Revision: c.record.Revision, Generation: c.generation, Origin: c.record.Origin, Holder: c.options.Name, Address: c.options.Address,
		Term: c.record.Term + 1,
	}
	switch {
	case c.isFirst():
		record.Origin, record.Term = c.generation, FirstTerm(c.generation)+1
	case c.isFormer() || c.record.Origin != c.generation:
		if c.reservedTerm == 0 {
			c.callPending, c.reserving = true, true
			c.nextCall = now + c.callInterval(ReadInterval)
			return []Action{ReserveTerm{c.generation, max(c.highestTerm, FirstTerm(c.generation))}}
		}
		record.Term = c.reservedTerm
		c.reservedTerm = 0
	}
	return c.write(now, record)
}

// applyResponse applies a record that the store of a generation has sent.
func (c *Contender) applyResponse(now time.Duration, generation int64, record Record) []Action {
	c.observeGeneration(now, generation)
	c.highestTerm = max(c.highestTerm, record.Term)
	switch {
	case generation < c.generation:
		// A later generation became known while the response was in transit.
		return c.act(now)
	case record.Generation != generation:
		return c.applyFormerRecord(now, record)
	}
	return c.applyRecord(now, record)
}

// applyFormerRecord applies a stored record that was not written in the present generation, or a missing one.
func (c *Contender) applyFormerRecord(now time.Duration, record Record) []Action {
	if c.isCurrent && record.Revision != 0 && record.Revision < c.record.Revision {
		return c.act(now) // as in applyRecord
	}
	if !c.isCurrent || record.Revision != c.record.Revision {
		c.seeRevision(now)
	}
	c.isCurrent = true
	c.failedCalls = 0
	if c.holder && now < c.confirmedAt+LeaseDuration {
		c.record.Revision = record.Revision
		c.nextCall = now
		return c.act(now)
	}
	var actions []Action
	if c.holder {
		c.holder = false
		actions = append(actions, StepDown{})
	}
	if !c.recordKnown && record.Revision != 0 {
		// Only until this host receives something of the present holder, which may be another one.
		c.record = record
		if !record.Resigned {
			actions = append(actions, Follow{record})
		}
	}
	c.recordKnown = true
	c.record.Revision = record.Revision
	c.record.Generation = min(c.record.Generation, c.generation-1)
	if c.vacant() {
		c.nextCall = min(c.nextCall, c.revisionSeenAt+c.options.Delay)
	}
	return append(actions, c.act(now)...)
}

// follow applies the announcement of a holder whose record is of a former generation.
func (c *Contender) follow(now time.Duration, record Record) []Action {
	c.highestTerm = max(c.highestTerm, record.Term)
	c.informed = true
	record.Revision = c.record.Revision
	c.record = record
	c.recordKnown = true
	var actions []Action
	if c.holder {
		c.holder = false
		actions = append(actions, StepDown{})
	}
	return append(append(actions, Follow{record}), c.act(now)...)
}

// leaveTerm is called when a renewal has taken effect after this host had stepped down. Nobody has the lease, and the term has ended,
// because its fences would be used again.
func (c *Contender) leaveTerm(now time.Duration) []Action {
	c.stoppedTerm = c.record.Term
	c.nextCall = min(c.nextCall, c.revisionSeenAt+c.options.Delay)
	return c.act(now)
}
