// Package dispatcher runs requests on upstreams for which this host holds the admission lease.
//
// Each upstream has one goroutine that owns its admitter. New requests and completions reach it through a bounded
// queue. When the queue is full, a new request is rejected as not run.
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

// Options configure a dispatcher. The functions must be safe for concurrent use.
type Options struct {
	Self        string
	Incarnation string
	Clock       func() time.Duration
	Transport   http.RoundTripper
	Scheme      string // http or https, for requests to upstreams
	Upstream    func(service, name string) (configurator.Upstream, bool)
	Keyed       func(service string) bool
	// SignatureStatus returns how requests with a signature may run, see package detector.
	SignatureStatus func(now time.Duration, signature uint64) detector.Status
	// Observe passes crashes, retracted crashes and requests that ran alone to the detector of this host.
	Observe func(now time.Duration, action admitter.Action)

	StopAnswer    func(service string, answer controller.StopAnswer)
	LeaseReturned func(service string, returned controller.LeaseReturned)
	// Report receives the load of an upstream every reportInterval. If it is nil, no load is reported.
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
	latest  map[string]leaseVersion // of the latest message that ApplyLeases accepted, by service
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

// New returns a dispatcher that holds no leases. Close stops its goroutines.
func New(options Options) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		workers: map[workerKey]*worker{},
		latest:  map[string]leaseVersion{},
	}
}

// Close stops all workers and waits for them. All requests in flight must have completed before the call.
func (d *Dispatcher) Close() {
	d.cancel()
	d.wait.Wait()
}

// ApplyLeases replaces the admission leases of this host for one service. Messages that are not newer than the latest
// one are ignored. The lease of an upstream that is not listed ends. A query only raises the known term and sequence
// number; it changes no lease.
func (d *Dispatcher) ApplyLeases(message controller.SendLeases) {
	if message.Host != d.options.Self || message.Incarnation != d.options.Incarnation {
		return
	}
	d.mu.Lock()
	version := leaseVersion{term: message.Term, seq: message.Seq}
	if !d.latest[message.Service].less(version) {
		d.mu.Unlock()
		return
	}
	d.latest[message.Service] = version
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
		event := leaseEvent{version: version, sentAt: message.HeartbeatSent, unlisted: !listed[w.key.upstream]}
		for _, lease := range message.Leases {
			if lease.Upstream == w.key.upstream {
				event.lease = lease
			}
		}
		w.enqueue(event)
	}
}

// Term returns the highest term of the messages that ApplyLeases accepted for a service.
func (d *Dispatcher) Term(service string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest[service].term
}

// HeldLeases returns the admission leases of a service that are valid at the given time.
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

// Status is the admission state of one upstream on this host. Counts are requests.
type Status struct {
	Service  string
	Upstream string
	Limit    int
	InFlight int
	Queued   int
	Cold     bool
}

// Statuses returns the admission state of all upstreams for which this host holds a lease.
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

// Dispatch runs a request on its upstream and returns the response, whose body the caller must close. The error is
// always an *Error.
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
		queue:      make(chan any, queueSize),
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

// requestID hashes a request ID to the fixed size that the admitter uses.
func requestID(id string) admitter.ID {
	return admitter.ID(hasher.Sum(id))
}
