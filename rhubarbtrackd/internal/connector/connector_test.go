package connector

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

// TestUndecodableReportDisconnects guards against a controller that keeps a host as peer after it sent a message that
// cannot be decoded, or that does not report the cause.
func TestUndecodableReportDisconnects(t *testing.T) {
	disconnected := make(chan error, 1)
	hub := NewHub("controller", func(*Peer, Report) {}, func(_ *Peer, err error) { disconnected <- err })
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http")+Path, nil)
	assert.NilError(t, err)
	defer func() { _ = conn.CloseNow() }()

	assert.NilError(t, conn.Write(ctx, websocket.MessageBinary, []byte("no report")))

	select {
	case err := <-disconnected:
		assert.Assert(t, err != nil)
	case <-ctx.Done():
		t.Fatal("the hub did not report the end of the connection")
	}
	assert.Assert(t, is.Len(hub.Peers(), 0))
}

// TestClientReportsControllerChange checks that a client closes its connection when another host becomes controller,
// and reports this as the cause.
func TestClientReportsControllerChange(t *testing.T) {
	hub := NewHub("first", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(hub)
	defer server.Close()
	var leader atomic.Value
	leader.Store("first")
	disconnected := make(chan error, 1)
	client := NewClient(ClientOptions{
		Leader: func() (host, address string) {
			return leader.Load().(string), strings.TrimPrefix(server.URL, "http://")
		},
		OnAddressReused: func(string) {}, OnConnect: func(string) { leader.Store("second") }, OnHeartbeat: func(Heartbeat) {},
		Report: func() Report { return Report{Host: "h"} }, Now: func() time.Duration { return 0 },
		OnDisconnect: func(_ string, err error) {
			select {
			case disconnected <- err:
			default:
			}
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go client.Run(ctx)
	select {
	case err := <-disconnected:
		assert.ErrorContains(t, err, "another host")
	case <-ctx.Done():
		t.Fatal("the client did not close the connection")
	}
}

// TestHeartbeatNeverUnderstatesLease guards against two controllers at the same time: if rounding shortened the lease
// in a heartbeat, its receiver could take over before the lease has expired.
func TestHeartbeatNeverUnderstatesLease(t *testing.T) {
	sent := Heartbeat{Term: 7, Valid: true, Revision: 1 << 40, Remaining: 1234567 * time.Microsecond, Index: 2, Hosts: 9}
	data, err := encodeHeartbeat(0, sent, true)
	assert.NilError(t, err)
	got, err := decodeHeartbeat(0, data)
	assert.NilError(t, err)
	assert.Equal(t, got.Term, sent.Term)
	assert.Equal(t, got.Revision, sent.Revision)
	assert.Assert(t, got.Remaining >= sent.Remaining && got.Remaining <= sent.Remaining+time.Millisecond)
}

// TestImpossibleTimingsAreDropped guards against a report that ends the process of the controller: sums of figures that
// no host measures overflowed, and an average was divided by zero.
func TestImpossibleTimingsAreDropped(t *testing.T) {
	const huge = int(^uint(0) >> 1)
	data, err := encodeReport(Report{Host: "h", Timings: []Timing{
		{Upstream: 1, Count: huge, Sum: time.Second}, {Upstream: 2, Count: -60, Sum: time.Second},
		{Upstream: 3, Count: 1, Sum: -time.Second}, {Upstream: 4, Count: 2, Sum: time.Second},
	}}, true)
	assert.NilError(t, err)
	report, err := decodeReport(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Timings, []Timing{{Upstream: 4, Count: 2, Sum: time.Second}})
}
