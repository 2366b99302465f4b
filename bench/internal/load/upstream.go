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
	// Service times are minService plus an exponential part, which gives a 99th percentile of 16.5 ms before the
	// network, below the 19 ms of the requirements.
	minService  = 5 * time.Millisecond
	meanVarying = 2500 * time.Microsecond
	meanService = minService + meanVarying
	// refusalTime is the time that an upstream spends on a request that it does not run.
	refusalTime = time.Millisecond
	restartTime = 500 * time.Millisecond
	poisonTime  = 2 * time.Millisecond
	// warmAfter requests completed, a cold upstream bears one more.
	warmAfter = 20
)

// upstream models a server as docs/protocols.md describes the stand-in.
type upstream struct {
	loop      *loop
	random    *rand.Rand
	name      string
	index     int
	domain    int
	keyed     bool
	held      map[uint32]slicer.Fence
	run       int    // number of the incarnation
	label     string // of the incarnation, empty until it is needed
	completed int    // since the start
	running   []*job
	present   int // requests that run or are being refused
	warm      bool
	down      bool
	draining  bool
	failing   bool
	slowUntil time.Duration
	slowBy    int
	crashes   int
	served    int     // requests received
	refused   int     // requests refused because of load
	closed    func()  // called when all connections break, idle ones included
	peakRatio float64 // highest number present while cold, divided by the number that it bore
}

type job struct {
	ended bool
	reply func(reply)
}

type reply struct {
	outcome     admitter.Outcome
	incarnation string
}

func (u *upstream) bears() int {
	if u.warm {
		return slots
	}
	return min(1+u.completed/warmAfter, slots)
}

func (u *upstream) incarnation() string {
	if u.label == "" {
		u.label = fmt.Sprint(u.name, "-", u.run)
	}
	return u.label
}

// serve takes a request and answers by reply exactly once, unless the returned function cancels it first.
func (u *upstream) serve(request *request, fence slicer.Fence, answer func(reply)) func() {
	u.served++
	if u.down {
		u.loop.after(refusalTime, func() { answer(reply{outcome: admitter.NotSent}) })
		return func() {}
	}
	u.present++
	if u.bears() < slots {
		u.peakRatio = max(u.peakRatio, float64(u.present)/float64(u.bears()))
	}
	if outcome, refused := u.refuses(fence); refused {
		if outcome == admitter.Shed || outcome == admitter.ShedCold {
			u.refused++
		}
		run := u.run
		u.loop.after(refusalTime, func() {
			if run == u.run && !u.down {
				u.present--
			}
			answer(reply{outcome, u.incarnation()})
		})
		return func() {}
	}
	return u.start(request, answer)
}

func (u *upstream) refuses(fence slicer.Fence) (admitter.Outcome, bool) {
	switch {
	case u.draining:
		return admitter.Draining, true
	case u.keyed && u.held[fence.Slice] != fence:
		return admitter.NotOwner, true
	case len(u.running) >= u.bears() && u.bears() < slots:
		return admitter.ShedCold, true
	case len(u.running) >= slots:
		return admitter.Shed, true
	}
	return 0, false
}

func (u *upstream) start(request *request, answer func(reply)) func() {
	j := &job{reply: answer}
	u.running = append(u.running, j)
	took := u.serviceTime()
	if request.poison {
		took = poisonTime
	}
	u.loop.after(took, func() {
		if j.ended {
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
		answer(reply{outcome, u.incarnation()})
	})
	return func() {
		if !j.ended {
			u.finish(j)
			answer(reply{outcome: admitter.Cancelled})
		}
	}
}

func (u *upstream) finish(j *job) {
	j.ended = true
	u.running = slices.DeleteFunc(u.running, func(other *job) bool { return other == j })
	u.present--
}

func (u *upstream) serviceTime() time.Duration {
	took := minService + time.Duration(u.random.ExpFloat64()*float64(meanVarying))
	if u.loop.now < u.slowUntil {
		took *= time.Duration(u.slowBy)
	}
	return took
}

// crash breaks all connections; the next incarnation starts cold after restartTime.
func (u *upstream) crash() {
	u.crashes++
	u.stop()
	u.loop.after(restartTime, u.restart)
}

func (u *upstream) stop() {
	u.down = true
	for _, j := range u.running {
		j.ended = true
		u.loop.after(0, func() { j.reply(reply{outcome: admitter.Crashed}) })
	}
	u.running = nil
	u.present = 0
	if u.closed != nil {
		u.closed()
	}
}

// turnCold forgets the warm state without a restart, so that nobody is told.
func (u *upstream) turnCold() {
	u.completed = 0
	u.warm = false
}

func (u *upstream) restart() {
	u.down = false
	u.draining = false
	u.run++
	u.label = ""
	u.turnCold()
}
