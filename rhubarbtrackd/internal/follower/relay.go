package follower

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// endRelay makes this host read the store itself. age is that of the controller's last confirmation. The caller holds the
// mutex.
func (f *Follower) endRelay(age time.Duration) {
	if f.relayed {
		f.relayed, f.connected = false, false
		f.options.Log.Log(eventlog.RelayLost, zap.Duration("age", age))
	}
}

// Relayed reports whether the copy is currently updated from the relay.
func (f *Follower) Relayed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.relayed
}

// Direct reports whether the copy is read from the store and no kind of read is failing.
func (f *Follower) Direct() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.relayed && f.listed && len(f.failing) == 0
}

// StopRelay makes this host read the store itself. It is called when this host becomes the controller.
func (f *Follower) StopRelay() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.relayed, f.controllerVersion = false, 0
	f.relayDeadline = 0
	f.publishConfirmation()
}

// Change is a change to the controller's copy, or the full copy.
type Change struct {
	Full     bool  // Puts holds all upstreams
	Revision int64 // Snapshot.Revision of the controller
	// Generation is Snapshot.Generation of the controller. Controllers of earlier versions send 0.
	Generation int64
	Puts       []registrar.Upstream
	Removed    []string
	TakenOut   []string // all failure domains that are taken out
	// Configuration is the newest version of the configuration that the controller has read. Hosts read the
	// configuration itself from the store, because it may be long.
	Configuration int64
	// Age is the age of the controller's configuration, see ConfirmedAt. A controller that waits for a store that hangs still
	// confirms its copy. DrainAges and TakeOutAges are the longest times for which upstreams of Puts may have been
	// draining and failure domains of TakenOut have been taken out. Controllers of earlier versions send none of these.
	Age         time.Duration
	DrainAges   map[string]time.Duration
	TakeOutAges map[string]time.Duration
	// Kept holds the upstreams of Snapshot.Kept. Controllers of earlier versions do not send it.
	Kept []string
	// Base is the digest of the copy that a change applies to, if the controller resumes the relay on it without a full copy.
	Base uint64
	// MadeAt is the earliest time at which the controller may have made the change, on the clock of Options.Now; 0 stands for
	// the time of ApplyChange.
	MadeAt time.Duration
}

// ApplyChange applies a change to the controller's copy. It returns false when the host needs the full copy.
func (f *Follower) ApplyChange(change Change) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	defer f.publishConfirmation()
	now := f.options.Now()
	madeAt := now
	if change.MadeAt > 0 {
		madeAt = min(now, change.MadeAt)
	}
	f.logDelay(now-madeAt, change)
	f.announce(now, change)
	if now >= madeAt+relayTimeout {
		// A full copy would arrive as late, and delay others.
		f.endRelay(now - madeAt)
		return true
	}
	version := storer.Version{Generation: cmp.Or(change.Generation, f.version.Generation), Revision: change.Revision}
	if change.Full && version.Before(f.version) {
		// This host has read a newer state from the store. It pauses its reads so that the controller can catch up.
		f.relayDeadline = now + relayTimeout
		return false
	}
	if !change.Full && !f.hasBase(change) {
		f.needsFull = f.needsFull || change.Base != 0
		return false
	}
	if change.Full || change.Base != 0 {
		f.needsFull = false
	}
	f.beginGeneration(now, version.Generation)
	f.recency.relay(madeAt, f.configVersion(), change)
	// Otherwise an outage would last until this host's next list, which may be long after it, and entries that were removed
	// in the meantime would be kept.
	f.list.MarkReachable(madeAt - change.Age)
	f.lastRelay = max(f.lastRelay, madeAt)
	f.connected = true
	if change.Base != 0 {
		f.options.Log.Log(eventlog.RelayResumed, zap.Int64("revision", change.Revision), zap.Int("upstreams", len(change.Puts)))
	}
	if !f.relayed {
		f.relayed = true
		f.lacksSince, f.fetchFailed = now, false // another controller may send what the former one did not
		for _, call := range f.calls {
			call.interrupt()
		}
		f.options.Log.Log(eventlog.RelayFollowed, zap.Int64("revision", change.Revision), zap.Int("upstreams", len(change.Puts)))
	}
	if !change.Full && len(change.Puts)+len(change.Removed) == 0 && f.sameTakeOuts(change.TakenOut) {
		return true
	}
	f.observeVersion(version)
	f.list.ApplyUpdate(change.Full, f.withLaterColdEnds(change, f.withoutDropped(change)), change.Removed)
	f.listed = true
	present := map[string]bool{}
	for _, domain := range change.TakenOut {
		present[domain] = true
		f.takeOut(domain)
	}
	for domain := range f.takenOut {
		if !present[domain] {
			f.clearTakeOut(domain)
		}
	}
	f.publish()
	return true
}

// announce records the version of the configuration that the controller has. It counts whether the change is applied or not.
func (f *Follower) announce(now time.Duration, change Change) {
	f.controllerVersion, f.lastHeartbeat = change.Configuration, now
	if f.controllerVersion > f.configVersion() {
		f.wakeFetch()
	}
	if change.Configuration <= f.announcedVersion {
		return
	}
	applied := f.configVersion()
	if f.announcedVersion <= applied && change.Configuration > applied {
		f.lacksSince, f.fetchFailed = now, false
	}
	f.announcedVersion = change.Configuration
	if change.Configuration <= applied {
		return
	}
	f.options.Log.Log(eventlog.ConfigurationAnnounced, zap.Int64("version", change.Configuration), zap.Int64("applied", applied),
		zap.Duration("controller-age", change.Age))
}

// wakeFetch makes followController check whether the controller has a newer version.
func (f *Follower) wakeFetch() {
	select {
	case f.announced <- struct{}{}:
	default:
	}
}

// withoutDropped returns Puts without the upstreams whose entries the controller has found removed and this host does not use any more.
// The controller may keep these because its own calls of the store have failed, while this host has read their removal.
func (f *Follower) withoutDropped(change Change) []registrar.Upstream {
	if !f.listed || len(change.Kept) == 0 {
		return change.Puts
	}
	return slices.DeleteFunc(slices.Clone(change.Puts), func(u registrar.Upstream) bool {
		own, ok := f.list.Get(u.ID)
		return slices.Contains(change.Kept, u.ID) && (!ok || own.Incarnation != u.Incarnation)
	})
}

// withLaterColdEnds returns puts, with the end of the cold phase that this host has if the relay resumes and it is later. Either side
// may have missed the last cold phase.
func (f *Follower) withLaterColdEnds(change Change, puts []registrar.Upstream) []registrar.Upstream {
	if change.Base == 0 {
		return puts
	}
	puts = slices.Clone(puts)
	for i, u := range puts {
		if own, ok := f.list.Get(u.ID); ok && own.Incarnation == u.Incarnation {
			puts[i].ColdEnd = max(own.ColdEnd, u.ColdEnd)
		}
	}
	return puts
}

// logDelay logs when changes begin to arrive late, and when they no longer do.
func (f *Follower) logDelay(delay time.Duration, change Change) {
	if late := delay >= lateDelay; late != f.late {
		f.late = late
		event := eventlog.RelayInTime
		if late {
			event = eventlog.RelayLate
		}
		f.options.Log.Log(event, zap.Duration("age", delay), zap.Duration("controller-age", change.Age))
	}
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
