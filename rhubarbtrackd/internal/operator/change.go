package operator

import (
	"bytes"
	"context"
	"regexp"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
)

var operationPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// change is one change request.
type change struct {
	call     string
	role     Role
	object   string
	origin   configurator.Origin
	expected uint64
	mayExist bool   // an expected version of 0 is valid and means that the object must not exist
	fault    *Error // set if the request could not be converted
	// propose returns the new value, or nil if current cannot be changed. current is nil if the object does not exist.
	// The field is nil for a deletion.
	propose func(current configurator.Value) configurator.Value
	// precondition returns an error if the change must be rejected in the given configuration. Optional.
	precondition func(base *configurator.Snapshot, current configurator.Value) *Error
}

// stored is the newest known state of an object. Version 0 means that it does not exist.
type stored struct {
	version uint64
	body    []byte
	value   configurator.Value // nil if the object does not exist or cannot be decoded
	origin  configurator.Origin
}

// outcome is an accepted change.
type outcome struct {
	version  uint64
	repeated bool
	value    configurator.Value // nil after a deletion
	origin   configurator.Origin
}

// change runs a change request and maintains its audit record. Once the caller is authenticated, the change is not
// cancelled with the call, because its audit record would remain without an outcome. The timeouts of the Store
// functions bound its duration.
func (s *Server) change(ctx context.Context, c change) (outcome, error) {
	identity, fault := authorize(ctx, c.role)
	ctx = context.WithoutCancel(ctx)
	c.origin.Writer = identity.Name
	attempt := newRecord(&c, s.Now().UTC(), s.newAttempt())
	if fault == nil {
		fault = c.check()
	}
	var result outcome
	var body []byte
	if fault == nil {
		result, body, fault = s.prepare(ctx, &c, attempt)
	}
	if fault == nil && !result.repeated {
		result, fault = s.execute(ctx, &c, attempt, result, body)
	}
	if fault != nil {
		fault.Op, fault.Operation = c.call, attempt.origin.Operation
	}
	s.recordOutcome(ctx, attempt, result, fault)
	if fault != nil {
		return outcome{}, connectError(fault)
	}
	return result, nil
}

// check rejects requests that are invalid regardless of the state of the store.
func (c *change) check() *Error {
	operation := c.origin.Operation
	if len(operation) > maxOperationLength || !operationPattern.MatchString(operation) {
		return invalidField("operation-id", "is not 1 to 64 letters, digits and any of . _ : -")
	}
	if c.fault != nil {
		return c.fault
	}
	if c.expected == 0 && !c.mayExist {
		return invalidField("expected-version", "is required")
	}
	return nil
}

// prepare checks the change against the current state and returns the body to write. If the change has already taken
// effect, prepare returns a repeated outcome.
func (s *Server) prepare(ctx context.Context, c *change, attempt *record) (outcome, []byte, *Error) {
	base, current, fault := s.load(ctx, c.object)
	if fault != nil {
		return outcome{}, nil, fault
	}
	attempt.before = string(current.body)
	if current.version != 0 && current.origin == c.origin {
		return c.repeat(current)
	}
	// Versions alone do not identify a retry that expects a newer version, or one that would create a deleted object
	// again.
	earlier, fault := s.earlier(ctx, c)
	if fault != nil {
		return outcome{}, nil, fault
	}
	if earlier != nil {
		return c.repeatRecord(earlier)
	}
	if current.version == 0 && c.expected != 0 {
		return outcome{}, nil, notFound(c.object)
	}
	if current.version != c.expected {
		return outcome{}, nil, &Error{Kind: Conflict, Expected: c.expected, Current: current.version}
	}
	return s.propose(c, base, current, attempt)
}

