// Package follower keeps this host's copy of what the platform's store says: the configuration, the upstreams and the
// failure domains that are taken out.
//
// # Usage
//
//	f := follower.New(follower.Options{Store: client, Log: log})
//	go f.Run(ctx)
//	snapshot := f.Snapshot()
//
// A snapshot is immutable. Versions of the configuration never go back within a process.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

const (
	// watchTime is how long the store may hold a watch. Each watch is a call that is paid for.
	watchTime = 20 * time.Second
	// probeTime is the same for the configuration. A store that was down may have forgotten its watches, so one of them
	// is short enough to notice that within the 3 s after which the operators rely on this host again.
	probeTime = 1500 * time.Millisecond
	// listTimeout bounds a call for a list. A slow store takes 0.3 s.
	listTimeout = 1200 * time.Millisecond
	// batchDelay collects changes for one answer of a watch. It is small against the time within which an upstream that
	// leaves must get no more requests.
	batchDelay = 150 * time.Millisecond
	// minRetry and maxRetry bound the time between two calls while the store does not answer.
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// relayPoll is how often a host that follows the controller's copy checks that it still does.
	relayPoll = 100 * time.Millisecond
	// relayLife is how long the controller's word is good for: three beats. After it, the host reads the store itself,
	// well within the time that upstreams take to leave.
	relayLife = 650 * time.Millisecond
	// startPatience is how long a host that has just started waits for the controller's copy: the read of the record, a
	// connection and a beat.
	startPatience = 900 * time.Millisecond
	// sweepInterval is how often lapsed entries are looked at.
	sweepInterval = 100 * time.Millisecond
)

// Snapshot is the state at one moment.
type Snapshot struct {
	Config    *matcher.Config // nil until one was read
	Upstreams map[string]registrar.Upstream
	ByService map[string][]registrar.Upstream
	TakenOut  map[string]time.Duration // failure domain to the time since when it is taken out
	Draining  map[string]time.Duration // upstream to the time since when it is known to drain
	Listed    bool                     // the upstreams have been read
	Revision  int64                    // newest revision among the entries of upstreams that were seen
}

// Options configures a Follower.
type Options struct {
	Store *storer.Client
	Log   *eventlog.Logger
	Now   func() time.Duration
	// FirstStart is set when all hosts start together and the first controller's copy is worth waiting for.
	FirstStart bool
}

// Follower is safe for concurrent use.
type Follower struct {
	options  Options
	snapshot atomic.Pointer[Snapshot]
	mutex    sync.Mutex
	list     *registrar.List
	config   *matcher.Config
	takenOut map[string]time.Duration
	draining map[string]time.Duration
	listed   bool
	failing  map[string]time.Duration // kind to the time of the first failure in a row
	revision int64                    // newest revision among the entries of upstreams that were seen
	fresh    time.Duration            // when the controller last vouched for its copy
	relayed  bool                     // the copy follows that of the controller
	// connected is set when the store or the controller has been heard of, and cleared when either is lost.
	connected bool
	cancels   map[string]context.CancelFunc
	patience  time.Duration    // until then, a host that has just started waits for a controller's copy
	wanted    int64            // newest known version of the configuration
	refused   map[string]int64 // entries that were refused, by revision, so that each is logged once
}

// New returns a follower that knows nothing.
func New(options Options) *Follower {
	f := &Follower{
		options: options, list: registrar.New(), takenOut: map[string]time.Duration{},
		draining: map[string]time.Duration{}, failing: map[string]time.Duration{}, refused: map[string]int64{},
		cancels: map[string]context.CancelFunc{},
	}
	if options.FirstStart {
		f.patience = options.Now() + startPatience
	}
	f.snapshot.Store(&Snapshot{})
	return f
}

// Snapshot returns the present state.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot.Load() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range []kindFollower{
		{translator.UpstreamKind, f.replaceUpstreams, f.putUpstream, true, watchTime},
		{translator.ConfigurationKind, f.replaceConfiguration, f.putConfiguration, false, probeTime},
		{translator.TakeOutKind, f.replaceTakeOuts, f.putTakeOut, false, watchTime},
	} {
		group.Go(func() { f.follow(ctx, kind) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
			f.sweep()
		}
	}
}

