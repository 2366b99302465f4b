package admitter

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/slicer"
)

// The fixed seed makes the result reproducible. The limit rises only in long runs, hence the number of steps.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// model is a reference implementation of the guarantees of the package comment. It checks every action against them.
type model struct {
	t           *rapid.T
	admission   *Admitter
	now         time.Duration
	leaseUntil  time.Duration
	leaseEpoch  uint64
	fences      map[uint32]slicer.Fence
	phases      map[uint32]phase
	queued      map[ID]Offered
	running     map[ID]Dispatch
	slices      map[ID]uint32
	keys        map[string]ID // of requests that may have run
	nextID      ID
	incarnation int
}

func (m *model) step(event Event) {
	for _, action := range m.admission.Step(m.now, event) {
		m.check(action)
	}
	if got, want := m.admission.InFlight(), len(m.running); got != want {
		m.t.Fatalf("%d requests in flight, want %d", got, want)
	}
	if got, want := m.admission.Queued(), len(m.queued); got != want {
		m.t.Fatalf("%d requests queued, want %d: a request was lost or answered twice", got, want)
	}
	if m.admission.Queued() > 8 {
		m.t.Fatalf("%d requests queued, want at most 8", m.admission.Queued())
	}
}

func (m *model) check(action Action) {
	switch action := action.(type) {
	case Dispatch:
		m.checkDispatch(action)
	case Reject:
		if _, active := m.running[action.ID]; active && action.Reason != Duplicate {
			m.t.Fatalf("request %d rejected as not run after its dispatch", action.ID)
		}
		if action.Reason != Duplicate {
			delete(m.queued, action.ID)
		}
	case SliceDrained:
		for id, slice := range m.slices {
			if _, active := m.running[id]; active && slice == action.Fence.Slice {
				m.t.Fatalf("slice %d reported as drained while request %d runs", slice, id)
			}
		}
	}
}

func (m *model) checkDispatch(action Dispatch) {
	offered, ok := m.queued[action.ID]
	if !ok {
		m.t.Fatalf("request %d dispatched twice or never offered", action.ID)
	}
	delete(m.queued, action.ID)
	if m.now >= m.leaseUntil {
		m.t.Fatalf("request dispatched without a valid lease")
	}
	if offered.Deadline <= m.now {
		m.t.Fatalf("request dispatched after its deadline")
	}
	slice := offered.Fence.Slice
	if m.phases[slice] != served || action.Fence != m.fences[slice] || action.Fence != offered.Fence {
		m.t.Fatalf("request dispatched under fence %v, want %v; phase of the slice %v", action.Fence, m.fences[slice],
			m.phases[slice])
	}
	for _, other := range m.running {
		if other.Alone || action.Alone {
			m.t.Fatalf("a suspect runs concurrently with another request")
		}
	}
	m.running[action.ID] = action
	m.slices[action.ID] = slice
	if len(m.running) > m.admission.Limit() {
		m.t.Fatalf("%d requests in flight, limit is %d", len(m.running), m.admission.Limit())
	}
	if owner, seen := m.keys[offered.IdempotencyKey]; seen && owner != action.ID && offered.IdempotencyKey != "" {
		m.t.Fatalf("idempotency key %q dispatched for requests %d and %d", offered.IdempotencyKey, owner, action.ID)
	}
	m.keys[offered.IdempotencyKey] = action.ID
}

func (m *model) changeSlice(event func([]slicer.Fence) Event, to phase) {
	slice := rapid.Uint32Range(1, 3).Draw(m.t, "slice")
	fence := slicer.Fence{Slice: slice, Term: 1, Epoch: rapid.Uint64Range(1, 3).Draw(m.t, "epoch")}
	known, ok := m.fences[slice]
	if !ok || !older(fence, known) {
		m.fences[slice], m.phases[slice] = fence, to
	}
	m.step(event([]slicer.Fence{fence}))
}

func (m *model) offer(t *rapid.T) {
	m.nextID++
	slice := rapid.Uint32Range(1, 3).Draw(t, "slice")
	fence, known := m.fences[slice]
	if !known || rapid.IntRange(0, 3).Draw(t, "other fence") == 0 {
		fence = slicer.Fence{Slice: slice, Term: 1, Epoch: rapid.Uint64Range(1, 3).Draw(t, "epoch")}
	}
	offered := Offered{
		ID:             m.nextID,
		Class:          configurator.Class(rapid.IntRange(0, 2).Draw(t, "class")),
		Fence:          fence,
		Deadline:       m.now + time.Duration(rapid.IntRange(-5, 2000).Draw(t, "deadline"))*time.Millisecond,
		Signature:      rapid.Uint64Range(0, 5).Draw(t, "signature"),
		IdempotencyKey: rapid.SampledFrom([]string{"", "", "", "", "a", "b"}).Draw(t, "key"),
	}
	m.queued[offered.ID] = offered
	for _, action := range m.admission.Step(m.now, offered) {
		if rejection, ok := action.(Reject); ok && rejection.ID == offered.ID {
			delete(m.queued, offered.ID)
		}
		m.check(action)
	}
}

