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
	hostCount   = 11
	domainCount = 3
	// slicesPerUpstream ranges of the key space belong to each upstream at the start.
	slicesPerUpstream = 16
	deadline          = time.Second
	// sameDomainDelay is the one-way delay between machines of one failure domain.
	sameDomainDelay = 50 * time.Microsecond
)

// user holds the sizes of one user from section 2 of the design page.
type user struct {
	name             string
	keyed            int // upstreams of the service partitioned by key
	other            int // upstreams of the other service
	crossDomainDelay time.Duration
}

var users = []user{
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
	attempts int
	reroutes int
}

// sample is the end of a request as its caller sees it.
type sample struct {
	start   time.Duration
	latency time.Duration
	keyed   bool
	failed  bool
}

// router sends requests to upstreams; there is one with the cores of this project and one naive one.
type router interface {
	route(*request)
	// move changes the owner of a slice as a planned move.
	move(slice uint32, to *upstream)
	// drain tells the hosts that upstreams leave or have returned.
	drain(leaving []*upstream, drained bool)
	// ready returns how many requests at once the router sends to u at most.
	ready(u *upstream) int
}

// world is one run: callers, hosts, network and upstreams.
type world struct {
	loop
	user    user
	random  *rand.Rand // for the routers
	seed    uint64
	keyed   []*upstream
	other   []*upstream
	owners  []*upstream // by slice ID; index 0 is unused
	epochs  []uint64
	router  router
	samples []sample
	nextID  uint64
	sent    int
	stopped bool // no new requests arrive
}

func newWorld(user user, seed uint64) *world {
	w := &world{user: user, seed: seed}
	w.random = w.stream(routerStream)
	w.keyed = w.upstreams("keyed", user.keyed, firstUpstream)
	w.other = w.upstreams("other", user.other, firstUpstream+uint64(user.keyed))
	w.owners = make([]*upstream, user.keyed*slicesPerUpstream+1)
	w.epochs = make([]uint64, len(w.owners))
	for slice := 1; slice < len(w.owners); slice++ {
		owner := w.keyed[(slice-1)%user.keyed]
		w.owners[slice] = owner
		w.epochs[slice] = 1
		owner.keyed = true
		owner.held[uint32(slice)] = w.fence(uint32(slice))
	}
	return w
}

// Streams of random numbers. They are separate, so that a change in the handling of one service does not change the
// arrivals or the service times of the other.
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
	return w.user.crossDomainDelay
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

// send lets a caller send one request to a random host: 60% are safe, 25% idempotent, 15% never repeated.
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
	w.sent++
	w.after(deadline, func() { w.finish(r, false) })
	w.router.route(r)
	return r
}

// finish records the first answer that the caller gets. Failed requests count with the whole deadline.
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

// received returns the number of requests that reached upstreams.
func (w *world) received() int {
	count := 0
	for _, u := range w.all() {
		count += u.received
	}
	return count
}

// summary holds the figures of the requests of one service that started in a period.
type summary struct {
	count  int
	failed int
	p50    time.Duration
	p99    time.Duration
	p999   time.Duration
}

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
