package load

import (
	"math"
	"time"
)

// coldSeeds is the number of runs over which the peak on cold upstreams is taken.
const coldSeeds = 20

// coldPeak restarts an upstream of each service under load, with many seeds, and takes the highest ratio of requests
// present to requests borne while it was cold.
func coldPeak(u user, build builder) []figure {
	peak, failed, count := 0.0, 0, 0
	for run := range uint64(coldSeeds) {
		w := build(u, run)
		w.offer(load)
		w.until(time.Second)
		w.keyed[0].crash()
		w.other[0].crash()
		w.until(4 * time.Second)
		peak = max(peak, w.keyed[0].peakRatio, w.other[0].peakRatio)
		s := w.summarize(time.Second+restartTime, 3*time.Second, ofBoth)
		failed += s.failed
		count += s.count
	}
	return []figure{
		{name: "peak-in-flight", value: peak, unit: "ratio", bound: coldBound, bounded: true},
		{name: "failed-after-restart", value: float64(failed) / float64(count), unit: "share"},
	}
}

// turnsCold makes an upstream of each service cold without a restart. Requests that run at that moment are more than it
// bears, so the figure is the number of requests that it had to refuse.
func turnsCold(u user, build builder) []figure {
	w := build(u, 0)
	w.offer(load)
	w.until(warmUp)
	w.keyed[0].turnCold()
	w.other[0].turnCold()
	w.until(warmUp + 2*time.Second)
	failed := w.summarize(warmUp, warmUp+time.Second, ofBoth)
	return []figure{
		{name: "refused-by-upstreams", value: float64(w.keyed[0].refused + w.other[0].refused), unit: "requests"},
		{name: "failed", value: float64(failed.failed) / float64(failed.count), unit: "share"},
	}
}

// Times of the failure domain's absence, from the order to leave.
const (
	leaveLimit   = 4 * time.Second // G4
	cleaningOver = 7 * time.Second
	absenceEnd   = 20 * time.Second
	planInterval = 200 * time.Millisecond
	// movesPerInterval keeps the moves within the ramp limits of the receivers.
	movesPerInterval = 32
)

// domainLeaves takes a failure domain out of service, cleans it and lets it return.
func domainLeaves(u user, build builder) []figure {
	w := build(u, 0)
	w.offer(load)
	quietFrom, leave := warmUp, warmUp+5*time.Second
	w.until(leave)
	leaving := inDomain(w.all(), 1)
	p := &plan{w: w, domain: 1, homes: append([]*upstream(nil), w.owners...)}
	p.leaving = true
	w.router.drain(leaving, true)
	w.every(planInterval, p.step)
	p.step()
	w.until(leave + leaveLimit)
	before := servedBy(leaving)
	for _, u := range leaving {
		u.draining = true
	}
	w.after(time.Second, func() { each(leaving, (*upstream).stop) })
	w.until(leave + cleaningOver)
	late := servedBy(leaving) - before
	each(leaving, (*upstream).restart)
	w.router.drain(leaving, false)
	p.leaving = false
	w.until(leave + absenceEnd)
	figures := []figure{
		{name: "requests-after-4s", value: float64(late), unit: "requests", bound: leaveBound, bounded: true},
	}
	for _, service := range services {
		quiet := w.summarize(quietFrom, leave, service.include)
		during := w.summarize(leave, leave+absenceEnd-deadline, service.include)
		figures = append(figures,
			figure{name: service.name + "-failed", value: float64(during.failed), unit: "requests", bound: moveBound, bounded: true},
			figure{name: service.name + "-p99-against-quiet", value: ratio(during.p99, quiet.p99), unit: "ratio"},
			figure{name: service.name + "-p999-against-quiet", value: ratio(during.p999, quiet.p999), unit: "ratio"},
			figure{name: service.name + "-p99-quiet", value: milliseconds(quiet.p99), unit: "ms"},
		)
	}
	return figures
}

var services = []struct {
	name    string
	include func(sample) bool
}{{"keyed", ofKeyed}, {"other", ofOther}}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

func each(list []*upstream, action func(*upstream)) {
	for _, u := range list {
		action(u)
	}
}

func inDomain(list []*upstream, domain int) []*upstream {
	var found []*upstream
	for _, u := range list {
		if u.domain == domain {
			found = append(found, u)
		}
	}
	return found
}

func servedBy(list []*upstream) int {
	count := 0
	for _, u := range list {
		count += u.served
	}
	return count
}

// plan moves slices off a leaving failure domain, and back at the pace at which the router may load the cold upstreams.
type plan struct {
	w       *world
	domain  int
	homes   []*upstream // owners before the move
	leaving bool
	next    int
}

func (p *plan) step() {
	moves := movesPerInterval
	for slice := 1; slice < len(p.homes) && moves > 0; slice++ {
		home := p.homes[slice]
		if home.domain != p.domain {
			continue
		}
		switch owner := p.w.owners[slice]; {
		case p.leaving && owner == home:
			p.w.router.move(uint32(slice), p.target())
			moves--
		case !p.leaving && owner != home && p.mayReturn(home):
			p.w.router.move(uint32(slice), home)
			moves--
		}
	}
}

