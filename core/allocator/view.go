package allocator

import (
	"sort"
	"time"
)

// Assignment is a row of the table by which hosts send requests.
type Assignment struct {
	From, To uint16
	Owner    string        // empty while no upstream serves the range
	Wait     time.Duration // estimate of how long the range stays without an owner
}

// RoutingTable is a table for sending requests, sorted by key.
type RoutingTable []Assignment

// Find returns the row of a key.
func (v RoutingTable) Find(key uint16) (Assignment, bool) {
	i := sort.Search(len(v), func(i int) bool { return v[i].To >= key })
	if i == len(v) || v[i].From > key {
		return Assignment{}, false
	}
	return v[i], true
}

// RoutingTable returns the present table.
func (k *Allocator) RoutingTable(now time.Duration) RoutingTable {
	view := make(RoutingTable, 0, len(k.segments))
	for _, s := range k.segments {
		row := Assignment{From: s.From, To: s.To, Owner: s.served}
		if s.served == "" {
			row.Wait = max(0, s.expiry-now)
			if s.phase == releasing || s.phase == granting {
				row.Wait = 0
			}
		}
		if n := len(view); n > 0 && row.Owner != "" && view[n-1].Owner == row.Owner {
			view[n-1].To = row.To
			continue
		}
		view = append(view, row)
	}
	return view
}

// Diff returns the rows of v that are not in old. Overlaid on old, they make v.
func (v RoutingTable) Diff(old RoutingTable) RoutingTable {
	var changed RoutingTable
	i := 0
	for _, row := range v {
		for i < len(old) && old[i].To < row.From {
			i++
		}
		if i < len(old) && old[i].From <= row.From && old[i].To >= row.To && old[i].Owner == row.Owner {
			continue
		}
		changed = append(changed, row)
	}
	return changed
}

// Overlay returns v with the rows of changes in place of what they cover.
func (v RoutingTable) Overlay(changes RoutingTable) RoutingTable {
	result := make(RoutingTable, 0, len(v)+2*len(changes))
	add := func(row Assignment) {
		if n := len(result); n > 0 && row.Owner != "" && result[n-1].Owner == row.Owner && result[n-1].To+1 == row.From {
			result[n-1].To = row.To
			return
		}
		result = append(result, row)
	}
	rest := append(RoutingTable(nil), v...)
	i := 0
	for _, change := range changes {
		for i < len(rest) && rest[i].To < change.From {
			add(rest[i])
			i++
		}
		if i < len(rest) && rest[i].From < change.From {
			left := rest[i]
			left.To = change.From - 1
			add(left)
		}
		add(change)
		for i < len(rest) && rest[i].To <= change.To {
			i++
		}
		if i < len(rest) && rest[i].From <= change.To {
			rest[i].From = change.To + 1
		}
	}
	for ; i < len(rest); i++ {
		add(rest[i])
	}
	return result
}
