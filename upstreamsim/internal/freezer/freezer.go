// Package freezer simulates a paused process: while it is frozen, no request makes progress, but time passes, so that
// leases and deadlines expire.
//
// Usage:
//
//	process := freezer.New()
//	process.Freeze(2 * time.Second)
//	process.Wait()
//	finished := process.Run(ctx, serviceTime, deadline)
package freezer

import (
	"context"
	"sync"
	"time"
)

// Freezer is safe for concurrent use.
type Freezer struct {
	mu     sync.Mutex
	frozen bool
	// changed is closed when the process freezes or resumes.
	changed chan struct{}
}

// New returns a process that is not frozen.
func New() *Freezer {
	return &Freezer{changed: make(chan struct{})}
}

// Freeze pauses the process for the duration. On a frozen process it has no effect; it does not extend the pause.
func (f *Freezer) Freeze(duration time.Duration) {
	if !f.set(true) {
		return
	}
	time.AfterFunc(duration, func() { f.set(false) })
}

// Wait blocks while the process is frozen.
func (f *Freezer) Wait() {
	for {
		frozen, changed := f.state()
		if !frozen {
			return
		}
		<-changed
	}
}

// Run blocks for the given running time, not counting the time spent frozen. It returns false when the context was
// cancelled or the deadline channel fired first. A frozen process returns only after it has resumed.
func (f *Freezer) Run(ctx context.Context, work time.Duration, deadline <-chan time.Time) bool {
	for {
		f.Wait()
		_, changed := f.state()
		started := time.Now()
		timer := time.NewTimer(work)
		select {
		case <-timer.C:
			f.Wait()
			return true
		case <-ctx.Done():
			timer.Stop()
			f.Wait()
			return false
		case <-deadline:
			timer.Stop()
			f.Wait()
			return false
		case <-changed:
			timer.Stop()
			work = max(0, work-time.Since(started))
		}
	}
}

func (f *Freezer) state() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen, f.changed
}

func (f *Freezer) set(frozen bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == frozen {
		return false
	}
	f.frozen = frozen
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}
