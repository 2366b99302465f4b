package detector

import "time"

const (
	// endingRetention is how long the end of an upstream is compared with interruptions.
	endingRetention = 5 * time.Second
	// maxEndings bounds the ends of upstreams that are kept.
	maxEndings = 4096
)

// endings holds when upstreams have ended lately, by incarnation, whatever requests they ran.
type endings map[string]time.Duration

// add records the end of an upstream. The first observation of it counts. Without room for it, it is left out.
func (e endings) add(now time.Duration, upstream string, at time.Duration) {
	if known, ok := e[upstream]; ok {
		e[upstream] = min(known, at)
		return
	}
	if len(e) >= maxEndings {
		e.expire(now)
	}
	if len(e) < maxEndings {
		e[upstream] = at
	}
}

func (e endings) expire(now time.Duration) {
	for upstream, at := range e {
		if now >= at+endingRetention {
			delete(e, upstream)
		}
	}
}

// countOthers returns the number of upstreams that ended from first to last and are not in except.
func (e endings) countOthers(first, last time.Duration, except map[string]bool) int {
	count := 0
	for upstream, at := range e {
		if at >= first && at <= last && !except[upstream] {
			count++
		}
	}
	return count
}
