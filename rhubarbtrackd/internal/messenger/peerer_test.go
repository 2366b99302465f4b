package messenger_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/rhubarbtrackd/internal/messenger"
)

// host is one end with a listener that records what its Peerer reports.
type host struct {
	*messenger.Messenger
	name    string
	address string

	mu       sync.Mutex
	up       map[string]int // reports of Up less reports of Down by peer
	downs    int
	messages []string
	refused  int
	dropped  int
	closed   bool
	late     int // reports after Close
	early    int // reports of Down while there is a connection
	gate     chan struct{}
}

func newHost(t *testing.T, name, secret string) *host {
	t.Helper()
	h := &host{name: name, up: map[string]int{}}
	h.Messenger = messenger.New(messenger.Options{
		Self: name, Secret: secret, Scheme: "ws", Transport: &http.Transport{},
		Verify: func(*http.Request, string) bool { return true },
		OnConnect: func(peer string, _ messenger.Class, _ bool) {
			h.record(func() { h.up[peer] = 1 })
		},
		OnDisconnect: func(peer string, class messenger.Class) {
			connected := h.Connected(peer, class)
			h.record(func() {
				if connected {
					h.early++
				}
				h.up[peer] = 0
				h.downs++
			})
		},
		OnMessage: func(_ string, _ messenger.Class, data []byte) {
			if h.gate != nil {
				<-h.gate
			}
			h.record(func() { h.messages = append(h.messages, string(data)) })
		},
		OnRejected: func(string) { h.record(func() { h.refused++ }) },
		OnDropped:  func(string, messenger.Class) { h.record(func() { h.dropped++ }) },
	})
	server := httptest.NewServer(h.Handler())
	h.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		h.Close()
		server.Close()
	})
	return h
}

func (h *host) record(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		h.late++
	}
	change()
}

func (h *host) get(read func() int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return read()
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting: %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(2*time.Millisecond))
}

// Guards against two hosts that dial each other at the same time and each close the connection that the other one keeps.
func TestSimultaneousDialsKeepOneConnection(t *testing.T) {
	for _, class := range []messenger.Class{messenger.Relay, messenger.Control} {
		for range 50 {
			a, b := newHost(t, "a", "s"), newHost(t, "b", "s")
			var both sync.WaitGroup
			both.Add(2)
			go func() { defer both.Done(); a.Dial("b", b.address, class) }()
			go func() { defer both.Done(); b.Dial("a", a.address, class) }()
			both.Wait()
			connected := func() bool { return a.Connected("b", class) && b.Connected("a", class) }
			eventually(t, "both are connected", connected)
			// A message in each direction shows that both ends keep the same connection.
			eventually(t, "both get messages", func() bool {
				a.Send("b", class, []byte("x"))
				b.Send("a", class, []byte("x"))
				return a.get(func() int { return len(a.messages) }) > 0 && b.get(func() int { return len(b.messages) }) > 0
			})
			eventually(t, "reports agree with the connections", func() bool {
				return connected() && a.get(func() int { return a.up["b"] }) == 1 && b.get(func() int { return b.up["a"] }) == 1
			})
			a.Close()
			b.Close()
		}
	}
}

// Guards against a failed dial that is reported as the loss of a connection which the peer made in the meantime.
func TestFailedDialKeepsInboundConnection(t *testing.T) {
	a, b := newHost(t, "a", "s"), newHost(t, "b", "s")
	hold, entered, answered := make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-hold
		http.Error(w, "no", http.StatusForbidden)
		close(answered)
	}))
	t.Cleanup(broken.Close)
	a.Dial("b", broken.Listener.Addr().String(), messenger.Relay)
	<-entered
	b.Dial("a", a.address, messenger.Relay)
	eventually(t, "the peer is connected", func() bool { return a.get(func() int { return a.up["b"] }) == 1 })
	close(hold)
	<-answered
	b.Send("a", messenger.Relay, []byte("x"))
	eventually(t, "a message arrives", func() bool { return a.get(func() int { return len(a.messages) }) > 0 })
	a.Close() // waits for the dial
	assert.Equal(t, a.get(func() int { return a.early }), 0)
}

// Guards against reading goroutines that outlive Close and report to parts that are already closed, and against
// connections that are accepted or dialled after it.
func TestCloseStopsConnectionsAndCallbacks(t *testing.T) {
	hub := newHost(t, "hub", "s")
	var peers []*host
	for _, name := range []string{"a", "b", "c", "d"} {
		peer := newHost(t, name, "s")
		peer.Dial("hub", hub.address, messenger.Relay)
		hub.Dial(name, peer.address, messenger.Control)
		peers = append(peers, peer)
	}
	eventually(t, "all are connected", func() bool {
		return !slices.ContainsFunc(peers, func(peer *host) bool { return !peer.Connected("hub", messenger.Relay) })
	})
	for _, peer := range peers {
		for range 100 {
			peer.Send("hub", messenger.Relay, []byte("x"))
		}
		hub.Dial(peer.name, peer.address, messenger.Relay)
	}
	hub.Close()
	hub.record(func() { hub.closed = true })
	for _, peer := range peers {
		peer.Dial("hub", hub.address, messenger.Control)
		hub.Dial(peer.name, peer.address, messenger.Control)
	}
	eventually(t, "the peers notice", func() bool {
		return !slices.ContainsFunc(peers, func(peer *host) bool { return peer.Connected("hub", messenger.Relay) })
	})
	assert.Equal(t, hub.get(func() int { return hub.late }), 0)
	for _, peer := range peers {
		assert.Assert(t, !hub.Connected(peer.name, messenger.Control))
	}
}

// Guards against a full ring that blocks the sender or grows, and against a relay connection that goes on with a gap.
func TestFullQueue(t *testing.T) {
	for _, class := range []messenger.Class{messenger.Relay, messenger.Control} {
		a, b := newHost(t, "a", "s"), newHost(t, "b", "s")
		b.gate = make(chan struct{})
		a.Dial("b", b.address, class)
		eventually(t, "connected", func() bool { return a.Connected("b", class) })
		message := make([]byte, 1<<20)
		eventually(t, "the ring is full", func() bool { return !a.Send("b", class, message) })
		assert.Assert(t, a.get(func() int { return a.dropped }) > 0)
		if class == messenger.Relay {
			eventually(t, "the connection ends", func() bool { return a.get(func() int { return a.downs }) > 0 })
		}
		close(b.gate)
	}
}

// Guards against a process without the secret, and against messages that are too large or not binary: each ends its own
// connection and nothing else.
func TestUnauthorizedPeersAndInvalidMessages(t *testing.T) {
	a, stranger, b := newHost(t, "a", "s"), newHost(t, "x", "other"), newHost(t, "b", "s")
	b.Dial("a", a.address, messenger.Relay)
	eventually(t, "connected", func() bool { return b.Connected("a", messenger.Relay) })
	stranger.Dial("a", a.address, messenger.Relay)
	eventually(t, "the refusal is reported", func() bool { return stranger.get(func() int { return stranger.downs }) == 1 })
	assert.Equal(t, a.get(func() int { return a.refused }), 1)

	bad := newHost(t, "bad", "s")
	bad.Dial("a", a.address, messenger.Relay)
	eventually(t, "connected", func() bool { return bad.Connected("a", messenger.Relay) })
	bad.Send("a", messenger.Relay, make([]byte, 5<<20))
	eventually(t, "an oversized message ends its connection", func() bool { return !bad.Connected("a", messenger.Relay) })
	assert.Assert(t, a.Connected("b", messenger.Relay))
	assert.Equal(t, a.get(func() int { return len(a.messages) }), 0)
}
