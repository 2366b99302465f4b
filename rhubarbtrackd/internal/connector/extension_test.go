package connector

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

func TestExtensionsCarrySignatures(t *testing.T) {
	sent := Report{
		Host:          "h",
		Interruptions: []Interruption{{Signature: 1 << 63, Variant: 1<<63 + 1, Upstream: upstream, SentAge: 300 * time.Millisecond, EndedAge: 100 * time.Millisecond}},
		Completed:     []uint64{7},
		Leaving:       []identifier.Incarnation{{ID: "u", Start: 1700000000000}},
		Ended:         []Ending{{identifier.Incarnation{ID: "v", Start: 1700000000000}, 40 * time.Millisecond}},
		SentAt:        90 * time.Second,
		Blocked:       []detector.Report{{Signature: 9, Status: detector.Blocked, Version: 1<<32 + 1, Age: time.Second, Crashes: 3}},
	}
	data, err := encodeReport(sent, true)
	assert.NilError(t, err)
	report, err := decodeReport(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Interruptions, sent.Interruptions)
	assert.DeepEqual(t, report.Completed, sent.Completed)
	assert.DeepEqual(t, report.Blocked, sent.Blocked)
	assert.DeepEqual(t, report.Leaving, sent.Leaving)
	assert.DeepEqual(t, report.Ended, sent.Ended)
	assert.Equal(t, report.SentAt, sent.SentAt)

	signatures := []detector.Report{
		{Signature: 1 << 63, Status: detector.Blocked, Version: 1<<32 + 2, Age: time.Second, Crashes: 3, Upstream: "u/1"},
	}
	data, err = encodeHeartbeat(0, Heartbeat{Term: 3, Signatures: signatures}, true)
	assert.NilError(t, err)
	heartbeat, err := decodeHeartbeat(0, data)
	assert.NilError(t, err)
	assert.DeepEqual(t, heartbeat.Signatures, signatures)
}

func TestExtensionsCarryTheAgesOfACopy(t *testing.T) {
	sent := follower.Change{
		Age: 70 * time.Millisecond, DrainAges: map[string]time.Duration{"u": time.Second},
		TakeOutAges: map[string]time.Duration{"d": 2 * time.Second}, Kept: []string{"u"},
	}
	for _, extended := range []bool{true, false} {
		data, err := encodeHeartbeat(0, Heartbeat{Term: 3, HasCopy: true, Copy: sent}, extended)
		assert.NilError(t, err)
		heartbeat, err := decodeHeartbeat(0, data)
		assert.NilError(t, err)
		assert.Assert(t, heartbeat.HasCopy)
		got := follower.Change{
			Age: heartbeat.Copy.Age, DrainAges: heartbeat.Copy.DrainAges, TakeOutAges: heartbeat.Copy.TakeOutAges, Kept: heartbeat.Copy.Kept,
		}
		if extended {
			assert.DeepEqual(t, got, sent)
			continue
		}
		assert.Equal(t, got.Age, time.Duration(0))
		assert.Equal(t, len(got.DrainAges)+len(got.TakeOutAges)+len(got.Kept), 0)
	}
	var heartbeat Heartbeat
	fromWireHeartbeatExtension(&heartbeat, wireHeartbeatExtension{Age: -1, DrainAges: map[string]int64{"u": -1, "v": 1 << 62}})
	assert.DeepEqual(t, heartbeat.Copy, follower.Change{DrainAges: map[string]time.Duration{"v": maxAge}, TakeOutAges: map[string]time.Duration{}})
}

func TestImpossibleSignaturesAreDropped(t *testing.T) {
	message, err := encodeReport(Report{Host: "h"}, false)
	assert.NilError(t, err)
	data, err := withExtension(message, wireReportExtension{Interruptions: []wireInterruption{
		{Signature: 1, SentAge: 5, EndedAge: -1}, {Signature: 2, SentAge: 5, EndedAge: 6}, {Signature: 3, SentAge: 1 << 62},
		{Signature: 4, Upstream: "u/1", SentAge: 6, EndedAge: 5}, {Signature: 5, Upstream: "u", SentAge: 6, EndedAge: 5},
	}})
	assert.NilError(t, err)
	report, err := decodeReport(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Interruptions, []Interruption{{Signature: 4, Upstream: upstream, SentAge: 6 * time.Millisecond, EndedAge: 5 * time.Millisecond}})
	assert.DeepEqual(t, fromWireSignatures([]wireSignature{
		{Signature: 1, Status: 3}, {Signature: 2, Status: -1}, {Signature: 3, Age: -1}, {Signature: 4, Age: 1 << 62},
		{Signature: 5, Crashes: -1}, {Signature: 6, Status: 2},
	}), []detector.Report{{Signature: 6, Status: detector.Blocked}})
}

// A host of an earlier version closes the connection when a message has bytes that it does not know.
func TestHostsOfEarlierVersionsGetNoExtension(t *testing.T) {
	hub := NewHub("controller", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, tt := range []struct {
		name      string
		protocols []string
		extended  bool
	}{
		{"earlier version", nil, false},
		{"this version", []string{subprotocol}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http"), &websocket.DialOptions{Subprotocols: tt.protocols})
			assert.NilError(t, err)
			defer func() { _ = conn.CloseNow() }()
			report, err := encodeReport(Report{Host: tt.name}, false)
			assert.NilError(t, err)
			assert.NilError(t, send(ctx, conn, report))
			var peer *Peer
			for ; peer == nil && ctx.Err() == nil; time.Sleep(time.Millisecond) {
				for _, p := range hub.Peers() {
					if p.Host == tt.name {
						peer = p
					}
				}
			}
			heartbeat := Heartbeat{Term: 3, Signatures: []detector.Report{{Signature: 1, Status: detector.Blocked}}}
			assert.NilError(t, hub.Send(0, peer, heartbeat))
			data, err := receive(ctx, conn)
			assert.NilError(t, err)
			var wire wireHeartbeat
			rest, err := cbor.UnmarshalFirst(data, &wire)
			assert.NilError(t, err)
			assert.Equal(t, len(rest) > 0, tt.extended)
		})
	}
}

