package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// ageUnit is the precision of ages in texts.
const ageUnit = 100 * time.Millisecond

// ListResources implements the call.
func (s *Server) ListResources(ctx context.Context, request *connect.Request[rhubarbtrackv1.ListResourcesRequest]) (
	*connect.Response[rhubarbtrackv1.ListResourcesResponse], error) {
	if _, err := authorize(ctx, RoleView); err != nil {
		return nil, connectError(err)
	}
	prefix := configurator.Prefix
	for _, entry := range prefixes {
		if entry.kind == request.Msg.GetKind() {
			prefix = entry.prefix
		}
	}
	view := s.Snapshot()
	response := &rhubarbtrackv1.ListResourcesResponse{Freshness: freshnessOf(view)}
	for _, name := range slices.Sorted(maps.Keys(view.Snapshot.Versions)) {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		value, found := view.Snapshot.Lookup(name)
		if found && matchesService(value, request.Msg.GetService()) {
			response.Resources = append(response.Resources, snapshotResource(view.Snapshot, value))
		}
	}
	return connect.NewResponse(response), nil
}

func matchesService(value configurator.Value, service string) bool {
	upstream, isUpstream := value.(configurator.Upstream)
	return service == "" || !isUpstream || upstream.Service == service
}

func snapshotResource(snapshot *configurator.Snapshot, value configurator.Value) *rhubarbtrackv1.Resource {
	name := value.ObjectName()
	return resourceOf(value, snapshot.Versions[name], snapshot.Origins[name])
}

// GetResource implements the call.
func (s *Server) GetResource(ctx context.Context, request *connect.Request[rhubarbtrackv1.GetResourceRequest]) (
	*connect.Response[rhubarbtrackv1.GetResourceResponse], error) {
	if _, err := authorize(ctx, RoleView); err != nil {
		return nil, connectError(err)
	}
	name, fault := objectName(request.Msg.GetKind(), request.Msg.GetName())
	if fault != nil {
		return nil, connectError(fault)
	}
	view := s.Snapshot()
	value, found := view.Snapshot.Lookup(name)
	if !found {
		return nil, connectError(notFound(name))
	}
	return connect.NewResponse(&rhubarbtrackv1.GetResourceResponse{
		Freshness: freshnessOf(view),
		Resource:  snapshotResource(view.Snapshot, value),
	}), nil
}

func notFound(subject string) *Error {
	return &Error{Kind: NotFound, Err: errors.New(subject)}
}

// ListHosts implements the call.
func (s *Server) ListHosts(ctx context.Context, _ *connect.Request[rhubarbtrackv1.ListHostsRequest]) (
	*connect.Response[rhubarbtrackv1.ListHostsResponse], error) {
	if _, err := authorize(ctx, RoleView); err != nil {
		return nil, connectError(err)
	}
	response := &rhubarbtrackv1.ListHostsResponse{Freshness: freshnessOf(s.Snapshot())}
	for _, host := range s.Hosts() {
		response.Hosts = append(response.Hosts, hostMessage(host))
	}
	return connect.NewResponse(response), nil
}

// ListSlices implements the call.
func (s *Server) ListSlices(ctx context.Context, request *connect.Request[rhubarbtrackv1.ListSlicesRequest]) (
	*connect.Response[rhubarbtrackv1.ListSlicesResponse], error) {
	if _, err := authorize(ctx, RoleView); err != nil {
		return nil, connectError(err)
	}
	table, err := s.table(request.Msg.GetService())
	if err != nil {
		return nil, connectError(err)
	}
	response := &rhubarbtrackv1.ListSlicesResponse{
		Freshness: freshnessOf(s.Snapshot()),
		Term:      table.Version.Term,
		Sequence:  table.Version.Seq,
	}
	for _, slice := range slicesOf(&table) {
		if owner := request.Msg.GetOwner(); owner == "" || owner == slice.Owner {
			response.Slices = append(response.Slices, sliceMessage(slice, &table))
		}
	}
	return connect.NewResponse(response), nil
}

// slicesOf returns the ranges of a table followed by its hot keys.
func slicesOf(table *slicer.Table) []slicer.Slice {
	all := slices.Clone(table.Ranges)
	for _, key := range slices.Sorted(maps.Keys(table.Hot)) {
		all = append(all, table.Hot[key])
	}
	return all
}

func (s *Server) table(service string) (slicer.Table, *Error) {
	configured, found := s.Snapshot().Snapshot.Services[service]
	if !found {
		return slicer.Table{}, notFound(configurator.ServicePrefix + service)
	}
	if !configured.Keyed {
		return slicer.Table{}, invalidField("service", fmt.Sprintf("%q is not keyed", service))
	}
	table, found := s.Table(service)
	if !found {
		return slicer.Table{}, notFound("table of " + service)
	}
	return table, nil
}

// GetOwner implements the call.
func (s *Server) GetOwner(ctx context.Context, request *connect.Request[rhubarbtrackv1.GetOwnerRequest]) (
	*connect.Response[rhubarbtrackv1.GetOwnerResponse], error) {
	if _, err := authorize(ctx, RoleView); err != nil {
		return nil, connectError(err)
	}
	service, key := request.Msg.GetService(), request.Msg.GetKey()
	table, fault := s.table(service)
	if fault != nil {
		return nil, connectError(fault)
	}
	slice, found := table.Lookup(key)
	if !found {
		return nil, connectError(notFound("slice of key " + key))
	}
	view := s.Snapshot()
	return connect.NewResponse(&rhubarbtrackv1.GetOwnerResponse{
		Freshness: freshnessOf(view),
		Owner: &rhubarbtrackv1.Owner{
			Service: service,
			Key:     key,
			Hash:    hasher.Sum(key),
			Slice:   sliceMessage(slice, &table),
			Address: view.Snapshot.Upstreams[slice.Owner].Address,
		},
	}), nil
}

