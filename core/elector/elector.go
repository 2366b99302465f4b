// Package elector decides when a host becomes a candidate for the controller of one service, and when its leader
// lease is valid.
//
// The store orders the terms: a candidate increments the term of the controller record by a conditional write. The
// leader lease comes from the witnesses that the record names. It is valid while a majority of them has promised
// exclusivity; the lifetime of a promise counts from when its request was sent. Promises are renewed without the
// store, so an active controller keeps its lease during a store outage.
//
// Before a candidate writes, it probes the witnesses (a pre-vote). Only if a majority could promise exclusivity to it
// does it start a new term. A host that has only lost its own connections therefore does not replace a working
// controller.
//
// # Usage
//
//	machine := elector.New(elector.Options{Service: "shelf-marks", Self: holder, Started: now, Seed: seed})
//	for _, action := range machine.Step(now, event) {
//		switch action := action.(type) {
//		case elector.LeaderLease:
//			// pass it to the controller of the service
//		}
//	}
//
// The caller reads the clock after it has received the event, and carries out a SendConfirm after Step has returned.
// The lease counts from the time that was passed to Step, which must not be later than the sending.
package elector

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbtrack.example/core/witness"
)

// Intervals.
const (
	// TickInterval is the longest time between two calls of Step.
	TickInterval = 50 * time.Millisecond
	// ConfirmInterval is the time between two requests to a witness. A promise outlasts two lost requests in a row.
	ConfirmInterval = 200 * time.Millisecond
	// ElectionTimeout is the time without a promise after which the first witness of the list becomes a candidate. It
	// is longer than the lifetime of a promise, so the promise to the previous controller has expired.
	ElectionTimeout = 700 * time.Millisecond
	// ElectionTimeoutPerRank is added for each earlier witness of the list, so that they become candidates one by
	// one.
	ElectionTimeoutPerRank = 150 * time.Millisecond
	// AbsenceTimeout is how long a witness must be absent from the platform's host list before it is replaced.
	AbsenceTimeout = 30 * time.Second
)

const (
	// confirmRetry is the time between two requests to a witness until the lease is acquired. It is shorter than
	// ConfirmInterval, because the witnesses reject requests until their promises to the previous holder expire.
	confirmRetry = 50 * time.Millisecond
	// probeTimeout limits the wait for replies to a probe.
	probeTimeout = 200 * time.Millisecond
	// attemptInterval is the minimum time between two candidacies of a host.
	attemptInterval = 300 * time.Millisecond
	// jitterSpan is the range of the random time that is added to attemptInterval, so that two hosts whose
	// candidacies collide do not collide again.
	jitterSpan = 100 * time.Millisecond
	// storeTimeout is the time without a reply after which the outcome of a store call counts as unknown.
	storeTimeout = 500 * time.Millisecond
	// resignCooldown is the time after a resignation in which a host does not become a candidate. It is long enough
	// for the last witness of the list to become one. With 10 s, a service had no controller after all hosts had
	// resigned.
	resignCooldown = ElectionTimeout + WitnessCount*ElectionTimeoutPerRank
	// readInterval is the minimum time between two reads, for a store that rejects calls.
	readInterval = 100 * time.Millisecond
	// replaceInterval is the minimum time between two changes of the witness list. Each change starts a new term.
	replaceInterval = 5 * time.Second
)

// phase is the state of a candidacy.
type phase int

const (
	idle phase = iota
	probing
	writing
	resolving // the outcome of the write is unknown: the record is read back
	holding   // the stored record names this host as holder
)

// Options configures an elector. Times are durations since the same arbitrary origin as those passed to Step.
type Options struct {
	Service         string
	Self            witness.Holder
	Started         time.Duration
	Seed            uint64
	PromiseLifetime time.Duration // witness.Lifetime by default
}

