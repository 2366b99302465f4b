package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silence forwards connections to target until silent is set. It then keeps them open and drops all bytes.
func silence(t *testing.T, target string, silent *atomic.Bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	forward := func(to io.Writer, from io.Reader) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if !silent.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go forward(upstream, conn)
			go forward(conn, upstream)
		}
	}()
	return listener.Addr().String()
}

func TestSilentLinkIsClosedOnBothSides(t *testing.T) {
	const bound = heartbeatTimeout + time.Second
	hostLost, leaderLost, connected := make(chan time.Time, 9), make(chan time.Time, 9), make(chan bool, 9)
	hub := NewHub("controller", func(*Peer, Report) { connected <- true }, func(*Peer, error) { hostLost <- time.Now() })
	server := httptest.NewServer(hub)
	defer server.CloseClientConnections()
	var silent atomic.Bool
	address := silence(t, strings.TrimPrefix(server.URL, "http://"), &silent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := NewClient(ClientOptions{
		Leader: func() (host, leader string) { return "controller", address }, OnAddressReused: func(string) {},
		OnConnect: func(string) {}, OnHeartbeat: func(Heartbeat) {}, Report: func() Report { return Report{Host: "h"} },
		Now: func() time.Duration { return 0 }, OnDisconnect: func(string, error) { leaderLost <- time.Now() },
	})
	go client.Run(ctx)
	<-connected
	silent.Store(true)
	began := time.Now()
	for _, lost := range []chan time.Time{leaderLost, hostLost} {
		select {
		case at := <-lost:
			assert.Assert(t, at.Sub(began) < bound, "closed after %v", at.Sub(began))
		case <-time.After(2 * bound):
			t.Fatal("the link stays open")
		}
	}
}

// Guards against a host that never reaches the controller over a full link because each attempt ends before the handshake.
func TestSlowHandshakeSucceeds(t *testing.T) {
	hub := NewHub("controller", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(dialTimeout + 300*time.Millisecond)
		hub.ServeHTTP(w, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	connected := make(chan string, 9)
	runClient(t, ClientOptions{
		Leader:    func() (host, leader string) { return "controller", strings.TrimPrefix(server.URL, "http://") },
		OnConnect: func(address string) { connected <- address },
	})
	select {
	case <-connected:
	case <-time.After(10 * dialTimeout):
		t.Fatal("not connected")
	}
}

// Guards against a host that waits for a former controller, which does not respond, while another host is controller.
func TestDialEndsWhenTheControllerChanges(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	hub := NewHub("second", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(hub)
	t.Cleanup(server.CloseClientConnections)
	second := strings.TrimPrefix(server.URL, "http://")
	first := silence(t, second, &silent)
	var changed atomic.Bool
	connected := make(chan string, 9)
	runClient(t, ClientOptions{
		Leader: func() (host, leader string) {
			if changed.Load() {
				return "second", second
			}
			return "first", first
		},
		OnConnect: func(address string) { connected <- address },
	})
	time.Sleep(5 * dialTimeout) // an attempt of maxDialTimeout has begun
	changed.Store(true)
	select {
	case address := <-connected:
		assert.Equal(t, address, second)
	case <-time.After(maxDialTimeout / 2):
		t.Fatal("not connected")
	}
}

func runClient(t *testing.T, options ClientOptions) {
	t.Helper()
	options.OnAddressReused, options.OnHeartbeat, options.OnDisconnect = func(string) {}, func(Heartbeat) {}, func(string, error) {}
	options.Report, options.Now = func() Report { return Report{Host: "h"} }, func() time.Duration { return 0 }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go NewClient(options).Run(ctx)
}
