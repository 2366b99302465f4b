package coordinator

import (
	"context"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/failuredetector"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

// stepElection passes an event to the election state machine and performs the resulting actions.
func (c *Coordinator) stepElection(ctx context.Context, event contender.Event) {
	actions := c.contender.Step(c.options.Now(), event)
	c.declines.Store(c.contender.Declines())
	c.perform(ctx, actions)
}

// perform carries out actions of the election state machine.
func (c *Coordinator) perform(ctx context.Context, actions []contender.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case contender.Read:
			c.spawn(ctx, func() { c.readRecord(ctx) })
		case contender.Write:
			c.spawn(ctx, func() { c.writeRecord(ctx, action.Record) })
		case contender.ReserveTerm:
			c.spawn(ctx, func() { c.reserveTerm(ctx, action) })
		case contender.Follow:
			record := action.Record
			c.leader.Store(&record)
			if record.Address == c.options.Address {
				// This process listens on the address of the lease holder, so that process has stopped.
				c.stepElection(ctx, contender.HolderStopped{Term: record.Term})
			}
		case contender.Lead:
			c.options.Log.Log(eventlog.LeadershipGained, zap.Uint64("term", action.Term))
			c.leader.Store(&contender.Record{Holder: c.options.Host, Term: action.Term})
			c.options.Follower.StopRelay()
			c.lastAnnouncement = 0
			c.hostList.resetAges(c.options.Now())
			c.services = map[string]*serviceState{}
			c.failures = failuredetector.New()
			c.deferred = nil
			c.leaseExpired = false
			c.pacing.beginTerm(c.options.Now(), c.options)
			c.beginQuotas(action.Term)
		case contender.StepDown:
			c.options.Log.Log(eventlog.LeadershipLost, zap.Uint64("term", c.contender.Term()))
			if c.contender.HasResigned() {
				c.sendResignation()
			}
			c.services = map[string]*serviceState{}
			c.leader.Store(nil)
		}
	}
}

func (c *Coordinator) readRecord(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	object, err := c.options.Store.Get(callCtx, serializer.RecordKind, serializer.RecordName)
	var record contender.Record
	switch {
	case storer.KindOf(err) == storer.NotFound:
		object.Generation, err = c.options.Store.Generation(), nil
	case err == nil:
		if record, err = serializer.DecodeRecord(object.Revision, object.Specification); err != nil {
			c.options.Log.Log(eventlog.ObjectRefused, zap.String("name", serializer.RecordKind), zap.Int64("revision", object.Revision), eventlog.Cause(err))
		}
	}
	c.post(func() {
		c.stepElection(ctx, contender.ReadResult{Generation: object.Generation, Record: record, Err: err})
	})
}

func (c *Coordinator) writeRecord(ctx context.Context, record contender.Record) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outcome := c.replaceRecord(callCtx, record)
	if current := conflictObject(outcome.Err); current != nil {
		decoded, err := serializer.DecodeRecord(current.Revision, current.Specification)
		switch {
		case err == nil:
			outcome.Conflict, outcome.Record, outcome.Generation, outcome.Err = true, decoded, current.Generation, nil
		case c.leaseValid():
			// Another program has overwritten the record. No other host can have taken it over while the lease is valid.
			c.options.Log.Log(eventlog.RecordWriteFailed, zap.Uint64("term", record.Term), eventlog.Cause(err))
			record.Revision = current.Revision
			outcome = c.replaceRecord(callCtx, record)
		}
	}
	outcome.Rejected = storer.KindOf(outcome.Err) == storer.Unavailable
	if outcome.Err != nil {
		c.options.Log.Log(eventlog.RecordWriteFailed, zap.Uint64("term", record.Term), eventlog.Cause(outcome.Err))
	}
	c.post(func() { c.stepElection(ctx, outcome) })
}

// replaceRecord writes the lease record if the stored one has the revision of the given one.
func (c *Coordinator) replaceRecord(ctx context.Context, record contender.Record) contender.WriteResult {
	outcome := contender.WriteResult{SentAt: c.options.Now()}
	data, err := serializer.EncodeRecord(record, uint64(outcome.SentAt))
	if err == nil {
		var object storer.Object
		if record.Revision == 0 {
			object, err = c.options.Store.Create(ctx, serializer.RecordKind, serializer.RecordName, data)
		} else {
			version := storer.Version{Generation: record.Generation, Revision: record.Revision}
			object, err = c.options.Store.Replace(ctx, serializer.RecordKind, serializer.RecordName, version, data)
		}
		record.Revision, outcome.Generation = object.Revision, object.Generation
	}
	outcome.Record, outcome.Err = record, err
	return outcome
}
