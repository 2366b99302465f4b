package load

import (
	"math"
	"time"
)

// coldSeeds is the number of runs of coldPeak. The peak is the maximum of all of them.
const coldSeeds = 20

// coldPeak restarts an upstream of each service under load, with many seeds. The peak is the highest ratio of requests
// in flight at a cold upstream to its concurrency limit at that moment.
func coldPeak(d deployment, build builder) []figure {
	peak, failed, count := 0.0, 0, 0
	for run := range uint64(coldSeeds) {
		w := build(d, run)
		w.startArrivals(offeredLoad)
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
		{name: "peak-in-flight", value: peak, unit: "ratio", bound: coldPeakBound, bounded: true},
		{name: "failed-after-restart", value: float64(failed) / float64(count), unit: "share"},
	}
}

// warmUpReset makes an upstream of each service cold without a restart. More requests are in flight at that moment than
// a cold upstream runs, so the figure is the number of requests that the upstreams reject.
func warmUpReset(d deployment, build builder) []figure {
	w := build(d, 0)
	w.startArrivals(offeredLoad)
	w.until(warmUp)
	w.keyed[0].resetWarmUp()
	w.other[0].resetWarmUp()
	w.until(warmUp + 2*time.Second)
	summary := w.summarize(warmUp, warmUp+time.Second, ofBoth)
	return []figure{
		{name: "refused-by-upstreams", value: float64(w.keyed[0].rejected + w.other[0].rejected), unit: "requests"},
		{name: "failed", value: float64(summary.failed) / float64(summary.count), unit: "share"},
	}
}

// Times of domainTakeOut, counted from the take-out of the failure domain.
const (
	takeOutLimit   = 4 * time.Second // the domain's upstreams get no request later than this
	cleaningEnd    = 7 * time.Second
	observationEnd = 20 * time.Second
	planInterval   = 200 * time.Millisecond
	// movesPerPlan is small enough for the ramp limits of the upstreams that receive the slices.
	movesPerPlan = 32
)

// domainTakeOut takes a failure domain out of service, restarts its upstreams and returns it to service.
func domainTakeOut(d deployment, build builder) []figure {
	w := build(d, 0)
	w.startArrivals(offeredLoad)
	referenceStart, takeOut := warmUp, warmUp+5*time.Second
	w.until(takeOut)
	drained := inDomain(w.all(), 1)
	mover := &domainMover{w: w, domain: 1, originalOwners: append([]*upstream(nil), w.owners...)}
	mover.takenOut = true
	w.router.drain(drained, true)
	w.every(planInterval, mover.step)
	mover.step()
	w.until(takeOut + takeOutLimit)
	before := receivedBy(drained)
	for _, u := range drained {
		u.draining = true
	}
	w.after(time.Second, func() { forEach(drained, (*upstream).stop) })
	w.until(takeOut + cleaningEnd)
	late := receivedBy(drained) - before
	forEach(drained, (*upstream).restart)
	w.router.drain(drained, false)
	mover.takenOut = false
	w.until(takeOut + observationEnd)
	figures := []figure{
		{name: "requests-after-4s", value: float64(late), unit: "requests", bound: lateRequestsBound, bounded: true},
	}
	for _, service := range services {
		reference := w.summarize(referenceStart, takeOut, service.include)
		during := w.summarize(takeOut, takeOut+observationEnd-deadline, service.include)
		figures = append(figures,
			figure{name: service.name + "-failed", value: float64(during.failed), unit: "requests", bound: moveFailuresBound,
				bounded: true},
			figure{name: service.name + "-p99-against-quiet", value: ratio(during.p99, reference.p99), unit: "ratio"},
			figure{name: service.name + "-p999-against-quiet", value: ratio(during.p999, reference.p999), unit: "ratio"},
			figure{name: service.name + "-p99-quiet", value: milliseconds(reference.p99), unit: "ms"},
		)
	}
	return figures
}

var services = []struct {
	name    string
	include func(sample) bool
}{{"keyed", ofKeyed}, {"other", ofOther}}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

