package peerer_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/rhubarbtrackd/internal/peerer"
)

// host is one end with a listener that records what its Peerer reports.
type host struct {
	*peerer.Peerer
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
	h.Peerer = peerer.New(peerer.Options{
		Self: name, Secret: secret, Scheme: "ws", Transport: &http.Transport{},
		Verify: func(*http.Request, string) bool { return true },
		Up: func(peer string, _ peerer.Class, _ bool) {
			h.record(func() { h.up[peer] = 1 })
		},
		Down: func(peer string, class peerer.Class) {
			connected := h.Connected(peer, class)
			h.record(func() {
				if connected {
					h.early++
				}
				h.up[peer] = 0
				h.downs++
			})
		},
		Message: func(_ string, _ peerer.Class, data []byte) {
			if h.gate != nil {
				<-h.gate
			}
			h.record(func() { h.messages = append(h.messages, string(data)) })
		},
		Refused: func(string) { h.record(func() { h.refused++ }) },
		Dropped: func(string, peerer.Class) { h.record(func() { h.dropped++ }) },
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
func TestCrossingDialsLeaveOneConnection(t *testing.T) {
	for _, class := range []peerer.Class{peerer.Relay, peerer.Control} {
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
	a.Dial("b", broken.Listener.Addr().String(), peerer.Relay)
	<-entered
	b.Dial("a", a.address, peerer.Relay)
	eventually(t, "the peer is connected", func() bool { return a.get(func() int { return a.up["b"] }) == 1 })
	close(hold)
	<-answered
	b.Send("a", peerer.Relay, []byte("x"))
	eventually(t, "a message arrives", func() bool { return a.get(func() int { return len(a.messages) }) > 0 })
	a.Close() // waits for the dial
	assert.Equal(t, a.get(func() int { return a.early }), 0)
}

// Guards against reading goroutines that outlive Close and report to parts that are already closed, and against
// connections that are accepted or dialled after it.
func TestCloseEndsEverything(t *testing.T) {
	hub := newHost(t, "hub", "s")
	var peers []*host
	for _, name := range []string{"a", "b", "c", "d"} {
		peer := newHost(t, name, "s")
		peer.Dial("hub", hub.address, peerer.Relay)
		hub.Dial(name, peer.address, peerer.Control)
		peers = append(peers, peer)
	}
	eventually(t, "all are connected", func() bool {
		return !slices.ContainsFunc(peers, func(peer *host) bool { return !peer.Connected("hub", peerer.Relay) })
	})
	for _, peer := range peers {
		for range 100 {
			peer.Send("hub", peerer.Relay, []byte("x"))
		}
		hub.Dial(peer.name, peer.address, peerer.Relay)
	}
	hub.Close()
	hub.record(func() { hub.closed = true })
	for _, peer := range peers {
		peer.Dial("hub", hub.address, peerer.Control)
		hub.Dial(peer.name, peer.address, peerer.Control)
	}
	eventually(t, "the peers notice", func() bool {
		return !slices.ContainsFunc(peers, func(peer *host) bool { return peer.Connected("hub", peerer.Relay) })
	})
	assert.Equal(t, hub.get(func() int { return hub.late }), 0)
	for _, peer := range peers {
		assert.Assert(t, !hub.Connected(peer.name, peerer.Control))
	}
}

// Guards against a full ring that blocks the sender or grows, and against a relay connection that goes on with a gap.
func TestFullRing(t *testing.T) {
	for _, class := range []peerer.Class{peerer.Relay, peerer.Control} {
		a, b := newHost(t, "a", "s"), newHost(t, "b", "s")
		b.gate = make(chan struct{})
		a.Dial("b", b.address, class)
		eventually(t, "connected", func() bool { return a.Connected("b", class) })
		message := make([]byte, 1<<20)
		eventually(t, "the ring is full", func() bool { return !a.Send("b", class, message) })
		assert.Assert(t, a.get(func() int { return a.dropped }) > 0)
		if class == peerer.Relay {
			eventually(t, "the connection ends", func() bool { return a.get(func() int { return a.downs }) > 0 })
		}
		close(b.gate)
	}
}

// Guards against a process without the secret, and against messages that are too large or not binary: each ends its own
// connection and nothing else.
func TestStrangersAndBadMessages(t *testing.T) {
	a, stranger, b := newHost(t, "a", "s"), newHost(t, "x", "other"), newHost(t, "b", "s")
	b.Dial("a", a.address, peerer.Relay)
	eventually(t, "connected", func() bool { return b.Connected("a", peerer.Relay) })
	stranger.Dial("a", a.address, peerer.Relay)
	eventually(t, "the refusal is reported", func() bool { return stranger.get(func() int { return stranger.downs }) == 1 })
	assert.Equal(t, a.get(func() int { return a.refused }), 1)

	bad := newHost(t, "bad", "s")
	bad.Dial("a", a.address, peerer.Relay)
	eventually(t, "connected", func() bool { return bad.Connected("a", peerer.Relay) })
	bad.Send("a", peerer.Relay, make([]byte, 5<<20))
	eventually(t, "an oversized message ends its connection", func() bool { return !bad.Connected("a", peerer.Relay) })
	assert.Assert(t, a.Connected("b", peerer.Relay))
	assert.Equal(t, a.get(func() int { return len(a.messages) }), 0)
}
