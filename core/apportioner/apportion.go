package apportioner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Apportion gives the tokens of all accounts to hosts by their demand. Grants returns them.
func (c *Controller[K]) Apportion(now time.Duration) {
	// Tokens that have expired leave the sum now. Accounts are refilled before, because a refill of the time in which they
	// counted would replace them at once.
	for _, l := range c.ended {
		if now < l.expires {
			continue
		}
		for tag := range l.entries {
			if a := c.accounts[tag]; a != nil {
				c.refill(now, a)
			}
		}
	}
	live := c.ended[:0]
	for _, l := range c.ended {
		if now < l.expires {
			live = append(live, l)
		}
	}
	clear(c.ended[len(live):])
	c.ended = live
	for _, a := range c.accounts {
		if len(a.holders) > 0 {
			c.apportion(now, a, func(K) bool { return true })
		}
	}
}

// ApportionWaiting gives tokens only of the accounts for which requests wait on a host. It returns the hosts that should get their
// grants at once: this one, and those that hold more than they may keep.
func (c *Controller[K]) ApportionWaiting(now time.Duration, host K) []K {
	hosts := []K{host}
	l := c.ledgers[host]
	if l == nil {
		return nil
	}
	for _, tag := range slices.Sorted(maps.Keys(l.entries)) {
		a := c.accounts[tag]
		if a == nil || l.entries[tag].waiting == 0 {
			continue
		}
		c.apportion(now, a, func(h K) bool { return h == host })
		for _, e := range a.holders {
			if c.ledgers[e.host].changed[tag] && e.held() > float64(e.keep) && !slices.Contains(hosts, e.host) {
				hosts = append(hosts, e.host)
			}
		}
	}
	return hosts
}

// apportion gives tokens first to the requests that wait, and then to the hosts in scope by their demand.
func (c *Controller[K]) apportion(now time.Duration, a *account[K], inScope func(K) bool) {
	c.refill(now, a)
	held, demand := c.outstanding(a), 0.0
	for _, e := range a.holders {
		e.decay(now)
		demand += e.demand
	}
	planned := plannedShare * (a.tokens + held)
	unmet := func(e holder[K]) float64 { return max(0, e.waiting-e.held()) }
	c.give(a, a.tokens, unmet)
	held = c.outstanding(a)
	c.give(a, min(a.tokens, planned-held), func(e holder[K]) float64 {
		if !inScope(e.host) {
			return 0
		}
		return max(0, e.target(demand, planned)-e.held())
	})
	missing, idle := 0.0, 0.0
	for _, e := range a.holders {
		missing += unmet(e)
		idle += max(0, e.held()-e.waiting)
	}
	// Tokens that other hosts hold return for the requests that wait, if there are enough.
	returning := 0.0 // share of the idle tokens
	if missing > 0 && idle >= missing {
		returning = missing / idle
	}
	wait := time.Duration(0)
	if a.tokens < 1 && missing > idle && a.rate > 0 {
		wait = min(maxWait, max(minWait, time.Duration((missing+1)/a.rate*float64(time.Second)))).Round(waitStep)
	}
	scarce := a.tokens < 1 || c.outstanding(a) > planned
	for _, e := range a.holders {
		keep := e.keepTarget(demand, planned, scarce)
		if returning > 0 {
			keep = min(keep, uint64(e.waiting+max(0, e.held()-e.waiting)*(1-returning)))
		}
		// Small changes are not worth a message unless the host holds more.
		if e.wait != wait || (keep < e.keep && e.held() > float64(keep)) || keep > e.keep+e.keep/2 {
			e.keep, e.wait = keep, wait
			c.ledgers[e.host].changed[a.Tag] = true
		}
	}
}

// give gives up to free tokens to hosts in proportion to their needs. Fractions are carried over to the next round.
func (c *Controller[K]) give(a *account[K], free float64, need func(holder[K]) float64) {
	needs := 0.0
	for _, e := range a.holders {
		needs += need(e)
	}
	if needs == 0 || free <= 0 {
		return
	}
	for _, e := range a.holders {
		n := need(e)
		if n == 0 {
			continue
		}
		e.carry += n * min(1, free/needs)
		grant := max(0, math.Floor(min(e.carry, n, free)))
		e.carry = min(1, e.carry-grant)
		if grant > 0 {
			e.granted += uint64(grant)
			a.tokens -= grant
			free -= grant
			needs -= grant
			c.ledgers[e.host].changed[a.Tag] = true
		}
	}
}

// target returns the number of tokens that a host should hold, given the demand of all hosts and the number of tokens that they
// should hold together.
func (e *entry) target(demand, planned float64) float64 {
	if e.demand < minDemand {
		return e.waiting
	}
	return max(e.waiting, math.Round(min(e.demand*holdTime.Seconds()+minHeld, planned*e.demand/demand)))
}

// keepTarget returns the number of tokens that a host may keep. It is above the target while there are enough tokens, so that they
// do not move to and fro.
func (e *entry) keepTarget(demand, planned float64, scarce bool) uint64 {
	target := e.target(demand, planned)
	if scarce || e.demand < minDemand {
		return uint64(target)
	}
	return uint64(2*target) + minHeld
}
