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
//	for _, action := range k.Step(now, keeper.Started{Term: term, Table: table}) { ... }
//	view := k.View(now)
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
	// fenceLifetime is the lifetime of a grant that is given for its fence only: long enough to be accepted, and far
	// shorter than the time for which two owners are tolerated.
	fenceLifetime = 10 * time.Millisecond
	// retryDelay is the time between two tries of an order that failed.
	retryDelay = 150 * time.Millisecond
	// lostAfter is how long an upstream may leave all orders unanswered before its ranges get another owner: two
	// renewals.
	lostAfter = 1800 * time.Millisecond
	// lostOrders is the number of unanswered orders in a row that is required as well, because upstreams leave single
	// orders unanswered.
	lostOrders = 5
	// probeInterval is the time between two tries at an upstream whose grants are left to expire.
	probeInterval = 500 * time.Millisecond
	// probeReserve is the time before the expiry in which no more tries are made, because a try that is under way would
	// delay the new owner.
	probeReserve = 1700 * time.Millisecond
	// driftMargin covers the time between deciding on an order and the end of its call.
	driftMargin = 100 * time.Millisecond
	// commitDelay collects changes for one write.
	commitDelay = 30 * time.Millisecond
	// settleTime is how long the first controller waits for upstreams to register before it assigns all keys.
	settleTime = 1500 * time.Millisecond
	// maxOrders bounds the orders in flight.
	maxOrders = 64
	// decayInterval and decay forget the load with a time constant of 2.5 s, half of the shortest hot spell that the
	// operators describe.
	decayInterval = 500 * time.Millisecond
	decay         = 0.82
	// levelInterval is the time between two corrections of the load.
	levelInterval = 500 * time.Millisecond
	// keySpace is the number of keys.
	keySpace = 1 << 16
)

// drift is the share by which the clock of an upstream may be slow, from the platform's contract.
const drift = 0.02

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
	phase    phase
	life     int64  // life of the owner to which the range was granted
	fence    uint64 // of the last grant to the holder
	handover string
	// expiry is when every grant that the holder may have has expired. The holder is Previous if there is one.
	expiry time.Duration
	// ownerExpiry is the same for Owner while there is a Previous: a predecessor may have given both of them grants.
	ownerExpiry time.Duration
	order       uint64 // outstanding order, or 0
	next        time.Duration
	commit      uint64 // table version that names the owner
	moved       time.Duration
	// served is the upstream that is expected to run requests now, or empty.
	served string
}

type contact struct {
	failures int
	since    time.Duration // of the first failure in a row
}

type pending struct {
	segment  *segment
	owner    string
	life     int64
	lifetime time.Duration // of a grant; 0 for a release
}

// Allocator is the state of one controller for one service. It is not safe for concurrent use.
type Allocator struct {
	options   Options
	started   bool
	startTime time.Duration
	term      uint64
	fence     uint64
	orders    uint64
	lifetime  time.Duration
	owners    map[string]Upstream
	segments  []*segment
	pending   map[uint64]pending
	contacts  map[string]contact
	ended     map[string]int64 // upstreams whose process has ended, with its life
	version   uint64           // of the table in memory
	stored    uint64
	sending   uint64 // version that is being written, or 0
	dirty     time.Duration
	load      [keySpace]float32
	loaded    bool
	period    time.Duration // for which load was collected, decayed like load
	counted   time.Duration // until when period counts
	decayed   time.Duration
	levelled  time.Duration
	speeds    map[string]*rebalancer.RunTimeAverage
	actions   []Action
}

// New returns a keeper that waits for Started.
func New(options Options) *Allocator {
	return &Allocator{
		options:  options,
		lifetime: GrantLifetime,
		owners:   map[string]Upstream{},
		pending:  map[uint64]pending{},
		contacts: map[string]contact{},
		ended:    map[string]int64{},
		speeds:   map[string]*rebalancer.RunTimeAverage{},
	}
}

// Step applies event at now.
func (k *Allocator) Step(now time.Duration, event Event) []Action {
	k.actions = nil
	switch event := event.(type) {
	case TermStarted:
		k.start(now, event)
	case UpstreamsListed:
		k.owners = event.Upstreams
		for id, life := range k.ended {
			if owner, ok := k.owners[id]; !ok || owner.Incarnation != life {
				delete(k.ended, id)
			}
		}
	case KeysObserved:
		k.observe(now, event.Keys)
		return nil
	case RunTimesMeasured:
		k.measure(event)
		return nil
	case OrderCompleted:
		k.ordered(now, event)
	case Committed:
		k.stored = max(k.stored, event.Version)
		k.sending = 0
	case CommitFailed:
		k.sending = 0
		k.dirty = now + retryDelay
	case UpstreamStopped:
		k.end(now, event.Upstream)
	case SetLifetime:
		k.setLifetime(now, event.Long)
	}
	if k.started {
		k.advance(now)
	}
	return k.actions
}

