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

// world runs hosts, fake upstreams and a fake store in virtual time and checks the guarantees after every event.
type world struct {
	now       time.Duration
	random    *rand.Rand
	queue     queue
	count     uint64
	steps     int
	hosts     map[string]*node
	upstreams map[string]*fakeUpstream
	snapshot  *configurator.Snapshot
	table     stored[controller.TableRead]
	record    stored[elector.RecordRead]
	version   uint64
	down      bool // the store
	lose      bool // the store loses answers
	hold      bool // answers to stops are kept in stops instead of being sent
	stops     []func()
	churn     bool   // random slices are moved all the time
	offload   string // upstream whose slices are moved away by choice
	edits     bool   // random keys become hot and cool down all the time
	covered   map[string]map[assignment]bool
	published slicer.Table // the latest one of any controller
	late      int          // percentage of messages that are delayed by up to 2 s
	cut       map[[2]string]bool
	acked     map[uint32]slicer.Slice
	trace     map[controller.Code]int
	wrong     string // first violation
}

func sorted[K cmp.Ordered, V any](from map[K]V) []K { return slices.Sorted(maps.Keys(from)) }

type stored[T any] struct {
	version uint64
	value   T
}

type node struct {
	name, domain, incarnation string
	dead                      bool
	paused                    time.Duration // until then nothing is processed
	stall                     time.Duration // pauses this long with its next order half sent
	rate                      float64
	offset                    time.Duration // between clocks
	witness                   *witness.Witness
	elector                   *elector.Elector
	controller                *controller.Controller
	right                     elector.LeaderLease
	term, seq                 uint64
	leases                    map[string]admitted
}

type admitted struct {
	epoch, term uint64
	end         time.Duration // local clock
	serve       []slicer.Fence
	closed      bool // admits nothing
}

type fakeUpstream struct {
	config      configurator.Upstream
	incarnation string
	dead        bool
	frozen      time.Duration
	rate        float64
	term        uint64
	nonce       string
	issued      time.Duration // local clock
	end         time.Duration // local clock
	held        map[uint32]slicer.Fence
}

type task struct {
	at     time.Duration
	number uint64
	run    func()
}

type queue []task

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(task)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newWorld starts five hosts and the named upstreams; a name that begins with "x" does not check fences.
func newWorld(seed uint64, sliceCount int, upstreams ...string) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*node{}, upstreams: map[string]*fakeUpstream{},
		snapshot: configurator.New(), cut: map[[2]string]bool{}, acked: map[uint32]slicer.Slice{},
		trace: map[controller.Code]int{},
	}
	w.snapshot.Services[service] = configurator.Service{Name: service, Keyed: sliceCount > 0, SliceCount: sliceCount}
	for i, name := range upstreams {
		domain := fmt.Sprintf("domain-%d", i%3)
		config := configurator.Upstream{Name: name, Service: service, FailureDomain: domain, Address: name, Slots: 6,
			ChecksFence: name[0] != 'x'}
		w.snapshot.Upstreams[name] = config
		w.upstreams[name] = &fakeUpstream{config: config, rate: w.rate(), held: map[uint32]slicer.Fence{}}
		w.upstreams[name].restart(w)
	}
	for i := range 5 {
		n := &node{name: fmt.Sprintf("host-%d", i), domain: fmt.Sprintf("domain-%d", i%3), rate: w.rate(),
			offset: time.Duration(w.random.IntN(1000)) * time.Second}
		w.hosts[n.name] = n
	}
	for _, name := range sorted(w.hosts) {
		w.start(w.hosts[name])
		w.beat(w.hosts[name])
	}
	return w
}

// rate is the speed of a clock; two clocks differ by at most 2%.
func (w *world) rate() float64 { return 0.99 + 0.02*w.random.Float64() }

func (w *world) at(delay time.Duration, run func()) {
	w.count++
	heap.Push(&w.queue, task{at: w.now + delay, number: w.count, run: run})
}

// run processes events for a span of time and stops at the first violation.
func (w *world) run(span time.Duration) {
	end := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= end && w.wrong == "" {
		next := heap.Pop(&w.queue).(task)
		w.now = next.at
		next.run()
		w.steps++
		w.check()
	}
	w.now = max(w.now, end)
}

