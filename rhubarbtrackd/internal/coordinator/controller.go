package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/platform/orderer"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

// conflicting returns the object as it is after a conflict, or nil.
func conflicting(err error) *storer.Object {
	var typed *storer.Error
	if errors.As(err, &typed) && typed.Kind == storer.Conflict {
		return typed.Object
	}
	return nil
}

// lead drives the keepers of all keyed services.
func (g *Coordinator) lead(ctx context.Context, now time.Duration) {
	if !g.contender.Valid(now) {
		if !g.lapsed {
			g.lapsed = true
			g.options.Log.Log(eventlog.LeadershipLapsed, zap.Uint64("term", g.contender.Term()))
		}
		return
	}
	if g.lapsed {
		g.lapsed = false
		g.options.Log.Log(eventlog.LeadershipRegained, zap.Uint64("term", g.contender.Term()))
		waiting := g.waiting
		g.waiting = nil
		for _, event := range waiting {
			event()
		}
	}
	g.announce(ctx, now)
	if g.snapshot.Config == nil || !g.snapshot.Listed {
		return
	}
	for name, service := range g.snapshot.Config.Services {
		if !service.Keyed {
			continue
		}
		r := g.runs[name]
		if r == nil {
			r = &run{service: name, keeper: allocator.New(allocator.Options{MaxLifetime: g.options.MaxLifetime, ColdRate: service.ColdRate})}
			g.runs[name] = r
		}
		if !r.loaded {
			g.load(ctx, r)
			continue
		}
		g.step(ctx, r, allocator.UpstreamsListed{Upstreams: g.owners(now, name)})
		g.step(ctx, r, allocator.SetLifetime{Long: g.contender.RenewalOverdue(now)})
		view := r.keeper.RoutingTable(now)
		if len(view.Diff(r.view)) > 0 || len(view) != len(r.view) {
			r.view = view
			g.options.Tables.Replace(name, view)
			// Hosts must not send requests to former owners until the next beat.
			g.sendBeats(g.options.Now(), connector.Heartbeat{})
		}
	}
}

// announce tells hosts that have not connected of this controller: the store may refuse them.
func (g *Coordinator) announce(ctx context.Context, now time.Duration) {
	if g.announced > 0 && now < g.announced+announceInterval {
		return
	}
	g.announced = now
	claim := g.contender.LeaseStatus(now)
	announcement := connector.Announcement{
		Term: claim.Term, Revision: claim.Revision, Remaining: claim.Remaining, Host: g.options.Host, Address: g.options.Address,
	}
	for _, address := range g.roster.missing(now, g.hub.Peers()) {
		go func() {
			if err := connector.Announce(ctx, address, announcement); err != nil {
				g.options.Log.Log(eventlog.HostNotNotified, zap.String("address", address), eventlog.Cause(err))
			}
		}()
	}
}

func (g *Coordinator) owners(now time.Duration, service string) map[string]allocator.Upstream {
	owners := map[string]allocator.Upstream{}
	for _, u := range g.snapshot.ByService[service] {
		owners[u.ID] = allocator.Upstream{
			ID: u.ID, Incarnation: u.Incarnation, Domain: u.Domain, Slots: u.Slots, Usable: usable(g.snapshot, u), Cold: now < u.ColdEnd,
		}
	}
	return owners
}

// load reads the stored table and starts the keeper with it.
func (g *Coordinator) load(ctx context.Context, r *run) {
	if r.loading {
		return
	}
	r.loading = true
	term := g.contender.Term()
	go func() {
		table, revision, err := g.readTable(ctx, r.service)
		g.post(func() {
			r.loading = false
			if g.runs[r.service] != r || g.contender.Term() != term {
				return
			}
			if err != nil {
				g.options.Log.Log(eventlog.TableRefused, zap.String("service", r.service), eventlog.Cause(err))
				return
			}
			r.loaded = true
			r.revision = revision
			g.step(ctx, r, allocator.TermStarted{Term: term, Table: table.Ranges})
		})
	}()
}

