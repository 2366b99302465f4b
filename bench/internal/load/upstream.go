package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/slicer"
)

const (
	slots = 6
	// A service time is minService plus an exponential part. Its 99th percentile is 16.5 ms, which leaves 2.5 ms for
	// the network until the 19 ms of the requirements.
	minService       = 5 * time.Millisecond
	meanExtraService = 2500 * time.Microsecond
	meanService      = minService + meanExtraService
	// rejectionTime is the time that an upstream spends on a request that it does not run.
	rejectionTime   = time.Millisecond
	restartTime     = 500 * time.Millisecond
	poisonCrashTime = 2 * time.Millisecond
	// completionsPerStep is the number of completed requests after which a cold upstream runs one more at once.
	completionsPerStep = 20
)

// upstream simulates a server that follows docs/protocols.md.
type upstream struct {
	loop              *loop
	random            *rand.Rand
	name              string
	index             int
	domain            int
	keyed             bool
	held              map[uint32]slicer.Fence
	incarnationNumber int
	incarnationName   string // empty until incarnation is called
	completed         int    // requests of this incarnation
	running           []*job
	inFlight          int // requests that run or are being rejected
	warm              bool
	down              bool
	draining          bool
	failing           bool
	slowUntil         time.Duration
	slowFactor        int
	crashes           int
	received          int     // requests, including rejected ones
	rejected          int     // requests rejected because of load
	onDisconnect      func()  // called when all connections close, including idle ones
	peakRatio         float64 // highest inFlight/concurrencyLimit while cold
}

// job is a request that runs.
type job struct {
	done  bool
	reply func(reply)
}

type reply struct {
	outcome     admitter.Outcome
	incarnation string
}

func (u *upstream) concurrencyLimit() int {
	if u.warm {
		return slots
	}
	return min(1+u.completed/completionsPerStep, slots)
}

func (u *upstream) incarnation() string {
	if u.incarnationName == "" {
		u.incarnationName = fmt.Sprint(u.name, "-", u.incarnationNumber)
	}
	return u.incarnationName
}

// serve handles a request and calls respond exactly once. The returned function cancels the request if it still runs;
// respond then gets the outcome Cancelled.
func (u *upstream) serve(request *request, fence slicer.Fence, respond func(reply)) func() {
	u.received++
	if u.down {
		u.loop.after(rejectionTime, func() { respond(reply{outcome: admitter.NotSent}) })
		return func() {}
	}
	u.inFlight++
	if u.concurrencyLimit() < slots {
		u.peakRatio = max(u.peakRatio, float64(u.inFlight)/float64(u.concurrencyLimit()))
	}
	if outcome, rejected := u.rejection(fence); rejected {
		if outcome == admitter.Shed || outcome == admitter.ShedCold {
			u.rejected++
		}
		number := u.incarnationNumber
		u.loop.after(rejectionTime, func() {
			if number == u.incarnationNumber && !u.down {
				u.inFlight--
			}
			respond(reply{outcome, u.incarnation()})
		})
		return func() {}
	}
	return u.start(request, respond)
}

// rejection returns the outcome of a request that is not run, and whether it is rejected.
func (u *upstream) rejection(fence slicer.Fence) (admitter.Outcome, bool) {
	switch {
	case u.draining:
		return admitter.Draining, true
	case u.keyed && u.held[fence.Slice] != fence:
		return admitter.NotOwner, true
	case len(u.running) >= u.concurrencyLimit() && u.concurrencyLimit() < slots:
		return admitter.ShedCold, true
	case len(u.running) >= slots:
		return admitter.Shed, true
	}
	return 0, false
}

func (u *upstream) start(request *request, respond func(reply)) func() {
	j := &job{reply: respond}
	u.running = append(u.running, j)
	duration := u.serviceTime()
	if request.poison {
		duration = poisonCrashTime
	}
	u.loop.after(duration, func() {
		if j.done {
			return
		}
		if request.poison {
			u.crash()
			return
		}
		u.finish(j)
		u.completed++
		outcome := admitter.Succeeded
		if u.failing {
			outcome = admitter.Failed
		}
		respond(reply{outcome, u.incarnation()})
	})
	return func() {
		if !j.done {
			u.finish(j)
			respond(reply{outcome: admitter.Cancelled})
		}
	}
}

func (u *upstream) finish(j *job) {
	j.done = true
	u.running = slices.DeleteFunc(u.running, func(other *job) bool { return other == j })
	u.inFlight--
}

func (u *upstream) serviceTime() time.Duration {
	duration := minService + time.Duration(u.random.ExpFloat64()*float64(meanExtraService))
	if u.loop.now < u.slowUntil {
		duration *= time.Duration(u.slowFactor)
	}
	return duration
}

// crash closes all connections. The next incarnation starts cold after restartTime.
func (u *upstream) crash() {
	u.crashes++
	u.stop()
	u.loop.after(restartTime, u.restart)
}

func (u *upstream) stop() {
	u.down = true
	for _, j := range u.running {
		j.done = true
		u.loop.after(0, func() { j.reply(reply{outcome: admitter.Crashed}) })
	}
	u.running = nil
	u.inFlight = 0
	if u.onDisconnect != nil {
		u.onDisconnect()
	}
}

// resetWarmUp makes the upstream cold without a restart. Its connections stay open and its incarnation stays the same,
// so hosts cannot detect the change.
func (u *upstream) resetWarmUp() {
	u.completed = 0
	u.warm = false
}

func (u *upstream) restart() {
	u.down = false
	u.draining = false
	u.incarnationNumber++
	u.incarnationName = ""
	u.resetWarmUp()
}
