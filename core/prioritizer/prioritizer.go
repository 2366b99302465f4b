// Package prioritizer decides how long a request may wait at an upstream that also serves more urgent requests.
//
// Upstreams process requests in the order of arrival, and a queued request cannot be overtaken. A class with a long
// objective, such as uploads, could fill the queues up to its own objective, and requests of a class with a shorter one
// would be late or rejected. Only the hosts can prevent that: while a more urgent class has demand at a service, less
// urgent requests are sent only where the queue is so short that the urgent ones still meet their objective. They get
// the room that the urgent ones leave, and at least a minimum share of their own demand.
//
// # Usage
//
//	p := prioritizer.New()
//	class := prioritizer.Class{Service: "scans", Route: "uploads", Priority: 2, Objective: 4 * time.Second}
//	p.RecordArrival(now, class)
//	standing := p.Assess(now, class, returning, estimate.Run)
//	if standing.WaitLimit > 0 && estimate.Wait > standing.WaitLimit { ... }
//	p.RecordDecision(now, class, admitted)
//	p.RecordRunTime(class, taken, expected)
//
// A service whose classes have the same priority has no limits, and its run times are not divided by class.
//
// A Prioritizer is not safe for concurrent use. Times are durations since an arbitrary origin.
package prioritizer

import (
	"math"
	"time"
)

const (
	// demandTime is how long a class counts as in demand after a request. It bounds the time for which room is kept for a
	// class that sends nothing more.
	demandTime = time.Second
	// sharedSlack is the share of the slack of the most sensitive urgent class up to which less urgent requests may fill a
	// queue. The rest is for requests that several hosts send to the same upstream before its next load report, and for the
	// error of the estimate.
	sharedSlack = 0.25
	// returningSlack is the same for callers that were rejected before and have no further attempt. They still leave the
	// urgent class its objective.
	returningSlack = 0.5
	// minObjectiveRatio is the ratio of the objectives of two classes from which the one with the longer objective is limited.
	// With a similar objective, the wait that a class accepts for itself leaves the urgent one its objective.
	minObjectiveRatio = 2
	// fullDemandShare is the share of more urgent requests in all requests of a service from which the limits apply in full. They
	// are longer in proportion for a smaller share, so that a few urgent requests do not take most of the room.
	fullDemandShare = 0.25
	// arrivalDecayTime is the time constant with which requests lose their weight in that share.
	arrivalDecayTime = 2 * time.Second
	// minSlackShare is the minimum slack as a share of the objective, for a run time close to the objective.
	minSlackShare = 0.25
	// minAdmittedShare is the share of the requests of a class that is admitted by the objective of the class alone,
	// whatever the demand of more urgent classes is.
	minAdmittedShare = 0.25
	// admittedDecayTime is the time constant with which decisions lose their weight in the admitted share.
	admittedDecayTime = 2 * time.Second
	// maxLimit bounds the limits, which would overflow for a very small share of urgent requests.
	maxLimit = float64(time.Hour)
	// runTimeWeight is the weight of one request in the relative run time of a class.
	runTimeWeight = 0.05
	// minRelativeRun and maxRelativeRun bound the effect of one measurement.
	minRelativeRun, maxRelativeRun = 0.1, 10.0
	// maxClasses bounds the classes of all services. The configuration normally has far fewer.
	maxClasses = 4096
)

// Class is a kind of request at a service. Requests with equal values share their records.
type Class struct {
	Service   string
	Route     string
	Priority  int           // 0 is the highest
	Objective time.Duration // a response within this time is fully useful
}

type record struct {
	class       Class
	arrivedAt   time.Duration // of the last request
	arrivals    float64       // decayed
	relativeRun float64       // mean run time relative to that of all requests at the same upstreams
	asked       float64       // decided requests, decayed
	admitted    float64       // of those
	decidedAt   time.Duration
}

// Prioritizer records the demand and the run times of classes.
type Prioritizer struct {
	services map[string]map[Class]*record
	count    int
}

// New returns a Prioritizer without records.
func New() *Prioritizer { return &Prioritizer{services: map[string]map[Class]*record{}} }

