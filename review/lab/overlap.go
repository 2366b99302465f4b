package lab

import (
	"fmt"
	"time"
)

// keyStep is the distance between the keys that Overlaps examines.
const keyStep = 8

// Overlap is a time in which two upstreams that are up hold the same key.
type Overlap struct {
	Key      int
	First    string
	Second   string
	From, To time.Time
}

func (o Overlap) String() string {
	return fmt.Sprintf("key %d is held by %s and %s for %v", o.Key, o.First, o.Second, o.To.Sub(o.From).Round(time.Millisecond))
}

type interval struct{ from, to time.Time }

// intervals returns the times in which the upstream held the key.
func (u *Upstream) intervals(key int, now time.Time) []interval {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	end := now
	if u.gone {
		end = u.goneAt
	}
	var list []interval
	for _, g := range u.grants {
		if key < g.From || key > g.To {
			continue
		}
		last := len(list) - 1
		switch {
		case last >= 0 && !g.At.After(list[last].to): // a renewal or a release
			list[last].to = g.Until
			if g.Until.IsZero() {
				list[last].to = g.At
			}
		case !g.Until.IsZero():
			list = append(list, interval{g.At, g.Until})
		}
	}
	for i := range list {
		if list[i].to.After(end) {
			list[i].to = end
		}
	}
	return list
}

// Overlaps returns the times of more than limit in which two of the upstreams held the same key, one for each key and pair.
func Overlaps(upstreams []*Upstream, limit time.Duration) []Overlap {
	now := time.Now()
	var found []Overlap
	for key := 0; key < 1<<16; key += keyStep {
		held := make([][]interval, len(upstreams))
		for i, u := range upstreams {
			held[i] = u.intervals(key, now)
		}
		for i := range upstreams {
			for k := i + 1; k < len(upstreams); k++ {
				if o, ok := longest(held[i], held[k]); ok && o.to.Sub(o.from) > limit {
					found = append(found, Overlap{key, upstreams[i].Name(), upstreams[k].Name(), o.from, o.to})
				}
			}
		}
	}
	return found
}

// longest returns the longest time that is part of both lists.
func longest(a, b []interval) (best interval, ok bool) {
	for _, x := range a {
		for _, y := range b {
			from, to := x.from, x.to
			if y.from.After(from) {
				from = y.from
			}
			if y.to.Before(to) {
				to = y.to
			}
			if to.After(from) && (!ok || to.Sub(from) > best.to.Sub(best.from)) {
				best, ok = interval{from, to}, true
			}
		}
	}
	return best, ok
}