type kindFollower struct {
	kind    string
	replace func(now time.Duration, objects []storer.Object)
	put     func(now time.Duration, event storer.Event)
	tracked bool // its failures decide whether entries lapse
	wait    time.Duration
}

func (f *Follower) follow(ctx context.Context, kind kindFollower) {
	skip := func(raw []byte, err error) {
		f.options.Log.Log(eventlog.EntryRefused, zap.String("kind", kind.kind), zap.Int("bytes", len(raw)), eventlog.Cause(err))
	}
	retry := minRetry
	revision := int64(0)
	for ctx.Err() == nil {
		if f.waits(kind) {
			revision = 0
			pause(ctx, relayPoll)
			continue
		}
		call := f.begin(ctx, kind)
		var err error
		if revision == 0 {
			revision, err = f.relist(call, kind, skip)
		} else {
			revision, err = f.watch(call, kind, revision, skip)
		}
		if call.Err() != nil && ctx.Err() == nil {
			// The controller's copy has taken over, or the store has failed meanwhile.
			revision = 0
			continue
		}
		f.note(kind, err)
		if err == nil {
			retry = minRetry
			pause(ctx, batchDelay)
			continue
		}
		pause(ctx, retry)
		retry = min(maxRetry, 2*retry)
	}
}

// begin returns a context for one call. It ends when the controller's copy takes over.
func (f *Follower) begin(ctx context.Context, kind kindFollower) context.Context {
	call, cancel := context.WithCancel(ctx)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if old := f.cancels[kind.kind]; old != nil {
		old()
	}
	f.cancels[kind.kind] = cancel
	return call
}

// waits reports whether the controller's copy makes a call needless.
func (f *Follower) waits(kind kindFollower) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if kind.kind == translator.ConfigurationKind && (f.config == nil || f.wanted > f.version()) {
		return false
	}
	if _, failing := f.failing[translator.ConfigurationKind]; failing && kind.kind != translator.ConfigurationKind {
		// One kind of call is enough to find out when the store is back.
		return true
	}
	if kind.kind == translator.ConfigurationKind {
		return f.relayed
	}
	return f.relayed || f.options.Now() < f.patience
}

// version returns the version of the configuration in force, or 0. The caller holds the mutex.
func (f *Follower) version() int64 {
	if f.config == nil {
		return 0
	}
	return f.config.Version
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Follower) relist(ctx context.Context, kind kindFollower, skip func([]byte, error)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := f.options.Store.List(ctx, kind.kind, skip)
	if err != nil {
		return 0, err
	}
	f.apply(ctx, kind, func(now time.Duration) { kind.replace(now, list.Objects) })
	return list.Revision, nil
}

// watch waits for changes. After an error it returns the revision to continue from, or 0 for a new list.
func (f *Follower) watch(ctx context.Context, kind kindFollower, revision int64, skip func([]byte, error)) (int64, error) {
	events, next, err := f.options.Store.Watch(ctx, kind.kind, revision, kind.wait, skip)
	if storer.KindOf(err) == storer.Compacted {
		f.options.Log.Log(eventlog.WatchCompacted, zap.String("kind", kind.kind), zap.Int64("revision", revision))
		return f.relist(ctx, kind, skip)
	}
	if err != nil {
		// Changes may have been lost together with the watch.
		return 0, err
	}
	f.apply(ctx, kind, func(now time.Duration) {
		for _, event := range events {
			kind.put(now, event)
		}
	})
	if next == 0 {
		next = revision
	}
	return next, nil
}

// note logs the loss and the return of the store, once each.
func (f *Follower) note(kind kindFollower, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.options.Now()
	since, failing := f.failing[kind.kind]
	switch {
	case err != nil && !failing:
		f.failing[kind.kind] = now
		f.connected = f.relayed
		f.options.Log.Log(eventlog.StoreUnavailable, zap.String("kind", kind.kind), eventlog.Cause(err))
		f.list.MarkUnreachable()
		for other, cancel := range f.cancels {
			if other != kind.kind {
				cancel()
			}
		}
	case err == nil && failing:
		delete(f.failing, kind.kind)
		f.options.Log.Log(eventlog.StoreAvailable, zap.String("kind", kind.kind), zap.Duration("after", now-since))
	}
}

