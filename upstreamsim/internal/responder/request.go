package responder

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbtrack.example/upstreamsim/internal/executor"
	"rhubarbtrack.example/upstreamsim/internal/leaser"
	"rhubarbtrack.example/upstreamsim/internal/recorder"
)

// Headers between router and upstream.
const (
	headerRequestID   = "Rhubarbtrack-Request-Id"
	headerKey         = "Rhubarbtrack-Key"
	headerFence       = "Rhubarbtrack-Fence"
	headerDeadline    = "Rhubarbtrack-Deadline-Ms"
	headerIncarnation = "Rhubarbtrack-Incarnation"
	headerOutcome     = "Rhubarbtrack-Outcome"
	headerReason      = "Rhubarbtrack-Reason"
	headerMark        = "Demo-Mark"
	// headerCallerID carries the ID from the test harness. The router forwards it unchanged, whereas it replaces the ID
	// in Rhubarbtrack-Request-Id.
	headerCallerID = "Demo-Request-Id"
)

// Reasons for which a request is rejected.
const (
	reasonShed     = "shed"
	reasonCold     = "cold"
	reasonDraining = "draining"
	reasonNotOwner = "not-owner"
	reasonDeadline = "deadline"
)

const (
	maxBodyBytes = 8 << 20
	// shedTime is how long a shed request counts towards the load. If shedding took no time, no amount of excess
	// requests could raise the load of a fragile upstream above twice its limit.
	shedTime = 5 * time.Millisecond
	// crashStatus is the exit status of a simulated crash.
	crashStatus = 3
)

// call is a decoded request to the service.
type call struct {
	// id is the ID from the test harness, or that of the router when there is none.
	id       string
	routerID string
	key      string
	method   string
	path     string
	digest   string
	fence    leaser.Grant
	// fenced is false when the fence is missing or malformed.
	fenced bool
	mark   string
	// deadline fires when the deadline passes. It is nil when the request has none.
	deadline <-chan time.Time
	// expired is true when the deadline had passed on arrival.
	expired bool
}

func (r *Responder) serveRequest(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.process.Wait()
	current := decodeCall(request, body)
	reason, decision := r.admit(current)
	if reason != "" {
		reject(w, reason)
		return
	}
	switch decision {
	case executor.Crash:
		r.options.Exit(crashStatus)
	case executor.Shed:
		r.shed(w, request.Context(), reasonShed)
	case executor.ShedCold:
		r.shed(w, request.Context(), reasonCold)
	case executor.Run:
		r.execute(w, request.Context(), current)
	}
}

// admit checks the fence and takes a slot in one step with respect to orders. The in-flight count in the reply to an
// order that revokes a slice thus includes every admitted request of that slice.
func (r *Responder) admit(current call) (string, executor.Decision) {
	r.admission.RLock()
	defer r.admission.RUnlock()
	if reason := r.rejectReason(current); reason != "" {
		return reason, executor.Shed
	}
	return "", r.executor.Begin()
}

// rejectReason returns the reason why the request must not run, or an empty string.
func (r *Responder) rejectReason(current call) string {
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		return reasonDraining
	}
	if current.expired {
		return reasonDeadline
	}
	if !r.options.CheckFences {
		return ""
	}
	if !current.fenced && !r.options.Keyed {
		return ""
	}
	if !current.fenced || !r.lease.Holds(r.options.Now(), current.fence) {
		return reasonNotOwner
	}
	return ""
}

func (r *Responder) shed(w http.ResponseWriter, ctx context.Context, reason string) {
	r.process.Run(ctx, shedTime, nil)
	r.executor.EndShed()
	reject(w, reason)
}

func (r *Responder) execute(w http.ResponseWriter, ctx context.Context, current call) {
	r.sampleInFlight()
	index, err := r.runs.Begin(recorder.Execution{
		RequestID: current.id, RouterID: current.routerID, Key: current.key, Method: current.method, Fenced: current.fenced,
		Slice: current.fence.Slice, Term: current.fence.Term, Epoch: current.fence.Epoch,
		StartNS: r.options.WallNS(),
	})
	if err != nil {
		// The test harness finds duplicate runs by the record. An unrecorded run would go unnoticed.
		r.options.Exit(1)
	}
	active := r.currentFaults()
	if active.CrashOn != "" && active.CrashOn == current.mark {
		r.options.Exit(crashStatus)
	}
	completed := r.process.Run(ctx, r.serviceTime(active), current.deadline)
	if r.runs.End(index, r.options.WallNS(), completed) != nil {
		r.options.Exit(1)
	}
	r.executor.End(completed)
	r.sampleInFlight()
	if !completed {
		r.writeUnknownOutcome(w, current)
		return
	}
	r.process.Run(ctx, time.Duration(active.ResponseDelayMS)*time.Millisecond, nil)
	r.writeResponse(w, r.newResponse(current), active)
}