// Elector is the election state of one host for one service. It is not safe for concurrent use.
type Elector struct {
	options        Options
	random         *rand.Rand
	record         witness.Record
	version        uint64
	recordRead     bool
	hosts          map[string]Host
	absentSince    map[string]time.Duration // since when a witness is absent from the host list
	lastPromise    time.Duration            // latest promise of the witness of this host
	nextAttemptAt  time.Duration            // earliest time of the next candidacy
	phase          phase
	phaseAt        time.Duration
	operation      uint64
	readOperation  uint64 // operation of the read under way, 0 when none
	readStartedAt  time.Duration
	nextReadAt     time.Duration // earliest time of the next read
	proposed       witness.Record
	writeOperation uint64 // operation of the write under way, 0 when none
	requestNumber  uint64
	requests       map[uint64]request
	confirmed      map[string]time.Duration // by witness: sending time of the latest granted request of the held term
	probeGranted   map[string]bool          // by witness: whether it granted the latest probe
	nextConfirmAt  time.Duration
	nextReplaceAt  time.Duration
	nextCommitAt   time.Duration
	lease          LeaderLease
	actions        []Action
}

type request struct {
	witness string
	term    uint64
	probe   bool
	sent    time.Duration
}

// New returns an elector that has not read the controller record yet.
func New(options Options) *Elector {
	if options.PromiseLifetime == 0 {
		options.PromiseLifetime = witness.Lifetime
	}
	return &Elector{
		options:      options,
		random:       rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		hosts:        map[string]Host{},
		absentSince:  map[string]time.Duration{},
		lastPromise:  options.Started,
		requests:     map[uint64]request{},
		confirmed:    map[string]time.Duration{},
		probeGranted: map[string]bool{},
	}
}

// Step applies an event and returns the actions that the caller must carry out.
func (e *Elector) Step(now time.Duration, event Event) []Action {
	e.actions = nil
	switch event := event.(type) {
	case PromiseGranted:
		e.lastPromise = now
	case Resigned:
		e.resign(now)
	case ConfirmReply:
		e.applyReply(now, event.Reply)
	case RecordRead:
		e.applyRead(now, event)
	case RecordWritten:
		e.applyWritten(now, event)
	case Hosts:
		e.applyHosts(now, event)
	}
	e.advance(now)
	return e.actions
}

func (e *Elector) advance(now time.Duration) {
	e.expireLease(now)
	e.checkStore(now)
	switch e.phase {
	case idle:
		e.advanceIdle(now)
	case probing:
		e.advanceProbe(now)
	case holding:
		e.replaceWitnesses(now)
		e.commitWitnesses(now)
		e.renewPromises(now)
	}
}

func (e *Elector) advanceIdle(now time.Duration) {
	if !e.recordRead {
		e.read(now)
		return
	}
	wait, eligible := e.electionTimeout(now)
	if !eligible || now < e.lastPromise+wait || now < e.nextAttemptAt {
		return
	}
	e.nextAttemptAt = now + attemptInterval + time.Duration(e.random.Int64N(int64(jitterSpan)))
	e.proposed = e.propose(now)
	e.log(CandidacyStarted, e.proposed.Term)
	e.enter(now, probing)
	e.probeGranted = map[string]bool{}
	for _, host := range e.members(e.proposed) {
		e.sendConfirm(now, host, true)
	}
}

// electionTimeout returns the time without a promise after which this host becomes a candidate, and whether it may be
// one.
func (e *Elector) electionTimeout(now time.Duration) (time.Duration, bool) {
	if e.hosts[e.options.Self.Host].Leaving {
		return 0, false
	}
	list := e.record.Witnesses
	if e.version == 0 || e.lostMajority(now) {
		list = e.chooseWitnesses(now)
	}
	rank := slices.Index(list, e.options.Self.Host)
	return ElectionTimeout + time.Duration(rank)*ElectionTimeoutPerRank, rank >= 0
}

// propose returns the record with which this host becomes the holder. Its witness list is the stored one, unless there
// is none or it has permanently lost its majority.
func (e *Elector) propose(now time.Duration) witness.Record {
	proposed := witness.Record{
		Service:   e.options.Service,
		Term:      e.record.Term + 1,
		Holder:    e.options.Self,
		Witnesses: e.record.Witnesses,
		Previous:  e.record.Previous,
	}
	if e.version == 0 {
		proposed.Witnesses = e.chooseWitnesses(now)
		return proposed
	}
	if e.lostMajority(now) {
		proposed.Previous = e.retained(now, e.record.Witnesses)
		proposed.Witnesses = e.chooseWitnesses(now)
	}
	return proposed
}

