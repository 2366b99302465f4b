package load

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/balancer"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/retrier"
	"rhubarbtrack.example/core/slicer"
)

// Intervals of the protocol, and durations of the parts that are not simulated.
const (
	leaseInterval           = 200 * time.Millisecond
	leaderHeartbeatInterval = 500 * time.Millisecond
	controlReplyInterval    = 300 * time.Millisecond // between replies of an upstream to the controller
	loadReportInterval      = 500 * time.Millisecond // also the age of a load report when it reaches a host
	tickInterval            = 10 * time.Millisecond
	commitTime              = 5 * time.Millisecond  // of one write to the store
	relayTime               = 20 * time.Millisecond // longest time until a table change reaches an entry host
	floodTime               = 5 * time.Millisecond  // until a detector report reaches all hosts
	controllerDomain        = 0
)

// ours is the router that uses the packages in core. The entry host that receives a request chooses the upstream; the
// admission host of that upstream decides when the request is sent.
type ours struct {
	w          *world
	hosts      []*entryHost
	admissions map[*upstream]*admission
	drained    map[*upstream]bool
	moves      map[uint32]*upstream // target of each move, until the slice is granted to it
}

// entryHost is the state of one host as the receiver of callers' requests.
type entryHost struct {
	balancer *balancer.Balancer
	retries  map[bool]*retrier.Retrier // by whether the service is keyed
	detector *detector.Detector
	table    []route               // by slice
	attempts map[uint64][]*attempt // in progress, by request ID
}

type route struct {
	owner *upstream
	fence slicer.Fence
}

// admission is the state of the admission host of one upstream.
type admission struct {
	u        *upstream
	host     int
	admitter *admitter.Admitter
	attempts map[admitter.ID]*attempt
}

// attempt is one attempt of a request, from the entry host through the admission host to the upstream.
type attempt struct {
	request    *request
	admission  *admission
	picked     balancer.Attempt
	dispatched time.Duration // 0 until the request is sent to the upstream
	cancel     func()
}

// attemptResult is the result of an attempt as the entry host receives it.
type attemptResult struct {
	succeeded       bool
	reachedUpstream bool
	failure         retrier.Failure
	retryAfter      time.Duration
}

func newOurs(w *world, seed uint64) *ours {
	o := &ours{w: w, admissions: map[*upstream]*admission{}, drained: map[*upstream]bool{}, moves: map[uint32]*upstream{}}
	for host := range hostCount {
		o.hosts = append(o.hosts, o.newHost(seed*hostCount+uint64(host)))
	}
	for _, u := range w.all() {
		o.addAdmission(u)
	}
	o.sendLeaderHeartbeat()
	w.every(leaseInterval, o.renewLeases)
	w.every(leaderHeartbeatInterval, o.sendLeaderHeartbeat)
	w.every(controlReplyInterval, o.deliverControlReplies)
	w.every(loadReportInterval, o.deliverLoadReports)
	w.every(tickInterval, o.tick)
	return o
}

func (o *ours) newHost(seed uint64) *entryHost {
	h := &entryHost{
		balancer: balancer.New(balancer.Options{Seed: seed}),
		detector: detector.New(detector.Options{}),
		retries: map[bool]*retrier.Retrier{
			true:  retrier.New(retrier.Options{Seed: seed}),
			false: retrier.New(retrier.Options{Seed: seed + 1}),
		},
		table:    make([]route, len(o.w.owners)),
		attempts: map[uint64][]*attempt{},
	}
	for slice := 1; slice < len(h.table); slice++ {
		h.table[slice] = route{o.w.owners[slice], o.w.fence(uint32(slice))}
	}
	return h
}

// addAdmission sets up the admission host of u, in the failure domain of u. An upstream that is warm at the start of a
// run is assumed to have run for long: a load report with all slots in use raises its limit.
func (o *ours) addAdmission(u *upstream) {
	host := u.domain + domainCount*(u.index/domainCount%3)
	a := &admission{u: u, host: host, attempts: map[admitter.ID]*attempt{}}
	a.admitter = admitter.New(admitter.Options{Slots: slots, Keyed: u.keyed, Status: o.hosts[host].detector.Status})
	o.admissions[u] = a
	if u.warm {
		o.step(a, admitter.LoadReported{Incarnation: u.incarnation(), InFlight: slots})
		o.step(a, admitter.LoadReported{Incarnation: u.incarnation()})
	}
	o.step(a, admitter.LeaseRenewed{Epoch: 1, SentAt: o.w.now})
	var fences []slicer.Fence
	for _, fence := range u.held {
		fences = append(fences, fence)
	}
	slices.SortFunc(fences, func(a, b slicer.Fence) int { return int(a.Slice) - int(b.Slice) })
	o.step(a, admitter.SlicesServed{Fences: fences})
	u.onDisconnect = func() {
		o.w.after(o.w.delay(hostDomain(host), u.domain), func() { o.step(a, admitter.IncarnationObserved{}) })
	}
}