func (f *Follower) apply(ctx context.Context, kind kindFollower, change func(now time.Duration)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := f.options.Now()
	f.connected = true
	if kind.tracked {
		f.list.MarkReachable(now)
	}
	change(now)
	f.publish()
}

// publish makes a new snapshot. The caller holds the mutex.
func (f *Follower) publish() {
	s := &Snapshot{
		Config: f.config, Upstreams: f.list.All(), ByService: map[string][]registrar.Upstream{},
		TakenOut: map[string]time.Duration{}, Draining: map[string]time.Duration{}, Listed: f.listed,
		Revision: f.revision,
	}
	now := f.options.Now()
	for id, u := range s.Upstreams {
		s.ByService[u.Service] = append(s.ByService[u.Service], u)
		if !u.Draining {
			continue
		}
		if _, known := f.draining[id]; !known {
			f.draining[id] = now
		}
		s.Draining[id] = f.draining[id]
	}
	for id := range f.draining {
		if u, ok := s.Upstreams[id]; !ok || !u.Draining {
			delete(f.draining, id)
		}
	}
	for domain, since := range f.takenOut {
		s.TakenOut[domain] = since
	}
	f.snapshot.Store(s)
}

// sweep drops lapsed entries, and notices when the controller's word has become too old.
func (f *Follower) sweep() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.options.Now()
	if f.list.Tick(now) {
		f.publish()
	}
	if f.relayed && now >= f.fresh+relayLife {
		f.relayed, f.connected = false, false
		f.options.Log.Log(eventlog.RelayLost, zap.Duration("age", now-f.fresh))
	}
}

// Relayed reports whether the copy follows that of the controller.
func (f *Follower) Relayed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.relayed
}

// Direct reports whether the copy is read from the store and none of its reads fails.
func (f *Follower) Direct() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.relayed && f.listed && len(f.failing) == 0
}

// Connected reports whether the store or the controller has been heard of, after the last that was lost.
func (f *Follower) Connected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected
}

// StopRelay ends the following of another controller's copy, because this host is the controller.
func (f *Follower) StopRelay() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.relayed = false
	f.patience = 0
}

// Change is a change of the controller's copy, or the whole copy.
type Change struct {
	Full     bool
	Revision int64
	Puts     []registrar.Upstream
	Removed  []string
	TakenOut []string // all failure domains that are taken out
	// Configuration is the newest version of the configuration that the controller has read. Hosts read it themselves,
	// since it may be long.
	Configuration int64
}

// ApplyChange applies what the controller says of its copy. It returns false when the host needs the whole copy.
func (f *Follower) ApplyChange(change Change) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.options.Now()
	f.wanted = max(f.wanted, change.Configuration)
	if change.Full && change.Revision < f.revision {
		// This host has read a newer state itself. It stops reading, so that the controller gets ahead of it.
		f.patience = now + relayLife
		return false
	}
	if !change.Full && !f.relayed {
		return false
	}
	f.fresh = now
	f.connected = true
	if !f.relayed {
		f.relayed = true
		for _, cancel := range f.cancels {
			cancel()
		}
		f.options.Log.Log(eventlog.RelayFollowed, zap.Int64("revision", change.Revision), zap.Int("upstreams", len(change.Puts)))
	}
	if !change.Full && len(change.Puts)+len(change.Removed) == 0 && f.sameTakeOuts(change.TakenOut) {
		return true
	}
	f.revision = max(f.revision, change.Revision)
	f.list.ApplyUpdate(change.Full, change.Puts, change.Removed)
	f.listed = true
	present := map[string]bool{}
	for _, domain := range change.TakenOut {
		present[domain] = true
		f.takeOut(now, domain)
	}
	for domain := range f.takenOut {
		if !present[domain] {
			f.takeBack(domain)
		}
	}
	f.publish()
	return true
}

