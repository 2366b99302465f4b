package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/platform/orderer"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// conflictObject returns the stored object that caused a conflict, or nil for other errors.
func conflictObject(err error) *storer.Object {
	var typed *storer.Error
	if errors.As(err, &typed) && typed.Kind == storer.Conflict {
		return typed.Object
	}
	return nil
}

// runController steps the allocators of all keyed services. It sends no orders while the lease is expired.
func (c *Coordinator) runController(ctx context.Context, now time.Duration) {
	if !c.contender.Valid(now) {
		if !c.leaseExpired && c.contender.Remaining(now) <= 0 { // otherwise, this host has resigned
			c.leaseExpired = true
			c.options.Log.Log(eventlog.LeadershipLapsed, zap.Uint64("term", c.contender.Term()))
		}
		return
	}
	if c.leaseExpired {
		c.leaseExpired = false
		c.options.Log.Log(eventlog.LeadershipRegained, zap.Uint64("term", c.contender.Term()))
	}
	// The lease may have expired and been renewed between two ticks.
	deferred := c.deferred
	c.deferred = nil
	for _, event := range deferred {
		event()
	}
	c.announce(ctx, now)
	if c.snapshot.Config == nil || !c.snapshot.Listed {
		return
	}
	for name, service := range c.snapshot.Config.Services {
		if !service.Keyed {
			continue
		}
		svc := c.services[name]
		if svc == nil {
			svc = &serviceState{
				service:   name,
				allocator: allocator.New(allocator.Options{MaxLifetime: c.options.MaxLifetime, ColdRate: service.ColdRate}),
			}
			c.services[name] = svc
		}
		if !svc.loaded {
			c.load(ctx, svc)
			continue
		}
		c.step(ctx, svc, allocator.UpstreamsListed{Upstreams: c.allocatorUpstreams(now, name)})
		c.step(ctx, svc, allocator.SetLifetime{Long: c.contender.RenewalOverdue(now) || c.pacing.handoverEnd > 0})
		table := svc.allocator.RoutingTable(now)
		if len(table.Diff(svc.routingTable)) > 0 || len(table) != len(svc.routingTable) {
			svc.routingTable = table
			c.options.Tables.Replace(name, table)
			c.isRouted = true
			c.pacing.tablesChanged = true
		}
	}
	c.sendTables(now)
	c.checkHandover(ctx, now)
}

// announce sends announcements to hosts that have not connected. Such hosts may be unable to read the lease record,
// because the store may reject their calls.
func (c *Coordinator) announce(ctx context.Context, now time.Duration) {
	if c.lastAnnouncement > 0 && now < c.lastAnnouncement+announceInterval {
		return
	}
	c.lastAnnouncement = now
	lease := c.contender.LeaseStatus(now)
	announcement := connector.Announcement{
		Term: lease.Term, Revision: lease.Revision, Remaining: lease.Remaining, Host: c.options.Host, Address: c.options.Address,
	}
	for _, address := range c.hostList.disconnected(now, c.hub.Peers()) {
		c.spawn(ctx, func() {
			if err := connector.Announce(ctx, address, announcement); err != nil {
				c.options.Log.Log(eventlog.HostNotNotified, zap.String("address", address), eventlog.Cause(err))
			}
		})
	}
}

func (c *Coordinator) allocatorUpstreams(now time.Duration, service string) map[string]allocator.Upstream {
	owners := map[string]allocator.Upstream{}
	for _, u := range c.snapshot.ByService[service] {
		owners[u.ID] = allocator.Upstream{
			Incarnation: u.Incarnation, Domain: u.Domain, Slots: u.Slots, Cold: now < u.ColdEnd,
			Usable: usable(c.snapshot, u) && !c.leaves(now, u), Suspect: c.suspects(u),
		}
	}
	return owners
}

// step passes an event to the allocator of a service and starts the resulting actions. Events are deferred while the
// lease is expired, and after that until the next tick has passed on the earlier ones.
func (c *Coordinator) step(ctx context.Context, svc *serviceState, event allocator.Event) {
	now := c.options.Now()
	if c.services[svc.service] != svc {
		return
	}
	if !c.contender.Valid(now) || len(c.deferred) > 0 {
		c.deferred = append(c.deferred, func() { c.step(ctx, svc, event) })
		return
	}
	for _, action := range svc.allocator.Step(now, event) {
		switch action := action.(type) {
		case allocator.Grant:
			address := c.addresses[action.Upstream]
			c.spawn(ctx, func() { c.grant(ctx, svc, action, address) })
		case allocator.Release:
			address := c.addresses[action.Upstream]
			c.spawn(ctx, func() { c.release(ctx, svc, action, address) })
		case allocator.Commit:
			term, version := c.contender.Term(), svc.version
			c.spawn(ctx, func() { c.commit(ctx, svc, action, term, version) })
		case allocator.Moved:
			c.options.Log.Log(eventlog.RangeMoved, zap.String("service", svc.service), zap.Uint16("from", action.From),
				zap.Uint16("to", action.To), zap.String("previous", action.Previous.ID), zap.String("owner", action.Owner.ID),
				zap.String("reason", action.Reason), zap.Uint64("term", c.contender.Term()))
		case allocator.RecoveryEnded:
			c.options.Log.Log(eventlog.RecoveryEnded, zap.String("service", svc.service), zap.Duration("taken", action.Taken),
				zap.Bool("expired", action.Expired), zap.Uint64("term", c.contender.Term()))
		case allocator.UpstreamUnreachable:
			c.failures.Suspect(now, action.Upstream)
			c.logSuspect(action.Upstream, "orders failed")
		case allocator.UpstreamStopped:
			c.options.Log.Log(eventlog.UpstreamStopped, zap.String("upstream", action.Upstream.ID), zap.Int64("start", action.Upstream.Start),
				zap.String("service", svc.service))
		}
	}
}

