package assigner

import "time"

// ChurnBudget limits the rate of voluntary moves. It is a token bucket that is filled at a constant rate and is not
// safe for concurrent use.
type ChurnBudget struct {
	perMinute  float64
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

// NewChurnBudget returns a full budget that holds at most burst moves and grows by perMinute moves per minute.
func NewChurnBudget(now time.Duration, perMinute, burst float64) *ChurnBudget {
	return &ChurnBudget{perMinute: perMinute, burst: burst, tokens: burst, refilledAt: now}
}

// Available returns the number of moves that may be made now.
func (c *ChurnBudget) Available(now time.Duration) int {
	if now > c.refilledAt {
		c.tokens = min(c.burst, c.tokens+c.perMinute*(now-c.refilledAt).Minutes())
		c.refilledAt = now
	}
	return int(c.tokens)
}

// Spend subtracts the voluntary moves of a plan from the budget.
func (c *ChurnBudget) Spend(now time.Duration, moves []Move) {
	c.Available(now)
	c.tokens = max(0, c.tokens-float64(CountVoluntary(moves)))
}

// CountVoluntary returns the number of moves that count against the budget: transfers of slices whose owner could have
// kept them.
func CountVoluntary(moves []Move) int {
	count := 0
	for _, move := range moves {
		if move.Kind == Transfer && move.Reason != Unassigned && move.Reason != OwnerNotServing {
			count++
		}
	}
	return count
}
