// Package locator determines the upstream and the admission host of a request from the configuration and the routing
// tables that this host has received.
//
// A table is used only while it is fresh: the controller of the service confirms it by leader heartbeats, and a host
// that misses them may not have the current owners and must not route with the table.
//
// Each change replaces an immutable state atomically, so lookups take no lock.
//
// # Usage
//
//	l := locator.New()
//	l.MergeConfig(object)
//	l.SetTable(table)
//	route, err := l.Locate(now, "shelf-marks", "QA76.73")
package locator

import (
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
)

// MaxTableAge is the time after the last leader heartbeat of a service during which its table may be used. A change
// must be applied on all hosts within 4 s, which leaves 1 s for its propagation.
const MaxTableAge = 3 * time.Second

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	UnknownService Kind = iota + 1
	Stale               // no recent leader heartbeat: this host may not have the current owners
	Unassigned          // the slice currently has no owner, or the upstream no known admission host
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

// KindOf returns the kind of an error of this package, or 0.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Route is the result of a lookup: the upstream that runs a request and the host that admits it.
type Route struct {
	Upstream configurator.Upstream
	Host     framer.Member
	Fence    slicer.Fence // zero for services that are not keyed
	Table    slicer.Version
}

type state struct {
	config     *configurator.Snapshot
	tables     map[string]*slicer.Table
	heartbeats map[string]heartbeatState
	members    map[string]framer.Member

	candidateCache *candidateCache // for members
}

type heartbeatState struct {
	framer.LeaderHeartbeat
	receivedAt time.Duration
	// caughtUpAt is when the last heartbeat arrived whose table and configuration this host has.
	caughtUpAt time.Duration
}

// Locator is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex // serialises writers
	state   atomic.Pointer[state]
	changed atomic.Pointer[chan struct{}]
}

// New returns a locator without configuration, tables and hosts.
func New() *Locator {
	l := &Locator{}
	l.state.Store(&state{
		config:     configurator.New(),
		tables:     map[string]*slicer.Table{},
		heartbeats: map[string]heartbeatState{},
		members:    map[string]framer.Member{},

		candidateCache: &candidateCache{},
	})
	changed := make(chan struct{})
	l.changed.Store(&changed)
	return l
}

// update replaces the state and closes the channel of Changed. The function must not modify maps of the present state.
func (l *Locator) update(change func(next *state)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := *l.state.Load()
	change(&next)
	l.state.Store(&next)
	changed := make(chan struct{})
	close(*l.changed.Swap(&changed))
}

// Changed returns a channel that is closed at the next change. To miss no change, call it before reading the state.
func (l *Locator) Changed() <-chan struct{} { return *l.changed.Load() }

// Config returns the applied configuration. The caller must not change it.
func (l *Locator) Config() *configurator.Snapshot { return l.state.Load().config }

// Table returns the table of a service, or nil. The caller must not change it.
func (l *Locator) Table(service string) *slicer.Table { return l.state.Load().tables[service] }

// Members returns the known hosts by name. The caller must not change the map.
func (l *Locator) Members() map[string]framer.Member { return l.state.Load().members }

// LastHeartbeat returns the last heartbeat of a controller of the service, which may have expired.
func (l *Locator) LastHeartbeat(service string) (framer.LeaderHeartbeat, bool) {
	heartbeat, ok := l.state.Load().heartbeats[service]
	return heartbeat.LeaderHeartbeat, ok
}

// MergeConfig applies one version of a configuration object. On an error the configuration is unchanged.
func (l *Locator) MergeConfig(object configurator.Object) error {
	var err error
	l.update(func(next *state) {
		config := next.config.Clone()
		if _, err = config.Merge(object, encoder.Decode); err == nil {
			next.config = config
		}
	})
	return err
}

// SetTable replaces the table of a service. A table that is not newer than the present one is ignored.
func (l *Locator) SetTable(table *slicer.Table) {
	l.update(func(next *state) {
		if present := next.tables[table.Service]; present != nil && !present.Version.Less(table.Version) {
			return
		}
		next.tables = maps.Clone(next.tables)
		next.tables[table.Service] = table
	})
}

// SetMembers replaces the list of hosts.
func (l *Locator) SetMembers(members []framer.Member) {
	l.update(func(next *state) {
		next.candidateCache = &candidateCache{}
		next.members = make(map[string]framer.Member, len(members))
		for _, member := range members {
			next.members[member.Name] = member
		}
	})
}

// SetHeartbeat stores a leader heartbeat. A heartbeat of an older term is ignored.
func (l *Locator) SetHeartbeat(now time.Duration, heartbeat framer.LeaderHeartbeat) {
	l.update(func(next *state) {
		previous := next.heartbeats[heartbeat.Service]
		if heartbeat.Term < previous.Term {
			return
		}
		next.heartbeats = maps.Clone(next.heartbeats)
		next.heartbeats[heartbeat.Service] = heartbeatState{LeaderHeartbeat: heartbeat, receivedAt: now, caughtUpAt: previous.caughtUpAt}
	})
}

