package follower

import (
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

func (f *Follower) decode(now time.Duration, object storer.Object) (registrar.Upstream, bool) {
	f.observeVersion(object.Version())
	u, err := translator.Upstream(now, object)
	if err == nil {
		return u, true
	}
	if f.rejected[object.Name] != object.Revision {
		const maxRejected = 1024 // bounds the memory used by invalid entries that other programs write
		if len(f.rejected) >= maxRejected {
			clear(f.rejected)
		}
		f.rejected[object.Name] = object.Revision
		f.options.Log.Log(eventlog.EntryRefused, zap.String("name", object.Name),
			zap.Int64("revision", object.Revision), eventlog.Cause(err))
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
		f.options.Log.Log(eventlog.UpstreamRemoved, zap.String("upstream", event.Object.Name),
			zap.Int64("revision", event.Object.Revision))
		f.observeVersion(event.Object.Version())
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
			zap.Int64("start", u.Start), zap.String("address", u.Address), zap.Bool("draining", u.Draining), zap.Int64("revision", event.Object.Revision))
	}
	f.list.Put(u)
}

// replaceBlocked passes on the stored blocked requests. One that is missing stays blocked, because the write of its object
// may still be on its way.
func (f *Follower) replaceBlocked(_ time.Duration, objects []storer.Object) {
	var reports []detector.Report
	for _, object := range objects {
		report, err := serializer.DecodeBlocked(time.Now(), object.Name, object.Specification)
		if err != nil {
			f.options.Log.Log(eventlog.ObjectRefused, zap.String("name", eventlog.Shorten(object.Name)), eventlog.Cause(err))
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) > 0 && f.options.OnBlocked != nil {
		f.options.OnBlocked(reports)
	}
}

func (f *Follower) putBlocked(now time.Duration, event storer.Event) {
	if !event.Removed {
		f.replaceBlocked(now, []storer.Object{event.Object})
		return
	}
	if signature, err := serializer.DecodeSignature(event.Object.Name); err == nil && f.options.OnUnblocked != nil {
		f.options.OnUnblocked(signature)
	}
}

// logColdPhases logs the upstreams that are cold and were not in the last snapshot. The caller holds the mutex.
func (f *Follower) logColdPhases(old, s *Snapshot) {
	now := f.options.Now()
	for id, u := range s.Upstreams {
		if former := old.Upstreams[id]; now < u.ColdEnd && (former.Incarnation != u.Incarnation || now >= former.ColdEnd) {
			f.options.Log.Log(eventlog.UpstreamWarming, zap.String("upstream", id), zap.Int64("start", u.Start),
				zap.Duration("left", u.ColdEnd-now), zap.Bool("relayed", f.relayed), zap.Int64("revision", f.version.Revision))
		}
	}
}

// logRemovals logs the upstreams whose entries are missing since the last snapshot. The caller holds the mutex.
func (f *Follower) logRemovals(old, s *Snapshot) {
	for id, end := range f.list.Kept() {
		if !old.Kept[id] {
			f.options.Log.Log(eventlog.UpstreamKept, zap.String("upstream", id), zap.Duration("left", end-f.options.Now()),
				zap.Int64("revision", f.version.Revision))
		}
	}
	for id, u := range old.Upstreams {
		if _, ok := s.Upstreams[id]; !ok {
			f.options.Log.Log(eventlog.UpstreamDropped, zap.String("upstream", id), zap.Int64("start", u.Start),
				zap.Bool("relayed", f.relayed), zap.Int64("revision", f.version.Revision))
		}
	}
}
