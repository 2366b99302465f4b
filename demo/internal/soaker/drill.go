package soaker

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// The store comes back from copies in runs whose seeds, divided by drillSeedInterval, leave a remainder from firstDrillSeed to
	// lastDrillSeed, except in those with planned operations only.
	drillSeedInterval = 5
	firstDrillSeed    = 2
	lastDrillSeed     = 3
	minCopyAge        = time.Second
	maxCopyAge        = 6 * time.Second
	maxAwayTime       = 1500 * time.Millisecond
	// maxRewriteDelay bounds the time until operators have written again what the copy lacks.
	maxRewriteDelay = 500 * time.Millisecond
	maxDrillPause   = 2 * time.Second
)

func (c *cluster) hasDrills() bool {
	remainder := c.options.Seed % drillSeedInterval
	return !c.planned && firstDrillSeed <= remainder && remainder <= lastDrillSeed
}

// drill makes the store go away and come back from a copy, once or twice. Other faults go on.
func (c *cluster) drill(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.options.Seed, 6))
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	sleep(ctx, draw(0, c.options.Length/2))
	for range 1 + random.IntN(2) {
		copied := c.store.Copy()
		age, away := draw(minCopyAge, maxCopyAge), draw(0, maxAwayTime)
		sleep(ctx, age)
		// Operators get no acknowledgement for a new version of the configuration until they have written the last one again.
		c.configuring.Lock()
		c.logf("store away")
		c.store.Leave()
		sleep(ctx, away)
		c.logf("store back from a copy of %v before", age+away)
		c.store.Return(copied)
		sleep(ctx, draw(0, maxRewriteDelay))
		c.store.RewriteOperators()
		c.configuring.Unlock()
		sleep(ctx, draw(0, maxDrillPause))
	}
}
