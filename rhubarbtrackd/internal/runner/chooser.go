package runner

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
	"rhubarbtrack.example/rhubarbtrackd/internal/receiver"
)

// chooser picks upstreams for services that are not partitioned by key, and decides about further attempts.
type chooser struct {
	mu      sync.Mutex
	random  *rand.Rand
	locator *locator.Locator
	active  map[string]int
}

const (
	maxAttempts = 3
	retryDelay  = 20 * time.Millisecond
)

func newChooser(seed uint64, l *locator.Locator) *chooser {
	return &chooser{random: rand.New(rand.NewPCG(seed, 1)), locator: l, active: map[string]int{}}
}

// usable returns the upstreams of a service that may get new work.
func (c *chooser) usable(service string) []configurator.Upstream {
	config := c.locator.Config()
	table := c.locator.Table(service)
	if table == nil {
		return nil
	}
	var usable []configurator.Upstream
	for id, admission := range table.Admission {
		upstream, ok := config.Upstreams[id]
		if ok && admission.Host != "" && !upstream.Drained && !config.FailureDomains[upstream.FailureDomain].TakenOut {
			usable = append(usable, upstream)
		}
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].Name < usable[j].Name })
	return usable
}

// pick takes the less loaded one of two upstreams chosen at random.
func (c *chooser) pick(_ time.Duration, service string, avoid []string) (string, bool) {
	usable := slices.DeleteFunc(c.usable(service), func(u configurator.Upstream) bool {
		return slices.Contains(avoid, u.ID())
	})
	if len(usable) == 0 {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	first := usable[c.random.IntN(len(usable))].ID()
	second := usable[c.random.IntN(len(usable))].ID()
	if c.active[second] < c.active[first] {
		return second, true
	}
	return first, true
}

func (c *chooser) observe(_ time.Duration, observation receiver.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if observation.Started {
		c.active[observation.Upstream]++
		return
	}
	c.active[observation.Upstream]--
	if c.active[observation.Upstream] <= 0 {
		delete(c.active, observation.Upstream)
	}
}

func (c *chooser) retry(_ time.Duration, attempt receiver.Attempt) (time.Duration, bool) {
	return max(retryDelay, attempt.RetryAfter), attempt.Number < maxAttempts
}
