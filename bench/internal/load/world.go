package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

const (
	hostCount         = 11
	domainCount       = 3
	slicesPerUpstream = 16                    // at the start of a run
	deadline          = time.Second           // of each request, from its start
	sameDomainDelay   = 50 * time.Microsecond // one way
)

// deployment holds the size and the network delay of a deployment for which this project has requirements.
type deployment struct {
	name             string
	keyedUpstreams   int           // of the keyed service
	otherUpstreams   int           // of the service that is not keyed
	crossDomainDelay time.Duration // one way
}

var deployments = []deployment{
	{"library", 20, 13, 500 * time.Microsecond},
	{"wholesaler", 18, 12, 1500 * time.Microsecond},
}

// request is one request of a caller.
type request struct {
	id       uint64
	keyed    bool
	class    configurator.Class
	slice    uint32
	host     int
	start    time.Duration
	deadline time.Duration
	done     bool
	poison   bool
	attempts int // that failed, without reroutes
	reroutes int
}

// sample is the result of a request as its caller sees it.
type sample struct {
	start   time.Duration
	latency time.Duration
	keyed   bool
	failed  bool
}

// router sends requests to upstreams. The type ours uses the packages in core; the type naive is the baseline.
type router interface {
	route(*request)
	// move starts a planned move of a slice to another owner.
	move(slice uint32, to *upstream)
	// drain marks upstreams as draining, or as back in service if drained is false.
	drain(list []*upstream, drained bool)
	// ready returns the highest number of requests that the router sends to u at once.
	ready(u *upstream) int
}

// world simulates the callers, the hosts, the network and the upstreams of one run.
type world struct {
	loop
	deployment deployment
	random     *rand.Rand // of the router
	seed       uint64
	keyed      []*upstream
	other      []*upstream
	owners     []*upstream // by slice ID; index 0 is unused
	epochs     []uint64
	router     router
	samples    []sample
	nextID     uint64
	offered    int  // requests of callers, without retries
	stopped    bool // callers send no more requests
}

func newWorld(d deployment, seed uint64) *world {
	w := &world{deployment: d, seed: seed}
	w.random = w.stream(routerStream)
	w.keyed = w.upstreams("keyed", d.keyedUpstreams, firstUpstream)
	w.other = w.upstreams("other", d.otherUpstreams, firstUpstream+uint64(d.keyedUpstreams))
	w.owners = make([]*upstream, d.keyedUpstreams*slicesPerUpstream+1)
	w.epochs = make([]uint64, len(w.owners))
	for slice := 1; slice < len(w.owners); slice++ {
		owner := w.keyed[(slice-1)%d.keyedUpstreams]
		w.owners[slice] = owner
		w.epochs[slice] = 1
		owner.keyed = true
		owner.held[uint32(slice)] = w.fence(uint32(slice))
	}
	return w
}

// Streams of random numbers. They are separate, so that a change in the routing of one service does not change the
// arrivals or the service times of the other. Each upstream has a stream, from firstUpstream on.
const (
	routerStream uint64 = iota
	keyedArrivals
	otherArrivals
	firstUpstream
)

func (w *world) stream(number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, number))
}

func (w *world) upstreams(prefix string, count int, stream uint64) []*upstream {
	list := make([]*upstream, count)
	for i := range list {
		list[i] = &upstream{
			loop:   &w.loop,
			random: w.stream(stream + uint64(i)),
			name:   fmt.Sprint(prefix, "-", i),
			index:  i,
			domain: i % domainCount,
			held:   map[uint32]slicer.Fence{},
			warm:   true,
		}
	}
	return list
}

func (w *world) all() []*upstream {
	return slices.Concat(w.keyed, w.other)
}

func (w *world) fence(slice uint32) slicer.Fence {
	return slicer.Fence{Slice: slice, Term: 1, Epoch: w.epochs[slice]}
}

func hostDomain(host int) int { return host % domainCount }

// delay is the one-way network time between two failure domains.
func (w *world) delay(from, to int) time.Duration {
	if from == to {
		return sameDomainDelay
	}
	return w.deployment.crossDomainDelay
}

// startArrivals starts Poisson arrivals for both services; load is a share of the capacity of all upstreams.
func (w *world) startArrivals(load float64) {
	perSecond := load * slots / meanService.Seconds()
	w.scheduleArrival(w.stream(keyedArrivals), true, perSecond*float64(len(w.keyed)))
	w.scheduleArrival(w.stream(otherArrivals), false, perSecond*float64(len(w.other)))
}

func (w *world) scheduleArrival(random *rand.Rand, keyed bool, rate float64) {
	delay := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	w.after(delay, func() {
		if w.stopped {
			return
		}
		w.send(random, keyed, false)
		w.scheduleArrival(random, keyed, rate)
	})
}

// send sends one request of a caller to a random host. 60% of the requests are safe, 25% are idempotent and 15% must
// never run twice.
func (w *world) send(random *rand.Rand, keyed, poison bool) *request {
	w.nextID++
	r := &request{
		id:       w.nextID,
		keyed:    keyed,
		host:     random.IntN(hostCount),
		start:    w.now,
		deadline: w.now + deadline,
		poison:   poison,
	}
	switch draw := random.IntN(100); {
	case draw < 60:
		r.class = configurator.Safe
	case draw < 85:
		r.class = configurator.Idempotent
	}
	if keyed {
		r.slice = uint32(1 + random.IntN(len(w.owners)-1))
	}
	w.offered++
	w.after(deadline, func() { w.finish(r, false) })
	w.router.route(r)
	return r
}

// finish records the first response that the caller gets. The latency of a failed request counts as the full deadline.
func (w *world) finish(r *request, succeeded bool) {
	if r.done {
		return
	}
	r.done = true
	latency := w.now - r.start
	if !succeeded {
		latency = deadline
	}
	w.samples = append(w.samples, sample{start: r.start, latency: latency, keyed: r.keyed, failed: !succeeded})
}

// received returns the number of requests that all upstreams have received, including retries.
func (w *world) received() int {
	count := 0
	for _, u := range w.all() {
		count += u.received
	}
	return count
}

// summary holds the figures of a set of requests.
type summary struct {
	count  int
	failed int
	p50    time.Duration
	p99    time.Duration
	p999   time.Duration
}

// summarize returns the figures of the included requests that started at from or later, and before to.
func (w *world) summarize(from, to time.Duration, include func(sample) bool) summary {
	var latencies []time.Duration
	result := summary{}
	for _, s := range w.samples {
		if s.start < from || s.start >= to || !include(s) {
			continue
		}
		latencies = append(latencies, s.latency)
		if s.failed {
			result.failed++
		}
	}
	result.count = len(latencies)
	if result.count == 0 {
		return result
	}
	slices.Sort(latencies)
	at := func(q float64) time.Duration { return latencies[int(q*float64(len(latencies)-1))] }
	result.p50, result.p99, result.p999 = at(0.5), at(0.99), at(0.999)
	return result
}

func ofKeyed(s sample) bool { return s.keyed }
func ofOther(s sample) bool { return !s.keyed }
func ofBoth(sample) bool    { return true }
