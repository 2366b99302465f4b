package slicer

import "rhubarbtrack.example/core/hasher"

// MaxHotKeyBytes is the maximum length of a hot key. Together with MaxHotKeys it limits the memory and the stored size
// of hot keys.
const MaxHotKeyBytes = 1024

// Validate returns an error of kind Invalid unless these invariants hold:
//   - there is at least one range, the first one starts at 0, and the starts are strictly ascending, so that every hash
//     belongs to exactly one range;
//   - ranges have no hot key; a hot key is stored under its own name with its hash as Low, and there are at most
//     MaxHotKeys of at most MaxHotKeyBytes each;
//   - IDs are positive, at most LastID, and unique among ranges and hot keys;
//   - a slice with an owner has a positive epoch.
func (t *Table) Validate() error {
	if len(t.Ranges) == 0 || t.Ranges[0].Low != 0 {
		return fail("validate", Invalid, "no range starts at 0")
	}
	if len(t.Hot) > MaxHotKeys {
		return fail("validate", Invalid, "%d hot keys, at most %d allowed", len(t.Hot), MaxHotKeys)
	}
	seen := make(map[uint32]bool, len(t.Ranges)+len(t.Hot))
	for i, slice := range t.Ranges {
		if i > 0 && slice.Low <= t.Ranges[i-1].Low {
			return fail("validate", Invalid, "start of range %d is not after the start of range %d", slice.ID, t.Ranges[i-1].ID)
		}
		if slice.HotKey != "" {
			return fail("validate", Invalid, "range %d has a hot key", slice.ID)
		}
		if err := t.validateSlice(slice, seen); err != nil {
			return err
		}
	}
	for key, slice := range t.Hot {
		if key == "" || len(key) > MaxHotKeyBytes || slice.HotKey != key || slice.Low != hasher.Sum(key) {
			return fail("validate", Invalid, "hot key of slice %d is too long or does not match its map key or hash", slice.ID)
		}
		if err := t.validateSlice(slice, seen); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) validateSlice(slice Slice, seen map[uint32]bool) error {
	if slice.ID == 0 || slice.ID > t.LastID || seen[slice.ID] {
		return fail("validate", Invalid, "ID %d is 0, above %d or duplicated", slice.ID, t.LastID)
	}
	seen[slice.ID] = true
	if slice.Owner != "" && slice.Epoch == 0 {
		return fail("validate", Invalid, "slice %d has an owner but no epoch", slice.ID)
	}
	return nil
}
