// Package executor decides whether a request runs now or is shed, by a limit on the number of requests that run at
// once. After a cold start the limit is 1. It rises by one after each 20 completed requests, up to the number of slots.
//
// Usage:
//
//	exec := executor.New(executor.Options{Slots: 6})
//	switch exec.Begin() {
//	case executor.Run:
//		defer exec.End(true)
//	}
package executor

import "sync"

// warmUpStepRequests is the number of completed requests after which the limit of a cold upstream rises by one.
const warmUpStepRequests = 20

// Decision is the result of Begin for one request.
type Decision int

// Decisions of Begin.
const (
	// Run admits the request; End must follow.
	Run Decision = iota
	// Shed rejects the request because all slots are in use; EndShed must follow.
	Shed
	// ShedCold rejects the request because the limit, still below the number of slots, is reached; EndShed must follow.
	ShedCold
	// Crash means that the load of a fragile upstream exceeds twice its limit.
	Crash
)

// Options configure an Executor.
type Options struct {
	Slots int
	// Warm starts with a limit equal to Slots.
	Warm bool
	// Fragile makes the upstream crash when its load, running and shed requests together, exceeds twice the limit.
	Fragile bool
}

// Peaks are maxima since the start of the process.
type Peaks struct {
	// InFlight is the maximum number of requests that ran at once.
	InFlight int
	// OverCapacity is the maximum excess of the load, running and shed requests together, over the limit.
	OverCapacity int
}

// Executor is safe for concurrent use.
type Executor struct {
	mu        sync.Mutex
	options   Options
	limit     int
	completed int
	running   int
	shedding  int
	peaks     Peaks
}

// New returns an executor without running requests. Its limit is 1 unless Options.Warm is set.
func New(options Options) *Executor {
	e := &Executor{options: options, limit: 1}
	if options.Warm {
		e.limit = options.Slots
	}
	return e
}

// Begin admits or sheds a request. The caller must call End or EndShed according to the decision.
func (e *Executor) Begin() Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.running + e.shedding + 1
	e.peaks.OverCapacity = max(e.peaks.OverCapacity, load-e.limit)
	if e.options.Fragile && load > 2*e.limit {
		return Crash
	}
	if e.running < e.limit {
		e.running++
		e.peaks.InFlight = max(e.peaks.InFlight, e.running)
		return Run
	}
	e.shedding++
	if e.limit < e.options.Slots {
		return ShedCold
	}
	return Shed
}

// End frees the slot of a running request. Only requests with completed set count towards the warm-up.
func (e *Executor) End(completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if !completed || e.limit >= e.options.Slots {
		return
	}
	e.completed++
	if e.completed >= warmUpStepRequests {
		e.completed = 0
		e.limit++
	}
}

// EndShed removes a shed request from the load.
func (e *Executor) EndShed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding--
}

// ResetWarmUp sets the limit back to 1, as after a cold start. Running requests continue.
func (e *Executor) ResetWarmUp() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = 1
	e.completed = 0
}

// InFlight returns the number of running requests.
func (e *Executor) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Peaks returns the maxima so far.
func (e *Executor) Peaks() Peaks {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peaks
}
