package assigner

import "time"

// ChurnBudget is the budget for moves made by choice: a token bucket that is filled at a constant rate.
type ChurnBudget struct {
	perMinute float64
	burst     float64
	tokens    float64
	at        time.Duration
}

// NewChurnBudget returns a full budget of burst moves that grows by perMinute moves a minute up to burst.
func NewChurnBudget(now time.Duration, perMinute, burst float64) *ChurnBudget {
	return &ChurnBudget{perMinute: perMinute, burst: burst, tokens: burst, at: now}
}

// Available returns the number of moves that may be made now.
func (c *ChurnBudget) Available(now time.Duration) int {
	if now > c.at {
		c.tokens = min(c.burst, c.tokens+c.perMinute*(now-c.at).Minutes())
		c.at = now
	}
	return int(c.tokens)
}

// Spend takes the moves that a plan makes by choice from the budget.
func (c *ChurnBudget) Spend(now time.Duration, moves []Move) {
	c.Available(now)
	c.tokens = max(0, c.tokens-float64(CountVoluntary(moves)))
}

// CountVoluntary returns the number of moves that were made by choice and count against the budget.
func CountVoluntary(moves []Move) int {
	count := 0
	for _, move := range moves {
		if move.Kind == Transfer && move.Reason != Unassigned && move.Reason != OwnerNotServing {
			count++
		}
	}
	return count
}
