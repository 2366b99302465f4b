// Package scheduler carries out cleaning windows: it runs the drainer, which decides when failure domains are taken
// out of service and returned, and writes these decisions to the configuration.
//
// One host is active, the controller of the first service by name. The state of the drainer is in the store, so the
// next active host continues from it. It is written under a version condition, so that of two hosts that are active at
// the same time only one succeeds.
//
// A change by an operator takes precedence over the drainer.
//
// # Usage
//
//	s := scheduler.New(options)
//	err := s.Run(ctx, now) // about every 2 s; does nothing on hosts that are not active
package scheduler

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

const (
	stateObject  = "planner/state"
	writer       = "planner"
	storeTimeout = 2 * time.Second
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	// Unavailable means that a call to the store failed. The next Run repeats it.
	Unavailable Kind = iota + 1
	// Malformed means that the stored state cannot be decoded or a failure domain cannot be encoded.
	Malformed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options configure a Scheduler. The functions are called from the goroutine of Run.
type Options struct {
	Host          string
	IsActive      func() bool // whether this host runs the drainer
	Config        func() *configurator.Snapshot
	Table         func(service string) *slicer.Table
	DomainOf      func(host string) string
	Demand        func(service string) float64 // slots in use
	Get           func(ctx context.Context, name string) (storer.Object, error)
	Put           func(ctx context.Context, name string, value []byte, condition storer.Condition) (uint64, error)
	Accepted      func(object configurator.Object)
	Audit         func(action drainer.Action)
	Log           *eventlog.Logger
	Zones         drainer.ZoneLoader
	NextOperation func() uint64 // a different number in each call
}

// Scheduler is not safe for concurrent use.
type Scheduler struct {
	options Options
	drainer *drainer.Drainer
	loaded  bool
	version uint64                  // of the stored state
	pending map[string]pendingWrite // by failure domain
	written map[string]uint64       // by failure domain: version written, until the configuration contains it
	unsaved bool
}

// pendingWrite is a decision of the drainer that the configuration does not contain yet. It is stored with the state of
// the drainer, because the next active host could otherwise not distinguish it from a contrary decision of an operator.
type pendingWrite struct {
	takenOut bool
	version  uint64 // of the failure domain at the decision; a later change by an operator takes precedence
}

// New returns a scheduler that reads the stored state in its first active Run.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, pending: map[string]pendingWrite{}, written: map[string]uint64{}}
}

