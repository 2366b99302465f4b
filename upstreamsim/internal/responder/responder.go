// Package responder is the HTTP handler of the simulated upstream. It serves the requests of the service, and control
// calls below `/-/`: leases, health, load, drain, fault injection and the record of runs.
//
// A request that is rejected with the outcome not-run does not run. Every request that runs is recorded before it
// starts.
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
	// Exit terminates the process with the status. Tests replace it.
	Exit func(status int)
	// RunsFile receives the record of each run as lines of JSON; it may be nil.
	RunsFile io.Writer
	// Slots, Warm and Fragile are the options of the executor; see executor.Options.
	Slots   int
	Warm    bool
	Fragile bool
	// CheckFences makes the upstream reject orders of an older term and requests with a stale fence.
	CheckFences bool
	// Keyed makes the upstream reject requests without a fence when it checks fences.
	Keyed bool
	// ServiceTime is the mean running time of a request. Running times are uniformly distributed within ServiceSpread
	// to both sides of it.
	ServiceTime   time.Duration
	ServiceSpread time.Duration
	// ResponseBytes is the size of the padding in each response, in bytes.
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
	// healthy is 0 while the upstream drains and 1 otherwise.
	healthy *sampler.Series

	// admission is held for reading while a request is admitted and for writing while an order is applied; see admit.
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

// ServeHTTP implements http.Handler. While the process is frozen, all calls block, including control calls.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.process.Wait()
	r.mux.ServeHTTP(w, request)
}