func (o *ours) forEachAdmission(action func(*admission)) {
	for _, u := range o.w.all() {
		action(o.admissions[u])
	}
}

func (o *ours) renewLeases() {
	o.forEachAdmission(func(a *admission) {
		o.step(a, admitter.LeaseRenewed{Epoch: 1, SentAt: o.w.now - 2*o.w.delay(controllerDomain, a.u.domain)})
	})
}

func (o *ours) tick() {
	o.forEachAdmission(func(a *admission) {
		if a.admitter.Queued() > 0 {
			o.step(a, admitter.Tick{})
		}
	})
}

// deliverControlReplies passes the load in the upstreams' replies to the controller on to their admission hosts.
func (o *ours) deliverControlReplies() {
	o.forEachAdmission(func(a *admission) {
		if !a.u.down {
			o.step(a, admitter.LoadReported{Incarnation: a.u.incarnation(), InFlight: len(a.u.running)})
		}
	})
}

// sendLeaderHeartbeat sends all hosts the list of cold and drained upstreams, as the controller's heartbeat does.
func (o *ours) sendLeaderHeartbeat() {
	targets := make([]balancer.Target, 0, len(o.w.other))
	for _, u := range o.w.other {
		targets = append(targets, balancer.Target{
			Name:          u.name,
			FailureDomain: string(rune('a' + u.domain)),
			Slots:         slots,
			Cold:          o.admissions[u].admitter.Cold(),
			Drained:       o.drained[u],
		})
	}
	for _, h := range o.hosts {
		h.balancer.SetTargets(o.w.now, targets)
	}
}

// deliverLoadReports sends the load of the upstreams to all hosts, one interval late. A slowed upstream reports that it
// is idle, so that load reports do not reveal that it is slow.
func (o *ours) deliverLoadReports() {
	for _, u := range o.w.other {
		load := len(u.running)
		if o.w.now < u.slowUntil {
			load = 0
		}
		o.w.after(loadReportInterval, func() {
			for _, h := range o.hosts {
				h.balancer.Report(o.w.now, balancer.Reported{Upstream: u.name, InFlight: load, Age: loadReportInterval})
			}
		})
	}
}

// Methods of the entry host.

func (o *ours) route(r *request) {
	h := o.hosts[r.host]
	h.retries[r.keyed].CountRequest()
	o.w.after(deadline, func() { o.abandon(r) })
	o.startAttempt(r)
}

func (o *ours) startAttempt(r *request) {
	if r.done {
		return
	}
	h := o.hosts[r.host]
	if r.keyed {
		route := h.table[r.slice]
		o.send(&attempt{request: r, admission: o.admissions[route.owner]}, route.fence)
		return
	}
	picked, ok := h.balancer.Pick(o.w.now, r.class, nil)
	if !ok {
		o.w.finish(r, false)
		return
	}
	att := o.sendTo(r, picked)
	if delay, ok := h.balancer.HedgeAfter(o.w.now, picked); ok {
		o.w.after(delay, func() { o.hedge(att) })
	}
}

func (o *ours) sendTo(r *request, picked balancer.Attempt) *attempt {
	u := o.w.other[slices.IndexFunc(o.w.other, func(u *upstream) bool { return u.name == picked.Upstream })]
	att := &attempt{request: r, admission: o.admissions[u], picked: picked}
	o.send(att, slicer.Fence{})
	return att
}

func (o *ours) hedge(att *attempt) {
	r := att.request
	h := o.hosts[r.host]
	if r.done || !slices.Contains(h.attempts[r.id], att) || h.retries[r.keyed].Failing() {
		return
	}
	if h.detector.Status(o.w.now, signature(r)) != detector.Clear {
		return
	}
	if picked, ok := h.balancer.Hedge(o.w.now, att.picked); ok {
		o.sendTo(r, picked)
	}
}

