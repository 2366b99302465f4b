package apportioner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Controller gives the tokens of all accounts to hosts. K identifies the connection of a host.
type Controller[K comparable] struct {
	bounds     Bounds
	accounts   map[Tag]*account[K]
	ledgers    map[K]*ledger
	ended      []*ledger // of connections that have ended, whose tokens may still be used
	lastLedger uint64
	began      time.Duration // of the term
	first      bool          // no controller has preceded this one
	expired    bool          // the lease is not valid
	expiredAt  time.Duration
	recent     int // number of earlier terms that began within the window or Lifetime
}

// ledger holds the tokens that one connection of a host got.
type ledger struct {
	number  uint64
	expires time.Duration // the host uses no token after this time
	entries map[Tag]*entry
	changed map[Tag]bool // accounts of which the host has not got the last state
}

// entry holds the tokens of one account on one host. The counts are those of ReportRow and GrantRow.
type entry struct {
	granted, spent, returned, refunded uint64
	demand                             float64 // requests per second, decayed
	updatedAt                          time.Duration
	waiting                            float64
	carry                              float64 // fraction of a token that the host is owed
	keep                               uint64
	wait                               time.Duration
}

func (e *entry) held() float64 { return float64(e.granted - e.spent - e.returned) }

func (e *entry) decay(now time.Duration) {
	e.demand *= math.Exp(-max(0, now-e.updatedAt).Seconds() / demandTime.Seconds())
	e.updatedAt = now
}

// holder is a host with an entry for an account.
type holder[K comparable] struct {
	host K
	*entry
}

type account[K comparable] struct {
	Account
	capacity, rate float64
	tokens         float64
	refilledAt     time.Duration
	refunds        float64       // tokens that may still return after their requests were sent
	holders        []holder[K]   // in the order of their first reports
	removedAt      time.Duration // when it was last seen without a limit and, after that, with holders; 0: it has a limit
}

// NewController returns a controller that gives no tokens until Begin is called.
func NewController[K comparable](bounds Bounds) *Controller[K] {
	return &Controller[K]{bounds: bounds.normalized(), accounts: map[Tag]*account[K]{}, ledgers: map[K]*ledger{}}
}

// Begin starts a term and discards the state of the last one. first is set if there was no controller before. recent is the number
// of earlier terms that are known to have begun within the window or Lifetime.
func (c *Controller[K]) Begin(now time.Duration, first bool, recent int) {
	*c = Controller[K]{
		bounds: c.bounds, accounts: map[Tag]*account[K]{}, ledgers: map[K]*ledger{}, lastLedger: c.lastLedger, began: now, first: first,
		recent: recent,
	}
}

// SetBounds replaces the bounds.
func (c *Controller[K]) SetBounds(now time.Duration, bounds Bounds) {
	bounds = bounds.normalized()
	if c.bounds == bounds {
		return
	}
	c.bounds = bounds
	for _, a := range c.accounts {
		c.refill(now, a)
		a.capacity, a.rate = bounds.share(a.Account)
	}
}

// SetAccounts replaces the limits. The bucket of a new account is full, unless a predecessor may have given tokens of the account
// within the window.
func (c *Controller[K]) SetAccounts(now time.Duration, accounts []Account) {
	listed := make(map[Tag]bool, len(accounts))
	for _, limit := range accounts {
		listed[limit.Tag] = true
		a := c.accounts[limit.Tag]
		if a == nil {
			a = &account[K]{refilledAt: now}
			c.accounts[limit.Tag] = a
			capacity, _ := c.bounds.share(limit)
			switch {
			case c.first || now >= c.began+c.bounds.Window+Lifetime:
				a.tokens = capacity
			case c.recent <= maxRecent:
				a.tokens = takeoverShare * capacity
			}
		} else {
			c.refill(now, a)
		}
		a.Account, a.removedAt = limit, 0
		a.capacity, a.rate = c.bounds.share(limit)
		c.refill(now, a)
	}
	for tag, a := range c.accounts {
		switch {
		case listed[tag]:
		case a.removedAt == 0 || len(a.holders) > 0:
			// Counts are totals since the connection began, so the entry stays for as long as the connection.
			a.removedAt = now
		case now >= a.removedAt+c.bounds.Window+Lifetime:
			delete(c.accounts, tag)
		}
	}
}

// limitShare returns the share of the capacity that the bucket and the hosts may have together.
func (c *Controller[K]) limitShare(now time.Duration) float64 {
	switch {
	case c.first || now >= c.began+Lifetime:
		return stableShare
	case c.recent <= maxRecent:
		return takeoverShare
	}
	return 0
}

// SetValid records whether the lease of the controller is valid. If it is valid again in the same term, no other controller has given
// tokens in between. The refill catches up only with the time in which hosts had no tokens: those from before the lease expired may
// have been used until Lifetime after that, and a refill of the same time at once would add to them in one window.
func (c *Controller[K]) SetValid(now time.Duration, valid bool) {
	if valid == !c.expired {
		return
	}
	if !valid {
		for _, a := range c.accounts {
			c.refill(now, a)
		}
		c.expiredAt = now
	} else {
		for _, a := range c.accounts {
			a.refilledAt = max(a.refilledAt, min(now, c.expiredAt+Lifetime))
		}
	}
	c.expired = !valid
}

