// Package messenger maintains the WebSocket connections between hosts and sends messages over them.
//
// There are two classes of connections. Relay connections form the tree over which items are distributed. Control
// connections carry messages between a controller, its witnesses and its admission hosts. Two hosts keep at most one
// connection of each class between them.
//
// Each connection has a reading goroutine and a writing goroutine with a bounded queue. When the queue of a relay
// connection is full, the connection is closed, because the peer synchronizes again after it reconnects. When the queue
// of a control connection is full, the message is dropped, because every control message is repeated.
//
// # Usage
//
//	m := messenger.New(options)
//	mux.Handle("/peer/", m.Handler())
//	m.Dial("host-2", "127.0.0.1:8081", messenger.Relay)
//	m.Send("host-2", messenger.Relay, data)
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
	queueSize = 512
	// maxPendingMessages limits the control messages to a peer that wait while it is dialled. If they were dropped, the
	// first message of an election would be lost, which delays a takeover by 0.3 s.
	maxPendingMessages = 16
	writeTimeout       = 2 * time.Second
	dialTimeout        = time.Second
	maxMessageBytes    = 4 << 20
	// Control connections are pinged because TCP detects a peer that disappeared without closing the connection only after
	// minutes, during which every message to the restarted peer is lost. Relay connections need no pings: the relayer has
	// its own timeout.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second

	headerPeer = "Rhubarbtrack-Peer"
)

// Options configure a Messenger. The callbacks are called from the goroutines of the connections, OnDropped from Send
// too. They must not block for long, because the connection is not read in the meantime.
type Options struct {
	Self         string
	Secret       string // shared by all hosts
	Scheme       string // ws or wss
	Transport    http.RoundTripper
	Verify       func(r *http.Request, name string) bool // checks that the certificate of a peer belongs to name
	OnConnect    func(peer string, class Class, outbound bool)
	OnDisconnect func(peer string, class Class)
	OnMessage    func(peer string, class Class, data []byte)
	OnRejected   func(address string)
	OnDropped    func(peer string, class Class) // the queue was full
}

type key struct {
	peer  string
	class Class
}

type connection struct {
	key      key
	outbound bool
	socket   *websocket.Conn
	queue    chan []byte
	ctx      context.Context
	cancel   context.CancelFunc
}

// Messenger is safe for concurrent use.
type Messenger struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// callbackMu is held from a change of connections until its callback returns, so that OnConnect and OnDisconnect are
	// called in the order of the changes. It is locked before mu.
	callbackMu sync.Mutex

	mu          sync.Mutex
	connections map[key]*connection
	dialling    map[key][][]byte // pending control messages by connection that is being dialled
}

// New returns a Messenger without connections. Close releases it.
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

// Close closes all connections and waits for their goroutines. No callback is called after it returns.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.cancel() // under mu, so that addGoroutine adds none after Wait
	m.mu.Unlock()
	m.goroutines.Wait()
}

// addGoroutine adds a goroutine that Close waits for. It reports false after Close.
func (m *Messenger) addGoroutine() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.goroutines.Add(1)
	return true
}

// Handler accepts connections from other hosts at /peer/relay and /peer/control.
func (m *Messenger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/relay", func(w http.ResponseWriter, r *http.Request) { m.accept(w, r, Relay) })
	mux.HandleFunc("GET /peer/control", func(w http.ResponseWriter, r *http.Request) { m.accept(w, r, Control) })
	return mux
}

// Authorized reports whether a request has the secret of the hosts and the certificate of the host that it names.
func (m *Messenger) Authorized(r *http.Request) bool {
	// With an empty secret, which the settings permit only on loopback, the trailing space is lost in transit.
	want := strings.TrimSpace("Bearer " + m.options.Secret)
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		return false
	}
	return m.options.Verify(r, r.Header.Get(headerPeer))
}

// Authorize sets the secret of the hosts and the name of this host in the header of a request.
func (m *Messenger) Authorize(header http.Header) {
	header.Set("Authorization", "Bearer "+m.options.Secret)
	header.Set(headerPeer, m.options.Self)
}

func (m *Messenger) accept(w http.ResponseWriter, r *http.Request, class Class) {
	peer := r.Header.Get(headerPeer)
	if !m.Authorized(r) || peer == "" || len(peer) > 63 {
		m.options.OnRejected(r.RemoteAddr)
		http.Error(w, "not a host of this system", http.StatusForbidden)
		return
	}
	if !m.addGoroutine() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	defer m.goroutines.Done()
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	m.run(key{peer: peer, class: class}, socket, false)
}

