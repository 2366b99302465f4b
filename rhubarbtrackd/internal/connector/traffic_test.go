package connector

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
)

// fleetTraffic is what a controller sends in a fleet of a given size, in bytes per second with the heads of packets.
type fleetTraffic struct{ lease, tables, runTimes, loads, plainLoads float64 }

// Rates of a busy fleet: each host has 22 requests per second, upstreams number 4.4 for each host, a twentieth of the run times
// changes with each heartbeat, and tables change with each tick of the controller (40 ms) or once in 80 ms.
const (
	requestsPerHost  = 22.0
	upstreamsPerHost = 4.4
	beatsPerSecond   = float64(time.Second / ReportInterval)
	naiveTableRate   = 25.0
	tableRate        = 12.5
	rowsPerChange    = 6
)

func sizeOf(t testing.TB, h Heartbeat) float64 {
	t.Helper()
	data, err := encodeHeartbeat(0, h, true)
	assert.NilError(t, err)
	return float64(len(data) + frameOverhead)
}

// measureTraffic encodes the messages of a controller of the given number of hosts.
func measureTraffic(t testing.TB, hosts int) fleetTraffic {
	t.Helper()
	upstreams := int(upstreamsPerHost * float64(hosts))
	perBeat := requestsPerHost / beatsPerSecond * float64(hosts) / float64(upstreams)
	reported := int(float64(upstreams) * (1 - math.Exp(-perBeat)))
	var loads []LoadReport
	for n := range reported {
		loads = append(loads, LoadReport{
			Upstream: numbered(n * upstreams / reported).Tag(), Load: selector.Load{Running: 2, Waiting: n % 4, Slots: 2, Slowdown: 1 + float64(n%9)/10},
			Age: time.Duration(n%200) * time.Millisecond,
		})
	}
	runTimes := map[identifier.Incarnation]time.Duration{}
	for n := range upstreams / 20 {
		runTimes[numbered(20*n)] = 170 * time.Millisecond
	}
	lease := Heartbeat{
		Term: 3, Valid: true, Revision: 1234, Remaining: 1800 * time.Millisecond, Index: hosts / 2, Hosts: hosts, HasCopy: true,
		Echo: time.Hour, EchoAge: 90 * time.Millisecond,
	}
	lease.Copy.Revision, lease.Copy.Configuration = 12345, 437
	base := sizeOf(t, lease)
	packer := NewPacker()
	var names namesSent
	for n := range upstreams { // every upstream has a number after the first seconds
		names.take(packer.Pack([]LoadReport{{Upstream: numbered(n).Tag()}}, nil))
	}
	with := func(loads []LoadReport, runTimes map[identifier.Incarnation]time.Duration) float64 {
		h := lease
		h.packed = names.take(packer.Pack(loads, runTimes))
		return sizeOf(t, h) - base
	}
	plain := lease
	var err error
	plain.Loads, err = EncodeLoads(loads, runTimes)
	assert.NilError(t, err)
	changed := lease
	var rows allocator.RoutingTable
	for n := range rowsPerChange {
		rows = append(rows, allocator.Assignment{From: uint16(300 * n), To: uint16(300*n + 250), Owner: numbered(n)})
	}
	changed.Tables = []TableChange{{Service: "service-1", Rows: rows}}
	runTimesOnly, both := with(nil, runTimes), with(loads, runTimes)
	perSecond := float64(hosts-1) * beatsPerSecond
	return fleetTraffic{
		lease: perSecond * base, runTimes: perSecond * runTimesOnly, loads: perSecond * (both - runTimesOnly),
		plainLoads: perSecond * (sizeOf(t, plain) - base), tables: float64(hosts-1) * sizeOf(t, changed),
	}
}

// Guards against messages of a controller that grow beyond what the design allows: what is never shed, and changes of tables, must
// fit into the share of a link of 10 Mbit/s in a fleet of 91 hosts, and everything into that of 50 Mbit/s.
func TestTrafficOfAController(t *testing.T) {
	const (
		mbit  = 1e6 / 8
		share = 0.4 // of the link, see package pacer
	)
	for _, tt := range []struct {
		hosts            int
		small, fullyFits float64 // rates of links, 0: not promised
	}{{30, 10 * mbit, 10 * mbit}, {91, 10 * mbit, 50 * mbit}, {300, 50 * mbit, 0}} {
		f := measureTraffic(t, tt.hosts)
		naive := f.lease + f.plainLoads + naiveTableRate*f.tables
		ours := f.lease + f.loads + f.runTimes + tableRate*f.tables
		t.Logf("measure=controller-bytes-per-second hosts=%d naive=%.0f ours=%.0f lease=%.0f tables=%.0f run-times=%.0f loads=%.0f plain-loads=%.0f",
			tt.hosts, naive, ours, f.lease, tableRate*f.tables, f.runTimes, f.loads, f.plainLoads)
		assert.Assert(t, f.lease+5*f.tables <= share*tt.small, "%d hosts: lease and tables take %.0f bytes/s", tt.hosts, f.lease+5*f.tables)
		assert.Assert(t, tt.fullyFits == 0 || ours <= share*tt.fullyFits, "%d hosts: %.0f bytes/s", tt.hosts, ours)
	}
}

// BenchmarkHeartbeat is the cost of a heartbeat with load reports of 91 hosts: at the controller for each host, and at a host.
func BenchmarkHeartbeat(b *testing.B) {
	var loads []LoadReport
	for n := range 250 {
		loads = append(loads, LoadReport{Upstream: numbered(n).Tag(), Load: selector.Load{Running: 2, Waiting: n % 4, Slots: 2, Slowdown: 1.2}, Age: 80 * time.Millisecond})
	}
	packer := NewPacker()
	names := namesSent{}
	first := names.take(packer.Pack(loads, nil))
	plain, err := EncodeLoads(loads, nil)
	assert.NilError(b, err)
	for _, bb := range []struct {
		name      string
		heartbeat Heartbeat
	}{
		{"plain", Heartbeat{Term: 3, Valid: true, HasCopy: true, Loads: plain}},
		{"packed", Heartbeat{Term: 3, Valid: true, HasCopy: true, packed: names.take(packer.Pack(loads, nil))}},
	} {
		b.Run(bb.name+"/encode", func(b *testing.B) {
			for b.Loop() {
				_, _ = encodeHeartbeat(0, bb.heartbeat, true)
			}
		})
		data, err := encodeHeartbeat(0, bb.heartbeat, true)
		assert.NilError(b, err)
		b.Run(bb.name+"/decode", func(b *testing.B) {
			var u unpacker
			_, _, _ = u.unpack(first)
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				h, _ := decodeHeartbeat(0, data)
				_ = h.unpack(&u)
				_, _, _ = h.SharedLoads()
			}
		})
	}
}
