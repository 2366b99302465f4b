package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/pprof"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/operator"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

const (
	// probeInterval is the maximum age of the store status in a reply to an operator. probeTimeout bounds one probe of
	// the store.
	probeInterval = 2 * time.Second
	probeTimeout  = 500 * time.Millisecond
	// operatorStoreTimeout bounds each store call for an operator. A change that fails on an unresponsive store makes
	// two such calls, which together take far less than the 15 s timeout of rhubarbctl.
	operatorStoreTimeout = 2 * time.Second
	// maintainInterval is the time between two runs of maintain.
	maintainInterval = time.Minute
	// localOperator is the name of all callers of the operators' listener without TLS, which is bound to loopback.
	localOperator = "local"
)

// operators connects the operators' API to the components of the daemon.
type operators struct {
	daemon       *daemon
	server       *operator.Server
	storeTimeout time.Duration // of one call

	mu          sync.Mutex
	lastProbe   time.Duration
	probed      bool
	storeDown   bool
	lastSuccess time.Duration // time of the last successful probe
}

func newOperators(d *daemon) *operators {
	o := &operators{daemon: d, storeTimeout: operatorStoreTimeout}
	o.server = &operator.Server{
		Store: operator.Store{
			List:   o.list,
			Get:    o.get,
			Put:    o.put,
			Delete: o.delete,
		},
		Identify:   identify,
		Now:        time.Now,
		Snapshot:   o.view,
		Changed:    d.locator.Changed,
		Table:      o.table,
		Hosts:      o.hosts,
		Rollout:    o.rollout,
		Problems:   o.problems,
		Moves:      o.moves,
		Shortfalls: o.shortfalls,
		Accepted:   o.accepted,
	}
	return o
}

// handler serves the operators' API, the metrics and CPU profiles.
func (o *operators) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(o.server.Handler())
	mux.Handle("GET /metrics", o.daemon.meter.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// identify returns the name and the role of a caller. Without TLS every caller has the role that permits all calls,
// because the listener then accepts only loopback connections.
func identify(request *http.Request) (operator.Identity, error) {
	if request.TLS == nil {
		return operator.Identity{Name: localOperator, Role: operator.RoleConfigure}, nil
	}
	if len(request.TLS.VerifiedChains) == 0 {
		return operator.Identity{}, errors.New("no verified client certificate")
	}
	subject := request.TLS.VerifiedChains[0][0].Subject
	for _, unit := range subject.OrganizationalUnit {
		if role, ok := roles[unit]; ok {
			return operator.Identity{Name: subject.CommonName, Role: role}, nil
		}
	}
	return operator.Identity{}, errors.Newf("the certificate of %q names no role", subject.CommonName)
}

// roles maps the organizational unit of a client certificate to a role.
var roles = map[string]operator.Role{
	"view":      operator.RoleView,
	"operate":   operator.RoleOperate,
	"configure": operator.RoleConfigure,
}

// storeError converts an error of the store to an operator.Error. It returns an error unchanged if the call may have
// taken effect.
func storeError(op string, err error) error {
	var failure *storer.Error
	if !errors.As(err, &failure) {
		return err
	}
	switch failure.Kind {
	case storer.Conflict, storer.NotFound:
		return &operator.Error{Op: op, Kind: operator.Conflict, Stored: operatorObject(failure.Current), Err: err}
	case storer.Unknown:
		return err
	default:
		return &operator.Error{Op: op, Kind: operator.NotAccepted, Err: err}
	}
}

func operatorObject(object storer.Object) operator.Object {
	return operator.Object{Name: object.Name, Version: object.Version, Value: object.Value}
}

func (o *operators) list(ctx context.Context, prefix string) (uint64, []operator.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, o.storeTimeout)
	defer cancel()
	objects, revision, err := o.daemon.store.List(ctx, prefix)
	if err != nil {
		return 0, nil, storeError("list", err)
	}
	converted := make([]operator.Object, len(objects))
	for i, object := range objects {
		converted[i] = operatorObject(object)
	}
	return revision, converted, nil
}

