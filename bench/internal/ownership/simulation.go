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
	hostCount         = 11 // the largest fleet of section 2 today
	domains           = 3
	tickInterval      = 20 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	sampleInterval    = 10 * time.Millisecond
	drainTime         = 20 * time.Millisecond // in-flight requests of a stopped slice
)

// simulation runs the hosts, upstreams and store of one service in virtual time.
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

// host is one daemon: witness, elector, controller and the admission leases it holds.
type host struct {
	name       string
	domain     string
	dead       bool
	witness    *witness.Witness
	elector    *elector.Elector
	controller *controller.Controller
	right      elector.LeaderLease
	term       uint64
	seq        uint64
	end        time.Duration // of the leases
	leases     map[string]controller.Lease
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
		SliceCount: upstreams * slicesPerServer,
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
	return fmt.Sprintf("domain-%d", i%domains)
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
		s.elect(h, list)
		s.control(h, controller.Configured{Snapshot: s.snapshot})
		s.every(h, tickInterval, func() {
			s.elect(h, elector.Tick{})
			s.control(h, controller.Tick{})
		})
		s.every(h, heartbeatInterval, func() { s.beat(h) })
	}
}

// every repeats a task with a random phase while the host lives.
func (s *simulation) every(h *host, interval time.Duration, run func()) {
	var again func()
	again = func() {
		if h.dead {
			return
		}
		run()
		s.after(interval, again)
	}
	s.after(time.Duration(s.random.Int64N(int64(interval))), again)
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.tasks++
	heap.Push(&s.queue, task{at: s.now + delay, number: s.tasks, run: run})
}

func (s *simulation) run(span time.Duration) {
	end := s.now + span
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(task)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// send delivers a message to a host or upstream after the one-way time of the library's network, 0.5 ms, and up to 1 ms
// of processing.
func (s *simulation) send(run func()) {
	s.messages++
	s.after(500*time.Microsecond+time.Duration(s.random.Int64N(int64(time.Millisecond))), run)
}

// storeLatency is the time of one store call; the platform answers in milliseconds.
func storeLatency(random *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(random.Int64N(int64(6*time.Millisecond)))
}

func (s *simulation) call(h *host, run func(), answer func()) {
	s.storeCalls++
	s.after(storeLatency(s.random), func() {
		if s.storeDown || h.dead {
			return
		}
		run()
		answer()
	})
}

func (s *simulation) elect(h *host, event elector.Event) {
	for _, action := range h.elector.Step(s.now, event) {
		switch action := action.(type) {
		case elector.SendConfirm:
			s.confirm(h, action)
		case elector.ReadRecord:
			s.readRecord(h, action.Operation)
		case elector.WriteRecord:
			s.writeRecord(h, action)
		case elector.LeaderLease:
			h.right = action
			s.control(h, controller.LeaderLease(action))
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
			s.elect(to, elector.PromiseGranted{Holder: action.Request.Holder})
		}
		s.send(func() { s.elect(h, elector.ConfirmReply{Reply: reply}) })
	})
}

func (s *simulation) readRecord(h *host, operation uint64) {
	read := elector.RecordRead{}
	s.call(h, func() {
		read = s.record
		read.Operation = operation
		read.Outcome = elector.Done
	}, func() { s.elect(h, read) })
}

func (s *simulation) writeRecord(h *host, action elector.WriteRecord) {
	written := elector.RecordWritten{Operation: action.Operation, Outcome: elector.Conflict}
	s.call(h, func() {
		if s.record.Version != action.Expect {
			return
		}
		s.record.Version++
		s.record.Outcome = elector.Done
		s.record.Record = action.Record
		written.Outcome = elector.Done
		written.Version = s.record.Version
		s.showRecord()
	}, func() { s.elect(h, written) })
}

// showRecord delivers the record to every host, as the watch and the relay do.
func (s *simulation) showRecord() {
	shown := s.record
	for _, h := range s.hosts {
		s.send(func() {
			if !h.dead {
				h.witness.Observe(shown.Record)
				s.elect(h, shown)
			}
		})
	}
}

func (s *simulation) control(h *host, event controller.Event) {
	for _, action := range h.controller.Step(s.now, event) {
		switch action := action.(type) {
		case controller.SendOrder:
			s.order(h, action)
		case controller.SendLeases:
			s.lease(h, action)
		case controller.ReadTable:
			s.readTable(h, action)
		case controller.WriteTable:
			s.writeTable(h, action)
		case controller.Resign:
			s.elect(h, elector.Resigned{})
		}
	}
}