func (o *ours) hopDelay(att *attempt) time.Duration {
	if att.request.host == att.admission.host {
		return 0
	}
	return o.w.delay(hostDomain(att.request.host), hostDomain(att.admission.host))
}

func (o *ours) send(att *attempt, fence slicer.Fence) {
	r := att.request
	h := o.hosts[r.host]
	h.attempts[r.id] = append(h.attempts[r.id], att)
	o.w.after(o.hopDelay(att), func() {
		if r.done {
			o.completeAttempt(att, attemptResult{})
			return
		}
		id := admitter.ID(r.id)
		att.admission.attempts[id] = att
		o.step(att.admission, admitter.Offered{ID: id, Class: r.class, Fence: fence, Deadline: r.deadline, Signature: signature(r)})
	})
}

// signature returns 1 for poison requests. The other requests of a slice share 16 signatures, as in a service with few
// paths.
func signature(r *request) uint64 {
	if r.poison {
		return 1
	}
	return 2 + uint64(r.slice)<<8 + r.id%16
}

// completeAttempt handles the result of an attempt. It retries the request when no other attempt of it is in progress.
func (o *ours) completeAttempt(att *attempt, result attemptResult) {
	r := att.request
	h := o.hosts[r.host]
	h.attempts[r.id] = slices.DeleteFunc(h.attempts[r.id], func(other *attempt) bool { return other == att })
	if len(h.attempts[r.id]) == 0 {
		delete(h.attempts, r.id)
	}
	if result.reachedUpstream {
		h.retries[r.keyed].Observe(result.succeeded)
	}
	if !r.keyed {
		o.observe(h, att, result)
	}
	switch {
	case r.done:
	case result.succeeded:
		o.w.finish(r, true)
	case len(h.attempts[r.id]) == 0:
		o.retry(r, h, result)
	}
}

func (o *ours) observe(h *entryHost, att *attempt, result attemptResult) {
	outcome := balancer.Failed
	switch {
	case result.succeeded:
		outcome = balancer.Succeeded
	case att.request.done:
		outcome = balancer.Cancelled
	case result.failure != retrier.Unknown:
		outcome = balancer.Shed
	}
	superseded, ok := h.balancer.Observe(o.w.now, balancer.Ended{Attempt: att.picked, Outcome: outcome})
	if !ok {
		return
	}
	for _, other := range h.attempts[att.request.id] {
		if other.picked == superseded {
			o.withdraw(other)
		}
	}
}

func (o *ours) retry(r *request, h *entryHost, result attemptResult) {
	if result.failure == retrier.Rerouted {
		r.reroutes++
	} else {
		r.attempts++
	}
	decision := h.retries[r.keyed].Allow(o.w.now, retrier.Attempt{
		Class: r.class, Failure: result.failure, Number: r.attempts, Reroutes: r.reroutes, RetryAfter: result.retryAfter,
		Deadline: r.deadline,
	})
	if !decision.Retry {
		o.w.finish(r, false)
		return
	}
	o.w.after(decision.Delay, func() { o.startAttempt(r) })
}

func (o *ours) abandon(r *request) {
	for _, att := range slices.Clone(o.hosts[r.host].attempts[r.id]) {
		o.withdraw(att)
	}
}

func (o *ours) withdraw(att *attempt) {
	o.w.after(o.hopDelay(att), func() {
		id := admitter.ID(att.request.id)
		if att.admission.attempts[id] != att {
			return
		}
		o.step(att.admission, admitter.Withdrawn{ID: id})
		if att.dispatched == 0 {
			o.reply(att, attemptResult{})
		}
	})
}

// Methods of the admission host.

func (o *ours) step(a *admission, event admitter.Event) {
	for _, action := range a.admitter.Step(o.w.now, event) {
		o.perform(a, action)
	}
}