func (o *operators) get(ctx context.Context, name string) (operator.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, o.storeTimeout)
	defer cancel()
	object, err := o.daemon.store.Get(ctx, name)
	if storer.KindOf(err) == storer.NotFound {
		return operator.Object{Name: name}, nil
	}
	if err != nil {
		return operator.Object{}, storeError("get", err)
	}
	return operatorObject(object), nil
}

func (o *operators) put(ctx context.Context, name string, value []byte, expected uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.storeTimeout)
	defer cancel()
	condition := storer.IfAbsent()
	if expected > 0 {
		condition = storer.IfVersion(expected)
	}
	version, err := o.daemon.store.Put(ctx, name, value, condition)
	if err != nil {
		return 0, storeError("put", err)
	}
	return version, nil
}

func (o *operators) delete(ctx context.Context, name string, expected uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.storeTimeout)
	defer cancel()
	version, err := o.daemon.store.Delete(ctx, name, storer.IfVersion(expected))
	if err != nil {
		return 0, storeError("delete", err)
	}
	return version, nil
}

// view returns the applied configuration and the status of the store. It probes the store if the last probe is older
// than probeInterval.
func (o *operators) view() operator.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now := o.daemon.clock(); !o.probed || now-o.lastProbe >= probeInterval {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, err := o.daemon.store.Get(ctx, "probe")
		cancel()
		o.probed = true
		o.lastProbe = o.daemon.clock()
		o.storeDown = err != nil && storer.KindOf(err) != storer.NotFound
		if !o.storeDown {
			o.lastSuccess = o.lastProbe
		}
	}
	return operator.View{
		Snapshot:  o.daemon.locator.Config(),
		Age:       o.daemon.clock() - o.lastSuccess,
		StoreDown: o.storeDown,
	}
}

func (o *operators) table(service string) (slicer.Table, bool) {
	table := o.daemon.locator.Table(service)
	if table == nil {
		return slicer.Table{}, false
	}
	return *table, true
}

var hostStates = map[framer.MemberState]operator.HostState{
	framer.Live:    operator.Live,
	framer.Leaving: operator.Leaving,
	framer.Dead:    operator.Dead,
}

