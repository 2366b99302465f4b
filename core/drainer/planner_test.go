package drainer_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
)

var (
	pace = drainer.MoveTiming{ParallelMoves: 4, MoveDuration: time.Second, RampDuration: 30 * time.Second, Margin: time.Minute}
	// cleaning starts on Sunday 2026-06-07 at 02:00 in Rome, which is 00:00 UTC.
	cleaning = configurator.Window{Name: "north", FailureDomain: "a", Weekday: time.Sunday, Start: 2 * time.Hour,
		Length: 3 * time.Hour, TimeZone: "Europe/Rome"}
	windows = map[string]configurator.Window{"north": cleaning}
	start   = time.Date(2026, 6, 7, 0, 0, 0, 0, time.UTC)
)

// status returns three failure domains of six upstreams with 6 slots, and the demand for one service.
func status(demand float64, slices int) drainer.Status {
	s := drainer.Status{Admissions: map[string]int{}, Demand: map[string]float64{"catalogue": demand}}
	for _, domain := range []string{"a", "b", "c"} {
		for range 6 {
			s.Upstreams = append(s.Upstreams, drainer.Upstream{Service: "catalogue", FailureDomain: domain, Slots: 6,
				Capacity: 6, Serving: true, Slices: slices})
		}
	}
	return s
}

// emptied returns the status without slices in domain a.
func emptied(s drainer.Status) drainer.Status {
	for i := range s.Upstreams {
		if s.Upstreams[i].FailureDomain == "a" {
			s.Upstreams[i].Slices = 0
		}
	}
	return s
}

func kinds(actions []drainer.Action) []drainer.ActionKind {
	all := []drainer.ActionKind{}
	for _, action := range actions {
		all = append(all, action.Kind)
	}
	return all
}

func assertKind(t *testing.T, err error, want drainer.Kind) *drainer.Error {
	t.Helper()
	var failure *drainer.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Kind, want, "%v", err)
	return failure
}

// Guards against a take-out that exceeds the capacity unnoticed, a refusal that does not name the missing slots, and a
// force flag without effect.
func TestTakeOutChecksCapacity(t *testing.T) {
	tests := []struct {
		name    string
		demand  float64
		spoil   func(*drainer.Status)
		missing int
	}{
		{"exactly enough", 72 / 1.1, func(*drainer.Status) {}, 0},
		{"one too few", 72/1.1 + 0.1, func(*drainer.Status) {}, 1},
		{"cold upstream counts with its capacity", 72 / 1.1, func(s *drainer.Status) { s.Upstreams[17].Capacity = 1 }, 5},
		{"drained upstream does not count", 72 / 1.1, func(s *drainer.Status) { s.Upstreams[17].Serving = false }, 6},
		{"service without upstreams", 0, func(s *drainer.Status) { s.Demand["labels"] = 2 }, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := drainer.New(pace, time.LoadLocation)
			s := status(test.demand, 16)
			test.spoil(&s)
			actions, err := p.TakeOut(start, s, "a", false)
			if test.missing == 0 {
				assert.NilError(t, err)
				assert.DeepEqual(t, kinds(actions), []drainer.ActionKind{drainer.TakeOut})
				return
			}
			failure := assertKind(t, err, drainer.CapacityExceeded)
			assert.Equal(t, failure.Shortfalls[0].Missing(), test.missing)
			assert.Assert(t, strings.Contains(err.Error(), "slots") && !p.IsOut("a"))
			actions, err = p.TakeOut(start, s, "a", true)
			assert.NilError(t, err)
			assert.Equal(t, actions[0].Shortfalls[0].Missing(), test.missing)
		})
	}
}

// Guards against reporting a domain as empty while a slice or an admission is left, and against ending the return while
// an upstream is cold.
func TestProgressOutAndBack(t *testing.T) {
	p := drainer.New(pace, time.LoadLocation)
	s := status(10, 2)
	_, err := p.TakeOut(start, s, "a", false)
	assert.NilError(t, err)
	_, err = p.TakeOut(start, s, "b", false)
	assertKind(t, err, drainer.OtherDomainOut)

	assert.Equal(t, len(p.Step(start, s, nil)), 0)
	assert.Equal(t, p.Progress(s)[0].Slices, 12)
	s = emptied(s)
	s.Admissions["a"] = 1
	assert.Equal(t, len(p.Step(start, s, nil)), 0)
	s.Admissions["a"] = 0
	assert.DeepEqual(t, kinds(p.Step(start, s, nil)), []drainer.ActionKind{drainer.Emptied})
	assert.Equal(t, len(p.Step(start, s, nil)), 0)

	assert.DeepEqual(t, kinds(p.Return(start, "a")), []drainer.ActionKind{drainer.Return})
	s.Upstreams[0].Capacity = 1
	assert.Equal(t, len(p.Step(start, s, nil)), 0)
	assert.Equal(t, p.Progress(s)[0].Cold, 1)
	s.Upstreams[0].Capacity = 6
	assert.DeepEqual(t, kinds(p.Step(start, s, nil)), []drainer.ActionKind{drainer.Returned})
	assert.Equal(t, len(p.Progress(s)), 0)
}

