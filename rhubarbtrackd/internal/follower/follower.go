// Package follower maintains this host's copy of the platform's store: the configuration, the upstreams and the failure
// domains that are taken out. It passes on the stored requests that are blocked.
//
// The controller reads the store and sends its copy of the upstreams and failure domains to all other hosts with its
// heartbeats. This is called the relay. A host without a current relay reads the store itself. The relay keeps the
// number of calls to the store small. The configuration may be too long for a heartbeat, so the relay carries only its
// version number. A host that lacks this version asks the controller for what has changed, and the store if the controller
// fails or takes long.
//
// The age of the configuration counts from the last response of the store that has confirmed it, at this host or at the
// controller, and not from the heartbeat that passes this on. A host whose configuration is older than
// maxConfigurationAge reads it itself, even while the controller confirms its copy.
//
// # Usage
//
//	f := follower.New(follower.Options{Store: client, Log: log})
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
//
// A snapshot is immutable. The version of the configuration never decreases within a process.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/authenticator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/downloader"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

const (
	// watchTimeout is how long the store may hold a watch. Each call has a cost, but a watch that the store has lost in a short
	// outage must be detected within 5 s: operators rely on this host again 3 s after an outage, and an upstream may
	// drain for 2 s.
	watchTimeout = 3 * time.Second
	// auxiliaryWatchTimeout is the same for kinds whose changes also reach this host in other ways.
	auxiliaryWatchTimeout = 20 * time.Second
	// configWatchTimeout is the same for the configuration. Every response confirms it, and a watch that the store has lost
	// must be detected before hosts are late.
	configWatchTimeout = 600 * time.Millisecond
	// maxConfigurationAge is the age from which a host that uses the relay reads the configuration itself. A configuration
	// that the controller follows stays below it: a watch, a heartbeat interval and the transit. The rest of the 2 s after
	// which a version must be in force is for the read.
	maxConfigurationAge = 1200 * time.Millisecond
	// listTimeout bounds the time until the response to a list call begins. A slow store takes 0.3 s for it.
	listTimeout = 1200 * time.Millisecond
	// controllerHeadStart is how long a host waits for the configuration from the controller before it asks the store as well. The
	// controller sends what has changed, the store the whole.
	controllerHeadStart = 300 * time.Millisecond
	// longTransfer is the time of a transfer in which several versions of the configuration may be written.
	longTransfer = 200 * time.Millisecond
	// batchDelay is the pause between two calls, so that one watch returns several changes. It is short compared with
	// the time after which a draining upstream must not receive requests.
	batchDelay = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the time between two calls while calls to the store fail.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// relayPollInterval is the interval at which a host that uses the relay checks whether it must read the store.
	relayPollInterval = 100 * time.Millisecond
	// relayTimeout allows for three heartbeats. When the controller has not confirmed its copy for this time, the host
	// reads the store itself, well within the time that upstreams take to drain.
	relayTimeout = 650 * time.Millisecond
	// lateDelay is the time in transit from which a change counts as late: two intervals between heartbeats.
	lateDelay = 400 * time.Millisecond
	// startupWait is how long a host waits for the relay when all hosts start together. It covers the delay with which
	// small hosts read the lease record, a connection and a heartbeat.
	startupWait = 1800 * time.Millisecond
	// sweepInterval is the interval at which expired entries and an expired relay are detected.
	sweepInterval = 100 * time.Millisecond
)

// Snapshot is an immutable state of the copy. Times are on the clock of Options.Now.
type Snapshot struct {
	Config *matcher.Config // nil until one was read
	// Authenticator holds the client accounts of Config. It is nil if there are none.
	Authenticator *authenticator.Authenticator
	Upstreams     map[string]registrar.Upstream
	ByService     map[string][]registrar.Upstream
	// Incarnations resolves the tags of Upstreams.
	Incarnations identifier.Index
	// TakenOut holds, for each failure domain that is taken out, the earliest time at which that may have begun. Draining
	// holds the same for each draining upstream, see recency. It is the time of the event from a watch, or what the controller
	// has sent. For a state found in a list, it is when the copy was last known to be current.
	TakenOut map[string]time.Duration
	Draining map[identifier.Incarnation]time.Duration
	// Kept holds the upstreams whose entries are removed and which stay in use until they may have registered again.
	Kept   map[string]bool
	Listed bool // the upstreams have been read at least once
	// Revision is the newest one of all upstream entries read so far in the present generation of the store.
	Revision   int64
	Generation int64
	digest     atomic.Uint64
}

