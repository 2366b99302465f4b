// Package relay measures what the relay tree costs a host at several sizes of the fleet, and how fast a change of the
// configuration reaches every host.
//
// All hosts run in one process and in virtual time. The naive baseline is a fleet in which every host watches the store
// and sends heartbeats to every other host.
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
	// latency is the one-way delay between two hosts; regions that are far apart have about this one.
	latency = 10 * time.Millisecond
	// settle is the time in which the tree forms before anything is measured.
	settle = 5 * time.Second
	// window is the measured time.
	window = 5 * time.Second
	// upstreamsPerGroup is the number of upstreams of one controller. The fleet is taken to have as many upstreams as
	// hosts.
	upstreamsPerGroup = 32
	// beaconInterval is that of the controllers.
	beaconInterval = 500 * time.Millisecond
	// frameOverhead is the size of WebSocket, TCP and IP headers of one frame in bytes.
	frameOverhead = 60
	// heartbeatBytes is the size of a heartbeat of the naive baseline with its headers.
	heartbeatBytes = 80

	propagationBound = 4.0        // s
	bandwidthBound   = 25 * 1000  // bytes/s for control
	processorBound   = 0.011      // cores for control
	storeReadBound   = 2000.0 / 2 // calls/s; half of what the store takes is left to others
)

// FleetSizes of the fleet, up to the target.
var FleetSizes = []int{10, 100, 1000, 3400}

// result is what one size costs.
type result struct {
	propagation time.Duration
	bytes       float64 // per second, of the busiest host, both directions
	frames      float64 // per second, of the busiest host, both directions
	processor   float64 // cores of the mean host
	watches     int
}

// Measure returns the lines of all sizes.
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
		line("bandwidth-busiest", 2*5*n*heartbeatBytes, r.bytes, bandwidthBound, "bytes/s")
		line("frames-busiest", 2*5*n, r.frames, 0, "1/s")
		line("processor", 0, r.processor, processorBound, "cores")
		line("store-watches", n, float64(r.watches), storeReadBound, "calls/s")
	}
	return lines
}

// event is something that happens at one host.
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

type fleet struct {
	now      time.Duration
	queue    events
	order    int
	hosts    map[string]*relayer.Relayer
	bytes    map[string]float64
	frames   map[string]float64
	work     time.Duration // processor time of all steps and encodings
	watched  relayer.Key
	reached  int
	reachedT time.Duration
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
		for at := time.Duration(i) * tick / time.Duration(size); at < settle+window; at += tick {
			f.push(at, name, relayer.Ticked{})
		}
	}
	f.pushBeacons(names)
	f.until(settle)
	f.work, f.bytes, f.frames = 0, map[string]float64{}, map[string]float64{}
	f.watched = relayer.Key{Kind: relayer.Config, Name: "config/service/shelf-marks"}
	item := relayer.Item{Key: f.watched, Version: relayer.Version{Seq: 1}, Body: make([]byte, 300)}
	f.push(settle, names[size/2], relayer.Published{Item: item})
	f.until(settle + window)
	watches := 0
	for _, host := range f.hosts {
		if host.IsRoot() {
			watches++
		}
	}
	if f.reached < size {
		f.reachedT = settle + window // not everywhere: the bound is missed
	}
	return result{
		propagation: f.reachedT - settle,
		bytes:       busiest(f.bytes) / window.Seconds(),
		frames:      busiest(f.frames) / window.Seconds(),
		processor:   f.work.Seconds() / window.Seconds() / float64(size),
		watches:     watches,
	}
}

// pushBeacons lets one host of each group of upstreams publish beacons.
func (f *fleet) pushBeacons(names []string) {
	groups := (len(names) + upstreamsPerGroup - 1) / upstreamsPerGroup
	for group := range groups {
		service := fmt.Sprintf("service-%d", group)
		publisher := names[group*len(names)/groups]
		sequence := uint64(0)
		for at := settle / 2; at < settle+window; at += beaconInterval {
			sequence++
			body, err := framer.EncodeLeaderHeartbeat(framer.LeaderHeartbeat{
				Service: service, Term: 1, Seq: sequence, Table: slicer.Version{Term: 1, Seq: 7}, Revision: 9, Holder: publisher,
			})
			if err != nil {
				panic(err)
			}
			f.push(at+time.Duration(group)*time.Millisecond, publisher, relayer.Published{Item: relayer.Item{
				Key:     relayer.Key{Kind: relayer.LeaderHeartbeat, Name: service},
				Version: relayer.Version{Term: 1, Seq: sequence},
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
		f.work += time.Since(start)
		for _, action := range actions {
			f.act(next.host, action)
		}
	}
}

func (f *fleet) act(host string, action relayer.Action) {
	switch a := action.(type) {
	case relayer.Dial:
		f.push(f.now+2*latency, a.Peer, relayer.PeerUp{Peer: host})
		f.push(f.now+2*latency, host, relayer.PeerUp{Peer: a.Peer, Outbound: true})
	case relayer.Disconnect:
		f.push(f.now+latency, a.Peer, relayer.PeerDown{Peer: host})
	case relayer.Send:
		f.send(host, a)
	case relayer.Deliver:
		if a.Item.Key == f.watched {
			f.reached++
			f.reachedT = f.now
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
	f.work += time.Since(start)
	if f.bytes != nil {
		size := float64(len(data) + frameOverhead)
		f.bytes[host] += size
		f.bytes[a.Peer] += size
		f.frames[host]++
		f.frames[a.Peer]++
	}
	f.push(f.now+latency, a.Peer, relayer.Received{Peer: host, Frame: a.Frame})
}

func busiest(values map[string]float64) float64 {
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
