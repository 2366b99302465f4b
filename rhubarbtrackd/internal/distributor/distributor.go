// Package distributor connects the relay tree of one host with its connections and the store. It owns the relayer,
// maintains the list of hosts, and watches the configuration in the store while this host is a root of the tree.
//
// One goroutine, that of Run, owns the state. Events reach it through a bounded queue. When the queue is full, Enqueue
// and SetState drop the event and count it. No state of the tree is lost, because peers synchronize again by digest.
// Changes of the configuration and of the host list wait for space instead.
//
// # Usage
//
//	d := distributor.New(options)
//	go d.Run(ctx)
//	d.Publish(item)
package distributor

import (
	"context"
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

const (
	queueSize = 4096
	// tickInterval is the longest delay of a repeated leader heartbeat on each hop. With at most five hops, the total
	// stays well below the 3 s after which a heartbeat expires.
	tickInterval     = 200 * time.Millisecond
	hostListInterval = 2 * time.Second
	// connectedPollDivisor makes a host that has a parent read the platform's host list only once in this many polls, so
	// that the load on the platform hardly grows with the number of hosts.
	connectedPollDivisor = 30
	storeTimeout         = 2 * time.Second
	watchRetry           = 500 * time.Millisecond
	// lossGracePeriod gives a host that changes its parent time to announce itself before it is declared dead.
	lossGracePeriod = 2 * time.Second

	configPrefix = "config/"
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	Unsupported Kind = iota + 1
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

// Options configure a Distributor. All functions except Dropped are called from the goroutine of Run.
type Options struct {
	Self      framer.Member
	StartTime uint64 // wall clock in ns at the start of the process, orders the incarnations of this host
	Seed      uint64
	Clock     func() time.Duration

	Dial       func(peer, address string)
	Disconnect func(peer string)
	Send       func(peer string, frame relayer.Frame)
	Deliver    func(item relayer.Item)
	Members    func(members []framer.Member, listed map[string]bool) // listed: names in the platform's host list
	Dropped    func()                                                // called when the queue is full
	Store      *storer.Client
	Log        *eventlog.Logger
}

// Distributor is safe for concurrent use.
type Distributor struct {
	options        Options
	queue          chan any
	relayer        *relayer.Relayer
	members        map[string]framer.Member
	versions       map[string]relayer.Version
	listed         map[string]framer.Member
	suspects       map[string]time.Duration // time at which the connection to a child was lost
	selfSeq        uint64
	announced      relayer.Version // version of the latest announcement of this host
	membersChanged bool            // since the last tick; batches the thousands of changes when all hosts start
	stopWatch      context.CancelFunc
	lastPoll       time.Duration
	polls          int

	progress  atomic.Pointer[[]relayer.RevisionCount]
	connected atomic.Bool
}

// task is a function that the goroutine of Run executes.
type task func(now time.Duration)

// New returns a distributor that processes no events before Run is called.
func New(options Options) *Distributor {
	return &Distributor{
		options:  options,
		queue:    make(chan any, queueSize),
		relayer:  relayer.New(relayer.Options{Self: options.Self.Name, Seed: options.Seed, Patch: applyDelta}),
		members:  map[string]framer.Member{},
		versions: map[string]relayer.Version{},
		listed:   map[string]framer.Member{},
		suspects: map[string]time.Duration{},
	}
}

// applyDelta applies the delta of a table. Items of other kinds have no deltas.
func applyDelta(key relayer.Key, base, delta []byte) ([]byte, error) {
	if key.Kind != relayer.Table {
		return nil, &Error{Op: "apply delta", Kind: Unsupported, Err: errors.Newf("items of kind %d have no deltas", key.Kind)}
	}
	return framer.PatchTable(base, delta)
}

// Enqueue queues an event of the relayer. It does not block: if the queue is full, the event is dropped.
func (d *Distributor) Enqueue(event relayer.Event) {
	select {
	case d.queue <- event:
	default:
		d.options.Dropped()
	}
}

// Publish distributes an item of this host to all hosts.
func (d *Distributor) Publish(item relayer.Item) {
	d.Enqueue(relayer.Published{Item: item})
}

// PublishDelta distributes an item of this host like Publish, but sends only the delta to hosts that have its base.
func (d *Distributor) PublishDelta(item relayer.Item, delta relayer.Delta) {
	d.Enqueue(relayer.Published{Item: item, Delta: &delta})
}

// Progress returns the number of hosts by applied configuration revision, as known to this host at the last tick.
func (d *Distributor) Progress() []relayer.RevisionCount {
	if counts := d.progress.Load(); counts != nil {
		return *counts
	}
	return nil
}

// Connected reports whether this host was part of the tree at the last tick.
func (d *Distributor) Connected() bool { return d.connected.Load() }

// SetState announces a new state of this host, which determines whether it may be assigned roles.
func (d *Distributor) SetState(state framer.MemberState) {
	select {
	case d.queue <- task(func(now time.Duration) {
		if d.options.Self.State != state {
			d.options.Self.State = state
			d.announce(now)
		}
	}):
	default:
		d.options.Dropped()
	}
}

// Run processes events until ctx is done.
func (d *Distributor) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	now := d.options.Clock()
	d.listed[d.options.Self.Name] = d.options.Self
	d.announce(now)
	d.poll(ctx, now)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.tick(ctx, d.options.Clock())
		case event := <-d.queue:
			now := d.options.Clock()
			switch e := event.(type) {
			case relayer.Event:
				d.step(now, e)
			case task:
				e(now)
			}
		}
	}
}

