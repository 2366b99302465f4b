package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/slicer"
)

const now = time.Hour

// upstreams returns count upstreams of 6 slots in three failure domains.
func upstreams(count int) []assigner.Upstream {
	var all []assigner.Upstream
	for i := range count {
		all = append(all, assigner.Upstream{
			Name: fmt.Sprintf("u%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 6, Capacity: 6})
	}
	return all
}

// assigned returns a table whose ranges belong to the upstreams in turn.
func assigned(ranges int, to []assigner.Upstream) slicer.Table {
	table := slicer.New("shelf-marks", ranges)
	for i := range table.Ranges {
		table.Ranges[i].Owner = to[i%len(to)].Name
		table.Ranges[i].Epoch = 1
	}
	return table
}

// evenLoad gives every range of the table the same load.
func evenLoad(table *slicer.Table, load float64) map[uint32]float64 {
	loads := map[uint32]float64{}
	for _, slice := range table.Ranges {
		loads[slice.ID] = load
	}
	return loads
}

// counts returns the number of transfers by target and by reason.
func counts(moves []assigner.Move) (map[string]int, map[assigner.Reason]int) {
	targets, reasons := map[string]int{}, map[assigner.Reason]int{}
	for _, move := range moves {
		if move.Kind == assigner.Transfer {
			targets[move.To]++
			reasons[move.Reason]++
		}
	}
	return targets, reasons
}

// Guards against slices that stay without an owner or with one that no longer serves, and against moves made by choice
// beyond the budget, onto a straggler or off an upstream that is slow for a moment.
func TestPlanByState(t *testing.T) {
	tests := []struct {
		name   string
		change func(in *assigner.Input)
		want   map[assigner.Reason]int
		banned string // receives nothing
	}{
		{"balanced", func(*assigner.Input) {}, map[assigner.Reason]int{}, ""},
		{"lost", func(in *assigner.Input) { in.Upstreams[1].State = assigner.Unresponsive },
			map[assigner.Reason]int{assigner.OwnerNotServing: 16}, "u001"},
		{"drained", func(in *assigner.Input) { in.Upstreams[1].State = assigner.Draining },
			map[assigner.Reason]int{assigner.OwnerNotServing: 16}, "u001"},
		{"unconfigured", func(in *assigner.Input) { in.Upstreams = in.Upstreams[:3] },
			map[assigner.Reason]int{assigner.OwnerNotServing: 16}, "u003"},
		{"cold restart keeps its slices", func(in *assigner.Input) {
			in.Upstreams[1].State, in.Upstreams[1].Capacity = assigner.Cold, 1
		}, map[assigner.Reason]int{}, ""},
		{"slow for a moment", func(in *assigner.Input) {
			in.Upstreams[1].Straggling, in.Upstreams[1].StragglingSince = true, now-time.Second
		}, map[assigner.Reason]int{}, ""},
		{"lasting straggler within the budget", func(in *assigner.Input) {
			in.Upstreams[1].Straggling, in.Upstreams[1].StragglingSince = true, now-time.Minute
		}, map[assigner.Reason]int{assigner.Straggler: 5}, "u001"},
		{"already moving", func(in *assigner.Input) {
			in.Upstreams[1].State = assigner.Unresponsive
			in.Moving = map[uint32]string{2: "u000", 6: "u001"}
		}, map[assigner.Reason]int{assigner.OwnerNotServing: 15}, "u001"},
		{"all lost", func(in *assigner.Input) {
			for i := range in.Upstreams {
				in.Upstreams[i].State = assigner.Unresponsive
			}
		}, map[assigner.Reason]int{}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			live := upstreams(4)
			table := assigned(64, live)
			in := assigner.Input{Table: &table, Upstreams: live, SliceLoad: evenLoad(&table, 0.2), Budget: 5}
			test.change(&in)
			targets, reasons := counts(assigner.Plan(now, in))
			assert.DeepEqual(t, reasons, test.want)
			assert.Equal(t, targets[test.banned], 0)
		})
	}
}

// Guards against giving a cold upstream more load than it can bear, and against moving more slices than its share when
// an upstream is added.
func TestPlanFillsNewUpstream(t *testing.T) {
	for _, capacity := range []float64{1, 2, 6} {
		live := upstreams(5)
		table := assigned(64, live[:4])
		live[4].State, live[4].Capacity = assigner.Cold, capacity
		moves := assigner.Plan(now, assigner.Input{
			Table: &table, Upstreams: live, SliceLoad: evenLoad(&table, 0.2), Budget: 100})
		targets, _ := counts(moves)
		assert.Equal(t, targets["u004"], len(moves))
		assert.Assert(t, float64(len(moves))*0.2 <= capacity)
		assert.Assert(t, len(moves) >= min(int(capacity*assigner.ColdShare/0.2), 12) && len(moves) <= 13, "%d moves", len(moves))
	}
}

// Guards against plans that name an upstream that does not serve, move a slice twice or exceed the budget, whatever the
// state of the upstreams is.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := upstreams(rapid.IntRange(1, 8).Draw(t, "upstreams"))
		table := assigned(rapid.IntRange(1, 64).Draw(t, "ranges"), live)
		in := assigner.Input{Table: &table, Upstreams: live, SliceLoad: map[uint32]float64{}}
		for i := range live {
			live[i].State = rapid.SampledFrom([]assigner.State{assigner.InService, assigner.InService, assigner.Cold,
				assigner.Draining, assigner.TakenOut, assigner.Unresponsive}).Draw(t, "state")
			live[i].Capacity = float64(rapid.IntRange(0, 6).Draw(t, "capacity"))
			live[i].Straggling = rapid.IntRange(0, 4).Draw(t, "straggling") == 0
			live[i].StragglingSince = rapid.SampledFrom([]time.Duration{0, now}).Draw(t, "since")
		}
		for _, slice := range table.Ranges {
			in.SliceLoad[slice.ID] = rapid.Float64Range(0, 2).Draw(t, "load")
		}
		in.Budget = rapid.IntRange(0, 10).Draw(t, "budget")
		serving := map[string]bool{}
		for _, upstream := range live {
			serving[upstream.Name] = upstream.State.Serves()
		}
		moves := assigner.Plan(now, in)
		assert.DeepEqual(t, moves, assigner.Plan(now, in))
		chosen := 0
		seen := map[uint32]bool{}
		for _, move := range moves {
			assert.Assert(t, serving[move.To] && !seen[move.Slice], "%+v", move)
			seen[move.Slice] = true
			if serving[move.From] {
				chosen++
			}
		}
		assert.Assert(t, chosen <= in.Budget)
		for _, slice := range table.Ranges {
			assert.Assert(t, len(serving) == 0 || serving[slice.Owner] || seen[slice.ID] || !anyTrue(serving))
		}
	})
}

func anyTrue(values map[string]bool) bool {
	for _, value := range values {
		if value {
			return true
		}
	}
	return false
}
