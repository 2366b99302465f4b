package slicer

import (
	"math"
	"slices"

	"rhubarbtrack.example/core/hasher"
)

// The editing functions maintain this invariant: once a key may have another owner, no fence that covered the key at
// its previous owner is valid there. Therefore a slice gets a new epoch when its set of keys changes, and IDs are never
// reused. Otherwise a delayed request with the fence of a range could still run at the owner of that range after the
// key of the request had been isolated and assigned to another upstream.

// Find returns the slice with the given ID, a range or a hot key, or false if there is none.
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

// Assign sets the owner of a slice, or removes it if owner is empty. It increments the epoch of the slice if the owner
// changes. It returns an error of kind Unknown if the slice does not exist.
func (t *Table) Assign(id uint32, owner string) error {
	slice, ok := t.Find(id)
	if !ok {
		return fail("assign", Unknown, "slice %d does not exist", id)
	}
	if slice.Owner == owner {
		return nil
	}
	slice.Owner = owner
	slice.Epoch++
	t.set(slice)
	return nil
}

// Isolate gives key a slice of its own, with the same owner as its range, and increments the epoch of the range. Errors
// are of kind Invalid (key empty or too long), Conflict (already a hot key), Full (MaxHotKeys reached or no unused ID)
// or Unknown (table without ranges).
func (t *Table) Isolate(key string) (Slice, error) {
	if key == "" || len(key) > MaxHotKeyBytes {
		return Slice{}, fail("isolate", Invalid, "key of %d bytes", len(key))
	}
	if len(t.Hot) >= MaxHotKeys {
		return Slice{}, fail("isolate", Full, "%d hot keys", len(t.Hot))
	}
	keyRange, ok := t.Lookup(key)
	if !ok {
		return Slice{}, fail("isolate", Unknown, "no range contains the key")
	}
	if keyRange.HotKey != "" {
		return Slice{}, fail("isolate", Conflict, "the key already has slice %d", keyRange.ID)
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

// Fold removes the slice of a hot key, which returns to its range, and increments the epoch of the range. Both must
// have the same owner, so that the owner of the key does not change. Errors are of kind Unknown (not a hot key, or no
// range) and Conflict (different owners).
func (t *Table) Fold(key string) error {
	hot, ok := t.Hot[key]
	if !ok {
		return fail("fold", Unknown, "the key is not a hot key")
	}
	keyRange, ok := t.RangeOf(hot.Low)
	if !ok {
		return fail("fold", Unknown, "no range contains the key")
	}
	if keyRange.Owner != hot.Owner {
		return fail("fold", Conflict, "slice %d belongs to %q, range %d to %q", hot.ID, hot.Owner, keyRange.ID,
			keyRange.Owner)
	}
	keyRange.Epoch++
	t.set(keyRange)
	delete(t.Hot, key)
	return nil
}

// Split splits a range at the hash at, which becomes the start of a new range with the same owner. It increments the
// epoch of the original range and returns the new one. Errors are of kind Unknown (not a range), Invalid (at is not
// inside the range) and Full (no unused ID).
func (t *Table) Split(id uint32, at uint64) (Slice, error) {
	i := t.rangeIndex(id)
	if i < 0 {
		return Slice{}, fail("split", Unknown, "range %d does not exist", id)
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

// Middle returns the first hash of the upper half of a range. It returns false if there is no such range or it contains
// only one hash.
func (t *Table) Middle(id uint32) (uint64, bool) {
	i := t.rangeIndex(id)
	if i < 0 || t.lastHash(i) == t.Ranges[i].Low {
		return 0, false
	}
	low := t.Ranges[i].Low
	return low + (t.lastHash(i)-low)/2 + 1, true
}

// Merge extends a range by its successor, which is removed, and increments the epoch of the range. Both must have the
// same owner. Errors are of kind Unknown (no such range, or no successor) and Conflict (different owners).
func (t *Table) Merge(id uint32) error {
	i := t.rangeIndex(id)
	if i < 0 || i+1 == len(t.Ranges) {
		return fail("merge", Unknown, "range %d or its successor does not exist", id)
	}
	if t.Ranges[i].Owner != t.Ranges[i+1].Owner {
		return fail("merge", Conflict, "range %d belongs to %q, its successor to %q", id, t.Ranges[i].Owner,
			t.Ranges[i+1].Owner)
	}
	t.Ranges[i].Epoch++
	t.Ranges = slices.Delete(t.Ranges, i+1, i+2)
	return nil
}

// RangeOf returns the range that contains the hash, or false if the table has no ranges.
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

// lastHash returns the last hash of the range at index i.
func (t *Table) lastHash(i int) uint64 {
	if i+1 == len(t.Ranges) {
		return math.MaxUint64
	}
	return t.Ranges[i+1].Low - 1
}

func (t *Table) rangeIndex(id uint32) int {
	return slices.IndexFunc(t.Ranges, func(slice Slice) bool { return slice.ID == id })
}

// set adds or replaces a hot key, or replaces the range with the same ID.
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

// newID returns an ID that was never used. It also considers the IDs in use, because a table may have been built
// without LastID.
func (t *Table) newID(op string) (uint32, error) {
	for _, slice := range t.Ranges {
		t.LastID = max(t.LastID, slice.ID)
	}
	for _, slice := range t.Hot {
		t.LastID = max(t.LastID, slice.ID)
	}
	if t.LastID == math.MaxUint32 {
		return 0, fail(op, Full, "no unused slice ID")
	}
	t.LastID++
	return t.LastID, nil
}
