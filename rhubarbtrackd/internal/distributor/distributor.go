// Package distributor runs the relay tree of one host: it owns the relayer, keeps the list of hosts, and watches the
// store when this host is a root.
//
// One goroutine owns the state. Events reach it over a bounded ring; when the ring is full, the oldest state is not lost,
// because peers synchronise again by digest, so the event is dropped and counted.
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
	ringSize = 4096
	// tickInterval is the longest wait of a repeated beacon on each of at most five hops, well below the 3 s for which a
	// beacon holds.
	tickInterval     = 200 * time.Millisecond
	hostListInterval = 2 * time.Second
	// hostListPatience is how many polls apart a host with a parent reads the platform's list, so that the number of
	// reads hardly grows with the fleet.
	hostListPatience = 30
	storeTimeout     = 2 * time.Second
	watchRetry       = 500 * time.Millisecond
	// lossGrace lets a host that changes its parent announce itself before it is declared lost.
	lossGrace = 2 * time.Second

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

// Options of a distributor. Function fields connect it to the rest of the process.
type Options struct {
	Self      framer.Member
	StartTime uint64 // wall-clock nanoseconds of the start, orders the runs of this host
	Seed      uint64
	Clock     func() time.Duration

	Dial       func(peer, address string)
	Disconnect func(peer string)
	Send       func(peer string, frame relayer.Frame)
	Deliver    func(item relayer.Item)                               // called from the goroutine of Run
	Members    func(members []framer.Member, listed map[string]bool) // called from Run; listed: by the platform
	Dropped    func()                                                // the ring was full
	Store      *storer.Client
	Log        *eventlog.Logger
}

// Distributor joins the relayer with the connections and the store.
type Distributor struct {
	options   Options
	ring      chan any
	relayer   *relayer.Relayer
	members   map[string]framer.Member
	versions  map[string]relayer.Version
	listed    map[string]framer.Member
	suspects  map[string]time.Duration // lost children by the time of the loss
	selfSeq   uint64
	announced relayer.Version // of the latest announcement of this host
	rebuild   bool            // members have changed since the last tick; a fleet that starts changes thousands at once
	watching  context.CancelFunc
	lastPoll  time.Duration
	polls     int

	progress  atomic.Pointer[[]relayer.RevisionCount]
	connected atomic.Bool
}

// call runs a function in the goroutine of Run.
type call func(now time.Duration)

// New returns a distributor that does nothing before Run.
func New(options Options) *Distributor {
	return &Distributor{
		options:  options,
		ring:     make(chan any, ringSize),
		relayer:  relayer.New(relayer.Options{Self: options.Self.Name, Seed: options.Seed, Patch: patch}),
		members:  map[string]framer.Member{},
		versions: map[string]relayer.Version{},
		listed:   map[string]framer.Member{},
		suspects: map[string]time.Duration{},
	}
}

// patch applies deltas; only tables have them.
func patch(key relayer.Key, held, delta []byte) ([]byte, error) {
	if key.Kind != relayer.Table {
		return nil, &Error{Op: "apply delta", Kind: Unsupported, Err: errors.Newf("items of kind %d have no deltas", key.Kind)}
	}
	return framer.PatchTable(held, delta)
}

// Enqueue queues an event of the relayer.
func (d *Distributor) Enqueue(event relayer.Event) {
	select {
	case d.ring <- event:
	default:
		d.options.Dropped()
	}
}

// Publish floods an item that originates at this host.
func (d *Distributor) Publish(item relayer.Item) {
	d.Enqueue(relayer.Published{Item: item})
}

// PublishDelta floods an item that originates at this host as the change that leads to it.
func (d *Distributor) PublishDelta(item relayer.Item, delta relayer.Delta) {
	d.Enqueue(relayer.Published{Item: item, Delta: &delta})
}

// Progress returns how many hosts have which configuration revision in force, as far as this host knows.
func (d *Distributor) Progress() []relayer.RevisionCount {
	if counts := d.progress.Load(); counts != nil {
		return *counts
	}
	return nil
}

// Connected reports whether this host is part of the tree.
func (d *Distributor) Connected() bool { return d.connected.Load() }

