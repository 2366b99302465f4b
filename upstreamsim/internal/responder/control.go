package responder

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbtrack.example/upstreamsim/internal/leaser"
)

type wireSlice struct {
	Slice uint64 `json:"slice"`
	Epoch uint64 `json:"epoch"`
}

type wireGrant struct {
	Slice uint64 `json:"slice"`
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

type wireOrder struct {
	Service    string      `json:"service"`
	Term       uint64      `json:"term"`
	Nonce      string      `json:"nonce"`
	LifetimeMS int64       `json:"lifetime-ms"`
	Add        []wireSlice `json:"add"`
	Remove     []wireSlice `json:"remove"`
}

type wireReply struct {
	Incarnation string      `json:"incarnation"`
	Term        uint64      `json:"term"`
	Nonce       string      `json:"nonce"`
	Error       string      `json:"error"`
	Held        []wireGrant `json:"held"`
	LastHeld    []wireGrant `json:"last-held"`
	InFlight    int         `json:"in-flight"`
}

type wireLoad struct {
	InFlight    int     `json:"in-flight"`
	Slots       int     `json:"slots"`
	Utilization float64 `json:"utilization"`
	Incarnation string  `json:"incarnation"`
}

type wireRuns struct {
	Incarnation      string          `json:"incarnation"`
	Runs             json.RawMessage `json:"runs"`
	PeakInFlight     int             `json:"peak-in-flight"`
	PeakOverCapacity int             `json:"peak-over-capacity"`
}

// faults are the faults that `PUT /-/faults` injects. A call replaces all of them, so a fault that it leaves out is
// off. FreezeMS and ResetWarmUp act once, at the call.
type faults struct {
	FreezeMS           int64   `json:"freeze-ms"`
	SlowFactor         float64 `json:"slow-factor"`
	ExtraServiceTimeMS int64   `json:"slow-ms"`
	ResponseDelayMS    int64   `json:"late-ms"`
	// SwapResponses sends the response to the previous request instead of the request's own.
	SwapResponses bool `json:"cross"`
	Truncate      bool `json:"truncate"`
	// CrashOn crashes the process when a request has this value in its Demo-Mark header. An empty value crashes none.
	CrashOn        string `json:"crash-on"`
	ReportZeroLoad bool   `json:"lie-load"`
	InvertHealth   bool   `json:"lie-health"`
	// ReportLagMS is the age of the values that the health and load calls report.
	ReportLagMS int64 `json:"lag-ms"`
	ResetWarmUp bool  `json:"turn-cold"`
}

func (r *Responder) applyOrder(w http.ResponseWriter, request *http.Request) {
	var order wireOrder
	if !decode(w, request, &order) {
		return
	}
	r.process.Wait()
	r.admission.Lock()
	reply := r.lease.Apply(r.options.Now(), decodeOrder(order))
	inFlight := r.executor.InFlight()
	r.admission.Unlock()
	status := http.StatusOK
	if reply.Error != "" {
		status = http.StatusConflict
	}
	writeJSON(w, status, wireReply{
		Incarnation: r.options.Incarnation, Term: reply.Term, Nonce: reply.Nonce, Error: reply.Error,
		Held: encodeGrants(reply.Held), LastHeld: encodeGrants(reply.LastHeld), InFlight: inFlight,
	})
}

func (r *Responder) getHealth(w http.ResponseWriter, _ *http.Request) {
	active := r.currentFaults()
	healthy := r.healthy.At(r.options.Now()-lag(active)) == 1
	if active.InvertHealth {
		healthy = !healthy
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Responder) getLoad(w http.ResponseWriter, _ *http.Request) {
	active := r.currentFaults()
	inFlight := r.inFlight.At(r.options.Now() - lag(active))
	if active.ReportZeroLoad {
		inFlight = 0
	}
	writeJSON(w, http.StatusOK, wireLoad{
		InFlight: inFlight, Slots: r.options.Slots, Incarnation: r.options.Incarnation,
		Utilization: float64(inFlight) / float64(r.options.Slots),
	})
}

func (r *Responder) setDrain(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Drain bool `json:"drain"`
	}
	if !decode(w, request, &body) {
		return
	}
	healthy := 1
	if body.Drain {
		healthy = 0
	}
	r.mu.Lock()
	r.draining = body.Drain
	r.mu.Unlock()
	r.healthy.Set(r.options.Now(), healthy)
	w.WriteHeader(http.StatusOK)
}

func (r *Responder) putFaults(w http.ResponseWriter, request *http.Request) {
	var next faults
	if !decode(w, request, &next) {
		return
	}
	r.mu.Lock()
	r.faults = next
	r.previousResponse = nil
	r.mu.Unlock()
	if next.ResetWarmUp {
		r.executor.ResetWarmUp()
	}
	// The process freezes before the response is sent, so that nothing runs after the test harness has read it.
	if next.FreezeMS > 0 {
		r.process.Freeze(time.Duration(next.FreezeMS) * time.Millisecond)
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Responder) getRuns(w http.ResponseWriter, _ *http.Request) {
	runs, err := r.runs.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	peaks := r.executor.Peaks()
	writeJSON(w, http.StatusOK, wireRuns{
		Incarnation: r.options.Incarnation, Runs: runs, PeakInFlight: peaks.InFlight, PeakOverCapacity: peaks.OverCapacity,
	})
}

func (r *Responder) currentFaults() faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func lag(active faults) time.Duration {
	return time.Duration(active.ReportLagMS) * time.Millisecond
}

func decode(w http.ResponseWriter, request *http.Request, into any) bool {
	err := json.NewDecoder(request.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func decodeOrder(order wireOrder) leaser.Order {
	return leaser.Order{
		Term: order.Term, Nonce: order.Nonce, Lifetime: time.Duration(order.LifetimeMS) * time.Millisecond,
		Add: decodeSlices(order.Add), Remove: decodeSlices(order.Remove),
	}
}

func decodeSlices(slices []wireSlice) []leaser.SliceEpoch {
	var decoded []leaser.SliceEpoch
	for _, slice := range slices {
		decoded = append(decoded, leaser.SliceEpoch(slice))
	}
	return decoded
}

func encodeGrants(grants []leaser.Grant) []wireGrant {
	encoded := make([]wireGrant, 0, len(grants))
	for _, grant := range grants {
		encoded = append(encoded, wireGrant(grant))
	}
	return encoded
}
