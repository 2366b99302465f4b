package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

// load reads the stored ownership table and starts the allocator of the service with it.
func (c *Coordinator) load(ctx context.Context, svc *serviceState) {
	now := c.options.Now()
	if svc.loading || now < svc.nextLoad {
		return
	}
	svc.loading = true
	svc.nextLoad = now + tableReadInterval
	term := c.contender.Term()
	c.spawn(ctx, func() {
		table, version, err := c.readTable(ctx, svc.service)
		c.post(func() {
			svc.loading = false
			if c.services[svc.service] != svc || c.contender.Term() != term {
				return
			}
			if err != nil && !c.replaceLost(svc, err) {
				c.options.Log.Log(eventlog.TableRefused, zap.String("service", svc.service), eventlog.Cause(err))
				return
			}
			svc.loaded = true
			svc.version = version
			c.step(ctx, svc, c.newTerm(svc.service, term, table, version))
			c.step(ctx, svc, allocator.GenerationBegan{Generation: c.generation})
		})
	})
}

// replaceLost reports whether the controller may start without the stored table, because that is unreadable and all grants of
// earlier controllers have expired. Another program may have overwritten it.
func (c *Coordinator) replaceLost(svc *serviceState, err error) bool {
	if !isUnreadable(err) {
		svc.lostAt = 0
		return false
	}
	now := c.options.Now()
	if svc.lostAt == 0 {
		svc.lostAt = now
	}
	return now >= allocator.GrantExpiry(svc.lostAt, c.options.MaxLifetime)
}

// isUnreadable reports whether a stored object is there and cannot be decoded.
func isUnreadable(err error) bool {
	var typed *serializer.Error
	return errors.As(err, &typed) && typed.Kind == serializer.Unreadable
}

// commit writes an ownership table.
func (c *Coordinator) commit(ctx context.Context, svc *serviceState, a allocator.Commit, term uint64, version storer.Version) {
	table := serializer.Table{Term: term, Generation: a.Generation, Version: a.Version, Ranges: a.Table}
	version, err := c.writeTable(ctx, svc.service, table, version)
	c.post(func() {
		if c.services[svc.service] != svc {
			return
		}
		if svc.version.Before(version) {
			svc.version = version
		}
		if err != nil {
			c.options.Log.Log(eventlog.TableCommitFailed, zap.String("service", svc.service),
				zap.Uint64("version", a.Version), eventlog.Cause(err))
			c.step(ctx, svc, allocator.CommitFailed{Generation: a.Generation, Version: a.Version})
			return
		}
		c.options.Log.Log(eventlog.TableCommitted, zap.String("service", svc.service), zap.Uint64("term", term),
			zap.Uint64("version", a.Version), zap.Int("ranges", len(a.Table)), zap.Int64("revision", version.Revision))
		c.step(ctx, svc, allocator.Committed{Generation: a.Generation, Version: a.Version})
	})
}

// writeTable writes an ownership table in its generation of the store, and returns the version of the stored one. After a conflict or
// a write without a response, it reads the object back and returns no error if the stored table is the given one.
func (c *Coordinator) writeTable(ctx context.Context, service string, table serializer.Table, version storer.Version) (storer.Version, error) {
	data, err := serializer.EncodeTable(table)
	if err != nil {
		return version, err
	}
	if version.Generation != table.Generation {
		// The store has come back from a copy, so it has another version.
		stored, present, err := c.readTable(ctx, service)
		if err != nil && !isUnreadable(err) {
			return version, err
		}
		if err := checkSuperseded(stored, table); err != nil {
			return version, err
		}
		version = present
	}
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var object storer.Object
	if version.Revision == 0 {
		object, err = c.options.Store.Create(callCtx, serializer.TableKind, service, data)
	} else {
		object, err = c.options.Store.Replace(callCtx, serializer.TableKind, service, version, data)
	}
	switch kind := storer.KindOf(err); {
	case err == nil && object.Generation == table.Generation:
		return object.Version(), nil
	case err == nil:
		return version, errors.Newf("the table is of generation %d of the store, the response of %d", table.Generation, object.Generation)
	case kind == storer.NotFound:
		return storer.Version{Generation: version.Generation}, err
	case kind != storer.NoResponse && kind != storer.Conflict:
		return version, err
	}
	stored, present, readErr := c.readTable(ctx, service)
	if isUnreadable(readErr) {
		// The next write replaces what another program has written.
		return present, err
	}
	if readErr != nil {
		return version, errors.CombineErrors(err, readErr)
	}
	if stored.Term == table.Term && stored.Version == table.Version && stored.Generation == table.Generation && present.Generation == table.Generation {
		return present, nil
	}
	if err := checkSuperseded(stored, table); err != nil {
		return version, err
	}
	return present, err
}

// checkSuperseded returns an error if a stored table is of a later term than the given one. One of a former generation of the store
// is from a copy, or was written late.
func checkSuperseded(stored, table serializer.Table) error {
	if stored.Generation == table.Generation && stored.Term > table.Term {
		return errors.Newf("stored table has newer term %d", stored.Term)
	}
	return nil
}

// fetchTables reads stored tables that no controller has sent, for example after the start of this host.
func (c *Coordinator) fetchTables(ctx context.Context, now time.Duration) {
	if c.snapshot.Config == nil || (c.options.FirstStart && now < max(c.lastHeartbeat, c.started)+tableWait) {
		return
	}
	for name, service := range c.snapshot.Config.Services {
		if !service.Keyed || c.options.Tables.Has(name) || c.fetching[name] || now < c.nextFetch[name] {
			continue
		}
		c.fetching[name] = true
		c.nextFetch[name] = now + tableReadInterval
		c.spawn(ctx, func() { c.fetchTable(ctx, name) })
	}
}

func (c *Coordinator) fetchTable(ctx context.Context, service string) {
	table, _, err := c.readTable(ctx, service)
	c.post(func() {
		delete(c.fetching, service)
		if err != nil || c.options.Tables.Has(service) || len(table.Ranges) == 0 {
			return
		}
		routingTable := make(allocator.RoutingTable, 0, len(table.Ranges))
		for _, row := range table.Ranges {
			routingTable = append(routingTable, allocator.Assignment{From: row.From, To: row.To, Owner: row.Owner})
		}
		c.options.Tables.Replace(service, routingTable)
	})
	if err != nil {
		c.options.Log.Log(eventlog.TableRefused, zap.String("service", service), eventlog.Cause(err))
	}
}

// readTable returns the stored table and its version. Without a stored table, the version has revision 0.
func (c *Coordinator) readTable(ctx context.Context, service string) (serializer.Table, storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	object, err := c.options.Store.Get(ctx, serializer.TableKind, service)
	if storer.KindOf(err) == storer.NotFound {
		return serializer.Table{}, storer.Version{Generation: c.options.Store.Generation()}, nil
	}
	if err != nil {
		return serializer.Table{}, storer.Version{}, err
	}
	table, err := serializer.DecodeTable(object.Specification)
	return table, object.Version(), err
}
