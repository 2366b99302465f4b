// Package receiver accepts the requests of callers and routes each of them to the upstream that owns its key.
//
// # Usage
//
//	r := receiver.New(options)
//	server := &http.Server{Handler: r}
//
// A request names its service by the first segment of its path. A response of this package itself, rather than of an
// upstream, carries the header Rhubarbtrack-Outcome: "not-run" when the request was certainly not run, "unknown" when it
// may have been run.
package receiver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/balancer"
	"rhubarbtrack.example/core/classifier"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/retrier"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
)

const (
	defaultKeyHeader = "Rhubarbtrack-Key"
	internalPrefix   = "Rhubarbtrack-"

	// maxRequests bounds the requests that this host handles at once, each of which holds up to replayLimit bytes.
	maxRequests = 4096
	// maxKey bounds the length of a key in bytes.
	maxKey = 1024
	// callerTimeout bounds the deadline that a caller may ask for.
	callerTimeout = 5 * time.Minute
	// writeGrace is the time after the deadline of a request in which its refusal can be written.
	writeGrace = 2 * time.Second
)

// Options of a receiver. Function fields connect it to the rest of the process.
type Options struct {
	Clock   func() time.Duration
	Locator *locator.Locator
	Forward func(ctx context.Context, host framer.Member, request *dispatcher.Request) (*dispatcher.Response, error)
	// Decisions with state per service, see package chooser.
	CountRequest func(service string)
	CountAttempt func(service string, succeeded bool)
	Allow        func(now time.Duration, service string, attempt retrier.Attempt) retrier.Decision
	Begin        func(now time.Duration, service string, class configurator.Class, exclude []string) (balancer.Attempt, bool)
	End          func(now time.Duration, service string, attempt balancer.Attempt, outcome balancer.Outcome) (balancer.Attempt, bool)
	HedgeAfter   func(now time.Duration, service string, first balancer.Attempt) (time.Duration, bool)
	Hedge        func(now time.Duration, service string, first balancer.Attempt) (balancer.Attempt, bool)

	RecordOutcome  func(service, outcome string, latency time.Duration)
	Ready          func() bool
	RequestTimeout time.Duration
	MaxBody        int64
	Log            *eventlog.Logger
}

// Receiver is an http.Handler for callers.
type Receiver struct {
	options Options
	active  atomic.Int64
	waiting atomic.Int64
	mux     *http.ServeMux
}

// New returns a receiver.
func New(options Options) *Receiver {
	r := &Receiver{options: options, mux: http.NewServeMux()}
	r.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.mux.HandleFunc("GET /readyz", r.serveReady)
	return r
}

// Active returns the number of requests in progress.
func (r *Receiver) Active() int { return int(r.active.Load()) }

func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.options.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP answers health checks through the mux and routes everything else. Paths of services do not pass the mux,
// because it would redirect paths that it does not consider clean.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	setDeadlines(w, r.options.RequestTimeout)
	if request.URL.Path == "/healthz" || request.URL.Path == "/readyz" {
		r.mux.ServeHTTP(w, request)
		return
	}
	if r.active.Add(1) > maxRequests {
		r.active.Add(-1)
		writeError(w, &dispatcher.Error{Op: "receive", Kind: dispatcher.NotRun, Reason: dispatcher.ReasonOverloaded})
		return
	}
	defer r.active.Add(-1)
	r.route(w, request)
}

func (r *Receiver) route(w http.ResponseWriter, request *http.Request) {
	start := r.options.Clock()
	job, failure := r.parse(w, request)
	if failure != nil && failure.status == http.StatusNotFound {
		// A daemon that has just started may not have the configuration of the service yet.
		if !r.options.Ready() {
			writeError(w, &dispatcher.Error{Op: "receive", Kind: dispatcher.NotRun, Reason: reasonNotReady})
			return
		}
		// The configuration may have arrived since it was consulted.
		job, failure = r.parse(w, request)
	}
	if failure != nil {
		http.Error(w, failure.text, failure.status)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), job.timeout)
	defer cancel()
	response, err := r.run(ctx, job)
	if err != nil {
		r.fail(w, job, start, err)
		return
	}
	defer response.Body.Close()
	response.Header.Del(dispatcher.HeaderIncarnation)
	outcome := "answered"
	defer func() {
		r.options.RecordOutcome(job.service.Name, outcome, r.options.Clock()-start)
	}()
	defer func() {
		if aborted := recover(); aborted != nil {
			outcome = "aborted"
			r.options.Log.Log(eventlog.ResponseAborted, zap.String("service", job.service.Name), zap.String("request", job.id))
			panic(aborted)
		}
	}()
	forwarder.CopyResponse(w, response)
}

