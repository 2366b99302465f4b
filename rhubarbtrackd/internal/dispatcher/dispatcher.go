// Package dispatcher runs requests on upstreams for which this host holds the admission lease.
//
// Each upstream has one goroutine that owns its admitter. Requests and their ends reach it over a bounded ring; when the
// ring is full, a new request is refused as not run.
//
// # Usage
//
//	d := dispatcher.New(options)
//	d.ApplyLeases(message)                     // from the controller
//	response, err := d.Dispatch(ctx, request)  // from the entry host
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Options of a dispatcher. Function fields connect it to the rest of the process.
type Options struct {
	Self        string
	Incarnation string
	Clock       func() time.Duration
	Transport   http.RoundTripper
	Scheme      string // http or https towards upstreams
	Upstream    func(service, name string) (configurator.Upstream, bool)
	Keyed       func(service string) bool
	// SignatureStatus returns the verdict on a request signature, see detector.
	SignatureStatus func(now time.Duration, signature uint64) detector.Status
	// Observe reports crashes and exonerations to the detector of this host.
	Observe func(now time.Duration, action admitter.Action)

	StopAnswer    func(service string, answer controller.StopAnswer)
	LeaseReturned func(service string, returned controller.LeaseReturned)
	// Report takes the load of an upstream every reportInterval; nil for no measurement.
	Report func(service string, report framer.LoadReport)
	Log    *eventlog.Logger
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu      sync.Mutex
	workers map[workerKey]*worker
	seen    map[string]leaseVersion // latest leases applied, by service
}

type workerKey struct {
	service  string
	upstream string
}

type leaseVersion struct {
	term, seq uint64
}

func (v leaseVersion) less(other leaseVersion) bool {
	return v.term < other.term || (v.term == other.term && v.seq < other.seq)
}

// New returns a dispatcher without leases.
func New(options Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		workers: map[workerKey]*worker{},
		seen:    map[string]leaseVersion{},
	}
}

// Close ends all workers. Requests in flight must have ended before.
func (d *Dispatcher) Close() {
	d.cancel()
	d.wait.Wait()
}

// ApplyLeases takes the admission leases of this host for one service. Messages that are not newer than the latest one
// are ignored. An upstream that is not listed is not admitted to any more. A query changes no lease.
func (d *Dispatcher) ApplyLeases(message controller.SendLeases) {
	if message.Host != d.options.Self || message.Incarnation != d.options.Incarnation {
		return
	}
	d.mu.Lock()
	version := leaseVersion{term: message.Term, seq: message.Seq}
	if !d.seen[message.Service].less(version) {
		d.mu.Unlock()
		return
	}
	d.seen[message.Service] = version
	if message.Query {
		d.mu.Unlock()
		return
	}
	listed := map[string]bool{}
	for _, lease := range message.Leases {
		listed[lease.Upstream] = true
		d.workerLocked(workerKey{message.Service, lease.Upstream})
	}
	var affected []*worker
	for key, w := range d.workers {
		if key.service == message.Service {
			affected = append(affected, w)
		}
	}
	d.mu.Unlock()
	for _, w := range affected {
		event := leaseEvent{version: version, sentAt: message.HeartbeatSent, ended: !listed[w.key.upstream]}
		for _, lease := range message.Leases {
			if lease.Upstream == w.key.upstream {
				event.lease = lease
			}
		}
		w.put(event)
	}
}

// Term returns the highest term of the messages about a service that ApplyLeases took.
func (d *Dispatcher) Term(service string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[service].term
}

// HeldLeases returns the admission leases of a service that are valid now.
func (d *Dispatcher) HeldLeases(now time.Duration, service string) []controller.HeldLease {
	d.mu.Lock()
	defer d.mu.Unlock()
	var held []controller.HeldLease
	for key, w := range d.workers {
		if key.service != service {
			continue
		}
		if lease := w.held.Load(); lease != nil && now < lease.until {
			held = append(held, controller.HeldLease{Upstream: key.upstream, Term: lease.term, Epoch: lease.epoch})
		}
	}
	return held
}

// Status is the admission of one upstream as this host sees it.
type Status struct {
	Service  string
	Upstream string
	Limit    int
	InFlight int
	Queued   int
	Cold     bool
}

// Statuses returns the admission of all upstreams for which this host holds a lease.
func (d *Dispatcher) Statuses(now time.Duration) []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var statuses []Status
	for _, w := range d.workers {
		if lease := w.held.Load(); lease == nil || now >= lease.until {
			continue
		}
		if status := w.status.Load(); status != nil {
			statuses = append(statuses, *status)
		}
	}
	return statuses
}

// Dispatch runs a request on its upstream. The error is always an *Error.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request) (*Response, error) {
	d.mu.Lock()
	w := d.workers[workerKey{request.Service, request.Upstream}]
	d.mu.Unlock()
	if w == nil {
		return nil, &Error{Op: "admit", Kind: NotRun, Reason: ReasonNotAdmittedHere, Reroutable: true}
	}
	return w.run(ctx, request)
}

func (d *Dispatcher) workerLocked(key workerKey) *worker {
	if w := d.workers[key]; w != nil {
		return w
	}
	upstream, _ := d.options.Upstream(key.service, key.upstream)
	w := &worker{
		dispatcher: d,
		key:        key,
		ring:       make(chan any, ringSize),
		pending:    map[admitter.ID]*attempt{},
		fences:     map[uint32]slicer.Fence{},
		load:       newLoad(d.options.Clock()),
		admitter: admitter.New(admitter.Options{
			Slots:  max(upstream.Slots, 1),
			Keyed:  d.options.Keyed(key.service),
			Status: d.options.SignatureStatus,
		}),
	}
	d.workers[key] = w
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		w.loop(d.ctx)
	}()
	return w
}

// requestID returns the admitter's form of a request id.
func requestID(id string) admitter.ID {
	return admitter.ID(hasher.Sum(id))
}
