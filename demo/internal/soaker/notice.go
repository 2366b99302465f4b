package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// noticeGap is the mean time between two notices of upstreams.
	noticeGap = 2500 * time.Millisecond
	// leavingTime is how long an upstream serves after its leaving notice.
	leavingTime = 5 * time.Second
	// drainDelay is the time after a leaving notice from which the upstream must not get new requests, as in the settings.
	drainDelay = 2 * time.Second
	// pauseDelay is the time after a rejection with a pause from which the upstream must get at most maxDuringPause requests from
	// each host.
	pauseDelay     = 500 * time.Millisecond
	maxDuringPause = 2
)

// sendNotices makes random upstreams send leaving notices, or ask for a pause, until ctx is done. One that leaves is
// killed after leavingTime.
func (c *cluster) sendNotices(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.options.Seed, 3))
	for end := time.Now().Add(c.options.Length); ; {
		sleep(ctx, noticeGap/2+time.Duration(random.Int64N(int64(noticeGap))))
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
		c.mutex.Lock()
		u := c.upstreams[random.IntN(len(c.upstreams))]
		id, process := u.id, u.process
		c.mutex.Unlock()
		if random.IntN(2) == 0 {
			c.logf("%s asks for a pause", id)
			_ = process.Signal(simulator.PauseSignal) // fails if the process has exited
			continue
		}
		c.logf("%s leaves", id)
		_ = process.Signal(simulator.LeaveSignal)
		go func() {
			sleep(ctx, leavingTime)
			_ = process.Signal(syscall.SIGKILL)
		}()
	}
}

// hostFaults holds the times at which each host was started or paused, by the address for callers.
type hostFaults map[string][]time.Time

func (f hostFaults) add(host string) { f[host] = append(f[host], time.Now()) }

// hit reports whether a host was started or paused between two times.
func (f hostFaults) hit(host string, from, to time.Time) bool {
	return slices.ContainsFunc(f[host], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// checkLeaving finds requests that a caller sent later than drainDelay after the host had passed on a leaving notice of an
// upstream, and that reached this upstream. A start or a pause of the host since then excuses it.
func checkLeaving(report *Report, outcomes []outcome, lines []simulator.Line, faults hostFaults) {
	type pair struct{ host, upstream string }
	noticed := map[pair]time.Time{}
	for _, o := range outcomes {
		p := pair{o.host, o.Leaving}
		if first, ok := noticed[p]; o.Leaving != "" && (!ok || o.end.Before(first)) {
			noticed[p] = o.end
		}
	}
	ranAt := map[string][]string{} // upstreams by attempt
	for _, line := range lines {
		if line.Attempt != "" {
			ranAt[line.Attempt] = append(ranAt[line.Attempt], line.Upstream)
		}
	}
	for _, o := range outcomes {
		for _, upstream := range ranAt[o.attempt] {
			at, ok := noticed[pair{o.host, upstream}]
			if ok && o.begin.After(at.Add(drainDelay)) && !faults.hit(o.host, at, o.end) {
				report.addViolation("leaving: %s at %s reached %s %v after the host had passed on its leaving notice", o.attempt, o.host,
					upstream, o.begin.Sub(at))
			}
		}
	}
}

// checkPauses finds upstreams that got more than maxDuringPause requests from each host during a pause. The lines do not name the
// host, so a start or a pause of any host excuses it.
func checkPauses(report *Report, lines []simulator.Line, hosts int, faults hostFaults) {
	type pause struct {
		upstream string
		end      int64
	}
	arrivals := map[pause][]int64{}
	for _, line := range lines {
		if line.Paused != 0 {
			p := pause{line.Upstream, line.Paused}
			arrivals[p] = append(arrivals[p], line.At)
		}
	}
	for p, times := range arrivals {
		begin := slices.Min(times)
		excused := false
		for host := range faults {
			excused = excused || faults.hit(host, time.Unix(0, begin), time.Unix(0, p.end))
		}
		late := 0
		for _, at := range times {
			if at > begin+pauseDelay.Nanoseconds() {
				late++
			}
		}
		// Each host may not have asked the upstream before, and gets one rejection first.
		if !excused && late > hosts*(maxDuringPause+1) {
			report.addViolation("pause: %d requests reached %s during its pause", late, p.upstream)
		}
	}
}
