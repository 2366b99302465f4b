// Package simulator runs package apportioner on many hosts in virtual time, for property tests and measurements.
//
// It plays what passes between hosts and the controller: reports and heartbeats with delays, cuts in one or both directions, hosts
// that stop, start, freeze and thaw, and changes of the controller. One account is simulated.
//
// # Usage
//
//	f := simulator.New(simulator.Options{Hosts: 60, Bounds: bounds, Account: account, Seed: 1})
//	f.Request(3) // at host 3
//	f.Step()     // by Tick
//	f.Ran, f.Refused
package simulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/apportioner"
)

const (
	// Tick is the step of the virtual time.
	Tick = 10 * time.Millisecond
	// reportInterval, connectionTimeout and tokenWait are those of the daemon.
	reportInterval    = 200 * time.Millisecond
	connectionTimeout = 900 * time.Millisecond
	tokenWait         = 300 * time.Millisecond
	// soonInterval is the time between two reports of a host with requests that wait.
	soonInterval = 20 * time.Millisecond
	redialDelay  = 200 * time.Millisecond
	leaseTime    = 2 * time.Second
)

// Options configures a Fleet.
type Options struct {
	Hosts   int
	Bounds  apportioner.Bounds
	Account apportioner.Account
	Seed    uint64
	// Static gives each host an equal part of the limit, for comparison.
	Static bool
	// Rough adds requests that are sent late, are not sent, or return after they were sent, and late heartbeats.
	Rough bool
}

// Fleet is a set of hosts and their controller. The exported fields are the results.
type Fleet struct {
	Now time.Duration
	// Ran holds the times at which requests were sent.
	Ran []time.Duration
	// Refused counts requests that were refused because of the limit, Unserved those that got no token in time, and Withdrawn
	// those that the host refused for another reason.
	Refused, Unserved, Withdrawn int
	// Messages and Rows count the messages with rows, and their rows.
	Messages, Rows int

	options    Options
	random     *rand.Rand
	hosts      []*host
	controller *controller
	term       uint64
	terms      []time.Duration // begins of terms
	successor  time.Duration   // time of the next takeover, 0: there is a controller
	messages   []message
	removed    bool // the account is not configured
}

type connection struct{ host, number int }

type host struct {
	index          int
	state          *apportioner.Host
	down, frozen   bool
	cutUp, cutDown bool
	connection     int // number of the connection in use, 0: none
	connectedTerm  uint64
	dialAt         time.Duration
	lastReport     time.Duration
	startedAt      time.Duration
	lastHeartbeat  time.Duration
	soon           bool            // the next report must not wait
	waiting        []time.Duration // deadlines
	pending        []pending
	inbox          []message
}

// pending is a request with a token that is not sent yet, or may still return.
type pending struct {
	token     *apportioner.Token
	at        time.Duration
	withdrawn bool
	refund    bool
}

type controller struct {
	state         *apportioner.Controller[connection]
	term          uint64
	cut           bool          // off from the store
	renewed       time.Duration // the lease is valid for leaseTime after that
	lastBroadcast time.Duration
	heard         map[connection]time.Duration
}

type message struct {
	at, madeAt time.Duration
	connection connection
	term       uint64
	report     *apportioner.Report
	grants     *apportioner.Grants
}

// New returns a fleet whose first controller has begun.
func New(options Options) *Fleet {
	f := &Fleet{options: options, random: rand.New(rand.NewPCG(options.Seed, 7))}
	for i := range options.Hosts {
		h := &host{index: i, state: apportioner.NewHost(options.Bounds), lastReport: -f.jitter(reportInterval)}
		if options.Static {
			h.state.ApplyNone(options.Hosts)
		}
		f.hosts = append(f.hosts, h)
	}
	f.takeOver()
	return f
}

