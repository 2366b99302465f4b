// Package responder is the HTTP handler of the simulated platform. It serves the object store, watches, the list of
// hosts, fault injection and statistics.
//
// Calls to the store and lists of hosts count against rate limits for reads and writes; a watch counts as one read per
// second. Changes of the list of hosts, faults and statistics are control calls and are neither limited nor affected by
// faults.
//
// Usage:
//
//	handler := responder.New(responder.Options{Now: clock, WritesPerSecond: 400, ReadsPerSecond: 2000})
//	http.Serve(listener, handler)
package responder

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/platformsim/internal/limiter"
	"rhubarbtrack.example/platformsim/internal/lister"
	"rhubarbtrack.example/platformsim/internal/storer"
)

const (
	maxValueBytes = 1 << 20
	// progressInterval is below the 1 s that the protocol allows between two progress lines.
	progressInterval = 500 * time.Millisecond
	retryAfterS      = "1"
)

// Options configure a Responder.
type Options struct {
	// Now returns the time since the start of the process.
	Now func() time.Duration
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Responder is the HTTP handler of the simulator.
type Responder struct {
	now    func() time.Duration
	mux    *http.ServeMux
	store  *storer.Store
	hosts  *lister.List
	writes *limiter.Limiter
	reads  *limiter.Limiter

	mu            sync.Mutex
	faults        faults
	faultsChanged chan struct{}
	stats         stats
}

// New returns a handler with an empty store, an empty list of hosts and no faults.
func New(options Options) *Responder {
	r := &Responder{
		now:           options.Now,
		mux:           http.NewServeMux(),
		store:         storer.New(),
		hosts:         lister.New(),
		writes:        limiter.New(options.WritesPerSecond),
		reads:         limiter.New(options.ReadsPerSecond),
		faultsChanged: make(chan struct{}),
	}
	r.mux.HandleFunc("GET /v1/objects/{name...}", r.readHandler(r.getObject))
	r.mux.HandleFunc("PUT /v1/objects/{name...}", r.writeHandler(r.putObject))
	r.mux.HandleFunc("DELETE /v1/objects/{name...}", r.writeHandler(r.deleteObject))
	r.mux.HandleFunc("GET /v1/objects", r.readHandler(r.listObjects))
	r.mux.HandleFunc("GET /v1/watch", r.readHandler(r.watch))
	r.mux.HandleFunc("GET /v1/hosts", r.readHandler(r.listHosts))
	r.mux.HandleFunc("PUT /v1/hosts/{name}", r.putHost)
	r.mux.HandleFunc("DELETE /v1/hosts/{name}", r.deleteHost)
	r.mux.HandleFunc("PUT /v1/faults", r.putFaults)
	r.mux.HandleFunc("GET /v1/stats", r.getStats)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mux.ServeHTTP(w, request)
}

// readHandler injects faults into a call and applies the rate limit for reads.
func (r *Responder) readHandler(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.injectFaults(request)
		r.updateStats(func(s *stats) { s.Reads++ })
		if !r.reads.Allow(r.now()) {
			r.rejectOverLimit(w)
			return
		}
		handle(w, request)
	}
}

// writeHandler injects faults into a call and applies the rate limit for writes.
func (r *Responder) writeHandler(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.injectFaults(request)
		r.updateStats(func(s *stats) { s.Writes++ })
		if !r.writes.Allow(r.now()) {
			r.rejectOverLimit(w)
			return
		}
		handle(w, request)
	}
}

func (r *Responder) rejectOverLimit(w http.ResponseWriter) {
	r.updateStats(func(s *stats) { s.Rejected++ })
	w.Header().Set("Retry-After", retryAfterS)
	w.WriteHeader(http.StatusTooManyRequests)
}

func (r *Responder) getObject(w http.ResponseWriter, request *http.Request) {
	object, ok := r.store.Get(request.PathValue("name"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, encodeObject(object))
}

func (r *Responder) listObjects(w http.ResponseWriter, request *http.Request) {
	objects, revision := r.store.List(request.URL.Query().Get("prefix"))
	writeJSON(w, http.StatusOK, encodeList(objects, revision))
}

func (r *Responder) putObject(w http.ResponseWriter, request *http.Request) {
	condition, err := decodeCondition(request.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(request.Body, maxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(value) > maxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	object, ok := r.store.Put(request.PathValue("name"), value, condition)
	r.dropResponse(ok)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, encodeObject(object))
		return
	}
	writeJSON(w, http.StatusOK, wireVersion{Version: object.Version})
}

func (r *Responder) deleteObject(w http.ResponseWriter, request *http.Request) {
	condition, err := decodeCondition(request.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, found, ok := r.store.Delete(request.PathValue("name"), condition)
	r.dropResponse(ok)
	switch {
	case !found:
		w.WriteHeader(http.StatusNotFound)
	case !ok:
		writeJSON(w, http.StatusPreconditionFailed, encodeObject(object))
	default:
		writeJSON(w, http.StatusOK, wireVersion{Version: object.Version})
	}
}

func (r *Responder) listHosts(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(r.currentFaults().HostListLagMS) * time.Millisecond
	writeJSON(w, http.StatusOK, encodeHosts(r.hosts.At(r.now()-lag)))
}

func (r *Responder) putHost(w http.ResponseWriter, request *http.Request) {
	var host wireHost
	if err := json.NewDecoder(request.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	host.Name = request.PathValue("name")
	r.hosts.Set(r.now(), decodeHost(host))
	w.WriteHeader(http.StatusOK)
}

func (r *Responder) deleteHost(w http.ResponseWriter, request *http.Request) {
	if !r.hosts.Remove(r.now(), request.PathValue("name")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Responder) getStats(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	current := r.stats
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, current)
}

func (r *Responder) updateStats(change func(*stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.stats)
}

func decodeCondition(header http.Header) (storer.Condition, error) {
	if header.Get("If-None-Match") == "*" {
		return storer.Condition{Absent: true}, nil
	}
	match := header.Get("If-Match")
	if match == "" {
		return storer.Condition{}, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 {
		return storer.Condition{}, errors.Newf("If-Match is not a version: %s", match)
	}
	return storer.Condition{Match: version}, nil
}
