// Package apportioner limits the requests of client accounts over all hosts together.
//
// The controller has a bucket of tokens for each account. It gives hosts tokens in advance, in proportion to the demand that they
// report, and a host runs a request of the account only with a token. Tokens that a host holds still count as in the bucket, so
// tokens that are idle on one host reduce what the others get, and hosts return them. A host may use its tokens for Lifetime after
// the controller has last confirmed them. The controller counts them as usable for at least as long, also if the host is cut off.
//
// # Usage
//
// On the controller:
//
//	c := apportioner.NewController[string](bounds)
//	c.Begin(now, first, recent)       // with each term
//	c.SetAccounts(now, accounts)      // with each configuration
//	c.Report(now, host, report)       // reports whether requests wait for tokens
//	c.Apportion(now)                  // before a round of heartbeats
//	grants := c.Grants(now, host)     // for one heartbeat
//	c.Confirm(now, host)              // when it has been sent
//	c.SetValid(now, valid)            // when the lease expires or is valid again
//	c.Remove(host)                    // when its connection has ended
//
// On each host:
//
//	h := apportioner.NewHost(bounds)
//	h.Ask(account)                            // once for each request
//	token, verdict, wait := h.Take(now, account)
//	if !h.Spend(now, token) { ... }           // immediately before the request is sent
//	h.Return(token)                           // if the request has not run
//	report := h.Report()
//	returns := h.Apply(now, madeAt, term, grants)
//
// # Invariants
//
// With C = Capacity(limit) and R the rate of the refill:
//
//   - The tokens in the bucket and on hosts are at most stableShare x C, and in any window at most R x window are added. So the
//     requests that run in a window are at most C + R x window, which is within the bound.
//   - Tokens of a controller end Lifetime after its lease at the latest. For two changes of the controller within the window, the
//     tokens of all three are at most C, because stableShare + 2 x takeoverShare is 1. After a further change, the controller gives
//     out nothing until the tokens of its predecessors have expired.
//   - A controller whose lease has expired gives out what is left in its bucket. It adds nothing, and confirms nothing. If its lease
//     is valid again in the same term, it adds the refill of the time since Lifetime after the lease expired, not of the time before.
//   - Tokens that return after the request was sent are at most returnShare of the allowance in a window.
//
// Neither type is safe for concurrent use. Times are durations since an arbitrary origin, which differs between hosts.
package apportioner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is the time after the last confirmation for which hosts may use tokens. It is longer than the lease of a
	// controller, so that hosts have tokens until a successor gives them new ones.
	Lifetime = 3 * time.Second
	// usedShare is the share of the allowance beyond the limit that the capacity contains. The rest covers tokens that return after
	// a request was sent, and requests that are sent later than their tokens were taken.
	usedShare   = 0.85
	returnShare = 0.1
	// stableShare is the share of the capacity that the bucket and the hosts have together. The rest is for the successors of a
	// controller: until the tokens of the predecessor have expired, bucket and hosts have takeoverShare, with which it begins.
	stableShare   = 0.7
	takeoverShare = 0.15
	// plannedShare is the share of all tokens that hosts get by their average demand. The others are for requests that wait on a
	// host to which callers have just moved.
	plannedShare = 0.85
	// maxRecent is the number of earlier terms that may have begun within the window or Lifetime. Their tokens, and those of the
	// term before them, fit into the capacity.
	maxRecent = 1
	// minCapacityShare is the minimum capacity as a share of the requests in a window. Without allowance and burst, the rate of
	// the refill is reduced for it.
	minCapacityShare = 0.1
	// minCapacity is the capacity in tokens below which the bucket would not hold a whole one.
	minCapacity = 2.0
	// demandTime is the time constant of the average demand of a host.
	demandTime = time.Second
	// minDemand is the demand in requests per second below which a host keeps no tokens.
	minDemand = 0.02
	// holdTime is the time for whose demand a host gets tokens, if there are enough.
	holdTime = 3 * time.Second
	// minHeld is the number of tokens beyond that, for the variation of small demands.
	minHeld = 2
	// minWait and maxWait bound the time after which a caller beyond the limit may retry. Tokens that other hosts return arrive
	// with the next report and heartbeat.
	minWait = 200 * time.Millisecond
	maxWait = 2 * time.Second
	// waitStep is the step of that time in messages, so that small changes are not sent.
	waitStep = 100 * time.Millisecond
	// MaxRows bounds the rows of a report and of grants. Further rows are sent with the next message.
	MaxRows = 1024
	// maxCount bounds the requests of a host that count between two reports.
	maxCount = 1 << 20
)

// Bounds are the bounds of the requests of an account in any window: (rate x window + burst) x (1 + overshoot) + slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Account is the limit of an account. Accounts without a limit are not listed.
type Account struct {
	Tag   Tag
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Tag identifies an account in messages.
type Tag uint64

// TagOf returns the tag of the account with a name.
func TagOf(name string) Tag { return Tag(xxhash.Sum64String(name)) }

// normalized returns bounds with a window, which the rates of the refill need.
func (b Bounds) normalized() Bounds {
	if b.Window <= 0 {
		b.Window = time.Second
	}
	return b
}

// Bound returns the number of requests of an account that may run in a window.
func (b Bounds) Bound(a Account) float64 {
	return (a.Rate*b.Window.Seconds()+a.Burst)*(1+b.Overshoot) + b.Slack
}

// allowance returns the number of requests in a window beyond the limit of the account that the bound allows.
func (b Bounds) allowance(a Account) float64 {
	return b.Overshoot*(a.Rate*b.Window.Seconds()+a.Burst) + b.Slack
}

// Capacity returns the most tokens of an account that may be valid at one time.
func (b Bounds) Capacity(a Account) float64 {
	capacity, _ := b.share(a)
	return capacity
}

// share returns the capacity of the bucket of an account, and the rate of its refill in tokens per second.
func (b Bounds) share(a Account) (capacity, rate float64) {
	capacity, rate = a.Burst+usedShare*b.allowance(a), a.Rate
	window := a.Rate * b.Window.Seconds()
	if missing := min(window, max(minCapacity, minCapacityShare*window)-capacity); missing > 0 {
		capacity += missing
		rate -= missing / b.Window.Seconds()
	}
	return capacity, rate
}

// Report is a message of a host to the controller. Ledger names the numbering of its counts, see Grants.
type Report struct {
	Term   uint64
	Ledger uint64
	Rows   []ReportRow
}

// ReportRow is the change of one account on a host. Spent, Returned and Refunded are counts since the ledger began.
type ReportRow struct {
	Account  Tag
	Spent    uint64 // tokens of requests that were sent
	Returned uint64 // unused tokens that the host has given back
	Refunded uint64 // tokens of requests that were sent, but have not run
	Asked    uint64 // requests since the last report
	Waiting  uint64 // requests that wait for a token now
}

// Grants is a message of the controller to a host about the tokens that the host got under the ledger, of all accounts. A ledger
// begins with each connection of a host.
type Grants struct {
	Ledger uint64
	// Confirms is set while the lease of the controller is valid. Without it, tokens expire with the last confirmation.
	Confirms bool
	Rows     []GrantRow
}

// GrantRow is the change of one account. Granted is a count since the ledger began.
type GrantRow struct {
	Account Tag
	Granted uint64
	Keep    uint64        // tokens that the host may hold; it returns the others
	Wait    time.Duration // time until there is a token for a further request; 0 if there are tokens
}
