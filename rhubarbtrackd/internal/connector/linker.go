// Package linker connects every host with the controller over a WebSocket.
//
// Hosts report which keys are asked for and how loaded upstreams are. The controller answers with beats that carry the
// table of ownership, and what the other hosts have seen.
//
// # Usage
//
//	hub := linker.NewHub(host, onReport, onLeave)   // on every host; used while it is the controller
//	mux.Handle(linker.Path, hub)
//	for _, peer := range hub.Peers() { hub.Send(now, peer, beat) }
//
//	client := linker.NewClient(options)    // on every host
//	go client.Run(ctx)
package connector

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// HostHeader names the process that accepts a connection.
const HostHeader = "Rhubarbtrack-Host"

// Path is where a host accepts connections of other hosts.
const Path = "/rhubarbtrack/link"

const (
	// ReportInterval is the time between two reports, and between two beats. The load of upstreams changes several
	// times a second.
	ReportInterval = 200 * time.Millisecond
	// beatTimeout is how long a host waits for a beat before it takes the connection for lost.
	beatTimeout  = 900 * time.Millisecond
	writeTimeout = 500 * time.Millisecond
	dialTimeout  = 700 * time.Millisecond
	redialDelay  = 200 * time.Millisecond
	// maxMessage bounds a message: a table of 4,000 ranges.
	maxMessage = 256 << 10
	// outbox bounds the beats that wait for one host; when it is full, the connection is closed and the host gets the
	// whole table when it connects again.
	outbox = 16
)

// Peer is a connected host, as the controller sees it.
type Peer struct {
	Host    string
	Address string // where the host accepts others
	conn    *websocket.Conn
	out     chan []byte
}

// Hub is the controller's side. It is safe for concurrent use.
type Hub struct {
	host     string
	onReport func(peer *Peer, report Report)
	onLeave  func(peer *Peer, err error)
	mutex    sync.Mutex
	peers    map[*Peer]bool
}

// NewHub returns a hub without hosts. A peer's first report comes before any beat is sent to it. onLeave is told why a
// connection ended, also of one that never reported.
func NewHub(host string, onReport func(*Peer, Report), onLeave func(*Peer, error)) *Hub {
	return &Hub{host: host, onReport: onReport, onLeave: onLeave, peers: map[*Peer]bool{}}
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

// Send queues a beat for a host.
func (h *Hub) Send(now time.Duration, peer *Peer, beat Heartbeat) error {
	data, err := encodeBeat(now, beat)
	if err != nil {
		return err
	}
	select {
	case peer.out <- data:
		return nil
	default:
		_ = peer.conn.CloseNow()
		return &Error{"send-beat", Disconnected, context.DeadlineExceeded}
	}
}

// ServeHTTP accepts the connection of a host.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HostHeader, h.host)
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.onLeave(&Peer{}, &Error{"accept", Disconnected, err})
		return
	}
	conn.SetReadLimit(maxMessage)
	defer func() { _ = conn.CloseNow() }()
	peer := &Peer{conn: conn, out: make(chan []byte, outbox)}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go peer.write(ctx)
	h.leave(peer, h.serve(ctx, peer))
}

// serve takes the reports of a host until its connection fails.
func (h *Hub) serve(ctx context.Context, peer *Peer) error {
	for {
		data, err := receive(ctx, peer.conn)
		if err != nil {
			return &Error{"receive", Disconnected, err}
		}
		report, err := decodeReport(data)
		if err != nil {
			return err
		}
		h.join(peer, report)
		h.onReport(peer, report)
	}
}

func (h *Hub) join(peer *Peer, report Report) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.peers[peer] {
		peer.Host, peer.Address = report.Host, report.Address
		h.peers[peer] = true
	}
}

func (h *Hub) leave(peer *Peer, err error) {
	h.mutex.Lock()
	delete(h.peers, peer)
	h.mutex.Unlock()
	h.onLeave(peer, err)
}

func (p *Peer) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-p.out:
			if err := send(ctx, p.conn, data); err != nil {
				_ = p.conn.CloseNow()
				return
			}
		}
	}
}

// receive waits for one message, at most for the beat timeout.
func receive(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	_, data, err := conn.Read(ctx)
	return data, err
}

func send(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Leader returns the name and the address of the controller, or empty strings when it is not known or is this host.
	Leader func() (host, address string)
	// OnAddressReused is told that another process has the address of the controller, which therefore has ended.
	OnAddressReused func(host string)
	// Report returns what happened since the last report.
	Report func() Report
	// OnHeartbeat is told of each beat.
	OnHeartbeat func(beat Heartbeat)
	// OnDisconnect is told of the end of a connection.
	OnDisconnect func(address string, err error)
	// OnConnect is told of a new connection.
	OnConnect func(address string)
	Now       func() time.Duration
}

// Client is the side of a host that is not the controller.
type Client struct{ options ClientOptions }

// NewClient returns a client.
func NewClient(options ClientOptions) *Client { return &Client{options} }

// Run keeps a connection to the controller until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		host, address := c.options.Leader()
		if address != "" {
			err := c.serve(ctx, host, address)
			if ctx.Err() == nil && err != nil {
				c.options.OnDisconnect(address, err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

func (c *Client) serve(ctx context.Context, host, address string) error {
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	conn, response, err := websocket.Dial(dialCtx, "ws://"+address+Path, nil)
	cancelDial()
	if err != nil {
		return &Error{"dial " + address, Disconnected, err}
	}
	defer func() { _ = conn.CloseNow() }()
	if other := response.Header.Get(HostHeader); other != host {
		c.options.OnAddressReused(host)
		return &Error{"dial " + address, Disconnected, errors.Newf("%s has the address of %s", other, host)}
	}
	conn.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.options.OnConnect(address)
	go c.report(ctx, cancel, conn, host)
	for {
		data, err := receive(ctx, conn)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if err != nil {
			return &Error{"receive", Disconnected, err}
		}
		beat, err := decodeBeat(c.options.Now(), data)
		if err != nil {
			return err
		}
		c.options.OnHeartbeat(beat)
	}
}

// report sends reports until the connection ends or the controller is another host.
func (c *Client) report(ctx context.Context, cancel context.CancelCauseFunc, conn *websocket.Conn, host string) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		if leader, _ := c.options.Leader(); leader != host {
			cancel(errors.New("the controller is another host"))
			return
		}
		data, err := encodeReport(c.options.Report())
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
		}
	}
}
