package controller_test

import (
	"cmp"
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
	ms      = time.Millisecond
	service = "shelf-marks"
)

// simulation runs hosts, fake upstreams and a fake store in virtual time and checks the invariants after every event.
type simulation struct {
	now              time.Duration
	random           *rand.Rand
	queue            queue
	sequence         uint64
	steps            int
	hosts            map[string]*node
	upstreams        map[string]*fakeUpstream
	snapshot         *configurator.Snapshot
	table            stored[controller.TableRead]
	record           stored[elector.RecordRead]
	storeVersion     uint64
	storeDown        bool
	dropStoreReplies bool // the store runs calls but its replies are lost
	holdStopAnswers  bool // StopAnswers are kept in heldStopAnswers instead of being sent
	heldStopAnswers  []func()
	churn            bool   // every plan moves a random slice
	offload          string // upstream from which every plan moves all slices
	editKeys         bool   // every plan contains an edit of a random key
	keyFences        map[string]map[fenceKey]bool
	publishedTable   slicer.Table // latest one of any controller
	delayPercent     int          // percentage of messages that are delayed by up to 2 s
	disconnected     map[[2]string]bool
	committed        map[uint32]slicer.Slice
	logCounts        map[controller.Code]int
	violation        string // first violation
}

func sorted[K cmp.Ordered, V any](from map[K]V) []K { return slices.Sorted(maps.Keys(from)) }

type stored[T any] struct {
	version uint64
	value   T
}

type node struct {
	name, domain, incarnation string
	dead                      bool
	pausedUntil               time.Duration // virtual time; earlier events wait
	pauseInOrder              time.Duration // length of a pause that begins while the next order is being sent
	clockRate                 float64
	clockOffset               time.Duration // local clock at virtual time 0
	witness                   *witness.Witness
	elector                   *elector.Elector
	controller                *controller.Controller
	leaderLease               elector.LeaderLease
	term, seq                 uint64
	leases                    map[string]hostLease
}

type hostLease struct {
	epoch, term uint64
	end         time.Duration // local clock
	serve       []slicer.Fence
	closed      bool // admits nothing
}

type fakeUpstream struct {
	config      configurator.Upstream
	incarnation string
	dead        bool
	frozenUntil time.Duration
	clockRate   float64
	term        uint64
	nonce       string
	nonceIssued time.Duration // local clock
	grantEnd    time.Duration // local clock
	held        map[uint32]slicer.Fence
}

type task struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type queue []task

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation starts five hosts and the named upstreams. An upstream whose name begins with "x" does not check
// fences.
func newSimulation(seed uint64, sliceCount int, upstreams ...string) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*node{}, upstreams: map[string]*fakeUpstream{},
		snapshot: configurator.New(), disconnected: map[[2]string]bool{}, committed: map[uint32]slicer.Slice{},
		logCounts: map[controller.Code]int{},
	}
	sim.snapshot.Services[service] = configurator.Service{Name: service, Keyed: sliceCount > 0, SliceCount: sliceCount}
	for i, name := range upstreams {
		domain := fmt.Sprintf("domain-%d", i%3)
		config := configurator.Upstream{Name: name, Service: service, FailureDomain: domain, Address: name, Slots: 6,
			ChecksFence: name[0] != 'x'}
		sim.snapshot.Upstreams[name] = config
		sim.upstreams[name] = &fakeUpstream{config: config, clockRate: sim.randomClockRate(), held: map[uint32]slicer.Fence{}}
		sim.upstreams[name].restart(sim)
	}
	for i := range 5 {
		n := &node{name: fmt.Sprintf("host-%d", i), domain: fmt.Sprintf("domain-%d", i%3), clockRate: sim.randomClockRate(),
			clockOffset: time.Duration(sim.random.IntN(1000)) * time.Second}
		sim.hosts[n.name] = n
	}
	for _, name := range sorted(sim.hosts) {
		sim.start(sim.hosts[name])
		sim.startHeartbeats(sim.hosts[name])
	}
	return sim
}

