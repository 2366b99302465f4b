package controller

import (
	"cmp"
	"slices"
	"time"

	"rhubarbtrack.example/core/slicer"
)

// Input is the state from which Plan chooses moves.
type Input struct {
	Slices        []SliceState    // ascending by ID
	Upstreams     []UpstreamState // ascending by name
	Budget        int             // number of moves that may begin now
	Voluntary     bool            // if false, only slices without an owner may move, and those that Draining allows
	Draining      bool            // slices of leaving upstreams may move, even while the store is down
	StoreUnstable bool            // a store call has failed within storeStableTime: moves that can wait should wait
}

// storeStableTime is the time without a failed store call after which moves that can wait begin again. A store that
// loses replies appears available after every read. A move that then waits for its write leaves keys without an
// owner.
const storeStableTime = 10 * time.Second

// SliceState describes a slice to Plan.
type SliceState struct {
	ID     uint32
	Low    uint64 // first hash of a range, the hash of a hot key
	HotKey string
	Owner  string // empty when the slice has none
	Moving bool   // a move is under way; Owner is the next owner
}

// UpstreamState describes an upstream to Plan.
type UpstreamState struct {
	Name          string
	FailureDomain string
	Slots         int
	Incarnation   string
	InFlight      int  // -1 when unknown
	Eligible      bool // may receive slices: it replies and is not draining
	Leaving       bool // its slices must move to other upstreams: it is draining or its process has stopped
}

// Move moves a slice to the upstream To or, with Isolate or Fold, changes the set of keys of a slice under the same
// owner. At most one of Isolate and Fold is set.
type Move struct {
	Slice   uint32
	To      string
	Isolate string // key of the range Slice that gets a slice of its own, a hot key
	Fold    string // hot key of Slice that becomes part of its range again
}

// EvenPlan assigns slices in proportion to slots: first those without an owner, then those of leaving upstreams, then
// slices of upstreams that have more per slot than the least loaded one would have with one more.
func EvenPlan(_ time.Duration, input Input) []Move {
	plan := newEvenPlan(input)
	for _, s := range input.Slices {
		if s.Owner == "" && !s.Moving {
			plan.move(s, "")
		}
	}
	for _, s := range input.Slices {
		if (input.Voluntary || input.Draining) && plan.leaving[s.Owner] && !s.Moving {
			plan.move(s, s.Owner)
		}
	}
	if input.Voluntary {
		plan.rebalance()
	}
	return plan.moves
}

type evenPlan struct {
	input   Input
	slots   map[string]int // of eligible upstreams
	count   map[string]int
	leaving map[string]bool
	moves   []Move
}

func newEvenPlan(input Input) *evenPlan {
	plan := &evenPlan{input: input, slots: map[string]int{}, count: map[string]int{}, leaving: map[string]bool{}}
	for _, upstream := range input.Upstreams {
		if upstream.Eligible {
			plan.slots[upstream.Name] = max(upstream.Slots, 1)
		}
		plan.leaving[upstream.Name] = upstream.Leaving
	}
	for _, s := range input.Slices {
		plan.count[s.Owner]++
	}
	return plan
}

func (p *evenPlan) move(s SliceState, from string) {
	to := p.leastLoaded()
	if to == "" || len(p.moves) >= p.input.Budget {
		return
	}
	p.count[from]--
	p.count[to]++
	p.moves = append(p.moves, Move{Slice: s.ID, To: to})
}

// load returns the number of slices per slot that the upstream would have with extra additional slices.
func (p *evenPlan) load(name string, extra int) float64 {
	return float64(p.count[name]+extra) / float64(p.slots[name])
}

func (p *evenPlan) leastLoaded() string {
	best := ""
	for _, upstream := range p.input.Upstreams {
		if p.slots[upstream.Name] == 0 {
			continue
		}
		if best == "" || p.load(upstream.Name, 1) < p.load(best, 1) {
			best = upstream.Name
		}
	}
	return best
}

