// Package leaser decides which slices the upstream holds. It is a state machine without I/O: the time since the start
// of the process is an argument of each call.
//
// Each reply carries a new nonce, and an order must return the nonce of the latest reply. A replayed order is therefore
// rejected. The lifetime of the lease starts when the nonce is issued, not when the order arrives, so that a delayed
// order cannot extend the lease beyond the time that the controller assumes. Orders of an older term are rejected,
// unless the upstream does not check fences.
//
// Usage:
//
//	lease := leaser.New("incarnation", true)
//	reply := lease.Apply(now, order)
//	ok := lease.Holds(now, leaser.Grant{Slice: 12, Term: 7, Epoch: 3})
package leaser

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Reasons for which an order is rejected, as they appear in the reply.
const (
	StaleTerm    = "stale-term"
	StaleNonce   = "stale-nonce"
	ExpiredNonce = "expired-nonce"
)

// Grant allows the upstream to serve a slice. Term and epoch are its fencing token.
type Grant struct {
	Slice uint64
	Term  uint64
	Epoch uint64
}

// SliceEpoch is an entry of an order: a slice and the epoch of its grant.
type SliceEpoch struct {
	Slice uint64
	Epoch uint64
}

// Order is a request of a controller to renew the lease and to add or remove slices. With an empty nonce it is a query
// that changes no grants.
type Order struct {
	Term     uint64
	Nonce    string
	Lifetime time.Duration
	Add      []SliceEpoch
	Remove   []SliceEpoch
}

// Reply is the reply to an order. Error is empty when the order was accepted. LastHeld lists the grants that expired
// most recently; it is cleared when an order adds a slice.
type Reply struct {
	Term     uint64
	Nonce    string
	Error    string
	Held     []Grant
	LastHeld []Grant
}

// Lease holds the grants of the upstream, which all expire at the same time. It is safe for concurrent use.
type Lease struct {
	mu          sync.Mutex
	prefix      string
	checkFences bool
	term        uint64
	nonceCount  uint64
	nonce       string
	nonceIssued time.Duration
	expiry      time.Duration
	held        map[uint64]Grant
	lastHeld    []Grant
}

// New returns a lease without slices. Nonces begin with the prefix, which must differ between runs of the process, so
// that a nonce from an earlier run is rejected. When checkFences is false, orders of any term are accepted.
func New(prefix string, checkFences bool) *Lease {
	return &Lease{prefix: prefix, checkFences: checkFences, held: map[uint64]Grant{}}
}

// Apply accepts or rejects an order. The reply carries a new nonce in both cases.
func (l *Lease) Apply(now time.Duration, order Order) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	rejection := l.rejection(now, order)
	if rejection != StaleTerm {
		l.term = max(l.term, order.Term)
	}
	if rejection == "" && order.Nonce != "" {
		l.accept(order)
	}
	return l.reply(now, rejection)
}

// Holds reports whether the lease is valid and contains exactly this grant: same slice, term and epoch.
func (l *Lease) Holds(now time.Duration, grant Grant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	held, ok := l.held[grant.Slice]
	return ok && held == grant
}

func (l *Lease) rejection(now time.Duration, order Order) string {
	if l.checkFences && order.Term < l.term {
		return StaleTerm
	}
	if order.Nonce == "" {
		return ""
	}
	if order.Nonce != l.nonce {
		return StaleNonce
	}
	if l.nonceIssued+order.Lifetime <= now {
		return ExpiredNonce
	}
	return ""
}

func (l *Lease) accept(order Order) {
	l.expiry = l.nonceIssued + order.Lifetime
	for _, removed := range order.Remove {
		// A removal with an older epoch must not remove a later grant of the same slice.
		if held, ok := l.held[removed.Slice]; ok && held.Epoch <= removed.Epoch {
			delete(l.held, removed.Slice)
		}
	}
	for _, added := range order.Add {
		l.held[added.Slice] = Grant{Slice: added.Slice, Term: order.Term, Epoch: added.Epoch}
	}
	if len(order.Add) > 0 {
		l.lastHeld = nil
	}
}

func (l *Lease) expire(now time.Duration) {
	if len(l.held) == 0 || now < l.expiry {
		return
	}
	l.lastHeld = sorted(l.held)
	l.held = map[uint64]Grant{}
}

// reply issues a new nonce, which invalidates the previous one.
func (l *Lease) reply(now time.Duration, rejection string) Reply {
	l.nonceCount++
	l.nonce = fmt.Sprintf("%s-%d", l.prefix, l.nonceCount)
	l.nonceIssued = now
	return Reply{Term: l.term, Nonce: l.nonce, Error: rejection, Held: sorted(l.held), LastHeld: l.lastHeld}
}

func sorted(held map[uint64]Grant) []Grant {
	grants := make([]Grant, 0, len(held))
	for _, grant := range held {
		grants = append(grants, grant)
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Slice < grants[j].Slice })
	return grants
}