// randomClockRate returns the rate of a clock. Two clocks differ by at most 2%.
func (sim *simulation) randomClockRate() float64 { return 0.99 + 0.02*sim.random.Float64() }

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, task{at: sim.now + delay, sequence: sim.sequence, run: run})
}

// run processes the events of a span of virtual time and stops at the first violation.
func (sim *simulation) run(span time.Duration) {
	end := sim.now + span
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == "" {
		next := heap.Pop(&sim.queue).(task)
		sim.now = next.at
		next.run()
		sim.steps++
		sim.check()
	}
	sim.now = max(sim.now, end)
}

func (sim *simulation) latency() time.Duration {
	if sim.random.IntN(100) < sim.delayPercent {
		return time.Duration(sim.random.IntN(2000)) * ms
	}
	return time.Duration(500+sim.random.IntN(2000)) * time.Microsecond
}

// send delivers a message unless sender and receiver are disconnected from each other.
func (sim *simulation) send(from, to string, run func()) {
	if sim.disconnected[[2]string{from, to}] || sim.disconnected[[2]string{to, from}] {
		return
	}
	delay := sim.latency()
	if n := sim.hosts[from]; n != nil && n.pausedUntil > sim.now {
		delay += n.pausedUntil - sim.now
	}
	sim.schedule(delay, run)
}

// runOnHost runs an event on a host, after its pause if it is paused, unless the process has been replaced.
func (sim *simulation) runOnHost(n *node, incarnation string, run func(now time.Duration)) {
	if n.dead || n.incarnation != incarnation {
		return
	}
	if sim.now < n.pausedUntil {
		sim.schedule(n.pausedUntil-sim.now, func() { sim.runOnHost(n, incarnation, run) })
		return
	}
	run(n.clock(sim.now))
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.clockOffset + time.Duration(float64(now)*n.clockRate)
}

// isActive reports whether the host has a valid leader lease.
func (n *node) isActive(now time.Duration) bool {
	return !n.dead && n.leaderLease.Term > 0 && n.clock(now) < n.leaderLease.Until
}

// start starts a new process on a host.
func (sim *simulation) start(n *node) {
	sim.sequence++
	n.dead, n.incarnation, n.pausedUntil, n.pauseInOrder = false, fmt.Sprint(sim.sequence), 0, 0
	n.leases, n.term, n.seq, n.leaderLease = map[string]hostLease{}, 0, 0, elector.LeaderLease{}
	now := n.clock(sim.now)
	self := witness.Holder{Host: n.name, Incarnation: n.incarnation}
	n.witness = witness.New(witness.Options{Host: n.name, Started: now})
	n.elector = elector.New(elector.Options{Service: service, Self: self, Started: now, Seed: sim.random.Uint64()})
	n.controller = controller.New(controller.Options{Service: service, Host: n.name, Incarnation: n.incarnation,
		Plan: sim.plan})
	list := elector.Hosts{}
	for _, name := range sorted(sim.hosts) {
		list.Hosts = append(list.Hosts, elector.Host{Name: name, FailureDomain: sim.hosts[name].domain})
	}
	sim.stepElector(n, now, list)
	sim.stepController(n, now, controller.Configured{Snapshot: sim.snapshot})
	sim.runEvery(n, 20*ms, func(now time.Duration) {
		sim.stepElector(n, now, elector.Tick{})
		sim.stepController(n, now, controller.Tick{})
	})
	sim.runEvery(n, 500*ms, func(time.Duration) { sim.readRecord(n, 0) })
}

