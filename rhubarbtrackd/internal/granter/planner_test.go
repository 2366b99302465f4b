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

// service is a simulated service: the input of its controller and the load that its admission hosts report.
type service struct {
	input   controller.Input
	planner *planner
	rates   map[uint32]uint64 // requests/s by slice
	medians map[string]time.Duration
	limits  map[string]int // of cold upstreams
	keys    []framer.KeyRate
}

// newService returns a service with four upstreams of 6 slots and eight slices each. Every slice gets 50 requests/s,
// and every request takes 10 ms.
func newService() *service {
	s := &service{
		planner: newPlanner(), rates: map[uint32]uint64{}, medians: map[string]time.Duration{}, limits: map[string]int{},
		input: controller.Input{Budget: controller.MaxMoves, Voluntary: true},
	}
	s.planner.started, s.planner.lastPlan = -loadWarmUp, 0
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
		s.planner.loads.record(now, report)
	}
}

// run reports and plans every 2 s, applies the moves immediately, and returns them.
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

// Guards against placement that ignores the load, that keeps moving slices under constant load, or that exceeds the
// churn budget.
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

// Guards against moves by load while reports are expired or incomplete, and against slices without a serving owner that
// are not placed until reports arrive.
func TestPlansWithoutReports(t *testing.T) {
	s := newService()
	s.rates[1] = 2000
	s.report(0)
	assert.Assert(t, len(s.planner.plan(time.Second, s.input)) > 0)
	assert.Equal(t, len(s.planner.plan(maxLoadAge+time.Second, s.input)), 0)
	assert.Equal(t, len(s.planner.loads.reports)+len(s.planner.loads.rates), 0)
	s.input.Upstreams[3].Eligible, s.input.Upstreams[3].Leaving = false, true
	s.input.Slices[0].Owner = ""
	moves := s.planner.plan(maxLoadAge+2*time.Second, s.input)
	assert.Equal(t, len(moves), 9)
	assert.Equal(t, moves[0].Slice, uint32(1))
	s.input.Budget = 3
	assert.Equal(t, len(s.planner.plan(maxLoadAge+3*time.Second, s.input)), 3)
	s.input.Voluntary = false
	assert.Equal(t, len(s.planner.plan(maxLoadAge+4*time.Second, s.input)), 1)
}

// Guards against moving slices off or to an upstream that is unresponsive for a short time.
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

// Guards against a cold upstream that gets more load than its admission limit allows.
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

// Guards against moves off an upstream that is slow for a short time, and against load that stays on a persistent
// straggler. The service time of the straggler must not increase the computed load of its slices.
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

// Guards against moves by load while calls to the store time out. Such a move would leave keys without an owner until a
// write is confirmed.
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

// Guards against hot keys that stay in their range, keys of an almost idle service that are isolated, and keys that
// keep a slice of their own when they are no longer hot.
func TestHotKey(t *testing.T) {
	s := newService()
	table := tableOf(s.input)
	keyRange, ok := table.Lookup("hot")
	assert.Assert(t, ok)
	s.rates[keyRange.ID] = 250
	s.keys = []framer.KeyRate{{Key: "hot", MilliRPS: 200_000}, {Key: "warm", MilliRPS: 10_000}}
	s.report(0)
	moves := s.planner.plan(time.Second, s.input)
	assert.DeepEqual(t, moves[0], controller.Move{Slice: keyRange.ID, Isolate: "hot"})
	for _, move := range moves[1:] {
		assert.Equal(t, move.Isolate, "")
	}

	s.rates[keyRange.ID], s.rates[33], s.keys = 50, 2, nil
	s.input.Slices = append(s.input.Slices, controller.SliceState{
		ID: 33, Low: hasher.Sum("hot"), HotKey: "hot", Owner: keyRange.Owner,
	})
	s.report(4 * time.Second)
	moves = s.planner.plan(4*time.Second, s.input)
	assert.DeepEqual(t, moves, []controller.Move{{Slice: 33, Fold: "hot"}})

	idle := newService()
	for id := range idle.rates {
		idle.rates[id] = 0
	}
	idle.rates[keyRange.ID] = 4
	idle.keys = []framer.KeyRate{{Key: "hot", MilliRPS: 4000}}
	idle.report(0)
	for _, move := range idle.planner.plan(time.Second, idle.input) {
		assert.Equal(t, move.Isolate, "")
	}
}

// Guards against moves by load directly after a takeover, also if this host was the controller before.
func TestNoMoveByLoadAfterTakeover(t *testing.T) {
	s := newService()
	for id := uint32(1); id <= 8; id++ {
		s.rates[id] = 150
	}
	for _, start := range []time.Duration{time.Minute, 10 * time.Minute} {
		initialSlices := append([]controller.SliceState(nil), s.input.Slices...)
		assert.Equal(t, len(s.run(start, start+loadWarmUp)), 0)
		assert.Assert(t, len(s.run(start+loadWarmUp, start+2*time.Minute)) > 0)
		s.input.Slices = initialSlices
	}
}
