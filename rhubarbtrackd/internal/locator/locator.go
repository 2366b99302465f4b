// Package locator answers where a request goes: it keeps the configuration and the tables that this host has in force.
//
// Readers see immutable states that are replaced as a whole, so a lookup takes no lock.
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

// MaxTableAge is how long a beacon of a service keeps its table usable. It leaves one second for the propagation of a
// change within the 4 s in which it must be in force.
const MaxTableAge = 3 * time.Second

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	UnknownService Kind = iota + 1
	Stale               // no recent beacon: this host may not know the current owners
	Unassigned          // the slice has no owner, or the upstream no admission host, for now
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

// Route says which upstream runs a request and which host admits it.
type Route struct {
	Upstream configurator.Upstream
	Host     framer.Member
	Fence    slicer.Fence // zero for services not partitioned by key
	Table    slicer.Version
}

type state struct {
	config  *configurator.Snapshot
	tables  map[string]*slicer.Table
	beacons map[string]heard
	members map[string]framer.Member

	candidacies *candidacies // for members
}

type heard struct {
	framer.LeaderHeartbeat
	at time.Duration
	// caughtUp is the last time at which this host had everything that the beacon names.
	caughtUp time.Duration
}

// Locator is safe for concurrent use.
type Locator struct {
	mu      sync.Mutex // serialises writers
	state   atomic.Pointer[state]
	changed atomic.Pointer[chan struct{}]
}

// New returns a locator that knows nothing.
func New() *Locator {
	l := &Locator{}
	l.state.Store(&state{
		config:  configurator.New(),
		tables:  map[string]*slicer.Table{},
		beacons: map[string]heard{},
		members: map[string]framer.Member{},

		candidacies: &candidacies{},
	})
	changed := make(chan struct{})
	l.changed.Store(&changed)
	return l
}

// update replaces the state and wakes everyone who waits for a change.
func (l *Locator) update(change func(next *state)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := *l.state.Load()
	change(&next)
	l.state.Store(&next)
	changed := make(chan struct{})
	close(*l.changed.Swap(&changed))
}

// Changed returns a channel that is closed at the next change.
func (l *Locator) Changed() <-chan struct{} { return *l.changed.Load() }

// Config returns the configuration in force. The caller must not change it.
func (l *Locator) Config() *configurator.Snapshot { return l.state.Load().config }

// Table returns the table of a service, or nil. The caller must not change it.
func (l *Locator) Table(service string) *slicer.Table { return l.state.Load().tables[service] }

// Members returns the known hosts by name. The caller must not change the map.
func (l *Locator) Members() map[string]framer.Member { return l.state.Load().members }

// LastHeartbeat returns the last known controller of a service.
func (l *Locator) LastHeartbeat(service string) (framer.LeaderHeartbeat, bool) {
	beacon, ok := l.state.Load().beacons[service]
	return beacon.LeaderHeartbeat, ok
}

// MergeConfig takes one version of a configuration object. On an error the configuration is unchanged.
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

// SetTable replaces the table of a service unless the present one is newer.
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
		next.candidacies = &candidacies{}
		next.members = make(map[string]framer.Member, len(members))
		for _, member := range members {
			next.members[member.Name] = member
		}
	})
}

// SetHeartbeat notes a beacon. One of an older term is ignored.
func (l *Locator) SetHeartbeat(now time.Duration, beacon framer.LeaderHeartbeat) {
	l.update(func(next *state) {
		previous := next.beacons[beacon.Service]
		if beacon.Term < previous.Term {
			return
		}
		next.beacons = maps.Clone(next.beacons)
		next.beacons[beacon.Service] = heard{LeaderHeartbeat: beacon, at: now, caughtUp: previous.caughtUp}
	})
}

// Refresh records which services this host is caught up with. It must be called regularly and after each beacon.
func (l *Locator) Refresh(now time.Duration) {
	current := l.state.Load()
	for service, beacon := range current.beacons {
		if now-beacon.at > MaxTableAge || beacon.caughtUp == now || !current.caughtUp(beacon) {
			continue
		}
		l.update(func(next *state) {
			next.beacons = maps.Clone(next.beacons)
			entry := next.beacons[service]
			// The time of the beacon, not the present one, says how old this knowledge may be.
			entry.caughtUp = max(entry.caughtUp, entry.at)
			next.beacons[service] = entry
		})
	}
}

func (s *state) caughtUp(beacon heard) bool {
	if s.config.Revision < beacon.Revision {
		return false
	}
	table := s.tables[beacon.Service]
	return table != nil && !table.Version.Less(beacon.Table)
}

// Fresh reports whether this host may take new work of a service.
func (l *Locator) Fresh(now time.Duration, service string) bool {
	beacon, ok := l.state.Load().beacons[service]
	return ok && beacon.caughtUp > 0 && now-beacon.caughtUp <= MaxTableAge
}

// AllFresh reports whether this host may take new work of every configured service. A host that knows no service has just
// started and not received the configuration yet.
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

// AllServed reports whether every configured service has an upstream with an admission host that this host knows. A
// service without upstreams does not count, since it cannot be served by any host.
func (l *Locator) AllServed() bool {
	current := l.state.Load()
	upstreams := map[string]bool{} // services with upstreams, and whether one of them is admitted to
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

// Locate returns the route of a key of a service that is partitioned by key.
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

// LocateUpstream returns the route to one upstream of a service that is not partitioned by key.
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
