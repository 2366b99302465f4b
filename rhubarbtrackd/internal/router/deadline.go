package router

import (
	"net/http"
	"strconv"
	"time"

	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
)

// maxTimeLeft bounds the time that a caller says it will wait. The timeouts of routes are far shorter.
const maxTimeLeft = 24 * time.Hour

// TimeLeft returns how long the caller of a request still waits, or false if its header does not say so.
func TimeLeft(header http.Header) (time.Duration, bool) {
	left, err := strconv.ParseInt(header.Get(translator.TimeLeftHeader), 10, 64)
	if err != nil || left < 0 {
		return 0, false
	}
	return time.Duration(min(left, maxTimeLeft.Milliseconds())) * time.Millisecond, true
}

// Deadline returns the time until which a request gets its response, by its route and the time that its caller waits, or the zero time
// if it has no route.
func (r *Router) Deadline(request *acceptor.Request) time.Time {
	config := r.options.Follower.Snapshot().Config
	if config == nil {
		return time.Time{}
	}
	route, ok := config.Match(request.Host, request.Path)
	if !ok {
		return time.Time{}
	}
	left, ok := TimeLeft(request.Header)
	if !ok {
		left = route.Timeout
	}
	return deadline(request, route, left)
}

func deadline(request *acceptor.Request, route *matcher.Route, timeLeft time.Duration) time.Time {
	return request.Arrived.Add(min(timeLeft, route.Timeout))
}

func (r *Router) setDeadline(j *job) bool {
	j.timeLeft = j.route.Timeout
	if j.request.Header.Get(translator.TimeLeftHeader) != "" {
		left, ok := TimeLeft(j.request.Header)
		if !ok {
			return false
		}
		j.timeLeft = left
	}
	j.deadline = deadline(j.request, j.route, j.timeLeft)
	return true
}