func (sim *simulation) plan(now time.Duration, input controller.Input) []controller.Move {
	moves := controller.EvenPlan(now, input)
	if sim.churn && input.Voluntary {
		to := input.Upstreams[sim.random.IntN(len(input.Upstreams))]
		moves = append(moves, controller.Move{Slice: input.Slices[sim.random.IntN(len(input.Slices))].ID, To: to.Name})
	}
	if sim.offload != "" && input.Voluntary {
		moves = append(moves, sim.offloadMoves(input)...)
	}
	if sim.editKeys && input.Voluntary {
		moves = append(moves, sim.randomEdit(input))
	}
	return moves
}

// offloadMoves returns moves of all slices of the offloaded upstream to the first other eligible one.
func (sim *simulation) offloadMoves(input controller.Input) []controller.Move {
	var moves []controller.Move
	for _, upstream := range input.Upstreams {
		if !upstream.Eligible || upstream.Name == sim.offload {
			continue
		}
		for _, s := range input.Slices {
			if s.Owner == sim.offload && !s.Moving {
				moves = append(moves, controller.Move{Slice: s.ID, To: upstream.Name})
			}
		}
		break
	}
	return moves
}

func (sim *simulation) runEvery(n *node, interval time.Duration, run func(now time.Duration)) {
	incarnation := n.incarnation
	var repeat func()
	repeat = func() {
		if n.incarnation == incarnation && !n.dead {
			sim.runOnHost(n, incarnation, run)
			sim.schedule(interval, repeat)
		}
	}
	sim.schedule(0, repeat)
}

// startHeartbeats sends heartbeats of a host to all hosts every 200 ms until the end of the simulation.
func (sim *simulation) startHeartbeats(n *node) {
	sim.schedule(200*ms, func() { sim.startHeartbeats(n) })
	sim.runOnHost(n, n.incarnation, func(now time.Duration) { sim.heartbeat(n, now) })
}

func (sim *simulation) heartbeat(n *node, now time.Duration) {
	heartbeat := controller.Heartbeat{Host: n.name, Incarnation: n.incarnation, FailureDomain: n.domain,
		Sent: now, Term: n.term}
	for _, name := range sorted(n.leases) {
		if lease := n.leases[name]; now < lease.end {
			heartbeat.Leases = append(heartbeat.Leases,
				controller.HeldLease{Upstream: name, Term: lease.term, Epoch: lease.epoch})
		}
	}
	for _, to := range sorted(sim.hosts) {
		sim.sendEvent(n, sim.hosts[to], heartbeat)
	}
}

func (sim *simulation) sendEvent(from, to *node, event controller.Event) {
	incarnation := to.incarnation
	sim.send(from.name, to.name, func() {
		sim.runOnHost(to, incarnation, func(now time.Duration) { sim.stepController(to, now, event) })
	})
}

func (sim *simulation) stepElector(n *node, now time.Duration, event elector.Event) {
	for _, action := range n.elector.Step(now, event) {
		switch action := action.(type) {
		case elector.SendConfirm:
			sim.confirm(n, action)
		case elector.ReadRecord:
			sim.readRecord(n, action.Operation)
		case elector.WriteRecord:
			sim.writeRecord(n, action)
		case elector.LeaderLease:
			n.leaderLease = action
			sim.stepController(n, now, controller.LeaderLease(action))
		}
	}
}

func (sim *simulation) confirm(n *node, action elector.SendConfirm) {
	to, own := sim.hosts[action.Witness], n.incarnation
	if to == nil {
		return
	}
	incarnation := to.incarnation
	sim.send(n.name, to.name, func() {
		sim.runOnHost(to, incarnation, func(now time.Duration) {
			reply := to.witness.Confirm(now, action.Request)
			if reply.Granted && !reply.Probe {
				sim.stepElector(to, now, elector.PromiseGranted{Holder: action.Request.Holder})
			}
			sim.send(to.name, n.name, func() {
				sim.runOnHost(n, own, func(now time.Duration) { sim.stepElector(n, now, elector.ConfirmReply{Reply: reply}) })
			})
		})
	})
}