// Run executes one step of the drainer and writes its decisions. After an error, the next call continues.
func (s *Scheduler) Run(ctx context.Context, now time.Time) error {
	if !s.options.IsActive() {
		s.loaded = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !s.loaded {
		if err := s.load(ctx); err != nil {
			return err
		}
	}
	config := s.options.Config()
	status := s.status(config)
	actions := s.applyOperatorChanges(now, config, status)
	actions = append(actions, s.drainer.Step(now, status, config.Windows)...)
	for _, action := range actions {
		s.apply(config, action)
	}
	return s.flush(ctx, config)
}

// load reads the state that the last active host stored.
func (s *Scheduler) load(ctx context.Context) error {
	s.drainer = drainer.New(drainer.DefaultMoveTiming, s.options.Zones)
	s.pending = map[string]pendingWrite{}
	s.written = map[string]uint64{}
	s.version = 0
	object, err := s.options.Get(ctx, stateObject)
	switch {
	case storer.KindOf(err) == storer.NotFound:
	case err != nil:
		return &Error{Op: "read drainer state", Kind: Unavailable, Err: err}
	default:
		state, pending, err := decodeState(object.Value)
		if err != nil {
			return &Error{Op: "read drainer state", Kind: Malformed, Err: err}
		}
		s.drainer.Restore(state)
		s.pending = pending
		s.version = object.Version
	}
	s.loaded = true
	return nil
}

// applyOperatorChanges updates the drainer with changes of failure domains by operators. It skips a domain with a write
// of a scheduler that the configuration does not contain yet.
func (s *Scheduler) applyOperatorChanges(now time.Time, config *configurator.Snapshot, status drainer.Status) []drainer.Action {
	var actions []drainer.Action
	for name, domain := range config.FailureDomains {
		if _, due := s.pending[name]; due || config.Versions[domain.ObjectName()] < s.written[name] {
			continue
		}
		delete(s.written, name)
		switch out := s.drainer.IsOut(name); {
		case domain.TakenOut && !out:
			s.unsaved = true
			// Forced, because the capacity was checked when the operator's change was accepted.
			forced, err := s.drainer.TakeOut(now, status, name, true)
			if err == nil {
				actions = append(actions, withoutWrites(forced)...)
			}
		case !domain.TakenOut && out:
			s.unsaved = true
			actions = append(actions, withoutWrites(s.drainer.Return(now, name))...)
		}
	}
	return actions
}

// withoutWrites removes the actions that write a failure domain. They are not needed after a change by an operator,
// which the configuration already contains.
func withoutWrites(actions []drainer.Action) []drainer.Action {
	var kept []drainer.Action
	for _, action := range actions {
		if action.Kind != drainer.TakeOut && action.Kind != drainer.Return {
			kept = append(kept, action)
		}
	}
	return kept
}

func (s *Scheduler) apply(config *configurator.Snapshot, action drainer.Action) {
	s.unsaved = true
	switch action.Kind {
	case drainer.TakeOut, drainer.Return:
		version := config.Versions[configurator.FailureDomain{Name: action.Domain}.ObjectName()]
		s.pending[action.Domain] = pendingWrite{takenOut: action.Kind == drainer.TakeOut, version: version}
	}
	s.options.Audit(action)
	s.options.Log.Log(events[action.Kind],
		zap.String("failure-domain", action.Domain), zap.String("window", action.Window), zap.String("other", action.Other))
}

var events = map[drainer.ActionKind]eventlog.Event{
	drainer.TakeOut:            eventlog.DomainTakenOut,
	drainer.Return:             eventlog.DomainReturning,
	drainer.Emptied:            eventlog.DomainEmptied,
	drainer.WindowLate:         eventlog.WindowLate,
	drainer.WindowOverCapacity: eventlog.WindowOverCapacity,
	drainer.WindowBlocked:      eventlog.WindowBlocked,
	drainer.WindowZoneUnknown:  eventlog.WindowZoneUnknown,
	drainer.Returned:           eventlog.DomainReturned,
}

// flush writes the state of the drainer and then the pending changes of failure domains. The state comes first, because
// a domain that is out of service without a stored cause would never be returned.
func (s *Scheduler) flush(ctx context.Context, config *configurator.Snapshot) error {
	if s.unsaved {
		condition := storer.IfAbsent()
		if s.version > 0 {
			condition = storer.IfVersion(s.version)
		}
		version, err := s.options.Put(ctx, stateObject, encodeState(s.drainer.Snapshot(), s.pending), condition)
		if err != nil {
			// After a conflict or a lost response the next Run reads the state again, which resolves both.
			s.loaded = s.loaded && storer.KindOf(err) == storer.Unavailable
			return &Error{Op: "write drainer state", Kind: Unavailable, Err: err}
		}
		s.version = version
		s.unsaved = false
	}
	for name, write := range s.pending {
		if err := s.writeDomain(ctx, config, name, write); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scheduler) writeDomain(ctx context.Context, config *configurator.Snapshot, name string, write pendingWrite) error {
	domain, ok := config.FailureDomains[name]
	object := domain.ObjectName()
	if !ok || domain.TakenOut == write.takenOut || config.Versions[object] != write.version {
		delete(s.pending, name)
		s.unsaved = true
		return nil
	}
	domain.TakenOut = write.takenOut
	origin := configurator.Origin{
		Writer:    writer,
		Operation: s.options.Host + "-" + strconv.FormatUint(s.options.NextOperation(), 10),
	}
	value, err := encoder.Encode(domain, origin)
	if err != nil {
		return &Error{Op: "write failure domain", Kind: Malformed, Err: err}
	}
	version, err := s.options.Put(ctx, object, value, storer.IfVersion(config.Versions[object]))
	if err != nil {
		// The next Run finds the outcome in the configuration, and writes again if it is still needed.
		return &Error{Op: "write failure domain", Kind: Unavailable, Err: err}
	}
	delete(s.pending, name)
	s.unsaved = true
	s.written[name] = version
	s.options.Accepted(configurator.Object{Name: object, Version: version, Body: value})
	return nil
}

// status returns the input of the drainer, collected from the tables and the configuration of all services.
func (s *Scheduler) status(config *configurator.Snapshot) drainer.Status {
	status := drainer.Status{Admissions: map[string]int{}, Demand: map[string]float64{}}
	owned := map[string]int{}
	for service := range config.Services {
		status.Demand[service] = s.options.Demand(service)
		table := s.options.Table(service)
		if table == nil {
			continue
		}
		for _, slice := range table.Ranges {
			owned[slice.Owner]++
		}
		for _, slice := range table.Hot {
			owned[slice.Owner]++
		}
		for _, admission := range table.Admission {
			status.Admissions[s.options.DomainOf(admission.Host)]++
		}
	}
	for id, upstream := range config.Upstreams {
		status.Upstreams = append(status.Upstreams, drainer.Upstream{
			Name:          id,
			Service:       upstream.Service,
			FailureDomain: upstream.FailureDomain,
			Slots:         upstream.Slots,
			Capacity:      upstream.Slots,
			Serving:       !upstream.Drained,
			Slices:        owned[id],
		})
	}
	return status
}
