// Package elector decides when a host becomes a candidate for the controller of one service and when its right to act is
// valid.
//
// The store orders the terms: a candidate raises the term of the controller record by a conditional write. The right to
// act comes from the witnesses that the record names: it lasts as long as a majority of them has promised exclusivity,
// counted from when each request was sent. Renewing a promise does not need the store.
//
// Before a candidate writes, it asks the witnesses whether they are free. A host that only lost its own connection to
// the controller therefore does not disturb it.
//
// # Usage
//
//	machine := elector.New(elector.Options{Service: "shelf-marks", Self: holder, Started: now, Seed: seed})
//	for _, action := range machine.Step(now, event) {
//		switch action := action.(type) {
//		case elector.Right:
//			// pass it to the controller of the service
//		}
//	}
//
// The caller takes the time after it has received the event, and sends a SendConfirm after Step returned: the right
// counts from the time that was passed to Step, which must not be later than the sending.
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
	// ConfirmInterval is the time between two requests to a witness; two in a row can be lost within a promise.
	ConfirmInterval = 200 * time.Millisecond
	// ElectionTimeout is the time without a promise after which the first witness of the list becomes a candidate. It is longer
	// than a promise, so the promise to the previous controller has expired.
	ElectionTimeout = 700 * time.Millisecond
	// ElectionTimeoutPerRank separates the candidacies of the witnesses.
	ElectionTimeoutPerRank = 150 * time.Millisecond
	// AbsenceTimeout is the time that the platform's host list must have shown a witness as absent before it is replaced.
	AbsenceTimeout = 30 * time.Second
)

const (
	// confirmRetry is the interval of requests until the right is acquired, while old promises run out.
	confirmRetry = 50 * time.Millisecond
	// probeTime bounds the wait for the answers to a probe.
	probeTime = 200 * time.Millisecond
	// attemptInterval is the time between two candidacies of a host.
	attemptInterval = 300 * time.Millisecond
	// jitterSpan is the random part of attemptInterval: it separates two hosts whose attempts coincide.
	jitterSpan = 100 * time.Millisecond
	// storeTimeout is the time after which a store call counts as unanswered.
	storeTimeout = 500 * time.Millisecond
	// abstention is the time after a resignation in which a host leaves the candidacy to others. The last witness of the
	// list has become a candidate by then. Hosts that abstained for 10 s left a service without a controller after all
	// of them had resigned.
	abstention = ElectionTimeout + WitnessCount*ElectionTimeoutPerRank
	// readInterval bounds the reads of a store that refuses calls.
	readInterval = 100 * time.Millisecond
	// replaceInterval bounds how often the holder changes the witness list: every change is a new term.
	replaceInterval = 5 * time.Second
)

// phase is the progress of a candidacy.
type phase int

const (
	idle phase = iota
	probing
	writing
	resolving // the write may have taken effect: the record is read back
	holding
)

// Options configure an elector.
type Options struct {
	Service         string
	Self            witness.Holder
	Started         time.Duration
	Seed            uint64
	PromiseLifetime time.Duration // witness.Lifetime by default
}

// Elector is the state of one host towards the controller record of one service.
type Elector struct {
	options   Options
	random    *rand.Rand
	record    witness.Record
	version   uint64
	known     bool
	hosts     map[string]Host
	absent    map[string]time.Duration // since when the host list lacks a witness
	heard     time.Duration            // latest promise of the local witness to somebody
	attemptAt time.Duration            // no candidacy before this
	phase     phase
	phaseAt   time.Duration
	operation uint64
	reading   uint64 // operation of the read under way, 0 when none
	readingAt time.Duration
	readAt    time.Duration // no read before this
	proposed  witness.Record
	written   uint64 // operation of the write under way, 0 when none
	number    uint64
	requests  map[uint64]request
	confirmed map[string]time.Duration // sending time of the latest confirmed request for the held term
	free      map[string]bool          // answers to the probe
	confirmAt time.Duration
	replaceAt time.Duration
	commitAt  time.Duration
	right     LeaderLease
	actions   []Action
}

type request struct {
	witness string
	term    uint64
	probe   bool
	sent    time.Duration
}

// New returns an elector that knows no record yet.
func New(options Options) *Elector {
	if options.PromiseLifetime == 0 {
		options.PromiseLifetime = witness.Lifetime
	}
	return &Elector{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		hosts:     map[string]Host{},
		absent:    map[string]time.Duration{},
		heard:     options.Started,
		requests:  map[uint64]request{},
		confirmed: map[string]time.Duration{},
		free:      map[string]bool{},
	}
}

