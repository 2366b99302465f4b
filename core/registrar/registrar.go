// Package registrar holds the upstreams that are registered with the platform and decides which of them are in use.
//
// # Usage
//
//	list := registrar.New()
//	list.Replace(now, entries) // the full list
//	list.Put(entry)            // a changed entry
//	list.Remove(now, id)
//	upstream, ok := list.Get(id)
//
// An entry that is removed shortly after an outage of the platform's store stays in use until ReregisterTime after the
// outage, because running upstreams register again in that time. Times are durations since an arbitrary origin.
package registrar

import (
	"time"

	"rhubarbtrack.example/core/identifier"
)

// ReregisterTime is how long after an outage of the store a running upstream may take to register again. Removed entries
// may stay in use for about 2 s; the difference is the time that hosts need to stop using an entry.
const ReregisterTime = 1700 * time.Millisecond

// Upstream is one incarnation of a registered server.
type Upstream struct {
	identifier.Incarnation
	Service  string
	Address  string
	Domain   string // failure domain
	Slots    int
	Draining bool
	ColdEnd  time.Duration // end of the cold phase; zero or in the past: the upstream is warm
}

// List is the set of registered upstreams. It is not safe for concurrent use.
type List struct {
	entries        map[string]Upstream
	pendingRemoval map[string]time.Duration // time of removal of entries that are still in use, by ID
	outage         bool
	unreachableAt  time.Duration // when the store last could not be read in the outage
	reachableSince time.Duration // end of the last outage of the store; 0: none
	version        uint64
}

// New returns an empty list.
func New() *List {
	return &List{entries: map[string]Upstream{}, pendingRemoval: map[string]time.Duration{}}
}

// Version returns a number that increases with every change of the list.
func (l *List) Version() uint64 { return l.version }

// MarkUnreachable records that the store could not be read at now, which starts an outage or continues it.
func (l *List) MarkUnreachable(now time.Duration) {
	l.outage, l.unreachableAt = true, now
}

// MarkReachable records that the store was read at the given time, by this host or by the one whose list it copies. This ends an
// outage unless the store could not be read later.
func (l *List) MarkReachable(at time.Duration) {
	if l.outage && at >= l.unreachableAt {
		l.outage = false
		l.reachableSince = at
	}
}

// Put adds or replaces one entry.
func (l *List) Put(u Upstream) {
	delete(l.pendingRemoval, u.ID)
	if old, ok := l.entries[u.ID]; ok && equivalent(old, u) {
		return
	}
	l.entries[u.ID] = u
	l.version++
}

// coldPrecision is the change of ColdEnd from which two entries differ. Upstreams report the remaining time of their
// cold phase periodically, so the end that is calculated from the reports varies.
const coldPrecision = 300 * time.Millisecond

// equivalent reports whether two entries are equal, apart from a difference of ColdEnd below coldPrecision.
func equivalent(a, b Upstream) bool {
	if difference := a.ColdEnd - b.ColdEnd; a.ColdEnd > 0 && b.ColdEnd > 0 && difference.Abs() < coldPrecision {
		b.ColdEnd = a.ColdEnd
	}
	return a == b
}

// ApplyUpdate applies changes of the list on another host. If full is set, puts is the full list of that host. Entries
// are removed immediately, because the other host has already waited for upstreams to register again.
func (l *List) ApplyUpdate(full bool, puts []Upstream, removed []string) {
	present := map[string]bool{}
	for _, u := range puts {
		present[u.ID] = true
		l.Put(u)
	}
	for id := range l.entries {
		if full && !present[id] {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		if _, ok := l.entries[id]; ok {
			delete(l.entries, id)
			delete(l.pendingRemoval, id)
			l.version++
		}
	}
}

// Remove removes an entry. Shortly after an outage, it keeps the entry until the upstream had time to register again,
// unless the upstream is draining.
func (l *List) Remove(now time.Duration, id string) {
	if _, ok := l.entries[id]; !ok {
		return
	}
	if _, pending := l.pendingRemoval[id]; pending {
		return
	}
	if l.reachableSince > 0 && now < l.reachableSince+ReregisterTime && !l.entries[id].Draining {
		l.pendingRemoval[id] = l.reachableSince + ReregisterTime
		return
	}
	delete(l.entries, id)
	l.version++
}

// Replace replaces the list by entries. Missing entries are removed as by Remove.
func (l *List) Replace(now time.Duration, entries []Upstream) {
	present := make(map[string]bool, len(entries))
	for _, u := range entries {
		present[u.ID] = true
		l.Put(u)
	}
	for id := range l.entries {
		if !present[id] {
			l.Remove(now, id)
		}
	}
}

// Tick removes the entries whose removal is due. It reports whether the list has changed.
func (l *List) Tick(now time.Duration) bool {
	before := l.version
	for id, end := range l.pendingRemoval {
		if now >= end {
			delete(l.pendingRemoval, id)
			delete(l.entries, id)
			l.version++
		}
	}
	return l.version != before
}

// Kept returns the removed entries that are still in use, with the time until which they are. The caller must not change the result.
func (l *List) Kept() map[string]time.Duration { return l.pendingRemoval }

// Get returns the entry with the given ID. It returns false if there is none.
func (l *List) Get(id string) (Upstream, bool) {
	u, ok := l.entries[id]
	return u, ok
}

// All returns a copy of the entries, by ID.
func (l *List) All() map[string]Upstream {
	all := make(map[string]Upstream, len(l.entries))
	for id, u := range l.entries {
		all[id] = u
	}
	return all
}
