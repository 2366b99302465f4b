package follower

import (
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

func (f *Follower) replaceTakeOuts(now time.Duration, objects []storer.Object) {
	present := map[string]bool{}
	for _, object := range objects {
		present[object.Name] = true
		f.takeOut(object.Name)
	}
	for domain := range f.takenOut {
		if !present[domain] {
			f.beginReturn(now, domain)
		}
	}
}

func (f *Follower) putTakeOut(now time.Duration, event storer.Event) {
	if event.Removed {
		f.beginReturn(now, event.Object.Name)
		return
	}
	f.takeOut(event.Object.Name)
}

func (f *Follower) takeOut(domain string) {
	delete(f.returning, domain)
	if _, known := f.takenOut[domain]; known {
		return
	}
	f.takenOut[domain] = f.recency.begin(translator.TakeOutKind, domain)
	f.options.Log.Log(eventlog.DomainTakenOut, zap.String("failure-domain", domain),
		zap.Duration("age", f.options.Now()-f.takenOut[domain]))
}

// beginReturn records that the store no longer lists a failure domain as taken out. Its upstreams may have become cold shortly before,
// so it stays taken out until they have been read again. A list of them begins at once, because a watch returns only with
// the next change.
func (f *Follower) beginReturn(now time.Duration, domain string) {
	if _, known := f.takenOut[domain]; !known {
		return
	}
	if _, known := f.returning[domain]; known {
		return
	}
	f.returning[domain] = now
	if call := f.calls[translator.UpstreamKind]; call != nil {
		call.interrupt()
	}
}

// awaitsUpstreams reports whether a failure domain returns as soon as a list of the upstreams was read.
func (f *Follower) awaitsUpstreams() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.returning) > 0
}

// endReturns puts the failure domains into use whose return was read by the time from which the upstreams have been read. The caller
// holds the mutex.
func (f *Follower) endReturns(upstreamsReadAt time.Duration) {
	for domain, at := range f.returning {
		if at <= upstreamsReadAt {
			f.clearTakeOut(domain)
		}
	}
}

func (f *Follower) clearTakeOut(domain string) {
	delete(f.returning, domain)
	if _, known := f.takenOut[domain]; !known {
		return
	}
	delete(f.takenOut, domain)
	f.options.Log.Log(eventlog.DomainReturned, zap.String("failure-domain", domain))
}