// callStore runs a store call and delivers its reply to the host. The reply may be lost after the call took effect.
func (sim *simulation) callStore(n *node, run func() (reply func(now time.Duration))) {
	incarnation := n.incarnation
	sim.send(n.name, "store", func() {
		if sim.storeDown {
			return
		}
		reply := run()
		if !sim.dropStoreReplies {
			sim.send("store", n.name, func() { sim.runOnHost(n, incarnation, reply) })
		}
	})
}

func (sim *simulation) readRecord(n *node, operation uint64) {
	sim.callStore(n, func() func(time.Duration) {
		read := sim.record.value
		read.Outcome, read.Operation, read.Version = elector.Done, operation, sim.record.version
		return func(now time.Duration) {
			record := read.Record
			record.Service = service
			n.witness.Observe(record)
			sim.stepElector(n, now, read)
		}
	})
}

func (sim *simulation) writeRecord(n *node, action elector.WriteRecord) {
	sim.callStore(n, func() func(time.Duration) {
		written := elector.RecordWritten{Operation: action.Operation, Outcome: elector.Conflict}
		if sim.record.version == action.Expect {
			if action.Record.Term < sim.record.value.Record.Term {
				sim.fail("term of the stored controller record decreased")
			}
			sim.storeVersion++
			sim.record.version, sim.record.value.Record = sim.storeVersion, action.Record
			written.Outcome, written.Version = elector.Done, sim.storeVersion
		}
		return func(now time.Duration) { sim.stepElector(n, now, written) }
	})
}

func (sim *simulation) stepController(n *node, now time.Duration, event controller.Event) {
	for _, action := range n.controller.Step(now, event) {
		switch action := action.(type) {
		case controller.SendOrder:
			sim.deliverOrder(n, action)
		case controller.SendLeases:
			sim.deliverLeases(n, action)
		case controller.ReadTable:
			sim.callStore(n, func() func(time.Duration) {
				read := sim.table.value
				read.Outcome, read.Operation, read.Version = controller.Done, action.Operation, sim.table.version
				read.Table = read.Table.Clone()
				return func(now time.Duration) { sim.stepController(n, now, read) }
			})
		case controller.WriteTable:
			sim.writeTable(n, action)
		case controller.PublishTable:
			sim.recordPublished(action.Table)
		case controller.Resign:
			sim.stepElector(n, now, elector.Resigned{})
		case controller.Log:
			sim.logCounts[action.Code]++
		}
	}
}

func (sim *simulation) writeTable(n *node, action controller.WriteTable) {
	sim.callStore(n, func() func(time.Duration) {
		written := controller.TableWritten{Operation: action.Operation, Outcome: controller.Conflict}
		if sim.table.version == action.Expect {
			if action.Table.Version.Less(sim.table.value.Table.Version) {
				sim.fail("version of the stored table decreased")
			}
			for _, entry := range action.Table.Ranges {
				if known := sim.committed[entry.ID]; entry.Epoch < known.Epoch ||
					entry.Epoch == known.Epoch && entry.Owner != known.Owner {
					sim.fail("committed assignment of slice %d to %s was overwritten by %s", entry.ID, known.Owner, entry.Owner)
				}
			}
			sim.storeVersion++
			sim.table.version = sim.storeVersion
			sim.table.value = controller.TableRead{Stamp: action.Stamp, Table: action.Table}
			written.Outcome, written.Version = controller.Done, sim.storeVersion
		}
		return func(now time.Duration) {
			// A reply that arrives after the leader lease has expired commits nothing: the controller ignores it.
			if written.Outcome == controller.Done && n.isActive(sim.now) {
				for _, entry := range action.Table.Ranges {
					sim.committed[entry.ID] = entry
				}
			}
			sim.stepController(n, now, written)
		}
	})
}

