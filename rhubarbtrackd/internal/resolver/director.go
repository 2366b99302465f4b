// Package director holds this host's tables of key ownership.
//
// # Usage
//
//	tables := director.New()
//	row, changed, ok := tables.Find("orders", key)
//	<-changed // closed at the next change of any table
package resolver

import (
	"sync"

	"rhubarbtrack.example/core/allocator"
)

// Tables is safe for concurrent use.
type Tables struct {
	mutex   sync.Mutex
	views   map[string]allocator.RoutingTable
	changed chan struct{}
}

// New returns an empty set of tables.
func New() *Tables {
	return &Tables{views: map[string]allocator.RoutingTable{}, changed: make(chan struct{})}
}

// Replace sets the table of a service.
func (t *Tables) Replace(service string, view allocator.RoutingTable) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.set(service, view)
}

// Overlay changes rows of the table of a service.
func (t *Tables) Overlay(service string, rows allocator.RoutingTable) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.set(service, t.views[service].Overlay(rows))
}

func (t *Tables) set(service string, view allocator.RoutingTable) {
	t.views[service] = view
	close(t.changed)
	t.changed = make(chan struct{})
}

// Has reports whether there is a table for the service.
func (t *Tables) Has(service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.views[service]) > 0
}

// Serves reports whether any key of the service has an owner that serves.
func (t *Tables) Serves(service string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, row := range t.views[service] {
		if row.Owner != "" {
			return true
		}
	}
	return false
}

// Find returns the row of a key, and a channel that is closed at the next change of a table.
func (t *Tables) Find(service string, key uint16) (allocator.Assignment, <-chan struct{}, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row, ok := t.views[service].Find(key)
	return row, t.changed, ok
}
