package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const keyCount = 1 << 16

// upstreamOptions are the arguments of an upstream's process.
type upstreamOptions struct {
	ID, Service, Address, Zone, Store string
	Keyed                             bool
	Slots, Queue                      int
	Work                              time.Duration
	// CutUntil is the end of the time in which the store gets nothing from the upstream, in Unix nanoseconds.
	CutUntil int64
	// Deadly is the path of requests that crash the upstream, CrashAfter the time from the begin of their run to that.
	Deadly     string
	CrashAfter time.Duration
}

// event is a line that an upstream writes about what it sees.
type event struct {
	At      int64  `json:"at"` // Unix nanoseconds
	Server  string `json:"server"`
	Born    int64  `json:"born"`
	What    string `json:"what"` // born, grant, stale, release, released, run, done, cut, crash, unheld
	Attempt string `json:"attempt,omitempty"`
	Method  string `json:"method,omitempty"`
	Target  string `json:"target,omitempty"`
	Body    string `json:"body,omitempty"` // hash of the body
	Key     int    `json:"key"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	Fence   uint64 `json:"fence,omitempty"`
	Until   int64  `json:"until,omitempty"`
}

type hold struct {
	fence uint64
	until time.Time
}

// upstream is a stand-in for a server, which holds keys and runs requests.
type upstream struct {
	options upstreamOptions
	born    int64
	slots   chan struct{}
	mutex   sync.Mutex
	out     io.Writer
	holds   [keyCount]hold
	busy    [keyCount]int
	running int
	waiting int
}

func (u *upstream) log(e event) {
	e.At, e.Server, e.Born = time.Now().UnixNano(), u.options.ID, u.born
	data, _ := json.Marshal(e)
	_, _ = u.out.Write(append(data, '\n'))
}

func runUpstream(o upstreamOptions) error {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return err
	}
	u := &upstream{options: o, born: time.Now().UnixMilli(), slots: make(chan struct{}, o.Slots), out: os.Stdout}
	u.log(event{What: "born"})
	go u.register()
	server := &http.Server{Handler: u, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(listener)
}

// register writes the entry of the upstream to the store at its start and with each heartbeat.
func (u *upstream) register() {
	time.Sleep(time.Until(time.Unix(0, u.options.CutUntil)))
	client := &http.Client{Timeout: time.Second}
	for ; ; time.Sleep(heartbeat) {
		status := map[string]any{"state": "ready", "sequence": 1, "warmup_left_s": 0}
		entry := map[string]any{
			"metadata": map[string]any{"name": u.options.ID},
			"specification": map[string]any{
				"address": u.options.Address, "born": u.born,
				"information": map[string]any{"service": u.options.Service, "version": "v1", "zone": u.options.Zone, "slots": u.options.Slots},
				"status":      status,
			},
			"status": status,
		}
		body, _ := json.Marshal(entry)
		u.beat(client, body)
	}
}

// beat writes the entry over a path of the store's stand-in, because the pages do not say how servers write theirs.
func (u *upstream) beat(client *http.Client, body []byte) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+u.options.Store+"/beat", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

type order struct {
	From   int     `json:"from"`
	Target int     `json:"target"`
	Fence  uint64  `json:"fence"`
	Hold   float64 `json:"hold_s"`
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.options.ID {
		w.Header().Set("Backend-Id", u.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Backend-Id", u.options.ID)
		u.writeLoad(w)
	case "/rhubarbtrack/grant", "/rhubarbtrack/release":
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.Target >= keyCount || o.From > o.Target {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/rhubarbtrack/grant" {
			u.grant(w, o)
			return
		}
		u.release(w, r, o)
	default:
		u.serve(w, r)
	}
}

func (u *upstream) grant(w http.ResponseWriter, o order) {
	if !u.take(o) {
		w.WriteHeader(http.StatusConflict)
	}
}

// take carries out a grant. It returns false if a higher fencing token was seen.
func (u *upstream) take(o order) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if u.holds[key].fence > o.Fence {
			u.log(event{What: "stale", From: o.From, To: o.Target, Fence: o.Fence})
			return false
		}
	}
	until := time.Now().Add(time.Duration(o.Hold * float64(time.Second)))
	for key := o.From; key <= o.Target; key++ {
		if until.After(u.holds[key].until) {
			u.holds[key].until = until
		}
		u.holds[key].fence = o.Fence
	}
	u.log(event{What: "grant", From: o.From, To: o.Target, Fence: o.Fence, Until: until.UnixNano()})
	return true
}

func (u *upstream) release(w http.ResponseWriter, r *http.Request, o order) {
	u.mutex.Lock()
	for key := o.From; key <= o.Target; key++ {
		u.holds[key].until = time.Time{}
		u.holds[key].fence = max(u.holds[key].fence, o.Fence)
	}
	u.log(event{What: "release", From: o.From, To: o.Target, Fence: o.Fence})
	u.mutex.Unlock()
	for u.isBusy(o) && r.Context().Err() == nil {
		time.Sleep(2 * time.Millisecond)
	}
	u.mutex.Lock()
	u.log(event{What: "released", From: o.From, To: o.Target, Fence: o.Fence})
	u.mutex.Unlock()
	w.Header().Set("Handover", fmt.Sprintf("%x-%x-%x", u.born, o.Fence, time.Now().UnixNano()))
}

func (u *upstream) isBusy(o order) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if u.busy[key] > 0 {
			return true
		}
	}
	return false
}

func (u *upstream) writeLoad(w http.ResponseWriter) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.options.Slots))
}

// signature is the Response-Signature of an answer, which depends on the request only.
func signature(attempt, target string) string {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, attempt+" "+target)
	return strconv.FormatUint(hash.Sum64(), 16)
}

// answerBody is the body of an answer.
func answerBody(attempt, target string) string {
	return "answer to " + attempt + " " + signature(attempt, target) + "\n"
}

func hashBody(body []byte) string {
	hash := fnv.New64a()
	_, _ = hash.Write(body)
	return strconv.FormatUint(hash.Sum64(), 16)
}

func (u *upstream) reject(w http.ResponseWriter, status int) {
	u.writeLoad(w)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if attempt == "" {
		u.reject(w, http.StatusBadRequest)
		return
	}
	u.mutex.Lock()
	full := u.waiting >= u.options.Queue
	if !full {
		u.waiting++
	}
	u.mutex.Unlock()
	if full {
		u.reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		u.mutex.Lock()
		u.waiting--
		u.mutex.Unlock()
		return
	}
	defer func() { <-u.slots }()
	key := -1
	if u.options.Keyed {
		if key, err = strconv.Atoi(r.Header.Get("Shard-Key")); err != nil || key < 0 || key >= keyCount {
			key = 0
		}
	}
	e := event{Attempt: attempt, Method: r.Method, Target: r.URL.RequestURI(), Body: hashBody(body), Key: key}
	u.mutex.Lock()
	u.waiting--
	held := key < 0 || time.Now().Before(u.holds[key].until)
	if held {
		u.running++
		if key >= 0 {
			u.busy[key]++
			e.Fence = u.holds[key].fence
		}
		e.What = "run"
	} else {
		e.What = "unheld"
	}
	u.log(e)
	u.mutex.Unlock()
	if !held {
		u.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if u.options.Deadly != "" && r.URL.Path == u.options.Deadly {
		time.Sleep(u.options.CrashAfter)
		u.mutex.Lock()
		u.log(event{What: "crash", Attempt: attempt, Target: r.URL.RequestURI()})
		os.Exit(1)
	}
	cut := false
	select {
	case <-time.After(u.options.Work):
	case <-r.Context().Done():
		cut = true
	}
	u.mutex.Lock()
	u.running--
	if key >= 0 {
		u.busy[key]--
	}
	e.What = "done"
	if cut {
		e.What = "cut"
	}
	u.log(e)
	u.mutex.Unlock()
	if cut {
		return
	}
	u.writeLoad(w)
	w.Header().Set("Response-Signature", signature(attempt, r.URL.RequestURI()))
	_, _ = io.WriteString(w, answerBody(attempt, r.URL.RequestURI()))
}
