package follower

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/platform/downloader"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

type kindWatcher struct {
	kind           string
	replace        func(now time.Duration, objects []storer.Object)
	put            func(now time.Duration, event storer.Event)
	controlsExpiry bool // successful calls for this kind let entries of upstreams expire again
	// auxiliary is set if the copy counts as current without this kind. Its failures do not end the calls for other kinds.
	auxiliary bool
	wait      time.Duration
	urgent    bool // changes are few and must not wait for batchDelay
	// supersedes is set if there is one object, each version of which replaces the former ones.
	supersedes bool
}

// call is a call of the store in progress.
type call struct {
	context.Context
	cancel context.CancelFunc
	// endsBegun is set if a response that has begun may be ended. That of the configuration may not: it takes most of a second over a
	// small link, and an older version than the applied one has no effect.
	endsBegun bool
	begun     atomic.Bool // the response has begun
}

// interrupt ends the call because its result is not needed any more, or is not expected.
func (c *call) interrupt() {
	if c.endsBegun || !c.begun.Load() {
		c.cancel()
	}
}

// position is where the calls for a kind go on.
type position struct {
	version storer.Version // from which to watch; revision 0: unknown, so a list is needed
	// lists is set if the next call must be a list because further versions may have been written during a long transfer. A watch would
	// return all of them, a list the newest only.
	lists bool
}

func (f *Follower) follow(ctx context.Context, kind kindWatcher) {
	skip := func(raw []byte, err error) {
		f.options.Log.Log(eventlog.EntryRefused, zap.String("kind", kind.kind), zap.Int("bytes", len(raw)), eventlog.Cause(err))
	}
	backoff := minBackoff
	at := position{}
	for ctx.Err() == nil {
		if f.skipsCall(kind) {
			at = position{}
			sleep(ctx, relayPollInterval)
			continue
		}
		call := f.beginCall(ctx, kind)
		// After a panic, the next list replaces what the call may have changed in part.
		next, err := position{}, errors.New("the response of the store could not be handled")
		f.options.Panics.Do("follow-store", func() {
			if at.lists || at.version.Revision == 0 || kind.kind == translator.UpstreamKind && f.awaitsUpstreams() {
				next, err = f.relist(call, kind, at.version, skip)
			} else {
				next, err = f.watch(call, kind, at.version, skip)
			}
		})
		at = next
		if call.Err() != nil && ctx.Err() == nil {
			// The relay has started, or a call for another kind has failed.
			at = position{}
			continue
		}
		f.recordResult(kind, err)
		if err == nil {
			backoff = minBackoff
			if !kind.urgent {
				sleep(ctx, batchDelay)
			}
			continue
		}
		sleep(ctx, backoff)
		backoff = min(maxBackoff, 2*backoff)
	}
}

// beginCall returns a call, which is interrupted when the relay starts or a call for another kind fails.
func (f *Follower) beginCall(ctx context.Context, kind kindWatcher) *call {
	c := &call{endsBegun: kind.kind != translator.ConfigurationKind}
	ctx, c.cancel = context.WithCancel(ctx)
	c.Context = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { c.begun.Store(true) }})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if old := f.calls[kind.kind]; old != nil {
		old.cancel()
	}
	f.calls[kind.kind] = c
	return c
}

// skipsCall reports whether no call for the kind is needed now: the relay replaces it or is awaited, or the calls for
// the configuration detect when the store is available again.
func (f *Follower) skipsCall(kind kindWatcher) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if kind.kind == translator.ConfigurationKind && f.config == nil {
		return false
	}
	if kind.kind == translator.ConfigurationKind && f.announcedVersion > f.configVersion() {
		return f.asksController()
	}
	if _, failing := f.failing[translator.ConfigurationKind]; failing && kind.kind != translator.ConfigurationKind {
		// The calls for the configuration suffice to detect that the store is available again.
		return true
	}
	if kind.kind == translator.ConfigurationKind {
		return f.relayed && f.options.Now() < f.recency.current[kind.kind]+maxConfigurationAge
	}
	return f.relayed || f.options.Now() < f.relayDeadline
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// relist lists the objects of a kind. former is the version up to which their changes are known, with revision 0 if there is none.
func (f *Follower) relist(ctx context.Context, kind kindWatcher, former storer.Version, skip func([]byte, error)) (position, error) {
	sentAt := f.options.Now()
	list, err := f.options.Store.List(ctx, kind.kind, listTimeout, skip)
	f.countRead(kind, list.Transfer, err)
	if err != nil {
		return position{}, err
	}
	next := position{version: list.Version}
	f.apply(ctx, kind, list.Version.Generation, func(now time.Duration) {
		applied := f.configVersion()
		f.recency.list(kind.kind, sentAt)
		f.transfer = list.Transfer
		kind.replace(now, list.Objects)
		if kind.kind == translator.UpstreamKind {
			f.endReturns(sentAt)
		}
		next.lists = f.listsNext(kind, applied)
		if kind.supersedes && former.Revision != 0 && former.Generation == list.Version.Generation && f.configVersion() == applied {
			// If the newest version cannot be decoded, a watch finds the versions before it.
			next.version = former
		}
	})
	return next, nil
}

