package router

import (
	"time"

	"rhubarbtrack.example/core/shedder"
)

// askShare records a request of a client account for the fair division of its service. Retries of callers do not count: in an
// overload, they would make the demand of all accounts look higher. While the service is overloaded, a request
// beyond the part of its account waits no longer than a retry, so that it is refused before one within its part.
func (r *Router) askShare(j *job) {
	if j.account == nil || j.isRetry {
		return
	}
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The limit holds for all hosts, which get about equal parts of the requests.
	weight := j.account.Rate / float64(r.shares.Hosts(now))
	j.beyondShare = r.sharer.Ask(now, j.service.Name, j.account.Name, weight)
}

// recordShare records whether a request was admitted. The caller holds the mutex.
func (r *Router) recordShare(now time.Duration, j *job, decision shedder.Decision) {
	if j.account != nil && !j.isRetry && decision.Admit && !j.countedShare {
		j.countedShare = true
		r.sharer.RecordAccepted(now, j.service.Name)
	}
}
