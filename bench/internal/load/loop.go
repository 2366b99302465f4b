package load

import "time"

// loop runs timed events in virtual time. Events of the same time run in the order in which they were scheduled.
type loop struct {
	now    time.Duration
	seq    uint64
	events []event // binary heap; container/heap would allocate for each event
}

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

// every runs action at each interval until the end of the run.
func (l *loop) every(interval time.Duration, action func()) {
	l.after(interval, func() {
		action()
		l.every(interval, action)
	})
}

// until runs all events before end.
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
	child := len(l.events) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !l.events[child].before(&l.events[parent]) {
			return
		}
		l.events[child], l.events[parent] = l.events[parent], l.events[child]
		child = parent
	}
}

func (l *loop) pop() event {
	first := l.events[0]
	last := len(l.events) - 1
	l.events[0] = l.events[last]
	l.events[last] = event{}
	l.events = l.events[:last]
	l.sink()
	return first
}

func (l *loop) sink() {
	parent := 0
	for {
		child := 2*parent + 1
		if child >= len(l.events) {
			return
		}
		if child+1 < len(l.events) && l.events[child+1].before(&l.events[child]) {
			child++
		}
		if !l.events[child].before(&l.events[parent]) {
			return
		}
		l.events[child], l.events[parent] = l.events[parent], l.events[child]
		parent = child
	}
}