func (r *Responder) serviceTime(active faults) time.Duration {
	spread := time.Duration(0)
	if r.options.ServiceSpread > 0 {
		r.mu.Lock()
		spread = time.Duration(r.random.Int64N(int64(2*r.options.ServiceSpread))) - r.options.ServiceSpread
		r.mu.Unlock()
	}
	work := max(0, r.options.ServiceTime+spread)
	if active.SlowFactor > 0 {
		work = time.Duration(float64(work) * active.SlowFactor)
	}
	return work + time.Duration(active.ExtraServiceTimeMS)*time.Millisecond
}

func (r *Responder) sampleInFlight() {
	r.inFlight.Set(r.options.Now(), r.executor.InFlight())
}

// writeUnknownOutcome responds to a request that was stopped by its deadline while it ran. After a cancellation the
// connection is closed and the response is discarded.
func (r *Responder) writeUnknownOutcome(w http.ResponseWriter, current call) {
	w.Header().Set(headerRequestID, current.routerID)
	w.Header().Set(headerIncarnation, r.options.Incarnation)
	w.Header().Set(headerOutcome, "unknown")
	w.WriteHeader(http.StatusGatewayTimeout)
}

func reject(w http.ResponseWriter, reason string) {
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set(headerReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func decodeCall(request *http.Request, body []byte) call {
	sum := sha256.Sum256(body)
	current := call{
		id:       cmp.Or(request.Header.Get(headerCallerID), request.Header.Get(headerRequestID)),
		routerID: request.Header.Get(headerRequestID),
		key:      request.Header.Get(headerKey),
		method:   request.Method,
		path:     request.URL.RequestURI(),
		digest:   hex.EncodeToString(sum[:]),
		mark:     request.Header.Get(headerMark),
	}
	current.fence, current.fenced = decodeFence(request.Header.Get(headerFence))
	remaining, err := strconv.ParseInt(request.Header.Get(headerDeadline), 10, 64)
	if err == nil {
		current.expired = remaining <= 0
		current.deadline = time.After(time.Duration(remaining) * time.Millisecond)
	}
	return current
}

// decodeFence reads `<slice>.<term>.<epoch>`.
func decodeFence(text string) (leaser.Grant, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return leaser.Grant{}, false
	}
	var numbers [3]uint64
	for i, part := range parts {
		number, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return leaser.Grant{}, false
		}
		numbers[i] = number
	}
	return leaser.Grant{Slice: numbers[0], Term: numbers[1], Epoch: numbers[2]}, true
}

// response is the body of a successful response. It contains the ID of the request and the SHA-256 digest of its body,
// so that a caller can check that the response belongs to its own request.
type response struct {
	RequestID   string `json:"request-id"`
	RouterID    string `json:"router-id"`
	Key         string `json:"key"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Digest      string `json:"digest"`
	Incarnation string `json:"incarnation"`
	Padding     string `json:"padding"`
}

func (r *Responder) newResponse(current call) response {
	return response{
		RequestID: current.id, RouterID: current.routerID, Key: current.key, Method: current.method, Path: current.path, Digest: current.digest,
		Incarnation: r.options.Incarnation, Padding: strings.Repeat("x", r.options.ResponseBytes),
	}
}

func (r *Responder) writeResponse(w http.ResponseWriter, resp response, active faults) {
	if active.SwapResponses {
		resp = r.swapResponse(resp)
	}
	body, err := json.Marshal(resp)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, resp.RouterID)
	w.Header().Set(headerIncarnation, r.options.Incarnation)
	if active.Truncate {
		r.truncate(w, body)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// swapResponse returns the previous response and stores the given one for the next request. It returns the first
// response unchanged.
func (r *Responder) swapResponse(resp response) response {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.previousResponse
	r.previousResponse = &resp
	if previous == nil {
		return resp
	}
	return *previous
}

// truncate sends half of the body and closes the connection. Every second response is chunked instead of having a
// Content-Length, so that only the missing last chunk shows the truncation.
func (r *Responder) truncate(w http.ResponseWriter, body []byte) {
	r.mu.Lock()
	r.truncations++
	withLength := r.truncations%2 == 1
	r.mu.Unlock()
	if withLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
