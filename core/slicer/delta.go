package slicer

import (
	"cmp"
	"maps"
	"slices"
)

// Delta contains the changes from one version of a table to a later one.
type Delta struct {
	Service          string
	From             Version // version that the delta applies to
	To               Version
	LastID           uint32
	Set              []Slice              // new or changed slices, sorted by ID
	Removed          []uint32             // IDs of removed slices, sorted
	Admission        map[string]Admission // new or changed admissions, by upstream
	AdmissionRemoved []string             // upstreams whose admission was removed, sorted
}

// Diff returns the delta from before to after. Its size is proportional to the number of changes.
func Diff(before, after *Table) Delta {
	delta := Delta{Service: after.Service, From: before.Version, To: after.Version, LastID: after.LastID,
		Admission: map[string]Admission{}}
	old, current := before.byID(), after.byID()
	for id, slice := range current {
		if known, ok := old[id]; !ok || known != slice {
			delta.Set = append(delta.Set, slice)
		}
	}
	for id := range old {
		if _, ok := current[id]; !ok {
			delta.Removed = append(delta.Removed, id)
		}
	}
	for upstream, admission := range after.Admission {
		if known, ok := before.Admission[upstream]; !ok || known != admission {
			delta.Admission[upstream] = admission
		}
	}
	for upstream := range before.Admission {
		if _, ok := after.Admission[upstream]; !ok {
			delta.AdmissionRemoved = append(delta.AdmissionRemoved, upstream)
		}
	}
	slices.SortFunc(delta.Set, byID)
	slices.Sort(delta.Removed)
	slices.Sort(delta.AdmissionRemoved)
	return delta
}

// Apply updates the table to the version of the delta. It rejects a delta of another service (Conflict), one that is
// not newer than the table (Stale), one that starts at another version (Gap), and one whose result is not valid
// (Invalid). After an error the table is unchanged. Apply replaces Ranges and the maps instead of modifying them, so an
// earlier copy of the Table value can be read concurrently.
func (t *Table) Apply(d Delta) error {
	switch {
	case d.Service != t.Service:
		return fail("apply", Conflict, "delta is for service %q, table is for %q", d.Service, t.Service)
	case !t.Version.Less(d.To):
		return fail("apply", Stale, "delta ends at version %v, table is at %v", d.To, t.Version)
	case d.From != t.Version:
		return fail("apply", Gap, "delta starts at version %v, table is at %v", d.From, t.Version)
	}
	all := t.byID()
	for _, id := range d.Removed {
		delete(all, id)
	}
	for _, slice := range d.Set {
		all[slice.ID] = slice
	}
	next := Table{Service: t.Service, Version: d.To, LastID: d.LastID, Admission: maps.Clone(t.Admission)}
	if next.Admission == nil {
		next.Admission = map[string]Admission{}
	}
	maps.Copy(next.Admission, d.Admission)
	for _, upstream := range d.AdmissionRemoved {
		delete(next.Admission, upstream)
	}
	if err := next.setSlices(slices.Collect(maps.Values(all))); err != nil {
		return err
	}
	*t = next
	return nil
}

// setSlices sets the ranges and hot keys of the table, which must not have any, and validates the table.
func (t *Table) setSlices(all []Slice) error {
	t.Hot = map[string]Slice{}
	for _, slice := range all {
		if slice.HotKey == "" {
			t.Ranges = append(t.Ranges, slice)
			continue
		}
		t.Hot[slice.HotKey] = slice
	}
	if len(t.Ranges)+len(t.Hot) != len(all) {
		return fail("validate", Invalid, "a hot key is duplicated")
	}
	slices.SortFunc(t.Ranges, func(x, y Slice) int { return cmp.Compare(x.Low, y.Low) })
	return t.Validate()
}

func (t *Table) byID() map[uint32]Slice {
	all := make(map[uint32]Slice, len(t.Ranges)+len(t.Hot))
	for _, slice := range t.Ranges {
		all[slice.ID] = slice
	}
	for _, slice := range t.Hot {
		all[slice.ID] = slice
	}
	return all
}

func byID(x, y Slice) int {
	return cmp.Compare(x.ID, y.ID)
}
