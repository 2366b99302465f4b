package follower

import (
	"time"

	"rhubarbtrack.example/platform/storer"
)

// beginGeneration is called with the generation of the store before its state is applied. A later one is a copy that lacks what
// upstreams have written last, so they register again as after an outage. The caller holds the mutex.
func (f *Follower) beginGeneration(now time.Duration, generation int64) {
	if generation <= f.version.Generation {
		return
	}
	if f.listed {
		f.list.MarkUnreachable(now)
	}
	// Revisions of former generations are given out again.
	f.version = storer.Version{Generation: generation}
	clear(f.rejected)
}

// observeVersion records the version of an entry. The caller holds the mutex.
func (f *Follower) observeVersion(version storer.Version) {
	if f.version.Before(version) {
		f.version = version
	}
}
