package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams changes as lines of JSON until the caller leaves or a fault ends the stream.
func (r *Responder) watch(w http.ResponseWriter, request *http.Request) {
	prefix := request.URL.Query().Get("prefix")
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a revision", http.StatusBadRequest)
		return
	}
	batch, err := r.store.ChangesSince(prefix, from)
	if err != nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	r.count(func(s *stats) { s.Watches++ })
	defer r.count(func(s *stats) { s.Watches-- })
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	charged := r.now()
	progress := true
	for {
		for _, change := range batch.Changes {
			_ = encoder.Encode(encodeChange(change))
		}
		if progress {
			_ = encoder.Encode(wireChange{Type: "progress", Version: batch.Revision})
		}
		if controller.Flush() != nil {
			return
		}
		progress = false
		from = batch.Revision
		faultsChanged := r.abortWatchOnFault()
		select {
		case <-request.Context().Done():
			return
		case <-batch.Changed:
		case <-faultsChanged:
		case <-ticker.C:
			progress = true
		}
		if now := r.now(); now-charged >= time.Second {
			r.reads.Consume(now)
			charged = now
		}
		if batch, err = r.store.ChangesSince(prefix, from); err != nil {
			// The stream fell behind a compaction; the caller learns it from the 410 on its next call.
			panic(http.ErrAbortHandler)
		}
	}
}
