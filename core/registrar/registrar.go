// Package registrar holds the upstreams that the platform lists, and decides which of them are in use.
//
// # Usage
//
//	list := registrar.New()
//	list.Replace(now, entries)          // a complete list
//	list.Put(entry)                     // one entry has changed
//	list.Remove(now, id)
//	upstream, ok := list.Get(id)
//
// An entry that is removed right after an outage of the platform stays in use for a short time, because upstreams that
// live register again then. Times are durations since an arbitrary origin.
package registrar

import (
	"time"
)

// ReregisterTime is how long after the platform's return a live upstream may take to register again. The users' letter
// gives about 2 s; the rest is left for the host that stops using the entry.
const ReregisterTime = 1700 * time.Millisecond

// Upstream is one life of a server.
type Upstream struct {
	ID          string
	Incarnation int64 // differs between two starts under one ID
	Service     string
	Address     string
	Domain      string // failure domain
	Slots       int
	Draining    bool
	ColdEnd     time.Duration // cold until then; zero or past when warm
}

// List is the set of registered upstreams. It is not safe for concurrent use.
type List struct {
	entries map[string]Upstream
	lapsed  map[string]time.Duration // removed entries that are kept in use until then
	outage  bool
	back    time.Duration // when the platform last became reachable again
	changed uint64
}

// New returns an empty list.
func New() *List {
	return &List{entries: map[string]Upstream{}, lapsed: map[string]time.Duration{}}
}

// Version grows with every change of the list.
func (l *List) Version() uint64 { return l.changed }

// MarkUnreachable tells that the platform cannot be read.
func (l *List) MarkUnreachable() { l.outage = true }

// MarkReachable tells that the platform was read at now.
func (l *List) MarkReachable(now time.Duration) {
	if l.outage {
		l.outage = false
		l.back = now
	}
}

// Put adds or replaces one entry.
func (l *List) Put(u Upstream) {
	delete(l.lapsed, u.ID)
	if old, ok := l.entries[u.ID]; ok && same(old, u) {
		return
	}
	l.entries[u.ID] = u
	l.changed++
}

// coldPrecision is the change of ColdEnd that matters. Upstreams report the time left in intervals, so the end that is
// worked out from it varies.
const coldPrecision = 300 * time.Millisecond

// same reports whether two entries differ in nothing that matters.
func same(a, b Upstream) bool {
	if difference := a.ColdEnd - b.ColdEnd; a.ColdEnd > 0 && b.ColdEnd > 0 && difference.Abs() < coldPrecision {
		b.ColdEnd = a.ColdEnd
	}
	return a == b
}

// ApplyUpdate applies another host's copy of the list, or changes of it. Lapsed entries were dealt with there.
func (l *List) ApplyUpdate(whole bool, puts []Upstream, removed []string) {
	present := map[string]bool{}
	for _, u := range puts {
		present[u.ID] = true
		l.Put(u)
	}
	for id := range l.entries {
		if whole && !present[id] {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		if _, ok := l.entries[id]; ok {
			delete(l.entries, id)
			delete(l.lapsed, id)
			l.changed++
		}
	}
}

// Remove takes an entry out, at once or, shortly after an outage, when the upstream had time to register again.
func (l *List) Remove(now time.Duration, id string) {
	if _, ok := l.entries[id]; !ok {
		return
	}
	if _, waiting := l.lapsed[id]; waiting {
		return
	}
	if l.back > 0 && now < l.back+ReregisterTime && !l.entries[id].Draining {
		l.lapsed[id] = l.back + ReregisterTime
		return
	}
	delete(l.entries, id)
	l.changed++
}

// Replace makes the list equal to entries. Entries that are missing are removed as by Remove.
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

// Tick removes lapsed entries whose time is over. It reports whether the list changed.
func (l *List) Tick(now time.Duration) bool {
	before := l.changed
	for id, end := range l.lapsed {
		if now >= end {
			delete(l.lapsed, id)
			delete(l.entries, id)
			l.changed++
		}
	}
	return l.changed != before
}

// Get returns the entry of id.
func (l *List) Get(id string) (Upstream, bool) {
	u, ok := l.entries[id]
	return u, ok
}

// All returns a copy of the entries by id.
func (l *List) All() map[string]Upstream {
	all := make(map[string]Upstream, len(l.entries))
	for id, u := range l.entries {
		all[id] = u
	}
	return all
}
