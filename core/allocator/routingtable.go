package allocator

import (
	"sort"
	"time"

	"rhubarbtrack.example/core/identifier"
)

// Assignment is a row of a RoutingTable: an inclusive range of keys and the upstream to which hosts send its requests.
type Assignment struct {
	From, To uint16
	Owner    identifier.Incarnation // zero while no upstream serves the range; its start is unknown from earlier versions
	Wait     time.Duration          // if Owner is zero: estimate of the time until an upstream serves the range
}

// RoutingTable has the assignments by which hosts route requests, sorted by key.
type RoutingTable []Assignment

// Find returns the row that contains key. It returns false if there is none.
func (t RoutingTable) Find(key uint16) (Assignment, bool) {
	i := sort.Search(len(t), func(i int) bool { return t[i].To >= key })
	if i == len(t) || t[i].From > key {
		return Assignment{}, false
	}
	return t[i], true
}

// RoutingTable returns the current routing table.
func (a *Allocator) RoutingTable(now time.Duration) RoutingTable {
	table := make(RoutingTable, 0, len(a.segments))
	for _, s := range a.segments {
		row := Assignment{From: s.From, To: s.To, Owner: s.routedTo}
		if owner := a.upstreams[s.routedTo.ID]; owner.Suspect && owner.Incarnation == s.routedTo {
			row.Owner = identifier.Incarnation{}
		}
		if row.Owner.IsZero() {
			row.Wait = max(0, s.expiry-now)
			if s.phase == releasing || s.phase == granting {
				row.Wait = 0
			}
		}
		if n := len(table); n > 0 && !row.Owner.IsZero() && table[n-1].Owner == row.Owner {
			table[n-1].To = row.To
			continue
		}
		table = append(table, row)
	}
	return table
}

// Diff returns the rows of t that differ from old. old.Overlay(t.Diff(old)) has the same owners as t.
func (t RoutingTable) Diff(old RoutingTable) RoutingTable {
	var changed RoutingTable
	i := 0
	for _, row := range t {
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

// Overlay returns t with the key ranges of changes replaced by changes.
func (t RoutingTable) Overlay(changes RoutingTable) RoutingTable {
	result := make(RoutingTable, 0, len(t)+2*len(changes))
	add := func(row Assignment) {
		if n := len(result); n > 0 && !row.Owner.IsZero() && result[n-1].Owner == row.Owner && result[n-1].To+1 == row.From {
			result[n-1].To = row.To
			return
		}
		result = append(result, row)
	}
	rest := append(RoutingTable(nil), t...)
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