// step feeds a keeper. While the right to act has lapsed, events wait.
func (g *Coordinator) step(ctx context.Context, r *run, event allocator.Event) {
	now := g.options.Now()
	if g.runs[r.service] != r {
		return
	}
	if !g.contender.Valid(now) {
		g.waiting = append(g.waiting, func() { g.step(ctx, r, event) })
		return
	}
	for _, action := range r.keeper.Step(now, event) {
		switch action := action.(type) {
		case allocator.Grant:
			go g.grant(ctx, r, action, g.addresses[action.Upstream])
		case allocator.Release:
			go g.release(ctx, r, action, g.addresses[action.Upstream])
		case allocator.Commit:
			go g.commit(ctx, r, action, g.contender.Term(), r.revision)
		case allocator.Moved:
			g.options.Log.Log(eventlog.RangeMoved, zap.String("service", r.service), zap.Uint16("from", action.From),
				zap.Uint16("to", action.To), zap.String("previous", action.Previous), zap.String("owner", action.Owner),
				zap.String("reason", action.Reason), zap.Uint64("term", g.contender.Term()))
		}
	}
}

// mayAct reports whether the right to act is valid at this very moment.
func (g *Coordinator) mayAct() bool { return int64(g.options.Now()) < g.valid.Load() }

func (g *Coordinator) grant(ctx context.Context, r *run, a allocator.Grant, address string) {
	result, err := allocator.NotSent, errors.New("the address is not known")
	target := orderer.Range{Upstream: a.Upstream, From: a.From, To: a.To, Fence: a.Fence}
	if address != "" && g.mayAct() {
		callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		result, err = g.options.Orders.Grant(callCtx, address, target, a.Lifetime, a.Handover)
		cancel()
	}
	g.logOrder("grant", target, a.Renewal, err)
	g.post(func() { g.step(ctx, r, allocator.OrderCompleted{OrderID: a.OrderID, Result: result}) })
}

func (g *Coordinator) release(ctx context.Context, r *run, a allocator.Release, address string) {
	result, handover, err := allocator.NotSent, "", errors.New("the address is not known")
	target := orderer.Range{Upstream: a.Upstream, From: a.From, To: a.To, Fence: a.Fence}
	if address != "" && g.mayAct() {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		result, handover, err = g.options.Orders.Release(callCtx, address, target)
		cancel()
	}
	g.logOrder("release", target, false, err)
	g.post(func() {
		g.step(ctx, r, allocator.OrderCompleted{OrderID: a.OrderID, Result: result, Handover: handover})
	})
}

// logOrder logs orders that failed or that change who has a range. Renewals are too many.
func (g *Coordinator) logOrder(verb string, target orderer.Range, renewal bool, err error) {
	if err == nil && renewal {
		return
	}
	event := eventlog.OrderDone
	if err != nil {
		event = eventlog.OrderFailed
	}
	g.options.Log.Log(event, zap.String("order", verb), zap.String("upstream", target.Upstream), zap.Uint16("from", target.From),
		zap.Uint16("to", target.To), zap.Uint64("fence", target.Fence), eventlog.Cause(err))
}

// commit writes a table. A write without an answer is resolved by reading the object.
func (g *Coordinator) commit(ctx context.Context, r *run, a allocator.Commit, term uint64, revision int64) {
	table := serializer.Table{Term: term, Version: a.Version, Ranges: a.Table}
	revision, err := g.writeTable(ctx, r.service, table, revision)
	g.post(func() {
		if g.runs[r.service] != r {
			return
		}
		r.revision = revision
		if err != nil {
			g.options.Log.Log(eventlog.TableCommitFailed, zap.String("service", r.service), zap.Uint64("version", a.Version), eventlog.Cause(err))
			g.step(ctx, r, allocator.CommitFailed{Version: a.Version})
			return
		}
		g.options.Log.Log(eventlog.TableCommitted, zap.String("service", r.service), zap.Uint64("term", term),
			zap.Uint64("version", a.Version), zap.Int("ranges", len(a.Table)), zap.Int64("revision", revision))
		g.step(ctx, r, allocator.Committed{Version: a.Version})
	})
}

