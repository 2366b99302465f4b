package granter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
)

// service is a controller's input with the reports of its admission hosts.
type service struct {
	input   controller.Input
	planner *planner
	rates   map[uint32]uint64 // requests/s by slice
	medians map[string]time.Duration
	limits  map[string]int // of cold upstreams
	keys    []framer.KeyRate
}

// newService returns four upstreams of 6 slots with eight slices each, all with 50 requests/s of 10 ms.
func newService() *service {
	s := &service{
		planner: newPlanner(), rates: map[uint32]uint64{}, medians: map[string]time.Duration{}, limits: map[string]int{},
		input: controller.Input{Budget: controller.MaxMoves, Voluntary: true},
	}
	s.planner.started, s.planner.planned = -loadWarmUp, 0
	for i := range 4 {
		name := fmt.Sprint("u", i)
		s.input.Upstreams = append(s.input.Upstreams, controller.UpstreamState{Name: name, Slots: 6, Eligible: true})
		s.medians[name] = 10 * time.Millisecond
	}
	for i := range 32 {
		id := uint32(i + 1)
		s.input.Slices = append(s.input.Slices, controller.SliceState{
			ID: id, Low: uint64(i) << 59, Owner: fmt.Sprint("u", i/8),
		})
		s.rates[id] = 50
	}
	return s
}

func (s *service) report(now time.Duration) {
	for _, upstream := range s.input.Upstreams {
		report := framer.LoadReport{
			Upstream: upstream.Name, Limit: 6, Samples: 100, Mean: s.medians[upstream.Name], Median: s.medians[upstream.Name],
		}
		if limit := s.limits[upstream.Name]; limit > 0 {
			report.Cold, report.Limit = true, limit
		}
		for _, slice := range s.input.Slices {
			if slice.Owner == upstream.Name {
				report.Slices = append(report.Slices, framer.SliceRate{Slice: slice.ID, MilliRPS: 1000 * s.rates[slice.ID]})
			}
		}
		if upstream.Name == "u1" {
			report.Keys = s.keys
		}
		s.planner.loads.note(now, report)
	}
}

// run reports and plans every 2 s, carries the moves out at once, and returns them.
func (s *service) run(from, to time.Duration) []controller.Move {
	var all []controller.Move
	for now := from; now < to; now += 2 * time.Second {
		s.report(now)
		moves := s.planner.plan(now, s.input)
		for _, move := range moves {
			s.input.Slices[move.Slice-1].Owner = move.To
		}
		all = append(all, moves...)
	}
	return all
}

func (s *service) rateOf(upstream string) uint64 {
	sum := uint64(0)
	for _, slice := range s.input.Slices {
		if slice.Owner == upstream {
			sum += s.rates[slice.ID]
		}
	}
	return sum
}

// Guards against placement that does not follow the load, that never rests, or that moves more than the churn budget.
func TestBalancesLoad(t *testing.T) {
	s := newService()
	assert.Equal(t, len(s.run(0, time.Minute)), 0)
	for id := uint32(1); id <= 8; id++ {
		s.rates[id] = 150 // u0 has 1,200 of 2,400 requests/s
	}
	moves := s.run(time.Minute, 4*time.Minute)
	assert.Assert(t, len(moves) > 0 && len(moves) <= 4+3*16, "%d moves", len(moves))
	for _, upstream := range s.input.Upstreams {
		rate := s.rateOf(upstream.Name)
		assert.Assert(t, rate >= 500 && rate <= 700, "%s has %d requests/s", upstream.Name, rate)
	}
	assert.Equal(t, len(s.run(4*time.Minute, 8*time.Minute)), 0)
}

// Guards against decisions on reports that are too old or incomplete, and against a wait for them where slices have no
// owner that serves.
func TestPlansWithoutReports(t *testing.T) {
	s := newService()
	s.rates[1] = 2000
	s.report(0)
	assert.Assert(t, len(s.planner.plan(time.Second, s.input)) > 0)
	assert.Equal(t, len(s.planner.plan(loadAge+time.Second, s.input)), 0)
	assert.Equal(t, len(s.planner.loads.reports)+len(s.planner.loads.rates), 0)
	s.input.Upstreams[3].Eligible, s.input.Upstreams[3].Leaving = false, true
	s.input.Slices[0].Owner = ""
	moves := s.planner.plan(loadAge+2*time.Second, s.input)
	assert.Equal(t, len(moves), 9)
	assert.Equal(t, moves[0].Slice, uint32(1))
	s.input.Budget = 3
	assert.Equal(t, len(s.planner.plan(loadAge+3*time.Second, s.input)), 3)
	s.input.Voluntary = false
	assert.Equal(t, len(s.planner.plan(loadAge+4*time.Second, s.input)), 1)
}