// GetStatus implements the call.
func (s *Server) GetStatus(ctx context.Context, _ *connect.Request[rhubarbtrackv1.GetStatusRequest]) (
	*connect.Response[rhubarbtrackv1.GetStatusResponse], error) {
	if _, err := authorize(ctx, RoleView); err != nil {
		return nil, connectError(err)
	}
	view := s.Snapshot()
	hosts := s.Hosts()
	rollout := s.Rollout(view.Snapshot.Revision)
	status := &rhubarbtrackv1.Status{
		LastChange: rolloutMessage(rollout),
		Hosts:      count(len(hosts)),
		Upstreams:  count(len(view.Snapshot.Upstreams)),
	}
	for _, host := range hosts {
		if host.State == Live {
			status.HostsLive++
		}
	}
	for _, upstream := range view.Snapshot.Upstreams {
		if upstream.Drained {
			status.UpstreamsDrained++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(view.Snapshot.FailureDomains)) {
		if view.Snapshot.FailureDomains[name].TakenOut {
			status.FailureDomainsTakenOut = append(status.FailureDomainsTakenOut, name)
		}
	}
	if s.Moves != nil {
		status.Moves = moveMessages(s.Moves())
	}
	for _, problem := range s.problems(view, hosts, rollout) {
		message := &rhubarbtrackv1.Problem{Subject: problem.Subject, Text: problem.Text}
		status.Problems = append(status.Problems, message)
	}
	status.Healthy = len(status.Problems) == 0
	return connect.NewResponse(&rhubarbtrackv1.GetStatusResponse{Freshness: freshnessOf(view), Status: status}), nil
}

func moveMessages(moves []Move) []*rhubarbtrackv1.Move {
	var messages []*rhubarbtrackv1.Move
	for _, move := range moves {
		messages = append(messages, &rhubarbtrackv1.Move{
			Service: move.Service,
			Slice:   move.Slice,
			From:    move.From,
			To:      move.To,
			Reason:  move.Reason,
		})
	}
	return messages
}

func (s *Server) problems(view View, hosts []Host, rollout Rollout) []Problem {
	var problems []Problem
	if view.StoreDown {
		problems = append(problems, Problem{Subject: "store", Text: fmt.Sprintf("does not answer, state is %v old", view.Age.Round(ageUnit))})
	}
	for _, host := range hosts {
		if host.State == Dead {
			problems = append(problems, Problem{Subject: "host " + host.Name, Text: deadText(host)})
		}
	}
	if rollout.Applied < rollout.Hosts {
		text := fmt.Sprintf("is in force on %d of %d hosts", rollout.Applied, rollout.Hosts)
		problems = append(problems, Problem{Subject: fmt.Sprintf("revision %d", rollout.Revision), Text: text})
	}
	problems = append(problems, s.unassigned(view.Snapshot)...)
	if s.Problems != nil {
		problems = append(problems, s.Problems()...)
	}
	return problems
}

// deadText leaves out a silence that is not known.
func deadText(host Host) string {
	if host.SinceHeartbeat == 0 {
		return "is dead"
	}
	return fmt.Sprintf("is dead, silent for %v", host.SinceHeartbeat.Round(ageUnit))
}

// unassigned returns one problem per keyed service that has slices without an owner.
func (s *Server) unassigned(snapshot *configurator.Snapshot) []Problem {
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		if !snapshot.Services[name].Keyed {
			continue
		}
		table, found := s.Table(name)
		if !found {
			problems = append(problems, Problem{Subject: "service " + name, Text: "has no table"})
			continue
		}
		without := 0
		for _, slice := range slicesOf(&table) {
			if slice.Owner == "" {
				without++
			}
		}
		if without > 0 {
			text := fmt.Sprintf("has %d slices without an owner", without)
			problems = append(problems, Problem{Subject: "service " + name, Text: text})
		}
	}
	return problems
}

// Watch implements the call. It compares states instead of queueing events, so a slow reader skips intermediate versions
// and holds no more memory than the number of objects.
func (s *Server) Watch(ctx context.Context, request *connect.Request[rhubarbtrackv1.WatchRequest],
	stream *connect.ServerStream[rhubarbtrackv1.WatchResponse]) error {
	if _, err := authorize(ctx, RoleView); err != nil {
		return connectError(err)
	}
	defer s.watches.Add(-1)
	if s.watches.Add(1) > maxWatches {
		return connect.NewError(connect.CodeResourceExhausted, errors.Newf("more than %d watches", maxWatches))
	}
	sent := map[string]uint64{}
	for first := true; ; first = false {
		changed := s.Changed()
		response := watchResponse(s.Snapshot(), request.Msg.GetFromRevision(), sent)
		if first || len(response.Resources)+len(response.Deletions) > 0 {
			if err := stream.Send(response); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// watchResponse returns what is newer than from and than the versions in sent, and adds it to sent.
func watchResponse(view View, from uint64, sent map[string]uint64) *rhubarbtrackv1.WatchResponse {
	response := &rhubarbtrackv1.WatchResponse{Freshness: freshnessOf(view)}
	for _, name := range slices.Sorted(maps.Keys(view.Snapshot.Versions)) {
		version := view.Snapshot.Versions[name]
		if version <= max(from, sent[name]) {
			continue
		}
		sent[name] = version
		if value, found := view.Snapshot.Lookup(name); found {
			response.Resources = append(response.Resources, snapshotResource(view.Snapshot, value))
			continue
		}
		response.Deletions = append(response.Deletions, &rhubarbtrackv1.Deletion{Object: name, Version: version})
	}
	return response
}
