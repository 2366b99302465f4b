package router

import (
	"net/http"
	"strconv"
	"time"

	"rhubarbtrack.example/platform/translator"
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

func (r *Router) setDeadline(j *job) bool {
	j.timeLeft = j.route.Timeout
	if j.request.Header.Get(translator.TimeLeftHeader) != "" {
		left, ok := TimeLeft(j.request.Header)
		if !ok {
			return false
		}
		j.timeLeft = left
	}
	j.deadline = j.request.Arrived.Add(min(j.timeLeft, j.route.Timeout))
	return true
}