// deliverOrder delivers an order to a fake upstream. While messages are delayed, it may arrive twice.
func (sim *simulation) deliverOrder(n *node, action controller.SendOrder) {
	incarnation := n.incarnation
	arrive := func() {
		u := sim.upstreams[action.Upstream]
		if u.dead {
			reply := controller.OrderReply{Upstream: u.config.Name, ID: action.ID, Failed: true, ConnectionRefused: true}
			sim.send(u.config.Name, n.name, func() {
				sim.runOnHost(n, incarnation, func(now time.Duration) { sim.stepController(n, now, reply) })
			})
			return
		}
		sim.runOnUpstream(u, u.incarnation, func() {
			reply := u.handleOrder(sim, action)
			sim.send(u.config.Name, n.name, func() {
				sim.runOnHost(n, incarnation, func(now time.Duration) { sim.stepController(n, now, reply) })
			})
		})
	}
	n.pausedUntil = max(n.pausedUntil, sim.now+n.pauseInOrder)
	n.pauseInOrder = 0
	sim.send(n.name, action.Upstream, arrive)
	if sim.delayPercent > 0 && sim.random.IntN(20) == 0 {
		sim.send(n.name, action.Upstream, arrive)
	}
}

func (sim *simulation) runOnUpstream(u *fakeUpstream, incarnation string, run func()) {
	if u.dead || u.incarnation != incarnation {
		return
	}
	if sim.now < u.frozenUntil {
		sim.schedule(u.frozenUntil-sim.now, func() { sim.runOnUpstream(u, incarnation, run) })
		return
	}
	run()
}

func (u *fakeUpstream) restart(sim *simulation) {
	sim.sequence++
	u.incarnation, u.dead, u.frozenUntil, u.term, u.grantEnd = fmt.Sprint("run-", sim.sequence), false, 0, 0, 0
	u.held, u.nonce = map[uint32]slicer.Fence{}, ""
}

func (u *fakeUpstream) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * u.clockRate)
}

// handleOrder implements the upstream side of the lease protocol in docs/protocols.md.
func (u *fakeUpstream) handleOrder(sim *simulation, order controller.SendOrder) controller.OrderReply {
	now := u.clock(sim.now)
	reply := controller.OrderReply{Upstream: u.config.Name, ID: order.ID, Incarnation: u.incarnation}
	if now >= u.grantEnd {
		u.held = map[uint32]slicer.Fence{}
	}
	switch {
	case u.config.ChecksFence && order.Term < u.term:
		reply.Refusal = controller.StaleTerm
	case order.Nonce != "" && order.Nonce != u.nonce:
		reply.Refusal = controller.StaleNonce
	case order.Nonce != "" && u.nonceIssued+order.Lifetime <= now:
		reply.Refusal = controller.ExpiredNonce
	case order.Nonce != "":
		u.grantEnd = u.nonceIssued + order.Lifetime
		for _, grant := range order.Remove {
			delete(u.held, grant.Slice)
		}
		for _, grant := range order.Add {
			u.held[grant.Slice] = slicer.Fence{Slice: grant.Slice, Term: order.Term, Epoch: grant.Epoch}
		}
	}
	u.term = max(u.term, order.Term)
	sim.sequence++
	u.nonce, u.nonceIssued = fmt.Sprint(u.incarnation, "-", sim.sequence), now
	reply.Term, reply.Nonce = u.term, u.nonce
	for _, id := range sorted(u.held) {
		reply.Held = append(reply.Held, u.held[id])
	}
	return reply
}

// deliverLeases delivers admission leases to a host, which drains stopped slices within 30 ms.
func (sim *simulation) deliverLeases(n *node, action controller.SendLeases) {
	to := sim.hosts[action.Host]
	sim.send(n.name, to.name, func() {
		sim.runOnHost(to, action.Incarnation, func(now time.Duration) {
			if action.Term < to.term || action.Term == to.term && action.Seq <= to.seq {
				return
			}
			to.term, to.seq = action.Term, action.Seq
			if action.Query {
				sim.heartbeat(to, now)
				return
			}
			to.leases = map[string]hostLease{}
			for _, lease := range action.Leases {
				sim.applyLease(n, to, action, lease)
			}
		})
	})
}

