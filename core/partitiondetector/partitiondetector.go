// Package partitiondetector detects that a host is isolated by a network partition, so that callers should use hosts
// elsewhere.
//
// A host is isolated when it is connected to neither the controller nor the store and cannot send most requests because
// their upstreams are unreachable. Each condition alone is no reason to reject callers. During an outage of the store,
// upstreams remain reachable. Upstreams that fail for every host are not reachable from elsewhere either. A host that is
// still connected to the controller or the store assumes that its upstreams have failed for every host.
//
// # Usage
//
//	d := partitiondetector.New()
//	observation := partitiondetector.Observation{Connected: false, Answered: 2, Unsent: 9}
//	changed := d.Step(now, observation) // several times a second
//	if d.Isolated() { ... }
package partitiondetector

import (
	"math"
	"time"
)

const (
	// confirmationTime is how long the conditions must hold before a host counts as isolated: longer than it takes to get
	// a response of the store after the controller has stopped.
	confirmationTime = 400 * time.Millisecond
	// decayTime is the time constant with which the counts of requests decay: about one poll interval of the load
	// balancer.
	decayTime = time.Second
	// minOutcomes is the number of recent requests below which the unsent share is not evaluated.
	minOutcomes = 3.0
	// A host is isolated above an unsent share of enterUnsentShare, and no longer below leaveUnsentShare. The difference
	// is large because requests for the few reachable upstreams arrive in bursts.
	enterUnsentShare = 0.5
	leaveUnsentShare = 0.15
)

// Observation is what a host has observed since the last step.
type Observation struct {
	Connected bool // to the controller or the store
	Answered  int  // number of requests with a response of an upstream
	Unsent    int  // number of requests that were not sent because their upstream is unreachable
}

// Detector is the state of one host. It is not safe for concurrent use.
type Detector struct {
	isolated         bool
	suspected        bool
	suspectedSince   time.Duration
	lastStep         time.Duration
	answered, unsent float64 // decayed counts
}

// New returns a Detector for a host that is not isolated.
func New() *Detector { return &Detector{} }

// Isolated reports whether the host is isolated, as of the last step.
func (d *Detector) Isolated() bool { return d.isolated }

// Step applies an observation and reports whether Isolated has changed. Without requests, the result for a host that is
// not connected stays as it is.
func (d *Detector) Step(now time.Duration, o Observation) bool {
	decay := math.Exp(-float64(now-d.lastStep) / float64(decayTime))
	if o.Connected {
		// Requests from before the connections were lost do not show which upstreams are still reachable.
		decay = 0
	}
	d.lastStep = now
	d.answered = d.answered*decay + float64(o.Answered)
	d.unsent = d.unsent*decay + float64(o.Unsent)

	suspected := d.suspected
	switch {
	case o.Connected:
		suspected = false
	case d.answered+d.unsent >= minOutcomes:
		limit := enterUnsentShare
		if d.isolated {
			limit = leaveUnsentShare
		}
		suspected = d.unsent > limit*(d.answered+d.unsent)
	}
	if suspected && !d.suspected {
		d.suspectedSince = now
	}
	d.suspected = suspected
	isolated := suspected && (d.isolated || now >= d.suspectedSince+confirmationTime)
	changed := isolated != d.isolated
	d.isolated = isolated
	return changed
}
