package admitter

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// neverRepeatWeight is how many requests that are never repeated are dispatched per other request while both kinds wait.
const neverRepeatWeight = 2

type lane int

const (
	neverRepeat lane = iota
	others
	lanes
)

type entry struct {
	id           ID
	class        configurator.Class
	fence        slicer.Fence
	deadline     time.Duration
	signature    uint64
	key          uint64
	hasKey       bool
	offeredAt    time.Duration
	waiting      bool // for its slice or the lease, since waitingSince
	waitingSince time.Duration
}

// queue holds the queued requests in two FIFO lanes: one for requests that are never repeated, one for all others.
type queue struct {
	lanes       [lanes][]entry
	consecutive int // requests taken in a row from the never-repeat lane while the other lane was not empty
}

func laneOf(class configurator.Class) lane {
	if class == configurator.NeverRepeat {
		return neverRepeat
	}
	return others
}

func (q *queue) len() int {
	return len(q.lanes[neverRepeat]) + len(q.lanes[others])
}

// accepts reports whether an entry fits. One lane may use three quarters of the queue, and requests that wait for a
// slice or the lease may use half of it, so that neither kind blocks the others.
func (q *queue) accepts(entry entry, bound int) bool {
	if q.len() >= bound || len(q.lanes[laneOf(entry.class)]) >= max(bound*3/4, 1) {
		return false
	}
	return !entry.waiting || q.waiting() < max(bound/2, 1)
}

func (q *queue) waiting() int {
	count := 0
	for _, entries := range q.lanes {
		for i := range entries {
			if entries[i].waiting {
				count++
			}
		}
	}
	return count
}

// ahead estimates how many queued requests are dispatched before a new one of class.
func (q *queue) ahead(class configurator.Class) int {
	own, other := len(q.lanes[neverRepeat]), len(q.lanes[others])
	if laneOf(class) == neverRepeat {
		return own + min(other, own/neverRepeatWeight)
	}
	return other + min(own, (other+1)*neverRepeatWeight)
}

func (q *queue) push(entry entry) {
	lane := laneOf(entry.class)
	q.lanes[lane] = append(q.lanes[lane], entry)
}

// next returns the position of the request to dispatch next.
func (q *queue) next(awaitsSlice func(*entry) bool) (lane, int, bool) {
	first := q.firstEligible(neverRepeat, awaitsSlice)
	second := q.firstEligible(others, awaitsSlice)
	switch {
	case first < 0 && second < 0:
		return 0, 0, false
	case second < 0 || (first >= 0 && q.consecutive < neverRepeatWeight):
		return neverRepeat, first, true
	default:
		return others, second, true
	}
}

func (q *queue) firstEligible(lane lane, awaitsSlice func(*entry) bool) int {
	for i := range q.lanes[lane] {
		if !awaitsSlice(&q.lanes[lane][i]) {
			return i
		}
	}
	return -1
}

func (q *queue) at(lane lane, index int) *entry {
	return &q.lanes[lane][index]
}

// take removes and returns the request at the position from next, and counts it towards the lane weights.
func (q *queue) take(lane lane, index int) entry {
	taken := q.lanes[lane][index]
	q.lanes[lane] = slices.Delete(q.lanes[lane], index, index+1)
	if lane == others || len(q.lanes[others]) == 0 {
		q.consecutive = 0
	} else {
		q.consecutive++
	}
	return taken
}

func (q *queue) find(id ID) (lane, int) {
	for lane := range lanes {
		for i := range q.lanes[lane] {
			if q.lanes[lane][i].id == id {
				return lane, i
			}
		}
	}
	return 0, -1
}

func (q *queue) contains(id ID) bool {
	_, index := q.find(id)
	return index >= 0
}

func (q *queue) remove(id ID) (entry, bool) {
	lane, index := q.find(id)
	if index < 0 {
		return entry{}, false
	}
	removed := q.lanes[lane][index]
	q.lanes[lane] = slices.Delete(q.lanes[lane], index, index+1)
	return removed, true
}

// filter keeps the requests for which keep returns true.
func (q *queue) filter(keep func(*entry) bool) {
	for lane := range lanes {
		kept := q.lanes[lane][:0]
		for i := range q.lanes[lane] {
			if keep(&q.lanes[lane][i]) {
				kept = append(kept, q.lanes[lane][i])
			}
		}
		clear(q.lanes[lane][len(kept):])
		q.lanes[lane] = kept
	}
}
