package responder

import (
	"encoding/json"
	"net/http"
	"time"
)

// faults are the faults that `PUT /v1/faults` injects. A call replaces all of them, so a fault that it leaves out is
// off.
type faults struct {
	Down          bool   `json:"down"`
	SlowMS        int64  `json:"slow-ms"`
	DropResponses bool   `json:"lose-answers"`
	CloseWatches  bool   `json:"cut-watches"`
	StaleReads    bool   `json:"stale-reads"`
	HostListLagMS int64  `json:"host-list-lag-ms"`
	CompactBefore uint64 `json:"compact-before"`
}

func (r *Responder) putFaults(w http.ResponseWriter, request *http.Request) {
	var next faults
	if err := json.NewDecoder(request.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.store.SetStale(next.StaleReads)
	r.store.Compact(next.CompactBefore)
	r.mu.Lock()
	r.faults = next
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
	r.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (r *Responder) currentFaults() faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// injectFaults delays the call or aborts it without a response, according to the faults.
func (r *Responder) injectFaults(request *http.Request) {
	current := r.currentFaults()
	if current.Down {
		panic(http.ErrAbortHandler)
	}
	if current.SlowMS <= 0 {
		return
	}
	select {
	case <-request.Context().Done():
	case <-time.After(time.Duration(current.SlowMS) * time.Millisecond):
	}
}

// dropResponse aborts a call whose write has taken effect, if that fault is on. The caller cannot know whether it did.
func (r *Responder) dropResponse(tookEffect bool) {
	if tookEffect && r.currentFaults().DropResponses {
		panic(http.ErrAbortHandler)
	}
}

// abortWatchOnFault aborts a watch while the store is down or watches are closed. Otherwise it returns a channel that
// is closed when the faults change.
func (r *Responder) abortWatchOnFault() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.faults.Down || r.faults.CloseWatches {
		panic(http.ErrAbortHandler)
	}
	return r.faultsChanged
}
