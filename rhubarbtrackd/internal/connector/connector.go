// Package connector connects every host with the controller over a WebSocket.
//
// Hosts report the keys of their requests and the load of upstreams. The controller sends heartbeats with the ownership
// tables, its copy of the store, and the observations of the other hosts.
//
// Each side closes a connection on which nothing arrives for heartbeatTimeout, and the host then connects again. The
// controller sends changes only, so it starts every new connection with the full state. If another process accepts the
// connection at the address of the controller, the process of the controller has stopped.
//
// # Usage
//
//	hub := connector.NewHub(host, onReport, onDisconnect) // on every host; used while it is the controller
//	mux.Handle(connector.Path, hub)
//	for _, peer := range hub.Peers() {
//		hub.Send(now, peer, heartbeat)
//	}
//
//	client := connector.NewClient(options) // on every host
//	go client.Run(ctx)
package connector

import (
	"context"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"rhubarbtrack.example/platform/transporter"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
)

// HostHeader is the response header with the name of the process that accepts a connection.
const HostHeader = "Rhubarbtrack-Host"

// Path is the HTTP path at which a host accepts connections of other hosts.
const Path = "/rhubarbtrack/link"

const (
	// ReportInterval is the time between two reports, and between two heartbeats. It is short because the load of
	// upstreams changes several times a second.
	ReportInterval = 200 * time.Millisecond
	// heartbeatTimeout is how long either side waits for a message before it closes the connection.
	heartbeatTimeout = 900 * time.Millisecond
	// soonDelay is the delay of a report that must not wait for ReportInterval. The observations of the other requests that
	// were in flight at the same upstream arrive meanwhile.
	soonDelay    = 10 * time.Millisecond
	writeTimeout = 500 * time.Millisecond
	// dialTimeout bounds the first attempt to connect to the controller. It doubles with each attempt that times out, up to maxDialTimeout,
	// because over a full link a handshake may take longer each time.
	dialTimeout    = 700 * time.Millisecond
	maxDialTimeout = 2800 * time.Millisecond
	// connectTimeout is the part of it for the TCP connection. A connection request that is lost is sent again after 1 s, then after 2 s.
	connectTimeout = 1400 * time.Millisecond
	redialDelay    = 200 * time.Millisecond
	// maxHeadBytes bounds the head of a response of another host.
	maxHeadBytes = 16 << 10
	// maxMessage bounds a message in bytes. The full state for 20,000 upstreams fits.
	maxMessage = 4 << 20
	// maxQueued bounds the heartbeats queued for one host. When the queue is full, the connection is closed, and the host
	// receives the full table when it connects again.
	maxQueued = 16
)

// Peer is the controller's side of the connection of one host.
type Peer struct {
	Host    string
	Address string // at which the host accepts other hosts
	conn    *websocket.Conn
	queue   chan []byte
	mutex   sync.Mutex
	echo    echo
	unpacks bool // the host decodes packed loads
	names   namesSent
}

// echo is the time at which a host sent its last report, on its clock, and the time of the receipt.
type echo struct {
	sentAt     time.Duration
	receivedAt time.Time
}

func (p *Peer) recordReport(report Report) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.echo = echo{report.SentAt, time.Now()}
	p.unpacks = report.PackedLoads
}

// pack replaces the loads of a heartbeat by packed ones if the host decodes these.
func (p *Peer) pack(heartbeat *Heartbeat) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.unpacks && heartbeat.Packed != nil {
		heartbeat.Loads, heartbeat.packed = nil, p.names.take(heartbeat.Packed)
	}
}

// StampEcho sets Echo and EchoAge of a heartbeat. Ages that are read afterwards count at the host from that time at the latest, also
// if the process stands still before the heartbeat is sent.
func (p *Peer) StampEcho(heartbeat *Heartbeat) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.echo.sentAt > 0 {
		heartbeat.Echo, heartbeat.EchoAge = p.echo.sentAt, time.Since(p.echo.receivedAt)
	}
}

// Hub accepts the connections of hosts on the controller's side. It is safe for concurrent use.
type Hub struct {
	host         string
	onReport     func(peer *Peer, report Report)
	onDisconnect func(peer *Peer, err error)
	// CountBytes is called with the size of each message, sent or received. It may be nil, and is set before the first connection.
	CountBytes func(sent, received int)
	mutex      sync.Mutex
	peers      map[*Peer]bool
	sent       atomic.Int64 // bytes of heartbeats since the last call of TakeSent
}

func count(f func(sent, received int), sent, received int) {
	if f != nil {
		f(sent, received)
	}
}

