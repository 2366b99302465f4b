// Package allocator allocates ranges of numeric keys to upstreams and moves ranges so that no range has two owners at
// the same time.
//
// An Allocator is the state machine of the controller of one service. Call Step only while the controller's lease is
// valid. An upstream owns a range while it has a grant for it. Grants expire at the upstream:
//
//   - A range is granted to a new owner only after the ownership table in the store names that owner, and after the
//     former owner has released the range or all its possible grants have expired.
//   - Fences grow with the term and within a term. A release has a newer fence than all grants of the range before it, so the
//     former owner rejects one that arrives late. A grant with a newer fence before it checks that the former owner responds.
//   - A grant without a response counts as accepted until its lifetime has passed, measured from the end of the call. While an
//     upstream fails orders, it gets only grants that end with its earlier ones, so that they do not delay the next owner.
//   - Only a release or its lifetime ends a grant. A later grant to the same upstream does not, also with a newer fence and a
//     shorter lifetime. After a takeover, the grants of the former controller may have the longest lifetime.
//   - Refused connections and time-outs void no grant, because a partition of the network causes them as well. Only a
//     response of another process at the address of an upstream shows that the upstream has stopped.
//   - An upstream that starts again under its ID is another owner. Ranges and orders name the incarnation, so the result of
//     an order says nothing about a later one. The later one may have received an order for the former one, so it gets a newer
//     fence and a release before the range is granted again.
//   - The store may come back from a copy of itself, which takes back that the table names an owner, see package contender. A
//     controller whose lease outlasts this goes on, and writes the table again before any new move. One that takes over without a
//     table of the present generation of the store does not know who holds grants. It first has all upstreams release all keys
//     that they do not own by the latest table that it has; owners keep theirs. A successor does the same until the table of the
//     present generation is stored, so that happens only after this.
//   - After a takeover during a move, both owners may have grants. The former owner is asked to release the range. The fence of
//     the release is newer than those of the former controller, so the former owner rejects its late grants. The new owner keeps
//     the range.
//
// # Usage
//
//	a := allocator.New(allocator.Options{MaxLifetime: 10 * time.Second})
//	for _, action := range a.Step(now, allocator.TermStarted{Term: term, Table: table}) { ... }
//	table := a.RoutingTable(now)
//
// Times are durations since an arbitrary origin and include time during which the host was suspended.
package allocator

import (
	"maps"
	"sort"
	"time"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/rebalancer"
)

// Timing and limits of grants, orders and rebalancing.
const (
	// GrantLifetime is the lifetime of a grant in normal operation. It outlasts a takeover (2.2 s) after the loss of a
	// controller that was about to renew.
	GrantLifetime = 3 * time.Second
	// RenewInterval leaves time for two more attempts before a grant expires.
	RenewInterval = 750 * time.Millisecond
	// minRetryLifetime is the shortest lifetime of a grant that is sent after a failed order: long enough for the next one to
	// arrive.
	minRetryLifetime = 500 * time.Millisecond
	// maxCallTime is the time that a call of an order may take.
	maxCallTime = 400 * time.Millisecond
	// retryDelay is the time before a failed order or write is retried.
	retryDelay = 150 * time.Millisecond
	// unreachableAfter is how long an upstream may fail all orders before its ranges get another owner: two renewals.
	unreachableAfter = 1800 * time.Millisecond
	// unreachableOrders is the number of consecutive failed orders that is also required, because reachable upstreams
	// leave single orders unanswered.
	unreachableOrders = 5
	// probeInterval is the time between two release orders to an unreachable upstream whose grants are left to expire.
	probeInterval = 500 * time.Millisecond
	// lastProbeBeforeExpiry is the time before the expiry of the grants in which no probe is sent, because a pending
	// probe would delay the grant to the new owner.
	lastProbeBeforeExpiry = 1700 * time.Millisecond
	// expiryMargin is added to the expiry of grants for the time between deciding on an order and the end of its call.
	expiryMargin = 100 * time.Millisecond
	// commitDelay is the time for which moves are batched into one write of the table. They wait for it.
	commitDelay = 30 * time.Millisecond
	// settledCommitDelay is the same for the end of a move and for merged ranges. Nothing waits for this write, but a
	// successor repeats a move whose end is not stored.
	settledCommitDelay = 500 * time.Millisecond
	// registrationTime is how long a controller without a stored table waits for upstreams to register before it assigns
	// all keys.
	registrationTime = 1500 * time.Millisecond
	maxPendingOrders = 64
	// Every decayInterval, the load is multiplied by decayFactor. The time constant of 2.5 s is half of the shortest
	// load peak that the operators describe.
	decayInterval = 500 * time.Millisecond
	decayFactor   = 0.82
	// rebalanceInterval is the time between two rebalancing rounds, and the time for which a moved range is not merged.
	rebalanceInterval = 500 * time.Millisecond
	keySpace          = 1 << 16
)