func (w *world) latency() time.Duration {
	if w.random.IntN(100) < w.late {
		return time.Duration(w.random.IntN(2000)) * ms
	}
	return time.Duration(500+w.random.IntN(2000)) * time.Microsecond
}

// send delivers a message between two parties unless they are cut off from each other.
func (w *world) send(from, to string, run func()) {
	if w.cut[[2]string{from, to}] || w.cut[[2]string{to, from}] {
		return
	}
	delay := w.latency()
	if n := w.hosts[from]; n != nil && n.paused > w.now {
		delay += n.paused - w.now
	}
	w.at(delay, run)
}

// host runs an event at a host, after its pause, if the process is still the same.
func (w *world) host(n *node, incarnation string, run func(now time.Duration)) {
	if n.dead || n.incarnation != incarnation {
		return
	}
	if w.now < n.paused {
		w.at(n.paused-w.now, func() { w.host(n, incarnation, run) })
		return
	}
	run(n.clock(w.now))
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

// acts reports whether the host has a valid right to act.
func (n *node) acts(now time.Duration) bool {
	return !n.dead && n.right.Term > 0 && n.clock(now) < n.right.Until
}

// start begins a new process on a host.
func (w *world) start(n *node) {
	w.count++
	n.dead, n.incarnation, n.paused, n.stall = false, fmt.Sprint(w.count), 0, 0
	n.leases, n.term, n.seq, n.right = map[string]admitted{}, 0, 0, elector.LeaderLease{}
	now := n.clock(w.now)
	self := witness.Holder{Host: n.name, Incarnation: n.incarnation}
	n.witness = witness.New(witness.Options{Host: n.name, Started: now})
	n.elector = elector.New(elector.Options{Service: service, Self: self, Started: now, Seed: w.random.Uint64()})
	n.controller = controller.New(controller.Options{Service: service, Host: n.name, Incarnation: n.incarnation,
		Plan: w.plan})
	list := elector.Hosts{}
	for _, name := range sorted(w.hosts) {
		list.Hosts = append(list.Hosts, elector.Host{Name: name, FailureDomain: w.hosts[name].domain})
	}
	w.elect(n, now, list)
	w.control(n, now, controller.Configured{Snapshot: w.snapshot})
	w.every(n, 20*ms, func(now time.Duration) {
		w.elect(n, now, elector.Tick{})
		w.control(n, now, controller.Tick{})
	})
	w.every(n, 500*ms, func(time.Duration) { w.readRecord(n, 0) })
}

func (w *world) plan(now time.Duration, input controller.Input) []controller.Move {
	moves := controller.EvenPlan(now, input)
	if w.churn && input.Voluntary {
		to := input.Upstreams[w.random.IntN(len(input.Upstreams))]
		moves = append(moves, controller.Move{Slice: input.Slices[w.random.IntN(len(input.Slices))].ID, To: to.Name})
	}
	if w.offload != "" && input.Voluntary {
		moves = append(moves, w.offloading(input)...)
	}
	if w.edits && input.Voluntary {
		moves = append(moves, w.edit(input))
	}
	return moves
}

// offloading moves all slices of one upstream to the first other one that may take them.
func (w *world) offloading(input controller.Input) []controller.Move {
	var moves []controller.Move
	for _, upstream := range input.Upstreams {
		if !upstream.Eligible || upstream.Name == w.offload {
			continue
		}
		for _, s := range input.Slices {
			if s.Owner == w.offload && !s.Moving {
				moves = append(moves, controller.Move{Slice: s.ID, To: upstream.Name})
			}
		}
		break
	}
	return moves
}

func (w *world) every(n *node, interval time.Duration, run func(now time.Duration)) {
	incarnation := n.incarnation
	var again func()
	again = func() {
		if n.incarnation == incarnation && !n.dead {
			w.host(n, incarnation, run)
			w.at(interval, again)
		}
	}
	w.at(0, again)
}

// beat sends heartbeats of a host to every controller, for ever.
func (w *world) beat(n *node) {
	w.at(200*ms, func() { w.beat(n) })
	w.host(n, n.incarnation, func(now time.Duration) { w.heartbeat(n, now) })
}

func (w *world) heartbeat(n *node, now time.Duration) {
	beat := controller.Heartbeat{Host: n.name, Incarnation: n.incarnation, FailureDomain: n.domain, Sent: now, Term: n.term}
	for _, name := range sorted(n.leases) {
		if lease := n.leases[name]; now < lease.end {
			beat.Leases = append(beat.Leases, controller.HeldLease{Upstream: name, Term: lease.term, Epoch: lease.epoch})
		}
	}
	for _, to := range sorted(w.hosts) {
		w.tell(n, w.hosts[to], beat)
	}
}

func (w *world) tell(from, to *node, event controller.Event) {
	incarnation := to.incarnation
	w.send(from.name, to.name, func() {
		w.host(to, incarnation, func(now time.Duration) { w.control(to, now, event) })
	})
}

func (w *world) elect(n *node, now time.Duration, event elector.Event) {
	for _, action := range n.elector.Step(now, event) {
		switch action := action.(type) {
		case elector.SendConfirm:
			w.confirm(n, action)
		case elector.ReadRecord:
			w.readRecord(n, action.Operation)
		case elector.WriteRecord:
			w.writeRecord(n, action)
		case elector.LeaderLease:
			n.right = action
			w.control(n, now, controller.LeaderLease(action))
		}
	}
}

func (w *world) confirm(n *node, action elector.SendConfirm) {
	to, own := w.hosts[action.Witness], n.incarnation
	if to == nil {
		return
	}
	incarnation := to.incarnation
	w.send(n.name, to.name, func() {
		w.host(to, incarnation, func(now time.Duration) {
			reply := to.witness.Confirm(now, action.Request)
			if reply.Granted && !reply.Probe {
				w.elect(to, now, elector.PromiseGranted{Holder: action.Request.Holder})
			}
			w.send(to.name, n.name, func() {
				w.host(n, own, func(now time.Duration) { w.elect(n, now, elector.ConfirmReply{Reply: reply}) })
			})
		})
	})
}

// call runs a store call and returns its answer to the host; the answer may be lost after the call took effect.
func (w *world) call(n *node, run func() (answer func(now time.Duration))) {
	incarnation := n.incarnation
	w.send(n.name, "store", func() {
		if w.down {
			return
		}
		answer := run()
		if !w.lose {
			w.send("store", n.name, func() { w.host(n, incarnation, answer) })
		}
	})
}

func (w *world) readRecord(n *node, operation uint64) {
	w.call(n, func() func(time.Duration) {
		read := w.record.value
		read.Outcome, read.Operation, read.Version = elector.Done, operation, w.record.version
		return func(now time.Duration) {
			record := read.Record
			record.Service = service
			n.witness.Observe(record)
			w.elect(n, now, read)
		}
	})
}

func (w *world) writeRecord(n *node, action elector.WriteRecord) {
	w.call(n, func() func(time.Duration) {
		written := elector.RecordWritten{Operation: action.Operation, Outcome: elector.Conflict}
		if w.record.version == action.Expect {
			if action.Record.Term < w.record.value.Record.Term {
				w.fail("record term fell")
			}
			w.version++
			w.record.version, w.record.value.Record = w.version, action.Record
			written.Outcome, written.Version = elector.Done, w.version
		}
		return func(now time.Duration) { w.elect(n, now, written) }
	})
}

func (w *world) control(n *node, now time.Duration, event controller.Event) {
	for _, action := range n.controller.Step(now, event) {
		switch action := action.(type) {
		case controller.SendOrder:
			w.order(n, action)
		case controller.SendLeases:
			w.leases(n, action)
		case controller.ReadTable:
			w.call(n, func() func(time.Duration) {
				read := w.table.value
				read.Outcome, read.Operation, read.Version = controller.Done, action.Operation, w.table.version
				read.Table = read.Table.Clone()
				return func(now time.Duration) { w.control(n, now, read) }
			})
		case controller.WriteTable:
			w.writeTable(n, action)
		case controller.PublishTable:
			w.notePublished(action.Table)
		case controller.Resign:
			w.elect(n, now, elector.Resigned{})
		case controller.Log:
			w.trace[action.Code]++
		}
	}
}

func (w *world) writeTable(n *node, action controller.WriteTable) {
	w.call(n, func() func(time.Duration) {
		written := controller.TableWritten{Operation: action.Operation, Outcome: controller.Conflict}
		if w.table.version == action.Expect {
			if action.Table.Version.Less(w.table.value.Table.Version) {
				w.fail("table version fell")
			}
			for _, entry := range action.Table.Ranges {
				if known := w.acked[entry.ID]; entry.Epoch < known.Epoch || entry.Epoch == known.Epoch && entry.Owner != known.Owner {
					w.fail("committed assignment of slice %d to %s was lost to %s", entry.ID, known.Owner, entry.Owner)
				}
			}
			w.version++
			w.table.version = w.version
			w.table.value = controller.TableRead{Stamp: action.Stamp, Table: action.Table}
			written.Outcome, written.Version = controller.Done, w.version
		}
		return func(now time.Duration) {
			// An answer that arrives after the end of the right acknowledges nothing: the controller ignores it.
			if written.Outcome == controller.Done && n.acts(w.now) {
				for _, entry := range action.Table.Ranges {
					w.acked[entry.ID] = entry
				}
			}
			w.control(n, now, written)
		}
	})
}

// order carries an order to a fake upstream. A delayed order may also arrive twice.
func (w *world) order(n *node, action controller.SendOrder) {
	incarnation := n.incarnation
	arrive := func() {
		u := w.upstreams[action.Upstream]
		if u.dead {
			reply := controller.OrderReply{Upstream: u.config.Name, ID: action.ID, Failed: true, ConnectionRefused: true}
			w.send(u.config.Name, n.name, func() {
				w.host(n, incarnation, func(now time.Duration) { w.control(n, now, reply) })
			})
			return
		}
		w.upstream(u, u.incarnation, func() {
			reply := u.lease(w, action)
			w.send(u.config.Name, n.name, func() {
				w.host(n, incarnation, func(now time.Duration) { w.control(n, now, reply) })
			})
		})
	}
	n.paused = max(n.paused, w.now+n.stall)
	n.stall = 0
	w.send(n.name, action.Upstream, arrive)
	if w.late > 0 && w.random.IntN(20) == 0 {
		w.send(n.name, action.Upstream, arrive)
	}
}

func (w *world) upstream(u *fakeUpstream, incarnation string, run func()) {
	if u.dead || u.incarnation != incarnation {
		return
	}
	if w.now < u.frozen {
		w.at(u.frozen-w.now, func() { w.upstream(u, incarnation, run) })
		return
	}
	run()
}

func (u *fakeUpstream) restart(w *world) {
	w.count++
	u.incarnation, u.dead, u.frozen, u.term, u.end = fmt.Sprint("run-", w.count), false, 0, 0, 0
	u.held, u.nonce = map[uint32]slicer.Fence{}, ""
}

func (u *fakeUpstream) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * u.rate)
}