// target returns the upstreams of the remaining failure domains in turn.
func (p *plan) target() *upstream {
	for {
		p.next++
		if u := p.w.keyed[p.next%len(p.w.keyed)]; u.domain != p.domain {
			return u
		}
	}
}

func (p *plan) mayReturn(home *upstream) bool {
	share := float64(p.w.router.ready(home)) / slots
	return float64(len(home.held)) < math.Ceil(share*slicesPerUpstream)
}

// overload offers twice the capacity.
func overload(u user, build builder) []figure {
	w := build(u, 0)
	w.offer(2)
	from, to := warmUp, warmUp+3*time.Second
	w.until(to + deadline)
	var figures []figure
	for _, service := range services {
		s := w.summarize(from, to, service.include)
		count := len(w.keyed)
		if service.name == "other" {
			count = len(w.other)
		}
		capacity := float64(count*slots) * (to - from).Seconds() / meanService.Seconds()
		figures = append(figures, figure{name: service.name + "-goodput", value: float64(s.count-s.failed) / capacity, unit: "share"})
		ok := w.summarize(from, to, func(s sample) bool { return service.include(s) && !s.failed })
		figures = append(figures, figure{name: service.name + "-p99-of-successes", value: milliseconds(ok.p99), unit: "ms"})
	}
	return figures
}

// failingTime is short, because the baseline sends about a hundred requests for each one offered.
const failingTime = time.Second

// allFail lets every upstream answer all requests with an error.
func allFail(u user, build builder) []figure {
	w := build(u, 0)
	w.offer(load)
	w.until(warmUp)
	for _, u := range w.all() {
		u.failing = true
	}
	sent, offered := w.received(), w.offered
	w.until(warmUp + failingTime)
	w.stopped = true
	offered = w.offered - offered
	w.until(warmUp + failingTime + deadline)
	return []figure{{
		name: "retry-amplification", value: float64(w.received()-sent) / float64(offered), unit: "ratio",
		bound: amplificationBound, bounded: true,
	}}
}

const (
	poisonCount    = 20
	poisonInterval = 250 * time.Millisecond
)

// poison lets a caller send a request 20 times that crashes every upstream that runs it.
func poison(u user, build builder) []figure {
	w := build(u, 0)
	w.offer(load)
	w.until(warmUp)
	for i := range poisonCount {
		w.after(time.Duration(i)*poisonInterval, func() { w.send(w.random, false, true) })
	}
	w.until(warmUp + poisonCount*poisonInterval + 2*deadline)
	lost := 0
	for _, u := range w.all() {
		lost += u.crashes
	}
	others := w.summarize(warmUp, warmUp+poisonCount*poisonInterval, ofOther)
	return []figure{
		{name: "upstreams-lost", value: float64(lost), unit: "crashes"},
		{name: "other-failed", value: float64(others.failed) / float64(others.count), unit: "share"},
	}
}

// slowed slows some upstreams of each service tenfold for a while. Short periods are repeated with several seeds, since a
// single one has few requests.
func slowed(count int, length time.Duration) scenario {
	return func(u user, build builder) []figure {
		runs := 1 + uint64(2*time.Second/length)
		end := warmUp + length + 500*time.Millisecond
		all := &world{}
		sent := 0
		for run := range runs {
			w := build(u, run)
			sent += slowOnce(w, count, length, end)
			all.samples = append(all.samples, w.samples...)
		}
		// Requests whose start lies in the period are compared with those that arrived at upstreams in the period.
		other := all.summarize(warmUp, end, ofOther)
		extra := float64(sent)/float64(other.count) - 1
		figures := []figure{{name: "other-extra-load", value: extra, unit: "share", bound: hedgeBound, bounded: true}}
		for _, service := range services {
			s := all.summarize(warmUp, end, service.include)
			figures = append(figures,
				figure{name: service.name + "-p50", value: milliseconds(s.p50), unit: "ms"},
				figure{name: service.name + "-p99", value: milliseconds(s.p99), unit: "ms"},
				figure{name: service.name + "-p999", value: milliseconds(s.p999), unit: "ms"},
				figure{name: service.name + "-failed", value: float64(s.failed) / float64(s.count), unit: "share"},
			)
		}
		return figures
	}
}

// slowOnce runs one world and returns the number of requests that arrived at the upstreams of the service not
// partitioned by key.
func slowOnce(w *world, count int, length, end time.Duration) int {
	w.offer(load)
	w.until(warmUp)
	for i := range count {
		for _, u := range []*upstream{w.keyed[i], w.other[i]} {
			u.slowBy = 10
			u.slowUntil = warmUp + length
		}
	}
	sent := servedBy(w.other)
	w.until(end)
	sent = servedBy(w.other) - sent
	w.until(end + deadline)
	return sent
}
