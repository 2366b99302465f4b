package scheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/scheduler"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

// fakeStore is a store and a configuration with two failure domains and a cleaning window on Monday from 06:00 to
// 08:00.
type fakeStore struct {
	objects      map[string]storer.Object
	revision     uint64
	config       *configurator.Snapshot
	unavailable  bool
	loseResponse bool // the next write takes effect but returns an error
	audited      []drainer.ActionKind
}

func newFakeStore() *fakeStore {
	f := &fakeStore{objects: map[string]storer.Object{}, config: configurator.New()}
	f.config.Services["marks"] = configurator.Service{Name: "marks", Keyed: true}
	for _, name := range []string{"a", "b"} {
		f.write(configurator.FailureDomain{Name: name})
		f.config.Upstreams["marks."+name] = configurator.Upstream{Name: name, Service: "marks", FailureDomain: name, Slots: 6}
	}
	f.config.Windows["monday"] = configurator.Window{
		Name: "monday", FailureDomain: "a", Weekday: time.Monday, Start: 6 * time.Hour, Length: 2 * time.Hour, TimeZone: "UTC",
	}
	return f
}

func (f *fakeStore) write(domain configurator.FailureDomain) {
	value, err := encoder.Encode(domain, configurator.Origin{Writer: "operator", Operation: "1"})
	if err != nil {
		panic(err)
	}
	f.put(domain.ObjectName(), value)
}

func (f *fakeStore) put(name string, value []byte) uint64 {
	f.revision++
	f.objects[name] = storer.Object{Name: name, Version: f.revision, Value: value}
	if _, err := f.config.Merge(configurator.Object{Name: name, Version: f.revision, Body: value}, encoder.Decode); err != nil &&
		name != "planner/state" {
		panic(err)
	}
	return f.revision
}

func (f *fakeStore) scheduler() *scheduler.Scheduler {
	operation := uint64(0)
	return scheduler.New(scheduler.Options{
		Host:     "host-1",
		IsActive: func() bool { return true },
		Config:   func() *configurator.Snapshot { return f.config.Clone() },
		Table:    func(string) *slicer.Table { table := slicer.New("marks", 4); return &table },
		DomainOf: func(string) string { return "" },
		Demand:   func(string) float64 { return 1 },
		Get: func(_ context.Context, name string) (storer.Object, error) {
			object, ok := f.objects[name]
			if f.unavailable {
				return storer.Object{}, &storer.Error{Kind: storer.Unavailable, Err: errors.New("down")}
			}
			if !ok {
				return storer.Object{}, &storer.Error{Kind: storer.NotFound, Err: errors.New("absent")}
			}
			return object, nil
		},
		Put: func(_ context.Context, name string, value []byte, _ storer.Condition) (uint64, error) {
			if f.unavailable {
				return 0, &storer.Error{Kind: storer.Unavailable, Err: errors.New("down")}
			}
			version := f.put(name, value)
			if f.loseResponse {
				f.loseResponse = false
				return 0, &storer.Error{Kind: storer.Unknown, Err: errors.New("lost")}
			}
			return version, nil
		},
		Accepted:      func(configurator.Object) {},
		Audit:         func(action drainer.Action) { f.audited = append(f.audited, action.Kind) },
		Log:           eventlog.New(zap.NewNop()),
		Zones:         time.LoadLocation,
		NextOperation: func() uint64 { operation++; return operation },
	})
}

// Guards against windows that are missed or never end because the store is unavailable, a response is lost, or another
// host becomes active.
func TestWindowSurvivesFaults(t *testing.T) {
	monday := time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name   string
		before func(f *fakeStore)
	}{
		{name: "no fault", before: func(*fakeStore) {}},
		{name: "store unavailable before the window", before: func(f *fakeStore) { f.unavailable = true }},
		{name: "lost response", before: func(f *fakeStore) { f.loseResponse = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeStore()
			s := f.scheduler()
			step := func(at time.Time) { _ = s.Run(context.Background(), at) }
			step(monday.Add(time.Hour))
			assert.Assert(t, !f.config.FailureDomains["a"].TakenOut)
			tt.before(f)
			step(monday.Add(6 * time.Hour))
			f.unavailable = false
			s = f.scheduler() // another host becomes active
			step(monday.Add(6*time.Hour + 2*time.Second))
			step(monday.Add(6*time.Hour + 4*time.Second))
			assert.Assert(t, f.config.FailureDomains["a"].TakenOut)
			step(monday.Add(8*time.Hour + time.Second))
			step(monday.Add(8*time.Hour + 3*time.Second))
			assert.Assert(t, !f.config.FailureDomains["a"].TakenOut)
		})
	}
}

// Guards against a scheduler that reverts changes by an operator.
func TestKeepsOperatorChanges(t *testing.T) {
	f := newFakeStore()
	s := f.scheduler()
	start := time.Date(2026, 12, 8, 0, 0, 0, 0, time.UTC)
	assert.NilError(t, s.Run(context.Background(), start))
	f.write(configurator.FailureDomain{Name: "b", TakenOut: true})
	for i := range 5 {
		assert.NilError(t, s.Run(context.Background(), start.Add(time.Duration(i)*2*time.Second)))
		assert.Assert(t, f.config.FailureDomains["b"].TakenOut)
	}
	f.write(configurator.FailureDomain{Name: "b"})
	for i := range 5 {
		assert.NilError(t, s.Run(context.Background(), start.Add(time.Minute+time.Duration(i)*2*time.Second)))
		assert.Assert(t, !f.config.FailureDomains["b"].TakenOut)
	}
}
