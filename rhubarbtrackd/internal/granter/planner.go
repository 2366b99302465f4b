package granter

import (
	"cmp"
	"slices"
	"time"

	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/slicer"
)

const (
	// churnPerUpstream is the number of voluntary moves per minute and upstream, churnBurst the number that may start
	// at once. An upstream that returns without slices gets its 16 slices back within 4 minutes if nothing else moves.
	churnPerUpstream = 4
	churnBurst       = 1
	// minHotLoad is the load, in slots in use, from which a key may get a slice of its own. Without it the assigner
	// would isolate keys of an almost idle service, and each isolation briefly stops a range.
	minHotLoad = 0.05
	// loadWarmUp is the time after a takeover in which loads cause no moves. After a restart, callers that reconnect
	// all at once and upstreams with cold admission cause loads that do not last. Without it, demo --scenario
	// restart-all made 7 moves.
	loadWarmUp = 30 * time.Second
	// maxPlanGap is the time since the previous plan from which a plan counts as the first after a takeover. A
	// controller plans at least every 0.5 s.
	maxPlanGap = 5 * time.Second
)

// planner implements the Plan option of a controller. It places slices by load. Only the goroutine of the controller
// may use it.
type planner struct {
	loads     *loads
	churn     *assigner.ChurnBudget
	upstreams int           // number of upstreams for which churn was created
	started   time.Duration // first plan since the takeover
	lastPlan  time.Duration
}

func newPlanner() *planner {
	return &planner{loads: newLoads(), lastPlan: -maxPlanGap}
}

// plan returns the moves that the controller may start now. Unless the load of every slice with an owner is known, it
// makes no moves by load, because slices without a measured load would count as idle.
func (p *planner) plan(now time.Duration, input controller.Input) []controller.Move {
	p.loads.expire(now)
	if now-p.lastPlan >= maxPlanGap {
		p.started = now
	}
	p.lastPlan = now
	p.renewChurn(now, len(input.Upstreams))
	measured := input.Voluntary && !input.StoreUnstable && now-p.started >= loadWarmUp && p.measured(input)
	proposed := assigner.Plan(now, p.input(now, input, measured))
	slices.SortStableFunc(proposed, func(a, b assigner.Move) int { return cmp.Compare(priority(a), priority(b)) })
	busy := map[uint32]bool{}
	for _, s := range input.Slices {
		busy[s.ID] = s.Moving
	}
	var begun []assigner.Move
	var moves []controller.Move
	remaining := input.Budget
	for _, move := range proposed {
		if !allowed(move, input.Voluntary || input.Draining, measured) || slices.ContainsFunc(move.Slices(), func(id uint32) bool { return busy[id] }) {
			continue
		}
		if remaining -= len(move.Slices()); remaining < 0 {
			break
		}
		for _, id := range move.Slices() {
			busy[id] = true
		}
		begun = append(begun, move)
		moves = append(moves, toMove(move))
	}
	p.churn.Spend(now, begun)
	return moves
}

// allowed reports whether a move may start. Slices without an owner may always be placed. Slices of an upstream that is
// draining, has stopped or was removed may move if the controller allows voluntary moves or draining. Other moves need
// the loads of all slices.
func allowed(move assigner.Move, draining, measured bool) bool {
	switch move.Reason {
	case assigner.Unassigned:
		return true
	case assigner.OwnerNotServing:
		return draining
	default:
		return measured
	}
}

func toMove(move assigner.Move) controller.Move {
	switch move.Kind {
	case assigner.Isolate:
		return controller.Move{Slice: move.Slice, Isolate: move.Key}
	case assigner.Fold:
		return controller.Move{Slice: move.Slice, Fold: move.Key}
	default:
		return controller.Move{Slice: move.Slice, To: move.To}
	}
}

// priority is the sort order of moves, lowest first. Slices that no upstream serves come first.
func priority(move assigner.Move) int {
	switch move.Reason {
	case assigner.Unassigned:
		return 0
	case assigner.OwnerNotServing:
		return 1
	default:
		return 2
	}
}

func (p *planner) renewChurn(now time.Duration, upstreams int) {
	if p.churn == nil || p.upstreams != upstreams {
		p.churn = assigner.NewChurnBudget(now, float64(churnPerUpstream*upstreams), float64(churnBurst*upstreams))
		p.upstreams = upstreams
	}
}

func (p *planner) input(now time.Duration, input controller.Input, measured bool) assigner.Input {
	load, total := p.loads.sliceLoads()
	built := assigner.Input{
		Table:     tableOf(input),
		SliceLoad: load,
		Moving:    map[uint32]string{},
	}
	for _, s := range input.Slices {
		if s.Moving {
			built.Moving[s.ID] = s.Owner
		}
	}
	for _, upstream := range input.Upstreams {
		built.Upstreams = append(built.Upstreams, p.upstream(upstream, total))
	}
	if measured {
		built.Budget = p.churn.Available(now)
		built.KeyLoad = p.hotKeys(built.Table)
	}
	return built
}

// hotKeys returns the loads of the keys that have a slice of their own or may get one.
func (p *planner) hotKeys(table *slicer.Table) []assigner.KeyLoad {
	return slices.DeleteFunc(p.loads.keyLoads(), func(key assigner.KeyLoad) bool {
		_, hot := table.Hot[key.Key]
		return !hot && key.Load < minHotLoad
	})
}

// measured reports whether a current load is known for every slice that has an owner.
func (p *planner) measured(input controller.Input) bool {
	return !slices.ContainsFunc(input.Slices, func(s controller.SliceState) bool {
		_, known := p.loads.rates[s.ID]
		return s.Owner != "" && !known
	})
}

func tableOf(input controller.Input) *slicer.Table {
	table := &slicer.Table{Hot: map[string]slicer.Slice{}}
	for _, s := range input.Slices {
		entry := slicer.Slice{ID: s.ID, Low: s.Low, HotKey: s.HotKey, Owner: s.Owner}
		table.LastID = max(table.LastID, s.ID)
		if s.HotKey != "" {
			table.Hot[s.HotKey] = entry
			continue
		}
		table.Ranges = append(table.Ranges, entry)
	}
	slices.SortFunc(table.Ranges, func(a, b slicer.Slice) int { return cmp.Compare(a.Low, b.Low) })
	return table
}

// noNewSlices is the capacity of an upstream that keeps its slices but must not receive further ones.
const noNewSlices = -1

// upstream returns the assigner's description of an upstream. An upstream that is unresponsive for a short time keeps
// its slices. The controller reassigns them when its grants have expired.
func (p *planner) upstream(state controller.UpstreamState, total float64) assigner.Upstream {
	slots := float64(max(state.Slots, 1))
	built := assigner.Upstream{Name: state.Name, FailureDomain: state.FailureDomain, Slots: slots}
	report, known := p.loads.reports[state.Name]
	built.StragglingSince, built.Straggling = p.loads.stragglingSince[state.Name]
	switch {
	case state.Leaving:
		built.State = assigner.Draining
	case !state.Eligible:
		built.State = assigner.Cold
		built.Capacity = noNewSlices
	case total == 0:
		// The upstreams of an idle service stay cold, and its slices are balanced by number instead of load.
		built.State = assigner.InService
	case !known:
		built.State = assigner.Cold
		built.Capacity = 1 // initial limit of an admitter
	case report.Cold:
		built.State = assigner.Cold
		built.Capacity = float64(report.Limit)
	}
	return built
}
