// Package peerer holds the WebSocket connections between hosts.
//
// Two classes of connections exist: relay connections form the tree over which items are distributed, control
// connections carry the messages between a controller, its witnesses and its admission hosts. Each connection has one
// reading and one writing goroutine, joined to the rest of the process by a bounded ring. When the ring of a relay
// connection is full, the connection is closed and its peer synchronises anew; when the ring of a control connection is
// full, the message is dropped, because every control message is repeated.
//
// # Usage
//
//	p := peerer.New(options)
//	mux.Handle("/peer/", p.Handler())
//	p.Dial("host-2", "127.0.0.1:8081", peerer.Relay)
//	p.Send("host-2", peerer.Relay, data)
package messenger

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// Class is the purpose of a connection.
type Class string

// Classes of connections.
const (
	Relay   Class = "relay"
	Control Class = "control"
)

const (
	ringSize = 512
	// waitingSize bounds the control messages that wait for a connection. Without them the first message of an election
	// would be lost, which delays a takeover by 0.3 s.
	waitingSize     = 16
	writeTimeout    = 2 * time.Second
	dialTimeout     = time.Second
	maxMessageBytes = 4 << 20
	// The relayer notices silence on relay connections by itself. On a control connection TCP alone would notice a peer
	// that vanished without closing it only after minutes, during which every message to the restarted peer is lost.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second

	headerPeer = "Rhubarbtrack-Peer"
)

// Options of a Peerer. The callbacks are called from the reading goroutines and must not block for long.
type Options struct {
	Self         string
	Secret       string // shared by all hosts
	Scheme       string // ws or wss
	Transport    http.RoundTripper
	Verify       func(r *http.Request, name string) bool // of the certificate of a peer
	OnConnect    func(peer string, class Class, outbound bool)
	OnDisconnect func(peer string, class Class)
	OnMessage    func(peer string, class Class, data []byte)
	OnRejected   func(address string)
	OnDropped    func(peer string, class Class) // a full ring
}

type key struct {
	peer  string
	class Class
}

type connection struct {
	key      key
	outbound bool
	socket   *websocket.Conn
	ring     chan []byte
	ctx      context.Context
	cancel   context.CancelFunc
}

// Messenger is safe for concurrent use.
type Messenger struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	// reports is held from a change of connections until it is reported, so that Up and Down are called in the order of
	// the changes. It is locked before mu.
	reports sync.Mutex

	mu          sync.Mutex
	connections map[key]*connection
	dialling    map[key][][]byte // messages that wait for the connection
}

// New returns a Peerer without connections.
func New(options Options) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		options:     options,
		ctx:         ctx,
		cancel:      cancel,
		connections: map[key]*connection{},
		dialling:    map[key][][]byte{},
	}
}

// Close ends all connections and waits for their goroutines.
func (p *Messenger) Close() {
	p.mu.Lock()
	p.cancel() // under the mutex, so that no goroutine is added after Wait
	p.mu.Unlock()
	p.wait.Wait()
}

// begin counts a goroutine for which Close waits. It reports false after Close.
func (p *Messenger) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.wait.Add(1)
	return true
}

// Handler accepts connections of other hosts below /peer/.
func (p *Messenger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/relay", func(w http.ResponseWriter, r *http.Request) { p.accept(w, r, Relay) })
	mux.HandleFunc("GET /peer/control", func(w http.ResponseWriter, r *http.Request) { p.accept(w, r, Control) })
	return mux
}

// Authorized reports whether a request comes from a host of the system.
func (p *Messenger) Authorized(r *http.Request) bool {
	// An empty secret, which the settings allow on loopback only, loses the space before it on the wire.
	want := strings.TrimSpace("Bearer " + p.options.Secret)
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		return false
	}
	return p.options.Verify(r, r.Header.Get(headerPeer))
}

// Authorize marks a request as coming from this host.
func (p *Messenger) Authorize(header http.Header) {
	header.Set("Authorization", "Bearer "+p.options.Secret)
	header.Set(headerPeer, p.options.Self)
}

func (p *Messenger) accept(w http.ResponseWriter, r *http.Request, class Class) {
	peer := r.Header.Get(headerPeer)
	if !p.Authorized(r) || peer == "" || len(peer) > 63 {
		p.options.OnRejected(r.RemoteAddr)
		http.Error(w, "not a host of this system", http.StatusForbidden)
		return
	}
	if !p.begin() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	defer p.wait.Done()
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	p.run(key{peer: peer, class: class}, socket, false)
}

