package operator

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rhubarbtrack.example/core/configurator"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// deleteCall is the name of the deletion call in audit records.
const deleteCall = "DeleteResource"

// Numbers of audit records in one response.
const (
	defaultAuditLimit = 100
	maxAuditLimit     = 1_000
)

// PutResource implements the call. It creates or replaces one object.
func (s *Server) PutResource(ctx context.Context, request *connect.Request[rhubarbtrackv1.PutResourceRequest]) (
	*connect.Response[rhubarbtrackv1.PutResourceResponse], error) {
	c := change{
		call:     "PutResource",
		role:     RoleConfigure,
		origin:   configurator.Origin{Operation: request.Msg.GetOperationId()},
		expected: request.Msg.GetExpectedVersion(),
		mayExist: true,
	}
	value, fault := valueOf(request.Msg.GetResource())
	c.fault = fault
	if fault == nil {
		c.object = value.ObjectName()
		c.propose = func(configurator.Value) configurator.Value { return value }
		c.precondition = func(_ *configurator.Snapshot, current configurator.Value) *Error {
			return checkTakenOutUnchanged(current, value)
		}
		// Validates the value here, because otherwise an invalid name would be looked up in the store first.
		if err := value.Validate(); err != nil {
			c.fault = invalid(err)
		}
	}
	result, err := s.change(ctx, c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rhubarbtrackv1.PutResourceResponse{Result: resultMessage(result)}), nil
}

// checkTakenOutUnchanged rejects a replacement that changes whether a failure domain is taken out, because it would
// bypass the capacity check of TakeOutFailureDomain.
func checkTakenOutUnchanged(current, value configurator.Value) *Error {
	domain, isDomain := value.(configurator.FailureDomain)
	if !isDomain {
		return nil
	}
	existing, _ := current.(configurator.FailureDomain)
	if existing.TakenOut != domain.TakenOut {
		return invalidField("taken-out", "changes by TakeOutFailureDomain and BringBackFailureDomain only")
	}
	return nil
}

