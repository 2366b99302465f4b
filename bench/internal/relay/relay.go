// Package relay measures the bandwidth and the CPU time that the relay tree needs on a host with several sizes of the
// fleet, and the time until a change of the configuration reaches every host.
//
// All hosts run in one process and in virtual time; only CPU time is measured with the real clock. The naive baseline is
// a fleet in which every host watches the store and sends heartbeats to every other host.
//
// # Usage
//
//	lines := relay.Measure(1)
package relay

import (
	"container/heap"
	"fmt"
	"sort"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/core/slicer"
)

const (
	tick = 200 * time.Millisecond
	// latency is the one-way delay between two hosts, about that between distant regions.
	latency = 10 * time.Millisecond
	// settleTime is the time before the measurement, in which the tree forms.
	settleTime  = 5 * time.Second
	measureTime = 5 * time.Second
	// upstreamsPerGroup is the number of upstreams of one controller. The fleet is assumed to have as many upstreams as
	// hosts.
	upstreamsPerGroup       = 32
	leaderHeartbeatInterval = 500 * time.Millisecond // of each controller
	// frameOverhead is the size of the WebSocket, TCP and IP headers of one frame in bytes.
	frameOverhead = 60
	// heartbeatBytes is the size of a heartbeat of the naive baseline in bytes, including headers.
	heartbeatBytes = 80

	propagationBound = 4.0        // s
	bandwidthBound   = 25 * 1000  // bytes/s of control traffic
	cpuBound         = 0.011      // cores used by the control plane
	storeReadBound   = 2000.0 / 2 // calls/s; half of the store's capacity is reserved for other clients
)

// FleetSizes are the numbers of hosts that Measure simulates, up to the largest fleet that must be supported.
var FleetSizes = []int{10, 100, 1000, 3400}

// result holds the figures of one fleet size.
type result struct {
	propagation     time.Duration
	bytesPerSecond  float64 // of the busiest host, both directions
	framesPerSecond float64 // of the busiest host, both directions
	cpu             float64 // cores, mean of all hosts
	watches         int
}

// Measure returns the measures of all fleet sizes.
func Measure(seed uint64) []printer.Line {
	var lines []printer.Line
	for _, size := range FleetSizes {
		r := run(size, seed)
		line := func(measure string, naive, ours, bound float64, unit string) {
			lines = append(lines, printer.Line{
				Measure: fmt.Sprintf("relay-%s-%d-hosts", measure, size),
				Naive:   naive, Ours: ours, Bound: bound, HasBound: bound > 0, Unit: unit, Seed: seed,
			})
		}
		n := float64(size)
		line("propagation", latency.Seconds(), r.propagation.Seconds(), propagationBound, "s")
		line("bandwidth-busiest", 2*5*n*heartbeatBytes, r.bytesPerSecond, bandwidthBound, "bytes/s")
		line("frames-busiest", 2*5*n, r.framesPerSecond, 0, "1/s")
		line("processor", 0, r.cpu, cpuBound, "cores")
		line("store-watches", n, float64(r.watches), storeReadBound, "calls/s")
	}
	return lines
}