// watch waits for changes after a version.
func (f *Follower) watch(ctx context.Context, kind kindWatcher, since storer.Version, skip func([]byte, error)) (position, error) {
	sentAt := f.options.Now()
	changes, err := f.options.Store.Watch(ctx, kind.kind, since, kind.wait, skip)
	f.countRead(kind, changes.Transfer, err)
	if storer.KindOf(err) == storer.Compacted {
		f.options.Log.Log(eventlog.WatchCompacted, zap.String("kind", kind.kind), zap.Int64("revision", since.Revision), eventlog.Cause(err))
		return f.relist(ctx, kind, storer.Version{}, skip)
	}
	if err != nil {
		// The store may have lost changes together with the watch.
		return position{}, err
	}
	next := position{version: changes.Version}
	if changes.Version.Revision == 0 {
		next.version = since
	}
	f.apply(ctx, kind, changes.Version.Generation, func(now time.Duration) {
		applied := f.configVersion()
		f.recency.events(kind.kind, watchConfirmedAt(sentAt, now, kind.wait, len(changes.Events)), now)
		f.transfer = changes.Transfer
		f.putAll(now, kind, changes.Events)
		next.lists = f.listsNext(kind, applied)
	})
	return next, nil
}

// listsNext reports whether a list follows a response, see position. applied is the version before the response. A host that follows
// a controller gets the next version from that. The caller holds the mutex.
func (f *Follower) listsNext(kind kindWatcher, applied int64) bool {
	return kind.supersedes && !f.relayed && f.transfer.Taken > longTransfer && f.configVersion() > applied
}

// putAll applies the events of a watch, in their order. Of several versions of the configuration it decodes the newest valid one only.
func (f *Follower) putAll(now time.Duration, kind kindWatcher, events []storer.Event) {
	if !kind.supersedes {
		for _, event := range events {
			kind.put(now, event)
		}
		return
	}
	applied := f.configVersion()
	for _, event := range slices.Backward(events) {
		if kind.put(now, event); f.configVersion() > applied {
			return
		}
	}
}

func (f *Follower) countRead(kind kindWatcher, transfer downloader.Transfer, err error) {
	if kind.kind == translator.ConfigurationKind && !errors.Is(err, context.Canceled) {
		f.options.OnConfigurationRead("store", transfer, err)
	}
}

// watchConfirmedAt returns the latest time at which the store is known to have sent the response to a watch. The response may have
// been in transit since then. One without events is sent at the end of the wait, any other one at any time.
func watchConfirmedAt(sentAt, now, wait time.Duration, events int) time.Duration {
	if end := sentAt + wait; events == 0 && end <= now {
		return end
	}
	return sentAt
}

// recordResult handles the result of a call. It logs only the first failure in a row and the first success after it, except
// for auxiliary kinds, which are not called while the store is unavailable.
func (f *Follower) recordResult(kind kindWatcher, err error) {
	if kind.auxiliary {
		if err != nil {
			f.options.Log.Log(eventlog.StoreUnavailable, zap.String("kind", kind.kind), eventlog.Cause(err))
		}
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.options.Now()
	since, failing := f.failing[kind.kind]
	if err != nil {
		f.list.MarkUnreachable(now)
	}
	switch {
	case err != nil && !failing:
		f.failing[kind.kind] = now
		f.connected = f.relayed
		f.options.Log.Log(eventlog.StoreUnavailable, zap.String("kind", kind.kind), eventlog.Cause(err))
		for other, call := range f.calls {
			if other != kind.kind {
				call.interrupt()
			}
		}
	case err == nil && failing:
		delete(f.failing, kind.kind)
		f.options.Log.Log(eventlog.StoreAvailable, zap.String("kind", kind.kind), zap.Duration("after", now-since))
	}
}

// apply applies a response of a generation of the store.
func (f *Follower) apply(ctx context.Context, kind kindWatcher, generation int64, change func(now time.Duration)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := f.options.Now()
	f.connected = f.connected || !kind.auxiliary
	f.beginGeneration(now, generation)
	if kind.controlsExpiry {
		f.list.MarkReachable(now)
	}
	change(now)
	f.publish()
	f.publishConfirmation()
}