// Guards against a loss that is refused for lack of capacity, and against a domain that returns while another cause
// holds.
func TestLossNeedsNoCapacity(t *testing.T) {
	p := drainer.New(pace, time.LoadLocation)
	s := status(108, 16)
	actions := p.MarkFailed(start, s, "a")
	assert.DeepEqual(t, kinds(actions), []drainer.ActionKind{drainer.TakeOut})
	assert.Equal(t, actions[0].Shortfalls[0].Missing(), 47)
	assert.DeepEqual(t, kinds(p.Step(start, emptied(s), nil)), []drainer.ActionKind{drainer.Emptied})
	_, err := p.TakeOut(start, s, "a", true)
	assert.NilError(t, err)
	assert.Equal(t, len(p.MarkRecovered(start, "a")), 0)
	assert.Assert(t, p.IsOut("a"))
	assert.DeepEqual(t, kinds(p.Return(start, "a")), []drainer.ActionKind{drainer.Return})
}

// Guards against a window that starts too late for its moves, ends late, is carried out twice, exceeds the capacity or
// takes a second domain out, and against a successor that returns a domain early.
func TestWindowByTime(t *testing.T) {
	none := []drainer.ActionKind{}
	type step struct {
		at     time.Duration // relative to the start of the window
		status drainer.Status
		want   []drainer.ActionKind
	}
	full, empty := status(10, 16), emptied(status(10, 16))
	lead := time.Minute + 24*time.Second // 96 slices, 4 at once
	tests := []struct {
		name  string
		begin func(p *drainer.Drainer)
		steps []step
	}{
		{"carried out", func(*drainer.Drainer) {}, []step{
			{-lead - time.Second, full, none},
			{-lead, full, []drainer.ActionKind{drainer.TakeOut}},
			{-time.Second, empty, []drainer.ActionKind{drainer.Emptied}},
			{3*time.Hour - 1, empty, none},
			{3 * time.Hour, empty, []drainer.ActionKind{drainer.Return, drainer.Returned}},
			{7*24*time.Hour - lead - 1, full, none},
			{7*24*time.Hour - lead, full, []drainer.ActionKind{drainer.TakeOut}},
		}},
		{"cold upstream needs its ramp", func(*drainer.Drainer) {}, []step{
			{-lead - 30*time.Second, cold(status(10, 16)), []drainer.ActionKind{drainer.TakeOut}},
		}},
		{"late", func(*drainer.Drainer) {}, []step{
			{time.Minute, full, []drainer.ActionKind{drainer.TakeOut, drainer.WindowLate}},
			{2 * time.Minute, full, none},
		}},
		{"exceeds capacity", func(*drainer.Drainer) {}, []step{
			{-lead, status(100, 16), []drainer.ActionKind{drainer.WindowOverCapacity}},
			{0, full, none},
			{7*24*time.Hour - lead, full, []drainer.ActionKind{drainer.TakeOut}},
		}},
		{"other domain lost", func(p *drainer.Drainer) { p.MarkFailed(start, full, "b") }, []step{
			{-lead, full, []drainer.ActionKind{drainer.WindowBlocked}},
		}},
		{"returned early by an operator", func(*drainer.Drainer) {}, []step{
			{-lead, full, []drainer.ActionKind{drainer.TakeOut}},
			{time.Hour, empty, []drainer.ActionKind{drainer.Emptied}},
			{-1, empty, []drainer.ActionKind{drainer.Returned}}, // -1: the operator returns it first
			{2 * time.Hour, full, none},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := drainer.New(pace, time.LoadLocation)
			test.begin(p)
			for _, step := range test.steps {
				if step.at == -1 {
					p.Return(start, "a")
				}
				assert.DeepEqual(t, kinds(p.Step(start.Add(step.at), step.status, windows)), step.want)
				state := p.Snapshot()
				if len(step.want) > 0 && step.want[len(step.want)-1] == drainer.TakeOut {
					p = drainer.New(pace, time.LoadLocation) // takeover
					p.Restore(state)
				}
			}
		})
	}
}

func cold(s drainer.Status) drainer.Status {
	s.Upstreams[17].Capacity = 1
	return s
}
