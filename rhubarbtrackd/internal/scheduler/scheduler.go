// Package scheduler carries out cleaning windows: it drives the planner and writes the failure domains that the planner
// takes out of service and returns.
//
// One host of the system has this duty, the controller of the first service by name. The planner's state is kept in the
// store, so a successor continues where the former host stopped.
//
// # Usage
//
//	s := scheduler.New(options)
//	s.Run(now) // about every 2 s, returns at once on hosts without the duty
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
	// Unavailable means that the store could not be used; the call is repeated.
	Unavailable Kind = iota + 1
	// Malformed means that the stored state cannot be read.
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

// Options of a scheduler. Function fields connect it to the rest of the process.
type Options struct {
	Host          string
	IsActive      func() bool // whether this host is the one that plans
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
	NextOperation func() uint64 // unique numbers of this process
}

// Scheduler is used by one goroutine.
type Scheduler struct {
	options Options
	planner *drainer.Drainer
	loaded  bool
	version uint64            // of the stored state
	wanted  map[string]wish   // failure domains whose write is due
	written map[string]uint64 // versions of our writes, until the configuration shows them
	unsaved bool
}

// wish is a decision of the planner that the configuration does not show yet. It is stored with the planner's state: a
// successor could not tell it from an operator's decision to the contrary otherwise.
type wish struct {
	out     bool
	version uint64 // of the failure domain when the planner decided; a later change by an operator wins
}

// New returns a scheduler that has read nothing.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, wanted: map[string]wish{}, written: map[string]uint64{}}
}

// Run advances the windows by one step.
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
	actions := s.followOperators(now, config, status)
	actions = append(actions, s.planner.Step(now, status, config.Windows)...)
	for _, action := range actions {
		s.apply(config, action)
	}
	return s.flush(ctx, config)
}

// load reads the state of the former planner.
func (s *Scheduler) load(ctx context.Context) error {
	s.planner = drainer.New(drainer.DefaultMoveTiming, s.options.Zones)
	s.wanted = map[string]wish{}
	s.written = map[string]uint64{}
	s.version = 0
	object, err := s.options.Get(ctx, stateObject)
	switch {
	case storer.KindOf(err) == storer.NotFound:
	case err != nil:
		return &Error{Op: "read planner state", Kind: Unavailable, Err: err}
	default:
		state, wanted, err := decodeState(object.Value)
		if err != nil {
			return &Error{Op: "read planner state", Kind: Malformed, Err: err}
		}
		s.planner.Restore(state)
		s.wanted = wanted
		s.version = object.Version
	}
	s.loaded = true
	return nil
}

// followOperators brings the planner in line with what operators wrote. A domain whose own write is still on its way is
// left alone, since the configuration does not show it yet.
func (s *Scheduler) followOperators(now time.Time, config *configurator.Snapshot, status drainer.Status) []drainer.Action {
	var actions []drainer.Action
	for name, domain := range config.FailureDomains {
		if _, due := s.wanted[name]; due || config.Versions[domain.ObjectName()] < s.written[name] {
			continue
		}
		delete(s.written, name)
		switch out := s.planner.IsOut(name); {
		case domain.TakenOut && !out:
			s.unsaved = true
			// The check was made when the operator's change was accepted.
			forced, err := s.planner.TakeOut(now, status, name, true)
			if err == nil {
				actions = append(actions, reports(forced)...)
			}
		case !domain.TakenOut && out:
			s.unsaved = true
			actions = append(actions, reports(s.planner.Return(now, name))...)
		}
	}
	return actions
}

// reports drops orders that the configuration already shows.
func reports(actions []drainer.Action) []drainer.Action {
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
		s.wanted[action.Domain] = wish{out: action.Kind == drainer.TakeOut, version: version}
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
	drainer.WindowOverCapacity: eventlog.WindowExceeded,
	drainer.WindowBlocked:      eventlog.WindowBlocked,
	drainer.WindowZoneUnknown:  eventlog.WindowUnreadable,
	drainer.Returned:           eventlog.DomainReturned,
}

// flush writes what is due. The state goes first: a domain that is out without a known cause would stay out.
func (s *Scheduler) flush(ctx context.Context, config *configurator.Snapshot) error {
	if s.unsaved {
		condition := storer.IfAbsent()
		if s.version > 0 {
			condition = storer.IfVersion(s.version)
		}
		version, err := s.options.Put(ctx, stateObject, encodeState(s.planner.Snapshot(), s.wanted), condition)
		if err != nil {
			// After a conflict or a lost answer the state is read again, which resolves both.
			s.loaded = s.loaded && storer.KindOf(err) == storer.Unavailable
			return &Error{Op: "write planner state", Kind: Unavailable, Err: err}
		}
		s.version = version
		s.unsaved = false
	}
	for name, wanted := range s.wanted {
		if err := s.writeDomain(ctx, config, name, wanted); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scheduler) writeDomain(ctx context.Context, config *configurator.Snapshot, name string, wanted wish) error {
	domain, ok := config.FailureDomains[name]
	object := domain.ObjectName()
	if !ok || domain.TakenOut == wanted.out || config.Versions[object] != wanted.version {
		delete(s.wanted, name)
		s.unsaved = true
		return nil
	}
	domain.TakenOut = wanted.out
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
		// The next step sees the outcome in the configuration and writes again if it is still wanted.
		return &Error{Op: "write failure domain", Kind: Unavailable, Err: err}
	}
	delete(s.wanted, name)
	s.unsaved = true
	s.written[name] = version
	s.options.Accepted(configurator.Object{Name: object, Version: version, Body: value})
	return nil
}

// status collects what the planner needs to know of all services.
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