// Options configures a Follower.
type Options struct {
	Store *storer.Client
	Log   *eventlog.Logger
	Now   func() time.Duration
	// FirstStart is set when all hosts start together. The host then waits for the first controller's relay before it
	// lists the upstreams and failure domains itself.
	FirstStart bool
	// OnBlocked is called with the requests that the store lists as blocked, and OnUnblocked with a signature whose object
	// was removed. Both may be nil.
	OnBlocked   func([]detector.Report)
	OnUnblocked func(signature uint64)
	// FetchConfiguration returns the configuration of the controller, with digests instead of the keys of client accounts, see
	// translator.WithoutKeys. It may be nil.
	FetchConfiguration func(ctx context.Context, known []byte) ([]byte, error)
	// OnConfigurationRead is called with the result of each call for the configuration: its source, store or controller, and the
	// transfer of the response. It may be nil.
	OnConfigurationRead func(source string, transfer downloader.Transfer, err error)
	// Panics contains panics in the handling of a response of the store, which then counts as failed.
	Panics *recoverer.Recoverer
}

// Follower is safe for concurrent use.
type Follower struct {
	options   Options
	snapshot  atomic.Pointer[Snapshot]
	mutex     sync.Mutex
	list      *registrar.List
	config    *matcher.Config
	rawConfig []byte // config without keys
	// authenticator belongs to config.
	authenticator *authenticator.Authenticator
	confirmedAt   atomic.Int64 // see ConfirmedAt
	superseded    atomic.Bool  // see LacksConfiguration
	behind        atomic.Bool  // see IsBehindController
	takenOut      map[string]time.Duration
	returning     map[string]time.Duration // see beginReturn
	draining      map[identifier.Incarnation]time.Duration
	listed        bool
	failing       map[string]time.Duration // kind to the time of the first failure in a row
	version       storer.Version           // newest version of all upstream entries read so far
	lastRelay     time.Duration            // when the controller made its last confirmation, at the earliest
	relayed       bool                     // the copy is updated from the relay
	needsFull     bool                     // the controller's changes apply to another copy, see hasBase
	late          bool                     // the last change arrived late
	// connected is set when the store or the controller sends data. It is cleared when the relay times out, and when a
	// call to the store fails while the copy is not updated from the relay.
	connected         bool
	recency           recency
	calls             map[string]*call    // the last one by kind
	relayDeadline     time.Duration       // until then, this host waits for the relay and reads only the configuration
	announcedVersion  int64               // newest version of the configuration that a controller has read
	controllerVersion int64               // of the configuration of the controller that sends heartbeats; 0: none does
	lastHeartbeat     time.Duration       // arrival of the last heartbeat, which may be late or not be applied
	lacksSince        time.Duration       // when a version was announced that this host lacks
	fetchFailed       bool                // the controller did not send the announced version
	announced         chan struct{}       // has a value when a version was announced
	transfer          downloader.Transfer // of the response that is being applied
	rejected          map[string]int64    // revision of each invalid entry, so that each is logged once
}

// New returns a follower with an empty snapshot.
func New(options Options) *Follower {
	if options.OnConfigurationRead == nil {
		options.OnConfigurationRead = func(string, downloader.Transfer, error) {}
	}
	f := &Follower{
		options: options, list: registrar.New(), takenOut: map[string]time.Duration{}, returning: map[string]time.Duration{},
		draining: map[identifier.Incarnation]time.Duration{}, failing: map[string]time.Duration{}, rejected: map[string]int64{},
		calls: map[string]*call{}, announced: make(chan struct{}, 1), recency: newRecency(),
	}
	if options.FirstStart {
		f.relayDeadline = options.Now() + startupWait
	}
	f.snapshot.Store(&Snapshot{})
	return f
}