// lease follows docs/protocols.md.
func (u *fakeUpstream) lease(w *world, order controller.SendOrder) controller.OrderReply {
	now := u.clock(w.now)
	reply := controller.OrderReply{Upstream: u.config.Name, ID: order.ID, Incarnation: u.incarnation}
	if now >= u.end {
		u.held = map[uint32]slicer.Fence{}
	}
	switch {
	case u.config.ChecksFence && order.Term < u.term:
		reply.Refusal = controller.StaleTerm
	case order.Nonce != "" && order.Nonce != u.nonce:
		reply.Refusal = controller.StaleNonce
	case order.Nonce != "" && u.issued+order.Lifetime <= now:
		reply.Refusal = controller.ExpiredNonce
	case order.Nonce != "":
		u.end = u.issued + order.Lifetime
		for _, grant := range order.Remove {
			delete(u.held, grant.Slice)
		}
		for _, grant := range order.Add {
			u.held[grant.Slice] = slicer.Fence{Slice: grant.Slice, Term: order.Term, Epoch: grant.Epoch}
		}
	}
	u.term = max(u.term, order.Term)
	w.count++
	u.nonce, u.issued = fmt.Sprint(u.incarnation, "-", w.count), now
	reply.Term, reply.Nonce = u.term, u.nonce
	for _, id := range sorted(u.held) {
		reply.Held = append(reply.Held, u.held[id])
	}
	return reply
}

