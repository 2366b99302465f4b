package responder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams changes as lines of JSON until the caller disconnects or a fault aborts the stream. Progress lines
// carry the revision up to which the caller has received all changes. The rate limit for reads cannot interrupt an open
// stream, so its reads are taken from the bucket even if it is empty.
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
	r.updateStats(func(s *stats) { s.Watches++ })
	defer r.updateStats(func(s *stats) { s.Watches-- })
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	lastConsumed := r.now()
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
		if now := r.now(); now-lastConsumed >= time.Second {
			r.reads.Consume(now)
			lastConsumed = now
		}
		if batch, err = r.store.ChangesSince(prefix, from); err != nil {
			// Changes that the stream has not sent were compacted. The caller gets status 410 when it watches again.
			panic(http.ErrAbortHandler)
		}
	}
}