func (d *Distributor) tick(ctx context.Context, now time.Duration) {
	d.step(now, relayer.Ticked{})
	if d.membersChanged {
		d.rebuildTree(now)
	}
	d.declareDead(now)
	d.updateWatch(ctx)
	d.connected.Store(d.relayer.Connected())
	counts := d.relayer.Progress()
	d.progress.Store(&counts)
	if now-d.lastPoll >= hostListInterval {
		d.poll(ctx, now)
	}
}

func (d *Distributor) step(now time.Duration, event relayer.Event) {
	for _, action := range d.relayer.Step(now, event) {
		switch a := action.(type) {
		case relayer.Dial:
			d.dial(a.Peer)
		case relayer.Disconnect:
			d.options.Disconnect(a.Peer)
		case relayer.Send:
			d.options.Send(a.Peer, a.Frame)
		case relayer.Deliver:
			d.deliver(now, a.Item)
		case relayer.ChildLost:
			d.suspects[a.Peer] = now
		}
	}
	if up, ok := event.(relayer.PeerUp); ok && up.Outbound {
		// The new parent may not have received the last announcement of this host.
		d.announce(now)
	}
}

func (d *Distributor) dial(peer string) {
	address := d.members[peer].Address
	if address == "" {
		address = d.listed[peer].Address
	}
	if address == "" {
		d.Enqueue(relayer.PeerDown{Peer: peer})
		return
	}
	d.options.Dial(peer, address)
}

func (d *Distributor) deliver(now time.Duration, item relayer.Item) {
	if item.Kind != relayer.Member {
		d.options.Deliver(item)
		return
	}
	member, err := framer.DecodeMember(item.Body)
	if err != nil {
		d.options.Log.Log(eventlog.FrameRefused, zap.Error(err))
		return
	}
	d.versions[item.Name] = item.Version
	if member.Name == d.options.Self.Name && item.Version != d.announced {
		// Another host declared this host dead, or still has the state of an earlier incarnation.
		d.selfSeq = max(d.selfSeq, item.Version.Seq)
		d.announce(now)
		return
	}
	d.members[member.Name] = member
	delete(d.suspects, member.Name)
	d.membersChanged = true
}

// announce publishes the state of this host with a version above every version received. Announcements have even
// sequence numbers, and declarations that a host is dead have odd ones. If both had the same number, neither would
// replace the other when they are published at the same time.
func (d *Distributor) announce(now time.Duration) {
	body, err := framer.EncodeMember(d.options.Self)
	if err != nil {
		d.options.Log.Log(eventlog.FrameRefused, zap.Error(err))
		return
	}
	d.selfSeq = (d.selfSeq + 2) &^ 1
	version := relayer.Version{Term: max(d.options.StartTime, d.versions[d.options.Self.Name].Term), Seq: d.selfSeq}
	d.announced = version
	key := relayer.Key{Kind: relayer.Member, Name: d.options.Self.Name}
	d.step(now, relayer.Published{Item: relayer.Item{Key: key, Version: version, Body: body}})
}

// declareDead publishes that children are dead which have not announced themselves through another parent within
// lossGracePeriod.
func (d *Distributor) declareDead(now time.Duration) {
	for name, since := range d.suspects {
		if now-since < lossGracePeriod {
			continue
		}
		delete(d.suspects, name)
		member, known := d.members[name]
		if !known || member.State == framer.Dead {
			continue
		}
		member.State = framer.Dead
		body, err := framer.EncodeMember(member)
		if err != nil {
			continue
		}
		version := d.versions[name]
		version.Seq |= 1
		key := relayer.Key{Kind: relayer.Member, Name: name}
		d.step(now, relayer.Published{Item: relayer.Item{Key: key, Version: version, Body: body}})
	}
}