func (r *Receiver) fail(w http.ResponseWriter, job *job, start time.Duration, err error) {
	failure := dispatcher.AsError(err)
	event, outcome := eventlog.RequestUnknown, dispatcher.OutcomeUnknown
	if failure.Kind == dispatcher.NotRun {
		event, outcome = eventlog.RequestRefused, dispatcher.OutcomeNotRun
	}
	r.options.Log.Log(event,
		zap.String("service", job.service.Name), zap.String("request", job.id), zap.String("reason", failure.Reason))
	r.options.RecordOutcome(job.service.Name, outcome, r.options.Clock()-start)
	w.Header().Set(dispatcher.HeaderRequestID, job.id)
	writeError(w, failure)
}

func writeError(w http.ResponseWriter, failure *dispatcher.Error) {
	status, outcome := http.StatusBadGateway, dispatcher.OutcomeUnknown
	if failure.Reason == dispatcher.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	if failure.Kind == dispatcher.NotRun {
		status, outcome = http.StatusServiceUnavailable, dispatcher.OutcomeNotRun
		if failure.Reason == "duplicate" {
			status = http.StatusConflict
		}
	}
	w.Header().Set(dispatcher.HeaderOutcome, outcome)
	w.Header().Set(dispatcher.HeaderReason, failure.Reason)
	if status == http.StatusServiceUnavailable {
		seconds := int64((failure.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(max(seconds, 1), 10))
	}
	http.Error(w, outcome+": "+failure.Reason, status)
}

// reasonNotReady refuses a request to a service that this host does not know while it is not ready.
const reasonNotReady = "not-ready"

// job is one caller's request.
type job struct {
	id          string
	service     configurator.Service
	key         string
	class       configurator.Class
	signature   uint64
	idempotency string
	method      string
	uri         string
	header      http.Header
	body        *replayBody
	timeout     time.Duration
}

// setDeadlines bounds how long a caller may take to send its request and to read the answer. A connection keeps a deadline
// for its next request, so every request must set them.
func setDeadlines(w http.ResponseWriter, timeout time.Duration) {
	connection := http.NewResponseController(w)
	end := time.Now().Add(timeout)
	// The errors say that the connection has no deadlines, as in tests without a network.
	_ = connection.SetReadDeadline(end)
	_ = connection.SetWriteDeadline(end.Add(writeGrace))
}

// malformed is a request that no service can take.
type malformed struct {
	status int
	text   string
}

func (r *Receiver) parse(w http.ResponseWriter, request *http.Request) (*job, *malformed) {
	name, below, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	service, ok := r.options.Locator.Config().Services[name]
	if !ok {
		return nil, &malformed{status: http.StatusNotFound, text: "unknown service"}
	}
	if request.ContentLength > r.options.MaxBody {
		return nil, &malformed{status: http.StatusRequestEntityTooLarge, text: "request body too large"}
	}
	key, found := keyOf(service, request.Header, below)
	if service.Keyed && !found {
		return nil, &malformed{status: http.StatusBadRequest, text: "the request names no key, or one that is too long"}
	}
	timeout, ok := timeoutOf(request.Header, r.options.RequestTimeout)
	if !ok {
		return nil, &malformed{status: http.StatusBadRequest, text: "malformed " + dispatcher.HeaderDeadline}
	}
	setDeadlines(w, timeout)
	j := &job{
		id:          newRequestID(),
		service:     service,
		key:         key,
		class:       classifier.Classify(service.Rules, request.Method, below),
		idempotency: request.Header.Get("Idempotency-Key"),
		method:      request.Method,
		uri:         request.URL.RequestURI(),
		header:      request.Header.Clone(),
		body:        newReplayBody(http.MaxBytesReader(w, request.Body, r.options.MaxBody), request.ContentLength),
		timeout:     timeout,
	}
	j.signature = detector.Sign(service.Name, j.method, below, j.key, j.idempotency)
	cleanHeader(j.header, service)
	return j, nil
}

// cleanHeader removes what a caller must not set on internal connections.
func cleanHeader(header http.Header, service configurator.Service) {
	forwarder.RemoveHopByHopHeaders(header)
	keep := keyHeader(service)
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) && name != keep {
			delete(header, name)
		}
	}
	header.Del("Idempotency-Key")
	header.Del("Expect")
}

func keyHeader(service configurator.Service) string {
	if service.KeyHeader != "" {
		return http.CanonicalHeaderKey(service.KeyHeader)
	}
	return defaultKeyHeader
}

func keyOf(service configurator.Service, header http.Header, below string) (string, bool) {
	if !service.Keyed {
		return "", true
	}
	key := header.Get(keyHeader(service))
	if service.KeyHeader == "" && service.KeySegment > 0 {
		segments := strings.Split(below, "/")
		if len(segments) < service.KeySegment {
			return "", false
		}
		key = segments[service.KeySegment-1]
	}
	return key, key != "" && len(key) <= maxKey
}

func timeoutOf(header http.Header, standard time.Duration) (time.Duration, bool) {
	value := header.Get(dispatcher.HeaderDeadline)
	if value == "" {
		return standard, true
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, false
	}
	return min(time.Duration(milliseconds)*time.Millisecond, callerTimeout), true
}

func newRequestID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}