func (f *Fleet) jitter(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// Bound returns the number of requests that may run in a window.
func (f *Fleet) Bound() float64 { return f.options.Bounds.Bound(f.options.Account) }

// MaxInWindow returns the largest number of requests that ran in a window that began in the given period.
func (f *Fleet) MaxInWindow(from, to time.Duration) int {
	most, first := 0, 0
	for last := range f.Ran {
		for f.Ran[first] <= f.Ran[last]-f.options.Bounds.Window {
			first++
		}
		if f.Ran[first] >= from && f.Ran[first] < to {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Usable returns the number of tokens that hosts may use and that the controller may give out.
func (f *Fleet) Usable() float64 {
	sum := 0.0
	for _, h := range f.hosts {
		if h.down {
			continue
		}
		sum += float64(h.state.Usable(f.Now, f.options.Account.Tag))
		for _, p := range h.pending {
			if !p.token.Expired(f.Now) {
				sum++
			}
		}
	}
	if f.controller != nil {
		bucket, _ := f.controller.state.Tokens(f.Now, f.options.Account.Tag)
		sum += bucket
	}
	return sum
}

// Capacity returns the bound of Usable.
func (f *Fleet) Capacity() float64 { return f.options.Bounds.Capacity(f.options.Account) }

// SetLimit replaces the limit on all hosts and the controller.
func (f *Fleet) SetLimit(rate, burst float64) {
	f.options.Account.Rate, f.options.Account.Burst = rate, burst
}

// Cut cuts the connection of a host in the given directions, from now on.
func (f *Fleet) Cut(host int, up, down bool) { f.hosts[host].cutUp, f.hosts[host].cutDown = up, down }

// Freeze stops or resumes the process of a host.
func (f *Fleet) Freeze(host int, frozen bool) { f.hosts[host].frozen = frozen }

// Stop ends the process of a host. Start starts a new one.
func (f *Fleet) Stop(host int) {
	h := f.hosts[host]
	*h = hostAfterStop(h)
}

// The connection ends with the process: a new process does not receive what is under way on it.
func hostAfterStop(h *host) host {
	return host{index: h.index, down: true, connection: -max(h.connection, -h.connection)}
}

// Start starts a host that was stopped.
func (f *Fleet) Start(i int) {
	h := f.hosts[i]
	if h.down {
		h.down, h.state, h.startedAt = false, apportioner.NewHost(f.options.Bounds), f.Now
		if f.options.Static {
			h.state.ApplyNone(f.options.Hosts)
		}
	}
}

// SetRemoved removes the account from the configuration, or restores it. Meanwhile, Request does nothing.
func (f *Fleet) SetRemoved(removed bool) { f.removed = removed }

// Request sends a request of the account to a host.
func (f *Fleet) Request(i int) {
	h := f.hosts[i]
	if h.down || h.frozen || f.removed {
		return
	}
	h.state.Ask(f.options.Account)
	if f.take(h, true) {
		return
	}
	h.waiting = append(h.waiting, f.Now+tokenWait)
	h.state.Wait(f.options.Account, 1)
}

// take gives a request a token, refuses it, or returns false if it should wait.
func (f *Fleet) take(h *host, mayWait bool) bool {
	token, verdict, _ := h.state.Take(f.Now, f.options.Account)
	switch verdict {
	case apportioner.Admitted:
		p := pending{token: token, at: f.Now}
		if f.options.Rough {
			switch f.random.IntN(10) {
			case 0, 1:
				p.at += f.jitter(300 * time.Millisecond)
			case 2:
				p.at += f.jitter(100 * time.Millisecond)
				p.withdrawn = true
			case 3:
				p.refund = true
			}
		}
		h.pending = append(h.pending, p)
		return true
	case apportioner.Exhausted:
		f.Refused++
		return true
	case apportioner.Starting:
		if f.Now < h.startedAt+tokenWait {
			return false
		}
		f.Unserved++
		return true
	case apportioner.Unconfirmed:
		f.Unserved++
		return true
	}
	if !mayWait {
		f.Unserved++
		return true
	}
	return false
}

// Step advances the time by Tick.
func (f *Fleet) Step() {
	f.Now += Tick
	if f.successor > 0 && f.Now >= f.successor {
		f.takeOver()
	}
	f.deliver()
	for _, h := range f.hosts {
		if !h.down && !h.frozen {
			f.stepHost(h)
		}
	}
	f.stepController()
}

func (f *Fleet) stepHost(h *host) {
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		f.receive(h, m)
	}
	f.sendPending(h)
	if f.removed {
		h.state.Forget(f.Now, func(apportioner.Tag) bool { return false })
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(deadline time.Duration) bool {
		done := f.take(h, f.Now < deadline)
		if done {
			h.state.Wait(f.options.Account, -1)
		}
		return done
	})
	if h.connection > 0 && f.Now >= h.lastHeartbeat+connectionTimeout {
		h.connection, h.dialAt = -h.connection, f.Now+redialDelay
	}
	if h.connection <= 0 || h.connectedTerm != f.term {
		if f.controller == nil || f.Now < h.dialAt || h.cutUp || h.cutDown {
			return
		}
		h.connection = max(h.connection, -h.connection) + 1
		h.connectedTerm, h.lastHeartbeat, h.lastReport = f.term, f.Now, 0
	}
	interval := reportInterval
	if len(h.waiting) > 0 || h.soon {
		interval = soonInterval
	}
	if f.Now < h.lastReport+interval {
		return
	}
	h.lastReport, h.soon = f.Now, false
	report := h.state.Report()
	f.count(len(report.Rows))
	if !h.cutUp {
		f.send(message{connection: connection{h.index, h.connection}, term: h.connectedTerm, report: &report})
	}
}

func (f *Fleet) count(rows int) {
	if rows > 0 {
		f.Messages++
		f.Rows += rows
	}
}

func (f *Fleet) sendPending(h *host) {
	h.pending = slices.DeleteFunc(h.pending, func(p pending) bool {
		if f.Now < p.at {
			return false
		}
		if p.withdrawn {
			h.state.Return(p.token)
			f.Withdrawn++
			return true
		}
		if !h.state.Spend(f.Now, p.token) {
			f.Unserved++
			return true
		}
		if p.refund {
			h.state.Return(p.token)
			f.Withdrawn++
			return true
		}
		f.Ran = append(f.Ran, f.Now)
		return true
	})
}

func (f *Fleet) send(m message) {
	m.madeAt = f.Now
	m.at = f.Now + Tick
	if f.options.Rough && f.random.IntN(20) == 0 {
		m.at += f.jitter(2 * time.Second)
	}
	f.messages = append(f.messages, m)
}

func (f *Fleet) receive(h *host, m message) {
	if m.term < h.connectedTerm || h.connection != m.connection.number {
		return
	}
	h.lastHeartbeat = f.Now
	if !f.options.Static {
		h.soon = h.state.Apply(f.Now, m.madeAt, m.term, *m.grants) || h.soon
	}
}

func (f *Fleet) isValid(c *controller) bool { return f.Now < c.renewed+leaseTime }

// Hosts returns the number of hosts, including those that are stopped.
func (f *Fleet) Hosts() int { return len(f.hosts) }
