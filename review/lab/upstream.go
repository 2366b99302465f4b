package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which an upstream writes its entry.
const heartbeat = 500 * time.Millisecond

// UpstreamOptions configures an Upstream.
type UpstreamOptions struct {
	ID      string
	Service string
	Zone    string
	Keyed   bool
	Slots   int
	Quiet   bool // the record does not list the runs
	Terse   bool // the record lists them with the ID only
	// Work returns how long a request runs.
	Work func(r *http.Request) time.Duration
	// Respond replaces the response to a request that was run. It returns false to end the connection. It may be nil.
	Respond func(conn net.Conn, r *http.Request, body []byte) (handled, keep bool)
}

// Run is one request that an upstream has begun to run.
type Run struct {
	Upstream string
	Attempt  string
	Method   string
	Target   string
	Key      int
	Body     int // bytes
	Digest   uint64
	Begin    time.Time
}

// Grant is a change of the keys that an upstream holds. Until is zero if the keys were released.
type Grant struct {
	Upstream string
	From, To int
	Fence    uint64
	At       time.Time
	Until    time.Time
}

type hold struct {
	fence uint64
	until time.Time
}

// Upstream is a stand-in for a server of the platform. It runs requests, checks keys and serves grants and releases.
type Upstream struct {
	Options  UpstreamOptions
	Address  string
	lab      *Lab
	listener net.Listener
	born     int64
	mutex    sync.Mutex
	holds    [1 << 16]hold
	busy     [1 << 16]int16
	runs     []Run
	grants   []Grant
	gone     bool
	goneAt   time.Time
	replaced bool // by another life with the same ID
	stop     chan struct{}
	conns    map[net.Conn]bool
}

// StartUpstream starts an upstream at a new address and registers it in the store.
func (l *Lab) StartUpstream(options UpstreamOptions) (*Upstream, error) {
	return l.StartUpstreamAt(l.NextIP()+":0", options)
}

// StartUpstreamAt is like StartUpstream, at the given address.
func (l *Lab) StartUpstreamAt(address string, options UpstreamOptions) (*Upstream, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if options.Slots == 0 {
		options.Slots = 6
	}
	u := &Upstream{
		Options: options, Address: listener.Addr().String(), lab: l, listener: listener, born: time.Now().UnixMilli(),
		stop: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	go u.accept()
	go u.register()
	l.OnClose(u.Stop)
	l.Printf("upstream %s: listens on %s for %s", options.ID, u.Address, options.Service)
	return u, nil
}

// Stop ends the upstream like a crash: its listener and its connections are closed, and it writes no more.
func (u *Upstream) Stop() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.gone {
		return
	}
	u.gone, u.goneAt = true, time.Now()
	close(u.stop)
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
}

// Crash stops the upstream. The store removes its entry after three heartbeat intervals of silence.
func (u *Upstream) Crash() {
	u.lab.Printf("upstream %s: crashes", u.Options.ID)
	u.Stop()
	time.AfterFunc(3*heartbeat, func() {
		u.mutex.Lock()
		replaced := u.replaced
		u.mutex.Unlock()
		if !replaced {
			u.lab.Store.Delete("servers", u.Options.ID)
		}
	})
}

// Restart starts the next life of an upstream that has crashed, with the same ID and address.
func (u *Upstream) Restart() (*Upstream, error) {
	u.mutex.Lock()
	u.replaced = true
	u.mutex.Unlock()
	return u.lab.StartUpstreamAt(u.Address, u.Options)
}

// Grants returns all changes of the keys that the upstream has held.
func (u *Upstream) Grants() []Grant {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]Grant(nil), u.grants...)
}

// Name returns the ID of the upstream and the start of this life.
func (u *Upstream) Name() string { return fmt.Sprintf("%s/%d", u.Options.ID, u.born) }

// Holds reports whether the upstream holds a key now.
func (u *Upstream) Holds(key int) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return time.Now().Before(u.holds[key].until)
}

// Runs returns the requests that the upstream has begun to run.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]Run(nil), u.runs...)
}

func (u *Upstream) register() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		entry := map[string]any{
			"address": u.Address, "born": u.born,
			"information": map[string]any{"service": u.Options.Service, "version": "v1", "zone": u.Options.Zone, "slots": u.Options.Slots},
			"status":      map[string]any{"state": "ready", "sequence": 0, "warmup_left_s": 0},
		}
		u.lab.Store.Put("servers", u.Options.ID, entry, entry["status"])
		select {
		case <-u.stop:
			return
		case <-ticker.C:
		}
	}
}

func (u *Upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mutex.Lock()
		u.conns[conn] = true
		u.mutex.Unlock()
		go func() {
			u.serve(conn)
			_ = conn.Close()
			u.mutex.Lock()
			delete(u.conns, conn)
			u.mutex.Unlock()
		}()
	}
}

func (u *Upstream) serve(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			u.lab.Printf("upstream %s: request %s ends early after %d bytes of its body", u.Options.ID, r.Header.Get("Attempt-Id"), len(body))
			return
		}
		if !u.handle(conn, r, body) {
			return
		}
	}
}