func (s *simulation) order(h *host, action controller.SendOrder) {
	u := s.upstreams[action.Upstream]
	s.send(func() {
		if u.dead {
			return
		}
		reply := u.order(s.now, action)
		s.send(func() { s.tell(h, reply) })
	})
}

func (s *simulation) tell(h *host, event controller.Event) {
	if !h.dead {
		s.control(h, event)
	}
}

func (s *simulation) readTable(h *host, action controller.ReadTable) {
	read := controller.TableRead{}
	s.call(h, func() {
		read = s.table
		read.Table = read.Table.Clone()
		read.Operation = action.Operation
		read.Outcome = controller.Done
	}, func() { s.control(h, read) })
}

func (s *simulation) writeTable(h *host, action controller.WriteTable) {
	written := controller.TableWritten{Operation: action.Operation, Outcome: controller.Conflict}
	s.call(h, func() {
		if s.table.Version != action.Expect {
			return
		}
		s.table = controller.TableRead{Version: action.Expect + 1, Stamp: action.Stamp, Table: action.Table}
		written.Outcome = controller.Done
		written.Version = s.table.Version
	}, func() { s.control(h, written) })
}

// beat sends a heartbeat to the host with the right to act.
func (s *simulation) beat(h *host) {
	to := s.acting()
	if to == nil {
		return
	}
	beat := controller.Heartbeat{Host: h.name, Incarnation: "1", FailureDomain: h.domain, Sent: s.now, Term: h.term}
	for _, name := range slices.Sorted(maps.Keys(h.leases)) {
		if s.now < h.end {
			beat.Leases = append(beat.Leases, controller.HeldLease{Upstream: name, Epoch: h.leases[name].Epoch})
		}
	}
	s.send(func() { s.tell(to, beat) })
}

func (s *simulation) acting() *host {
	for _, h := range s.hosts {
		if !h.dead && h.right.Term > 0 && s.now < h.right.Until {
			return h
		}
	}
	return nil
}

func (s *simulation) lease(from *host, action controller.SendLeases) {
	index := slices.IndexFunc(s.hosts, func(other *host) bool { return other.name == action.Host })
	to := s.hosts[index]
	s.send(func() {
		rank := action.Term<<32 + action.Seq
		if to.dead || rank <= to.seq {
			return
		}
		to.seq = rank
		to.term = action.Term
		if action.Query {
			s.beat(to)
			return
		}
		to.end = action.HeartbeatSent + action.Lifetime
		to.leases = map[string]controller.Lease{}
		for _, lease := range action.Leases {
			to.leases[lease.Upstream] = lease
			s.answerStop(from, to, action, lease)
		}
	})
}

func (s *simulation) answerStop(from, to *host, action controller.SendLeases, lease controller.Lease) {
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
		s.send(func() { s.tell(from, answer) })
	})
}

// outage runs for a span and returns the longest time in which one slice could not be served.
func (s *simulation) outage(span time.Duration) time.Duration {
	count := s.snapshot.Services[service].SliceCount
	since := make([]time.Duration, count+1)
	for i := range since {
		since[i] = s.now
	}
	worst := time.Duration(0)
	for end := s.now + span; s.now < end; {
		s.run(sampleInterval)
		for id := range s.served() {
			since[id] = s.now
		}
		for _, last := range since[1:] {
			worst = max(worst, s.now-last)
		}
	}
	return worst
}

// served returns the slices that a host admits to and whose upstream accepts their fence.
func (s *simulation) served() map[uint32]bool {
	served := map[uint32]bool{}
	for _, h := range s.hosts {
		if h.dead || s.now >= h.end {
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

// victim returns a random upstream.
func (s *simulation) victim() *upstream {
	names := slices.Sorted(maps.Keys(s.upstreams))
	return s.upstreams[names[s.random.IntN(len(names))]]
}

func (s *simulation) killUpstream() {
	s.victim().dead = true
}

func (s *simulation) restartUpstream() {
	s.victim().restart()
}

func (s *simulation) killController() {
	s.acting().dead = true
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
	drained := next.Upstreams[s.victim().name]
	drained.Drained = true
	next.Upstreams[drained.Name] = drained
	s.snapshot = &next
	for _, h := range s.hosts {
		s.control(h, controller.Configured{Snapshot: s.snapshot})
	}
}