// rebuildTree passes the listed and the announced hosts to the relayer. A host that is listed but has not announced
// itself is included because it may be reachable. A host that was declared dead is excluded until it announces itself.
func (d *Distributor) rebuildTree(now time.Duration) {
	d.membersChanged = false
	known := map[string]framer.Member{}
	for name, member := range d.listed {
		known[name] = member
	}
	for name, member := range d.members {
		known[name] = member
	}
	known[d.options.Self.Name] = d.options.Self
	names := make([]string, 0, len(known))
	all := make([]framer.Member, 0, len(known))
	for name, member := range known {
		if member.State != framer.Dead {
			names = append(names, name)
		}
		all = append(all, member)
	}
	sort.Strings(names)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	listed := make(map[string]bool, len(d.listed))
	for name := range d.listed {
		listed[name] = true
	}
	d.options.Members(all, listed)
	d.step(now, relayer.Hosts{Names: names})
}

// poll reads the platform's host list in the background. A host that has a parent skips most polls.
func (d *Distributor) poll(ctx context.Context, now time.Duration) {
	d.lastPoll = now
	d.polls++
	if d.relayer.Connected() && !d.relayer.IsRoot() && d.polls%connectedPollDivisor != 1 {
		return
	}
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		hosts, err := d.options.Store.Hosts(callCtx)
		if err != nil {
			return
		}
		select {
		case d.queue <- task(func(now time.Duration) { d.applyHostList(now, hosts) }):
		case <-ctx.Done():
		}
	}()
}

func (d *Distributor) applyHostList(now time.Duration, hosts []storer.Host) {
	listed := map[string]framer.Member{d.options.Self.Name: d.options.Self}
	for _, host := range hosts {
		member := framer.Member{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, State: framer.Live}
		if host.Leaving {
			member.State = framer.Leaving
		}
		listed[host.Name] = member
	}
	d.listed = listed
	d.rebuildTree(now)
}

// updateWatch starts the watch of the configuration when this host becomes a root of the tree, and stops it when it no
// longer is one.
func (d *Distributor) updateWatch(ctx context.Context) {
	root := d.relayer.IsRoot()
	if root == (d.stopWatch != nil) {
		return
	}
	if !root {
		d.stopWatch()
		d.stopWatch = nil
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	d.stopWatch = cancel
	go d.watch(watchCtx)
}

func (d *Distributor) watch(ctx context.Context) {
	revision := uint64(0)
	available := true
	for ctx.Err() == nil {
		err := d.watchOnce(ctx, &revision, &available)
		if ctx.Err() != nil {
			return
		}
		if storer.KindOf(err) == storer.Compacted {
			d.options.Log.Log(eventlog.WatchCompacted, zap.Uint64("revision", revision))
			revision = 0
		} else if available {
			available = false
			d.options.Log.Log(eventlog.StoreUnavailable, zap.Error(err))
		}
		// The delay also applies after a compaction: a store that returns stale listings rejects every watch from their
		// revision.
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// watchOnce lists the configuration if there is no revision to resume from, then watches it until an error occurs.
func (d *Distributor) watchOnce(ctx context.Context, revision *uint64, available *bool) error {
	markAvailable := func() {
		if !*available {
			*available = true
			d.options.Log.Log(eventlog.StoreAvailable)
		}
	}
	if *revision == 0 {
		listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		objects, at, err := d.options.Store.List(listCtx, configPrefix)
		cancel()
		if err != nil {
			return err
		}
		markAvailable()
		d.enqueueTask(ctx, func(now time.Duration) { d.applyConfigListing(now, objects, at) })
		*revision = at
	}
	return d.options.Store.Watch(ctx, configPrefix, *revision, func(change storer.Change) {
		markAvailable()
		*revision = max(*revision, change.Version)
		if change.Name != "" {
			d.enqueueTask(ctx, func(now time.Duration) { d.step(now, relayer.Published{Item: configItem(change)}) })
		}
	})
}

// enqueueTask blocks while the queue is full because changes of the configuration must not be dropped.
func (d *Distributor) enqueueTask(ctx context.Context, run task) {
	select {
	case d.queue <- run:
	case <-ctx.Done():
	}
}

// applyConfigListing publishes all listed objects, and a deletion for each object that this host has but the store no
// longer lists.
func (d *Distributor) applyConfigListing(now time.Duration, objects []storer.Object, revision uint64) {
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Name] = true
		d.step(now, relayer.Published{Item: configItem(storer.Change{Object: object})})
	}
	for _, key := range d.relayer.Keys(relayer.Config) {
		item, _ := d.relayer.Item(key)
		if listed[key.Name] || item.Deleted || item.Version.Seq > revision {
			continue
		}
		deletion := storer.Change{Object: storer.Object{Name: key.Name, Version: revision}, Deleted: true}
		d.step(now, relayer.Published{Item: configItem(deletion)})
	}
}

func configItem(change storer.Change) relayer.Item {
	return relayer.Item{
		Key:     relayer.Key{Kind: relayer.Config, Name: change.Name},
		Version: relayer.Version{Seq: change.Version},
		Deleted: change.Deleted,
		Body:    change.Value,
	}
}
