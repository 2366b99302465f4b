// Package sequencer runs events in virtual time, so that tests need not wait and always see the same order. A Queue
// is not safe for concurrent use.
//
// # Usage
//
//	var queue sequencer.Queue
//	queue.After(time.Second, func() { ... })
//	queue.Advance(step) // runs the events that are due
package sequencer

import "time"

type event struct {
	at  time.Duration
	run func()
}

// Queue holds pending events. The zero value is an empty queue at time 0.
type Queue struct {
	Now    time.Duration // since the start of the test
	events []event
}

// After schedules run for the first step that ends at Now + d or later.
func (q *Queue) After(d time.Duration, run func()) {
	q.events = append(q.events, event{q.Now + d, run})
}

// Advance adds step to Now and runs the events that are due, in the order in which they were scheduled. Events that
// these schedule wait for the next step.
func (q *Queue) Advance(step time.Duration) {
	q.Now += step
	due := q.events
	q.events = nil
	for _, e := range due {
		if e.at <= q.Now {
			e.run()
			continue
		}
		q.events = append(q.events, e)
	}
}