func (k *Allocator) observe(now time.Duration, keys []uint16) {
	if len(keys) > 0 && !k.loaded {
		// Idle time before the first request says nothing of the load.
		k.loaded = true
		k.counted, k.period = now, 0
	}
	for _, key := range keys {
		k.load[key]++
	}
}

// Table returns the record as it should be.
func (k *Allocator) Table() []Range {
	table := make([]Range, 0, len(k.segments))
	for _, s := range k.segments {
		table = append(table, s.Range)
	}
	return table
}

func (k *Allocator) start(now time.Duration, event TermStarted) {
	k.started = true
	k.startTime = now
	k.counted = now
	k.period = 0
	k.load = [keySpace]float32{}
	k.term = event.Term
	k.fence = event.Term << fenceBits
	k.segments = nil
	k.pending = map[uint64]pending{}
	k.sending = 0
	k.stored = k.version
	// A predecessor may have given grants of any lifetime until its right ended.
	expiry := k.expiryAfter(now, k.options.MaxLifetime)
	for _, row := range event.Table {
		s := &segment{Range: row, phase: granting, expiry: expiry, served: row.Owner, commit: k.version}
		if row.Previous != "" {
			s.phase = clearing
			s.ownerExpiry = expiry
		}
		k.segments = append(k.segments, s)
	}
}

func (k *Allocator) setLifetime(now time.Duration, long bool) {
	lifetime := GrantLifetime
	if long {
		lifetime = k.options.MaxLifetime
	}
	if lifetime == k.lifetime {
		return
	}
	k.lifetime = lifetime
	if !long {
		return
	}
	for _, s := range k.segments {
		if s.phase == held {
			s.next = now
		}
	}
}

// expiryAfter returns when a grant that arrives by now has certainly expired.
func (k *Allocator) expiryAfter(now, lifetime time.Duration) time.Duration {
	return now + lifetime + time.Duration(float64(lifetime)*drift) + driftMargin
}

func (k *Allocator) advance(now time.Duration) {
	k.period += now - k.counted
	k.counted = now
	if now >= k.decayed+decayInterval {
		k.decayed = now
		k.period = time.Duration(float64(k.period) * decay)
		for i := range k.load {
			k.load[i] *= decay
		}
	}
	if len(k.segments) == 0 {
		k.assignAll(now)
	}
	k.checkOwners(now)
	if now >= k.levelled+levelInterval {
		k.levelled = now
		k.level(now)
	}
	k.merge(now)
	for _, s := range k.segments {
		k.progress(now, s)
	}
	k.write(now)
}

// assignAll divides the keys evenly when there is no record.
func (k *Allocator) assignAll(now time.Duration) {
	if now < k.startTime+settleTime {
		return
	}
	ids := k.usable()
	if len(ids) == 0 {
		return
	}
	for i, id := range ids {
		from := i * keySpace / len(ids)
		to := (i+1)*keySpace/len(ids) - 1
		k.segments = append(k.segments, &segment{
			Range: Range{From: uint16(from), To: uint16(to), Owner: id}, phase: committing, next: now,
		})
	}
	k.changed(now)
	for _, s := range k.segments {
		s.commit = k.version
	}
}

func (k *Allocator) usable() []string {
	var ids []string
	for id, owner := range k.owners {
		if owner.Usable && !k.hasEnded(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// changed notes that the table has to be written.
func (k *Allocator) changed(now time.Duration) {
	k.version++
	if k.dirty < now {
		k.dirty = now + commitDelay
	}
}

func (k *Allocator) write(now time.Duration) {
	if k.sending != 0 || k.stored >= k.version || now < k.dirty {
		return
	}
	k.sending = k.version
	k.actions = append(k.actions, Commit{k.version, k.Table()})
}

// merge joins neighbours with the same owner, so that one grant renews them.
func (k *Allocator) merge(now time.Duration) {
	merged := k.segments[:0]
	for _, s := range k.segments {
		if len(merged) > 0 {
			last := merged[len(merged)-1]
			if last.Owner == s.Owner && mergeable(last) && mergeable(s) && last.life == s.life &&
				now >= last.moved+levelInterval && now >= s.moved+levelInterval {
				last.To = s.To
				last.expiry = max(last.expiry, s.expiry)
				last.next = now
				last.fence = 0
				k.changed(now)
				continue
			}
		}
		merged = append(merged, s)
	}
	k.segments = merged
}

func mergeable(s *segment) bool { return s.phase == held && s.order == 0 && s.Previous == "" }