// Guards against slices that leave an upstream which is silent for a moment, and against new ones for it.
func TestKeepsSlicesOfUnresponsiveUpstream(t *testing.T) {
	s := newService()
	s.report(0)
	s.input.Upstreams[0].Eligible = false
	s.input.Slices[31].Owner = ""
	moves := s.planner.plan(time.Second, s.input)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].Slice, uint32(32))
	assert.Assert(t, moves[0].To != "u0")
}

// Guards against a cold upstream that gets more load than its admission host lets run.
func TestColdUpstreamIsFilledToItsLimit(t *testing.T) {
	s := newService()
	for i := range s.input.Slices[24:] {
		s.input.Slices[24+i].Owner = "u0"
	}
	s.limits["u3"] = 1
	s.run(0, time.Minute)
	assert.Equal(t, s.rateOf("u3"), uint64(50)) // 0.5 slots; a second slice would exceed 0.85
	s.limits["u3"] = 2
	s.run(time.Minute, 2*time.Minute)
	assert.Equal(t, s.rateOf("u3"), uint64(150))
	delete(s.limits, "u3")
	s.run(2*time.Minute, 4*time.Minute)
	assert.Assert(t, s.rateOf("u3") >= 350, "%d requests/s", s.rateOf("u3"))
}

// Guards against moves off an upstream that is slow for a moment, and against load that stays on a lasting straggler. Its
// own service time must not make its slices look heavier.
func TestMovesOffLastingStraggler(t *testing.T) {
	s := newService()
	s.medians["u0"] = 40 * time.Millisecond
	assert.Equal(t, len(s.run(0, 28*time.Second)), 0)
	s.medians["u0"] = 10 * time.Millisecond
	assert.Equal(t, len(s.run(28*time.Second, 60*time.Second)), 0)
	s.medians["u0"] = 40 * time.Millisecond
	s.run(60*time.Second, 240*time.Second)
	assert.Assert(t, s.rateOf("u0") <= 300, "%d requests/s", s.rateOf("u0"))
}

// Guards against moves that could wait while the store loses answers: they would leave keys without an owner until a write
// is confirmed.
func TestUnstableStorePreventsMovesByLoad(t *testing.T) {
	s := newService()
	table := tableOf(s.input)
	home, ok := table.Lookup("hot")
	assert.Assert(t, ok)
	s.rates[home.ID] = 250
	s.keys = []framer.KeyRate{{Key: "hot", MilliRPS: 200_000}}
	s.report(0)
	s.input.StoreUnstable = true
	assert.Equal(t, len(s.planner.plan(time.Second, s.input)), 0)
	s.input.StoreUnstable = false
	assert.Assert(t, len(s.planner.plan(2*time.Second, s.input)) > 0)
}

// Guards against hot keys that stay in their range, keys of an almost idle service that are isolated, and hot keys that
// keep their slice after they have cooled down.
func TestHotKey(t *testing.T) {
	s := newService()
	table := tableOf(s.input)
	home, ok := table.Lookup("hot")
	assert.Assert(t, ok)
	s.rates[home.ID] = 250
	s.keys = []framer.KeyRate{{Key: "hot", MilliRPS: 200_000}, {Key: "warm", MilliRPS: 10_000}}
	s.report(0)
	moves := s.planner.plan(time.Second, s.input)
	assert.DeepEqual(t, moves[0], controller.Move{Slice: home.ID, Isolate: "hot"})
	for _, move := range moves[1:] {
		assert.Equal(t, move.Isolate, "")
	}

	s.rates[home.ID], s.rates[33], s.keys = 50, 2, nil
	s.input.Slices = append(s.input.Slices, controller.SliceState{
		ID: 33, Low: hasher.Sum("hot"), HotKey: "hot", Owner: home.Owner,
	})
	s.report(4 * time.Second)
	moves = s.planner.plan(4*time.Second, s.input)
	assert.DeepEqual(t, moves, []controller.Move{{Slice: 33, Fold: "hot"}})

	idle := newService()
	for id := range idle.rates {
		idle.rates[id] = 0
	}
	idle.rates[home.ID] = 4
	idle.keys = []framer.KeyRate{{Key: "hot", MilliRPS: 4000}}
	idle.report(0)
	for _, move := range idle.planner.plan(time.Second, idle.input) {
		assert.Equal(t, move.Isolate, "")
	}
}

// Guards against moves by the loads right after a takeover, those of a takeover after this host controlled before included.
func TestNoMoveByLoadAfterTakeover(t *testing.T) {
	s := newService()
	for id := uint32(1); id <= 8; id++ {
		s.rates[id] = 150
	}
	for _, start := range []time.Duration{time.Minute, 10 * time.Minute} {
		owners := append([]controller.SliceState(nil), s.input.Slices...)
		assert.Equal(t, len(s.run(start, start+loadWarmUp)), 0)
		assert.Assert(t, len(s.run(start+loadWarmUp, start+2*time.Minute)) > 0)
		s.input.Slices = owners
	}
}
