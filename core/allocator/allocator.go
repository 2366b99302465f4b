// Package keeper decides which upstream owns which range of numeric keys, and hands ranges over without two owners at a
// time.
//
// A Keeper is the state machine of the controller of one service. It must be fed only while the controller's right to
// act is valid. Ownership rests on grants that expire at the upstream:
//
//   - A range is granted to a new owner only after the record in the store names it, and after the former owner has
//     released the range or every grant that it may have has expired.
//   - Fences grow with the term and within a term. Before a release, the former owner gets a grant with a newer fence.
//     An older grant that is carried out late is refused from then on.
//   - A grant without an answer counts as given until its lifetime, counted from the end of the call, has passed.
//   - After a takeover in the middle of a move, both owners may have grants. Both are released, and the former one gets a
//     newer fence by a grant that expires at once.
//
// # Usage
//
//	k := keeper.New(keeper.Options{MaxLifetime: 10 * time.Second})
//	for _, action := range a.Step(now, keeper.Started{Term: term, Table: table}) { ... }
//	view := a.View(now)
//
// Times are durations since an arbitrary origin and include time during which the host was suspended.
package allocator

import (
	"sort"
	"time"

	"rhubarbtrack.example/core/rebalancer"
)

// Times of grants.
const (
	// GrantLifetime of a grant in normal operation. It outlasts the takeover by another controller (2.2 s) after the loss of
	// one that had just not renewed.
	GrantLifetime = 3 * time.Second
	// RenewInterval leaves time for two more tries before a grant expires.
	RenewInterval = 750 * time.Millisecond
	// fenceOnlyLifetime is the lifetime of a grant that is given for its fence only: long enough to be accepted, and far
	// shorter than the time for which two owners are tolerated.
	fenceOnlyLifetime = 10 * time.Millisecond
	// retryDelay is the time between two tries of an order that failed.
	retryDelay = 150 * time.Millisecond
	// unreachableAfter is how long an upstream may leave all orders unanswered before its ranges get another owner: two
	// renewals.
	unreachableAfter = 1800 * time.Millisecond
	// unreachableOrders is the number of unanswered orders in a row that is required as well, because upstreams leave single
	// orders unanswered.
	unreachableOrders = 5
	// probeInterval is the time between two tries at an upstream whose grants are left to expire.
	probeInterval = 500 * time.Millisecond
	// lastProbeBeforeExpiry is the time before the expiry in which no more tries are made, because a try that is under way would
	// delay the new owner.
	lastProbeBeforeExpiry = 1700 * time.Millisecond
	// driftMargin covers the time between deciding on an order and the end of its call.
	driftMargin = 100 * time.Millisecond
	// commitDelay collects changes for one write.
	commitDelay = 30 * time.Millisecond
	// registrationTime is how long the first controller waits for upstreams to register before it assigns all keys.
	registrationTime = 1500 * time.Millisecond
	// maxPendingOrders bounds the orders in flight.
	maxPendingOrders = 64
	// decayInterval and decay forget the load with a time constant of 2.5 s, half of the shortest hot spell that the
	// operators describe.
	decayInterval = 500 * time.Millisecond
	decayFactor   = 0.82
	// rebalanceInterval is the time between two corrections of the load.
	rebalanceInterval = 500 * time.Millisecond
	// keySpace is the number of keys.
	keySpace = 1 << 16
)

// clockDrift is the share by which the clock of an upstream may be slow, from the platform's contract.
const clockDrift = 0.02

// fenceBits is the number of bits of a fence that count within a term. The rest of 53 bits, which a JSON number holds
// exactly, is the term.
const fenceBits = 24

// Options configures a Keeper.
type Options struct {
	MaxLifetime time.Duration // longest lifetime that upstreams accept
	ColdRate    float64       // requests per second that a cold upstream bears
}

type segment struct {
	Range
	phase       phase
	incarnation int64  // life of the owner to which the range was granted
	fence       uint64 // of the last grant to the holder
	handover    string
	// expiry is when every grant that the holder may have has expired. The holder is Previous if there is one.
	expiry time.Duration
	// ownerExpiry is the same for Owner while there is a Previous: a predecessor may have given both of them grants.
	ownerExpiry   time.Duration
	orderID       uint64 // outstanding order, or 0
	nextOrder     time.Duration
	commitVersion uint64 // table version that names the owner
	movedAt       time.Duration
	// routedTo is the upstream that is expected to run requests now, or empty.
	routedTo string
}

type failureStreak struct {
	count int
	since time.Duration // of the first failure in a row
}

type pendingOrder struct {
	segment     *segment
	upstream    string
	incarnation int64
	lifetime    time.Duration // of a grant; 0 for a release
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
	upstreams      map[string]Upstream
	segments       []*segment
	pending        map[uint64]pendingOrder
	failureStreaks map[string]failureStreak
	stopped        map[string]int64 // upstreams whose process has ended, with its life
	version        uint64           // of the table in memory
	storedVersion  uint64
	writingVersion uint64 // version that is being written, or 0
	writeAt        time.Duration
	load           [keySpace]float32
	hasLoad        bool
	loadPeriod     time.Duration // for which load was collected, decayed like load
	loadPeriodEnd  time.Duration // until when period counts
	lastDecay      time.Duration
	lastRebalance  time.Duration
	runTimes       map[string]*rebalancer.RunTimeAverage
	actions        []Action
}