// leases carries admission leases to a host, which drains stopped slices within 30 ms.
func (w *world) leases(n *node, action controller.SendLeases) {
	to := w.hosts[action.Host]
	w.send(n.name, to.name, func() {
		w.host(to, action.Incarnation, func(now time.Duration) {
			if action.Term < to.term || action.Term == to.term && action.Seq <= to.seq {
				return
			}
			to.term, to.seq = action.Term, action.Seq
			if action.Query {
				w.heartbeat(to, now)
				return
			}
			to.leases = map[string]admitted{}
			for _, lease := range action.Leases {
				w.admit(n, to, action, lease)
			}
		})
	})
}

func (w *world) admit(n, to *node, action controller.SendLeases, lease controller.Lease) {
	end := action.HeartbeatSent + action.Lifetime
	to.leases[lease.Upstream] = admitted{epoch: lease.Epoch, term: action.Term, end: end, serve: lease.Serve,
		closed: lease.Release || lease.NoNewWork}
	stop := controller.StopAnswer{Host: to.name, Incarnation: to.incarnation, Upstream: lease.Upstream,
		Term: action.Term, Seq: action.Seq, Slices: lease.Stop}
	w.at(time.Duration(w.random.IntN(30))*ms, func() {
		w.host(to, action.Incarnation, func(time.Duration) {
			if len(lease.Stop) > 0 && w.hold {
				w.stops = append(w.stops, func() { w.tell(to, n, stop) })
			} else if len(lease.Stop) > 0 {
				w.tell(to, n, stop)
			}
			if held, ok := to.leases[lease.Upstream]; lease.Release && ok && held.epoch == lease.Epoch && to.seq == action.Seq {
				delete(to.leases, lease.Upstream)
				w.tell(to, n, controller.LeaseReturned{Host: to.name, Incarnation: to.incarnation,
					Upstream: lease.Upstream, Epoch: lease.Epoch})
			}
		})
	})
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// serving returns per slice the upstream and host that can run its requests now.
func (w *world) serving() map[uint32]string {
	serving := map[uint32]string{}
	admission := map[string]string{}
	for _, n := range w.hosts {
		for name, lease := range n.leases {
			if n.dead || lease.closed || n.clock(w.now) >= lease.end {
				continue
			}
			if other := admission[name]; other != "" {
				w.fail("%s and %s admit to %s", other, n.name, name)
			}
			admission[name] = n.name
			u := w.upstreams[name]
			for _, fence := range lease.serve {
				fenced := u.config.ChecksFence
				if fenced && (u.dead || u.held[fence.Slice] != fence || u.clock(w.now) >= u.end) {
					continue
				}
				if other, ok := serving[fence.Slice]; ok {
					w.fail("slice %d is served by %s and %s", fence.Slice, other, name)
				}
				serving[fence.Slice] = name
			}
		}
	}
	return serving
}

// check verifies that every slice has at most one owner as the upstreams that check fences see it, and that at most one
// host can send requests for it to one upstream.
func (w *world) check() {
	acting := ""
	for name, n := range w.hosts {
		if n.acts(w.now) && acting != "" {
			w.fail("%s and %s have the right to act", acting, name)
		}
		if n.acts(w.now) {
			acting = name
		}
	}
	owners := map[uint32]string{}
	for name, u := range w.upstreams {
		if u.dead || !u.config.ChecksFence || u.clock(w.now) >= u.end {
			continue
		}
		for id := range u.held {
			if other, ok := owners[id]; ok {
				w.fail("slice %d is held by %s and %s", id, other, name)
			}
			owners[id] = name
		}
	}
	w.checkKeys()
	for id, name := range w.serving() {
		if other, ok := owners[id]; ok && other != name {
			w.fail("slice %d is served by %s and held by %s", id, name, other)
		}
	}
}

// unserved counts slices that no request can reach.
func (w *world) unserved() int {
	serving := w.serving()
	missing := w.snapshot.Services[service].SliceCount - len(serving)
	for _, name := range serving {
		if u := w.upstreams[name]; u.dead || w.now < u.frozen || len(u.held) == 0 {
			missing++
		}
	}
	return missing
}