// Upstream returns an upstream if the given incarnation of it is listed.
func (s *Snapshot) Upstream(i identifier.Incarnation) (registrar.Upstream, bool) {
	u, ok := s.Upstreams[i.ID]
	return u, ok && u.Incarnation == i
}

// Resolve returns the listed upstream with a tag.
func (s *Snapshot) Resolve(tag identifier.Tag) (registrar.Upstream, bool) {
	i, ok := s.Incarnations[tag]
	return s.Upstreams[i.ID], ok
}

// Snapshot returns the current state. It does not block.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Run keeps the copy up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range []kindWatcher{
		{kind: translator.UpstreamKind, replace: f.replaceUpstreams, put: f.putUpstream, controlsExpiry: true, wait: watchTimeout},
		{kind: translator.ConfigurationKind, replace: f.replaceConfiguration, put: f.putConfiguration, wait: configWatchTimeout, urgent: true, supersedes: true},
		{kind: translator.TakeOutKind, replace: f.replaceTakeOuts, put: f.putTakeOut, wait: watchTimeout},
		{kind: serializer.BlockedKind, replace: f.replaceBlocked, put: f.putBlocked, auxiliary: true, wait: auxiliaryWatchTimeout},
	} {
		group.Go(func() { f.follow(ctx, kind) })
	}
	if f.options.FetchConfiguration != nil {
		group.Go(func() { f.followController(ctx) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
			f.options.Panics.Do("sweep-copy", f.sweep)
		}
	}
}

// publish replaces the snapshot. The caller holds the mutex.
func (f *Follower) publish() {
	s := &Snapshot{
		Config: f.config, Authenticator: f.authenticator, Upstreams: f.list.All(), ByService: map[string][]registrar.Upstream{},
		TakenOut: map[string]time.Duration{}, Draining: map[identifier.Incarnation]time.Duration{}, Listed: f.listed,
		Revision: f.version.Revision, Generation: f.version.Generation, Incarnations: identifier.Index{}, Kept: map[string]bool{},
	}
	for _, u := range s.Upstreams {
		s.ByService[u.Service] = append(s.ByService[u.Service], u)
		s.Incarnations.Add(u.Incarnation)
		if !u.Draining {
			continue
		}
		since, known := f.draining[u.Incarnation]
		if !known {
			since = f.recency.begin(translator.UpstreamKind, u.ID)
			f.options.Log.Log(eventlog.UpstreamDraining, zap.String("upstream", u.ID), zap.Duration("age", f.options.Now()-since),
				zap.Bool("relayed", f.relayed), zap.Int64("revision", f.version.Revision))
		}
		s.Draining[u.Incarnation] = since
	}
	f.draining = s.Draining
	for id := range f.list.Kept() {
		s.Kept[id] = true
	}
	f.logRemovals(f.snapshot.Load(), s)
	f.logColdPhases(f.snapshot.Load(), s)
	for domain, since := range f.takenOut {
		s.TakenOut[domain] = since
	}
	f.snapshot.Store(s)
}

// sweep removes expired entries and stops using the relay after relayTimeout.
func (f *Follower) sweep() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.options.Now()
	if f.list.Tick(now) {
		f.publish()
	}
	if now >= f.lastRelay+relayTimeout {
		f.endRelay(now - f.lastRelay)
	}
	if now >= f.lastHeartbeat+relayTimeout {
		f.controllerVersion = 0
		f.publishConfirmation()
	}
}

// Connected reports whether the store or the controller has sent data since the relay last timed out, or a call to the
// store last failed while the copy was not updated from the relay.
func (f *Follower) Connected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected
}
