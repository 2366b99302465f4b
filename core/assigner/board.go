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

// server is an upstream with the items that it will hold when the running moves are done.
type server struct {
	Upstream
	items            []*item
	load             float64
	weight           float64
	lastingStraggler bool // slow for LastingStraggler
	heaviest         float64
	saturated        bool // its heaviest item alone is above the level
}

// slots returns the load that the seat should be measured against.
func (s *server) slots() float64 {
	if s.lastingStraggler {
		return s.Slots * StragglerShare
	}
	return s.Slots
}

// weightPerSlot returns the weight per slot if extra were added.
func (s *server) weightPerSlot(extra float64) float64 {
	return (s.weight + extra) / s.slots()
}

// fits reports whether the seat can take the load now. Only cold upstreams have a strict limit.
func (s *server) fits(load float64) bool {
	return s.State != Cold || s.load+load <= s.Capacity*ColdShare
}

func (s *server) add(i *item) {
	s.items = append(s.items, i)
	s.load += i.load
	s.weight += i.weight
}

func (s *server) remove(i *item) {
	at := slices.Index(s.items, i)
	s.items = slices.Delete(s.items, at, at+1)
	s.load -= i.load
	s.weight -= i.weight
}

// balanceState is the working state of one call of Plan.
type balanceState struct {
	table     *slicer.Table
	servers   []*server // upstreams that serve, by name
	byName    map[string]*server
	unplaced  []*item // items without an owner that serves, heaviest first
	items     map[uint32]*item
	totalLoad float64 // load
	budget    int
}

// newBalanceState seats the slices. The load of a hot key is known to its sketch before that of its slice has been measured;
// without it a key would be folded right after it was isolated.
func newBalanceState(now time.Duration, in Input, keys map[string]float64) *balanceState {
	b := &balanceState{table: in.Table, byName: map[string]*server{}, items: map[uint32]*item{}, budget: in.Budget}
	b.addServers(now, in.Upstreams)
	for _, slice := range sortedSlices(in.Table) {
		load := in.SliceLoad[slice.ID]
		if slice.HotKey != "" {
			load = max(load, keys[slice.HotKey])
		}
		b.totalLoad += load
		b.items[slice.ID] = &item{Slice: slice, load: load}
	}
	extra := CountWeight * b.totalLoad / float64(max(1, len(b.items)))
	if b.totalLoad == 0 {
		extra = 1
	}
	for _, slice := range sortedSlices(in.Table) {
		current := b.items[slice.ID]
		current.weight = current.load + extra
		b.addItem(current, in.Moving)
	}
	slices.SortStableFunc(b.unplaced, func(x, y *item) int { return cmp.Compare(y.weight, x.weight) })
	return b
}

func (b *balanceState) addServers(now time.Duration, upstreams []Upstream) {
	for _, upstream := range upstreams {
		if !upstream.State.Serves() || upstream.Slots <= 0 {
			continue
		}
		lasting := upstream.Straggling && now-upstream.StragglingSince >= MinStragglerDuration
		s := &server{Upstream: upstream, lastingStraggler: lasting}
		b.servers = append(b.servers, s)
		b.byName[upstream.Name] = s
	}
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.Name, y.Name) })
}

