package ownership

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/elector"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/witness"
)

const (
	service           = "shelf-marks"
	hostCount         = 11 // the largest deployment for which there are requirements
	domainCount       = 3
	tickInterval      = 20 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	sampleInterval    = 10 * time.Millisecond
	drainTime         = 20 * time.Millisecond // until the requests in flight of a stopped slice have ended
)

// simulation runs the hosts, the upstreams and the store of one service in virtual time.
type simulation struct {
	now        time.Duration
	random     *rand.Rand
	queue      queue
	tasks      uint64
	snapshot   *configurator.Snapshot
	hosts      []*host
	upstreams  map[string]*upstream
	record     elector.RecordRead
	table      controller.TableRead
	storeDown  bool
	storeCalls int
	messages   int
}

// host is one daemon with its witness, elector and controller, and the admission leases that it holds.
type host struct {
	name        string
	domain      string
	dead        bool
	witness     *witness.Witness
	elector     *elector.Elector
	controller  *controller.Controller
	leaderLease elector.LeaderLease
	term        uint64
	lastRank    uint64        // term and sequence number of the last SendLeases
	leaseEnd    time.Duration // of all leases
	leases      map[string]controller.Lease
}

type task struct {
	at     time.Duration
	number uint64
	run    func()
}

type queue []task

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}
func (q *queue) Push(x any) { *q = append(*q, x.(task)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, upstreams int) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewPCG(seed, 1)),
		snapshot:  configurator.New(),
		upstreams: map[string]*upstream{},
	}
	s.snapshot.Services[service] = configurator.Service{
		Name:       service,
		Keyed:      true,
		SliceCount: upstreams * slicesPerUpstream,
	}
	for i := range upstreams {
		s.addUpstream(i)
	}
	for i := range hostCount {
		s.addHost(i)
	}
	s.startHosts()
	return s
}

func (s *simulation) addUpstream(i int) {
	name := fmt.Sprintf("upstream-%02d", i)
	s.upstreams[name] = &upstream{name: name, held: map[uint32]slicer.Fence{}}
	s.snapshot.Upstreams[name] = configurator.Upstream{
		Name:          name,
		Service:       service,
		FailureDomain: domain(i),
		Address:       name,
		Slots:         6,
		ChecksFence:   true,
	}
}

func domain(i int) string {
	return fmt.Sprintf("domain-%d", i%domainCount)
}

func (s *simulation) addHost(i int) {
	h := &host{name: fmt.Sprintf("host-%02d", i), domain: domain(i), leases: map[string]controller.Lease{}}
	self := witness.Holder{Host: h.name, Incarnation: "1"}
	h.witness = witness.New(witness.Options{Host: h.name})
	h.elector = elector.New(elector.Options{Service: service, Self: self, Seed: s.random.Uint64()})
	h.controller = controller.New(controller.Options{Service: service, Host: h.name, Incarnation: "1"})
	s.hosts = append(s.hosts, h)
}

func (s *simulation) startHosts() {
	list := elector.Hosts{}
	for _, h := range s.hosts {
		list.Hosts = append(list.Hosts, elector.Host{Name: h.name, FailureDomain: h.domain})
	}
	for _, h := range s.hosts {
		h.witness.Observe(witness.Record{Service: service})
		s.stepElector(h, list)
		s.stepController(h, controller.Configured{Snapshot: s.snapshot})
		s.every(h, tickInterval, func() {
			s.stepElector(h, elector.Tick{})
			s.stepController(h, controller.Tick{})
		})
		s.every(h, heartbeatInterval, func() { s.sendHeartbeat(h) })
	}
}

// every runs a task of h at each interval, from a random time within the first one, until h crashes.
func (s *simulation) every(h *host, interval time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		if h.dead {
			return
		}
		run()
		s.after(interval, repeat)
	}
	s.after(time.Duration(s.random.Int64N(int64(interval))), repeat)
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.tasks++
	heap.Push(&s.queue, task{at: s.now + delay, number: s.tasks, run: run})
}

func (s *simulation) advance(duration time.Duration) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// send delivers a message to a host or an upstream after 0.5 ms, the one-way network delay of the deployment library,
// and up to 1 ms of processing.
func (s *simulation) send(run func()) {
	s.messages++
	s.after(500*time.Microsecond+time.Duration(s.random.Int64N(int64(time.Millisecond))), run)
}

