// Package assigner decides which upstream owns which slice of a service that is partitioned by key.
//
// Plan compares the table with the state of the upstreams and the measured load, and returns the changes to make. It
// moves every slice whose owner no longer serves, and, within a churn budget, slices that balance the load. Keys that
// carry a large part of the load get a slice of their own and return to their range when they cool down.
//
// # Usage
//
//	moves := assigner.Plan(now, assigner.Input{
//		Table:     &table,
//		Upstreams: upstreams,
//		SliceLoad: loads,
//		KeyLoad:   sketch.Top(now, 512),
//		Moving:    moving,
//		Budget:    churn.Available(now),
//	})
//
// The caller carries out the moves in their order and passes those that are not finished as Moving of the next call. A
// slice in Moving is left alone unless its target no longer serves; then a transfer from its present owner names another
// target, which may be that owner.
// Load has one unit everywhere: slots in use on average. It should be measured as demand (request rate times the usual
// service time), since an upstream that is slow for a moment would otherwise appear to have heavier slices.
package assigner

import (
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/slicer"
)

// State says whether an upstream can own slices.
type State int

// States of an upstream.
const (
	// InService upstreams bear the load of all their slots.
	InService State = iota
	// Cold upstreams have just started and bear the load Capacity now.
	Cold
	// Draining upstreams are wanted empty by an operator or are leaving.
	Draining
	// TakenOut upstreams belong to a failure domain that is taken out of service.
	TakenOut
	// Unresponsive upstreams do not answer.
	Unresponsive
)

// Serves reports whether an upstream in this state may keep or receive slices.
func (s State) Serves() bool {
	return s == InService || s == Cold
}

// Upstream is the state of one upstream of the service.
type Upstream struct {
	Name            string
	FailureDomain   string
	State           State
	Slots           float64       // load that it bears when it is warm
	Capacity        float64       // load that it bears now; read only while Cold
	Straggling      bool          // slower than its peers at present
	StragglingSince time.Duration // start of the present slow period
}

// KeyLoad is the measured load of one key.
type KeyLoad struct {
	Key  string
	Load float64 // slots in use
}

// Input is everything that Plan depends on besides the time.
type Input struct {
	Table     *slicer.Table
	Upstreams []Upstream
	SliceLoad map[uint32]float64 // by slice, hot keys included
	KeyLoad   []KeyLoad          // heaviest keys, from the Sketch of each admission host, in any order
	Moving    map[uint32]string  // To of each slice (Move.Slices) whose move has not finished
	Budget    int                // moves that may be made by choice; moves off upstreams that do not serve are free
}

// Kind is the kind of a change.
type Kind int

// Kinds of changes.
const (
	// Transfer gives the slice to the upstream To.
	Transfer Kind = iota
	// Isolate gives Key a slice of its own, with the owner of the range Slice.
	Isolate
	// Fold returns the hot key Key, whose slice is Slice, to its range, which has the same owner.
	Fold
)

// Reason says why a change is made.
type Reason int

// Reasons of changes.
const (
	// Unassigned slices have no owner.
	Unassigned Reason = iota
	// OwnerNotServing slices belong to an upstream that is drained, taken out, lost or no longer configured.
	OwnerNotServing
	// Balance changes even out load and slice count.
	Balance
	// Straggler changes move load off an upstream that has been slow for LastingStraggler.
	Straggler
	// HotKey changes isolate a key with a large load.
	HotKey
	// CooledKey changes return a hot key to its range.
	CooledKey
)

// Move is one change of the table.
type Move struct {
	Kind   Kind
	Slice  uint32
	Range  uint32 // for Fold: the range that takes the key
	Key    string // for Isolate and Fold
	From   string // owner before, may be empty
	To     string // owner after
	Reason Reason
}

const (
	// MinStragglerDuration is the time after which slices are moved off a straggler. Most slow periods of upstreams last
	// moments, and moving slices for them would cost more than it saves.
	MinStragglerDuration = 30 * time.Second
	// StragglerShare is the part of its slots that a lasting straggler is expected to bear.
	StragglerShare = 0.5
	// ColdShare is the part of the present capacity of a cold upstream that is filled. Measured loads are a few percent
	// off, and a cold upstream must not receive more than it can handle.
	ColdShare = 0.85
	// StartTolerance is the deviation from the level at which balancing starts, as a share of the level.
	// The gap to StopTolerance keeps noise in the measured load from causing moves. With 0.06 and 0.02 the excess churn
	// doubled at 600 upstreams, and the highest load fell by less than 1%.
	StartTolerance = 0.10
	// StopTolerance is the deviation at which balancing stops, as a share of the level.
	StopTolerance = 0.03
	// CountWeight is the part of the mean slice load that every slice weighs beyond its own load, so that idle slices
	// are spread as well.
	CountWeight = 0.1
)

// Plan returns the changes to make now, in the order in which to start them. Equal inputs give equal results.
func Plan(now time.Duration, in Input) []Move {
	keys := sumKeys(in.KeyLoad)
	board := newBoard(now, in, keys)
	moves := board.planHotKeys(keys)
	moves = append(moves, board.place()...)
	return append(moves, board.balance(in.Budget-CountVoluntary(moves))...)
}

// Slices returns the slices that change their owner or their set of keys.
func (m Move) Slices() []uint32 {
	if m.Kind == Fold {
		return []uint32{m.Slice, m.Range}
	}
	return []uint32{m.Slice}
}

// Apply makes the change in the table. It returns an error of slicer without a change if the table no longer fits, for
// instance because the slice has another owner than From.
func (m Move) Apply(table *slicer.Table) error {
	slice, ok := table.Find(m.Slice)
	if !ok || slice.Owner != m.From {
		return &slicer.Error{Op: "move", Kind: slicer.Conflict,
			Err: errors.Newf("slice %d does not belong to %q", m.Slice, m.From)}
	}
	switch m.Kind {
	case Isolate:
		_, err := table.Isolate(m.Key)
		return err
	case Fold:
		return table.Fold(m.Key)
	default:
		return table.Assign(m.Slice, m.To)
	}
}