// Step applies an event and returns what is to be done.
func (e *Elector) Step(now time.Duration, event Event) []Action {
	e.actions = nil
	switch event := event.(type) {
	case PromiseGranted:
		e.heard = now
	case Resigned:
		e.resign(now)
	case ConfirmReply:
		e.applyAnswer(now, event.Reply)
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
	e.expire(now)
	e.checkStore(now)
	switch e.phase {
	case idle:
		e.advanceIdle(now)
	case probing:
		e.advanceProbe(now)
	case holding:
		e.replaceWitnesses(now)
		e.commitWitnesses(now)
		e.confirm(now)
	}
}

func (e *Elector) advanceIdle(now time.Duration) {
	if !e.known {
		e.read(now)
		return
	}
	wait, eligible := e.wait(now)
	if !eligible || now < e.heard+wait || now < e.attemptAt {
		return
	}
	e.attemptAt = now + attemptInterval + time.Duration(e.random.Int64N(int64(jitterSpan)))
	e.proposed = e.propose(now)
	e.log(CandidacyStarted, e.proposed.Term)
	e.enter(now, probing)
	e.free = map[string]bool{}
	for _, host := range e.members(e.proposed) {
		e.ask(now, host, true)
	}
}

// wait returns the silence after which this host becomes a candidate.
func (e *Elector) wait(now time.Duration) (time.Duration, bool) {
	if e.hosts[e.options.Self.Host].Leaving {
		return 0, false
	}
	list := e.record.Witnesses
	if e.version == 0 || e.lostMajority(now) {
		list = e.choose(now)
	}
	rank := slices.Index(list, e.options.Self.Host)
	return ElectionTimeout + time.Duration(rank)*ElectionTimeoutPerRank, rank >= 0
}

// propose returns the record that a candidate writes.
func (e *Elector) propose(now time.Duration) witness.Record {
	proposed := witness.Record{
		Service:   e.options.Service,
		Term:      e.record.Term + 1,
		Holder:    e.options.Self,
		Witnesses: e.record.Witnesses,
		Previous:  e.record.Previous,
	}
	if e.version == 0 {
		proposed.Witnesses = e.choose(now)
		return proposed
	}
	if e.lostMajority(now) {
		proposed.Previous = e.present(now, e.record.Witnesses)
		proposed.Witnesses = e.choose(now)
	}
	return proposed
}

// advanceProbe writes the record once a majority of the witnesses is free.
func (e *Elector) advanceProbe(now time.Duration) {
	if e.proposed.HasMajority(func(host string) bool { return e.free[host] }) {
		e.write(now, writing)
		return
	}
	if now-e.phaseAt >= probeTime {
		e.enter(now, idle)
	}
}

func (e *Elector) write(now time.Duration, next phase) {
	e.operation++
	e.written = e.operation
	e.proposed.Operation = e.operation
	e.enter(now, next)
	e.actions = append(e.actions, WriteRecord{Operation: e.operation, Expect: e.version, Record: e.proposed})
}

func (e *Elector) read(now time.Duration) {
	if e.reading != 0 || now < e.readAt {
		return
	}
	e.readAt = now + readInterval
	e.operation++
	e.reading = e.operation
	e.readingAt = now
	e.actions = append(e.actions, ReadRecord{Operation: e.operation})
}

// checkStore treats a store call without an answer as one with an unknown outcome.
func (e *Elector) checkStore(now time.Duration) {
	if e.reading != 0 && now-e.readingAt >= storeTimeout {
		e.reading = 0
	}
	if e.written != 0 && now-e.phaseAt >= storeTimeout {
		e.applyWritten(now, RecordWritten{Operation: e.written, Outcome: Unknown})
	}
	if e.phase == resolving {
		e.read(now)
	}
}

func (e *Elector) applyWritten(now time.Duration, answer RecordWritten) {
	if answer.Operation != e.written {
		return
	}
	e.written = 0
	switch answer.Outcome {
	case Done:
		e.accept(now, answer.Version, e.proposed)
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

func (e *Elector) applyRead(now time.Duration, answer RecordRead) {
	answered := answer.Operation != 0 && answer.Operation == e.reading
	if answer.Operation != 0 && !answered {
		return
	}
	if answered {
		e.reading = 0
	}
	if answer.Outcome != Done {
		return
	}
	if !e.known || answer.Version > e.version {
		e.accept(now, answer.Version, answer.Record)
	}
	if answered && e.phase == resolving {
		// The write did not take effect, or not yet. If it does later, the watch shows it.
		e.enter(now, idle)
	}
}

// accept takes a record that the store holds.
func (e *Elector) accept(now time.Duration, version uint64, record witness.Record) {
	e.known = true
	if version <= e.version && e.version != 0 {
		return
	}
	replaced := record.Term != e.record.Term
	e.record = record
	e.version = version
	if version != 0 && record.Holder == e.options.Self {
		e.hold(now, replaced)
		return
	}
	if replaced {
		// The new holder gets its time before this host becomes a candidate.
		e.heard = now
	}
	if e.phase == probing {
		e.enter(now, idle)
	}
	if e.phase == holding {
		e.log(CandidacyLost, record.Term)
		e.enter(now, idle)
		e.setRight(LeaderLease{})
	}
}

func (e *Elector) hold(now time.Duration, replaced bool) {
	if e.phase == holding && !replaced {
		return
	}
	e.enter(now, holding)
	e.confirmed = map[string]time.Duration{}
	e.confirmAt = now
	e.replaceAt = now + replaceInterval
}

func (e *Elector) resign(now time.Duration) {
	if e.phase != holding {
		return
	}
	e.enter(now, idle)
	e.attemptAt = now + abstention
	e.setRight(LeaderLease{})
}

func (e *Elector) enter(now time.Duration, next phase) {
	e.phase = next
	e.phaseAt = now
}

// confirm asks all witnesses regularly for promises.
func (e *Elector) confirm(now time.Duration) {
	if now < e.confirmAt {
		return
	}
	e.confirmAt = now + ConfirmInterval
	if e.right.Term != e.record.Term {
		e.confirmAt = now + confirmRetry
	}
	for _, host := range e.members(e.record) {
		e.ask(now, host, false)
	}
	for number, sent := range e.requests {
		if now-sent.sent > e.options.PromiseLifetime {
			delete(e.requests, number)
		}
	}
}

func (e *Elector) ask(now time.Duration, host string, probe bool) {
	e.number++
	term := e.record.Term
	if probe {
		term = e.proposed.Term
	}
	e.requests[e.number] = request{witness: host, term: term, probe: probe, sent: now}
	e.actions = append(e.actions, SendConfirm{Witness: host, Request: witness.Request{
		Service: e.options.Service,
		Term:    term,
		Holder:  e.options.Self,
		Number:  e.number,
		Probe:   probe,
	}})
}

func (e *Elector) applyAnswer(now time.Duration, reply witness.Reply) {
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
		e.free[reply.Witness] = e.phase == probing && sent.sent >= e.phaseAt
		return
	}
	if e.phase != holding || sent.term != e.record.Term {
		return
	}
	e.confirmed[reply.Witness] = max(e.confirmed[reply.Witness], sent.sent)
	e.extend(now)
}

// extend computes the right from the confirmations.
func (e *Elector) extend(now time.Duration) {
	until := e.until()
	if until <= now {
		return
	}
	if e.right.Term == e.record.Term {
		if until > e.right.Until {
			e.setRight(LeaderLease{Term: e.right.Term, Acquired: e.right.Acquired, Until: until})
		}
		return
	}
	e.log(LeaderLeaseAcquired, e.record.Term)
	e.setRight(LeaderLease{Term: e.record.Term, Acquired: now, Until: until})
}

// until returns the latest time at which a majority of the witnesses still keeps its promise.
func (e *Elector) until() time.Duration {
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

// driftMargin is what the clock of a witness may gain on ours during a promise: 2% and 20 ms.
func driftMargin(length time.Duration) time.Duration {
	return length/50 + 20*time.Millisecond
}

func (e *Elector) expire(now time.Duration) {
	if e.right.Term != 0 && now >= e.right.Until {
		e.log(LeaderLeaseLost, e.right.Term)
		e.setRight(LeaderLease{})
	}
}

func (e *Elector) setRight(right LeaderLease) {
	if e.right == right {
		return
	}
	e.right = right
	e.actions = append(e.actions, right)
}

func (e *Elector) log(code Code, term uint64) {
	e.actions = append(e.actions, Log{Code: code, Term: term})
}