// SetState announces whether this host may take roles.
func (d *Distributor) SetState(state framer.MemberState) {
	select {
	case d.ring <- call(func(now time.Duration) {
		if d.options.Self.State != state {
			d.options.Self.State = state
			d.announce(now)
		}
	}):
	default:
		d.options.Dropped()
	}
}

// Run owns the state until ctx is done.
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
		case event := <-d.ring:
			now := d.options.Clock()
			switch e := event.(type) {
			case relayer.Event:
				d.step(now, e)
			case call:
				e(now)
			}
		}
	}
}

func (d *Distributor) tick(ctx context.Context, now time.Duration) {
	d.step(now, relayer.Ticked{})
	if d.rebuild {
		d.hostsChanged(now)
	}
	d.declareLost(now)
	d.watchIfRoot(ctx)
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
		// A new parent may have missed that this host is alive.
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
		// Another host declared this one lost, or holds a state of an earlier run.
		d.selfSeq = max(d.selfSeq, item.Version.Seq)
		d.announce(now)
		return
	}
	d.members[member.Name] = member
	delete(d.suspects, member.Name)
	d.rebuild = true
}

// announce publishes the state of this host above every version seen. Announcements have even numbers and declarations of
// a loss odd ones: with equal numbers, neither would replace the other where both were published at the same time.
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

// declareLost publishes the loss of children that did not announce themselves through another parent.
func (d *Distributor) declareLost(now time.Duration) {
	for name, since := range d.suspects {
		if now-since < lossGrace {
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

// hostsChanged rebuilds the tree from the listed and the announced hosts. A host that only the platform lists may be
// reachable; one that was declared lost is left out until it announces itself.
func (d *Distributor) hostsChanged(now time.Duration) {
	d.rebuild = false
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

// poll reads the platform's host list in the background: often while this host is not part of the tree, rarely after.
func (d *Distributor) poll(ctx context.Context, now time.Duration) {
	d.lastPoll = now
	d.polls++
	if d.relayer.Connected() && !d.relayer.IsRoot() && d.polls%hostListPatience != 1 {
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
		case d.ring <- call(func(now time.Duration) { d.takeList(now, hosts) }):
		case <-ctx.Done():
		}
	}()
}

func (d *Distributor) takeList(now time.Duration, hosts []storer.Host) {
	listed := map[string]framer.Member{d.options.Self.Name: d.options.Self}
	for _, host := range hosts {
		member := framer.Member{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, State: framer.Live}
		if host.Leaving {
			member.State = framer.Leaving
		}
		listed[host.Name] = member
	}
	d.listed = listed
	d.hostsChanged(now)
}

// watchIfRoot starts or stops the watch of the configuration as this host becomes or ceases to be a root.
func (d *Distributor) watchIfRoot(ctx context.Context) {
	root := d.relayer.IsRoot()
	if root == (d.watching != nil) {
		return
	}
	if !root {
		d.watching()
		d.watching = nil
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	d.watching = cancel
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
		// Also after a compaction: a store whose listings are stale refuses every watch from their revision.
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// watchOnce lists the configuration if there is no revision to resume from, then follows the changes.
func (d *Distributor) watchOnce(ctx context.Context, revision *uint64, available *bool) error {
	seen := func() {
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
		seen()
		d.queue(ctx, func(now time.Duration) { d.takeListing(now, objects, at) })
		*revision = at
	}
	return d.options.Store.Watch(ctx, configPrefix, *revision, func(change storer.Change) {
		seen()
		*revision = max(*revision, change.Version)
		if change.Name != "" {
			d.queue(ctx, func(now time.Duration) { d.step(now, relayer.Published{Item: configItem(change)}) })
		}
	})
}

// queue waits for room in the ring, since changes of the configuration must not be dropped.
func (d *Distributor) queue(ctx context.Context, run call) {
	select {
	case d.ring <- run:
	case <-ctx.Done():
	}
}

// takeListing publishes all listed objects, and the deletion of objects that are held here but no longer exist.
func (d *Distributor) takeListing(now time.Duration, objects []storer.Object, revision uint64) {
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
		gone := storer.Change{Object: storer.Object{Name: key.Name, Version: revision}, Deleted: true}
		d.step(now, relayer.Published{Item: configItem(gone)})
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
