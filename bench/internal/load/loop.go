package load

import "time"

// loop is an event loop in virtual time. Events of the same time run in the order in which they were scheduled.
type loop struct {
	now    time.Duration
	seq    uint64
	events []event // heap with heapArity children per element; container/heap would allocate for each event
}

// heapArity is 4 because a flatter heap moves fewer events than a binary one.
const heapArity = 4

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

func (l *loop) after(delay time.Duration, run func()) {
	l.seq++
	l.push(event{at: l.now + delay, seq: l.seq, run: run})
}

// every runs action after each interval until the simulation ends.
func (l *loop) every(interval time.Duration, action func()) {
	l.after(interval, func() {
		action()
		l.every(interval, action)
	})
}

// until runs all events before end and advances the time to end.
func (l *loop) until(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at < end {
		next := l.pop()
		l.now = next.at
		next.run()
	}
	l.now = end
}

func (l *loop) push(e event) {
	l.events = append(l.events, e)
	hole := len(l.events) - 1
	for hole > 0 {
		parent := (hole - 1) / heapArity
		if !e.before(&l.events[parent]) {
			break
		}
		l.events[hole] = l.events[parent]
		hole = parent
	}
	l.events[hole] = e
}

func (l *loop) pop() event {
	first := l.events[0]
	end := len(l.events) - 1
	last := l.events[end]
	l.events[end] = event{}
	l.events = l.events[:end]
	if end > 0 {
		l.siftDown(last)
	}
	return first
}

// siftDown stores e at the free root and restores the heap order.
func (l *loop) siftDown(e event) {
	hole := 0
	for {
		child := l.earliestChild(hole)
		if child < 0 || !l.events[child].before(&e) {
			break
		}
		l.events[hole] = l.events[child]
		hole = child
	}
	l.events[hole] = e
}

// earliestChild returns the index of the earliest child of parent, or -1 if it has none.
func (l *loop) earliestChild(parent int) int {
	child := heapArity*parent + 1
	if child >= len(l.events) {
		return -1
	}
	for other := child + 1; other < min(heapArity*parent+1+heapArity, len(l.events)); other++ {
		if l.events[other].before(&l.events[child]) {
			child = other
		}
	}
	return child
}