// clockDrift is the fraction by which the clock of an upstream may be slow, according to the platform's contract.
const clockDrift = 0.02

// fenceBits is the number of low bits of a fence that count within a term. The bits above hold the term. A fence has 53
// bits, because a JSON number represents 53 bits exactly.
const fenceBits = 24

// Options configures an Allocator.
type Options struct {
	MaxLifetime time.Duration // longest lifetime that upstreams accept
	ColdRate    float64       // requests per second that a cold upstream can serve
}

// segment is the state of one range. Its holder is Previous if that is set, and Owner otherwise.
type segment struct {
	Range
	phase phase
	// contacted is the incarnation that got the last order to the holder: the holder, or a later one with its ID.
	contacted identifier.Incarnation
	// acceptedFence and acceptedLifetime are those of the last grant that the owner has accepted.
	acceptedFence    uint64
	acceptedLifetime time.Duration
	// grantEnded is the end of the call of the last grant that the holder may have received.
	grantEnded time.Duration
	fence      uint64 // of the last order to the holder; 0: the next order needs a new fence
	handover   string // from the former owner to the new one
	// expiry is when all possible grants of the holder have expired.
	expiry time.Duration
	// ownerExpiry is the same for Owner while Previous is set: a former controller may have granted the range to both.
	ownerExpiry time.Duration
	// inheritedExpiry is when all possible grants of former controllers have expired. They may have sent some to a later
	// incarnation of the holder than the table names.
	inheritedExpiry time.Duration
	orderID         uint64        // of the pending order, or 0
	nextOrder       time.Duration // earliest time of the next order
	commitVersion   uint64        // table version that names the owner
	movedAt         time.Duration
	// routedTo is the upstream that is expected to accept requests now, or zero.
	routedTo identifier.Incarnation
}

type failureStreak struct {
	count    int
	since    time.Duration // time of the first failure of the streak
	last     time.Duration // time of the last failure
	reported bool          // by UpstreamUnreachable
}

type pendingOrder struct {
	segment  *segment
	from, to uint16      // of a release for revoked
	revoked  *revocation // instead of segment: the order is a release of the recovery
	upstream identifier.Incarnation
	fence    uint64
	lifetime time.Duration // of the grant; 0: the order is a release
	sentAt   time.Duration
}

// Allocator is the state of one controller for one service. It is not safe for concurrent use.
type Allocator struct {
	options        Options
	started        bool
	startTime      time.Duration
	term           uint64
	lastFence      uint64
	lastOrderID    uint64
	lifetime       time.Duration
	upstreams      map[string]Upstream // by ID
	segments       []*segment
	pending        map[uint64]pendingOrder
	failureStreaks map[identifier.Incarnation]failureStreak
	stopped        map[identifier.Incarnation]bool
	generation     int64 // of the store
	recovery       *recovery
	isLost         bool   // the store may not have the table in its present generation
	version        uint64 // of the table in memory
	storedVersion  uint64
	writingVersion uint64        // version that is being written, or 0
	writeAt        time.Duration // time of the next write
	retryAt        time.Duration // earliest time of a write after a failed one
	load           [keySpace]float32
	hasLoad        bool          // a request was recorded
	loadPeriod     time.Duration // time over which load was recorded, decayed like load
	loadPeriodEnd  time.Duration // time up to which loadPeriod is counted
	lastDecay      time.Duration
	lastRebalance  time.Duration
	settling       bool // no more moves by load
	runTimes       map[identifier.Incarnation]*rebalancer.RunTimeAverage
	actions        []Action
}

