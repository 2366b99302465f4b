// Package forwarder carries requests from the entry host to the admission host of an upstream.
//
// It uses HTTP rather than WebSocket with CBOR, because bodies stream and every request needs its own flow control and
// cancellation.
//
// # Usage
//
//	f := forwarder.New(options)
//	mux.Handle("/forward/", f.Handler())
//	response, err := f.Forward(ctx, host, request)
package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
)

const (
	prefix = "/forward"

	headerService     = "Rhubarbtrack-Service"
	headerUpstream    = "Rhubarbtrack-Upstream"
	headerClass       = "Rhubarbtrack-Class"
	headerSignature   = "Rhubarbtrack-Signature"
	headerIdempotency = "Rhubarbtrack-Idempotency-Key"
	headerKey         = "Rhubarbtrack-Routed-Key" // query-escaped, because a key of a path may hold any byte
	headerAnswered    = "Rhubarbtrack-Answered"   // the response is the upstream's own
	headerReroutable  = "Rhubarbtrack-Reroutable"
	// headerCredentials carries the caller's Authorization, whose place is taken by the secret of the hosts on this hop.
	headerCredentials = "Rhubarbtrack-Caller-Authorization"

	// maxPause bounds the times that a peer may name. Larger numbers would overflow a time.Duration.
	maxPause = 24 * time.Hour

	// copyBuffer is the size of the pieces in which bodies are passed on, in bytes.
	copyBuffer = 32 << 10
)

// Options of a forwarder.
type Options struct {
	Self       string
	Scheme     string // http or https
	Transport  http.RoundTripper
	Authorize  func(header http.Header)
	Authorized func(r *http.Request) bool
	Dispatch   func(ctx context.Context, request *dispatcher.Request) (*dispatcher.Response, error)
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	options Options
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options}
}

// Forward runs a request on its upstream by way of the admission host. The deadline of ctx goes along.
func (f *Forwarder) Forward(ctx context.Context, host framer.Member, request *dispatcher.Request) (*dispatcher.Response, error) {
	if host.Name == f.options.Self {
		return f.options.Dispatch(ctx, request)
	}
	outgoing, err := f.encode(ctx, host, request)
	if err != nil {
		return nil, &dispatcher.Error{Op: "forward", Kind: dispatcher.NotRun, Reason: dispatcher.ReasonUnreachable, Err: err}
	}
	response, err := dispatcher.RoundTrip(f.options.Transport, outgoing)
	if err != nil {
		failure := dispatcher.AsError(err)
		failure.Op = "forward"
		// A host that cannot be reached loses its admission roles soon, so a newer table will name another one.
		failure.Reroutable = failure.Kind == dispatcher.NotRun
		return nil, failure
	}
	if response.Header.Get(headerAnswered) == "" {
		defer response.Body.Close()
		return nil, refusal(response)
	}
	response.Header.Del(headerAnswered)
	return &dispatcher.Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   response.Body,
		Length: response.ContentLength,
	}, nil
}

