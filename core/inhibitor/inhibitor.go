// Package inhibitor decides which upstreams a host must not send requests to because of what they have said in their
// responses.
//
// An upstream that shuts down says so in its responses, the leaving notice, before or without a change of its entry in the store. It
// is avoided at once, and gets no request that a caller sent later than the drain delay after the notice. An upstream that rejects a
// request may also ask for a pause. It gets nothing during the pause. After it, one request at a time shows whether the upstream
// serves again, and hosts begin with that at different times, so that they do not all return at the same moment.
//
// The state belongs to one incarnation of an upstream at one address. A later incarnation, or another upstream at the address,
// begins without any.
//
// # Usage
//
//	i := inhibitor.New(seed)
//	i.RecordLeaving(now, target)              // a response with the leaving notice
//	i.RecordPause(now, target, 3*time.Second) // a rejection with a pause
//	switch v := i.Check(now, arrived, drainDelay, target); v.Decision {
//	case inhibitor.Open:
//		i.RecordSent(now, target)
//	case inhibitor.Avoided: // only if no other upstream can serve the request
//	case inhibitor.Paused: // until v.Wait has passed
//	case inhibitor.Left:
//	}
//	i.RecordServed(sentAt, target) // a response that is no rejection with a pause
//
// An Inhibitor is not safe for concurrent use. Times are durations since an arbitrary origin.
package inhibitor

import (
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/core/identifier"
)

const (
	// MaxPause bounds the first pause of an upstream. A single wrong value would otherwise take the upstream out for hours.
	MaxPause = time.Minute
	// MaxRepeatedPause bounds a pause that follows another one without a served request in between.
	MaxRepeatedPause = 10 * time.Minute
	// Retention is how long a leaving notice counts. An upstream that still runs then does not leave.
	Retention = 10 * time.Minute
	// DefaultBound bounds the incarnations with state. The oldest state is dropped beyond it.
	DefaultBound = 8192
	// maxSpread bounds the time by which a host returns later than the end of a pause, and spreadShare is the same as a share of
	// the pause.
	maxSpread   = 400 * time.Millisecond
	spreadShare = 0.2
	// trialInterval is the time between two requests to an upstream after a pause, until one is served.
	trialInterval = 100 * time.Millisecond
)

// Target is one incarnation of an upstream at one address.
type Target struct {
	identifier.Incarnation
	Address string
}

// Decision is whether a request may be sent to an upstream.
type Decision int

const (
	// Open means that the request may be sent.
	Open Decision = iota
	// Avoided means that the upstream leaves. The request may be sent if no other upstream can serve it.
	Avoided
	// Paused means that the upstream has asked for a pause.
	Paused
	// Left means that the leaving notice is too old.
	Left
)

// Verdict is the result of Check. Wait is set for Paused: the time until the upstream may get requests again.
type Verdict struct {
	Decision Decision
	Wait     time.Duration
}

type state struct {
	target      Target
	changedAt   time.Duration
	leaving     bool
	leavingAt   time.Duration
	paused      bool // since the last rejection with a pause, until a request is served
	pausedUntil time.Duration
	nextTrial   time.Duration
	maxPause    time.Duration
}

// Inhibitor holds the state of the upstreams that leave or have asked for a pause.
type Inhibitor struct {
	states map[Target]*state
	random *rand.Rand
	bound  int
}

// New returns an Inhibitor without state. seed determines the times at which this host returns to upstreams after pauses.
func New(seed uint64) *Inhibitor {
	return &Inhibitor{states: map[Target]*state{}, random: rand.New(rand.NewPCG(seed, seed)), bound: DefaultBound}
}

// RecordLeaving records a response with a leaving notice. It returns false if that is known.
func (i *Inhibitor) RecordLeaving(now time.Duration, target Target) bool {
	s := i.state(now, target)
	if s.leaving {
		return false
	}
	s.leaving, s.leavingAt = true, now
	return true
}

// RecordPause records a rejection with a pause, of at most MaxPause or MaxRepeatedPause. Pauses of earlier rejections still count. It
// returns false if the upstream was paused already.
func (i *Inhibitor) RecordPause(now time.Duration, target Target, pause time.Duration) bool {
	if pause <= 0 {
		return false
	}
	s := i.state(now, target)
	begins := !s.paused || now >= s.pausedUntil
	switch {
	case !s.paused:
		s.maxPause = MaxPause
	case begins:
		s.maxPause = MaxRepeatedPause
	}
	pause = min(pause, s.maxPause)
	spread := min(maxSpread, time.Duration(spreadShare*float64(pause)))
	end := now + pause + time.Duration(i.random.Float64()*float64(spread))
	s.paused, s.changedAt = true, now
	s.pausedUntil = max(s.pausedUntil, end)
	s.nextTrial = s.pausedUntil
	return begins
}

// Check decides whether a request that arrived at a given time may be sent. drainDelay is how long a leaving upstream accepts
// requests.
func (i *Inhibitor) Check(now, arrived, drainDelay time.Duration, target Target) Verdict {
	s := i.states[target]
	if s == nil {
		return Verdict{}
	}
	if s.leaving && now >= s.leavingAt+Retention {
		s.leaving = false
	}
	switch {
	case s.leaving && arrived > s.leavingAt+drainDelay:
		return Verdict{Decision: Left}
	case s.paused && now < s.nextTrial:
		return Verdict{Decision: Paused, Wait: s.nextTrial - now}
	case s.leaving:
		return Verdict{Decision: Avoided}
	}
	return Verdict{}
}

// RecordSent records that a request is sent. After a pause, the next one follows when it was served, or after trialInterval.
func (i *Inhibitor) RecordSent(now time.Duration, target Target) {
	if s := i.states[target]; s != nil && s.paused {
		s.nextTrial = now + trialInterval
	}
}

// RecordServed records that a request that was sent at a given time was not rejected with a pause.
func (i *Inhibitor) RecordServed(sentAt time.Duration, target Target) {
	// The response to a request that was sent before the pause does not end it.
	if s := i.states[target]; s != nil && s.paused && sentAt >= s.pausedUntil {
		s.paused = false
	}
}

// Leaving returns the incarnations that are known to leave, and for how long.
func (i *Inhibitor) Leaving(now time.Duration) map[Target]time.Duration {
	leaving := map[Target]time.Duration{}
	for target, s := range i.states {
		if s.leaving {
			leaving[target] = now - s.leavingAt
		}
	}
	return leaving
}

// IsEmpty reports whether no upstream has any state, so that Check returns Open for all.
func (i *Inhibitor) IsEmpty() bool { return len(i.states) == 0 }

// Sweep removes state that has no effect any more.
func (i *Inhibitor) Sweep(now time.Duration) {
	for target, s := range i.states {
		leaves := s.leaving && now < s.leavingAt+Retention
		pauses := s.paused && now < s.pausedUntil+Retention
		if !leaves && !pauses {
			delete(i.states, target)
		}
	}
}

func (i *Inhibitor) state(now time.Duration, target Target) *state {
	if s := i.states[target]; s != nil {
		return s
	}
	if len(i.states) >= i.bound {
		i.dropOldest()
	}
	s := &state{target: target, changedAt: now}
	i.states[target] = s
	return s
}

func (i *Inhibitor) dropOldest() {
	var oldest *state
	for _, s := range i.states {
		if oldest == nil || s.changedAt < oldest.changedAt {
			oldest = s
		}
	}
	delete(i.states, oldest.target)
}