// advanceProbe writes the record once a majority of the witnesses has granted the probe.
func (e *Elector) advanceProbe(now time.Duration) {
	if e.proposed.HasMajority(func(host string) bool { return e.probeGranted[host] }) {
		e.write(now, writing)
		return
	}
	if now-e.phaseAt >= probeTimeout {
		e.enter(now, idle)
	}
}

func (e *Elector) write(now time.Duration, next phase) {
	e.operation++
	e.writeOperation = e.operation
	e.proposed.Operation = e.operation
	e.enter(now, next)
	e.actions = append(e.actions, WriteRecord{Operation: e.operation, Expect: e.version, Record: e.proposed})
}

func (e *Elector) read(now time.Duration) {
	if e.readOperation != 0 || now < e.nextReadAt {
		return
	}
	e.nextReadAt = now + readInterval
	e.operation++
	e.readOperation = e.operation
	e.readStartedAt = now
	e.actions = append(e.actions, ReadRecord{Operation: e.operation})
}

// checkStore treats a store call without a reply as one with an unknown outcome.
func (e *Elector) checkStore(now time.Duration) {
	if e.readOperation != 0 && now-e.readStartedAt >= storeTimeout {
		e.readOperation = 0
	}
	if e.writeOperation != 0 && now-e.phaseAt >= storeTimeout {
		e.applyWritten(now, RecordWritten{Operation: e.writeOperation, Outcome: Unknown})
	}
	if e.phase == resolving {
		e.read(now)
	}
}

func (e *Elector) applyWritten(now time.Duration, result RecordWritten) {
	if result.Operation != e.writeOperation {
		return
	}
	e.writeOperation = 0
	switch result.Outcome {
	case Done:
		e.acceptRecord(now, result.Version, e.proposed)
	case Refused:
		if e.phase == writing {
			e.enter(now, idle)
		}
	default:
		if e.phase == writing {
			e.enter(now, resolving)
		}
		e.read(now)
	}
}

func (e *Elector) applyRead(now time.Duration, result RecordRead) {
	completed := result.Operation != 0 && result.Operation == e.readOperation
	if result.Operation != 0 && !completed {
		return
	}
	if completed {
		e.readOperation = 0
	}
	if result.Outcome != Done {
		return
	}
	if !e.recordRead || result.Version > e.version {
		e.acceptRecord(now, result.Version, result.Record)
	}
	if completed && e.phase == resolving {
		// The write has not taken effect. If it still does, the watch reports the record.
		e.enter(now, idle)
	}
}

// acceptRecord applies a stored record: this host becomes the holder, keeps or loses that role, or waits for another
// one.
func (e *Elector) acceptRecord(now time.Duration, version uint64, record witness.Record) {
	e.recordRead = true
	if version <= e.version && e.version != 0 {
		return
	}
	replaced := record.Term != e.record.Term
	e.record = record
	e.version = version
	if version != 0 && record.Holder == e.options.Self {
		e.enterHolding(now, replaced)
		return
	}
	if replaced {
		// The new holder needs time to get promises, so the election time-out starts again.
		e.lastPromise = now
	}
	if e.phase == probing {
		e.enter(now, idle)
	}
	if e.phase == holding {
		e.log(CandidacyLost, record.Term)
		e.enter(now, idle)
		e.setLease(LeaderLease{})
	}
}

func (e *Elector) enterHolding(now time.Duration, replaced bool) {
	if e.phase == holding && !replaced {
		return
	}
	e.enter(now, holding)
	e.confirmed = map[string]time.Duration{}
	e.nextConfirmAt = now
	e.nextReplaceAt = now + replaceInterval
}