func (o *ours) perform(a *admission, action admitter.Action) {
	switch action := action.(type) {
	case admitter.Dispatch:
		o.dispatch(a.attempts[action.ID], action.Fence)
	case admitter.Reject:
		failure := retrier.NotRun
		if action.Reason.Reroutable() {
			failure = retrier.Rerouted
		}
		o.reply(a.attempts[action.ID], attemptResult{failure: failure, retryAfter: action.RetryAfter})
	case admitter.Cancel:
		if att := a.attempts[action.ID]; att.cancel != nil {
			att.cancel()
		}
	case admitter.SliceDrained:
		o.w.after(o.w.delay(controllerDomain, a.u.domain), func() { o.handOver(action.Fence.Slice) })
	case admitter.CrashDetected:
		o.flood(a, detector.Crash{Signatures: action.Signatures, Alone: action.Alone})
	case admitter.CrashRetracted:
		o.flood(a, detector.Retracted{Signatures: action.Signatures})
	case admitter.RanAlone:
		o.flood(a, detector.Completed{Signature: action.Signature})
	}
}

// flood updates the detector of the admission host immediately and those of all hosts after floodTime.
func (o *ours) flood(a *admission, event detector.Event) {
	reports := o.hosts[a.host].detector.Observe(o.w.now, event)
	o.w.after(0, func() { o.step(a, admitter.Tick{}) })
	o.w.after(floodTime, func() {
		for _, h := range o.hosts {
			h.detector.Observe(o.w.now, detector.Reported{Reports: reports})
		}
	})
}

func (o *ours) dispatch(att *attempt, fence slicer.Fence) {
	att.dispatched = o.w.now
	a := att.admission
	networkDelay := o.w.delay(hostDomain(a.host), a.u.domain)
	o.w.after(networkDelay, func() {
		att.cancel = a.u.serve(att.request, fence, func(response reply) {
			o.w.after(networkDelay, func() { o.completeDispatch(att, response) })
		})
	})
}

func (o *ours) completeDispatch(att *attempt, response reply) {
	a := att.admission
	failure := retrier.Unknown
	if response.outcome.NotRun() {
		failure = retrier.NotRun
	}
	o.reply(att, attemptResult{
		succeeded:       response.outcome == admitter.Succeeded,
		reachedUpstream: response.outcome != admitter.Cancelled,
		failure:         failure,
	})
	o.step(a, admitter.Ended{
		ID:          admitter.ID(att.request.id),
		Outcome:     response.outcome,
		Latency:     o.w.now - att.dispatched,
		Incarnation: response.incarnation,
	})
}

func (o *ours) reply(att *attempt, result attemptResult) {
	delete(att.admission.attempts, admitter.ID(att.request.id))
	o.w.after(o.hopDelay(att), func() { o.completeAttempt(att, result) })
}

// Methods of the controller.

func (o *ours) move(slice uint32, to *upstream) {
	if _, moving := o.moves[slice]; moving || o.w.owners[slice] == to {
		return
	}
	o.moves[slice] = to
	from := o.admissions[o.w.owners[slice]]
	o.w.after(o.w.delay(controllerDomain, from.u.domain), func() {
		o.step(from, admitter.SlicesStopped{Fences: []slicer.Fence{o.w.fence(slice)}})
	})
}

// handOver moves a slice whose old admission host has reported it as drained: it revokes the grant of the old owner,
// commits the new owner to the store, grants the slice to it and sends the new route to the hosts.
func (o *ours) handOver(slice uint32) {
	to, moving := o.moves[slice]
	if !moving {
		return
	}
	from, old := o.w.owners[slice], o.w.fence(slice)
	revoke := 2 * o.w.delay(controllerDomain, from.domain)
	grant := 2 * o.w.delay(controllerDomain, to.domain)
	o.w.after(revoke, func() { delete(from.held, slice) })
	o.w.after(revoke+commitTime+grant, func() {
		o.w.epochs[slice]++
		o.w.owners[slice] = to
		fence := o.w.fence(slice)
		to.held[slice] = fence
		delete(o.moves, slice)
		o.step(o.admissions[to], admitter.SlicesServed{Fences: []slicer.Fence{fence}})
		for _, h := range o.hosts {
			delay := time.Duration(o.w.random.Int64N(int64(relayTime)))
			o.w.after(delay, func() { h.table[slice] = route{to, fence} })
		}
		o.w.after(relayTime, func() {
			o.step(o.admissions[from], admitter.SlicesRemoved{Fences: []slicer.Fence{old}})
		})
	})
}

func (o *ours) drain(list []*upstream, drained bool) {
	for _, u := range list {
		o.drained[u] = drained
	}
}

func (o *ours) ready(u *upstream) int { return o.admissions[u].admitter.Limit() }
