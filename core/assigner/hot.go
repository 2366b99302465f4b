package assigner

import (
	"cmp"
	"slices"

	"rhubarbtrack.example/core/slicer"
)

const (
	// IsolateShare is the load from which a key gets a slice of its own, as a fraction of the mean load of an upstream. A
	// range has about 1/16 of that mean, so a key with less load has little effect on the load of its range.
	IsolateShare = 0.05
	// FoldShare is the load below which a hot key returns to its range, as a fraction of the mean load of an upstream. The
	// gap to IsolateShare prevents a key from being isolated and folded repeatedly.
	FoldShare = 0.0125
)

// EvictRatio is the factor by which the load of another key must exceed the load of a hot key to replace it when the
// list of hot keys is full. It prevents two keys of similar load from replacing each other repeatedly.
const EvictRatio = 1.5

// planHotKeys folds hot keys whose load has fallen and isolates keys whose load has risen, highest load first.
func (b *balanceState) planHotKeys(keys map[string]float64) []Move {
	if b.totalLoad == 0 || len(b.servers) == 0 {
		return nil
	}
	meanLoad := b.totalLoad / float64(len(b.servers))
	candidates := b.candidates(keys, meanLoad*IsolateShare)
	moves, folded := b.fold(b.cooled(candidates, meanLoad*FoldShare))
	free := slicer.MaxHotKeys - len(b.table.Hot) + folded
	return append(moves, b.isolate(candidates, free)...)
}

// candidates returns the keys that are not hot and have a load of at least minLoad, highest load first.
func (b *balanceState) candidates(keys map[string]float64, minLoad float64) []KeyLoad {
	var all []KeyLoad
	for key, load := range keys {
		if _, hot := b.table.Hot[key]; !hot && load >= minLoad {
			all = append(all, KeyLoad{Key: key, Load: load})
		}
	}
	slices.SortFunc(all, byLoad)
	return all
}

// sumKeyLoads returns the total load of each key. Two admission hosts may report the same key when it has just moved.
func sumKeyLoads(keys []KeyLoad) map[string]float64 {
	sums := make(map[string]float64, len(keys))
	for _, key := range keys {
		sums[key.Key] += key.Load
	}
	return sums
}

// cooled returns the hot keys to fold, lowest load first: those with a load below maxLoad, and, if the list has too
// little room for the candidates, those that a candidate may replace according to EvictRatio.
func (b *balanceState) cooled(candidates []KeyLoad, maxLoad float64) []*item {
	hot := make([]*item, 0, len(b.table.Hot))
	for _, slice := range sortedHot(b.table) {
		hot = append(hot, b.items[slice.ID])
	}
	slices.SortStableFunc(hot, func(x, y *item) int { return cmp.Compare(x.load, y.load) })
	free := slicer.MaxHotKeys - len(hot)
	for count, i := range hot {
		next := free + count // index of the candidate that the fold makes room for
		evicted := next >= 0 && next < len(candidates) && candidates[next].Load >= EvictRatio*i.load
		if i.load >= maxLoad && !evicted {
			return hot[:count]
		}
	}
	return hot
}

// fold returns the moves that fold the cooled keys, and the number of keys that they remove from the list. A key whose
// owner is not the owner of its range is transferred first and folded by a later plan.
func (b *balanceState) fold(cooled []*item) ([]Move, int) {
	var moves []Move
	folded, transferred := 0, 0
	for _, hot := range cooled {
		keyRange, ok := b.table.RangeOf(hot.Low)
		if !ok {
			continue
		}
		rangeItem := b.items[keyRange.ID]
		from, to := b.byName[hot.Owner], b.byName[rangeItem.Owner]
		if hot.fixed || rangeItem.fixed || from == nil || to == nil {
			continue
		}
		if from == to {
			folded++
			moves = append(moves, Move{Kind: Fold, Slice: hot.ID, Range: rangeItem.ID, Key: hot.HotKey, From: hot.Owner,
				To: hot.Owner, Reason: CooledKey})
			continue
		}
		if transferred >= b.budget || !to.fits(hot.load) {
			continue
		}
		transferred++
		move := b.move(hot, from, to)
		move.Reason = CooledKey
		moves = append(moves, move)
	}
	for _, move := range moves {
		for _, id := range move.Slices() {
			b.items[id].fixed = true
		}
	}
	return moves, folded
}

// isolate returns the moves that give at most free candidates a slice of their own.
func (b *balanceState) isolate(candidates []KeyLoad, free int) []Move {
	var moves []Move
	for _, key := range candidates {
		if len(moves) >= free {
			break
		}
		slice, ok := b.table.Lookup(key.Key)
		if !ok || b.byName[slice.Owner] == nil || b.items[slice.ID].fixed {
			continue
		}
		moves = append(moves, Move{Kind: Isolate, Slice: slice.ID, Key: key.Key, From: slice.Owner, To: slice.Owner,
			Reason: HotKey})
	}
	for _, move := range moves {
		b.items[move.Slice].fixed = true // the load of the range still includes the key
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
