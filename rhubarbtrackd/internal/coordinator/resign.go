package coordinator

import (
	"context"
	"time"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/contender"
)

// Resign releases the lease, after moves that have begun have ended or settleTime has passed. It returns when the store has
// confirmed the release, or when ctx is done.
func (c *Coordinator) Resign(ctx context.Context) {
	end := c.options.Now() + settleTime
	for ctx.Err() == nil {
		done := make(chan bool, 1)
		c.post(func() {
			c.resignWhenSettled(ctx, end)
			done <- !c.contender.IsHolder()
		})
		select {
		case <-ctx.Done():
			return
		case <-c.stopped:
			return
		case free := <-done:
			if free {
				return
			}
		}
		time.Sleep(tickInterval)
	}
}

// resignWhenSettled resigns when no range is being moved, at the latest at end.
func (c *Coordinator) resignWhenSettled(ctx context.Context, end time.Duration) {
	c.observeGeneration(ctx, c.options.Now())
	if c.resigned {
		return
	}
	if !c.settled(ctx, end) {
		return
	}
	c.resigned = true
	c.stepElection(ctx, contender.Resign{})
}

// settled ends moves by load, and reports whether no range is being moved and the store has all tables, or end has passed.
func (c *Coordinator) settled(ctx context.Context, end time.Duration) bool {
	now, moving := c.options.Now(), 0
	for _, svc := range c.services {
		c.step(ctx, svc, allocator.Settle{})
		moving += svc.allocator.Moving()
		if svc.allocator.IsLost() {
			moving++
		}
	}
	return moving == 0 || now >= end || !c.contender.Valid(now)
}