// leaseValid reports whether the lease is valid now. It is safe to call from any goroutine.
func (c *Coordinator) leaseValid() bool { return int64(c.options.Now()) < c.leaseEnd.Load() }

func (c *Coordinator) grant(ctx context.Context, svc *serviceState, a allocator.Grant, address string) {
	sentAt := c.options.Now()
	result, err := allocator.NotSent, errors.New("address of the upstream is unknown")
	target := orderer.Range{Upstream: a.Upstream, From: a.From, To: a.To, Fence: a.Fence}
	if address != "" && c.leaseValid() {
		callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		result, err = c.options.Orders.Grant(callCtx, address, target, a.Lifetime, a.Handover)
		cancel()
	}
	c.logOrder("grant", target, a.Lifetime, a.Repeated, sentAt, err)
	c.post(func() {
		c.observeOrder(a.Upstream, result)
		c.step(ctx, svc, allocator.OrderCompleted{OrderID: a.OrderID, Result: result})
	})
}

func (c *Coordinator) release(ctx context.Context, svc *serviceState, a allocator.Release, address string) {
	sentAt := c.options.Now()
	result, handover, err := allocator.NotSent, "", errors.New("address of the upstream is unknown")
	target := orderer.Range{Upstream: a.Upstream, From: a.From, To: a.To, Fence: a.Fence}
	if address != "" && c.leaseValid() {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		result, handover, err = c.options.Orders.Release(callCtx, address, target)
		cancel()
	}
	c.logOrder("release", target, 0, false, sentAt, err)
	c.post(func() {
		c.observeOrder(a.Upstream, result)
		c.step(ctx, svc, allocator.OrderCompleted{OrderID: a.OrderID, Result: result, Handover: handover})
	})
}

// observeOrder ends the suspicion of an upstream that has responded to an order.
func (c *Coordinator) observeOrder(upstream identifier.Incarnation, result allocator.Result) {
	if result == allocator.Accepted || result == allocator.Stale {
		c.failures.RecordSuccess(c.options.Now(), upstream)
	}
}

// logOrder logs an order. It omits successful renewals that change neither fence nor lifetime, because there are too many of them.
func (c *Coordinator) logOrder(verb string, target orderer.Range, lifetime time.Duration, repeated bool, sentAt time.Duration, err error) {
	if err == nil && repeated {
		return
	}
	event := eventlog.OrderDone
	if err != nil {
		event = eventlog.OrderFailed
	}
	c.options.Log.Log(event, zap.String("order", verb), zap.String("upstream", target.Upstream.ID), zap.Int64("start", target.Upstream.Start),
		zap.Uint16("from", target.From), zap.Uint16("to", target.To), zap.Uint64("fence", target.Fence), zap.Duration("lifetime", lifetime),
		zap.Duration("taken", c.options.Now()-sentAt), eventlog.Cause(err))
}

// handleReport passes the observations of a host to the allocators and the failure detector.
func (c *Coordinator) handleReport(report connector.Report) {
	now := c.options.Now()
	for service, keys := range report.Keys {
		if svc := c.services[service]; svc != nil {
			svc.allocator.Step(now, allocator.KeysObserved{Keys: keys})
		}
	}
	// What hosts report about incarnations that are not listed, because they have been replaced or not been read yet, is dropped.
	for _, timing := range report.Timings {
		u, ok := c.snapshot.Resolve(timing.Upstream)
		if !ok {
			continue
		}
		c.profiler.Observe(now, u.Incarnation, timing.Count, timing.Sum)
		if svc := c.services[u.Service]; svc != nil {
			svc.allocator.Step(now, allocator.RunTimesMeasured{Upstream: u.Incarnation, Count: timing.Count, Sum: timing.Sum})
		}
	}
	for _, load := range report.Loads {
		if u, ok := c.snapshot.Resolve(load.Upstream); ok {
			c.loads.record(now, load)
			c.failures.RecordSuccess(now-load.Age, u.Incarnation)
		}
	}
	for _, u := range c.resolve(report.Reached) {
		c.failures.RecordSuccess(now, u)
	}
	for _, l := range report.Leaving {
		if _, ok := c.snapshot.Upstream(l); ok {
			c.leaving[l] = now
		}
	}
	for _, u := range c.resolve(report.Refused) {
		c.failures.RecordRefusal(now, report.Host, u)
	}
	for _, u := range c.resolve(report.Unresponsive) {
		c.failures.RecordTimeout(now, report.Host, u)
	}
	c.recordCrashes(now, report)
	if len(report.Refused)+len(report.Unresponsive) > 0 && c.contender.Valid(now) {
		c.detectSuspects(now)
	}
}

// resolve returns the listed incarnations with the given tags.
func (c *Coordinator) resolve(tags []identifier.Tag) []identifier.Incarnation {
	var upstreams []identifier.Incarnation
	for _, tag := range tags {
		if u, ok := c.snapshot.Resolve(tag); ok {
			upstreams = append(upstreams, u.Incarnation)
		}
	}
	return upstreams
}

func tags(upstreams []identifier.Incarnation) []identifier.Tag {
	var tags []identifier.Tag
	for _, u := range upstreams {
		tags = append(tags, u.Tag())
	}
	return tags
}

func (c *Coordinator) encodeLoads(loads []connector.LoadReport, runTimes map[identifier.Incarnation]time.Duration) connector.EncodedLoads {
	encoded, err := connector.EncodeLoads(loads, runTimes)
	if err != nil {
		c.options.Log.Log(eventlog.FrameRefused, eventlog.Cause(err))
	}
	return encoded
}