// Guards against a message that leaves out which process of an upstream it speaks of.
func TestMessagesNameIncarnations(t *testing.T) {
	next := identifier.Incarnation{ID: upstream.ID, Start: upstream.Start + 1}
	sent := Report{
		Host: "h", Timings: []Timing{{Upstream: upstream.Tag(), Count: 2, Sum: time.Second}},
		Loads:   []LoadReport{{Upstream: next.Tag(), Load: selector.Load{Running: 1, Slots: 6, Slowdown: 1}}},
		Refused: []identifier.Tag{upstream.Tag()}, Unresponsive: []identifier.Tag{next.Tag()}, Reached: []identifier.Tag{next.Tag()},
	}
	data, err := encodeReport(sent, true)
	assert.NilError(t, err)
	report, err := decodeReport(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, report, sent)

	loads, err := EncodeLoads(sent.Loads, map[identifier.Incarnation]time.Duration{next: time.Second})
	assert.NilError(t, err)
	rows := allocator.RoutingTable{
		{From: 0, To: 9, Owner: upstream}, {From: 10, To: 19, Wait: time.Second}, {From: 20, To: 65535, Owner: next},
	}
	data, err = encodeHeartbeat(0, Heartbeat{
		Term: 3, Loads: loads, Doubted: sent.Refused, Tables: []TableChange{{Service: "s", Full: true, Rows: rows}, {Service: "t", Rows: rows[2:]}},
		HasCopy: true, Copy: follower.Change{Full: true, Puts: []registrar.Upstream{{Incarnation: next, Service: "s", Slots: 6}}},
	}, true)
	assert.NilError(t, err)
	heartbeat, err := decodeHeartbeat(0, data)
	assert.NilError(t, err)
	assert.DeepEqual(t, heartbeat.Doubted, sent.Refused)
	assert.DeepEqual(t, heartbeat.Tables[0].Rows, rows)
	assert.DeepEqual(t, heartbeat.Tables[1].Rows, rows[2:])
	assert.Equal(t, heartbeat.Copy.Puts[0].Incarnation, next)
	decoded, runTimes, err := heartbeat.Loads.Decode()
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, sent.Loads)
	assert.DeepEqual(t, runTimes, map[identifier.Tag]time.Duration{next.Tag(): time.Second})
}

// Hosts of earlier versions name upstreams by their IDs. Their observations are dropped, and their tables are used.
func TestMessagesOfEarlierVersions(t *testing.T) {
	type load struct {
		_                                  struct{} `cbor:",toarray"`
		Upstream                           string
		Running, Waiting, Slots, Pace, Age int
	}
	data, err := cbor.Marshal([]any{
		"h", "127.0.0.1:1", map[string][]uint16{"s": {7}}, []any{[]any{"u", 2, 1000}}, []load{{Upstream: "u"}}, true,
		[]string{"u"}, []string{"v"}, []string{"w"},
	})
	assert.NilError(t, err)
	report, err := decodeReport(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, report, Report{Host: "h", Address: "127.0.0.1:1", Keys: map[string][]uint16{"s": {7}}, NeedsFullCopy: true})

	encoded, err := encodeHeartbeat(0, Heartbeat{Term: 3, Tables: []TableChange{{Service: "s", Rows: allocator.RoutingTable{{To: 9, Owner: upstream}}}}}, false)
	assert.NilError(t, err)
	heartbeat, err := decodeHeartbeat(0, encoded)
	assert.NilError(t, err)
	assert.Equal(t, heartbeat.Tables[0].Rows[0].Owner, identifier.Incarnation{ID: "u"})
}

// Guards against a controller that stands still between reading the age of its copy and sending it: the host counted the age from the
// time at which it was sent, and took the copy for newer than it is.
func TestAgesCountFromTheStampOfAHeartbeat(t *testing.T) {
	const still = 200 * time.Millisecond
	hub := NewHub("controller", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http"), &websocket.DialOptions{Subprotocols: []string{subprotocol}})
	assert.NilError(t, err)
	defer func() { _ = conn.CloseNow() }()
	began := time.Now()
	report, err := encodeReport(Report{Host: "h", SentAt: time.Minute}, true)
	assert.NilError(t, err)
	assert.NilError(t, send(ctx, conn, report))
	for len(hub.Peers()) == 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	var heartbeat Heartbeat
	hub.Peers()[0].StampEcho(&heartbeat)
	stamped := time.Since(began)
	time.Sleep(still)
	assert.NilError(t, hub.Send(0, hub.Peers()[0], heartbeat))
	data, err := receive(ctx, conn)
	assert.NilError(t, err)
	received, err := decodeHeartbeat(0, data)
	assert.NilError(t, err)
	madeAt := received.madeAt(time.Minute + time.Since(began))
	assert.Assert(t, madeAt >= time.Minute && madeAt <= time.Minute+stamped, "made %v after the report", madeAt-time.Minute)
}
