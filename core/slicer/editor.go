package slicer

import (
	"math"
	"slices"

	"rhubarbtrack.example/core/hasher"
)

// The editing functions keep this rule: as soon as a key may belong to another owner, no fence that once covered the key
// at its previous owner is valid there. Therefore a slice whose set of keys changes gets a new epoch, and IDs are never
// used again. Without it a delayed request with the fence of a range would still run at the owner of that range after
// one of its keys had become hot and moved away.

// Find returns the slice with the ID.
func (t *Table) Find(id uint32) (Slice, bool) {
	if i := t.rangeIndex(id); i >= 0 {
		return t.Ranges[i], true
	}
	for _, hot := range t.Hot {
		if hot.ID == id {
			return hot, true
		}
	}
	return Slice{}, false
}

// Assign gives the slice to owner, or to none if owner is empty, and raises its epoch when the owner changes. The error
// is of kind Unknown.
func (t *Table) Assign(id uint32, owner string) error {
	slice, ok := t.Find(id)
	if !ok {
		return fail("assign", Unknown, "slice %d", id)
	}
	if slice.Owner == owner {
		return nil
	}
	slice.Owner = owner
	slice.Epoch++
	t.set(slice)
	return nil
}

// Isolate gives key a slice of its own with the owner of its range, whose epoch rises. Errors are of kind Invalid (key
// empty or too long), Conflict (already hot), Full, or Unknown (table without ranges).
func (t *Table) Isolate(key string) (Slice, error) {
	if key == "" || len(key) > MaxHotKeyBytes {
		return Slice{}, fail("isolate", Invalid, "key of %d bytes", len(key))
	}
	if len(t.Hot) >= MaxHotKeys {
		return Slice{}, fail("isolate", Full, "%d hot keys", len(t.Hot))
	}
	keyRange, ok := t.Lookup(key)
	if !ok {
		return Slice{}, fail("isolate", Unknown, "no range holds the key")
	}
	if keyRange.HotKey != "" {
		return Slice{}, fail("isolate", Conflict, "the key is slice %d already", keyRange.ID)
	}
	id, err := t.newID("isolate")
	if err != nil {
		return Slice{}, err
	}
	hot := Slice{ID: id, Low: hasher.Sum(key), HotKey: key, Owner: keyRange.Owner, Epoch: 1}
	keyRange.Epoch++
	t.set(keyRange)
	t.set(hot)
	return hot, nil
}

// Fold returns a hot key to its range, whose epoch rises, and removes its slice. Both must have the same owner, so that
// the owner of the key does not change. Errors are of kind Unknown and Conflict.
func (t *Table) Fold(key string) error {
	hot, ok := t.Hot[key]
	if !ok {
		return fail("fold", Unknown, "the key is not hot")
	}
	keyRange, ok := t.RangeOf(hot.Low)
	if !ok {
		return fail("fold", Unknown, "no range holds the key")
	}
	if keyRange.Owner != hot.Owner {
		return fail("fold", Conflict, "slice %d belongs to %q, range %d to %q", hot.ID, hot.Owner, keyRange.ID, keyRange.Owner)
	}
	keyRange.Epoch++
	t.set(keyRange)
	delete(t.Hot, key)
	return nil
}

// Split cuts a range in two at the hash at, which becomes the start of a new range with the same owner. The epoch of the
// first part rises. Errors are of kind Unknown (not a range) and Invalid (at is not inside the range).
func (t *Table) Split(id uint32, at uint64) (Slice, error) {
	i := t.rangeIndex(id)
	if i < 0 {
		return Slice{}, fail("split", Unknown, "range %d", id)
	}
	if at <= t.Ranges[i].Low || at > t.lastHash(i) {
		return Slice{}, fail("split", Invalid, "hash %x is not inside range %d", at, id)
	}
	upperID, err := t.newID("split")
	if err != nil {
		return Slice{}, err
	}
	upper := Slice{ID: upperID, Low: at, Owner: t.Ranges[i].Owner, Epoch: 1}
	t.Ranges[i].Epoch++
	t.Ranges = slices.Insert(t.Ranges, i+1, upper)
	return upper, nil
}

// Middle returns the hash that halves a range, or false when id is no range or its range has a single hash.
func (t *Table) Middle(id uint32) (uint64, bool) {
	i := t.rangeIndex(id)
	if i < 0 || t.lastHash(i) == t.Ranges[i].Low {
		return 0, false
	}
	low := t.Ranges[i].Low
	return low + (t.lastHash(i)-low)/2 + 1, true
}

// Merge adds the range that follows the range id to it. Both must have the same owner. The epoch of the range rises.
// Errors are of kind Unknown (no such range or none after it) and Conflict.
func (t *Table) Merge(id uint32) error {
	i := t.rangeIndex(id)
	if i < 0 || i+1 == len(t.Ranges) {
		return fail("merge", Unknown, "range %d or its successor", id)
	}
	if t.Ranges[i].Owner != t.Ranges[i+1].Owner {
		return fail("merge", Conflict, "range %d belongs to %q, its successor to %q", id, t.Ranges[i].Owner,
			t.Ranges[i+1].Owner)
	}
	t.Ranges[i].Epoch++
	t.Ranges = slices.Delete(t.Ranges, i+1, i+2)
	return nil
}

// RangeOf returns the range that holds the hash. It reports false for a table without ranges.
func (t *Table) RangeOf(hash uint64) (Slice, bool) {
	next, _ := slices.BinarySearchFunc(t.Ranges, hash, func(slice Slice, hash uint64) int {
		if slice.Low <= hash {
			return -1
		}
		return 1
	})
	if next == 0 {
		return Slice{}, false
	}
	return t.Ranges[next-1], true
}

// lastHash returns the lastHash hash of the range at index i.
func (t *Table) lastHash(i int) uint64 {
	if i+1 == len(t.Ranges) {
		return math.MaxUint64
	}
	return t.Ranges[i+1].Low - 1
}

func (t *Table) rangeIndex(id uint32) int {
	return slices.IndexFunc(t.Ranges, func(slice Slice) bool { return slice.ID == id })
}

// set stores a slice in its place: a hot key by name, a range instead of the one with the same ID.
func (t *Table) set(slice Slice) {
	if slice.HotKey != "" {
		if t.Hot == nil {
			t.Hot = map[string]Slice{}
		}
		t.Hot[slice.HotKey] = slice
		return
	}
	t.Ranges[t.rangeIndex(slice.ID)] = slice
}

// newID returns an ID that no slice has had. The largest ID in use counts as well, for tables built without LastID.
func (t *Table) newID(op string) (uint32, error) {
	for _, slice := range t.Ranges {
		t.LastID = max(t.LastID, slice.ID)
	}
	for _, slice := range t.Hot {
		t.LastID = max(t.LastID, slice.ID)
	}
	if t.LastID == math.MaxUint32 {
		return 0, fail(op, Full, "all slice IDs are used")
	}
	t.LastID++
	return t.LastID, nil
}
