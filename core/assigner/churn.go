package assigner

import "time"

// Churn is the budget for moves made by choice: a token bucket that is filled at a constant rate.
type Churn struct {
	perMinute float64
	burst     float64
	tokens    float64
	at        time.Duration
}

// NewChurn returns a full budget of burst moves that grows by perMinute moves a minute up to burst.
func NewChurn(now time.Duration, perMinute, burst float64) *Churn {
	return &Churn{perMinute: perMinute, burst: burst, tokens: burst, at: now}
}

// Available returns the number of moves that may be made now.
func (c *Churn) Available(now time.Duration) int {
	if now > c.at {
		c.tokens = min(c.burst, c.tokens+c.perMinute*(now-c.at).Minutes())
		c.at = now
	}
	return int(c.tokens)
}

// Spend takes the moves that a plan makes by choice from the budget.
func (c *Churn) Spend(now time.Duration, moves []Move) {
	c.Available(now)
	c.tokens = max(0, c.tokens-float64(Voluntary(moves)))
}

// Voluntary returns the number of moves that were made by choice and count against the budget.
func Voluntary(moves []Move) int {
	count := 0
	for _, move := range moves {
		if move.Kind == Transfer && move.Reason != Unassigned && move.Reason != OwnerGone {
			count++
		}
	}
	return count
}
