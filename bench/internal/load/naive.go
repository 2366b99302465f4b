package load

import (
	"time"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

const (
	naiveRetryDelay     = 5 * time.Millisecond // fixed, without backoff
	naiveHealthInterval = time.Second
	// naiveRelayTime is the longest time until a host has received a changed table.
	naiveRelayTime = 100 * time.Millisecond
)

// naive is the router of the baseline. Every host sends requests directly to the upstreams. It limits its own requests
// in flight to each upstream to the number of slots, and does not take those of other hosts into account. It chooses
// round robin for the service that is not keyed, and retries failed requests without limit until their deadline.
type naive struct {
	w     *world
	hosts []*naiveHost
}

type naiveHost struct {
	table       []route     // by slice
	healthy     []*upstream // of the service that is not keyed
	nextHealthy int
	limiters    map[*upstream]*naiveLimiter
}

// naiveLimiter queues the requests of one host to one upstream beyond the limit.
type naiveLimiter struct {
	inFlight int
	queue    []func()
}

func newNaive(w *world) *naive {
	n := &naive{w: w}
	for range hostCount {
		h := &naiveHost{table: make([]route, len(w.owners)), limiters: map[*upstream]*naiveLimiter{}}
		for slice := 1; slice < len(h.table); slice++ {
			h.table[slice] = route{w.owners[slice], w.fence(uint32(slice))}
		}
		for _, u := range w.all() {
			h.limiters[u] = &naiveLimiter{}
		}
		n.hosts = append(n.hosts, h)
	}
	n.checkHealth()
	w.every(naiveHealthInterval, n.checkHealth)
	return n
}

func (n *naive) checkHealth() {
	for _, h := range n.hosts {
		h.healthy = h.healthy[:0]
		for _, u := range n.w.other {
			if !u.down && !u.draining {
				h.healthy = append(h.healthy, u)
			}
		}
	}
}

func (n *naive) route(r *request) {
	if r.done {
		return
	}
	h := n.hosts[r.host]
	if r.keyed {
		n.enqueue(h, r, h.table[r.slice])
		return
	}
	if len(h.healthy) == 0 {
		n.w.after(naiveRetryDelay, func() { n.route(r) })
		return
	}
	h.nextHealthy = (h.nextHealthy + 1) % len(h.healthy)
	n.enqueue(h, r, route{owner: h.healthy[h.nextHealthy]})
}

func (n *naive) enqueue(h *naiveHost, r *request, to route) {
	limiter := h.limiters[to.owner]
	if limiter.inFlight >= slots {
		limiter.queue = append(limiter.queue, func() { n.send(h, r, to) })
		return
	}
	n.send(h, r, to)
}

func (n *naive) send(h *naiveHost, r *request, to route) {
	if r.done {
		return
	}
	limiter := h.limiters[to.owner]
	limiter.inFlight++
	networkDelay := n.w.delay(hostDomain(r.host), to.owner.domain)
	n.w.after(networkDelay, func() {
		to.owner.serve(r, to.fence, func(response reply) {
			n.w.after(networkDelay, func() { n.complete(limiter, r, response) })
		})
	})
}

func (n *naive) complete(limiter *naiveLimiter, r *request, response reply) {
	limiter.inFlight--
	switch {
	case response.outcome == admitter.Succeeded:
		n.w.finish(r, true)
	case r.done:
	case canRetry(r.class, response.outcome):
		n.w.after(naiveRetryDelay, func() { n.route(r) })
	default:
		n.w.finish(r, false)
	}
	for len(limiter.queue) > 0 && limiter.inFlight < slots {
		next := limiter.queue[0]
		limiter.queue = limiter.queue[1:]
		next()
	}
}

// move assigns the slice to its new owner immediately, without waiting for requests in flight.
func (n *naive) move(slice uint32, to *upstream) {
	delete(n.w.owners[slice].held, slice)
	n.w.epochs[slice]++
	n.w.owners[slice] = to
	fence := slicer.Fence{Slice: slice, Term: 1, Epoch: n.w.epochs[slice]}
	to.held[slice] = fence
	for _, h := range n.hosts {
		delay := time.Duration(n.w.random.Int64N(int64(naiveRelayTime)))
		n.w.after(delay, func() { h.table[slice] = route{to, fence} })
	}
}

// drain does nothing: the hosts detect draining upstreams by their health checks.
func (n *naive) drain([]*upstream, bool) {}

func (n *naive) ready(*upstream) int { return slots }

// canRetry applies the one retry rule that the baseline follows: a request that must never run twice is retried only
// when it certainly did not run.
func canRetry(class configurator.Class, outcome admitter.Outcome) bool {
	return outcome.NotRun() || class != configurator.NeverRepeat
}