func (p *Prioritizer) record(class Class) *record {
	classes := p.services[class.Service]
	if r := classes[class]; r != nil {
		return r
	}
	if p.count >= maxClasses {
		clear(p.services)
		p.count, classes = 0, nil
	}
	if classes == nil {
		classes = map[Class]*record{}
		p.services[class.Service] = classes
	}
	r := &record{class: class, relativeRun: 1, arrivedAt: -2 * demandTime}
	classes[class] = r
	p.count++
	return r
}

// RecordArrival records a request of a class.
func (p *Prioritizer) RecordArrival(now time.Duration, class Class) {
	r := p.record(class)
	r.arrivals, r.arrivedAt = r.decayedArrivals(now)+1, now
}

func (r *record) decayedArrivals(now time.Duration) float64 {
	return r.arrivals * math.Exp(-float64(max(0, now-r.arrivedAt))/float64(arrivalDecayTime))
}

// RecordRunTime records how long a request of a class ran at an upstream whose requests are expected to run for the given
// time.
func (p *Prioritizer) RecordRunTime(class Class, taken, expected time.Duration) {
	if taken <= 0 || expected <= 0 {
		return
	}
	r := p.record(class)
	relative := min(max(float64(taken)/float64(expected), minRelativeRun), maxRelativeRun)
	r.relativeRun += runTimeWeight * (relative - r.relativeRun)
}

// Standing is how a class competes with the other classes of its service.
type Standing struct {
	Competing bool          // classes of different priorities have demand
	Urgent    bool          // they compete, and no class in demand has a higher priority
	Run       time.Duration // expected run time of a request of the class; without competition that of all requests
	// WaitLimit is the longest wait at an upstream for which a request of the class is sent. 0: no limit.
	WaitLimit time.Duration
}

// Assess returns the standing of a class. mean is the run time of all requests at the chosen upstream. returning is set
// for a caller that was rejected before. There is no limit while no more urgent class with a much shorter
// objective has demand, and for as many requests as the class needs for its minimum share.
func (p *Prioritizer) Assess(now time.Duration, class Class, returning bool, mean time.Duration) Standing {
	standing := Standing{Run: mean}
	urgent, limit, before, total := true, math.Inf(1), 0.0, 0.0
	for _, r := range p.services[class.Service] {
		arrivals := r.decayedArrivals(now)
		total += arrivals
		if r.class.Priority == class.Priority || now > r.arrivedAt+demandTime {
			continue
		}
		standing.Competing = true
		if r.class.Priority < class.Priority {
			urgent = false
			if class.Objective >= minObjectiveRatio*r.class.Objective {
				before += arrivals
				limit = min(limit, r.slack(mean))
			}
		}
	}
	if !standing.Competing {
		return standing
	}
	standing.Run = time.Duration(p.record(class).relativeRun * float64(mean))
	standing.Urgent = urgent
	if before > 0 && !p.isBelowMinimum(now, class) {
		share := sharedSlack
		if returning {
			share = returningSlack
		}
		share /= min(1, before/(fullDemandShare*total))
		standing.WaitLimit = time.Duration(min(share*limit, maxLimit))
	}
	return standing
}

// slack returns how long a request of the class can wait and still meet its objective, in nanoseconds.
func (r *record) slack(mean time.Duration) float64 {
	objective := float64(r.class.Objective)
	return max(objective-r.relativeRun*float64(mean), minSlackShare*objective)
}

// isBelowMinimum reports whether a class gets less than its minimum share.
func (p *Prioritizer) isBelowMinimum(now time.Duration, class Class) bool {
	r := p.record(class)
	weight := r.decay(now)
	// The request in question counts as asked, so that a class without earlier requests has no claim to its minimum yet.
	return weight*r.admitted < minAdmittedShare*(weight*r.asked+1)-1
}

func (r *record) decay(now time.Duration) float64 {
	return math.Exp(-float64(max(0, now-r.decidedAt)) / float64(admittedDecayTime))
}

// RecordDecision records whether a request of a class was admitted.
func (p *Prioritizer) RecordDecision(now time.Duration, class Class, admitted bool) {
	r := p.record(class)
	weight := r.decay(now)
	r.asked, r.admitted, r.decidedAt = weight*r.asked+1, weight*r.admitted, now
	if admitted {
		r.admitted++
	}
}
