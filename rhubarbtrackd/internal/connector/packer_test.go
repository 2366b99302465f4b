package connector

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
)

func numbered(n int) identifier.Incarnation {
	return identifier.Incarnation{ID: fmt.Sprintf("upstream-%d", n), Start: int64(n)}
}

// Guards against load reports that reach a host under another upstream, or not at all, when hosts connect at different times
// and the numbering begins anew.
func TestPackedLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	packer := NewPacker()
	type host struct {
		names    namesSent
		unpacker unpacker
	}
	var hosts []*host
	upstream := 0
	for round := range 60 {
		if round%5 == 0 {
			hosts = append(hosts, &host{})
		}
		var loads []LoadReport
		count, churn := 1+random.IntN(600), 2
		if round%10 == 9 {
			count, churn = maxNames/4, 1 // in the end, the names do not fit
		}
		for range count {
			if random.IntN(churn) == 0 {
				upstream++
			}
			loads = append(loads, LoadReport{
				Upstream: numbered(upstream - random.IntN(min(upstream, 50*(churn-1)+1))).Tag(),
				Load:     selector.Load{Running: random.IntN(200), Waiting: random.IntN(9), Slots: 1 + random.IntN(9), Slowdown: float64(random.IntN(400)) / 100},
				Age:      time.Duration(random.IntN(400)) * packedAgeUnit,
			})
		}
		runTimes := map[identifier.Incarnation]time.Duration{numbered(random.IntN(upstream + 1)): time.Duration(1+random.IntN(900)) * time.Millisecond}
		packed := packer.Pack(loads, runTimes)
		for _, h := range hosts {
			decoded, means, err := h.unpacker.unpack(h.names.take(packed))
			assert.NilError(t, err)
			assert.Equal(t, len(decoded), len(loads))
			for i, l := range decoded {
				want := loads[i] // Pack has sorted them
				assert.Equal(t, l.Upstream, want.Upstream)
				assert.Equal(t, l.Age, want.Age)
				assert.Assert(t, (l.Load.Slowdown-want.Load.Slowdown) <= 0.011)
				l.Load.Slowdown = want.Load.Slowdown
				assert.Equal(t, l.Load, want.Load)
			}
			assert.Equal(t, len(means), len(runTimes))
			for i, mean := range runTimes {
				assert.Equal(t, means[i.Tag()], mean)
			}
		}
	}
	assert.Assert(t, packer.epoch > 0, "the numbering never began anew")
}

// Guards against packed loads of a broken sender that make a host panic, allocate without bound, or use wrong names.
func TestPackedLoadsThatCannotBeRead(t *testing.T) {
	valid := NewPacker().Pack([]LoadReport{{Upstream: numbered(1).Tag(), Load: selector.Load{Running: 1, Slots: 2}}}, nil).after(0)
	for _, tt := range []struct {
		name string
		data []byte
	}{
		{"truncated", valid[:len(valid)-2]},
		{"names that the host lacks", NewPacker().Pack([]LoadReport{{Upstream: numbered(1).Tag()}}, nil).after(1)},
		{"more names than bytes", []byte{0, 200, 100, 1, 2}},
		{"unknown number", []byte{0, 0, 1, 3, 1, 1, 1, 1, 1, 0}},
		{"many reports", []byte{0, 0, 0xff, 0xff, 0xff, 0x07}},
		{"huge number", []byte{0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var u unpacker
			_, _, err := u.unpack(tt.data)
			assert.ErrorIs(t, err, errPacked)
		})
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0})
	f.Add(NewPacker().Pack([]LoadReport{{Upstream: numbered(1).Tag(), Load: selector.Load{Running: 1, Slots: 2}}},
		map[identifier.Incarnation]time.Duration{numbered(2): time.Second}).after(0))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var u unpacker
		_, _, _ = u.unpack(data)
		_, _, _ = u.unpack(data)
	})
}

// Guards against packed loads that are sent to hosts of earlier versions, which would get no load reports.
func TestOnlyHostsThatUnpackGetPackedLoads(t *testing.T) {
	hub := NewHub("controller", func(*Peer, Report) {}, func(*Peer, error) {})
	server := httptest.NewServer(hub)
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	loads := []LoadReport{{Upstream: upstream.Tag(), Load: selector.Load{Running: 1, Slots: 6, Slowdown: 1}}}
	encoded, err := EncodeLoads(loads, nil)
	assert.NilError(t, err)
	packer := NewPacker()
	for _, tt := range []struct {
		name   string
		packed bool
	}{{"earlier version", false}, {"this version", true}} {
		t.Run(tt.name, func(t *testing.T) {
			conn, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http"), &websocket.DialOptions{Subprotocols: []string{subprotocol}})
			assert.NilError(t, err)
			defer func() { _ = conn.CloseNow() }()
			report, err := encodeReport(Report{Host: tt.name, PackedLoads: tt.packed, Fitness: 0.25}, true)
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
			var u unpacker
			for range 2 {
				assert.NilError(t, hub.Send(0, peer, Heartbeat{Term: 3, Loads: encoded, Packed: packer.Pack(loads, nil)}))
				data, err := receive(ctx, conn)
				assert.NilError(t, err)
				heartbeat, err := decodeHeartbeat(0, data)
				assert.NilError(t, err)
				assert.Equal(t, len(heartbeat.packed) > 0, tt.packed)
				assert.NilError(t, heartbeat.unpack(&u))
				received, _, err := heartbeat.SharedLoads()
				assert.NilError(t, err)
				assert.DeepEqual(t, received, loads)
			}
			assert.Assert(t, hub.TakeSent() > 2*frameOverhead)
		})
	}
}