func (p *evenPlan) rebalance() {
	to := p.leastLoaded()
	for _, s := range p.input.Slices {
		if to == "" || p.slots[s.Owner] == 0 || s.Moving || p.moved(s.ID) {
			continue
		}
		if p.load(s.Owner, 0) > p.load(to, 1) {
			p.move(s, s.Owner)
			to = p.leastLoaded()
		}
	}
}

func (p *evenPlan) moved(id uint32) bool {
	return slices.ContainsFunc(p.moves, func(move Move) bool { return move.Slice == id })
}

// plan starts the moves that Plan returns, up to the bound on simultaneous moves.
func (c *Controller) plan(now time.Duration) {
	if !c.keyed() || now < c.nextPlanAt || now < c.planDueAt && c.generation == c.planGeneration {
		return
	}
	c.nextPlanAt = now + planInterval
	c.planDueAt = now + planIdle
	c.planGeneration = c.generation
	input := c.input(now)
	if input.Budget <= 0 {
		return
	}
	for _, move := range c.options.Plan(now, input) {
		if input.Budget <= 0 {
			return
		}
		if move.Isolate != "" || move.Fold != "" {
			input.Budget -= c.beginEdit(now, move, input)
		} else if c.beginMove(move, input) {
			input.Budget--
		}
	}
}

func (c *Controller) beginMove(move Move, input Input) bool {
	s := c.slices[move.Slice]
	index, known := slices.BinarySearchFunc(input.Upstreams, move.To, func(upstream UpstreamState, name string) int {
		return cmp.Compare(upstream.Name, name)
	})
	if s == nil || !known || !input.Upstreams[index].Eligible {
		return false
	}
	allowed := input.Voluntary || input.Draining && input.leaving(s.owner)
	voluntary := s.stage == owned && s.owner != move.To && allowed && s.uncommittedOwner == ""
	if s.stage != unowned && !voluntary {
		return false
	}
	c.startMove(s, move.To)
	return true
}

// leaving reports whether the slices of an upstream must move to others.
func (i Input) leaving(name string) bool {
	return slices.ContainsFunc(i.Upstreams, func(upstream UpstreamState) bool {
		return upstream.Name == name && upstream.Leaving
	})
}

func (c *Controller) input(now time.Duration) Input {
	input := Input{
		Budget:        c.options.MaxMoves,
		Voluntary:     now >= c.voluntaryAt && c.takeoverFinished && !c.store.down,
		Draining:      now >= c.voluntaryAt && c.takeoverFinished,
		StoreUnstable: c.store.failedAt > 0 && now-c.store.failedAt < storeStableTime,
	}
	for _, id := range c.order {
		s := c.slices[id]
		state := SliceState{ID: id, Low: s.low, HotKey: s.hotKey, Owner: s.owner,
			Moving: s.stage != owned && s.stage != unowned}
		switch s.stage {
		case stopping, revoking:
			state.Owner = s.target
		case unowned:
			state.Owner = ""
		}
		if state.Moving && s.stage != unresolved {
			input.Budget--
		}
		input.Slices = append(input.Slices, state)
	}
	for _, name := range c.names() {
		upstream := c.upstreams[name]
		input.Upstreams = append(input.Upstreams, UpstreamState{
			Name:          name,
			FailureDomain: upstream.config.FailureDomain,
			Slots:         upstream.config.Slots,
			Incarnation:   upstream.incarnation,
			InFlight:      upstream.inFlight,
			Eligible:      upstream.replied && upstream.failedSince == 0 && !c.draining(upstream),
			Leaving:       c.draining(upstream) || upstream.processStopped(now),
		})
	}
	return input
}

func (c *Controller) addSlice(entry slicer.Slice) {
	s := &slice{id: entry.ID, low: entry.Low, hotKey: entry.HotKey, owner: entry.Owner, epoch: entry.Epoch}
	if s.owner != "" {
		c.ensureUpstream(s.owner)
	}
	c.slices[s.id] = s
	c.lastID = max(c.lastID, s.id)
}

func (c *Controller) sortOrder() {
	c.order = c.order[:0]
	for id := range c.slices {
		c.order = append(c.order, id)
	}
	slices.Sort(c.order)
}