// New returns a keeper that waits for Started.
func New(options Options) *Allocator {
	return &Allocator{
		options:        options,
		lifetime:       GrantLifetime,
		upstreams:      map[string]Upstream{},
		pending:        map[uint64]pendingOrder{},
		failureStreaks: map[string]failureStreak{},
		stopped:        map[string]int64{},
		runTimes:       map[string]*rebalancer.RunTimeAverage{},
	}
}

// Step applies event at now.
func (a *Allocator) Step(now time.Duration, event Event) []Action {
	a.actions = nil
	switch event := event.(type) {
	case TermStarted:
		a.start(now, event)
	case UpstreamsListed:
		a.upstreams = event.Upstreams
		for id, life := range a.stopped {
			if owner, ok := a.upstreams[id]; !ok || owner.Incarnation != life {
				delete(a.stopped, id)
			}
		}
	case KeysObserved:
		a.recordKeys(now, event.Keys)
		return nil
	case RunTimesMeasured:
		a.recordRunTimes(event)
		return nil
	case OrderCompleted:
		a.handleOrderCompleted(now, event)
	case Committed:
		a.storedVersion = max(a.storedVersion, event.Version)
		a.writingVersion = 0
	case CommitFailed:
		a.writingVersion = 0
		a.writeAt = now + retryDelay
	case UpstreamStopped:
		a.markStopped(now, event.Upstream)
	case SetLifetime:
		a.setLifetime(now, event.Long)
	}
	if a.started {
		a.advance(now)
	}
	return a.actions
}

func (a *Allocator) recordKeys(now time.Duration, keys []uint16) {
	if len(keys) > 0 && !a.hasLoad {
		// Idle time before the first request says nothing of the load.
		a.hasLoad = true
		a.loadPeriodEnd, a.loadPeriod = now, 0
	}
	for _, key := range keys {
		a.load[key]++
	}
}

// Table returns the record as it should be.
func (a *Allocator) Table() []Range {
	table := make([]Range, 0, len(a.segments))
	for _, s := range a.segments {
		table = append(table, s.Range)
	}
	return table
}

func (a *Allocator) start(now time.Duration, event TermStarted) {
	a.started = true
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
	// A predecessor may have given grants of any lifetime until its right ended.
	expiry := a.expiryAfter(now, a.options.MaxLifetime)
	for _, row := range event.Table {
		s := &segment{Range: row, phase: granting, expiry: expiry, routedTo: row.Owner, commitVersion: a.version}
		if row.Previous != "" {
			s.phase = releasingPrevious
			s.ownerExpiry = expiry
		}
		a.segments = append(a.segments, s)
	}
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

// expiryAfter returns when a grant that arrives by now has certainly expired.
func (a *Allocator) expiryAfter(now, lifetime time.Duration) time.Duration {
	return now + lifetime + time.Duration(float64(lifetime)*clockDrift) + driftMargin
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
	if len(a.segments) == 0 {
		a.assignAll(now)
	}
	a.replaceUnusableOwners(now)
	if now >= a.lastRebalance+rebalanceInterval {
		a.lastRebalance = now
		a.rebalance(now)
	}
	a.merge(now)
	for _, s := range a.segments {
		a.progress(now, s)
	}
	a.commitTable(now)
}

// assignAll divides the keys evenly when there is no record.
func (a *Allocator) assignAll(now time.Duration) {
	if now < a.startTime+registrationTime {
		return
	}
	ids := a.usable()
	if len(ids) == 0 {
		return
	}
	for i, id := range ids {
		from := i * keySpace / len(ids)
		to := (i+1)*keySpace/len(ids) - 1
		a.segments = append(a.segments, &segment{
			Range: Range{From: uint16(from), To: uint16(to), Owner: id}, phase: committing, nextOrder: now,
		})
	}
	a.markChanged(now)
	for _, s := range a.segments {
		s.commitVersion = a.version
	}
}

func (a *Allocator) usable() []string {
	var ids []string
	for id, owner := range a.upstreams {
		if owner.Usable && !a.isStopped(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// markChanged notes that the table has to be written.
func (a *Allocator) markChanged(now time.Duration) {
	a.version++
	if a.writeAt < now {
		a.writeAt = now + commitDelay
	}
}

func (a *Allocator) commitTable(now time.Duration) {
	if a.writingVersion != 0 || a.storedVersion >= a.version || now < a.writeAt {
		return
	}
	a.writingVersion = a.version
	a.actions = append(a.actions, Commit{a.version, a.Table()})
}

// merge joins neighbours with the same owner, so that one grant renews them.
func (a *Allocator) merge(now time.Duration) {
	merged := a.segments[:0]
	for _, s := range a.segments {
		if len(merged) > 0 {
			last := merged[len(merged)-1]
			if last.Owner == s.Owner && mergeable(last) && mergeable(s) && last.incarnation == s.incarnation &&
				now >= last.movedAt+rebalanceInterval && now >= s.movedAt+rebalanceInterval {
				last.To = s.To
				last.expiry = max(last.expiry, s.expiry)
				last.nextOrder = now
				last.fence = 0
				a.markChanged(now)
				continue
			}
		}
		merged = append(merged, s)
	}
	a.segments = merged
}

func mergeable(s *segment) bool { return s.phase == held && s.orderID == 0 && s.Previous == "" }
