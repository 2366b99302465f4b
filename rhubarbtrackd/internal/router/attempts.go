package router

import (
	"time"

	"rhubarbtrack.example/core/identifier"
)

// attemptWindow is how long the time of an ended attempt bounds that of the next ones. The mean run time of an upstream that has
// become slow follows only over several responses.
const attemptWindow = 10 * time.Second

// attempts holds the times of the attempts of this host at one upstream. A nil one has none.
type attempts struct {
	sentAt  map[*job]time.Duration // of those in progress
	taken   time.Duration          // by the longest of those that ended within the window
	endedAt time.Duration          // when that one ended
}

// longest returns the longest time that an attempt took which ended within the window. It is 0 if there is none.
func (a *attempts) longest(now time.Duration) time.Duration {
	if a == nil || now-a.endedAt > attemptWindow {
		return 0
	}
	return a.taken
}

// exceeds reports whether an attempt in progress has already taken longer than expected.
func (a *attempts) exceeds(now, expected time.Duration) bool {
	if a == nil {
		return false
	}
	for _, sentAt := range a.sentAt {
		if now-sentAt > expected {
			return true
		}
	}
	return false
}

// beginAttempt records that an attempt is in progress. The caller holds the mutex.
func (r *Router) beginAttempt(now time.Duration, j *job, upstream identifier.Incarnation) {
	a := r.attempts[upstream]
	if a == nil {
		a = &attempts{sentAt: map[*job]time.Duration{}}
		r.attempts[upstream] = a
	}
	a.sentAt[j] = now
}

// endAttempt records that an attempt has ended. The caller holds the mutex.
func (r *Router) endAttempt(now time.Duration, j *job, upstream identifier.Incarnation) {
	a := r.attempts[upstream]
	if taken := now - a.sentAt[j]; taken >= a.longest(now) {
		a.taken, a.endedAt = taken, now
	}
	delete(a.sentAt, j)
}