func refusal(response *http.Response) error {
	failure := &dispatcher.Error{
		Op:         "forward",
		Kind:       dispatcher.Unknown,
		Reason:     response.Header.Get(dispatcher.HeaderReason),
		Reroutable: response.Header.Get(headerReroutable) != "",
	}
	if response.Header.Get(dispatcher.HeaderOutcome) == dispatcher.OutcomeNotRun {
		failure.Kind = dispatcher.NotRun
	}
	if failure.Reason == "" {
		failure.Reason = dispatcher.ReasonConnection
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 { // not true of NaN
		failure.RetryAfter = time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	return failure
}

func (f *Forwarder) encode(ctx context.Context, host framer.Member, request *dispatcher.Request) (*http.Request, error) {
	target := f.options.Scheme + "://" + host.Address + prefix + request.URI
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, request.Body)
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = request.ContentLength
	outgoing.Header = request.Header.Clone()
	header := outgoing.Header
	if credentials := header["Authorization"]; len(credentials) > 0 {
		header[headerCredentials] = credentials
	}
	f.options.Authorize(header)
	header.Set(headerService, request.Service)
	header.Set(headerUpstream, request.Upstream)
	header.Set(headerClass, strconv.Itoa(int(request.Class)))
	header.Set(headerSignature, strconv.FormatUint(request.Signature, 16))
	header.Set(dispatcher.HeaderRequestID, request.ID)
	header.Set(dispatcher.HeaderFence, dispatcher.FormatFence(request.Fence))
	if request.IdempotencyKey != "" {
		header.Set(headerIdempotency, request.IdempotencyKey)
	}
	if request.Key != "" {
		header.Set(headerKey, url.QueryEscape(request.Key))
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(dispatcher.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	return outgoing, nil
}

// Handler serves requests that other entry hosts forward.
func (f *Forwarder) Handler() http.Handler {
	return http.HandlerFunc(f.serve)
}

func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	if !f.options.Authorized(r) {
		http.Error(w, "not a host of this system", http.StatusForbidden)
		return
	}
	request, timeout, err := decode(r)
	if err != nil {
		writeRefusal(w, &dispatcher.Error{Op: "forward", Kind: dispatcher.NotRun, Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	response, err := f.options.Dispatch(ctx, request)
	if err != nil {
		writeRefusal(w, dispatcher.AsError(err))
		return
	}
	defer response.Body.Close()
	w.Header().Set(headerAnswered, "1")
	CopyResponse(w, response)
}

func decode(r *http.Request) (*dispatcher.Request, time.Duration, error) {
	header := r.Header.Clone()
	take := func(name string) string {
		value := header.Get(name)
		header.Del(name)
		return value
	}
	class, err := strconv.Atoi(take(headerClass))
	if err != nil || class < int(configurator.NeverRepeat) || class > int(configurator.Safe) {
		return nil, 0, fmt.Errorf("malformed %s", headerClass)
	}
	signature, err := strconv.ParseUint(take(headerSignature), 16, 64)
	if err != nil {
		return nil, 0, fmt.Errorf("malformed %s", headerSignature)
	}
	milliseconds, err := strconv.ParseInt(take(dispatcher.HeaderDeadline), 10, 64)
	if err != nil || milliseconds <= 0 {
		return nil, 0, fmt.Errorf("malformed %s", dispatcher.HeaderDeadline)
	}
	fence, err := dispatcher.ParseFence(take(dispatcher.HeaderFence))
	if err != nil {
		return nil, 0, err
	}
	key, err := url.QueryUnescape(take(headerKey))
	if err != nil {
		return nil, 0, fmt.Errorf("malformed %s", headerKey)
	}
	header.Del("Authorization")
	header.Del("Rhubarbtrack-Peer")
	if credentials := header[headerCredentials]; len(credentials) > 0 {
		header["Authorization"] = credentials
		delete(header, headerCredentials)
	}
	return &dispatcher.Request{
		ID:             take(dispatcher.HeaderRequestID),
		Service:        take(headerService),
		Upstream:       take(headerUpstream),
		Class:          configurator.Class(class),
		Fence:          fence,
		Signature:      signature,
		IdempotencyKey: take(headerIdempotency),
		Key:            key,
		Method:         r.Method,
		URI:            strings.TrimPrefix(r.RequestURI, prefix),
		Header:         header,
		Body:           r.Body,
		ContentLength:  r.ContentLength,
	}, time.Duration(min(milliseconds, maxPause.Milliseconds())) * time.Millisecond, nil
}

func writeRefusal(w http.ResponseWriter, failure *dispatcher.Error) {
	header := w.Header()
	status := http.StatusBadGateway
	header.Set(dispatcher.HeaderOutcome, dispatcher.OutcomeUnknown)
	if failure.Kind == dispatcher.NotRun {
		status = http.StatusServiceUnavailable
		header.Set(dispatcher.HeaderOutcome, dispatcher.OutcomeNotRun)
	}
	header.Set(dispatcher.HeaderReason, failure.Reason)
	if failure.Reroutable {
		header.Set(headerReroutable, "1")
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
}

// hopHeaders must not be passed on by a proxy.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes the headers that concern one connection only.
func RemoveHopByHopHeaders(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// CopyResponse streams a response. When its body ends early, the connection to the reader is aborted, so that a cut-off
// body cannot be taken for a whole one. It returns the error of the body or of the reader's connection only by
// panicking with http.ErrAbortHandler, as net/http prescribes.
func CopyResponse(w http.ResponseWriter, response *dispatcher.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	RemoveHopByHopHeaders(header)
	if response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	buffer := make([]byte, copyBuffer)
	controller := http.NewResponseController(w)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
			if response.Length < 0 {
				_ = controller.Flush()
			}
		}
		if readErr == io.EOF {
			return
		}
		if readErr != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