func (o *operators) hosts() []operator.Host {
	hostRoles := o.hostRoles()
	var hosts []operator.Host
	for name, member := range o.daemon.locator.Members() {
		hosts = append(hosts, operator.Host{
			Name:          name,
			Address:       member.Address,
			FailureDomain: member.FailureDomain,
			State:         hostStates[member.State],
			Roles:         hostRoles[name],
		})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// hostRoles returns the roles of all hosts, by host, as known from tables and leader heartbeats.
func (o *operators) hostRoles() map[string][]operator.HostRole {
	hostRoles := map[string][]operator.HostRole{}
	for service := range o.daemon.locator.Config().Services {
		if heartbeat, ok := o.daemon.locator.LastHeartbeat(service); ok {
			hostRoles[heartbeat.Holder] = append(hostRoles[heartbeat.Holder], operator.HostRole{Kind: operator.Controller, Subject: service})
		}
		table := o.daemon.locator.Table(service)
		if table == nil {
			continue
		}
		for upstream, admission := range table.Admission {
			role := operator.HostRole{Kind: operator.Admission, Subject: upstream}
			hostRoles[admission.Host] = append(hostRoles[admission.Host], role)
		}
	}
	for _, list := range hostRoles {
		sort.Slice(list, func(i, j int) bool {
			if list[i].Kind != list[j].Kind {
				return list[i].Kind < list[j].Kind
			}
			return list[i].Subject < list[j].Subject
		})
	}
	return hostRoles
}

// rollout counts the hosts that have applied a revision, from the progress that the roots of the relay tree publish.
func (o *operators) rollout(revision uint64) operator.Rollout {
	progress := operator.Rollout{Revision: revision}
	for _, count := range o.daemon.distributor.Progress() {
		progress.Hosts += int(count.Hosts)
		if count.Revision >= revision {
			progress.Applied += int(count.Hosts)
		}
	}
	return progress
}

// moves lists the slices that must move off their owners, from the configuration and the tables. It lacks moves that
// only balance the load, because only the controller has them.
func (o *operators) moves() []operator.Move {
	config := o.daemon.locator.Config()
	var moves []operator.Move
	for service := range config.Services {
		table := o.daemon.locator.Table(service)
		if table == nil {
			continue
		}
		for _, slice := range table.Ranges {
			moves = appendMove(moves, config, service, slice)
		}
		for _, slice := range table.Hot {
			moves = appendMove(moves, config, service, slice)
		}
	}
	sort.Slice(moves, func(i, j int) bool {
		if moves[i].Service != moves[j].Service {
			return moves[i].Service < moves[j].Service
		}
		return moves[i].Slice < moves[j].Slice
	})
	return moves
}

func appendMove(moves []operator.Move, config *configurator.Snapshot, service string, slice slicer.Slice) []operator.Move {
	owner, configured := config.Upstreams[slice.Owner]
	reason := ""
	switch {
	case slice.Owner == "":
		reason = "loss"
	case !configured || owner.Drained:
		reason = "drain"
	case config.FailureDomains[owner.FailureDomain].TakenOut:
		reason = "failure-domain"
	default:
		return moves
	}
	return append(moves, operator.Move{Service: service, Slice: slice.ID, From: slice.Owner, Reason: reason})
}

func (o *operators) problems() []operator.Problem {
	now := o.daemon.clock()
	var problems []operator.Problem
	for service := range o.daemon.locator.Config().Services {
		if !o.daemon.locator.Fresh(now, service) {
			problems = append(problems, operator.Problem{
				Subject: "service " + service,
				Text:    "no controller is known to act; this host takes no new requests",
			})
		}
	}
	if !o.daemon.distributor.Connected() {
		problems = append(problems, operator.Problem{
			Subject: "host " + o.daemon.settings.Name,
			Text:    "not connected to the other hosts",
		})
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Subject < problems[j].Subject })
	return problems
}

// shortfalls returns the services that would lack slots if the failure domain were taken out. It compares the remaining
// slots with the slots in use, which controllers publish in their leader heartbeats.
func (o *operators) shortfalls(snapshot *configurator.Snapshot, domain string) []operator.Shortfall {
	status := drainer.Status{Demand: map[string]float64{}}
	for _, upstream := range snapshot.Upstreams {
		out := snapshot.FailureDomains[upstream.FailureDomain].TakenOut
		status.Upstreams = append(status.Upstreams, drainer.Upstream{
			Name:          upstream.ID(),
			Service:       upstream.Service,
			FailureDomain: upstream.FailureDomain,
			Slots:         upstream.Slots,
			Capacity:      upstream.Slots,
			Serving:       !upstream.Drained && !out,
		})
	}
	for service := range snapshot.Services {
		if heartbeat, ok := o.daemon.locator.LastHeartbeat(service); ok {
			status.Demand[service] = float64(heartbeat.InUse)
		}
	}
	var shortfalls []operator.Shortfall
	for _, missing := range drainer.New(drainer.DefaultMoveTiming, time.LoadLocation).Shortfalls(status, domain) {
		shortfalls = append(shortfalls, shortfallOf(missing))
	}
	return shortfalls
}

// shortfallOf converts a shortfall. Its text contains the service, because messages and the audit trail show only the
// text.
func shortfallOf(missing drainer.Shortfall) operator.Shortfall {
	return operator.Shortfall{
		Service:     missing.Service,
		SlotsNeeded: missing.Needed,
		SlotsLeft:   missing.Available,
		Text:        fmt.Sprintf("service %s needs %d slots and keeps %d", missing.Service, missing.Needed, missing.Available),
	}
}

// accepted publishes an accepted change to this host and all others. Without it, hosts would apply the change only
// after the watch of a root has received it.
func (o *operators) accepted(object configurator.Object) {
	o.daemon.distributor.Publish(relayer.Item{
		Key:     relayer.Key{Kind: relayer.Config, Name: object.Name},
		Version: relayer.Version{Seq: object.Version},
		Deleted: object.Deleted,
		Body:    object.Body,
	})
}

// maintain deletes a batch of expired records of the audit trail, which bounds its size, and writes the records that an
// outage has kept in memory.
func (o *operators) maintain(time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), maintainInterval/2)
	defer cancel()
	// The next run retries after a failure. Failures of the store are logged elsewhere.
	_ = o.server.Maintain(ctx)
}