// Dial connects to a peer in the background. A failure is reported as Down, unless the peer has connected in the
// meantime. A connection attempt that is already under way is not repeated.
func (p *Messenger) Dial(peer, address string, class Class) {
	k := key{peer: peer, class: class}
	p.mu.Lock()
	_, busy := p.dialling[k]
	busy = busy || p.connections[k] != nil || p.ctx.Err() != nil
	if !busy {
		p.dialling[k] = nil
		p.wait.Add(1)
	}
	p.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer p.wait.Done()
		p.dial(k, address)
	}()
}

func (p *Messenger) dial(k key, address string) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	p.Authorize(header)
	url := p.options.Scheme + "://" + address + "/peer/" + string(k.class)
	socket, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: p.options.Transport},
		HTTPHeader: header,
	})
	if err != nil {
		p.dialFailed(k)
		return
	}
	p.run(k, socket, true)
}

func (p *Messenger) dialFailed(k key) {
	p.reports.Lock()
	defer p.reports.Unlock()
	p.mu.Lock()
	delete(p.dialling, k)
	connected := p.connections[k] != nil
	p.mu.Unlock()
	if !connected {
		p.options.OnDisconnect(k.peer, k.class)
	}
}

// run serves a connection until it ends.
func (p *Messenger) run(k key, socket *websocket.Conn, outbound bool) {
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	c := &connection{
		key: k, outbound: outbound, socket: socket, ring: make(chan []byte, ringSize), ctx: ctx, cancel: cancel,
	}
	if !p.register(c) {
		return
	}
	defer p.unregister(c)
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		c.write(ctx)
	}()
	if k.class == Control {
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			c.probe(ctx)
		}()
	}
	for {
		kind, data, err := socket.Read(ctx)
		if err != nil || kind != websocket.MessageBinary {
			return
		}
		p.options.OnMessage(k.peer, k.class, data)
	}
}

// register makes a connection the one that is used for its peer and class. It reports false when the present one stays.
func (p *Messenger) register(c *connection) bool {
	p.reports.Lock()
	defer p.reports.Unlock()
	p.mu.Lock()
	waiting := p.dialling[c.key]
	delete(p.dialling, c.key)
	previous := p.connections[c.key]
	if p.keeps(previous, c) {
		p.mu.Unlock()
		for _, data := range waiting {
			p.queue(previous, data)
		}
		return false
	}
	p.connections[c.key] = c
	for _, data := range waiting {
		c.ring <- data // at most waitingSize messages, which fit the ring
	}
	p.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	p.options.OnConnect(c.key.peer, c.key.class, c.outbound)
	return true
}

// keeps reports whether the present connection to a peer stays when another one is made. When two hosts dial each other
// at the same time, both must keep the same connection: the one that the host with the lesser name dialled. A connection
// of the same direction replaces the present one, which its dialler has given up.
func (p *Messenger) keeps(present, next *connection) bool {
	if present == nil || present.ctx.Err() != nil || present.outbound == next.outbound {
		return false
	}
	return present.outbound == (p.options.Self < next.key.peer)
}

func (p *Messenger) unregister(c *connection) {
	c.cancel()
	p.reports.Lock()
	defer p.reports.Unlock()
	p.mu.Lock()
	current := p.connections[c.key] == c
	if current {
		delete(p.connections, c.key)
	}
	p.mu.Unlock()
	if current {
		p.options.OnDisconnect(c.key.peer, c.key.class)
	}
}

// probe closes the connection when its peer is silent.
func (c *connection) probe(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := c.socket.Ping(pingCtx)
		cancel()
		if err != nil {
			c.cancel()
			return
		}
	}
}

func (c *connection) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-c.ring:
			writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := c.socket.Write(writeCtx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				c.cancel()
				return
			}
		}
	}
}

// Send queues a message for a peer. It reports false when there is no connection, or its ring is full. A control message
// may wait for a connection that is being dialled.
func (p *Messenger) Send(peer string, class Class, data []byte) bool {
	p.mu.Lock()
	k := key{peer: peer, class: class}
	c := p.connections[k]
	waiting, dialling := p.dialling[k]
	if c == nil && dialling && class == Control && len(waiting) < waitingSize {
		p.dialling[k] = append(waiting, data)
	}
	p.mu.Unlock()
	if c == nil {
		return dialling
	}
	return p.queue(c, data)
}

func (p *Messenger) queue(c *connection, data []byte) bool {
	select {
	case c.ring <- data:
		return true
	default:
	}
	p.options.OnDropped(c.key.peer, c.key.class)
	if c.key.class == Relay {
		c.cancel()
	}
	return false
}

// Connected reports whether there is a connection to a peer.
func (p *Messenger) Connected(peer string, class Class) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[key{peer: peer, class: class}] != nil
}

// Disconnect closes the connection to a peer.
func (p *Messenger) Disconnect(peer string, class Class) {
	p.mu.Lock()
	c := p.connections[key{peer: peer, class: class}]
	p.mu.Unlock()
	if c != nil {
		c.cancel()
	}
}