// Refresh records for which services this host has the table and the configuration that the last leader heartbeat
// names. It must be called periodically and after each heartbeat.
func (l *Locator) Refresh(now time.Duration) {
	current := l.state.Load()
	for service, heartbeat := range current.heartbeats {
		if now-heartbeat.receivedAt > MaxTableAge || heartbeat.caughtUpAt == now || !current.caughtUp(heartbeat) {
			continue
		}
		l.update(func(next *state) {
			next.heartbeats = maps.Clone(next.heartbeats)
			entry := next.heartbeats[service]
			// The age of the table counts from the heartbeat that confirmed it, not from now.
			entry.caughtUpAt = max(entry.caughtUpAt, entry.receivedAt)
			next.heartbeats[service] = entry
		})
	}
}

func (s *state) caughtUp(heartbeat heartbeatState) bool {
	if s.config.Revision < heartbeat.Revision {
		return false
	}
	table := s.tables[heartbeat.Service]
	return table != nil && !table.Version.Less(heartbeat.Table)
}

// Fresh reports whether this host may route new requests of a service: its table was confirmed within MaxTableAge.
func (l *Locator) Fresh(now time.Duration, service string) bool {
	heartbeat, ok := l.state.Load().heartbeats[service]
	return ok && heartbeat.caughtUpAt > 0 && now-heartbeat.caughtUpAt <= MaxTableAge
}

// AllFresh reports whether this host may route new requests of every configured service. It reports false if no service
// is configured, because a host that has just started has not received the configuration yet.
func (l *Locator) AllFresh(now time.Duration) bool {
	services := l.Config().Services
	if len(services) == 0 {
		return false
	}
	for service := range services {
		if !l.Fresh(now, service) {
			return false
		}
	}
	return true
}

// AllServed reports whether every configured service has an upstream with a known admission host. Services without
// upstreams are ignored because no host can serve them.
func (l *Locator) AllServed() bool {
	current := l.state.Load()
	upstreams := map[string]bool{} // by service: whether one of its upstreams has an admission host
	for id, upstream := range current.config.Upstreams {
		if _, ok := current.config.Services[upstream.Service]; !ok {
			continue
		}
		served := upstreams[upstream.Service]
		if table := current.tables[upstream.Service]; table != nil && !served {
			_, err := current.routeTo(table, id)
			served = err == nil
		}
		upstreams[upstream.Service] = served
	}
	for _, served := range upstreams {
		if !served {
			return false
		}
	}
	return true
}

// Locate returns the route of a key of a keyed service. Errors are of kind UnknownService, Stale or Unassigned.
func (l *Locator) Locate(now time.Duration, service, key string) (Route, error) {
	const op = "locate"
	current := l.state.Load()
	if _, ok := current.config.Services[service]; !ok {
		return Route{}, &Error{Op: op, Kind: UnknownService, Err: errors.Newf("service %q", service)}
	}
	if !l.Fresh(now, service) {
		return Route{}, &Error{Op: op, Kind: Stale, Err: errors.Newf("service %q", service)}
	}
	table := current.tables[service]
	slice, ok := table.Lookup(key)
	if !ok || slice.Owner == "" {
		return Route{}, &Error{Op: op, Kind: Unassigned, Err: errors.Newf("no owner in service %q", service)}
	}
	route, err := current.routeTo(table, slice.Owner)
	if err != nil {
		return Route{}, err
	}
	route.Fence = slicer.Fence{Slice: slice.ID, Term: table.Version.Term, Epoch: slice.Epoch}
	return route, nil
}

// LocateUpstream returns the route to one upstream of a service that is not keyed. Errors are of kind Stale or
// Unassigned.
func (l *Locator) LocateUpstream(now time.Duration, service, upstream string) (Route, error) {
	if !l.Fresh(now, service) {
		return Route{}, &Error{Op: "locate", Kind: Stale, Err: errors.Newf("service %q", service)}
	}
	current := l.state.Load()
	return current.routeTo(current.tables[service], upstream)
}

func (s *state) routeTo(table *slicer.Table, owner string) (Route, error) {
	const op = "locate"
	upstream, ok := s.config.Upstreams[owner]
	if !ok {
		return Route{}, &Error{Op: op, Kind: Unassigned, Err: errors.Newf("upstream %q is not configured", owner)}
	}
	admission, ok := table.Admission[owner]
	if !ok || admission.Host == "" {
		return Route{}, &Error{Op: op, Kind: Unassigned, Err: errors.Newf("no admission host for %q", owner)}
	}
	host, ok := s.members[admission.Host]
	if !ok {
		return Route{}, &Error{Op: op, Kind: Unassigned, Err: errors.Newf("unknown host %q", admission.Host)}
	}
	return Route{Upstream: upstream, Host: host, Table: table.Version}, nil
}
