// Package resolver holds this host's routing tables from the keys of a service to their owners.
//
// The tables come from the controller, or from the store while no controller has sent any. A request whose key has no
// owner waits on the channel that Find returns, so it is routed as soon as a table changes.
//
// # Usage
//
//	tables := resolver.New()
//	row, changed, ok := tables.Find("orders", key)
//	<-changed // closed at the next change to any table
package resolver

import (
	"sync"

	"rhubarbtrack.example/core/allocator"
)

// Tables holds one routing table per service. It is safe for concurrent use.
type Tables struct {
	mutex   sync.Mutex
	tables  map[string]allocator.RoutingTable
	changed chan struct{}
}

// New returns an empty set of tables.
func New() *Tables {
	return &Tables{tables: map[string]allocator.RoutingTable{}, changed: make(chan struct{})}
}

// Replace sets the full table of a service.
func (t *Tables) Replace(service string, table allocator.RoutingTable) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.set(service, table)
}

// Overlay replaces the given rows in the table of a service and leaves all others.
func (t *Tables) Overlay(service string, rows allocator.RoutingTable) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.set(service, t.tables[service].Overlay(rows))
}

func (t *Tables) set(service string, table allocator.RoutingTable) {
	t.tables[service] = table
	close(t.changed)
	t.changed = make(chan struct{})
}

// Has reports whether a table with rows was set for the service.
func (t *Tables) Has(service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.tables[service]) > 0
}

// Table returns the table of a service, which must not be changed.
func (t *Tables) Table(service string) allocator.RoutingTable {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.tables[service]
}

// Serves reports whether any key of the service has an owner.
func (t *Tables) Serves(service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.tables[service] {
		if !row.Owner.IsZero() {
			return true
		}
	}
	return false
}

// Find returns the row of a key and a channel that is closed at the next change to any table. The result is false if
// the table has no row for the key.
func (t *Tables) Find(service string, key uint16) (allocator.Assignment, <-chan struct{}, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row, ok := t.tables[service].Find(key)
	return row, t.changed, ok
}
