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
	// churnPerUpstream is the number of moves by choice a minute for each upstream, churnBurst how many may be made at
	// once. An upstream that returns empty gets its 16 slices back within 4 minutes if nothing else moves.
	churnPerUpstream = 4
	churnBurst       = 1
	// minHotLoad is the load, in slots in use, from which a key may get a slice of its own. Below it the assigner would
	// isolate keys of a service that is almost idle, each of which stops a range for a moment.
	minHotLoad = 0.05
	// loadWarmUp is the time after a takeover in which loads cause no moves. Callers that return at once after a restart
	// and upstreams whose admission is cold make loads that do not last; demo --scenario restart-all saw 7 moves.
	loadWarmUp = 30 * time.Second
	// planGap is the time without a plan after which the next one is that of a takeover. Plans are at most 0.5 s apart.
	planGap = 5 * time.Second
)

// planner is the Plan of a controller that places slices by load. It belongs to the goroutine of the controller.
type planner struct {
	loads     *loads
	churn     *assigner.ChurnBudget
	upstreams int           // for which the churn budget was made
	started   time.Duration // first plan since the takeover
	planned   time.Duration // latest plan
}

func newPlanner() *planner {
	return &planner{loads: newLoads(), planned: -planGap}
}

// plan returns the moves that the controller may begin now. Without complete loads it makes no move by choice, since
// slices that have not been measured would count as idle.
func (p *planner) plan(now time.Duration, input controller.Input) []controller.Move {
	p.loads.expire(now)
	if now-p.planned >= planGap {
		p.started = now
	}
	p.planned = now
	p.renewChurn(now, len(input.Upstreams))
	measured := input.Voluntary && !input.StoreUnstable && now-p.started >= loadWarmUp && p.measured(input)
	wanted := assigner.Plan(now, p.input(now, input, measured))
	slices.SortStableFunc(wanted, func(a, b assigner.Move) int { return cmp.Compare(urgency(a), urgency(b)) })
	busy := map[uint32]bool{}
	for _, s := range input.Slices {
		busy[s.ID] = s.Moving
	}
	var begun []assigner.Move
	var moves []controller.Move
	room := input.Budget
	for _, move := range wanted {
		if !allowed(move, input.Voluntary || input.Draining, measured) || slices.ContainsFunc(move.Slices(), func(id uint32) bool { return busy[id] }) {
			continue
		}
		if room -= len(move.Slices()); room < 0 {
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

// allowed reports whether a move may begin: the controller may forbid all but the placement of slices without an owner,
// and decisions on loads need all of them.
func allowed(move assigner.Move, emptying, measured bool) bool {
	switch move.Reason {
	case assigner.Unassigned:
		return true
	case assigner.OwnerNotServing:
		return emptying
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

// urgency orders moves: slices that nobody serves come before those that are served.
func urgency(move assigner.Move) int {
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
	load, total := p.loads.ofSlices()
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

// hotKeys returns the loads of the keys that are hot or may become hot.
func (p *planner) hotKeys(table *slicer.Table) []assigner.KeyLoad {
	return slices.DeleteFunc(p.loads.ofKeys(), func(key assigner.KeyLoad) bool {
		_, hot := table.Hot[key.Key]
		return !hot && key.Load < minHotLoad
	})
}

// measured reports whether the load of every slice that has an owner is known.
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

// unreachable is the capacity of an upstream that may not receive slices but keeps those that it has.
const unreachable = -1

// upstream describes an upstream to the assigner. One that does not answer for a moment keeps its slices: the controller
// takes them from it when its grants have expired.
func (p *planner) upstream(state controller.UpstreamState, total float64) assigner.Upstream {
	slots := float64(max(state.Slots, 1))
	built := assigner.Upstream{Name: state.Name, FailureDomain: state.FailureDomain, Slots: slots}
	report, known := p.loads.reports[state.Name]
	built.StragglingSince, built.Straggling = p.loads.slow[state.Name]
	switch {
	case state.Leaving:
		built.State = assigner.Draining
	case !state.Eligible:
		built.State = assigner.Cold
		built.Capacity = unreachable
	case total == 0:
		// An idle service never warms its upstreams up, and its slices are spread by number.
		built.State = assigner.InService
	case !known:
		built.State = assigner.Cold
		built.Capacity = 1 // limit at which an admitter starts
	case report.Cold:
		built.State = assigner.Cold
		built.Capacity = float64(report.Limit)
	}
	return built
}