// Dial connects to a peer in the background, unless a connection of the class exists or is being dialled. On failure it
// calls OnDisconnect, unless the peer has connected in the meantime.
func (m *Messenger) Dial(peer, address string, class Class) {
	k := key{peer: peer, class: class}
	m.mu.Lock()
	_, busy := m.dialling[k]
	busy = busy || m.connections[k] != nil || m.ctx.Err() != nil
	if !busy {
		m.dialling[k] = nil
		m.goroutines.Add(1)
	}
	m.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer m.goroutines.Done()
		m.dial(k, address)
	}()
}

func (m *Messenger) dial(k key, address string) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	m.Authorize(header)
	url := m.options.Scheme + "://" + address + "/peer/" + string(k.class)
	socket, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: m.options.Transport},
		HTTPHeader: header,
	})
	if err != nil {
		m.dialFailed(k)
		return
	}
	m.run(k, socket, true)
}

func (m *Messenger) dialFailed(k key) {
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	m.mu.Lock()
	delete(m.dialling, k)
	connected := m.connections[k] != nil
	m.mu.Unlock()
	if !connected {
		m.options.OnDisconnect(k.peer, k.class)
	}
}

// run reads messages from a connection until it is closed.
func (m *Messenger) run(k key, socket *websocket.Conn, outbound bool) {
	defer func() { _ = socket.CloseNow() }()
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	c := &connection{
		key: k, outbound: outbound, socket: socket, queue: make(chan []byte, queueSize), ctx: ctx, cancel: cancel,
	}
	if !m.register(c) {
		return
	}
	defer m.unregister(c)
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		c.write(ctx)
	}()
	if k.class == Control {
		m.goroutines.Add(1)
		go func() {
			defer m.goroutines.Done()
			c.ping(ctx)
		}()
	}
	for {
		kind, data, err := socket.Read(ctx)
		if err != nil || kind != websocket.MessageBinary {
			return
		}
		m.options.OnMessage(k.peer, k.class, data)
	}
}

// register makes c the connection to its peer and closes the previous one. It reports false if the previous one is
// kept.
func (m *Messenger) register(c *connection) bool {
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	m.mu.Lock()
	waiting := m.dialling[c.key]
	delete(m.dialling, c.key)
	previous := m.connections[c.key]
	if m.keepsPresent(previous, c) {
		m.mu.Unlock()
		for _, data := range waiting {
			m.enqueue(previous, data)
		}
		return false
	}
	m.connections[c.key] = c
	for _, data := range waiting {
		c.queue <- data // does not block: maxPendingMessages < queueSize
	}
	m.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	m.options.OnConnect(c.key.peer, c.key.class, c.outbound)
	return true
}

// keepsPresent reports whether the present connection to a peer is kept when another one is established. When two hosts
// dial each other at the same time, both must keep the same connection: the one dialled by the host whose name sorts
// first. A new connection in the same direction replaces the present one, because the host that dialled no longer uses
// that one.
func (m *Messenger) keepsPresent(present, next *connection) bool {
	if present == nil || present.ctx.Err() != nil || present.outbound == next.outbound {
		return false
	}
	return present.outbound == (m.options.Self < next.key.peer)
}

func (m *Messenger) unregister(c *connection) {
	c.cancel()
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	m.mu.Lock()
	current := m.connections[c.key] == c
	if current {
		delete(m.connections, c.key)
	}
	m.mu.Unlock()
	if current {
		m.options.OnDisconnect(c.key.peer, c.key.class)
	}
}

// ping closes the connection when its peer does not respond to a ping within pingTimeout.
func (c *connection) ping(ctx context.Context) {
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
		case data := <-c.queue:
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

// Send queues a message for a peer. It reports false if there is no connection or its queue is full. While the peer is
// being dialled, Send reports true: control messages wait for the connection, up to maxPendingMessages, and other
// messages are dropped.
func (m *Messenger) Send(peer string, class Class, data []byte) bool {
	m.mu.Lock()
	k := key{peer: peer, class: class}
	c := m.connections[k]
	waiting, dialling := m.dialling[k]
	if c == nil && dialling && class == Control && len(waiting) < maxPendingMessages {
		m.dialling[k] = append(waiting, data)
	}
	m.mu.Unlock()
	if c == nil {
		return dialling
	}
	return m.enqueue(c, data)
}

func (m *Messenger) enqueue(c *connection, data []byte) bool {
	select {
	case c.queue <- data:
		return true
	default:
	}
	m.options.OnDropped(c.key.peer, c.key.class)
	if c.key.class == Relay {
		c.cancel()
	}
	return false
}

// Connected reports whether there is a connection of the class to a peer.
func (m *Messenger) Connected(peer string, class Class) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connections[key{peer: peer, class: class}] != nil
}

// Disconnect closes the connection of the class to a peer, if there is one.
func (m *Messenger) Disconnect(peer string, class Class) {
	m.mu.Lock()
	c := m.connections[key{peer: peer, class: class}]
	m.mu.Unlock()
	if c != nil {
		c.cancel()
	}
}