func (sim *simulation) applyLease(n, to *node, action controller.SendLeases, lease controller.Lease) {
	end := action.HeartbeatSent + action.Lifetime
	to.leases[lease.Upstream] = hostLease{epoch: lease.Epoch, term: action.Term, end: end, serve: lease.Serve,
		closed: lease.Release || lease.NoNewWork}
	stop := controller.StopAnswer{Host: to.name, Incarnation: to.incarnation, Upstream: lease.Upstream,
		Term: action.Term, Seq: action.Seq, Slices: lease.Stop}
	sim.schedule(time.Duration(sim.random.IntN(30))*ms, func() {
		sim.runOnHost(to, action.Incarnation, func(time.Duration) {
			if len(lease.Stop) > 0 && sim.holdStopAnswers {
				sim.heldStopAnswers = append(sim.heldStopAnswers, func() { sim.sendEvent(to, n, stop) })
			} else if len(lease.Stop) > 0 {
				sim.sendEvent(to, n, stop)
			}
			if held, ok := to.leases[lease.Upstream]; lease.Release && ok && held.epoch == lease.Epoch && to.seq == action.Seq {
				delete(to.leases, lease.Upstream)
				sim.sendEvent(to, n, controller.LeaseReturned{Host: to.name, Incarnation: to.incarnation,
					Upstream: lease.Upstream, Epoch: lease.Epoch})
			}
		})
	})
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// serving returns, for each slice, the upstream that requests for it can reach now.
func (sim *simulation) serving() map[uint32]string {
	serving := map[uint32]string{}
	admission := map[string]string{}
	for _, n := range sim.hosts {
		for name, lease := range n.leases {
			if n.dead || lease.closed || n.clock(sim.now) >= lease.end {
				continue
			}
			if other := admission[name]; other != "" {
				sim.fail("both %s and %s admit requests to %s", other, n.name, name)
			}
			admission[name] = n.name
			u := sim.upstreams[name]
			for _, fence := range lease.serve {
				fenced := u.config.ChecksFence
				if fenced && (u.dead || u.held[fence.Slice] != fence || u.clock(sim.now) >= u.grantEnd) {
					continue
				}
				if other, ok := serving[fence.Slice]; ok {
					sim.fail("slice %d is served by both %s and %s", fence.Slice, other, name)
				}
				serving[fence.Slice] = name
			}
		}
	}
	return serving
}

// check verifies that at most one host holds the leader lease, that at most one upstream that checks fences holds a
// slice, and that at most one host admits requests to an upstream.
func (sim *simulation) check() {
	active := ""
	for name, n := range sim.hosts {
		if n.isActive(sim.now) && active != "" {
			sim.fail("both %s and %s hold the leader lease", active, name)
		}
		if n.isActive(sim.now) {
			active = name
		}
	}
	owners := map[uint32]string{}
	for name, u := range sim.upstreams {
		if u.dead || !u.config.ChecksFence || u.clock(sim.now) >= u.grantEnd {
			continue
		}
		for id := range u.held {
			if other, ok := owners[id]; ok {
				sim.fail("slice %d is held by both %s and %s", id, other, name)
			}
			owners[id] = name
		}
	}
	sim.checkKeys()
	for id, name := range sim.serving() {
		if other, ok := owners[id]; ok && other != name {
			sim.fail("slice %d is served by %s and held by %s", id, name, other)
		}
	}
}

// unservedSlices counts the slices that no request can reach.
func (sim *simulation) unservedSlices() int {
	serving := sim.serving()
	missing := sim.snapshot.Services[service].SliceCount - len(serving)
	for _, name := range serving {
		if u := sim.upstreams[name]; u.dead || sim.now < u.frozenUntil || len(u.held) == 0 {
			missing++
		}
	}
	return missing
}
