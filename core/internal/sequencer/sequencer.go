// Package sequencer runs events in the virtual time of tests.
//
// # Usage
//
//	var queue sequencer.Queue
//	queue.After(time.Second, func() { ... })
//	queue.Advance(step) // runs what is due
package sequencer

import "time"

type event struct {
	at  time.Duration
	run func()
}

// Queue holds events to come. The zero value is an empty queue at time 0.
type Queue struct {
	Now    time.Duration // since the start of the test
	events []event
}

// After queues run for the first step that ends d or more after now.
func (q *Queue) After(d time.Duration, run func()) {
	q.events = append(q.events, event{q.Now + d, run})
}

// Advance lets step pass and runs the events that are due, in the order in which they were queued. Events that these
// queue wait for the next step.
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