// addItem gives the item to the seat of its owner. An item whose running move has a target that serves counts there.
func (b *balanceState) addItem(i *item, moving map[uint32]string) {
	owner := i.Owner
	if target, ok := moving[i.ID]; ok {
		owner = target
		i.fixed = b.byName[target] != nil
	}
	if s := b.byName[owner]; s != nil {
		s.add(i)
		return
	}
	b.unplaced = append(b.unplaced, i)
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

// placeItems assigns every loose item, heaviest first, to the seat that stays the least loaded. Without a serving upstream
// nothing is assigned.
func (b *balanceState) placeItems() []Move {
	var moves []Move
	for _, i := range b.unplaced {
		target := b.bestServer(i)
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

// bestServer returns the seat for an item that must be placed. Upstreams that are steady and have room come first; a
// cold upstream beyond its capacity is the last choice, since its admission limit still protects it while a slice
// without an owner refuses every request.
func (b *balanceState) bestServer(i *item) *server {
	rank := func(s *server) int {
		switch {
		case !s.fits(i.load):
			return 2
		case s.Straggling:
			return 1
		}
		return 0
	}
	var best *server
	for _, s := range b.servers {
		if best == nil || rank(s) < rank(best) ||
			rank(s) == rank(best) && s.weightPerSlot(i.weight) < best.weightPerSlot(i.weight) {
			best = s
		}
	}
	return best
}

// level returns the weight per slot that every seat would have if items could be cut at will. A seat with one item above
// that level is saturated: the item is set aside with its seat, and the level of the others is computed anew. Otherwise
// one very hot key would keep the level out of reach and balancing would never rest.
func (b *balanceState) level() float64 {
	weight, slots := 0.0, 0.0
	for _, s := range b.servers {
		s.heaviest = 0
		for _, i := range s.items {
			s.heaviest = max(s.heaviest, i.weight)
		}
		weight += s.weight
		slots += s.slots()
	}
	for changed := true; changed && slots > 0; {
		changed = false
		for _, s := range b.servers {
			if !s.saturated && s.heaviest*slots > weight*s.slots() {
				s.saturated = true
				weight -= s.heaviest
				slots -= s.slots()
				changed = true
			}
		}
	}
	if slots <= 0 {
		return 0
	}
	return weight / slots
}

// balance moves items from heavy to light seats, at most budget of them.
func (b *balanceState) balance(budget int) []Move {
	if len(b.servers) < 2 {
		return nil
	}
	level := b.level()
	if level <= 0 || !b.unbalanced(level, StartTolerance) {
		return nil
	}
	var moves []Move
	for len(moves) < budget && b.unbalanced(level, StopTolerance) {
		move, ok := b.step(level)
		if !ok {
			return moves
		}
		moves = append(moves, move)
	}
	return moves
}

// unbalanced reports whether a seat that can give is above, or one that can take is below the tolerated band.
func (b *balanceState) unbalanced(level, tolerance float64) bool {
	for _, s := range b.servers {
		if s.isDonor() && s.surplus(level) > level*tolerance {
			return true
		}
		if s.isRecipient() && s.weightPerSlot(0) < level*(1-tolerance) {
			return true
		}
	}
	return false
}

// surplus returns the weight per slot that should be moved away.
func (s *server) surplus(level float64) float64 {
	if s.saturated {
		return s.weightPerSlot(-s.heaviest)
	}
	return s.weightPerSlot(0) - level
}

// isDonor reports whether items may be moved off the seat by choice. A cold upstream keeps its slices, since it will be
// warm again sooner than moves and their return would take; a straggler keeps them until it has lasted.
func (s *server) isDonor() bool {
	return s.State == InService && (!s.Straggling || s.lastingStraggler)
}

// isRecipient reports whether items may be moved to the seat by choice.
func (s *server) isRecipient() bool {
	return !s.Straggling && !s.saturated && (s.State == InService || s.load < s.Capacity)
}

// step makes the best single move from the heaviest seat that has one.
func (b *balanceState) step(level float64) (Move, bool) {
	donors := b.ranked((*server).isDonor)
	slices.Reverse(donors)
	recipients := b.ranked((*server).isRecipient)
	for _, donor := range donors {
		if donor.surplus(level) <= 0 {
			continue
		}
		for _, recipient := range recipients {
			if recipient == donor || recipient.weightPerSlot(0) >= donor.weightPerSlot(0) {
				break
			}
			if i := bestItem(donor, recipient, level); i != nil {
				return b.move(i, donor, recipient), true
			}
			if recipient.State == InService {
				break // heavier takers leave no lower maximum
			}
		}
	}
	return Move{}, false
}

// ranked returns the chosen seats, lightest first.
func (b *balanceState) ranked(include func(*server) bool) []*server {
	var ranked []*server
	for _, s := range b.servers {
		if include(s) {
			ranked = append(ranked, s)
		}
	}
	slices.SortStableFunc(ranked, func(x, y *server) int { return cmp.Compare(x.weightPerSlot(0), y.weightPerSlot(0)) })
	return ranked
}

// bestItem returns the item of donor whose move leaves the lower maximum of both seats, or nil when none lowers it by
// a quarter of the stop tolerance.
func bestItem(donor, recipient *server, level float64) *item {
	limit := donor.weightPerSlot(0) - StopTolerance/4*level
	var best *item
	for _, i := range donor.items {
		if i.fixed || !recipient.fits(i.load) {
			continue
		}
		after := max(donor.weightPerSlot(-i.weight), recipient.weightPerSlot(i.weight))
		if after < limit {
			best = i
			limit = after
		}
	}
	return best
}

func (b *balanceState) move(i *item, donor, recipient *server) Move {
	donor.remove(i)
	recipient.add(i)
	i.fixed = true
	reason := Balance
	if donor.lastingStraggler {
		reason = Straggler
	}
	return Move{Kind: Transfer, Slice: i.ID, From: donor.Name, To: recipient.Name, Reason: reason}
}
