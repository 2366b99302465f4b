package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/operator"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
	"rhubarbtrack.example/schema/gen/rhubarbtrack/v1/rhubarbtrackv1connect"
)

// fault is an injected fault of a write.
type fault int

const (
	none         fault = iota
	loseResponse       // the write takes effect, but its response is lost
	loseRequest        // the write has no effect, but the client cannot know that
	reject             // the write has no effect, and the error says so
)

// memoryStore is an in-memory store with fault injection.
type memoryStore struct {
	mutex          sync.Mutex
	revision       uint64
	objects        map[string]operator.Object
	down           bool
	nextFault      fault          // fault of the next write of a configuration object
	nextAuditFault fault          // fault of the next write of an audit record
	afterFault     func()         // runs after a write whose request or response is lost
	writes         int            // writes of configuration objects that took effect
	applied        map[string]int // writes that took effect by operation ID, without deletions
}

var errDown = &operator.Error{Op: "store", Kind: operator.NotAccepted, Err: errors.New("connection refused")}

func (m *memoryStore) list(_ context.Context, prefix string) (uint64, []operator.Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return 0, nil, errDown
	}
	var found []operator.Object
	for name, object := range m.objects {
		if strings.HasPrefix(name, prefix) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b operator.Object) int { return strings.Compare(a.Name, b.Name) })
	return m.revision, found, nil
}

func (m *memoryStore) get(_ context.Context, name string) (operator.Object, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return operator.Object{}, errDown
	}
	return m.objects[name], nil
}

func (m *memoryStore) put(_ context.Context, name string, value []byte, expected uint64) (uint64, error) {
	return m.write(name, expected, func(version uint64) {
		m.objects[name] = operator.Object{Name: name, Version: version, Value: value}
		if _, origin, err := encoder.Decode(name, value); err == nil {
			m.applied[origin.Operation]++
		}
	})
}

func (m *memoryStore) delete(_ context.Context, name string, expected uint64) (uint64, error) {
	return m.write(name, expected, func(uint64) { delete(m.objects, name) })
}

func (m *memoryStore) write(name string, expected uint64, apply func(version uint64)) (uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.down {
		return 0, errDown
	}
	current := m.objects[name]
	var injected fault
	if strings.HasPrefix(name, configurator.Prefix) {
		injected, m.nextFault = m.nextFault, none
	} else {
		injected, m.nextAuditFault = m.nextAuditFault, none
	}
	if injected == reject {
		return 0, errDown
	}
	if current.Version != expected {
		return 0, &operator.Error{Op: "store", Kind: operator.Conflict, Stored: current}
	}
	if injected != loseRequest {
		m.revision++
		apply(m.revision)
		if strings.HasPrefix(name, configurator.Prefix) {
			m.writes++
		}
	}
	if injected == none {
		return m.revision, nil
	}
	if m.afterFault != nil {
		m.afterFault()
	}
	return 0, errors.New("connection reset")
}

func (m *memoryStore) setDown(down bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.down = down
}

// records returns "writer call object result" of each audit record, oldest first.
func (m *memoryStore) records(t *testing.T, f *fixture) []string {
	t.Helper()
	response, err := f.as("vera", operator.RoleView).ListAudit(t.Context(),
		connect.NewRequest(&rhubarbtrackv1.ListAuditRequest{}))
	assert.NilError(t, err)
	var lines []string
	for _, record := range slices.Backward(response.Msg.GetRecords()) {
		result := strings.ToLower(strings.TrimPrefix(record.GetResult().String(), "AUDIT_RESULT_"))
		lines = append(lines, strings.Join([]string{record.GetWriter(), record.GetCall(), record.GetObject(), result}, " "))
	}
	return lines
}