// storeLatency returns the duration of one store call. The platform responds within milliseconds, here 2 to 8.
func storeLatency(random *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(random.Int64N(int64(6*time.Millisecond)))
}

// callStore runs the operation run in the store and then respond. During a store outage it never responds.
func (s *simulation) callStore(h *host, run func(), respond func()) {
	s.storeCalls++
	s.after(storeLatency(s.random), func() {
		if s.storeDown || h.dead {
			return
		}
		run()
		respond()
	})
}

func (s *simulation) stepElector(h *host, event elector.Event) {
	for _, action := range h.elector.Step(s.now, event) {
		switch action := action.(type) {
		case elector.SendConfirm:
			s.confirm(h, action)
		case elector.ReadRecord:
			s.readRecord(h, action.Operation)
		case elector.WriteRecord:
			s.writeRecord(h, action)
		case elector.LeaderLease:
			h.leaderLease = action
			s.stepController(h, controller.LeaderLease(action))
		}
	}
}

func (s *simulation) confirm(h *host, action elector.SendConfirm) {
	index := slices.IndexFunc(s.hosts, func(other *host) bool { return other.name == action.Witness })
	to := s.hosts[index]
	s.send(func() {
		if to.dead {
			return
		}
		reply := to.witness.Confirm(s.now, action.Request)
		if reply.Granted && !reply.Probe {
			s.stepElector(to, elector.PromiseGranted{Holder: action.Request.Holder})
		}
		s.send(func() { s.stepElector(h, elector.ConfirmReply{Reply: reply}) })
	})
}

func (s *simulation) readRecord(h *host, operation uint64) {
	read := elector.RecordRead{}
	s.callStore(h, func() {
		read = s.record
		read.Operation = operation
		read.Outcome = elector.Done
	}, func() { s.stepElector(h, read) })
}

func (s *simulation) writeRecord(h *host, action elector.WriteRecord) {
	written := elector.RecordWritten{Operation: action.Operation, Outcome: elector.Conflict}
	s.callStore(h, func() {
		if s.record.Version != action.Expect {
			return
		}
		s.record.Version++
		s.record.Outcome = elector.Done
		s.record.Record = action.Record
		written.Outcome = elector.Done
		written.Version = s.record.Version
		s.publishRecord()
	}, func() { s.stepElector(h, written) })
}

// publishRecord delivers the controller record to every host, as the watch and the relay do.
func (s *simulation) publishRecord() {
	record := s.record
	for _, h := range s.hosts {
		s.send(func() {
			if !h.dead {
				h.witness.Observe(record.Record)
				s.stepElector(h, record)
			}
		})
	}
}

func (s *simulation) stepController(h *host, event controller.Event) {
	for _, action := range h.controller.Step(s.now, event) {
		switch action := action.(type) {
		case controller.SendOrder:
			s.sendOrder(h, action)
		case controller.SendLeases:
			s.sendLeases(h, action)
		case controller.ReadTable:
			s.readTable(h, action)
		case controller.WriteTable:
			s.writeTable(h, action)
		case controller.Resign:
			s.stepElector(h, elector.Resigned{})
		}
	}
}

func (s *simulation) sendOrder(h *host, action controller.SendOrder) {
	u := s.upstreams[action.Upstream]
	s.send(func() {
		if u.dead {
			return
		}
		reply := u.handleOrder(s.now, action)
		s.send(func() { s.deliver(h, reply) })
	})
}

func (s *simulation) deliver(h *host, event controller.Event) {
	if !h.dead {
		s.stepController(h, event)
	}
}

func (s *simulation) readTable(h *host, action controller.ReadTable) {
	read := controller.TableRead{}
	s.callStore(h, func() {
		read = s.table
		read.Table = read.Table.Clone()
		read.Operation = action.Operation
		read.Outcome = controller.Done
	}, func() { s.stepController(h, read) })
}

func (s *simulation) writeTable(h *host, action controller.WriteTable) {
	written := controller.TableWritten{Operation: action.Operation, Outcome: controller.Conflict}
	s.callStore(h, func() {
		if s.table.Version != action.Expect {
			return
		}
		s.table = controller.TableRead{Version: action.Expect + 1, Stamp: action.Stamp, Table: action.Table}
		written.Outcome = controller.Done
		written.Version = s.table.Version
	}, func() { s.stepController(h, written) })
}