// writeTable returns the revision of the stored table, and no error if that table is the given one.
func (g *Coordinator) writeTable(ctx context.Context, service string, table serializer.Table, revision int64) (int64, error) {
	data, err := serializer.EncodeTable(table)
	if err != nil {
		return revision, err
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var object storer.Object
	if revision == 0 {
		object, err = g.options.Store.Create(callCtx, serializer.TableKind, service, data)
	} else {
		object, err = g.options.Store.Replace(callCtx, serializer.TableKind, service, revision, data)
	}
	if err == nil {
		return object.Revision, nil
	}
	if kind := storer.KindOf(err); kind != storer.NoResponse && kind != storer.Conflict {
		return revision, err
	}
	stored, storedRevision, readErr := g.readTable(ctx, service)
	if readErr != nil {
		return revision, errors.CombineErrors(err, readErr)
	}
	if stored.Term == table.Term && stored.Version == table.Version {
		return storedRevision, nil
	}
	if stored.Term > table.Term {
		return revision, errors.Newf("the stored table is of term %d", stored.Term)
	}
	return storedRevision, err
}

// takeReport feeds what a host has seen.
func (g *Coordinator) takeReport(ctx context.Context, report connector.Report) {
	now := g.options.Now()
	for service, keys := range report.Keys {
		if r := g.runs[service]; r != nil {
			r.keeper.Step(now, allocator.KeysObserved{Keys: keys})
		}
	}
	for _, timing := range report.Timings {
		for _, r := range g.runs {
			r.keeper.Step(now, allocator.RunTimesMeasured{Upstream: timing.Upstream, Count: timing.Count, Sum: timing.Sum})
		}
	}
	for _, s := range report.Loads {
		at := now - s.Age
		if known, ok := g.loads[s.Upstream]; !ok || known.at < at {
			g.loads[s.Upstream] = sighting{s, at}
		}
		g.confirmer.RecordSuccess(s.Upstream)
	}
	for _, id := range report.Reached {
		g.confirmer.RecordSuccess(id)
	}
	for _, id := range report.Refused {
		g.confirmer.RecordRefusal(now, report.Host, id)
	}
	for _, id := range report.Unresponsive {
		g.confirmer.RecordTimeout(now, report.Host, id)
	}
	if len(report.Refused)+len(report.Unresponsive) > 0 && g.contender.Valid(now) {
		g.confirm(ctx, now)
	}
}

// confirm has all hosts try upstreams that refused one, and tells the keepers of those that have ended.
func (g *Coordinator) confirm(ctx context.Context, now time.Duration) {
	for _, id := range g.confirmer.Stopped(now, len(g.hub.Peers())+1) {
		u, ok := g.snapshot.Upstreams[id]
		if !ok || u.Draining || g.ended[id] == u.Incarnation {
			// An upstream that drains refuses connections while it finishes its work.
			continue
		}
		g.ended[id] = u.Incarnation
		g.options.Log.Log(eventlog.UpstreamStopped, zap.String("upstream", id), zap.String("service", u.Service), zap.Int64("life", u.Incarnation))
		if r := g.runs[u.Service]; r != nil && r.loaded {
			g.step(ctx, r, allocator.UpstreamStopped{Upstream: id})
		}
		g.confirmer.RecordSuccess(id)
	}
	if suspects := len(g.confirmer.Suspects(now)); suspects > g.suspects {
		g.broadcast(now)
	}
}

// recentLoads returns the load reports that hosts have not got yet. An owner of keys without a queue is left out: its
// load changes no decision.
func (g *Coordinator) recentLoads(now time.Duration) connector.EncodedLoads {
	var loads []connector.LoadReport
	for id, s := range g.loads {
		age := now - s.at
		if age > 2*connector.ReportInterval {
			delete(g.loads, id)
			continue
		}
		u := g.snapshot.Upstreams[id]
		if g.runs[u.Service] != nil && s.Load.Waiting == 0 && s.Load.Running < s.Load.Slots {
			continue
		}
		s.Age = age
		loads = append(loads, s.LoadReport)
	}
	encoded, err := connector.EncodeLoads(loads)
	if err != nil {
		g.options.Log.Log(eventlog.FrameRefused, eventlog.Cause(err))
	}
	return encoded
}

// broadcast sends every host a beat with what the others have seen, and tells this host.
func (g *Coordinator) broadcast(now time.Duration) {
	news := connector.Heartbeat{Loads: g.recentLoads(now), Suspects: g.confirmer.Suspects(now)}
	g.suspects = len(news.Suspects)
	hosts := g.sendBeats(now, news)
	g.options.OnHeartbeat(connector.Heartbeat{Term: g.contender.Term(), Valid: true, Hosts: hosts, Loads: news.Loads, Suspects: news.Suspects})
}

// sendBeats sends every host a beat that carries the news, the state of the controller and what changed in the tables
// and in the copy of the store. It returns the number of hosts, this one included.
func (g *Coordinator) sendBeats(now time.Duration, news connector.Heartbeat) int {
	peers := g.hub.Peers()
	hosts := len(peers) + 1
	for i, peer := range peers {
		beat := g.makeBeat(now, peer, i+1, hosts)
		beat.Loads, beat.Suspects = news.Loads, news.Suspects
		beat.Addresses = g.roster.news(peer)
		g.send(peer, beat)
	}
	return hosts
}

func (g *Coordinator) makeBeat(now time.Duration, peer *connector.Peer, index, hosts int) connector.Heartbeat {
	claim := g.contender.LeaseStatus(now)
	beat := connector.Heartbeat{
		Term: claim.Term, Revision: claim.Revision, Remaining: claim.Remaining, Valid: g.contender.Valid(now), Index: index, Hosts: hosts,
	}
	if g.contender.Valid(now) && !g.contender.RenewalOverdue(now) && g.options.Follower.Direct() {
		beat.HasCopy = true
		beat.Copy = changeSince(g.copied[peer], g.snapshot)
		g.copied[peer] = g.snapshot
	}
	known := g.sent[peer]
	if known == nil {
		known = map[string]allocator.RoutingTable{}
		g.sent[peer] = known
	}
	for service, r := range g.runs {
		if len(r.view) == 0 {
			continue
		}
		old, whole := known[service], known[service] == nil
		change := connector.TableChange{Service: service, Full: whole, Rows: r.view}
		if !whole {
			change.Rows = r.view.Diff(old)
		}
		if len(change.Rows) > 0 {
			beat.Tables = append(beat.Tables, change)
			known[service] = r.view
		}
	}
	return beat
}

func (g *Coordinator) send(peer *connector.Peer, beat connector.Heartbeat) {
	if err := g.hub.Send(g.options.Now(), peer, beat); err != nil {
		g.options.Log.Log(eventlog.RingOverflow, zap.String("ring", "beats"), zap.String("host", peer.Host), eventlog.Cause(err))
	}
}

// changeSince returns what makes old into snapshot. A nil old asks for everything.
func changeSince(old, snapshot *follower.Snapshot) follower.Change {
	change := follower.Change{Full: old == nil, Revision: snapshot.Revision}
	if snapshot.Config != nil {
		change.Configuration = snapshot.Config.Version
	}
	for domain := range snapshot.TakenOut {
		change.TakenOut = append(change.TakenOut, domain)
	}
	if old == snapshot {
		return change
	}
	for id, u := range snapshot.Upstreams {
		if old == nil || old.Upstreams[id] != u {
			change.Puts = append(change.Puts, u)
		}
	}
	if old == nil {
		return change
	}
	for id := range old.Upstreams {
		if _, ok := snapshot.Upstreams[id]; !ok {
			change.Removed = append(change.Removed, id)
		}
	}
	return change
}