// New returns an allocator that takes no action before TermStarted.
func New(options Options) *Allocator {
	return &Allocator{
		options:        options,
		lifetime:       GrantLifetime,
		upstreams:      map[string]Upstream{},
		pending:        map[uint64]pendingOrder{},
		failureStreaks: map[identifier.Incarnation]failureStreak{},
		stopped:        map[identifier.Incarnation]bool{},
		runTimes:       map[identifier.Incarnation]*rebalancer.RunTimeAverage{},
	}
}

// Step applies event at now and returns the actions to take, in order.
func (a *Allocator) Step(now time.Duration, event Event) []Action {
	a.actions = nil
	switch event := event.(type) {
	case TermStarted:
		a.start(now, event)
	case UpstreamsListed:
		a.upstreams = event.Upstreams
		a.endStreaks(now)
		a.forgetFormer()
	case KeysObserved:
		a.recordKeys(now, event.Keys)
		return nil
	case RunTimesMeasured:
		a.recordRunTimes(now, event)
		return nil
	case OrderCompleted:
		a.handleOrderCompleted(now, event)
	case GenerationBegan:
		a.beginGeneration(now, event.Generation)
	case Committed:
		if event.Generation == a.generation {
			a.storedVersion = max(a.storedVersion, event.Version)
			a.writingVersion = 0
			a.isLost = false
		}
	case CommitFailed:
		if event.Generation == a.generation {
			a.writingVersion = 0
			a.retryAt = now + retryDelay
		}
	case SetLifetime:
		a.setLifetime(now, event.Long)
	case Settle:
		a.settling = true
	}
	if a.started {
		a.advance(now)
	}
	return a.actions
}

func (a *Allocator) recordKeys(now time.Duration, keys []uint16) {
	if len(keys) > 0 && !a.hasLoad {
		// Idle time before the first request would lower the measured rate.
		a.hasLoad = true
		a.loadPeriodEnd, a.loadPeriod = now, 0
	}
	for _, key := range keys {
		a.load[key]++
	}
}

// Table returns the ownership table in memory, which may be newer than the stored one.
func (a *Allocator) Table() []Range {
	table := make([]Range, 0, len(a.segments))
	for _, s := range a.segments {
		table = append(table, s.Range)
	}
	return table
}

// Moving returns the number of ranges whose move has not ended. A successor would have to release each of them from its former
// owner, and to wait for all grants of one that has stopped meanwhile.
func (a *Allocator) Moving() int {
	moving := 0
	for _, s := range a.segments {
		if !s.Previous.IsZero() {
			moving++
		}
	}
	return moving
}

func (a *Allocator) setLifetime(now time.Duration, long bool) {
	lifetime := GrantLifetime
	if long {
		lifetime = a.options.MaxLifetime
	}
	if lifetime == a.lifetime {
		return
	}
	a.lifetime = lifetime
	if !long {
		return
	}
	for _, s := range a.segments {
		if s.phase == held {
			s.nextOrder = now
		}
	}
}

// GrantExpiry returns when a grant that the upstream receives before now has expired even if the upstream's clock is
// slow.
func GrantExpiry(now, lifetime time.Duration) time.Duration {
	return now + lifetime + time.Duration(float64(lifetime)*clockDrift) + expiryMargin
}

func (a *Allocator) advance(now time.Duration) {
	a.loadPeriod += now - a.loadPeriodEnd
	a.loadPeriodEnd = now
	if now >= a.lastDecay+decayInterval {
		a.lastDecay = now
		a.loadPeriod = time.Duration(float64(a.loadPeriod) * decayFactor)
		for i := range a.load {
			a.load[i] *= decayFactor
		}
	}
	if a.recovery != nil && !a.recover(now) {
		return
	}
	if len(a.segments) == 0 {
		a.assignAll(now)
	}
	a.replaceUnusableOwners(now)
	if !a.settling && now >= a.lastRebalance+rebalanceInterval {
		a.lastRebalance = now
		a.rebalance(now)
	}
	a.merge(now)
	for _, s := range a.segments {
		a.progress(now, s)
	}
	a.commitTable(now)
}

// assignAll divides the keys evenly among the usable upstreams when there is no stored table.
func (a *Allocator) assignAll(now time.Duration) {
	if now < a.startTime+registrationTime {
		return
	}
	ids := a.usable(now)
	if len(ids) == 0 {
		return
	}
	for i, id := range ids {
		from := i * keySpace / len(ids)
		to := (i+1)*keySpace/len(ids) - 1
		a.segments = append(a.segments, &segment{
			Range: Range{From: uint16(from), To: uint16(to), Owner: a.upstreams[id].Incarnation}, phase: committing, nextOrder: now,
		})
	}
	a.markChanged(now, commitDelay)
	for _, s := range a.segments {
		s.commitVersion = a.version
	}
}

