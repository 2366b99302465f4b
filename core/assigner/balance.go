package assigner

import (
	"cmp"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// item is a slice with its load and weight.
type item struct {
	slicer.Slice
	load   float64 // slots in use
	weight float64 // load plus the constant weight of a slice, see CountWeight
	fixed  bool    // not to be moved: already moving, isolated or folded by this plan
}

// server is an upstream with the items that it will own when the moves in progress have finished.
type server struct {
	Upstream
	items            []*item
	load             float64
	weight           float64
	lastingStraggler bool // has straggled for at least MinStragglerDuration
	heaviest         float64
	saturated        bool // its heaviest item alone exceeds the target weight per slot
}

// slots returns the slots that the server can use, fewer for a lasting straggler.
func (s *server) slots() float64 {
	if s.lastingStraggler {
		return s.Slots * StragglerShare
	}
	return s.Slots
}

// weightPerSlot returns the weight per slot that the server would have with the additional weight extra.
func (s *server) weightPerSlot(extra float64) float64 {
	return (s.weight + extra) / s.slots()
}

// fits reports whether the server can accept the additional load now. Only cold upstreams have a strict limit.
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

// balanceState is the state of one call of Plan. It includes the moves that the call has chosen so far.
type balanceState struct {
	table     *slicer.Table
	servers   []*server // upstreams that can own slices, by name
	byName    map[string]*server
	unplaced  []*item // items whose owner is not among servers, heaviest first
	items     map[uint32]*item
	totalLoad float64 // slots in use
	budget    int
}

// newBalanceState adds the slices to their servers. A hot key counts with at least its load in keys, because the load
// of its slice is not measured until after the isolation. Otherwise the key would be folded right after it was
// isolated.
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

// addItem adds the item to the server of its owner, or to the target of its move in progress. If that upstream cannot
// own slices, the item is added to the unplaced ones.
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

// placeItems assigns every unplaced item, heaviest first, to its best server. It assigns nothing if there is no server.
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

// bestServer returns the server for an item that must be placed: the one with the lowest resulting weight per slot
// among those that have capacity and do not straggle, then among stragglers, then among cold upstreams without enough
// capacity. The last group is still better than no owner: the admission limit protects such an upstream, while all
// requests for a slice without an owner are rejected.
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

// targetWeightPerSlot returns the weight per slot that every server would have if items could be divided arbitrarily. A
// server whose heaviest item alone exceeds the target is saturated. The target is computed again without that server's
// slots and that item. Otherwise one very hot key would make the target unreachable and balancing would never stop.
func (b *balanceState) targetWeightPerSlot() float64 {
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

// balance moves at most budget items from servers with a surplus to lighter servers.
func (b *balanceState) balance(budget int) []Move {
	if len(b.servers) < 2 {
		return nil
	}
	target := b.targetWeightPerSlot()
	if target <= 0 || !b.unbalanced(target, StartTolerance) {
		return nil
	}
	var moves []Move
	for len(moves) < budget && b.unbalanced(target, StopTolerance) {
		move, ok := b.step(target)
		if !ok {
			return moves
		}
		moves = append(moves, move)
	}
	return moves
}

// unbalanced reports whether a donor is above or a recipient is below the target by more than the tolerance, which is a
// fraction of the target.
func (b *balanceState) unbalanced(target, tolerance float64) bool {
	for _, s := range b.servers {
		if s.isDonor() && s.surplus(target) > target*tolerance {
			return true
		}
		if s.isRecipient() && s.weightPerSlot(0) < target*(1-tolerance) {
			return true
		}
	}
	return false
}

// surplus returns the weight per slot that should be moved to other servers.
func (s *server) surplus(target float64) float64 {
	if s.saturated {
		return s.weightPerSlot(-s.heaviest)
	}
	return s.weightPerSlot(0) - target
}

// isDonor reports whether voluntary moves may take items from the server. A cold upstream keeps its slices, because it
// becomes warm in less time than it takes to move slices away and back. A straggler keeps them for MinStragglerDuration.
func (s *server) isDonor() bool {
	return s.State == InService && (!s.Straggling || s.lastingStraggler)
}

// isRecipient reports whether voluntary moves may add items to the server.
func (s *server) isRecipient() bool {
	return !s.Straggling && !s.saturated && (s.State == InService || s.load < s.Capacity)
}

// step makes the best move from the heaviest donor that has a move which lowers the maximum, see bestItem.
func (b *balanceState) step(target float64) (Move, bool) {
	donors := b.ranked((*server).isDonor)
	slices.Reverse(donors)
	recipients := b.ranked((*server).isRecipient)
	for _, donor := range donors {
		if donor.surplus(target) <= 0 {
			continue
		}
		for _, recipient := range recipients {
			if recipient == donor || recipient.weightPerSlot(0) >= donor.weightPerSlot(0) {
				break
			}
			if i := bestItem(donor, recipient, target); i != nil {
				return b.move(i, donor, recipient), true
			}
			if recipient.State == InService {
				break // the remaining recipients are heavier, so the maximum would not be lower
			}
		}
	}
	return Move{}, false
}

// ranked returns the servers for which include returns true, lightest first.
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

// bestItem returns the item of donor whose move to recipient results in the lowest maximum weight per slot of the two
// servers. It returns nil if no move lowers the maximum by a quarter of the stop tolerance.
func bestItem(donor, recipient *server, target float64) *item {
	limit := donor.weightPerSlot(0) - StopTolerance/4*target
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