func (e *Elector) resign(now time.Duration) {
	if e.phase != holding {
		return
	}
	e.enter(now, idle)
	e.nextAttemptAt = now + resignCooldown
	e.setLease(LeaderLease{})
}

func (e *Elector) enter(now time.Duration, next phase) {
	e.phase = next
	e.phaseAt = now
}

// renewPromises requests promises from all witnesses when that is due.
func (e *Elector) renewPromises(now time.Duration) {
	if now < e.nextConfirmAt {
		return
	}
	e.nextConfirmAt = now + ConfirmInterval
	if e.lease.Term != e.record.Term {
		e.nextConfirmAt = now + confirmRetry
	}
	for _, host := range e.members(e.record) {
		e.sendConfirm(now, host, false)
	}
	for number, sent := range e.requests {
		if now-sent.sent > e.options.PromiseLifetime {
			delete(e.requests, number)
		}
	}
}

func (e *Elector) sendConfirm(now time.Duration, host string, probe bool) {
	e.requestNumber++
	term := e.record.Term
	if probe {
		term = e.proposed.Term
	}
	e.requests[e.requestNumber] = request{witness: host, term: term, probe: probe, sent: now}
	e.actions = append(e.actions, SendConfirm{Witness: host, Request: witness.Request{
		Service: e.options.Service,
		Term:    term,
		Holder:  e.options.Self,
		Number:  e.requestNumber,
		Probe:   probe,
	}})
}

func (e *Elector) applyReply(now time.Duration, reply witness.Reply) {
	sent, ok := e.requests[reply.Number]
	if !ok || sent.witness != reply.Witness || sent.term != reply.Term || sent.probe != reply.Probe {
		return
	}
	delete(e.requests, reply.Number)
	if reply.Highest > e.record.Term {
		e.read(now)
	}
	if !reply.Granted {
		return
	}
	if sent.probe {
		e.probeGranted[reply.Witness] = e.phase == probing && sent.sent >= e.phaseAt
		return
	}
	if e.phase != holding || sent.term != e.record.Term {
		return
	}
	e.confirmed[reply.Witness] = max(e.confirmed[reply.Witness], sent.sent)
	e.extendLease(now)
}

// extendLease acquires or extends the leader lease as far as the promises allow.
func (e *Elector) extendLease(now time.Duration) {
	until := e.leaseEnd()
	if until <= now {
		return
	}
	if e.lease.Term == e.record.Term {
		if until > e.lease.Until {
			e.setLease(LeaderLease{Term: e.lease.Term, Acquired: e.lease.Acquired, Until: until})
		}
		return
	}
	e.log(LeaderLeaseAcquired, e.record.Term)
	e.setLease(LeaderLease{Term: e.record.Term, Acquired: now, Until: until})
}

// leaseEnd returns the latest time at which the promises of a majority of the witnesses are certainly valid.
func (e *Elector) leaseEnd() time.Duration {
	times := []time.Duration{}
	for _, sent := range e.confirmed {
		times = append(times, sent)
	}
	slices.Sort(times)
	slices.Reverse(times)
	for _, limit := range times {
		if e.record.HasMajority(func(host string) bool {
			sent, ok := e.confirmed[host]
			return ok && sent >= limit
		}) {
			return limit + e.options.PromiseLifetime - driftMargin(e.options.PromiseLifetime)
		}
	}
	return 0
}

// driftMargin returns what is subtracted from the lifetime of a promise, because the clock of a witness may be faster
// than the clock of this host: 2%, and 20 ms.
func driftMargin(length time.Duration) time.Duration {
	return length/50 + 20*time.Millisecond
}

func (e *Elector) expireLease(now time.Duration) {
	if e.lease.Term != 0 && now >= e.lease.Until {
		e.log(LeaderLeaseLost, e.lease.Term)
		e.setLease(LeaderLease{})
	}
}

func (e *Elector) setLease(lease LeaderLease) {
	if e.lease == lease {
		return
	}
	e.lease = lease
	e.actions = append(e.actions, lease)
}

func (e *Elector) log(code Code, term uint64) {
	e.actions = append(e.actions, Log{Code: code, Term: term})
}