func (s *Server) propose(c *change, base *configurator.Snapshot, current stored, attempt *record) (
	outcome, []byte, *Error) {
	if c.propose == nil {
		if err := base.CheckDelete(c.object); err != nil {
			return outcome{}, nil, invalid(err)
		}
		return outcome{origin: c.origin}, nil, nil
	}
	value := c.propose(current.value)
	if value == nil {
		return outcome{}, nil, invalidField("name", "the stored object cannot be read; replace it first")
	}
	body, err := encoder.Encode(value, c.origin)
	if err != nil {
		return outcome{}, nil, invalid(err)
	}
	attempt.after = string(body)
	if err := value.Validate(); err != nil {
		return outcome{}, nil, invalid(err)
	}
	if err := base.Check(value, s.Now()); err != nil {
		return outcome{}, nil, invalid(err)
	}
	if c.precondition != nil {
		if fault := c.precondition(base, current.value); fault != nil {
			return outcome{}, nil, fault
		}
	}
	return outcome{value: value, origin: c.origin}, body, nil
}

// repeat returns the outcome of a retry whose first attempt produced the current object.
func (c *change) repeat(current stored) (outcome, []byte, *Error) {
	if c.propose == nil || !c.produces(current.value) {
		return outcome{}, nil, operationReused()
	}
	result := outcome{version: current.version, repeated: true, value: current.value, origin: current.origin}
	return result, nil, nil
}

// repeatRecord returns the outcome of a retry whose first attempt was superseded by a later change.
func (c *change) repeatRecord(earlier *record) (outcome, []byte, *Error) {
	result := outcome{version: earlier.versionAfter, repeated: true, origin: earlier.origin}
	if earlier.call != c.call || earlier.object != c.object {
		return outcome{}, nil, operationReused()
	}
	if c.propose == nil {
		return result, nil, nil
	}
	value, _, err := encoder.Decode(c.object, []byte(earlier.after))
	if err != nil || !c.produces(value) {
		return outcome{}, nil, operationReused()
	}
	result.value = value
	return result, nil, nil
}

// produces reports whether the request results in this value. Changes are idempotent: a change that modifies the
// current value does not modify a value that it has produced itself.
func (c *change) produces(value configurator.Value) bool {
	proposed := c.propose(value)
	if proposed == nil {
		return false
	}
	body, err := encoder.Encode(value, c.origin)
	again, againErr := encoder.Encode(proposed, c.origin)
	return err == nil && againErr == nil && bytes.Equal(again, body)
}

func operationReused() *Error {
	return invalidField("operation-id", "was used for a different change")
}

// earlier returns the record of an earlier attempt of the same operation that took effect, or nil. It returns an error
// of kind Unknown for a creation if an earlier attempt may have taken effect before the object was deleted.
func (s *Server) earlier(ctx context.Context, c *change) (*record, *Error) {
	related, err := s.recent(ctx, func(r *record) bool { return r.origin == c.origin || r.object == c.object })
	if err != nil {
		return nil, &Error{Kind: NotAccepted, Err: err}
	}
	deleted := false
	for i := range related {
		r := &related[i]
		switch {
		case r.origin != c.origin:
			deleted = deleted || r.call == deleteCall && r.result != refused
		case r.result == accepted:
			return r, nil
		case deleted && c.expected == 0 && r.result != refused:
			return nil, &Error{Kind: Unknown, Err: errors.New("the object was deleted after an attempt of unknown outcome")}
		}
	}
	return nil, nil
}

// load returns the newest known configuration and the state of one object in it. The configuration omits objects that
// cannot be decoded, so that they can be replaced.
func (s *Server) load(ctx context.Context, name string) (*configurator.Snapshot, stored, *Error) {
	revision, objects, err := s.Store.List(ctx, configurator.Prefix)
	if err != nil {
		return nil, stored{}, &Error{Kind: NotAccepted, Err: errors.Wrap(err, "the store does not answer")}
	}
	base := s.Snapshot().Snapshot.Clone()
	current := stored{}
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Name] = true
		if object.Name == name && object.Version >= base.Versions[name] {
			current = storedOf(object)
		}
		_, _ = base.Merge(configurator.Object{Name: object.Name, Version: object.Version, Body: object.Value}, encoder.Decode)
	}
	for known := range base.Versions {
		if !listed[known] {
			// An object that is older than the list and missing in it was deleted.
			_, _ = base.Merge(configurator.Object{Name: known, Version: revision, Deleted: true}, encoder.Decode)
		}
	}
	if value, found := base.Lookup(name); found && current.version < base.Versions[name] {
		current = storedValue(base, value)
	}
	return base, current, nil
}

