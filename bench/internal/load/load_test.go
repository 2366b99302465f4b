package load

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against events that run out of order, which makes all figures wrong.
func TestLoop(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var l loop
	var got, want []int
	for i := range 1000 {
		delay := random.IntN(100)
		want = append(want, delay*1000+i)
		l.after(time.Duration(delay), func() { got = append(got, delay*1000+i) })
	}
	slices.Sort(want)
	l.until(time.Second)
	assert.DeepEqual(t, got, want)
}

// Guards against simulated upstreams that accept more than docs/protocols.md allows: a cold upstream runs 1 request at
// once, one more for each 20 completed requests, and rejects the rest.
func TestColdUpstream(t *testing.T) {
	w := newWorld(deployments[0], 1)
	u := w.other[0]
	u.restart()
	completed := 0
	for range 10 * completionsPerStep {
		limit := u.concurrencyLimit()
		assert.Equal(t, limit, min(1+completed/completionsPerStep, slots))
		var rejected, responses int
		for range limit + 1 {
			u.serve(&request{}, w.fence(0), func(response reply) {
				responses++
				if response.outcome.NotRun() {
					rejected++
				}
			})
		}
		w.until(w.now + deadline)
		assert.Equal(t, responses, limit+1)
		assert.Equal(t, rejected, 1)
		completed += limit
	}
}

// Guards against figures that differ between runs of one seed, and against a router that loses requests when upstreams
// crash.
func TestSameSeedSameFigures(t *testing.T) {
	for _, withCores := range []bool{false, true} {
		var runs [2][]sample
		for i := range runs {
			w := build(deployments[1], 1, withCores)
			w.startArrivals(offeredLoad)
			for _, u := range w.all() {
				w.until(w.now + 20*time.Millisecond)
				u.crash()
			}
			w.stopped = true
			w.until(w.now + 2*deadline)
			runs[i] = w.samples
			assert.Equal(t, len(w.samples), w.offered)
		}
		assert.Assert(t, slices.Equal(runs[0], runs[1]))
	}
}