// NewHub returns a hub without hosts. A host becomes a peer with its first report, so no heartbeat precedes that
// report. onDisconnect is called with the cause when a connection ends, also for one without any report.
func NewHub(host string, onReport func(*Peer, Report), onDisconnect func(*Peer, error)) *Hub {
	return &Hub{host: host, onReport: onReport, onDisconnect: onDisconnect, peers: map[*Peer]bool{}}
}

// Peers returns the connected hosts, sorted by name.
func (h *Hub) Peers() []*Peer {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	peers := make([]*Peer, 0, len(h.peers))
	for peer := range h.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Host < peers[j].Host })
	return peers
}

// frameOverhead is the size of the heads around a message: WebSocket, TCP, IP and the link.
const frameOverhead = 70

// Send queues a heartbeat for a host, which has been stamped by Peer.StampEcho. It does not block. If the queue is full, it closes
// the connection and returns an error.
func (h *Hub) Send(now time.Duration, peer *Peer, heartbeat Heartbeat) error {
	peer.pack(&heartbeat)
	data, err := encodeHeartbeat(now, heartbeat, peer.conn.Subprotocol() == subprotocol)
	if err != nil {
		return err
	}
	select {
	case peer.queue <- data:
		h.sent.Add(int64(len(data) + frameOverhead))
		count(h.CountBytes, len(data), 0)
		return nil
	default:
		_ = peer.conn.CloseNow()
		return &Error{"send-heartbeat", Disconnected, context.DeadlineExceeded}
	}
}

// TakeSent returns the bytes that heartbeats since its last call take on the link.
func (h *Hub) TakeSent() int { return int(h.sent.Swap(0)) }

// ServeHTTP accepts the connection of a host.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HostHeader, h.host)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		h.onDisconnect(&Peer{}, &Error{"accept", Disconnected, err})
		return
	}
	conn.SetReadLimit(maxMessage)
	defer func() { _ = conn.CloseNow() }()
	peer := &Peer{conn: conn, queue: make(chan []byte, maxQueued)}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go peer.write(ctx)
	err = error(&Error{"receive", Disconnected, errors.New("the report could not be handled")})
	defer func() { h.remove(peer, err) }() // also after a panic
	err = h.serve(ctx, peer)
}

// serve handles the reports of a host until its connection fails.
func (h *Hub) serve(ctx context.Context, peer *Peer) error {
	for {
		data, err := receive(ctx, peer.conn)
		if err != nil {
			return &Error{"receive", Disconnected, err}
		}
		count(h.CountBytes, 0, len(data))
		report, err := decodeReport(data)
		if err != nil {
			return err
		}
		peer.recordReport(report)
		h.add(peer, report)
		h.onReport(peer, report)
	}
}

func (h *Hub) add(peer *Peer, report Report) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.peers[peer] {
		peer.Host, peer.Address = report.Host, report.Address
		h.peers[peer] = true
	}
}

func (h *Hub) remove(peer *Peer, err error) {
	h.mutex.Lock()
	delete(h.peers, peer)
	h.mutex.Unlock()
	h.onDisconnect(peer, err)
}

func (p *Peer) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-p.queue:
			if err := send(ctx, p.conn, data); err != nil {
				_ = p.conn.CloseNow()
				return
			}
		}
	}
}

// receive waits for one message, for at most heartbeatTimeout.
func receive(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	return data, err
}

func send(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// linkClient opens connections to the controller.
var linkClient = &http.Client{Transport: transporter.New(&http.Transport{
	DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, MaxResponseHeaderBytes: maxHeadBytes,
})}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Leader returns the name and the address of the controller, or empty strings when it is unknown or is this host.
	Leader func() (host, address string)
	// OnAddressReused is called when another process accepts the connection at the address of the controller. The
	// process of the controller has therefore stopped.
	OnAddressReused func(host string)
	// Report returns the observations since the last report.
	Report func() Report
	// ReportSoon delivers a value when a report must not wait for ReportInterval. It may be nil.
	ReportSoon <-chan struct{}
	// OnHeartbeat is called with each heartbeat, in order of arrival.
	OnHeartbeat func(heartbeat Heartbeat)
	// OnDisconnect is called with the cause when a connection ends or cannot be made.
	OnDisconnect func(address string, err error)
	// OnConnect is called after a connection was made.
	OnConnect func(address string)
	// CountBytes is called with the size of each message, sent or received. It may be nil.
	CountBytes func(sent, received int)
	Now        func() time.Duration
	// Panics contains panics in the handling of a connection, which then ends.
	Panics *recoverer.Recoverer
}