func storedOf(object Object) stored {
	current := stored{version: object.Version, body: object.Value}
	if value, origin, err := encoder.Decode(object.Name, object.Value); err == nil {
		current.value, current.origin = value, origin
	}
	return current
}

func storedValue(snapshot *configurator.Snapshot, value configurator.Value) stored {
	name := value.ObjectName()
	current := stored{version: snapshot.Versions[name], value: value, origin: snapshot.Origins[name]}
	if body, err := encoder.Encode(value, current.origin); err == nil {
		current.body = body
	}
	return current
}

// execute stores the audit record of the attempt, sends the write and determines its outcome.
func (s *Server) execute(ctx context.Context, c *change, attempt *record, result outcome, body []byte) (
	outcome, *Error) {
	attempt.result = started
	if err := s.store(ctx, attempt); err != nil {
		return outcome{}, &Error{Kind: NotAccepted, Err: errors.Wrap(err, "the audit record could not be stored")}
	}
	var err error
	if c.propose == nil {
		result.version, err = s.Store.Delete(ctx, c.object, c.expected)
	} else {
		result.version, err = s.Store.Put(ctx, c.object, body, c.expected)
	}
	if err == nil {
		s.notifyAccepted(c, result, body)
		return result, nil
	}
	switch kindOf(err) {
	case NotAccepted:
		return outcome{}, &Error{Kind: NotAccepted, Err: err}
	case Conflict:
		current := storedOf(conflictObject(err))
		if c.propose == nil || current.version == 0 || current.origin != c.origin {
			return outcome{}, &Error{Kind: Conflict, Expected: c.expected, Current: current.version}
		}
		result.version = current.version // another copy of this request has already taken effect
	default:
		version, resolved := s.resolve(ctx, c)
		if !resolved {
			return outcome{}, &Error{Kind: Unknown, Err: err}
		}
		result.version = version
	}
	s.notifyAccepted(c, result, body)
	return result, nil
}

// resolve reads the object back after a lost response and reports whether the change certainly took effect. An
// unchanged object proves nothing, because the write may still be in transit. A change by another writer proves nothing
// either, because it may have replaced this one.
func (s *Server) resolve(ctx context.Context, c *change) (version uint64, resolved bool) {
	for attempt := range resolveAttempts {
		if s.Wait != nil {
			s.Wait(ctx, attempt)
		}
		revision, current, err := s.readBack(ctx, c.object)
		if err != nil || revision <= c.expected {
			continue // the read failed, or shows a state from before the write
		}
		if c.propose == nil && current.version == 0 {
			return 0, true
		}
		if c.propose != nil && current.version != 0 && current.origin == c.origin {
			return current.version, true
		}
	}
	return 0, false
}

// readBack returns an object and the store revision that the read reflects.
func (s *Server) readBack(ctx context.Context, name string) (uint64, stored, error) {
	revision, objects, err := s.Store.List(ctx, name)
	if err != nil {
		return 0, stored{}, err
	}
	for _, object := range objects {
		if object.Name == name {
			return revision, storedOf(object), nil
		}
	}
	return revision, stored{}, nil
}

// notifyAccepted passes an accepted object to the host. If the response to a deletion was lost, its version is unknown
// and the host receives the deletion by its watch.
func (s *Server) notifyAccepted(c *change, result outcome, body []byte) {
	if s.Accepted == nil || result.version == 0 {
		return
	}
	s.Accepted(configurator.Object{Name: c.object, Version: result.version, Body: body, Deleted: c.propose == nil})
}

// recordOutcome updates the audit record with the outcome and stores it.
func (s *Server) recordOutcome(ctx context.Context, attempt *record, result outcome, fault *Error) {
	switch {
	case fault == nil && result.repeated:
		attempt.result = repeated
		attempt.versionAfter = result.version
	case fault == nil:
		attempt.result = accepted
		attempt.versionAfter = result.version
	case fault.Kind == Unknown:
		attempt.result = unknown
		attempt.problem = fault.Error()
	default:
		attempt.result = refused
		attempt.problem = fault.Error()
	}
	s.save(ctx, attempt)
}
