// Package refuser stands in for an upstream that runs no request. It counts the requests that reach it and refuses them as
// not run, or breaks their connections.
//
// Usage:
//
//	r, err := refuser.Listen("127.0.0.1:9000")
//	defer r.Close()
//	r.Break(true)
//	reached := r.Reached()
package rejecter

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Rejecter is safe for concurrent use.
type Rejecter struct {
	server  *http.Server
	reached atomic.Int64
	breaks  atomic.Bool
}

type wireReply struct {
	Incarnation string `json:"incarnation"`
	Nonce       string `json:"nonce"`
}

// Listen starts a stand-in at the address.
func Listen(address string) (*Rejecter, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "refuser: listen")
	}
	r := &Rejecter{}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// SetAbort makes the stand-in close the connections of requests instead of refusing them.
func (r *Rejecter) SetAbort(breaks bool) { r.breaks.Store(breaks) }

// Received returns the number of requests that arrived, without control calls.
func (r *Rejecter) Received() int { return int(r.reached.Load()) }

// Close ends the stand-in.
func (r *Rejecter) Close() { _ = r.server.Close() }

func (r *Rejecter) serve(w http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/-/") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(wireReply{Incarnation: "refuser", Nonce: "refuser"})
		return
	}
	r.reached.Add(1)
	if r.breaks.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Rhubarbtrack-Outcome", "not-run")
	w.Header().Set("Rhubarbtrack-Reason", "shed")
	w.WriteHeader(http.StatusServiceUnavailable)
}