// fixture is a server that uses a memoryStore. Its view contains all changes that the server has accepted.
type fixture struct {
	store  *memoryStore
	server *operator.Server
	url    string
	now    time.Time
	mutex  sync.Mutex
	view   *configurator.Snapshot
	change chan struct{}

	attempts atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		store:  &memoryStore{objects: map[string]operator.Object{}, applied: map[string]int{}},
		now:    time.Date(2026, time.December, 4, 12, 0, 0, 0, time.UTC),
		view:   configurator.New(),
		change: make(chan struct{}),
	}
	f.server = &operator.Server{
		Store:    operator.Store{List: f.store.list, Get: f.store.get, Put: f.store.put, Delete: f.store.delete},
		Identify: identify,
		Now:      func() time.Time { return f.now },
		Snapshot: f.snapshot,
		Changed:  f.changed,
		Table:    f.table,
		Hosts: func() []operator.Host {
			roles := []operator.HostRole{{Kind: operator.Controller, Subject: "shelf-marks"}, {Kind: operator.Root}}
			return []operator.Host{
				{Name: "entry-1", Address: "10.1.0.1:7000", FailureDomain: "east", State: operator.Live, Roles: roles, Revision: 3},
				{Name: "entry-2", Address: "10.1.0.2:7000", FailureDomain: "west", State: operator.Live, Revision: 3},
			}
		},
		Rollout: func(revision uint64) operator.Rollout {
			return operator.Rollout{Revision: revision, Hosts: 2, Applied: 2}
		},
		Shortfalls: func(_ *configurator.Snapshot, domain string) []operator.Shortfall {
			if domain != "east" {
				return nil
			}
			text := "service shelf-marks needs 10 slots and keeps 6"
			return []operator.Shortfall{{Service: "shelf-marks", SlotsNeeded: 10, SlotsLeft: 6, Text: text}}
		},
		Accepted:   f.accepted,
		NewAttempt: func() string { return strconv.FormatInt(f.attempts.Add(1), 10) },
	}
	mux := http.NewServeMux()
	mux.Handle(f.server.Handler())
	listener := httptest.NewServer(mux)
	t.Cleanup(listener.Close)
	f.url = listener.URL
	return f
}

// identify parses the name and the role from a bearer token of the form "name role".
func identify(request *http.Request) (operator.Identity, error) {
	token := strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer ")
	name, role, _ := strings.Cut(token, " ")
	roles := []operator.Role{operator.RoleView, operator.RoleOperate, operator.RoleConfigure}
	for i, known := range []string{"view", "operate", "configure"} {
		if role == known {
			return operator.Identity{Name: name, Role: roles[i]}, nil
		}
	}
	return operator.Identity{}, errors.New("unknown operator")
}

func (f *fixture) as(name string, role operator.Role) rhubarbtrackv1connect.OperatorServiceClient {
	header := "Bearer " + name + " " + []string{"", "view", "operate", "configure"}[role]
	set := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", header)
			return next(ctx, request)
		}
	})
	return rhubarbtrackv1connect.NewOperatorServiceClient(http.DefaultClient, f.url, connect.WithInterceptors(set))
}

func (f *fixture) snapshot() operator.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	if f.store.down {
		return operator.View{Snapshot: f.view.Clone(), Age: 90 * time.Second, StoreDown: true}
	}
	return operator.View{Snapshot: f.view.Clone(), Age: 200 * time.Millisecond}
}

func (f *fixture) accepted(object configurator.Object) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, _ = f.view.Merge(object, encoder.Decode)
	close(f.change)
	f.change = make(chan struct{})
}

func (f *fixture) changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.change
}

// table returns an ownership table whose owners are named "<service>.<name>", as in the tables of controllers.
func (f *fixture) table(service string) (slicer.Table, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if service != "shelf-marks" {
		return slicer.Table{}, false
	}
	table := slicer.New(service, 2)
	table.Version = slicer.Version{Term: 7, Seq: 2}
	table.Admission["shelf-marks.p1"] = slicer.Admission{Host: "entry-1"}
	for i := range table.Ranges {
		table.Ranges[i].Owner, table.Ranges[i].Epoch = "shelf-marks.p1", 3
		if f.view.FailureDomains["west"].TakenOut {
			table.Ranges[i].Owner = "shelf-marks.p2"
		}
	}
	return table, true
}
