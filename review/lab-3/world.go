package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

// heartbeatInterval is that of the site file.
const heartbeatInterval = 870 * time.Millisecond

// Run is one request that an upstream began to run.
type Run struct {
	Attempt  string
	Upstream string
	Key      int
	At       time.Time
	Bytes    int64 // of the body
	Digest   uint64
}

// upstream is a server of the project's own stand-in.
type upstream struct {
	*simulator.Upstream
	id     string
	server *http.Server
	cancel context.CancelFunc
}

// World is a small deployment.
type World struct {
	Record    *Record
	Store     *Store
	Hosts     []*Host
	OnEnd     func(attempt string) // called when a server has ended its work on a request; may be nil
	folder    string
	address   string // of the store
	server    *http.Server
	mutex     sync.Mutex
	upstreams []*upstream
	runs      []Run
}

// NewWorld starts a store and prepares hosts, which are not started.
func NewWorld(root, recordPath string, hosts int) (*World, error) {
	record, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Store: NewStore(), folder: folder}
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w.Store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	for i := range hosts {
		ip, err := freeIP()
		if err != nil {
			return nil, err
		}
		zone := string(rune('a' + i%3))
		w.Hosts = append(w.Hosts, &Host{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, IP: ip, folder: folder, root: root, record: record})
	}
	return w, nil
}

// StartHosts starts all hosts at the same time, for the first time.
func (w *World) StartHosts() error {
	for _, h := range w.Hosts {
		if err := h.Start(w.address, true); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until all hosts are ready.
func (w *World) AwaitReady(ctx context.Context, limit time.Duration) bool {
	return await(ctx, limit, func() bool {
		for _, h := range w.Hosts {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
}

// AddUpstream starts an upstream and registers it with each heartbeat.
func (w *World) AddUpstream(ctx context.Context, options simulator.UpstreamOptions) error {
	listener, err := listen()
	if err != nil {
		return err
	}
	options.Address = listener.Addr().String()
	options.OnRun = func(run simulator.Run) {
		w.mutex.Lock()
		w.runs = append(w.runs, Run{run.Attempt, run.Upstream, run.Key, run.Begin, run.Bytes, run.Digest})
		w.mutex.Unlock()
		w.Record.Line("run %s at %s key %d body %d", run.Attempt, run.Upstream, run.Key, run.Bytes)
	}
	id := options.ID
	options.OnHold = func(from, to int, until time.Time) {
		if until.IsZero() {
			w.Record.Line("release %s keys %d-%d", id, from, to)
			return
		}
		w.Record.Line("grant %s keys %d-%d until %.3f", id, from, to, w.Record.Since(until))
	}
	u := &upstream{Upstream: simulator.NewUpstream(options), id: id, server: nil}
	u.server = &http.Server{Handler: w.signed(u), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	ctx, u.cancel = context.WithCancel(ctx)
	w.mutex.Lock()
	w.upstreams = append(w.upstreams, u)
	w.mutex.Unlock()
	go w.register(ctx, u)
	w.Record.Line("upstream %s of %s listens on %s", id, options.Service, options.Address)
	return nil
}

// signed adds the signature to the answers to requests, as the pages ask of servers, and reports the end of requests.
func (w *World) signed(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(answer http.ResponseWriter, r *http.Request) {
		if attempt := r.Header.Get("Attempt-Id"); attempt != "" {
			answer.Header().Set("Response-Signature", simulator.Sign(attempt, r.URL.RequestURI()))
			if w.OnEnd != nil {
				defer w.OnEnd(attempt)
			}
		}
		handler.ServeHTTP(answer, r)
	})
}

func (w *World) register(ctx context.Context, u *upstream) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		specification, status := u.Entry()
		w.Store.Put("servers", u.id, specification, status)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Upstreams returns all upstreams.
func (w *World) Upstreams() []*simulator.Upstream {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []*simulator.Upstream
	for _, u := range w.upstreams {
		all = append(all, u.Upstream)
	}
	return all
}

// Runs returns what was run so far.
func (w *World) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]Run(nil), w.runs...)
}

// Close ends all processes that were started.
func (w *World) Close() {
	for _, h := range w.Hosts {
		h.Stop()
	}
	w.mutex.Lock()
	for _, u := range w.upstreams {
		u.cancel()
		_ = u.server.Close()
	}
	w.mutex.Unlock()
	_ = w.server.Close()
	w.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", filepath.Clean(w.folder))
	}
}