// Reply writes a response with a body and header lines.
func Reply(conn net.Conn, status int, header [][2]string, body []byte) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range header {
		text += h[0] + ": " + h[1] + "\r\n"
	}
	text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := conn.Write(append([]byte(text), body...))
	return err == nil
}

// ReplyUnframed writes a response that has no length and ends with its connection, which the caller closes.
func ReplyUnframed(conn net.Conn, status int, header [][2]string, body []byte) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range header {
		text += h[0] + ": " + h[1] + "\r\n"
	}
	_, _ = conn.Write(append([]byte(text+"\r\n"), body...)) // fails only if the other side has closed the connection
}

func (u *Upstream) handle(conn net.Conn, r *http.Request, body []byte) bool {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.Options.ID {
		return Reply(conn, http.StatusMisdirectedRequest, nil, nil)
	}
	switch r.URL.Path {
	case "/rhubarbtrack/grant", "/rhubarbtrack/release":
		return u.order(conn, r, body)
	case "/health":
		return Reply(conn, http.StatusOK, [][2]string{{"Backend-Id", u.Options.ID}}, nil)
	}
	return u.run(conn, r, body)
}

// Sign returns the signature and the body of the response to a request.
func Sign(attempt, target string) (string, []byte) {
	digest := fnv.New64a()
	_, _ = io.WriteString(digest, attempt+" "+target) // a hash returns no error
	text := strconv.FormatUint(digest.Sum64(), 16)
	return "s." + text, []byte("answer to " + attempt + " " + text)
}

// Digest returns the digest of a request body that Run holds.
func Digest(body []byte) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func (u *Upstream) run(conn net.Conn, r *http.Request, body []byte) bool {
	attempt := r.Header.Get("Attempt-Id")
	id := [2]string{"Attempt-Id", attempt}
	key := -1
	if u.Options.Keyed {
		parsed, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
		if err != nil {
			return Reply(conn, http.StatusBadRequest, [][2]string{id}, nil)
		}
		key = int(parsed)
	}
	u.mutex.Lock()
	if key >= 0 && !time.Now().Before(u.holds[key].until) {
		u.mutex.Unlock()
		return Reply(conn, http.StatusMisdirectedRequest, [][2]string{id, {"Not-Executed", "1"}}, nil)
	}
	if key >= 0 {
		u.busy[key]++
	}
	u.runs = append(u.runs, Run{u.Options.ID, attempt, r.Method, r.RequestURI, key, len(body), Digest(body), time.Now()})
	u.mutex.Unlock()
	switch {
	case u.Options.Quiet:
	case u.Options.Terse:
		u.lab.Printf("%s runs %s", u.Options.ID, attempt)
	default:
		u.lab.Printf("upstream %s: runs %s %s %s, key %d, %d bytes", u.Options.ID, attempt, r.Method, r.RequestURI, key, len(body))
	}
	if u.Options.Work != nil {
		time.Sleep(u.Options.Work(r))
	}
	if key >= 0 {
		u.mutex.Lock()
		u.busy[key]--
		u.mutex.Unlock()
	}
	if u.Options.Respond != nil {
		if handled, keep := u.Options.Respond(conn, r, body); handled {
			return keep
		}
	}
	signature, answer := Sign(attempt, r.RequestURI)
	return Reply(conn, http.StatusOK, [][2]string{id, {"Response-Signature", signature}}, answer)
}

type order struct {
	From     int     `json:"from"`
	Target   int     `json:"target"`
	Fence    uint64  `json:"fence"`
	Hold     float64 `json:"hold_s"`
	Handover string  `json:"handover"`
}

func (u *Upstream) order(conn net.Conn, r *http.Request, body []byte) bool {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.From < 0 || o.Target >= 1<<16 || o.From > o.Target {
		return Reply(conn, http.StatusBadRequest, nil, nil)
	}
	if r.URL.Path == "/rhubarbtrack/release" {
		u.release(o)
		return Reply(conn, http.StatusOK, [][2]string{{"Handover", fmt.Sprintf("%s-%d-%d", u.Options.ID, o.Fence, time.Now().UnixNano())}}, nil)
	}
	if !u.grant(o) {
		return Reply(conn, http.StatusConflict, nil, nil)
	}
	return Reply(conn, http.StatusOK, nil, nil)
}

func (u *Upstream) grant(o order) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if u.holds[key].fence > o.Fence {
			return false
		}
	}
	until := time.Now().Add(time.Duration(o.Hold * float64(time.Second)))
	for key := o.From; key <= o.Target; key++ {
		u.holds[key] = hold{o.Fence, until}
	}
	u.grants = append(u.grants, Grant{u.Options.ID, o.From, o.Target, o.Fence, time.Now(), until})
	return true
}

func (u *Upstream) release(o order) {
	u.mutex.Lock()
	for key := o.From; key <= o.Target; key++ {
		u.holds[key].until = time.Time{}
	}
	u.grants = append(u.grants, Grant{u.Options.ID, o.From, o.Target, o.Fence, time.Now(), time.Time{}})
	u.mutex.Unlock()
	for {
		running := false
		u.mutex.Lock()
		for key := o.From; key <= o.Target; key++ {
			running = running || u.busy[key] > 0
		}
		u.mutex.Unlock()
		if !running {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}