// outstanding returns the tokens of an account that hosts may use.
func (c *Controller[K]) outstanding(a *account[K]) float64 {
	sum := 0.0
	for _, e := range a.holders {
		sum += e.held()
	}
	for _, l := range c.ended {
		if e := l.entries[a.Tag]; e != nil {
			sum += e.held()
		}
	}
	return sum
}

func (c *Controller[K]) refill(now time.Duration, a *account[K]) {
	if c.expired {
		now = min(now, c.expiredAt)
	}
	// The time until the tokens of the predecessor end counts with the lower limit, also if nothing touched the account meanwhile.
	if edge := c.began + Lifetime; !c.first && a.refilledAt < edge-1 && now >= edge {
		c.refill(edge-1, a)
	}
	elapsed := max(0, now-a.refilledAt).Seconds()
	a.refilledAt = max(a.refilledAt, now)
	a.tokens += a.rate * elapsed
	a.tokens = max(0, min(a.tokens, c.limitShare(now)*a.capacity-c.outstanding(a)))
	// In a window, at most this bucket and its refill return, which is returnShare of the allowance.
	most := returnShare * c.bounds.allowance(a.Account) / 2
	a.refunds = min(most, a.refunds+most*elapsed/c.bounds.Window.Seconds())
}

// Report records the report of a host. It reports whether requests wait for tokens.
func (c *Controller[K]) Report(now time.Duration, host K, report Report) (waits bool) {
	l := c.ledger(now, host)
	for _, row := range report.Rows[:min(len(report.Rows), MaxRows)] {
		a := c.accounts[row.Account]
		if a == nil || a.removedAt != 0 {
			continue
		}
		e := l.entries[row.Account]
		if e == nil {
			e = &entry{updatedAt: now}
			l.entries[row.Account] = e
			a.holders = append(a.holders, holder[K]{host, e})
		}
		c.refill(now, a)
		if report.Ledger == l.number {
			c.settle(a, e, row)
		}
		e.decay(now)
		e.demand += float64(min(row.Asked, maxCount)) / demandTime.Seconds()
		e.waiting = float64(min(row.Waiting, maxCount))
		if e.waiting > 0 {
			waits = true
			l.changed[row.Account] = true
		}
	}
	return waits
}

// settle applies the counts of a host. Counts that decrease, or of tokens that it did not get, are ignored.
func (c *Controller[K]) settle(a *account[K], e *entry, row ReportRow) {
	if row.Spent < e.spent || row.Returned < e.returned || row.Refunded < e.refunded || row.Refunded > row.Spent ||
		row.Spent > e.granted || row.Returned > e.granted-row.Spent {
		return
	}
	a.tokens += float64(row.Returned - e.returned)
	refund := min(float64(row.Refunded-e.refunded), a.refunds)
	a.refunds -= refund
	a.tokens += refund
	e.spent, e.returned, e.refunded = row.Spent, row.Returned, row.Refunded
}

func (c *Controller[K]) ledger(now time.Duration, host K) *ledger {
	l := c.ledgers[host]
	if l == nil {
		c.lastLedger++
		l = &ledger{number: c.lastLedger, expires: now, entries: map[Tag]*entry{}, changed: map[Tag]bool{}}
		c.ledgers[host] = l
	}
	return l
}

// Remove ends the ledger of a host whose connection has ended. Its tokens count until they have expired.
func (c *Controller[K]) Remove(host K) {
	l := c.ledgers[host]
	if l == nil {
		return
	}
	delete(c.ledgers, host)
	for tag := range l.entries {
		if a := c.accounts[tag]; a != nil {
			a.holders = slices.DeleteFunc(a.holders, func(h holder[K]) bool { return h.host == host })
			if a.removedAt != 0 {
				a.removedAt = max(a.removedAt, l.expires) // its tokens may be used until then
			}
		}
	}
	c.ended = append(c.ended, l)
}

// Confirm records that the grants for a host were sent at now or earlier. It uses its tokens until Lifetime after that.
func (c *Controller[K]) Confirm(now time.Duration, host K) {
	if l := c.ledgers[host]; l != nil {
		if !c.expired {
			l.expires = max(l.expires, now+Lifetime)
		}
	}
}

// Grants returns the changes for a host, and confirms its tokens if the lease is valid. Confirm must follow when the grants have been
// sent.
func (c *Controller[K]) Grants(now time.Duration, host K) Grants {
	l := c.ledger(now, host)
	c.Confirm(now, host)
	grants := Grants{Ledger: l.number, Confirms: !c.expired}
	tags := slices.Sorted(maps.Keys(l.changed))
	for _, tag := range tags[:min(len(tags), MaxRows)] {
		delete(l.changed, tag)
		if e := l.entries[tag]; e != nil {
			grants.Rows = append(grants.Rows, GrantRow{
				Account: tag, Granted: e.granted, Keep: max(e.keep, uint64(e.waiting)), Wait: e.wait,
			})
		}
	}
	return grants
}

// Tokens returns the tokens of an account in the bucket and those that hosts may use.
func (c *Controller[K]) Tokens(now time.Duration, tag Tag) (bucket, held float64) {
	a := c.accounts[tag]
	if a == nil {
		return 0, 0
	}
	c.refill(now, a)
	return a.tokens, c.outstanding(a)
}
