// Package controller decides which upstream owns which slice of one service, and which host admits requests to which
// upstream.
//
// A Controller is a state machine without I/O. It acts only while its leader lease is valid at the time that is
// passed to Step. A process that was paused past the expiry of the lease therefore does nothing until the lease is
// renewed.
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
// The caller reads the clock after it has received the event. A Tick is due at least every TickInterval. An action
// that cannot be carried out at once may be dropped: orders and leases are repeated, and a store call without a reply
// is treated like one with the outcome Unknown.
//
// # Safety
//
// A slice is moved away from an upstream that checks fences when the upstream has reported that it no longer holds
// the slice, or when all grants of the upstream have expired. It is moved away from an upstream that does not check
// fences only when the admission host has stopped the slice or its admission lease has expired, and the upstream has
// reported that it no longer holds the slice. An unreachable upstream of the second kind keeps its slices until it
// replies, until it is removed from the configuration, or until its process has stopped: nothing listens at its
// address, and its admission host has no request in flight.
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
	// GrantLifetime is the time after which the grants of an upstream expire unless they are renewed. Expiry, clock
	// drift and the move to another upstream together take less than 3 s.
	GrantLifetime = 1800 * time.Millisecond
	// RenewalInterval is the time between two orders that renew the grants of an upstream.
	RenewalInterval = 300 * time.Millisecond
	// AdmissionLifetime is the lifetime of an admission lease, counted from when the host sent its heartbeat.
	AdmissionLifetime = 1500 * time.Millisecond
	// LeaderHeartbeatInterval is the time between two leader heartbeats, which the controller sends to all hosts.
	LeaderHeartbeatInterval = 500 * time.Millisecond
	// MaxMoves is the default limit on the number of slices that move at the same time.
	MaxMoves = 32
	// MaxRanges is the largest number of ranges of one controller: a table, hot keys included, fits one stored chunk.
	MaxRanges = 1024 - slicer.MaxHotKeys
)

const (
	// unresponsiveTimeout is the time without a reply or heartbeat after which an upstream or host counts as
	// unresponsive. It is two periods of orders, which are less frequent than heartbeats.
	unresponsiveTimeout = 2 * RenewalInterval
	// retryInterval is the time after which an unanswered order is replaced by a query.
	retryInterval = RenewalInterval
	// storeTimeout is the time after which a store call counts as failed. After a crash during a store outage, the
	// grants expire in 1.8 s. With this time-out, 0.6 s of the 3 s in which service must return are left.
	storeTimeout = 500 * time.Millisecond
	// storeRetry is the time between two calls to a store that is down.
	storeRetry = 500 * time.Millisecond
	// pauseThreshold is the time between two steps from which the controller assumes that its own process was paused.
	pauseThreshold = 5 * TickInterval
	// publishInterval limits the rate of published tables to 20/s.
	publishInterval = 50 * time.Millisecond
	// drainGrace is the time that planned moves have to drain an upstream before its admission is closed. Within 4 s
	// a drained upstream must receive no new work. The rest of the 4 s covers a heartbeat interval (0.2 s) and the
	// expiry of the admission lease (1.5 s) of a partitioned host.
	drainGrace = 2200 * time.Millisecond
	// takeoverGrace is the time that upstreams have to reply to a new controller before it renews admission leases.
	// No lease expires meanwhile: heartbeat (0.2 s), takeover (0.9 s) and this time (0.3 s) together are shorter than
	// the 1.5 s of a lease.
	takeoverGrace = 300 * time.Millisecond
	// planInterval is the minimum time between two calls of Plan after changes, planIdle the time between two calls
	// without changes. The loads that Plan may use are about as old as planIdle.
	planInterval = 50 * time.Millisecond
	planIdle     = 500 * time.Millisecond
	// resignInterval is the minimum time between two resignations of a host. It limits the rate of takeovers when no
	// host reaches the upstreams.
	resignInterval = 10 * time.Second
	// settleDelay is the time that hosts and upstreams have to report after a takeover or pause, before voluntary
	// moves.
	settleDelay = unresponsiveTimeout
)

// DriftMargin returns what must be added to a duration that another machine measures: 2% for clock drift, and 20 ms.
func DriftMargin(length time.Duration) time.Duration {
	return length/50 + 20*time.Millisecond
}

// Options configures a controller. Zero values mean the defaults.
type Options struct {
	Service     string
	Host        string
	Incarnation string
	MaxMoves    int
	Plan        func(now time.Duration, input Input) []Move // EvenPlan by default
}

// Controller is the state of the controller of one service.
type Controller struct {
	options          Options
	snapshot         *configurator.Snapshot
	leaderLease      LeaderLease
	term             uint64
	acquiredAt       time.Duration
	lastStep         time.Duration
	voluntaryAt      time.Duration // earliest time of a voluntary move
	loaded           bool
	takeoverFinished bool // the takeover has resolved every slice
	actions          []Action
	slices           map[uint32]*slice
	order            []uint32 // IDs of slices, ascending
	lastID           uint32   // highest slice ID in use so far
	upstreams        map[string]*upstream
	hosts            map[string]*host
	hostList         map[string]Host
	store            store
	seq              uint64
	tableSeq         uint64
	published        slicer.Table
	publishDue       bool
	nextPublishAt    time.Duration
	nextHeartbeatAt  time.Duration
	planDueAt        time.Duration // when the next call of Plan is due without changes
	nextPlanAt       time.Duration // earliest time of the next call of Plan
	planGeneration   uint64        // generation at the latest call of Plan
	generation       uint64        // number of changes of the grants that should exist
	stableGeneration uint64        // generation at which every slice was owned, 0 when some are not
	stableLost       int           // number of lost upstreams at stableGeneration
	sortedNames      []string      // names of upstreams, nil when out of date
	nextResignAt     time.Duration // earliest time of the next resignation
}

