// Package executor decides how many requests run at once: slots, cold start and shedding.
//
// Usage:
//
//	capacity := executor.New(executor.Options{Slots: 6})
//	switch capacity.Begin() {
//	case executor.Run:
//		defer capacity.End(true)
//	}
package executor

import "sync"

// stepRequests is the number of completed requests after which a cold upstream bears one more at once.
const stepRequests = 20

// Decision says what happens to a request.
type Decision int

// Verdicts of Begin.
const (
	// Run admits the request; End must follow.
	Run Decision = iota
	// Shed refuses the request because all slots are in use; EndShed must follow.
	Shed
	// ShedCold refuses the request because the upstream is still cold; EndShed must follow.
	ShedCold
	// Crash means that a fragile upstream was overloaded.
	Crash
)

// Options configure an Executor.
type Options struct {
	Slots int
	// Warm starts with all slots usable.
	Warm bool
	// Fragile makes the upstream crash above twice the work that it bears.
	Fragile bool
}

// Peaks are the highest numbers seen so far.
type Peaks struct {
	// InFlight is the highest number of requests that ran at once.
	InFlight int
	// OverCapacity is the highest number of requests, running or being refused, above what the upstream bore.
	OverCapacity int
}

// Executor is safe for concurrent use.
type Executor struct {
	mu        sync.Mutex
	options   Options
	bears     int
	completed int
	running   int
	shedding  int
	peaks     Peaks
}

// New returns an executor without running requests.
func New(options Options) *Executor {
	e := &Executor{options: options, bears: 1}
	if options.Warm {
		e.bears = options.Slots
	}
	return e
}

// Begin admits or refuses a request.
func (e *Executor) Begin() Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	pressure := e.running + e.shedding + 1
	e.peaks.OverCapacity = max(e.peaks.OverCapacity, pressure-e.bears)
	if e.options.Fragile && pressure > 2*e.bears {
		return Crash
	}
	if e.running < e.bears {
		e.running++
		e.peaks.InFlight = max(e.peaks.InFlight, e.running)
		return Run
	}
	e.shedding++
	if e.bears < e.options.Slots {
		return ShedCold
	}
	return Shed
}

// End ends a running request. Completed says whether it ran to its end.
func (e *Executor) End(completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if !completed || e.bears >= e.options.Slots {
		return
	}
	e.completed++
	if e.completed >= stepRequests {
		e.completed = 0
		e.bears++
	}
}

// EndShed ends the refusal of a request.
func (e *Executor) EndShed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding--
}

// ResetWarmUp makes the upstream bear one request at once again.
func (e *Executor) ResetWarmUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bears = 1
	e.completed = 0
}

// InFlight returns the number of running requests.
func (e *Executor) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Peaks returns the highest numbers so far.
func (e *Executor) Peaks() Peaks {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peaks
}