// event is an input of one host at a point in time.
type event struct {
	at    time.Duration
	order int
	host  string
	input relayer.Event
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// fleet simulates the hosts and the connections between them.
type fleet struct {
	now          time.Duration
	queue        events
	order        int
	hosts        map[string]*relayer.Relayer
	bytes        map[string]float64
	frames       map[string]float64
	cpuTime      time.Duration // of the steps, encodings and decodings of all hosts
	measuredKey  relayer.Key
	deliveries   int
	lastDelivery time.Duration
}

func run(size int, seed uint64) result {
	names := make([]string, size)
	f := &fleet{hosts: map[string]*relayer.Relayer{}}
	for i := range names {
		names[i] = fmt.Sprintf("host-%04d", i)
	}
	for i, name := range names {
		f.hosts[name] = relayer.New(relayer.Options{Self: name, Seed: seed})
		f.push(0, name, relayer.Hosts{Names: names})
		for at := time.Duration(i) * tick / time.Duration(size); at < settleTime+measureTime; at += tick {
			f.push(at, name, relayer.Ticked{})
		}
	}
	f.pushLeaderHeartbeats(names)
	f.until(settleTime)
	f.cpuTime, f.bytes, f.frames = 0, map[string]float64{}, map[string]float64{}
	f.measuredKey = relayer.Key{Kind: relayer.Config, Name: "config/service/shelf-marks"}
	item := relayer.Item{Key: f.measuredKey, Version: relayer.Version{Seq: 1}, Body: make([]byte, 300)}
	f.push(settleTime, names[size/2], relayer.Published{Item: item})
	f.until(settleTime + measureTime)
	watches := 0
	for _, host := range f.hosts {
		if host.IsRoot() {
			watches++
		}
	}
	if f.deliveries < size {
		f.lastDelivery = settleTime + measureTime // not received by all hosts: the bound must fail
	}
	return result{
		propagation:     f.lastDelivery - settleTime,
		bytesPerSecond:  maxValue(f.bytes) / measureTime.Seconds(),
		framesPerSecond: maxValue(f.frames) / measureTime.Seconds(),
		cpu:             f.cpuTime.Seconds() / measureTime.Seconds() / float64(size),
		watches:         watches,
	}
}

// pushLeaderHeartbeats schedules the leader heartbeats of one controller per group of upstreams.
func (f *fleet) pushLeaderHeartbeats(names []string) {
	groups := (len(names) + upstreamsPerGroup - 1) / upstreamsPerGroup
	for group := range groups {
		service := fmt.Sprintf("service-%d", group)
		publisher := names[group*len(names)/groups]
		seq := uint64(0)
		for at := settleTime / 2; at < settleTime+measureTime; at += leaderHeartbeatInterval {
			seq++
			body, err := framer.EncodeLeaderHeartbeat(framer.LeaderHeartbeat{
				Service: service, Term: 1, Seq: seq, Table: slicer.Version{Term: 1, Seq: 7}, Revision: 9, Holder: publisher,
			})
			if err != nil {
				panic(err)
			}
			f.push(at+time.Duration(group)*time.Millisecond, publisher, relayer.Published{Item: relayer.Item{
				Key:     relayer.Key{Kind: relayer.LeaderHeartbeat, Name: service},
				Version: relayer.Version{Term: 1, Seq: seq},
				Body:    body,
			}})
		}
	}
}

func (f *fleet) push(at time.Duration, host string, input relayer.Event) {
	f.order++
	heap.Push(&f.queue, event{at: at, order: f.order, host: host, input: input})
}

func (f *fleet) until(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		start := time.Now()
		actions := f.hosts[next.host].Step(f.now, next.input)
		f.cpuTime += time.Since(start)
		for _, action := range actions {
			f.perform(next.host, action)
		}
	}
}

func (f *fleet) perform(host string, action relayer.Action) {
	switch a := action.(type) {
	case relayer.Dial:
		f.push(f.now+2*latency, a.Peer, relayer.PeerUp{Peer: host})
		f.push(f.now+2*latency, host, relayer.PeerUp{Peer: a.Peer, Outbound: true})
	case relayer.Disconnect:
		f.push(f.now+latency, a.Peer, relayer.PeerDown{Peer: host})
	case relayer.Send:
		f.send(host, a)
	case relayer.Deliver:
		if a.Item.Key == f.measuredKey {
			f.deliveries++
			f.lastDelivery = f.now
		}
	}
}

func (f *fleet) send(host string, a relayer.Send) {
	start := time.Now()
	data, err := framer.EncodeFrame(a.Frame)
	if err != nil {
		panic(err)
	}
	if _, err := framer.DecodeFrame(data); err != nil {
		panic(err)
	}
	f.cpuTime += time.Since(start)
	if f.bytes != nil {
		size := float64(len(data) + frameOverhead)
		f.bytes[host] += size
		f.bytes[a.Peer] += size
		f.frames[host]++
		f.frames[a.Peer]++
	}
	f.push(f.now+latency, a.Peer, relayer.Received{Peer: host, Frame: a.Frame})
}

func maxValue(values map[string]float64) float64 {
	list := make([]float64, 0, len(values))
	for _, value := range values {
		list = append(list, value)
	}
	sort.Float64s(list)
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1]
}