func (a *Allocator) usable(now time.Duration) []string {
	var ids []string
	for id, upstream := range a.upstreams {
		if a.mayOwn(now, upstream) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// mayOwn reports whether an upstream may get ranges.
func (a *Allocator) mayOwn(now time.Duration, upstream Upstream) bool {
	return upstream.Usable && !upstream.Suspect && !a.stopped[upstream.Incarnation] && !a.unreachable(now, upstream.Incarnation)
}

// latest returns the listed incarnation with the ID of i, or i itself if none is listed.
func (a *Allocator) latest(i identifier.Incarnation) identifier.Incarnation {
	if listed, ok := a.upstreams[i.ID]; ok {
		return listed.Incarnation
	}
	return i
}

// streakRest is the time after the last failed order from which an upstream that is listed and no suspect is reachable again.
// It covers the time until a reported upstream is listed as a suspect.
const streakRest = time.Second

// endStreaks discards the streaks of upstreams that were reported as unreachable and have been reached since, or listed again.
func (a *Allocator) endStreaks(now time.Duration) {
	maps.DeleteFunc(a.failureStreaks, func(i identifier.Incarnation, streak failureStreak) bool {
		upstream := a.upstreams[i.ID]
		return streak.reported && upstream.Incarnation == i && !upstream.Suspect && now >= streak.last+streakRest
	})
}

// maxFormer is the number of incarnations beyond the listed ones whose records are kept.
const maxFormer = 1024

// forgetFormer discards the records of incarnations that are no longer listed, once there are many.
func (a *Allocator) forgetFormer() {
	if len(a.stopped)+len(a.failureStreaks)+len(a.runTimes) < maxFormer+3*len(a.upstreams) {
		return
	}
	kept := map[identifier.Incarnation]bool{}
	for _, upstream := range a.upstreams {
		kept[upstream.Incarnation] = true
	}
	for _, s := range a.segments {
		kept[s.Owner], kept[s.Previous], kept[s.contacted] = true, true, true
	}
	maps.DeleteFunc(a.stopped, func(i identifier.Incarnation, _ bool) bool { return !kept[i] })
	maps.DeleteFunc(a.failureStreaks, func(i identifier.Incarnation, _ failureStreak) bool { return !kept[i] })
	maps.DeleteFunc(a.runTimes, func(i identifier.Incarnation, _ *rebalancer.RunTimeAverage) bool { return !kept[i] })
}

// markChanged gives the table a new version and schedules its write after delay at the latest.
func (a *Allocator) markChanged(now, delay time.Duration) {
	if a.version <= max(a.storedVersion, a.writingVersion) {
		a.writeAt = now + delay // no earlier change waits for a write
	}
	a.version++
	a.writeAt = min(a.writeAt, now+delay)
}

func (a *Allocator) commitTable(now time.Duration) {
	if a.writingVersion != 0 || a.storedVersion >= a.version || now < max(a.writeAt, a.retryAt) {
		return
	}
	a.writingVersion = a.version
	a.actions = append(a.actions, Commit{a.generation, a.version, a.Table()})
}

// merge joins adjacent ranges of the same owner, so that one grant renews them.
func (a *Allocator) merge(now time.Duration) {
	merged := a.segments[:0]
	for _, s := range a.segments {
		if len(merged) > 0 {
			last := merged[len(merged)-1]
			if last.Owner == s.Owner && mergeable(last) && mergeable(s) &&
				now >= last.movedAt+rebalanceInterval && now >= s.movedAt+rebalanceInterval {
				last.To = s.To
				last.expiry = max(last.expiry, s.expiry)
				last.inheritedExpiry = max(last.inheritedExpiry, s.inheritedExpiry)
				last.grantEnded = max(last.grantEnded, s.grantEnded)
				last.nextOrder = now
				last.fence = 0
				a.markChanged(now, settledCommitDelay)
				continue
			}
		}
		merged = append(merged, s)
	}
	a.segments = merged
}

func mergeable(s *segment) bool { return s.phase == held && s.orderID == 0 && s.Previous.IsZero() }