func forEach(list []*upstream, action func(*upstream)) {
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

func receivedBy(list []*upstream) int {
	count := 0
	for _, u := range list {
		count += u.received
	}
	return count
}

// domainMover moves slices off a failure domain that is taken out, and moves them back as the concurrency limits of its
// cold upstreams rise.
type domainMover struct {
	w              *world
	domain         int
	originalOwners []*upstream // by slice: the owner before the take-out
	takenOut       bool
	nextTarget     int
}

func (m *domainMover) step() {
	remaining := movesPerPlan
	for slice := 1; slice < len(m.originalOwners) && remaining > 0; slice++ {
		original := m.originalOwners[slice]
		if original.domain != m.domain {
			continue
		}
		switch owner := m.w.owners[slice]; {
		case m.takenOut && owner == original:
			m.w.router.move(uint32(slice), m.target())
			remaining--
		case !m.takenOut && owner != original && m.canMoveBack(original):
			m.w.router.move(uint32(slice), original)
			remaining--
		}
	}
}

// target returns the upstreams of the other failure domains in turn.
func (m *domainMover) target() *upstream {
	for {
		m.nextTarget++
		if u := m.w.keyed[m.nextTarget%len(m.w.keyed)]; u.domain != m.domain {
			return u
		}
	}
}

func (m *domainMover) canMoveBack(original *upstream) bool {
	share := float64(m.w.router.ready(original)) / slots
	return float64(len(original.held)) < math.Ceil(share*slicesPerUpstream)
}

// overload sends requests at twice the rate that the upstreams can process.
func overload(d deployment, build builder) []figure {
	w := build(d, 0)
	w.startArrivals(2)
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

// failureTime is short because the baseline sends about a hundred requests for each request of a caller.
const failureTime = time.Second

// allFail makes every upstream respond to all requests with an error.
func allFail(d deployment, build builder) []figure {
	w := build(d, 0)
	w.startArrivals(offeredLoad)
	w.until(warmUp)
	for _, u := range w.all() {
		u.failing = true
	}
	received, offered := w.received(), w.offered
	w.until(warmUp + failureTime)
	w.stopped = true
	offered = w.offered - offered
	w.until(warmUp + failureTime + deadline)
	return []figure{{
		name: "retry-amplification", value: float64(w.received()-received) / float64(offered), unit: "ratio",
		bound: amplificationBound, bounded: true,
	}}
}

const (
	poisonCount    = 20
	poisonInterval = 250 * time.Millisecond
)

// poison sends 20 times, from a caller, a request that crashes every upstream that runs it.
func poison(d deployment, build builder) []figure {
	w := build(d, 0)
	w.startArrivals(offeredLoad)
	w.until(warmUp)
	for i := range poisonCount {
		w.after(time.Duration(i)*poisonInterval, func() { w.send(w.random, false, true) })
	}
	w.until(warmUp + poisonCount*poisonInterval + 2*deadline)
	crashes := 0
	for _, u := range w.all() {
		crashes += u.crashes
	}
	others := w.summarize(warmUp, warmUp+poisonCount*poisonInterval, ofOther)
	return []figure{
		{name: "upstreams-lost", value: float64(crashes), unit: "crashes"},
		{name: "other-failed", value: float64(others.failed) / float64(others.count), unit: "share"},
	}
}

// slowUpstreams returns a scenario that slows count upstreams of each service tenfold for the given time. Short periods
// run with several seeds, because a single one has too few requests.
func slowUpstreams(count int, duration time.Duration) scenario {
	return func(d deployment, build builder) []figure {
		runs := 1 + uint64(2*time.Second/duration)
		end := warmUp + duration + 500*time.Millisecond
		all := &world{}
		received := 0
		for run := range runs {
			w := build(d, run)
			received += runSlowUpstreams(w, count, duration, end)
			all.samples = append(all.samples, w.samples...)
		}
		// The extra load compares the requests that upstreams received in the period with those that callers started in
		// it.
		other := all.summarize(warmUp, end, ofOther)
		extra := float64(received)/float64(other.count) - 1
		figures := []figure{{name: "other-extra-load", value: extra, unit: "share", bound: hedgeLoadBound, bounded: true}}
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

// runSlowUpstreams runs w and returns the number of requests that the upstreams of the service that is not keyed
// received from warmUp to end.
func runSlowUpstreams(w *world, count int, duration, end time.Duration) int {
	w.startArrivals(offeredLoad)
	w.until(warmUp)
	for i := range count {
		for _, u := range []*upstream{w.keyed[i], w.other[i]} {
			u.slowFactor = 10
			u.slowUntil = warmUp + duration
		}
	}
	received := receivedBy(w.other)
	w.until(end)
	received = receivedBy(w.other) - received
	w.until(end + deadline)
	return received
}
