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
)

// planner is the Plan of a controller that places slices by load. It belongs to the goroutine of the controller.
type planner struct {
	loads     *loads
	churn     *assigner.Churn
	upstreams int // for which the churn budget was made
}

func newPlanner() *planner {
	return &planner{loads: newLoads()}
}

// plan returns the moves that the controller may begin now. Without complete loads it makes no move by choice, since
// slices that have not been measured would count as idle.
func (p *planner) plan(now time.Duration, input controller.Input) []controller.Move {
	p.loads.expire(now)
	p.renewChurn(now, len(input.Upstreams))
	wanted := assigner.Plan(now, p.input(now, input))
	slices.SortStableFunc(wanted, func(a, b assigner.Move) int { return cmp.Compare(urgency(a), urgency(b)) })
	busy := map[uint32]bool{}
	for _, s := range input.Slices {
		busy[s.ID] = s.Moving
	}
	var begun []assigner.Move
	var moves []controller.Move
	for _, move := range wanted {
		if len(moves) >= input.Budget {
			break
		}
		if move.Kind != assigner.Transfer || busy[move.Slice] || !input.Voluntary && move.Reason != assigner.Unassigned {
			continue
		}
		begun = append(begun, move)
		moves = append(moves, controller.Move{Slice: move.Slice, To: move.To})
	}
	p.churn.Spend(now, begun)
	return moves
}

// urgency orders moves: slices that nobody serves come before those that are served.
func urgency(move assigner.Move) int {
	switch move.Reason {
	case assigner.Unassigned:
		return 0
	case assigner.OwnerGone:
		return 1
	default:
		return 2
	}
}

func (p *planner) renewChurn(now time.Duration, upstreams int) {
	if p.churn == nil || p.upstreams != upstreams {
		p.churn = assigner.NewChurn(now, float64(churnPerUpstream*upstreams), float64(churnBurst*upstreams))
		p.upstreams = upstreams
	}
}

func (p *planner) input(now time.Duration, input controller.Input) assigner.Input {
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
	if input.Voluntary && p.measured(input) {
		built.Budget = p.churn.Available(now)
	}
	return built
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
		entry := slicer.Slice{ID: s.ID, HotKey: s.HotKey, Owner: s.Owner}
		table.LastID = max(table.LastID, s.ID)
		if s.HotKey != "" {
			table.Hot[s.HotKey] = entry
			continue
		}
		table.Ranges = append(table.Ranges, entry)
	}
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
		built.State = assigner.Drained
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
