// Package rejecter is a stand-in for an upstream that runs no request. It counts the requests that it receives, and
// rejects them as not run or aborts their connections. It answers every control call with status 200, a fixed
// incarnation and a fixed nonce.
//
// Usage:
//
//	r, err := rejecter.Listen("127.0.0.1:9000")
//	defer r.Close()
//	r.SetAbort(true)
//	received := r.Received()
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

// Rejecter is an HTTP server that rejects all requests. It is safe for concurrent use.
type Rejecter struct {
	server   *http.Server
	received atomic.Int64
	aborts   atomic.Bool
}

type wireReply struct {
	Incarnation string `json:"incarnation"`
	Nonce       string `json:"nonce"`
}

// Listen starts a rejecter at the address. The caller must close it.
func Listen(address string) (*Rejecter, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "rejecter: listen")
	}
	r := &Rejecter{}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// SetAbort with true makes the server close the connections of requests without a response instead of rejecting them.
func (r *Rejecter) SetAbort(abort bool) { r.aborts.Store(abort) }

// Received returns the number of requests since the start, without control calls.
func (r *Rejecter) Received() int { return int(r.received.Load()) }

// Close stops the server and closes its connections.
func (r *Rejecter) Close() { _ = r.server.Close() }

func (r *Rejecter) serve(w http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/-/") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(wireReply{Incarnation: "refuser", Nonce: "refuser"})
		return
	}
	r.received.Add(1)
	if r.aborts.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Rhubarbtrack-Outcome", "not-run")
	w.Header().Set("Rhubarbtrack-Reason", "shed")
	w.WriteHeader(http.StatusServiceUnavailable)
}
