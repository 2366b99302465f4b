// Package controller decides the ownership of the slices of one service.
//
// A Controller is a state machine without I/O. It acts only while its right to act is valid at the time that is passed
// to Step, so a process that was paused past the end of its right does nothing until the right is renewed.
//
// # Usage
//
//	machine := controller.New(controller.Options{Service: "shelf-marks", Host: "host-1", Incarnation: "a7"})
//	for _, action := range machine.Step(now, event) {
//		switch action := action.(type) {
//		case controller.SendOrder:
//			// POST /-/lease to action.Address, then Step with an OrderReply
//		}
//	}
//
// The caller takes the time after it has received the event. A Tick is due at least every TickInterval. An action that
// cannot be carried out at once may be dropped: orders and leases are repeated, store calls are answered with Unknown.
//
// # Safety
//
// A slice leaves an upstream that checks fences when the upstream has reported that it does not hold it any more, or
// when all grants of the upstream have expired. It leaves an upstream that does not check fences only when the admission
// host has stopped it or its admission lease has expired, and the upstream has reported that it does not hold the slice.
// An unreachable upstream of the second kind keeps its slices until it answers, is removed from the configuration, or its
// process has ended: nothing listens at its address, and its admission host has no request in flight.
package controller

import (
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// Defaults and intervals.
const (
	// TickInterval is the longest time between two calls of Step.
	TickInterval = 50 * time.Millisecond
	// GrantLifetime is the length of the lease of an upstream. With drift and a move it stays below 3 s.
	GrantLifetime = 1800 * time.Millisecond
	// RenewalInterval is the time between two orders to an upstream.
	RenewalInterval = 300 * time.Millisecond
	// AdmissionLifetime is the length of an admission lease, counted from when the host sent its heartbeat.
	AdmissionLifetime = 1500 * time.Millisecond
	// LeaderHeartbeatInterval is the time between two beacons.
	LeaderHeartbeatInterval = 500 * time.Millisecond
	// MaxMoves is the default bound on the number of slices that are moved at once.
	MaxMoves = 32
	// MaxRanges is the largest number of ranges of one controller: a table, hot keys included, fits one stored chunk.
	MaxRanges = 1024 - slicer.MaxHotKeys
)

const (
	// silence after which a missing answer of an upstream or host counts as a loss: two intervals of the slower one.
	silence = 2 * RenewalInterval
	// retryInterval is the time after which an unanswered order is replaced by a query.
	retryInterval = RenewalInterval
	// storeTimeout leaves a crash during a store outage 0.6 s of the 3 s after the grants of 1.8 s have expired.
	storeTimeout = 500 * time.Millisecond
	// storeRetry is the time between two calls to a store that is down.
	storeRetry = 500 * time.Millisecond
	// pause is the time between two steps after which the process itself is taken to have been paused.
	pause = 5 * TickInterval
	// publishInterval bounds the rate of published tables to 20/s.
	publishInterval = 50 * time.Millisecond
	// drainGrace is the time that planned moves have to empty a drained upstream before its admission is closed. A
	// heartbeat interval (0.2 s) and an admission lease (1.5 s) of a partitioned host fit into the rest of the 4 s.
	drainGrace = 2200 * time.Millisecond
	// takeoverGrace is the time that upstreams have to answer a new controller before it renews admission leases. The
	// leases outlast it: 0.2 s heartbeat, 0.9 s takeover and 0.3 s are below 1.5 s.
	takeoverGrace = 300 * time.Millisecond
	// planInterval bounds how often Plan is called after changes, planIdle without changes: the loads it may use lag by
	// about as much.
	planInterval = 50 * time.Millisecond
	planIdle     = 500 * time.Millisecond
	// resignInterval is the time between two resignations of a host. With upstreams that nobody reaches, the hosts
	// change places at most this often.
	resignInterval = 10 * time.Second
	// settleTime is the time after a takeover or pause in which hosts and upstreams report before any voluntary move.
	settleTime = silence
)

// DriftMargin is added to a duration that another machine measures: 2% and 20 ms.
func DriftMargin(length time.Duration) time.Duration {
	return length/50 + 20*time.Millisecond
}

// Options configure a controller. Zero values mean the defaults.
type Options struct {
	Service     string
	Host        string
	Incarnation string
	MaxMoves    int
	Plan        func(now time.Duration, input Input) []Move // EvenPlan by default
}

// Controller is the state of the controller of one service.
type Controller struct {
	options    Options
	snapshot   *configurator.Snapshot
	right      LeaderLease
	term       uint64
	adopted    time.Duration
	lastStep   time.Duration
	settled    time.Duration // no voluntary move before this time
	loaded     bool
	finished   bool // the takeover has resolved every slice
	actions    []Action
	slices     map[uint32]*slice
	order      []uint32 // of the slices, ascending
	lastID     uint32   // highest ID given to a slice so far
	upstreams  map[string]*upstream
	hosts      map[string]*host
	listed     map[string]Host
	store      store
	seq        uint64
	tableSeq   uint64
	published  slicer.Table
	publishDue bool
	publishAt  time.Duration
	beaconAt   time.Duration
	planAt     time.Duration // the next call of Plan is due
	planMin    time.Duration // no call of Plan before this
	planned    uint64        // generation of the latest call of Plan
	generation uint64        // number of changes of what should be granted
	settledAt  uint64        // generation at which every slice was owned, 0 when some are not
	lost       int           // lost upstreams at settledAt
	sorted     []string      // names of upstreams, nil when out of date
	resignAt   time.Duration // no resignation before this
}

// New returns a controller without a right to act.
func New(options Options) *Controller {
	if options.MaxMoves == 0 {
		options.MaxMoves = MaxMoves
	}
	if options.Plan == nil {
		options.Plan = EvenPlan
	}
	return &Controller{
		options:   options,
		snapshot:  configurator.New(),
		slices:    map[uint32]*slice{},
		upstreams: map[string]*upstream{},
		hosts:     map[string]*host{},
		listed:    map[string]Host{},
	}
}

// Step applies an event and returns what is to be done. It returns nothing without a valid right to act.
func (c *Controller) Step(now time.Duration, event Event) []Action {
	c.actions = nil
	resumed := now-c.lastStep > pause
	c.lastStep = now
	c.note(now, event)
	if !c.active(now) {
		return c.actions
	}
	if resumed {
		c.forgive(now)
	}
	c.apply(now, event)
	c.advance(now)
	return c.actions
}

func (c *Controller) active(now time.Duration) bool {
	return c.right.Term > 0 && now < c.right.Until
}

// note keeps what does not depend on the right to act.
func (c *Controller) note(now time.Duration, event Event) {
	switch event := event.(type) {
	case LeaderLease:
		c.noteRight(now, event)
	case Configured:
		c.snapshot = event.Snapshot
		c.noteUpstreams(now)
	case Hosts:
		c.listed = map[string]Host{}
		for _, entry := range event.Hosts {
			c.listed[entry.Name] = entry
		}
	}
}

func (c *Controller) noteRight(now time.Duration, right LeaderLease) {
	if c.right.Term > 0 && right.Term == 0 {
		c.log(Log{Code: LeaderLeaseLost, Term: c.right.Term})
	}
	c.right = right
	if right.Term > c.term {
		c.takeOver(now)
	}
}

// takeOver forgets everything that may have changed under another controller.
func (c *Controller) takeOver(now time.Duration) {
	c.term = c.right.Term
	c.adopted = c.right.Acquired
	c.settled = now + settleTime
	c.loaded = false
	c.finished = false
	c.slices = map[uint32]*slice{}
	c.order = nil
	c.lastID = 0
	c.upstreams = map[string]*upstream{}
	c.sorted = nil
	c.hosts = map[string]*host{}
	c.store = store{operation: c.store.operation}
	c.tableSeq = 0
	c.published = slicer.Table{}
	c.publishDue = false
	c.planAt = 0
	c.planMin = 0
	c.touch()
	c.noteUpstreams(now)
	c.log(Log{Code: TakeoverStarted, Term: c.term})
}

// forgive restarts all silence measurements after a pause of this process, which is no evidence against others.
func (c *Controller) forgive(now time.Duration) {
	c.settled = max(c.settled, now+settleTime)
	for _, upstream := range c.upstreams {
		upstream.failedSince = 0
		if upstream.pending {
			upstream.sentAt = now
		}
	}
	for _, host := range c.hosts {
		host.seen = now
	}
	c.store.sentAt = now
}

func (c *Controller) apply(now time.Duration, event Event) {
	switch event := event.(type) {
	case Heartbeat:
		c.applyHeartbeat(now, event)
	case StopAnswer:
		c.applyStop(event)
	case LeaseReturned:
		c.applyReturn(event)
	case OrderReply:
		c.applyReply(now, event)
	case TableWritten:
		c.applyWritten(now, event)
	case TableRead:
		c.applyRead(now, event)
	}
}

// advance moves every part of the state as far as it can go at this time.
func (c *Controller) advance(now time.Duration) {
	c.sendStore(now)
	if c.loaded {
		c.advanceSlices(now)
		c.plan(now)
		c.advanceSlices(now)
		c.advanceAdmissions(now)
		c.sendStore(now)
	}
	c.sendOrders(now)
	if c.resign(now) {
		return
	}
	c.sendLeases(now)
	c.publish(now)
}

// resign gives the right up when most upstreams are silent: another host may reach them, and their grants expire soon. It
// first makes sure that the store answers, because there is no successor during a store outage.
func (c *Controller) resign(now time.Duration) bool {
	silent, count := 0, 0
	for _, upstream := range c.upstreams {
		if c.closed(upstream) {
			continue
		}
		count++
		if upstream.silent(now) {
			silent++
		}
	}
	c.store.probe = silent > count/2 && len(c.hosts) > 1 && now >= c.resignAt
	if !c.store.probe || c.store.down || c.store.answeredAt == 0 || now-c.store.answeredAt > storeTimeout {
		return false
	}
	c.resignAt = now + resignInterval
	c.right = LeaderLease{}
	c.log(Log{Code: Resigned, Term: c.term})
	c.actions = append(c.actions, Resign{})
	return true
}

// keyed reports whether the service has slices.
func (c *Controller) keyed() bool {
	return c.snapshot.Services[c.options.Service].Keyed
}

func (c *Controller) log(entry Log) {
	c.actions = append(c.actions, entry)
}

// publish floods the table when it has changed, and the beacon when it is due.
func (c *Controller) publish(now time.Duration) {
	if !c.loaded {
		return
	}
	if c.publishDue && now >= c.publishAt {
		c.publishTable(now)
	}
	if now >= c.beaconAt && c.published.Version.Term == c.term {
		c.beaconAt = now + LeaderHeartbeatInterval
		c.actions = append(c.actions, PublishLeaderHeartbeat{
			Service:  c.options.Service,
			Term:     c.term,
			Table:    c.published.Version,
			Revision: c.snapshot.Revision,
		})
	}
}

func (c *Controller) publishTable(now time.Duration) {
	c.publishDue = false
	c.publishAt = now + publishInterval
	c.tableSeq++
	c.published = c.table(false)
	c.actions = append(c.actions, PublishTable{Table: c.published.Clone()})
}

// table builds the table as it is routed, or with planned owners as it is to be stored.
func (c *Controller) table(planned bool) slicer.Table {
	table := slicer.Table{
		Service:   c.options.Service,
		Version:   slicer.Version{Term: c.term, Seq: c.tableSeq},
		Hot:       map[string]slicer.Slice{},
		Admission: map[string]slicer.Admission{},
		LastID:    c.lastID,
	}
	for _, id := range c.order {
		entry := c.slices[id].entry(planned)
		if entry.HotKey != "" {
			table.Hot[entry.HotKey] = entry
			continue
		}
		table.Ranges = append(table.Ranges, entry)
	}
	slices.SortFunc(table.Ranges, func(a, b slicer.Slice) int { return compare(a.Low, b.Low) })
	for name, upstream := range c.upstreams {
		if upstream.admission.host != "" {
			table.Admission[name] = slicer.Admission{Host: upstream.admission.host, Epoch: upstream.admission.epoch}
		}
	}
	return table
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// names returns the names of the upstreams in a fixed order, so that every run gives the same actions.
func (c *Controller) names() []string {
	if c.sorted == nil {
		c.sorted = slices.Sorted(maps.Keys(c.upstreams))
	}
	return c.sorted
}
