// Package responder serves the upstream's HTTP calls: the service's requests, and the control calls below `/-/`.
//
// Usage:
//
//	handler := responder.New(responder.Options{Slots: 6, Now: clock, Exit: os.Exit})
//	http.Serve(listener, handler)
package responder

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rhubarbtrack.example/upstreamsim/internal/executor"
	"rhubarbtrack.example/upstreamsim/internal/freezer"
	"rhubarbtrack.example/upstreamsim/internal/leaser"
	"rhubarbtrack.example/upstreamsim/internal/recorder"
	"rhubarbtrack.example/upstreamsim/internal/sampler"
)

// Options configure a Responder.
type Options struct {
	// Incarnation identifies the run of the process.
	Incarnation string
	// Now returns the time since the start of the process.
	Now func() time.Duration
	// WallNS returns the wall clock in nanoseconds.
	WallNS func() int64
	// Exit ends the process; it is a seam for tests.
	Exit func(status int)
	// RunsFile receives the evidence of each run; it may be nil.
	RunsFile io.Writer
	Slots    int
	Warm     bool
	Fragile  bool
	// CheckFences makes the upstream refuse orders and requests with a stale fence.
	CheckFences bool
	// Keyed makes the upstream refuse requests without a fence when it checks fences.
	Keyed bool
	// ServiceTime is the mean running time of a request, uniformly spread by ServiceSpread to both sides.
	ServiceTime   time.Duration
	ServiceSpread time.Duration
	// ResponseBytes is the size of the padding in each response.
	ResponseBytes int
	Seed          uint64
}

// Responder is the HTTP handler of the simulator.
type Responder struct {
	options  Options
	mux      *http.ServeMux
	lease    *leaser.Lease
	executor *executor.Executor
	runs     *recorder.Recorder
	process  *freezer.Freezer
	inFlight *sampler.Series
	healthy  *sampler.Series

	// admission is held for reading while a request is admitted and for writing while an order is carried out.
	admission sync.RWMutex

	mu               sync.Mutex
	random           *rand.Rand
	faults           faults
	draining         bool
	previousResponse *response
	truncations      int
}

// New returns the handler of an upstream that has just started.
func New(options Options) *Responder {
	r := &Responder{
		options:  options,
		mux:      http.NewServeMux(),
		lease:    leaser.New(options.Incarnation, options.CheckFences),
		executor: executor.New(executor.Options{Slots: options.Slots, Warm: options.Warm, Fragile: options.Fragile}),
		runs:     recorder.New(options.RunsFile),
		process:  freezer.New(),
		inFlight: sampler.New(),
		healthy:  sampler.New(),
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}
	r.healthy.Set(0, 1)
	r.mux.HandleFunc("POST /-/lease", r.applyOrder)
	r.mux.HandleFunc("GET /-/health", r.getHealth)
	r.mux.HandleFunc("GET /-/load", r.getLoad)
	r.mux.HandleFunc("POST /-/drain", r.setDrain)
	r.mux.HandleFunc("PUT /-/faults", r.putFaults)
	r.mux.HandleFunc("GET /-/runs", r.getRuns)
	r.mux.HandleFunc("/-/", http.NotFound)
	r.mux.HandleFunc("/", r.serveRequest)
	return r
}

// ServeHTTP implements http.Handler. A frozen process answers nothing, not even control calls.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.process.Wait()
	r.mux.ServeHTTP(w, request)
}
