// Package assigner decides which upstream owns which slice of a service that is partitioned by key.
//
// Plan compares the table with the state of the upstreams and the measured load, and returns the changes to make. It
// moves every slice whose owner cannot keep slices, and moves further slices within a churn budget to balance the load.
// A key that causes a large part of the load gets a slice of its own and returns to its range when its load falls.
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
// The caller carries out the moves in their order and passes the unfinished ones as Moving of the next call. Plan does
// not move a slice in Moving again unless its target can no longer receive slices. It then returns a transfer from the
// present owner to another target, which may be the present owner.
//
// All loads are in slots in use on average. The caller should measure load as demand (request rate times the usual
// service time). Otherwise the slices of an upstream that is slow for a short time would appear to have a higher load.
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
	// InService upstreams can use all their slots.
	InService State = iota
	// Cold upstreams have just started and can use only Capacity slots.
	Cold
	// Draining upstreams are being drained by an operator or are shutting down.
	Draining
	// TakenOut upstreams belong to a failure domain that is taken out of service.
	TakenOut
	// Unresponsive upstreams do not respond.
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
	Slots           float64       // maximum load when warm
	Capacity        float64       // maximum load now; used only while Cold
	Straggling      bool          // currently slower than its peers
	StragglingSince time.Duration // start of the current slow period
}

// KeyLoad is the measured load of one key.
type KeyLoad struct {
	Key  string
	Load float64 // slots in use
}

// Input contains everything that Plan depends on besides the time.
type Input struct {
	Table     *slicer.Table
	Upstreams []Upstream
	SliceLoad map[uint32]float64 // by slice, hot keys included
	KeyLoad   []KeyLoad          // keys with the highest load, from the Sketch of each admission host, in any order
	Moving    map[uint32]string  // target (Move.To) of each slice (Move.Slices) whose move has not finished
	Budget    int                // maximum number of voluntary moves, see CountVoluntary
}

// Kind is the type of change that a Move makes to the table.
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
	// OwnerNotServing slices belong to an upstream that is draining, taken out, unresponsive or no longer configured.
	OwnerNotServing
	// Balance changes equalize load and slice count.
	Balance
	// Straggler changes move load off an upstream that has been slow for MinStragglerDuration.
	Straggler
	// HotKey changes isolate a key with a high load.
	HotKey
	// CooledKey changes return a key whose load has fallen to its range.
	CooledKey
)

// Move is one change of the table.
type Move struct {
	Kind   Kind
	Slice  uint32
	Range  uint32 // for Fold: ID of the range that contains the key
	Key    string // for Isolate and Fold
	From   string // owner before, empty if unassigned
	To     string // owner after
	Reason Reason
}

const (
	// MinStragglerDuration is the time after which slices are moved off a straggler. Most slow periods of upstreams are
	// much shorter, and moving slices for them would cost more than it saves.
	MinStragglerDuration = 30 * time.Second
	// StragglerShare is the fraction of its slots that an upstream can use once it has straggled for
	// MinStragglerDuration.
	StragglerShare = 0.5
	// ColdShare is the fraction of the current capacity of a cold upstream that is filled. Measured loads have an error
	// of a few percent, and a cold upstream must not receive more than it can handle.
	ColdShare = 0.85
	// StartTolerance is the deviation from the target weight per slot at which balancing starts, as a fraction of the
	// target. The gap to StopTolerance prevents moves that are caused by noise in the measured load. With 0.06 and 0.02
	// the excess churn doubled at 600 upstreams, and the highest load fell by less than 1%.
	StartTolerance = 0.10
	// StopTolerance is the deviation at which balancing stops, as a fraction of the target weight per slot.
	StopTolerance = 0.03
	// CountWeight is the weight of a slice beyond its own load, as a fraction of the mean slice load. It spreads idle
	// slices as well.
	CountWeight = 0.1
)

// Plan returns the changes to make now, in the order in which to start them. It is deterministic: equal inputs give
// equal results.
func Plan(now time.Duration, in Input) []Move {
	keys := sumKeyLoads(in.KeyLoad)
	state := newBalanceState(now, in, keys)
	moves := state.planHotKeys(keys)
	moves = append(moves, state.placeItems()...)
	return append(moves, state.balance(in.Budget-CountVoluntary(moves))...)
}

// Slices returns the slices that change their owner or their set of keys.
func (m Move) Slices() []uint32 {
	if m.Kind == Fold {
		return []uint32{m.Slice, m.Range}
	}
	return []uint32{m.Slice}
}

// Apply makes the change in the table. If the change no longer matches the table, for example because the slice has
// another owner than From, Apply returns a *slicer.Error and leaves the table unchanged.
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