// Client connects a host that is not the controller with the controller.
type Client struct{ options ClientOptions }

// NewClient returns a client that connects when Run is called.
func NewClient(options ClientOptions) *Client { return &Client{options} }

// Run maintains a connection to the controller until ctx is done.
func (c *Client) Run(ctx context.Context) {
	timeout := dialTimeout
	for ctx.Err() == nil {
		host, address := c.options.Leader()
		if address != "" {
			err := error(&Error{"receive", Disconnected, errors.New("a message could not be handled")})
			c.options.Panics.Do("follow-controller", func() { err = c.serve(ctx, host, address, timeout) })
			if ctx.Err() == nil && err != nil {
				c.options.OnDisconnect(address, err)
			}
			timeout = nextDialTimeout(timeout, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// nextDialTimeout returns the timeout of the next attempt to connect, after one that ended with err.
func nextDialTimeout(last time.Duration, err error) time.Duration {
	var typed *Error
	if errors.As(err, &typed) && typed.Kind == TimedOut {
		return min(2*last, maxDialTimeout)
	}
	return dialTimeout
}

// dial connects to the controller. It ends after the timeout, and when another host becomes controller.
func (c *Client) dial(ctx context.Context, host, address string, timeout time.Duration) (*websocket.Conn, *http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	go func() {
		ticker := time.NewTicker(ReportInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			if leader, _ := c.options.Leader(); leader != host {
				cancel()
			}
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: linkClient, Subprotocols: []string{subprotocol}})
	var network net.Error
	switch {
	case err == nil:
		return conn, response, nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return nil, nil, &Error{"dial " + address, TimedOut, err}
	}
	return nil, nil, &Error{"dial " + address, Disconnected, err}
}

// serve connects to the controller within timeout, and exchanges messages with it until the connection ends.
func (c *Client) serve(ctx context.Context, host, address string, timeout time.Duration) error {
	conn, response, err := c.dial(ctx, host, address, timeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	if other := response.Header.Get(HostHeader); other != host {
		c.options.OnAddressReused(host)
		return &Error{"dial " + address, Disconnected, errors.Newf("got host %q, want %q", other, host)}
	}
	conn.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.options.OnConnect(address)
	go func() {
		if !c.options.Panics.Do("report", func() { c.report(ctx, cancel, conn, host) }) {
			cancel(errors.New("the report could not be made"))
		}
	}()
	var packed unpacker
	for {
		data, err := receive(ctx, conn)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if err != nil {
			return &Error{"receive", Disconnected, err}
		}
		count(c.options.CountBytes, 0, len(data))
		now := c.options.Now()
		heartbeat, err := decodeHeartbeat(now, data)
		if err != nil {
			return err
		}
		if err := heartbeat.unpack(&packed); err != nil {
			return err
		}
		heartbeat.MadeAt = heartbeat.madeAt(now)
		heartbeat.Copy.MadeAt = heartbeat.MadeAt
		c.options.OnHeartbeat(heartbeat)
	}
}

// unpack decodes the packed loads of a heartbeat.
func (h *Heartbeat) unpack(packed *unpacker) error {
	if len(h.packed) == 0 {
		return nil
	}
	loads, runTimes, err := packed.unpack(h.packed)
	if err != nil {
		return &Error{"unpack-loads", Unreadable, err}
	}
	h.unpacked = &unpackedLoads{loads, runTimes}
	return nil
}

// madeAt returns the earliest time at which the heartbeat may have been made, on the clock of the host that received it at now.
// A heartbeat that waits in a queue or in transit is older than its receipt.
func (h *Heartbeat) madeAt(now time.Duration) time.Duration {
	if h.Echo == 0 {
		return now
	}
	return min(now, h.Echo+h.EchoAge)
}

// report sends reports until the connection ends or another host becomes controller.
func (c *Client) report(ctx context.Context, cancel context.CancelCauseFunc, conn *websocket.Conn, host string) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		if leader, _ := c.options.Leader(); leader != host {
			cancel(errors.New("controller changed to another host"))
			return
		}
		report := c.options.Report()
		report.SentAt, report.PackedLoads = c.options.Now(), true
		data, err := encodeReport(report, conn.Subprotocol() == subprotocol)
		if err != nil {
			cancel(err)
			return
		}
		if err := send(ctx, conn, data); err != nil {
			cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.options.ReportSoon:
			time.Sleep(soonDelay)
		}
	}
}
