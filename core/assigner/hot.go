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

// EvictRatio is how many times the load of a hot key another key must have to take its place when the list is full. The
// gap keeps two keys of similar load from replacing each other.
const EvictRatio = 1.5

// planHotKeys folds keys that have cooled down and isolates keys that have become hot, heaviest first.
func (b *board) planHotKeys(keys map[string]float64) []Move {
	if b.total == 0 || len(b.seats) == 0 {
		return nil
	}
	fair := b.total / float64(len(b.seats))
	candidates := b.candidates(keys, fair*IsolateShare)
	moves, folded := b.fold(b.cooled(candidates, fair*FoldShare))
	free := slicer.MaxHotKeys - len(b.table.Hot) + folded
	return append(moves, b.isolate(candidates, free)...)
}

// candidates returns the keys of at least the load from that are not hot, heaviest first.
func (b *board) candidates(keys map[string]float64, from float64) []KeyLoad {
	var all []KeyLoad
	for key, load := range keys {
		if _, hot := b.table.Hot[key]; !hot && load >= from {
			all = append(all, KeyLoad{Key: key, Load: load})
		}
	}
	slices.SortFunc(all, byLoad)
	return all
}

// sumKeys returns the load of each key. A key that has just moved may be listed by two admission hosts.
func sumKeys(keys []KeyLoad) map[string]float64 {
	sums := make(map[string]float64, len(keys))
	for _, key := range keys {
		sums[key.Key] += key.Load
	}
	return sums
}

// cooled returns the hot keys to fold: those with a load below the given one, and, as far as the list has no room for
// the candidates, the coolest ones that are much lighter than the candidate that needs their place.
func (b *board) cooled(candidates []KeyLoad, below float64) []*item {
	hot := make([]*item, 0, len(b.table.Hot))
	for _, slice := range sortedHot(b.table) {
		hot = append(hot, b.all[slice.ID])
	}
	slices.SortStableFunc(hot, func(x, y *item) int { return cmp.Compare(x.load, y.load) })
	free := slicer.MaxHotKeys - len(hot)
	for count, i := range hot {
		place := free + count // of the candidate that the fold makes room for
		evicted := place >= 0 && place < len(candidates) && candidates[place].Load >= EvictRatio*i.load
		if i.load >= below && !evicted {
			return hot[:count]
		}
	}
	return hot
}

// fold returns cooled keys to their ranges and the number of places in the list that become free. A key whose owner is
// not the owner of its range is transferred first and folded by a later plan.
func (b *board) fold(cooled []*item) ([]Move, int) {
	var moves []Move
	folded, spent := 0, 0
	for _, hot := range cooled {
		place, ok := b.table.RangeOf(hot.Low)
		if !ok {
			continue
		}
		home := b.all[place.ID]
		from, to := b.byName[hot.Owner], b.byName[home.Owner]
		if hot.fixed || home.fixed || from == nil || to == nil {
			continue
		}
		if from == to {
			folded++
			moves = append(moves, Move{Kind: Fold, Slice: hot.ID, Range: home.ID, Key: hot.HotKey, From: hot.Owner,
				To: hot.Owner, Reason: CooledKey})
			continue
		}
		if spent >= b.budget || !to.fits(hot.load) {
			continue
		}
		spent++
		move := b.move(hot, from, to)
		move.Reason = CooledKey
		moves = append(moves, move)
	}
	for _, move := range moves {
		for _, id := range move.Slices() {
			b.all[id].fixed = true
		}
	}
	return moves, folded
}

// isolate gives the candidates a slice of their own, as far as the list has room.
func (b *board) isolate(candidates []KeyLoad, free int) []Move {
	var moves []Move
	for _, key := range candidates {
		if len(moves) >= free {
			break
		}
		slice, ok := b.table.Lookup(key.Key)
		if !ok || b.byName[slice.Owner] == nil || b.all[slice.ID].fixed {
			continue
		}
		moves = append(moves, Move{Kind: Isolate, Slice: slice.ID, Key: key.Key, From: slice.Owner, To: slice.Owner,
			Reason: HotKey})
	}
	for _, move := range moves {
		b.all[move.Slice].fixed = true // its load still contains the key
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
