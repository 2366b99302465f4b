package assigner

import (
	"cmp"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// item is a slice as balancing sees it.
type item struct {
	slicer.Slice
	load   float64 // slots in use
	weight float64 // load plus the part that counts the slice itself
	fixed  bool    // already moving, or about to be folded
}

// seat is an upstream with the items that it will hold when the running moves are done.
type seat struct {
	Upstream
	items     []*item
	load      float64
	weight    float64
	straggles bool // slow for LastingStraggler
	heaviest  float64
	saturated bool // its heaviest item alone is above the level
}

// slots returns the load that the seat should be measured against.
func (s *seat) slots() float64 {
	if s.straggles {
		return s.Slots * StragglerShare
	}
	return s.Slots
}

// relative returns the weight per slot if extra were added.
func (s *seat) relative(extra float64) float64 {
	return (s.weight + extra) / s.slots()
}

// fits reports whether the seat can take the load now. Only cold upstreams have a strict limit.
func (s *seat) fits(load float64) bool {
	return s.State != Cold || s.load+load <= s.Capacity*ColdShare
}

func (s *seat) add(i *item) {
	s.items = append(s.items, i)
	s.load += i.load
	s.weight += i.weight
}

func (s *seat) remove(i *item) {
	at := slices.Index(s.items, i)
	s.items = slices.Delete(s.items, at, at+1)
	s.load -= i.load
	s.weight -= i.weight
}

// board is the working state of one call of Plan.
type board struct {
	table  *slicer.Table
	seats  []*seat // upstreams that serve, by name
	byName map[string]*seat
	loose  []*item // items without an owner that serves, heaviest first
	all    map[uint32]*item
	total  float64 // load
	budget int
}

// newBoard seats the slices. The load of a hot key is known to its sketch before that of its slice has been measured;
// without it a key would be folded right after it was isolated.
func newBoard(now time.Duration, in Input, keys map[string]float64) *board {
	b := &board{table: in.Table, byName: map[string]*seat{}, all: map[uint32]*item{}, budget: in.Budget}
	b.addSeats(now, in.Upstreams)
	for _, slice := range sortedSlices(in.Table) {
		load := in.SliceLoad[slice.ID]
		if slice.HotKey != "" {
			load = max(load, keys[slice.HotKey])
		}
		b.total += load
		b.all[slice.ID] = &item{Slice: slice, load: load}
	}
	extra := CountWeight * b.total / float64(max(1, len(b.all)))
	if b.total == 0 {
		extra = 1
	}
	for _, slice := range sortedSlices(in.Table) {
		current := b.all[slice.ID]
		current.weight = current.load + extra
		b.put(current, in.Moving)
	}
	slices.SortStableFunc(b.loose, func(x, y *item) int { return cmp.Compare(y.weight, x.weight) })
	return b
}

func (b *board) addSeats(now time.Duration, upstreams []Upstream) {
	for _, upstream := range upstreams {
		if !upstream.State.Serves() || upstream.Slots <= 0 {
			continue
		}
		lasting := upstream.Straggling && now-upstream.StragglingSince >= MinStragglerDuration
		s := &seat{Upstream: upstream, straggles: lasting}
		b.seats = append(b.seats, s)
		b.byName[upstream.Name] = s
	}
	slices.SortFunc(b.seats, func(x, y *seat) int { return cmp.Compare(x.Name, y.Name) })
}

// put gives the item to the seat of its owner. An item whose running move has a target that serves counts there.
func (b *board) put(i *item, moving map[uint32]string) {
	owner := i.Owner
	if target, ok := moving[i.ID]; ok {
		owner = target
		i.fixed = b.byName[target] != nil
	}
	if s := b.byName[owner]; s != nil {
		s.add(i)
		return
	}
	b.loose = append(b.loose, i)
}

// sortedSlices returns the ranges and hot keys by ID.
func sortedSlices(table *slicer.Table) []slicer.Slice {
	all := append([]slicer.Slice(nil), table.Ranges...)
	for _, hot := range table.Hot {
		all = append(all, hot)
	}
	slices.SortFunc(all, func(x, y slicer.Slice) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// place assigns every loose item, heaviest first, to the seat that stays the least loaded. Without a serving upstream
// nothing is assigned.
func (b *board) place() []Move {
	var moves []Move
	for _, i := range b.loose {
		target := b.roomiest(i)
		if target == nil {
			return moves
		}
		reason := OwnerNotServing
		if i.Owner == "" {
			reason = Unassigned
		}
		target.add(i)
		i.fixed = true
		moves = append(moves, Move{Kind: Transfer, Slice: i.ID, From: i.Owner, To: target.Name, Reason: reason})
	}
	return moves
}

// roomiest returns the seat for an item that must be placed. Upstreams that are steady and have room come first; a
// cold upstream beyond its capacity is the last choice, since its admission limit still protects it while a slice
// without an owner refuses every request.
func (b *board) roomiest(i *item) *seat {
	rank := func(s *seat) int {
		switch {
		case !s.fits(i.load):
			return 2
		case s.Straggling:
			return 1
		}
		return 0
	}
	var best *seat
	for _, s := range b.seats {
		if best == nil || rank(s) < rank(best) ||
			rank(s) == rank(best) && s.relative(i.weight) < best.relative(i.weight) {
			best = s
		}
	}
	return best
}

// level returns the weight per slot that every seat would have if items could be cut at will. A seat with one item above
// that level is saturated: the item is set aside with its seat, and the level of the others is computed anew. Otherwise
// one very hot key would keep the level out of reach and balancing would never rest.
func (b *board) level() float64 {
	weight, slots := 0.0, 0.0
	for _, s := range b.seats {
		s.heaviest = 0
		for _, i := range s.items {
			s.heaviest = max(s.heaviest, i.weight)
		}
		weight += s.weight
		slots += s.slots()
	}
	for again := true; again && slots > 0; {
		again = false
		for _, s := range b.seats {
			if !s.saturated && s.heaviest*slots > weight*s.slots() {
				s.saturated = true
				weight -= s.heaviest
				slots -= s.slots()
				again = true
			}
		}
	}
	if slots <= 0 {
		return 0
	}
	return weight / slots
}

// balance moves items from heavy to light seats, at most budget of them.
func (b *board) balance(budget int) []Move {
	if len(b.seats) < 2 {
		return nil
	}
	level := b.level()
	if level <= 0 || !b.outside(level, StartTolerance) {
		return nil
	}
	var moves []Move
	for len(moves) < budget && b.outside(level, StopTolerance) {
		move, ok := b.step(level)
		if !ok {
			return moves
		}
		moves = append(moves, move)
	}
	return moves
}

// outside reports whether a seat that can give is above, or one that can take is below the tolerated band.
func (b *board) outside(level, tolerance float64) bool {
	for _, s := range b.seats {
		if s.gives() && s.surplus(level) > level*tolerance {
			return true
		}
		if s.takes() && s.relative(0) < level*(1-tolerance) {
			return true
		}
	}
	return false
}

// surplus returns the weight per slot that should be moved away.
func (s *seat) surplus(level float64) float64 {
	if s.saturated {
		return s.relative(-s.heaviest)
	}
	return s.relative(0) - level
}

// gives reports whether items may be moved off the seat by choice. A cold upstream keeps its slices, since it will be
// warm again sooner than moves and their return would take; a straggler keeps them until it has lasted.
func (s *seat) gives() bool {
	return s.State == InService && (!s.Straggling || s.straggles)
}

// takes reports whether items may be moved to the seat by choice.
func (s *seat) takes() bool {
	return !s.Straggling && !s.saturated && (s.State == InService || s.load < s.Capacity)
}

// step makes the best single move from the heaviest seat that has one.
func (b *board) step(level float64) (Move, bool) {
	donors := b.ranked((*seat).gives)
	slices.Reverse(donors)
	takers := b.ranked((*seat).takes)
	for _, donor := range donors {
		if donor.surplus(level) <= 0 {
			continue
		}
		for _, taker := range takers {
			if taker == donor || taker.relative(0) >= donor.relative(0) {
				break
			}
			if i := bestItem(donor, taker, level); i != nil {
				return b.move(i, donor, taker), true
			}
			if taker.State == InService {
				break // heavier takers leave no lower maximum
			}
		}
	}
	return Move{}, false
}

// ranked returns the chosen seats, lightest first.
func (b *board) ranked(choose func(*seat) bool) []*seat {
	var chosen []*seat
	for _, s := range b.seats {
		if choose(s) {
			chosen = append(chosen, s)
		}
	}
	slices.SortStableFunc(chosen, func(x, y *seat) int { return cmp.Compare(x.relative(0), y.relative(0)) })
	return chosen
}

// bestItem returns the item of donor whose move leaves the lower maximum of both seats, or nil when none lowers it by
// a quarter of the stop tolerance.
func bestItem(donor, taker *seat, level float64) *item {
	limit := donor.relative(0) - StopTolerance/4*level
	var best *item
	for _, i := range donor.items {
		if i.fixed || !taker.fits(i.load) {
			continue
		}
		after := max(donor.relative(-i.weight), taker.relative(i.weight))
		if after < limit {
			best = i
			limit = after
		}
	}
	return best
}

func (b *board) move(i *item, donor, taker *seat) Move {
	donor.remove(i)
	taker.add(i)
	i.fixed = true
	reason := Balance
	if donor.straggles {
		reason = Straggler
	}
	return Move{Kind: Transfer, Slice: i.ID, From: donor.Name, To: taker.Name, Reason: reason}
}
