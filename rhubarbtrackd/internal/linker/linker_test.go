package linker

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// TestUnreadableReport checks that the controller learns why a connection ended, and that the host is no peer then.
func TestUnreadableReport(t *testing.T) {
	left := make(chan error, 1)
	hub := NewHub("controller", func(*Peer, Report) {}, func(_ *Peer, err error) { left <- err })
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http")+Path, nil)
	assert.NilError(t, err)
	defer func() { _ = conn.CloseNow() }()

	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, []byte("no report")))

	select {
	case err := <-left:
		assert.Assert(t, err != nil)
	case <-ctx.Done():
		t.Fatal("the hub did not tell that the connection ended")
	}
	assert.Assert(t, is.Len(hub.Peers(), 0))
}

// TestClientTellsWhyItLeft checks that a client that turns to another controller says so.
func TestClientTellsWhyItLeft(t *testing.T) {
	hub := NewHub("first", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(hub)
	defer server.Close()
	var leader atomic.Value
	leader.Store("first")
	lost := make(chan error, 1)
	client := NewClient(ClientOptions{
		Leader: func() (host, address string) {
			return leader.Load().(string), strings.TrimPrefix(server.URL, "http://")
		},
		OnOther: func(string) {}, OnOpen: func(string) { leader.Store("second") }, OnBeat: func(Beat) {},
		Report: func() Report { return Report{Host: "h"} }, Now: func() time.Duration { return 0 },
		OnLost: func(_ string, err error) {
			select {
			case lost <- err:
			default:
			}
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go client.Run(ctx)
	select {
	case err := <-lost:
		assert.ErrorContains(t, err, "another host")
	case <-ctx.Done():
		t.Fatal("the client did not leave")
	}
}
