package simulator

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/apportioner"
)

// deliver passes on the messages that have arrived. Messages of one connection stay in order.
func (f *Fleet) deliver() {
	late := map[connection]bool{}
	messages := f.messages
	f.messages = nil // handleReport appends to it
	messages = slices.DeleteFunc(messages, func(m message) bool {
		if f.Now < m.at || late[m.connection] {
			late[m.connection] = true
			return false
		}
		if m.grants != nil {
			h := f.hosts[m.connection.host]
			if !h.cutDown && !h.down && h.connection == m.connection.number {
				h.inbox = append(h.inbox, m)
			}
			return true
		}
		if c := f.controller; c != nil && m.term == c.term {
			if c.heard[m.connection] >= 0 {
				f.handleReport(c, m)
			}
		}
		return true
	})
	f.messages = append(messages, f.messages...)
}

func (f *Fleet) handleReport(c *controller, m message) {
	c.heard[m.connection] = f.Now
	if c.state.Report(f.Now, m.connection, *m.report) {
		for _, to := range c.state.ApportionWaiting(f.Now, m.connection) {
			f.sendGrants(c, to)
		}
	}
}

func (f *Fleet) sendGrants(c *controller, to connection) {
	grants := c.state.Grants(f.Now, to)
	f.count(len(grants.Rows))
	f.send(message{connection: to, term: c.term, grants: &grants})
}

func (f *Fleet) stepController() {
	c := f.controller
	if c == nil {
		return
	}
	if !c.cut {
		c.renewed = f.Now
	}
	c.state.SetValid(f.Now, f.isValid(c))
	if f.Now < c.lastBroadcast+reportInterval {
		return
	}
	c.lastBroadcast = f.Now
	for conn, heard := range c.heard {
		if heard >= 0 && f.Now >= heard+connectionTimeout {
			c.state.Remove(conn)
			c.heard[conn] = -1 // closed
		}
	}
	accounts := []apportioner.Account{f.options.Account}
	if f.removed {
		accounts = nil
	}
	c.state.SetAccounts(f.Now, accounts)
	c.state.Apportion(f.Now)
	var open []connection
	for conn, heard := range c.heard {
		if heard >= 0 {
			open = append(open, conn)
		}
	}
	slices.SortFunc(open, func(a, b connection) int { return a.host - b.host })
	for _, conn := range open {
		f.sendGrants(c, conn)
	}
}

// StopController ends the process of the controller. The next one takes over when the lease has expired, or at once if the
// controller resigns.
func (f *Fleet) StopController(resigns bool) {
	if f.controller == nil {
		return
	}
	f.controller.cut = false
	f.successor = f.controller.renewed + leaseTime + f.jitter(400*time.Millisecond)
	if resigns {
		f.successor = f.Now + 100*time.Millisecond + f.jitter(400*time.Millisecond)
	}
	f.controller = nil
}

// CutController cuts the controller off from the store. Its lease expires, and a successor takes over while it goes on.
func (f *Fleet) CutController() {
	if f.controller != nil && f.successor == 0 {
		f.controller.cut = true
		f.controller.cut = false
		f.successor = f.controller.renewed + leaseTime + f.jitter(1500*time.Millisecond)
	}
}

// MendController connects the controller with the store again, if it has no successor yet.
func (f *Fleet) MendController() {
	if f.controller != nil && f.controller.cut {
		f.controller.cut, f.successor = false, 0
	}
}

func (f *Fleet) takeOver() {
	f.term++
	recent := 0
	for _, began := range f.terms {
		if began > f.Now-max(apportioner.Lifetime, f.options.Bounds.Window) {
			recent++
		}
	}
	f.terms = append(f.terms, f.Now)
	f.controller = &controller{
		state: apportioner.NewController[connection](f.options.Bounds), term: f.term, heard: map[connection]time.Duration{}, renewed: f.Now,
	}
	f.controller.state.Begin(f.Now, f.term == 1, recent)
	f.successor = 0
}