// New returns a controller without a leader lease.
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
		hostList:  map[string]Host{},
	}
}

// Step applies an event and returns the actions that the caller must carry out. Without a valid leader lease it
// applies only the lease, the configuration and the host list, and returns at most log events.
func (c *Controller) Step(now time.Duration, event Event) []Action {
	c.actions = nil
	resumed := now-c.lastStep > pauseThreshold
	c.lastStep = now
	c.applyAlways(now, event)
	if !c.active(now) {
		return c.actions
	}
	if resumed {
		c.resetTimeouts(now)
	}
	c.apply(now, event)
	c.advance(now)
	return c.actions
}

func (c *Controller) active(now time.Duration) bool {
	return c.leaderLease.Term > 0 && now < c.leaderLease.Until
}

// applyAlways applies the events that a controller needs also without the leader lease.
func (c *Controller) applyAlways(now time.Duration, event Event) {
	switch event := event.(type) {
	case LeaderLease:
		c.applyLeaderLease(now, event)
	case Configured:
		c.snapshot = event.Snapshot
		c.updateUpstreams(now)
	case Hosts:
		c.hostList = map[string]Host{}
		for _, entry := range event.Hosts {
			c.hostList[entry.Name] = entry
		}
	}
}

func (c *Controller) applyLeaderLease(now time.Duration, lease LeaderLease) {
	if c.leaderLease.Term > 0 && lease.Term == 0 {
		c.log(Log{Code: LeaderLeaseLost, Term: c.leaderLease.Term})
	}
	c.leaderLease = lease
	if lease.Term > c.term {
		c.takeOver(now)
	}
}

// takeOver starts a term. It discards all state that may have changed under another controller.
func (c *Controller) takeOver(now time.Duration) {
	c.term = c.leaderLease.Term
	c.acquiredAt = c.leaderLease.Acquired
	c.voluntaryAt = now + settleDelay
	c.loaded = false
	c.takeoverFinished = false
	c.slices = map[uint32]*slice{}
	c.order = nil
	c.lastID = 0
	c.upstreams = map[string]*upstream{}
	c.sortedNames = nil
	c.hosts = map[string]*host{}
	c.store = store{operation: c.store.operation}
	c.tableSeq = 0
	c.published = slicer.Table{}
	c.publishDue = false
	c.planDueAt = 0
	c.nextPlanAt = 0
	c.markChanged()
	c.updateUpstreams(now)
	c.log(Log{Code: TakeoverStarted, Term: c.term})
}

// resetTimeouts restarts all time-outs after a pause of this process, during which it received no replies or
// heartbeats.
func (c *Controller) resetTimeouts(now time.Duration) {
	c.voluntaryAt = max(c.voluntaryAt, now+settleDelay)
	for _, upstream := range c.upstreams {
		upstream.failedSince = 0
		if upstream.pending {
			upstream.sentAt = now
		}
	}
	for _, host := range c.hosts {
		host.lastHeartbeat = now
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

// advance makes all state transitions that are possible at this time.
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

// resign gives up the leader lease when most upstreams are unresponsive: another host may reach them, and their
// grants expire soon. It first checks that the store replies, because no other host can take over during a store
// outage.
func (c *Controller) resign(now time.Duration) bool {
	unresponsive, count := 0, 0
	for _, upstream := range c.upstreams {
		if c.draining(upstream) {
			continue
		}
		count++
		if upstream.unresponsive(now) {
			unresponsive++
		}
	}
	c.store.probe = unresponsive > count/2 && len(c.hosts) > 1 && now >= c.nextResignAt
	if !c.store.probe || c.store.down || c.store.repliedAt == 0 || now-c.store.repliedAt > storeTimeout {
		return false
	}
	c.nextResignAt = now + resignInterval
	c.leaderLease = LeaderLease{}
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

// publish sends the table to all hosts when it has changed, and a leader heartbeat when one is due.
func (c *Controller) publish(now time.Duration) {
	if !c.loaded {
		return
	}
	if c.publishDue && now >= c.nextPublishAt {
		c.publishTable(now)
	}
	if now >= c.nextHeartbeatAt && c.published.Version.Term == c.term {
		c.nextHeartbeatAt = now + LeaderHeartbeatInterval
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
	c.nextPublishAt = now + publishInterval
	c.tableSeq++
	c.published = c.table(false)
	c.actions = append(c.actions, PublishTable{Table: c.published.Clone()})
}

// table returns the table for routing or, with planned set, the table to store, which has the next owners.
func (c *Controller) table(planned bool) slicer.Table {
	table := slicer.Table{
		Service:   c.options.Service,
		Version:   slicer.Version{Term: c.term, Seq: c.tableSeq},
		Hot:       map[string]slicer.Slice{},
		Admission: map[string]slicer.Admission{},
		LastID:    c.lastID,
	}
	for _, id := range c.order {
		entry := c.slices[id].tableEntry(planned)
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

// names returns the names of the upstreams in a fixed order, so that equal events always give equal actions.
func (c *Controller) names() []string {
	if c.sortedNames == nil {
		c.sortedNames = slices.Sorted(maps.Keys(c.upstreams))
	}
	return c.sortedNames
}
