// Package receiver accepts requests from callers and routes each of them to the upstream that owns its key, or to a
// chosen upstream if the service is not keyed. It retries and hedges attempts as far as the class of the request
// permits: a request of class NeverRepeat is sent again only if it was certainly not run.
//
// # Usage
//
//	r := receiver.New(options)
//	server := &http.Server{Handler: r}
//
// The first segment of the path names the service. A response that comes from this package rather than from an upstream
// carries the header Rhubarbtrack-Outcome: "not-run" if the request was certainly not run, "unknown" if it may have
// been run.
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

	// maxRequests limits the concurrent requests of this host. Each of them buffers up to maxReplayBytes.
	maxRequests = 4096
	maxKeyBytes = 1024
	// callerTimeout is the longest timeout that a caller may request.
	callerTimeout = 5 * time.Minute
	// writeGrace is the time after the deadline of a request in which the error response can be written.
	writeGrace = 2 * time.Second
)

// Options configure a Receiver. The functions are called concurrently.
type Options struct {
	Clock   func() time.Duration
	Locator *locator.Locator
	Forward func(ctx context.Context, host framer.Member, request *dispatcher.Request) (*dispatcher.Response, error)
	// The functions up to Hedge decide on retries, upstreams and hedged requests with state per service, see package
	// chooser.
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

// Receiver is the http.Handler of the listener for callers.
type Receiver struct {
	options Options
	active  atomic.Int64
	waiting atomic.Int64
	mux     *http.ServeMux
}

// New returns a receiver that also serves /healthz and /readyz.
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

// ServeHTTP serves health checks through the mux and routes all other requests to upstreams. Requests to services
// bypass the mux because it redirects paths that are not in canonical form.
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
		// During startup the configuration of the service may not have arrived yet.
		if !r.options.Ready() {
			writeError(w, &dispatcher.Error{Op: "receive", Kind: dispatcher.NotRun, Reason: reasonNotReady})
			return
		}
		// The configuration may have arrived between parse and Ready.
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
		r.writeFailure(w, job, start, err)
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

func (r *Receiver) writeFailure(w http.ResponseWriter, job *job, start time.Duration, err error) {
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

// reasonNotReady is the reason for which a request to an unknown service is rejected while this host is not ready.
const reasonNotReady = "not-ready"

// job is one request of a caller, with all its attempts.
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

// setDeadlines limits the time that a caller may take to send its request and to read the response. Deadlines persist
// on the connection, so each request must set them again.
func setDeadlines(w http.ResponseWriter, timeout time.Duration) {
	connection := http.NewResponseController(w)
	deadline := time.Now().Add(timeout)
	// An error means that the connection does not support deadlines, as in tests without a network.
	_ = connection.SetReadDeadline(deadline)
	_ = connection.SetWriteDeadline(deadline.Add(writeGrace))
}

// requestError describes a request that is rejected before routing.
type requestError struct {
	status int
	text   string
}

func (r *Receiver) parse(w http.ResponseWriter, request *http.Request) (*job, *requestError) {
	name, subpath, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
	service, ok := r.options.Locator.Config().Services[name]
	if !ok {
		return nil, &requestError{status: http.StatusNotFound, text: "unknown service"}
	}
	if request.ContentLength > r.options.MaxBody {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, text: "request body too large"}
	}
	key, found := requestKey(service, request.Header, subpath)
	if service.Keyed && !found {
		return nil, &requestError{status: http.StatusBadRequest, text: "the request names no key, or one that is too long"}
	}
	timeout, ok := requestTimeout(request.Header, r.options.RequestTimeout)
	if !ok {
		return nil, &requestError{status: http.StatusBadRequest, text: "malformed " + dispatcher.HeaderDeadline}
	}
	setDeadlines(w, timeout)
	j := &job{
		id:          newRequestID(),
		service:     service,
		key:         key,
		class:       classifier.Classify(service.Rules, request.Method, subpath),
		idempotency: request.Header.Get("Idempotency-Key"),
		method:      request.Method,
		uri:         request.URL.RequestURI(),
		header:      request.Header.Clone(),
		body:        newReplayBody(http.MaxBytesReader(w, request.Body, r.options.MaxBody), request.ContentLength),
		timeout:     timeout,
	}
	j.signature = detector.Sign(service.Name, j.method, subpath, j.key, j.idempotency)
	cleanHeader(j.header, service)
	return j, nil
}

// cleanHeader removes headers that callers must not set on connections between hosts.
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

func requestKey(service configurator.Service, header http.Header, subpath string) (string, bool) {
	if !service.Keyed {
		return "", true
	}
	key := header.Get(keyHeader(service))
	if service.KeyHeader == "" && service.KeySegment > 0 {
		segments := strings.Split(subpath, "/")
		if len(segments) < service.KeySegment {
			return "", false
		}
		key = segments[service.KeySegment-1]
	}
	return key, key != "" && len(key) <= maxKeyBytes
}

func requestTimeout(header http.Header, defaultTimeout time.Duration) (time.Duration, bool) {
	value := header.Get(dispatcher.HeaderDeadline)
	if value == "" {
		return defaultTimeout, true
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
