package allocator

import (
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/identifier"
)

// recovery is the state of a controller that has no table of the present generation of the store. Until it ends, the controller
// sends no grants and writes no table. After that, it sends grants once the table is stored.
type recovery struct {
	listedAt time.Duration // see Recovery
	expiry   time.Duration // when all grants of former controllers have expired
	// revocations has all upstreams that may hold grants, by ID. One that is no longer listed stays.
	revocations map[string]*revocation
}

// keyRange is an inclusive range of keys.
type keyRange struct{ from, to uint16 }

// revocation is the release of all keys that an upstream does not own.
type revocation struct {
	upstream  identifier.Incarnation
	rest      []keyRange // to release
	pending   int        // releases without a result
	nextOrder time.Duration
}

func (r *revocation) isComplete() bool { return len(r.rest) == 0 && r.pending == 0 }

// complete handles the result of a release.
func (r *revocation) complete(now time.Duration, order pendingOrder, result Result) {
	r.pending--
	if result != Accepted {
		r.rest = append(r.rest, keyRange{order.from, order.to})
		r.nextOrder = now + retryDelay
	}
}

// startRecovery begins the recovery of a term. Former owners during a move are released like all others.
func (a *Allocator) startRecovery(expiry time.Duration, known Recovery) {
	a.recovery = &recovery{listedAt: known.ListedAt, expiry: expiry, revocations: map[string]*revocation{}}
	a.isLost = true
	for _, s := range a.segments {
		a.revokeFrom(s.Owner)
		a.revokeFrom(s.Previous)
		s.phase, s.Previous, s.ownerExpiry = granting, identifier.Incarnation{}, 0
	}
	for _, upstream := range known.Former {
		a.revokeFrom(upstream)
	}
}

// revokeFrom includes an upstream in the recovery. A later incarnation replaces a former one with its ID.
func (a *Allocator) revokeFrom(upstream identifier.Incarnation) {
	if known := a.recovery.revocations[upstream.ID]; upstream.IsZero() || known != nil && known.upstream.Start >= upstream.Start {
		return
	}
	a.recovery.revocations[upstream.ID] = &revocation{upstream: upstream, rest: a.othersKeys(upstream.ID)}
}

// othersKeys returns the keys that the table does not name the upstream as owner of.
func (a *Allocator) othersKeys(id string) []keyRange {
	var rest []keyRange
	next := 0
	add := func(end int) {
		if next < end {
			rest = append(rest, keyRange{uint16(next), uint16(end - 1)})
		}
	}
	for _, s := range a.segments {
		if s.Owner.ID == id {
			add(int(s.From))
			next = int(s.To) + 1
		}
	}
	add(keySpace)
	return rest
}

// recover sends the releases that are due, and reports whether the recovery has ended.
func (a *Allocator) recover(now time.Duration) bool {
	r := a.recovery
	if now < a.ordersUnderWayUntil() {
		return false
	}
	for _, upstream := range a.upstreams {
		a.revokeFrom(upstream.Incarnation)
	}
	isComplete := now >= r.listedAt
	for _, id := range slices.Sorted(maps.Keys(r.revocations)) {
		revoked := r.revocations[id]
		a.revoke(now, revoked)
		isComplete = isComplete && revoked.isComplete()
	}
	if !isComplete && now < r.expiry {
		return false
	}
	a.recovery = nil
	a.actions = append(a.actions, RecoveryEnded{Taken: now - a.startTime, Expired: !isComplete})
	if len(a.segments) > 0 {
		a.markChanged(now, 0)
	}
	for _, s := range a.segments {
		// Until the table is stored, a late write of a former controller may store another one of this generation.
		s.phase, s.commitVersion, s.nextOrder = committing, a.version, now
	}
	return true
}

func (a *Allocator) revoke(now time.Duration, r *revocation) {
	if now < r.nextOrder {
		return
	}
	for len(r.rest) > 0 && len(a.pending) < maxPendingOrders {
		keys := r.rest[0]
		r.rest = r.rest[1:]
		r.pending++
		a.lastOrderID++
		fence := a.nextFence()
		a.pending[a.lastOrderID] = pendingOrder{
			from: keys.from, to: keys.to, revoked: r, upstream: r.upstream, fence: fence, sentAt: now,
		}
		a.actions = append(a.actions, Release{a.lastOrderID, r.upstream, keys.from, keys.to, fence})
	}
}

// StoredTable is the ownership table that a new controller has read from the store.
type StoredTable struct {
	IsMissing  bool
	Generation int64 // in which it was written
	Ranges     []Range
}

// Known is what a new controller knows besides the stored table.
type Known struct {
	IsFirstTerm bool         // of all controllers
	Routed      RoutingTable // the latest one that a controller has sent to this host, or nil
	Recovery
}

// NewTerm returns the event that starts a term with a table that a store of the given generation has sent. The table counts if it
// was written in this generation: a copy may lack moves. Stores that name no generation never come back from a copy.
func NewTerm(term uint64, generation int64, stored StoredTable, known Known) TermStarted {
	started := TermStarted{Term: term, Generation: generation, Table: stored.Ranges}
	isLatest := stored.Generation == generation
	if stored.IsMissing {
		isLatest = generation == 0 || known.IsFirstTerm
	}
	if isLatest {
		return started
	}
	started.Table = reconstruct(stored.Ranges, known.Routed)
	started.Recovery = &Recovery{Former: slices.Clone(known.Former), ListedAt: known.ListedAt}
	for _, row := range stored.Ranges {
		started.Recovery.Former = append(started.Recovery.Former, row.Owner, row.Previous)
	}
	return started
}

// reconstruct returns the latest known owners for the recovery of a term: those of a routing table that a controller has sent, and
// those of a stored table for keys that were moving. Without either it returns nil.
func reconstruct(stored []Range, routed RoutingTable) []Range {
	bounds := map[int]bool{0: true}
	for _, row := range stored {
		bounds[int(row.From)] = true
	}
	for _, row := range routed {
		bounds[int(row.From)], bounds[int(row.To)+1] = true, true
	}
	delete(bounds, keySpace)
	var table []Range
	for _, from := range slices.Sorted(maps.Keys(bounds)) {
		owner := ownerOf(uint16(from), stored, routed)
		last := len(table) - 1
		switch {
		case last >= 0 && (owner.IsZero() || table[last].Owner == owner):
			// Extended below.
		case owner.IsZero():
			continue // the first known owner gets the keys before it as well
		default:
			table = append(table, Range{From: uint16(from), Owner: owner})
		}
	}
	for i := range table {
		table[i].To = keySpace - 1
		if i+1 < len(table) {
			table[i].To = table[i+1].From - 1
		}
	}
	if len(table) > 0 {
		table[0].From = 0
	}
	return table
}

func ownerOf(key uint16, stored []Range, routed RoutingTable) identifier.Incarnation {
	if row, ok := routed.Find(key); ok && !row.Owner.IsZero() {
		return row.Owner
	}
	for _, row := range stored {
		if row.From <= key && key <= row.To {
			return row.Owner
		}
	}
	return identifier.Incarnation{}
}