// sameTakeOuts reports whether exactly the given failure domains are taken out.
func (f *Follower) sameTakeOuts(domains []string) bool {
	for _, domain := range domains {
		if _, ok := f.takenOut[domain]; !ok {
			return false
		}
	}
	return len(domains) == len(f.takenOut)
}

func (f *Follower) decode(now time.Duration, object storer.Object) (registrar.Upstream, bool) {
	f.revision = max(f.revision, object.Revision)
	u, err := translator.Upstream(now, object)
	if err == nil {
		return u, true
	}
	if f.refused[object.Name] != object.Revision {
		const maxRefused = 1024 // bounds the memory that entries of other writers take
		if len(f.refused) >= maxRefused {
			clear(f.refused)
		}
		f.refused[object.Name] = object.Revision
		f.options.Log.Log(eventlog.EntryRefused, zap.String("name", object.Name), zap.Int64("revision", object.Revision), eventlog.Cause(err))
	}
	return registrar.Upstream{}, false
}

func (f *Follower) replaceUpstreams(now time.Duration, objects []storer.Object) {
	var upstreams []registrar.Upstream
	for _, object := range objects {
		if u, ok := f.decode(now, object); ok {
			upstreams = append(upstreams, u)
		}
	}
	f.list.Replace(now, upstreams)
	f.listed = true
}

func (f *Follower) putUpstream(now time.Duration, event storer.Event) {
	if event.Removed {
		f.options.Log.Log(eventlog.UpstreamRemoved, zap.String("upstream", event.Object.Name), zap.Int64("revision", event.Object.Revision))
		f.revision = max(f.revision, event.Object.Revision)
		f.list.Remove(now, event.Object.Name)
		return
	}
	u, ok := f.decode(now, event.Object)
	if !ok {
		f.list.Remove(now, event.Object.Name)
		return
	}
	if old, known := f.list.Get(u.ID); !known || old.Incarnation != u.Incarnation || old.Draining != u.Draining {
		f.options.Log.Log(eventlog.UpstreamListed, zap.String("upstream", u.ID), zap.String("service", u.Service),
			zap.String("address", u.Address), zap.Bool("draining", u.Draining), zap.Int64("revision", event.Object.Revision))
	}
	f.list.Put(u)
}

func (f *Follower) replaceConfiguration(now time.Duration, objects []storer.Object) {
	for _, object := range objects {
		f.putConfiguration(now, storer.Event{Object: object})
	}
}

func (f *Follower) putConfiguration(_ time.Duration, event storer.Event) {
	if event.Removed || event.Object.Name != translator.ConfigurationName {
		return
	}
	config, err := translator.Configuration(event.Object.Specification)
	if err != nil {
		f.options.Log.Log(eventlog.ObjectRefused, zap.String("name", event.Object.Name), eventlog.Cause(err))
		return
	}
	if f.config != nil && config.Version <= f.config.Version {
		return
	}
	f.options.Log.Log(eventlog.ConfigurationChanged, zap.Int64("version", config.Version), zap.Int64("revision", event.Object.Revision))
	f.config = config
}

func (f *Follower) replaceTakeOuts(now time.Duration, objects []storer.Object) {
	present := map[string]bool{}
	for _, object := range objects {
		present[object.Name] = true
		f.takeOut(now, object.Name)
	}
	for domain := range f.takenOut {
		if !present[domain] {
			f.takeBack(domain)
		}
	}
}

func (f *Follower) putTakeOut(now time.Duration, event storer.Event) {
	if event.Removed {
		f.takeBack(event.Object.Name)
		return
	}
	f.takeOut(now, event.Object.Name)
}

func (f *Follower) takeOut(now time.Duration, domain string) {
	if _, known := f.takenOut[domain]; known {
		return
	}
	f.takenOut[domain] = now
	f.options.Log.Log(eventlog.DomainTakenOut, zap.String("failure-domain", domain))
}

func (f *Follower) takeBack(domain string) {
	if _, known := f.takenOut[domain]; !known {
		return
	}
	delete(f.takenOut, domain)
	f.options.Log.Log(eventlog.DomainReturned, zap.String("failure-domain", domain))
}
