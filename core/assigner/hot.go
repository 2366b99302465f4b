package assigner

import (
	"cmp"
	"slices"

	"rhubarbtrack.example/core/slicer"
)

const (
	// IsolateShare is the part of the mean load of an upstream from which a key gets a slice of its own. A range carries
	// about 1/16 of it, so a lighter key hardly changes the balance of its range.
	IsolateShare = 0.05
	// FoldShare is the part of the mean load of an upstream below which a hot key returns to its range. The gap to
	// IsolateShare keeps a key from changing back and forth.
	FoldShare = 0.0125
)

// planHotKeys folds keys that have cooled down and isolates keys that have become hot, heaviest first.
func (b *board) planHotKeys(in Input) []Move {
	if b.total == 0 || len(b.seats) == 0 {
		return nil
	}
	fair := b.total / float64(len(b.seats))
	moves, folded := b.fold(fair * FoldShare)
	free := slicer.MaxHotKeys - len(b.table.Hot) + folded
	return append(moves, b.isolate(in, fair*IsolateShare, free)...)
}

// fold returns cooled keys to their ranges and the number of slots of the hot list that become free. A key whose owner
// is not the owner of its range is transferred first and folded by a later plan.
func (b *board) fold(below float64) ([]Move, int) {
	var moves []Move
	folded, spent := 0, 0
	for _, hot := range sortedHot(b.table) {
		i := b.all[hot.ID]
		if i.fixed || i.load >= below || b.byName[hot.Owner] == nil {
			continue
		}
		home, ok := b.table.RangeOf(hot.Low)
		if !ok || b.byName[home.Owner] == nil || b.all[home.ID].fixed {
			continue
		}
		if home.Owner == hot.Owner {
			folded++
			i.fixed = true
			b.all[home.ID].fixed = true
			moves = append(moves, Move{Kind: Fold, Slice: hot.ID, Home: home.ID, Key: hot.HotKey, From: hot.Owner,
				To: hot.Owner, Reason: CooledKey})
			continue
		}
		if spent == b.budget || !b.byName[home.Owner].fits(i.load) {
			continue
		}
		spent++
		move := b.move(i, b.byName[hot.Owner], b.byName[home.Owner])
		move.Reason = CooledKey
		moves = append(moves, move)
	}
	return moves, folded
}

// isolate gives keys of at least the load from a slice of their own, as far as the hot list has room.
func (b *board) isolate(in Input, from float64, free int) []Move {
	var moves []Move
	defer func() {
		for _, move := range moves {
			b.all[move.Slice].fixed = true // its load still contains the key
		}
	}()
	for _, key := range sumKeys(in.KeyLoad) {
		if len(moves) == free || key.Load < from {
			return moves
		}
		slice, ok := b.table.Lookup(key.Key)
		if !ok || slice.HotKey != "" || b.byName[slice.Owner] == nil || b.all[slice.ID].fixed {
			continue
		}
		moves = append(moves, Move{Kind: Isolate, Slice: slice.ID, Key: key.Key, From: slice.Owner, To: slice.Owner,
			Reason: HotKey})
	}
	return moves
}

// sortedHot returns the hot keys by ID.
func sortedHot(table *slicer.Table) []slicer.Slice {
	hot := make([]slicer.Slice, 0, len(table.Hot))
	for _, slice := range table.Hot {
		hot = append(hot, slice)
	}
	slices.SortFunc(hot, func(x, y slicer.Slice) int { return cmp.Compare(x.ID, y.ID) })
	return hot
}

// sumKeys returns the keys with their summed load, heaviest first. A key that has just moved may be listed by two
// admission hosts.
func sumKeys(keys []KeyLoad) []KeyLoad {
	sums := make(map[string]float64, len(keys))
	for _, key := range keys {
		sums[key.Key] += key.Load
	}
	all := make([]KeyLoad, 0, len(sums))
	for key, load := range sums {
		all = append(all, KeyLoad{Key: key, Load: load})
	}
	slices.SortFunc(all, byLoad)
	return all
}