func (m *model) end(t *rapid.T) {
	ids := make([]ID, 0, len(m.running))
	for id := ID(1); id <= m.nextID; id++ {
		if _, ok := m.running[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no request in flight")
	}
	id := rapid.SampledFrom(ids).Draw(t, "id")
	outcome := Succeeded
	if rapid.IntRange(0, 4).Draw(t, "outcome kind") == 0 {
		outcome = Outcome(rapid.IntRange(int(Failed), int(NotSent)).Draw(t, "outcome"))
	}
	delete(m.running, id)
	for key, owner := range m.keys {
		if owner == id && outcome.NotRun() {
			delete(m.keys, key)
		}
	}
	m.step(Ended{ID: id, Outcome: outcome, Latency: time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond,
		Incarnation: rapid.SampledFrom([]string{"", fmt.Sprint(m.incarnation)}).Draw(t, "incarnation")})
}

func (m *model) lease(t *rapid.T) {
	sent := m.now - time.Duration(rapid.IntRange(0, 1600).Draw(t, "age"))*time.Millisecond
	epoch := rapid.Uint64Range(1, 4).Draw(t, "epoch")
	if epoch >= m.leaseEpoch {
		m.leaseEpoch = epoch
		m.leaseUntil = max(m.leaseUntil, sent+DefaultLease)
	}
	m.step(LeaseRenewed{Epoch: epoch, SentAt: sent})
}

func (m *model) endLease(t *rapid.T) {
	epoch := rapid.Uint64Range(1, 2).Draw(t, "epoch")
	if epoch >= m.leaseEpoch {
		m.leaseEpoch, m.leaseUntil = epoch+1, 0
		clear(m.fences)
		clear(m.phases)
	}
	m.step(LeaseEnded{Epoch: epoch})
}

func (m *model) withdraw(t *rapid.T) {
	if m.nextID == 0 {
		t.Skip("no request offered")
	}
	id := ID(rapid.Uint64Range(1, uint64(m.nextID)).Draw(t, "id"))
	delete(m.queued, id)
	m.step(Withdrawn{ID: id})
}

// Guards against dispatches outside the lease, the fence, the limit or the deadline, against rejections of dispatched
// requests, and against requests that are lost or answered twice, for any order of events.
func TestAdmitterRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := func(_ time.Duration, signature uint64) detector.Status {
			return detector.Status(max(int(signature)-3, 0))
		}
		m := &model{
			t: t, admission: New(Options{Slots: 4, Keyed: true, QueueBound: 8, RaiseAfter: 1, Status: status,
				OwnershipTimeout: 100 * time.Millisecond}),
			fences: map[uint32]slicer.Fence{}, phases: map[uint32]phase{}, queued: map[ID]Offered{},
			running: map[ID]Dispatch{}, slices: map[ID]uint32{}, keys: map[string]ID{},
		}
		m.leaseUntil = DefaultLease
		m.step(LeaseRenewed{})
		serve := func(*rapid.T) { m.changeSlice(func(f []slicer.Fence) Event { return SlicesServed{Fences: f} }, served) }
		for range 3 {
			serve(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"offer2": m.offer,
			"offer3": m.offer,
			"end":    m.end,
			"end2":   m.end,
			"end3":   m.end,
			"leave":  m.withdraw,
			"lease":  m.lease,
			"revoke": m.endLease,
			"serve":  serve,
			"serve2": serve,
			"stop": func(*rapid.T) {
				m.changeSlice(func(f []slicer.Fence) Event { return SlicesStopped{Fences: f} }, stopped)
			},
			"remove": func(*rapid.T) {
				m.changeSlice(func(f []slicer.Fence) Event { return SlicesRemoved{Fences: f} }, removed)
			},
			"restart": func(*rapid.T) {
				m.incarnation++
				m.step(IncarnationObserved{Incarnation: fmt.Sprint(m.incarnation)})
			},
			"report": func(t *rapid.T) { m.step(LoadReported{InFlight: rapid.IntRange(0, 5).Draw(t, "in-flight")}) },
			"wait": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond
				m.step(Tick{})
			},
		})
	})
}
