package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/rhubarbtrackd/internal/operator"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
	"rhubarbtrack.example/schema/gen/rhubarbtrack/v1/rhubarbtrackv1connect"
)

type client = rhubarbtrackv1connect.OperatorServiceClient

func domain(name string) *rhubarbtrackv1.Resource {
	value := &rhubarbtrackv1.Resource_FailureDomain{FailureDomain: &rhubarbtrackv1.FailureDomain{Name: name}}
	return &rhubarbtrackv1.Resource{Value: value}
}

func service(slices uint32) *rhubarbtrackv1.Resource {
	value := &rhubarbtrackv1.Service{Name: "shelf-marks", Keyed: true, SliceCount: slices}
	return &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Service{Service: value}}
}

func upstream(name, domain string) *rhubarbtrackv1.Resource {
	value := &rhubarbtrackv1.Upstream{
		Name: name, Service: "shelf-marks", FailureDomain: domain, Address: "10.0.0.1:80", Slots: 6, Connections: 130,
	}
	return &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Upstream{Upstream: value}}
}

func put(t *testing.T, c client, resource *rhubarbtrackv1.Resource, expected uint64, operation string) (
	*rhubarbtrackv1.ChangeResult, error) {
	t.Helper()
	response, err := c.PutResource(t.Context(), connect.NewRequest(&rhubarbtrackv1.PutResourceRequest{
		Resource: resource, ExpectedVersion: expected, OperationId: operation,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetResult(), nil
}

func mustPut(t *testing.T, c client, resource *rhubarbtrackv1.Resource, expected uint64, operation string) uint64 {
	t.Helper()
	result, err := put(t, c, resource, expected, operation)
	assert.NilError(t, err)
	return result.GetVersion()
}

func drain(t *testing.T, c client, drained bool, expected uint64, operation string) (*rhubarbtrackv1.ChangeResult, error) {
	t.Helper()
	response, err := c.DrainUpstream(t.Context(), connect.NewRequest(&rhubarbtrackv1.DrainUpstreamRequest{
		Name: "shelf-marks.p1", Drained: drained, ExpectedVersion: expected, OperationId: operation,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetResult(), nil
}

func remove(t *testing.T, c client, name string, expected uint64, operation string) (*rhubarbtrackv1.ChangeResult, error) {
	t.Helper()
	response, err := c.DeleteResource(t.Context(), connect.NewRequest(&rhubarbtrackv1.DeleteResourceRequest{
		Kind: rhubarbtrackv1.ResourceKind_RESOURCE_KIND_FAILURE_DOMAIN, Name: name,
		ExpectedVersion: expected, OperationId: operation,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetResult(), nil
}

// faultOf returns the Fault in the error of a rejected call.
func faultOf(t *testing.T, err error) *rhubarbtrackv1.Fault {
	t.Helper()
	var callErr *connect.Error
	assert.Assert(t, errors.As(err, &callErr), "%v", err)
	assert.Equal(t, len(callErr.Details()), 1, "%v", err)
	message, valueErr := callErr.Details()[0].Value()
	assert.NilError(t, valueErr)
	return message.(*rhubarbtrackv1.Fault)
}

// changeState returns the state of a change from GetChange, in lower case without the enum prefix.
func changeState(t *testing.T, f *fixture, operation string) string {
	t.Helper()
	response, err := f.as("ana", operator.RoleConfigure).GetChange(t.Context(),
		connect.NewRequest(&rhubarbtrackv1.GetChangeRequest{OperationId: operation}))
	assert.NilError(t, err)
	found := response.Msg.GetChange()
	return strings.ToLower(strings.TrimPrefix(found.GetState().String(), "CHANGE_STATE_"))
}

// createObjects creates the failure domains east and west, a service and two upstreams. It returns the version of p1.
func createObjects(t *testing.T, f *fixture) uint64 {
	t.Helper()
	ana := f.as("ana", operator.RoleConfigure)
	mustPut(t, ana, domain("east"), 0, "fill-1")
	mustPut(t, ana, domain("west"), 0, "fill-2")
	mustPut(t, ana, service(2), 0, "fill-3")
	mustPut(t, ana, upstream("p2", "east"), 0, "fill-4")
	return mustPut(t, ana, upstream("p1", "west"), 0, "fill-5")
}

// A retry must not take effect again, even if a later change has replaced or undone its first attempt.
func TestRetryTakesEffectOnce(t *testing.T) {
	f := newFixture(t)
	ana := f.as("ana", operator.RoleConfigure)
	version := createObjects(t, f)
	first, err := drain(t, ana, true, version, "op-1")
	assert.NilError(t, err)
	retry, err := drain(t, ana, true, version, "op-1")
	assert.NilError(t, err)
	assert.Equal(t, retry.GetVersion(), first.GetVersion())
	assert.Assert(t, retry.GetRepeatedChange())
	_, err = drain(t, ana, false, first.GetVersion(), "op-2")
	assert.NilError(t, err)
	late, err := drain(t, ana, true, version, "op-1")
	assert.NilError(t, err)
	assert.Equal(t, late.GetVersion(), first.GetVersion())
	newer, err := drain(t, ana, true, first.GetVersion()+100, "op-1")
	assert.NilError(t, err)
	assert.Equal(t, newer.GetVersion(), first.GetVersion())
	created := mustPut(t, ana, domain("north"), 0, "op-3")
	_, err = remove(t, ana, "north", created, "op-4")
	assert.NilError(t, err)
	again, err := remove(t, ana, "north", created, "op-4")
	assert.NilError(t, err)
	assert.Assert(t, again.GetRepeatedChange())
	// The object no longer exists. Without the audit trail, this retry would create it a second time.
	recreated, err := put(t, ana, domain("north"), 0, "op-3")
	assert.NilError(t, err)
	assert.Assert(t, recreated.GetRepeatedChange())
	assert.Equal(t, f.store.writes, 9)
}

// A rejected change must return a typed cause, have no effect and add one record to the audit trail.
func TestRejectedChanges(t *testing.T) {
	cases := []struct {
		name  string
		call  func(t *testing.T, f *fixture, version uint64) error
		kind  rhubarbtrackv1.FaultKind
		field string
	}{
		{"conflict", func(t *testing.T, f *fixture, version uint64) error {
			_, err := put(t, f.as("ana", operator.RoleConfigure), upstream("p1", "east"), version-1, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT, ""},
		{"exists", func(t *testing.T, f *fixture, _ uint64) error {
			_, err := put(t, f.as("ana", operator.RoleConfigure), upstream("p1", "east"), 0, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT, ""},
		{"unknown domain", func(t *testing.T, f *fixture, version uint64) error {
			_, err := put(t, f.as("ana", operator.RoleConfigure), upstream("p1", "north"), version, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "failure-domain"},
		{"bad address", func(t *testing.T, f *fixture, version uint64) error {
			resource := upstream("p1", "west")
			resource.GetUpstream().Address = "p1"
			_, err := put(t, f.as("ana", operator.RoleConfigure), resource, version, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "address"},
		{"no operation", func(t *testing.T, f *fixture, version uint64) error {
			_, err := drain(t, f.as("ana", operator.RoleOperate), true, version, "")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "operation-id"},
		{"reused operation", func(t *testing.T, f *fixture, version uint64) error {
			_, err := drain(t, f.as("ana", operator.RoleOperate), true, version, "fill-5")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "operation-id"},
		{"reused superseded operation", func(t *testing.T, f *fixture, _ uint64) error {
			_, err := put(t, f.as("ana", operator.RoleConfigure), domain("south"), 0, "fill-1")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "operation-id"},
		{"take out by replacement", func(t *testing.T, f *fixture, _ uint64) error {
			resource := domain("south")
			resource.GetFailureDomain().TakenOut = true
			_, err := put(t, f.as("ana", operator.RoleConfigure), resource, 0, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "taken-out"},
		{"referenced", func(t *testing.T, f *fixture, _ uint64) error {
			_, err := remove(t, f.as("ana", operator.RoleConfigure), "west", 5, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, "name"},
		{"absent", func(t *testing.T, f *fixture, _ uint64) error {
			_, err := remove(t, f.as("ana", operator.RoleConfigure), "south", 3, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_FOUND, ""},
		{"role", func(t *testing.T, f *fixture, version uint64) error {
			_, err := put(t, f.as("olga", operator.RoleOperate), upstream("p1", "west"), version, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_DENIED, ""},
		{"drain by viewer", func(t *testing.T, f *fixture, version uint64) error {
			_, err := drain(t, f.as("vera", operator.RoleView), true, version, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_DENIED, ""},
		{"unauthenticated", func(t *testing.T, f *fixture, version uint64) error {
			_, err := drain(t, f.as("", 0), true, version, "x")
			return err
		}, rhubarbtrackv1.FaultKind_FAULT_KIND_UNAUTHENTICATED, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			version := createObjects(t, f)
			_, before, err := f.store.list(t.Context(), "config/")
			assert.NilError(t, err)
			recordsBefore := len(f.store.records(t, f))
			rejection := faultOf(t, test.call(t, f, version))
			assert.Equal(t, rejection.GetKind(), test.kind)
			if test.field != "" {
				assert.Equal(t, rejection.GetFields()[0].GetField(), test.field)
			}
			if test.kind == rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT {
				assert.Equal(t, rejection.GetCurrentVersion(), version)
			}
			_, after, err := f.store.list(t.Context(), "config/")
			assert.NilError(t, err)
			assert.DeepEqual(t, before, after)
			records := f.store.records(t, f)
			assert.Equal(t, len(records), recordsBefore+1, "the audit record of the rejected attempt is missing")
			assert.Assert(t, strings.HasSuffix(records[recordsBefore], " refused"), records[recordsBefore])
		})
	}
}

// If the request or response of a write is lost, the call must not report a success or rejection that did not happen.
func TestLostResponse(t *testing.T) {
	cases := []struct {
		name   string
		next   fault
		kind   rhubarbtrackv1.FaultKind // unspecified for success
		writes int
		state  string
	}{
		{"write took effect", loseResponse, rhubarbtrackv1.FaultKind_FAULT_KIND_UNSPECIFIED, 1, "accepted"},
		{"write lost", loseRequest, rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN, 0, "unknown"},
		{"write rejected", reject, rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_ACCEPTED, 0, "refused"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			ana := f.as("ana", operator.RoleConfigure)
			version := createObjects(t, f)
			f.store.writes, f.store.nextFault = 0, test.next
			_, err := drain(t, ana, true, version, "op-1")
			if test.kind == rhubarbtrackv1.FaultKind_FAULT_KIND_UNSPECIFIED {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, faultOf(t, err).GetKind(), test.kind)
				assert.Equal(t, faultOf(t, err).GetOperationId(), "op-1")
			}
			assert.Equal(t, f.store.writes, test.writes)
			assert.Equal(t, changeState(t, f, "op-1"), test.state)
			_, err = drain(t, ana, true, version, "op-1")
			assert.NilError(t, err)
			assert.Equal(t, f.store.writes, 1)
			assert.Equal(t, changeState(t, f, "op-1"), "accepted")
		})
	}
}

// After a lost response, another operator changes the object before the server reads it back. The server must not
// mistake that change for its own, and the outcome must be unknown.
func TestLostResponseWithConcurrentWrite(t *testing.T) {
	f := newFixture(t)
	version := createObjects(t, f)
	f.store.nextFault = loseResponse
	f.store.afterFault = func() {
		object := f.store.objects["config/upstream/shelf-marks.p1"]
		f.store.revision++
		object.Version = f.store.revision
		object.Value = []byte(strings.Replace(string(object.Value), `"writer":"ana"`, `"writer":"eva"`, 1))
		f.store.objects[object.Name] = object
	}
	_, err := drain(t, f.as("ana", operator.RoleOperate), true, version, "op-1")
	assert.Equal(t, faultOf(t, err).GetKind(), rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN)
}

// A deletion stores no operation ID, so after a lost response the absence of the object must show that it took effect.
func TestLostResponseOfDeletion(t *testing.T) {
	f := newFixture(t)
	ana := f.as("ana", operator.RoleConfigure)
	version := mustPut(t, ana, domain("north"), 0, "op-1")
	f.store.nextFault = loseResponse
	_, err := remove(t, ana, "north", version, "op-2")
	assert.NilError(t, err)
	assert.Equal(t, changeState(t, f, "op-2"), "accepted")
}

// During a store outage, reads must return the last known state with its age, and changes must be rejected. The audit
// records of the rejected changes must be stored after the outage.
func TestStoreOutage(t *testing.T) {
	f := newFixture(t)
	ana := f.as("ana", operator.RoleConfigure)
	version := createObjects(t, f)
	recordsBefore := f.store.records(t, f)
	f.store.setDown(true)
	list, err := ana.ListResources(t.Context(), connect.NewRequest(&rhubarbtrackv1.ListResourcesRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(list.Msg.GetResources()), 5)
	assert.Equal(t, list.Msg.GetFreshness().GetAge().GetSeconds(), int64(90))
	assert.Assert(t, list.Msg.GetFreshness().GetStoreDown())
	status, err := ana.GetStatus(t.Context(), connect.NewRequest(&rhubarbtrackv1.GetStatusRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, !status.Msg.GetStatus().GetHealthy())
	_, err = drain(t, ana, true, version, "op-1")
	assert.Equal(t, faultOf(t, err).GetKind(), rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_ACCEPTED)
	assert.Equal(t, changeState(t, f, "op-1"), "refused")
	assert.Equal(t, changeState(t, f, "op-elsewhere"), "unknown")
	f.store.setDown(false)
	assert.NilError(t, f.server.Maintain(t.Context()))
	records := f.store.records(t, f)
	assert.DeepEqual(t, records[len(recordsBefore):], []string{"ana DrainUpstream config/upstream/shelf-marks.p1 refused"})
}

// A long store outage must not keep an unbounded number of audit records in memory.
func TestAuditBacklogIsBounded(t *testing.T) {
	f := newFixture(t)
	f.store.setDown(true)
	ana := f.as("ana", operator.RoleConfigure)
	for range 300 {
		_, err := remove(t, ana, "east", 1, "op")
		assert.Assert(t, err != nil)
	}
	pending, dropped := f.server.AuditBacklog()
	assert.Equal(t, pending, 256)
	assert.Equal(t, dropped, 44)
}

// Two daemons that number their records independently must not overwrite or skip records.
func TestAuditOfTwoDaemons(t *testing.T) {
	f := newFixture(t)
	other := newFixture(t)
	other.server.Store = f.server.Store
	for i, operation := range []string{"a", "b", "c", "d", "e", "f"} {
		from := []*fixture{f, other, other, f, f, other}[i]
		mustPut(t, from.as("ana", operator.RoleConfigure), domain("d-"+operation), 0, operation)
	}
	records := f.store.records(t, f)
	assert.Equal(t, len(records), 6)
	for i, operation := range []string{"a", "b", "c", "d", "e", "f"} {
		assert.Equal(t, records[i], "ana PutResource config/failure-domain/d-"+operation+" accepted")
	}
}

// Records older than the retention time must be deleted, because otherwise the audit trail would grow without limit.
func TestAuditRetention(t *testing.T) {
	f := newFixture(t)
	ana := f.as("ana", operator.RoleConfigure)
	createObjects(t, f)
	f.now = f.now.AddDate(0, 0, 30)
	mustPut(t, ana, domain("north"), 0, "op-1")
	assert.NilError(t, f.server.Maintain(t.Context()))
	_, kept, err := f.store.list(t.Context(), "audit/2026-12-04/")
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 5)
	f.now = f.now.AddDate(0, 0, 1)
	assert.NilError(t, f.server.Maintain(t.Context()))
	_, kept, err = f.store.list(t.Context(), "audit/")
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 1)
}

// If capacity would be too low, taking out a failure domain must return the shortfall and proceed only when forced.
func TestTakeOut(t *testing.T) {
	f := newFixture(t)
	createObjects(t, f)
	olga := f.as("olga", operator.RoleOperate)
	take := func(force bool, operation string) (*connect.Response[rhubarbtrackv1.TakeOutFailureDomainResponse], error) {
		return olga.TakeOutFailureDomain(t.Context(), connect.NewRequest(&rhubarbtrackv1.TakeOutFailureDomainRequest{
			Name: "east", Force: force, ExpectedVersion: 2, OperationId: operation,
		}))
	}
	_, err := take(false, "op-1")
	assert.Equal(t, faultOf(t, err).GetKind(), rhubarbtrackv1.FaultKind_FAULT_KIND_CAPACITY)
	assert.Equal(t, faultOf(t, err).GetShortfalls()[0].GetSlotsLeft(), uint32(6))
	response, err := take(true, "op-1")
	assert.NilError(t, err)
	assert.Equal(t, len(response.Msg.GetShortfalls()), 1)
	assert.Assert(t, response.Msg.GetResult().GetResource().GetFailureDomain().GetTakenOut())
}

// It must be possible to replace an object that cannot be decoded.
func TestReplaceUnreadableObject(t *testing.T) {
	f := newFixture(t)
	version, err := f.store.put(t.Context(), "config/failure-domain/north", []byte("{"), 0)
	assert.NilError(t, err)
	mustPut(t, f.as("ana", operator.RoleConfigure), domain("north"), version, "op-1")
}

// GetOwner must return the owner of a key with its current fence, its admission host and its address.
func TestGetOwner(t *testing.T) {
	f := newFixture(t)
	createObjects(t, f)
	response, err := f.as("vera", operator.RoleView).GetOwner(t.Context(),
		connect.NewRequest(&rhubarbtrackv1.GetOwnerRequest{Service: "shelf-marks", Key: "QA76.73"}))
	assert.NilError(t, err)
	owner := response.Msg.GetOwner()
	assert.Equal(t, owner.GetSlice().GetOwner(), "shelf-marks.p1")
	assert.Equal(t, owner.GetSlice().GetTerm(), uint64(7))
	assert.Equal(t, owner.GetSlice().GetAdmissionHost(), "entry-1")
	assert.Equal(t, owner.GetAddress(), "10.0.0.1:80")
}

// The text for a dead host must not contain the time since its last heartbeat if that is unknown, and ages must be
// rounded.
func TestStatusTexts(t *testing.T) {
	f := newFixture(t)
	f.server.Hosts = func() []operator.Host {
		return []operator.Host{
			{Name: "entry-1", State: operator.Dead},
			{Name: "entry-2", State: operator.Dead, SinceHeartbeat: 5627647868 * time.Nanosecond},
		}
	}
	f.server.Snapshot = func() operator.View {
		return operator.View{Snapshot: configurator.New(), Age: 5627647868 * time.Nanosecond, StoreDown: true}
	}
	response, err := f.as("vera", operator.RoleView).GetStatus(t.Context(),
		connect.NewRequest(&rhubarbtrackv1.GetStatusRequest{}))
	assert.NilError(t, err)
	problems := response.Msg.GetStatus().GetProblems()
	assert.Equal(t, problems[0].GetText(), "does not answer, state is 5.6s old")
	assert.Equal(t, problems[1].GetText(), "is dead")
	assert.Equal(t, problems[2].GetText(), "is dead, silent for 5.6s")
}

// A watch must deliver each change and deletion after the given revision exactly once.
func TestWatch(t *testing.T) {
	f := newFixture(t)
	ana := f.as("ana", operator.RoleConfigure)
	version := mustPut(t, ana, domain("north"), 0, "op-1")
	request := connect.NewRequest(&rhubarbtrackv1.WatchRequest{FromRevision: version})
	request.Header().Set("Authorization", "Bearer vera view")
	stream, err := ana.Watch(t.Context(), request)
	assert.NilError(t, err)
	defer stream.Close()
	assert.Assert(t, stream.Receive())
	assert.Equal(t, len(stream.Msg().GetResources()), 0)
	mustPut(t, ana, domain("south"), 0, "op-2")
	assert.Assert(t, stream.Receive())
	assert.Equal(t, stream.Msg().GetResources()[0].GetFailureDomain().GetName(), "south")
	_, err = remove(t, ana, "north", version, "op-3")
	assert.NilError(t, err)
	assert.Assert(t, stream.Receive())
	assert.Equal(t, stream.Msg().GetDeletions()[0].GetObject(), "config/failure-domain/north")
}

// A web page of another origin, open in a local browser, must not be able to call the loopback listener.
func TestCrossOriginIsRejected(t *testing.T) {
	f := newFixture(t)
	body := strings.NewReader(`{}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		f.url+rhubarbtrackv1connect.OperatorServiceGetStatusProcedure, body)
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer vera view")
	request.Header.Set("Origin", "https://elsewhere.example")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusForbidden)
}

// The mux must serve gRPC clients as well as Connect clients.
func TestGRPC(t *testing.T) {
	f := newFixture(t)
	mux := http.NewServeMux()
	mux.Handle(f.server.Handler())
	listener := httptest.NewUnstartedServer(mux)
	listener.Config.Protocols = new(http.Protocols)
	listener.Config.Protocols.SetUnencryptedHTTP2(true)
	listener.Start()
	defer listener.Close()
	transport := &http.Transport{Protocols: listener.Config.Protocols}
	defer transport.CloseIdleConnections()
	c := rhubarbtrackv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, listener.URL, connect.WithGRPC())
	request := connect.NewRequest(&rhubarbtrackv1.GetOwnerRequest{Service: "none"})
	request.Header().Set("Authorization", "Bearer vera view")
	_, err := c.GetOwner(t.Context(), request)
	assert.Equal(t, faultOf(t, err).GetKind(), rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_FOUND)
}
