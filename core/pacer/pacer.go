// Package pacer decides how much of its messages to other hosts a controller may send, so that the writes that renew its lease, and
// its grants and releases, do not wait behind them on its link, nor for its processor.
//
// It answers a load that the controller cannot choose: the more hosts and upstreams there are, and the faster their load
// changes, the more there is to send. Messages may take a share of the link. What does not fit is shed, in this order: load
// reports, run times, changes of tables. The state of the lease is always sent. A processor that is late counts as a slower
// link.
//
// # Usage
//
//	p := pacer.New(now, settings.LinkRate)
//	p.ObserveDelay(delay)                        // at each tick of the caller
//	reports := p.Budget(now, pacer.Loads) / size // reports that may be sent
//	if p.TakeTables(now) { ... }                 // changes of tables may be sent; TakeFullState is similar
//	p.Spend(now, bytes)                          // for each message, also for those that are not shed
//	p.SpendFullState(now, bytes)                 // instead of Spend, for a message with a full state
//	p.Shed(now)                                  // something was held back
//	if p.Starved(now) { ... }
//
// Times are durations since an arbitrary origin. A Pacer is not safe for concurrent use.
package pacer

import (
	"math"
	"time"
)

// Part is a part of the controller's messages. Later ones are shed before earlier ones.
type Part int

const (
	// Tables are changes of ownership tables.
	Tables Part = iota
	// FullStates are the tables and the copy of the store for a host that has just connected.
	FullStates
	// RunTimes are the mean run times of upstreams.
	RunTimes
	// Loads are the load reports of upstreams.
	Loads
)

// reserves are the shares of the burst that a part leaves to the parts before it.
var reserves = [...]float64{Tables: 0, FullStates: 0.125, RunTimes: 0.25, Loads: 0.5}

const (
	// linkShare is the share of the link that messages to other hosts may take. The rest is for callers, upstreams and the store.
	linkShare = 0.4
	// burstTime is the time whose bytes may be sent at once. Behind a burst, a write to the store waits for linkShare of it.
	burstTime = 250 * time.Millisecond
	// maxDebtTime is the time whose bytes count after a message that is larger than a burst. One second would hold back run
	// times for a second after a peak, see TestRecovery.
	maxDebtTime = 500 * time.Millisecond
	// maxHoldTime bounds how long changes of tables are held back, and how long full states are held back for other messages.
	// Hosts that lack them send requests to former owners.
	maxHoldTime = time.Second
	// delayWeight is the weight of a new delay in the mean.
	delayWeight = 0.1
	// delayTarget is the mean delay of the processor from which less is sent. A host that is idle stays far below it.
	delayTarget = 20 * time.Millisecond
	// starvedDelay is the mean delay of the processor from which a controller is starved: half of the time between two heartbeats.
	starvedDelay = 100 * time.Millisecond
	// shedMemory is how long a controller counts as starved after it has shed something: five heartbeats. Load varies from one to
	// the next.
	shedMemory = time.Second
)

// Pacer accounts for the messages of one controller.
type Pacer struct {
	rate   float64 // bytes per second; 0: unlimited
	tokens float64
	last   time.Duration
	delay  time.Duration // mean delay of the processor
	shed   bool
	shedAt time.Duration // time of the last Shed
	tables time.Duration // time of the last changes of tables
	full   time.Duration // time of the last full state
	// fullEnd is when the share of the link has carried all full states, and fullPending is set between TakeFullState and the
	// message.
	fullEnd     time.Duration
	fullPending bool
}

// New returns a Pacer for a link of the given rate in bytes per second. 0 is an unknown rate, which is not limited.
func New(now time.Duration, linkRate float64) *Pacer {
	p := &Pacer{rate: linkShare * linkRate, last: now, tables: now, full: now}
	p.tokens = p.burst()
	return p
}

func (p *Pacer) burst() float64 { return p.rate * burstTime.Seconds() }

// slowdown is the factor by which a late processor reduces the rate.
func (p *Pacer) slowdown() float64 { return max(1, float64(p.delay)/float64(delayTarget)) }

func (p *Pacer) refill(now time.Duration) {
	if now > p.last {
		p.tokens = min(p.burst(), p.tokens+p.rate/p.slowdown()*(now-p.last).Seconds())
		p.last = now
	}
}

// Spend counts bytes that were sent at now.
func (p *Pacer) Spend(now time.Duration, bytes int) {
	if p.rate == 0 {
		return
	}
	p.fullPending = false
	p.refill(now)
	// Without a bound, parts that are never shed could hold back the others for long after a peak.
	p.tokens = max(-p.rate*maxDebtTime.Seconds(), p.tokens-float64(bytes))
}

// SpendFullState counts the bytes of a message with a full state that was sent at now. The next full states wait until the share
// of the link has carried all of it, however large it is. Load reports and changes do not wait as long.
func (p *Pacer) SpendFullState(now time.Duration, bytes int) {
	if p.rate == 0 {
		return
	}
	p.Spend(now, bytes)
	p.fullEnd = max(p.fullEnd, now) + time.Duration(float64(bytes)/p.rate*float64(time.Second))
}

// Budget returns how many bytes of a part may be sent at now.
func (p *Pacer) Budget(now time.Duration, part Part) int {
	if p.rate == 0 {
		return math.MaxInt
	}
	p.refill(now)
	return max(0, int(p.tokens-reserves[part]*p.burst()))
}

// TakeTables reports whether changes of tables may be sent at now. If so, the caller sends them.
func (p *Pacer) TakeTables(now time.Duration) bool {
	if p.Budget(now, Tables) == 0 && now < p.tables+maxHoldTime {
		p.Shed(now)
		return false
	}
	p.tables = now
	return true
}

// TakeFullState reports whether the full state for a host may be sent at now. If so, the caller sends it and calls SpendFullState.
// It returns false until then, so that no second full state passes on the same tokens.
func (p *Pacer) TakeFullState(now time.Duration) bool {
	if p.rate == 0 {
		return true
	}
	held := p.Budget(now, FullStates) == 0 && now < p.full+maxHoldTime
	if held || p.fullPending || p.fullEnd > now+burstTime {
		p.Shed(now)
		return false
	}
	p.full, p.fullPending = now, true
	return true
}

// Shed records that a part was held back at now.
func (p *Pacer) Shed(now time.Duration) { p.shed, p.shedAt = true, now }

// ObserveDelay records by how much the processor ran a periodic step too late.
func (p *Pacer) ObserveDelay(delay time.Duration) {
	p.delay += time.Duration(delayWeight * float64(delay-p.delay))
}

// Starved reports whether link or processor do not suffice for all messages.
func (p *Pacer) Starved(now time.Duration) bool {
	return p.shed && now < p.shedAt+shedMemory || p.delay >= starvedDelay
}