// sendHeartbeat sends a heartbeat of h to the active controller, if there is one.
func (s *simulation) sendHeartbeat(h *host) {
	to := s.activeController()
	if to == nil {
		return
	}
	heartbeat := controller.Heartbeat{Host: h.name, Incarnation: "1", FailureDomain: h.domain, Sent: s.now, Term: h.term}
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		if s.now < h.leaseEnd {
			heartbeat.Leases = append(heartbeat.Leases, controller.HeldLease{Upstream: name, Epoch: h.leases[name].Epoch})
		}
	}
	s.send(func() { s.deliver(to, heartbeat) })
}

func (s *simulation) activeController() *host {
	for _, h := range s.hosts {
		if !h.dead && h.leaderLease.Term > 0 && s.now < h.leaderLease.Until {
			return h
		}
	}
	return nil
}

// sendLeases delivers admission leases to a host, which ignores them unless they are newer than the last ones.
func (s *simulation) sendLeases(from *host, action controller.SendLeases) {
	index := slices.IndexFunc(s.hosts, func(other *host) bool { return other.name == action.Host })
	to := s.hosts[index]
	s.send(func() {
		rank := action.Term<<32 + action.Seq
		if to.dead || rank <= to.lastRank {
			return
		}
		to.lastRank = rank
		to.term = action.Term
		if action.Query {
			s.sendHeartbeat(to)
			return
		}
		to.leaseEnd = action.HeartbeatSent + action.Lifetime
		to.leases = map[string]controller.Lease{}
		for _, lease := range action.Leases {
			to.leases[lease.Upstream] = lease
			s.confirmStop(from, to, action, lease)
		}
	})
}

func (s *simulation) confirmStop(from, to *host, action controller.SendLeases, lease controller.Lease) {
	if len(lease.Stop) == 0 {
		return
	}
	answer := controller.StopAnswer{
		Host:        to.name,
		Incarnation: action.Incarnation,
		Upstream:    lease.Upstream,
		Term:        action.Term,
		Seq:         action.Seq,
		Slices:      lease.Stop,
	}
	s.after(drainTime, func() {
		s.send(func() { s.deliver(from, answer) })
	})
}

// longestOutage simulates the duration and returns the longest time for which a slice is not served.
func (s *simulation) longestOutage(duration time.Duration) time.Duration {
	count := s.snapshot.Services[service].SliceCount
	lastServed := make([]time.Duration, count+1)
	for i := range lastServed {
		lastServed[i] = s.now
	}
	worst := time.Duration(0)
	for end := s.now + duration; s.now < end; {
		s.advance(sampleInterval)
		for id := range s.served() {
			lastServed[id] = s.now
		}
		for _, servedAt := range lastServed[1:] {
			worst = max(worst, s.now-servedAt)
		}
	}
	return worst
}

// served returns the slices for which a host has a valid admission lease and whose upstream accepts the fence.
func (s *simulation) served() map[uint32]bool {
	served := map[uint32]bool{}
	for _, h := range s.hosts {
		if h.dead || s.now >= h.leaseEnd {
			continue
		}
		for name, lease := range h.leases {
			for _, fence := range lease.Serve {
				served[fence.Slice] = served[fence.Slice] || s.upstreams[name].holds(s.now, fence)
			}
		}
	}
	maps.DeleteFunc(served, func(_ uint32, ok bool) bool { return !ok })
	return served
}

func (s *simulation) randomUpstream() *upstream {
	names := slices.Sorted(maps.Keys(s.upstreams))
	return s.upstreams[names[s.random.IntN(len(names))]]
}

func (s *simulation) killUpstream() {
	s.randomUpstream().dead = true
}

func (s *simulation) restartUpstream() {
	s.randomUpstream().restart()
}

func (s *simulation) killController() {
	s.activeController().dead = true
	s.killUpstream()
}

func (s *simulation) killWithoutStore() {
	s.storeDown = true
	s.killUpstream()
}

func (s *simulation) drainUpstream() {
	next := *s.snapshot
	next.Revision++
	next.Upstreams = maps.Clone(next.Upstreams)
	drained := next.Upstreams[s.randomUpstream().name]
	drained.Drained = true
	next.Upstreams[drained.Name] = drained
	s.snapshot = &next
	for _, h := range s.hosts {
		s.stepController(h, controller.Configured{Snapshot: s.snapshot})
	}
}
