// Package isolator decides whether a host is cut off, so that callers are better served by hosts elsewhere.
//
// A host is cut off when it hears neither the controller nor the store, and most requests cannot be sent because their
// upstreams cannot be reached. Each alone is no reason to turn callers away: an outage of the store leaves upstreams in
// reach, and upstreams that fail for every host are served no better elsewhere, as the controller or the store would
// tell.
//
// # Usage
//
//	d := isolator.New()
//	changed := d.Step(now, isolator.Sight{Connected: false, Sent: 2, Unsent: 9}) // several times a second
//	if d.Isolated() { ... }
package partitiondetector

import (
	"math"
	"time"
)

const (
	// confirmation is how long a host has to look cut off before it turns callers away: longer than it takes to hear the
	// store after the controller has ended.
	confirmation = 400 * time.Millisecond
	// memory is the time constant with which outcomes of requests are forgotten: about one poll of the balancer.
	memory = time.Second
	// leastOutcomes is the number of recent outcomes from which their share says something.
	leastOutcomes = 3.0
	// enterShare is the share of requests that cannot be sent above which a host is cut off, and leaveShare the share
	// below which it no longer is. Requests for the few upstreams that a host still reaches come in series.
	enterShare = 0.5
	leaveShare = 0.15
)

// Observation is what a host has seen since the last step.
type Observation struct {
	Connected bool // the controller or the store has been heard of
	Answered  int  // requests that an upstream answered
	Unsent    int  // requests that could not be sent because their upstream cannot be reached
}

// Detector keeps the state of one host. It is not safe for concurrent use.
type Detector struct {
	isolated     bool
	looks        bool
	since        time.Duration // when the host began to look cut off
	at           time.Duration // of the last step
	sent, unsent float64
}

// New returns a detector for a host that is not cut off.
func New() *Detector { return &Detector{} }

// Isolated reports whether the host is cut off.
func (d *Detector) Isolated() bool { return d.isolated }

// Step takes over what was seen. It returns whether the verdict has changed. Without requests, the verdict of a host
// that is not connected stays as it is.
func (d *Detector) Step(now time.Duration, s Observation) bool {
	kept := math.Exp(-float64(now-d.at) / float64(memory))
	if s.Connected {
		// Outcomes from before the loss say nothing about what can be reached after it.
		kept = 0
	}
	d.at = now
	d.sent = d.sent*kept + float64(s.Answered)
	d.unsent = d.unsent*kept + float64(s.Unsent)

	looks := d.looks
	switch {
	case s.Connected:
		looks = false
	case d.sent+d.unsent >= leastOutcomes:
		limit := enterShare
		if d.isolated {
			limit = leaveShare
		}
		looks = d.unsent > limit*(d.sent+d.unsent)
	}
	if looks && !d.looks {
		d.since = now
	}
	d.looks = looks
	isolated := looks && (d.isolated || now >= d.since+confirmation)
	changed := isolated != d.isolated
	d.isolated = isolated
	return changed
}