// DeleteResource implements the call. It rejects the deletion of an object that others refer to.
func (s *Server) DeleteResource(ctx context.Context, request *connect.Request[rhubarbtrackv1.DeleteResourceRequest]) (
	*connect.Response[rhubarbtrackv1.DeleteResourceResponse], error) {
	object, fault := objectName(request.Msg.GetKind(), request.Msg.GetName())
	result, err := s.change(ctx, change{
		call:     deleteCall,
		role:     RoleConfigure,
		object:   object,
		origin:   configurator.Origin{Operation: request.Msg.GetOperationId()},
		expected: request.Msg.GetExpectedVersion(),
		fault:    fault,
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rhubarbtrackv1.DeleteResourceResponse{Result: resultMessage(result)}), nil
}

// DrainUpstream implements the call. It starts or ends the drain of an upstream.
func (s *Server) DrainUpstream(ctx context.Context, request *connect.Request[rhubarbtrackv1.DrainUpstreamRequest]) (
	*connect.Response[rhubarbtrackv1.DrainUpstreamResponse], error) {
	object, fault := objectName(rhubarbtrackv1.ResourceKind_RESOURCE_KIND_UPSTREAM, request.Msg.GetName())
	result, err := s.change(ctx, change{
		call:     "DrainUpstream",
		role:     RoleOperate,
		object:   object,
		origin:   configurator.Origin{Operation: request.Msg.GetOperationId()},
		expected: request.Msg.GetExpectedVersion(),
		fault:    fault,
		propose: func(current configurator.Value) configurator.Value {
			upstream, ok := current.(configurator.Upstream)
			if !ok {
				return nil
			}
			upstream.Drained = request.Msg.GetDrained()
			return upstream
		},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rhubarbtrackv1.DrainUpstreamResponse{Result: resultMessage(result)}), nil
}

// TakeOutFailureDomain implements the call. It rejects the change if the remaining capacity is too low, unless forced.
func (s *Server) TakeOutFailureDomain(ctx context.Context,
	request *connect.Request[rhubarbtrackv1.TakeOutFailureDomainRequest]) (
	*connect.Response[rhubarbtrackv1.TakeOutFailureDomainResponse], error) {
	name := request.Msg.GetName()
	var overridden []Shortfall
	c := s.takenOutChange("TakeOutFailureDomain", name, true)
	c.origin.Operation = request.Msg.GetOperationId()
	c.expected = request.Msg.GetExpectedVersion()
	c.precondition = func(base *configurator.Snapshot, _ configurator.Value) *Error {
		shortfalls := s.shortfalls(base, name)
		if len(shortfalls) > 0 && !request.Msg.GetForce() {
			return &Error{Kind: Capacity, Shortfalls: shortfalls}
		}
		overridden = shortfalls
		return nil
	}
	result, err := s.change(ctx, c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rhubarbtrackv1.TakeOutFailureDomainResponse{
		Result:     resultMessage(result),
		Shortfalls: shortfallMessages(overridden),
	}), nil
}

func (s *Server) shortfalls(base *configurator.Snapshot, name string) []Shortfall {
	if s.Shortfalls == nil {
		return []Shortfall{{Text: fmt.Sprintf("the capacity without failure domain %s is not known", name)}}
	}
	return s.Shortfalls(base, name)
}

// BringBackFailureDomain implements the call. It needs no capacity check.
func (s *Server) BringBackFailureDomain(ctx context.Context,
	request *connect.Request[rhubarbtrackv1.BringBackFailureDomainRequest]) (
	*connect.Response[rhubarbtrackv1.BringBackFailureDomainResponse], error) {
	c := s.takenOutChange("BringBackFailureDomain", request.Msg.GetName(), false)
	c.origin.Operation = request.Msg.GetOperationId()
	c.expected = request.Msg.GetExpectedVersion()
	result, err := s.change(ctx, c)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&rhubarbtrackv1.BringBackFailureDomainResponse{Result: resultMessage(result)}), nil
}

func (s *Server) takenOutChange(call, name string, takenOut bool) change {
	object, fault := objectName(rhubarbtrackv1.ResourceKind_RESOURCE_KIND_FAILURE_DOMAIN, name)
	propose := func(current configurator.Value) configurator.Value {
		domain, ok := current.(configurator.FailureDomain)
		if !ok {
			return nil
		}
		domain.TakenOut = takenOut
		return domain
	}
	return change{call: call, role: RoleOperate, object: object, fault: fault, propose: propose}
}

func resultMessage(result outcome) *rhubarbtrackv1.ChangeResult {
	message := &rhubarbtrackv1.ChangeResult{
		OperationId:    result.origin.Operation,
		Version:        result.version,
		RepeatedChange: result.repeated,
	}
	if result.value != nil {
		message.Resource = resourceOf(result.value, result.version, result.origin)
	}
	return message
}

// GetChange implements the call. It finds a change that is the latest change of an object, or that has an audit record
// from today or yesterday.
func (s *Server) GetChange(ctx context.Context, request *connect.Request[rhubarbtrackv1.GetChangeRequest]) (
	*connect.Response[rhubarbtrackv1.GetChangeResponse], error) {
	identity, fault := authorize(ctx, RoleView)
	if fault != nil {
		return nil, connectError(fault)
	}
	origin := configurator.Origin{Writer: request.Msg.GetWriter(), Operation: request.Msg.GetOperationId()}
	if origin.Writer == "" {
		origin.Writer = identity.Name
	}
	if origin.Operation == "" {
		return nil, connectError(invalidField("operation-id", "is required"))
	}
	view := s.Snapshot()
	message, fault := s.findChange(ctx, view, origin)
	if fault != nil {
		fault.Operation = origin.Operation
		return nil, connectError(fault)
	}
	message.OperationId, message.Writer = origin.Operation, origin.Writer
	if message.GetState() == rhubarbtrackv1.ChangeState_CHANGE_STATE_ACCEPTED {
		message.Rollout = rolloutMessage(s.Rollout(message.GetVersion()))
	}
	return connect.NewResponse(&rhubarbtrackv1.GetChangeResponse{Freshness: freshnessOf(view), Change: message}), nil
}

// findChange searches for a change in the configuration, then in the audit trail.
func (s *Server) findChange(ctx context.Context, view View, origin configurator.Origin) (
	*rhubarbtrackv1.Change, *Error) {
	for name, found := range view.Snapshot.Origins {
		if found == origin {
			version := view.Snapshot.Versions[name]
			return acceptedChange(name, version), nil
		}
	}
	records, err := s.recent(ctx, func(r *record) bool { return r.origin == origin })
	if len(records) == 0 && err != nil {
		// The change may have been accepted through another host just before the store became unavailable.
		return &rhubarbtrackv1.Change{State: rhubarbtrackv1.ChangeState_CHANGE_STATE_UNKNOWN}, nil
	}
	if len(records) == 0 {
		return nil, notFound("operation " + origin.Operation)
	}
	conclusive := mostConclusiveRecord(records)
	message := s.resolveRecord(ctx, conclusive)
	message.Object, message.Time = conclusive.object, timestamppb.New(conclusive.time)
	return message, nil
}

func acceptedChange(object string, version uint64) *rhubarbtrackv1.Change {
	return &rhubarbtrackv1.Change{
		Object:  object,
		State:   rhubarbtrackv1.ChangeState_CHANGE_STATE_ACCEPTED,
		Version: version,
	}
}

// mostConclusiveRecord selects the record that determines the state of an operation: that of an attempt that took
// effect, or else of one that may have taken effect, or else the newest one.
func mostConclusiveRecord(records []record) *record {
	best := &records[0]
	for i := range records {
		switch records[i].result {
		case accepted, repeated:
			return &records[i]
		case started, unknown:
			if best.result == refused {
				best = &records[i]
			}
		}
	}
	return best
}

func (s *Server) resolveRecord(ctx context.Context, r *record) *rhubarbtrackv1.Change {
	switch r.result {
	case accepted, repeated:
		return acceptedChange(r.object, r.versionAfter)
	case refused:
		return &rhubarbtrackv1.Change{State: rhubarbtrackv1.ChangeState_CHANGE_STATE_REFUSED}
	}
	revision, current, err := s.readBack(ctx, r.object)
	if err == nil && revision > r.versionBefore {
		if current.version != 0 && current.origin == r.origin {
			return acceptedChange(r.object, current.version)
		}
		if current.version == 0 && r.call == deleteCall {
			return acceptedChange(r.object, 0)
		}
	}
	return &rhubarbtrackv1.Change{State: rhubarbtrackv1.ChangeState_CHANGE_STATE_UNKNOWN}
}

// ListAudit implements the call. It fails while the store is unavailable, because hosts keep no copy of the audit
// trail.
func (s *Server) ListAudit(ctx context.Context, request *connect.Request[rhubarbtrackv1.ListAuditRequest]) (
	*connect.Response[rhubarbtrackv1.ListAuditResponse], error) {
	if _, fault := authorize(ctx, RoleView); fault != nil {
		return nil, connectError(fault)
	}
	day := request.Msg.GetDay()
	if day == "" {
		day = s.Now().UTC().Format(dayLayout)
	}
	if _, err := time.Parse(dayLayout, day); err != nil {
		return nil, connectError(invalidField("day", fmt.Sprintf("%q is not a day as 2026-12-04", day)))
	}
	limit := int(request.Msg.GetLimit())
	if limit == 0 {
		limit = defaultAuditLimit
	}
	object := request.Msg.GetObject()
	match := func(r *record) bool { return object == "" || object == r.object }
	records, err := s.search(ctx, day, min(limit, maxAuditLimit), match)
	if err != nil {
		return nil, connectError(&Error{Kind: NotAccepted, Err: errors.Wrap(err, "the audit trail cannot be read")})
	}
	response := &rhubarbtrackv1.ListAuditResponse{}
	for i := range records {
		response.Records = append(response.Records, recordMessage(&records[i]))
	}
	return connect.NewResponse(response), nil
}
