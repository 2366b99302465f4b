package coordinator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

// relistTime is the time after a return of the store from a copy in which upstreams register again (2 s) and this host reads that.
const relistTime = 2300 * time.Millisecond

// observeGeneration passes a later generation of the store to the state machines. Any response may be the first of it.
func (c *Coordinator) observeGeneration(ctx context.Context, now time.Duration) {
	generation := c.options.Store.Generation()
	if generation <= c.generation && c.generationAt > 0 {
		return
	}
	c.generation, c.generationAt = generation, now
	c.stepElection(ctx, contender.GenerationObserved{Generation: generation})
	if c.contender.IsHolder() {
		c.resigned = false // it writes its tables before it resigns
	}
	for _, svc := range c.services {
		c.step(ctx, svc, allocator.GenerationBegan{Generation: generation})
	}
}

// newTerm returns the event that starts a term with a stored table.
func (c *Coordinator) newTerm(service string, term uint64, table serializer.Table, version storer.Version) allocator.TermStarted {
	stored := allocator.StoredTable{IsMissing: version.Revision == 0, Generation: table.Generation, Ranges: table.Ranges}
	known := allocator.Known{
		IsFirstTerm: c.contender.IsFirstTerm(),
		Recovery:    allocator.Recovery{Former: c.formerUpstreams(service), ListedAt: c.generationAt + relistTime},
	}
	if c.isRouted {
		known.Routed = c.options.Tables.Table(service)
	}
	started := allocator.NewTerm(term, version.Generation, stored, known)
	if started.Recovery != nil {
		c.options.Log.Log(eventlog.RecoveryStarted, zap.String("service", service), zap.Uint64("term", term), zap.Int64("generation", version.Generation),
			zap.Int64("table-generation", table.Generation), zap.Uint64("table-term", table.Term), zap.Int("routed", len(known.Routed)),
			zap.Int("ranges", len(started.Table)), zap.Int("former", len(known.Former)))
	}
	return started
}

// removedEntry is an upstream whose entry was removed from the store.
type removedEntry struct {
	service string
	at      time.Duration
}

// recordRemoved records the upstreams whose entries are missing since the former snapshot. They may hold grants until these expire.
func (c *Coordinator) recordRemoved(now time.Duration, former, present *follower.Snapshot) {
	maps.DeleteFunc(c.removed, func(_ identifier.Incarnation, entry removedEntry) bool {
		return now >= allocator.GrantExpiry(entry.at, c.options.MaxLifetime)
	})
	if former == nil {
		return
	}
	for _, u := range former.Upstreams {
		if _, listed := present.Upstream(u.Incarnation); !listed {
			c.removed[u.Incarnation] = removedEntry{u.Service, now}
		}
	}
}

// formerUpstreams returns the upstreams of a service whose entries were removed so lately that they may hold grants.
func (c *Coordinator) formerUpstreams(service string) []identifier.Incarnation {
	var former []identifier.Incarnation
	for upstream, entry := range c.removed {
		if entry.service == service {
			former = append(former, upstream)
		}
	}
	slices.SortFunc(former, identifier.Compare)
	return former
}

// reserveTerm reserves a term in the store.
func (c *Coordinator) reserveTerm(ctx context.Context, request contender.ReserveTerm) {
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result := contender.TermReserved{Generation: request.Generation}
	result.Term, result.Err = c.increaseTerm(callCtx, request)
	if result.Err != nil {
		c.options.Log.Log(eventlog.RecordWriteFailed, eventlog.Cause(result.Err))
	}
	c.post(func() { c.stepElection(ctx, result) })
}

// increaseTerm increases the counter of the reserved terms of a generation, and returns it.
func (c *Coordinator) increaseTerm(ctx context.Context, request contender.ReserveTerm) (uint64, error) {
	name := strconv.FormatInt(request.Generation, 10)
	object, err := c.options.Store.Get(ctx, serializer.TermKind, name)
	isMissing := storer.KindOf(err) == storer.NotFound
	var reserved uint64
	switch {
	case isMissing:
	case err != nil:
		return 0, err
	default:
		if reserved, err = serializer.DecodeTerm(object.Specification); err != nil {
			// Another program has overwritten the counter. The write replaces it.
			c.options.Log.Log(eventlog.ObjectRefused, zap.String("name", serializer.TermKind), zap.Int64("revision", object.Revision), eventlog.Cause(err))
		}
	}
	term := max(reserved, request.Above) + 1
	data, err := serializer.EncodeTerm(term)
	if err != nil {
		return 0, err
	}
	if isMissing {
		object, err = c.options.Store.Create(ctx, serializer.TermKind, name, data)
	} else {
		object, err = c.options.Store.Replace(ctx, serializer.TermKind, name, object.Version(), data)
	}
	if err != nil {
		return 0, err
	}
	if object.Generation != request.Generation {
		return 0, errors.Newf("the term is of generation %d of the store, the response of %d", request.Generation, object.Generation)
	}
	if isMissing {
		c.spawn(ctx, func() { c.deleteFormerTerms(context.WithoutCancel(ctx), request.Generation) })
	}
	return term, nil
}

// deleteFormerTerms removes the counters of former generations. Those that remain after a failure are removed the next time.
func (c *Coordinator) deleteFormerTerms(ctx context.Context, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	list, err := c.options.Store.List(ctx, serializer.TermKind, 0, func([]byte, error) {})
	for _, object := range list.Objects {
		if former, parseErr := strconv.ParseInt(object.Name, 10, 64); parseErr == nil && former < generation && err == nil {
			err = c.options.Store.Delete(ctx, serializer.TermKind, object.Name)
		}
	}
	if err != nil {
		c.options.Log.Log(eventlog.RecordWriteFailed, eventlog.Cause(err))
	}
}
