// Package detector finds requests that crash upstreams.
//
// Requests that were in flight when an upstream crashed become suspects. There are two ways to find the one that caused
// the crash:
//
//   - Where one host admits all requests of an upstream, a suspect runs alone (Crash). If the upstream crashes again, the
//     suspect is blocked.
//   - Where several hosts share an upstream, no request can run alone. A suspect is then blocked when several upstreams
//     have failed under it one after the other (Interrupted), or at the same time while few others failed (Collected).
//
// In the second case, a request may have several signatures, of which each is judged by itself: a narrow one, and wider ones
// that it shares with its variants. A wider one is blocked only when upstreams have failed under different variants, because
// otherwise the narrow one suffices.
//
// In both cases, a suspect that ends without a crash is cleared (Completed). In the second case, that also lifts a block,
// because other requests can be in flight at all upstreams that a request crashes. The reports that Observe returns are sent to
// all hosts, so that the statuses converge.
//
// # Usage
//
//	crashes := detector.New(detector.Options{})
//	reports := crashes.Observe(now, detector.Crash{Signatures: inFlight})
//	reports = crashes.Observe(now, detector.Interrupted{Signature: s, Upstream: id, SentAt: sentAt, EndedAt: now})
//	reports = crashes.Observe(now, detector.Collected{Until: now - delay}) // where all observations are collected
//	status := crashes.Status(now, detector.Sign(service, method, path, key, idempotencyKey))
//
// The number of signatures is limited. Suspect and cleared signatures are evicted first, oldest first; blocked
// signatures are evicted only if no others are left.
package detector

import (
	"container/list"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options.
const (
	DefaultBound      = 4096
	DefaultRetention  = 10 * time.Minute
	DefaultMaxCrashes = 3
)

const (
	// minCrashInterval is the minimum time between two interruptions that count. The connections of upstreams that fail
	// together do not end at exactly the same time, and a request that is sent again meanwhile reaches the next of them.
	minCrashInterval = 50 * time.Millisecond
	// trustTime is how long the interruptions of a request do not count after an upstream has run it. A request that many
	// callers send is thus not blocked while upstreams crash for another reason.
	trustTime = 10 * time.Second
	// maxReordered bounds the interruptions of a signature that are kept to put later ones in their order.
	maxReordered = 16
	// maxSettled bounds the upstreams of interruptions that have been counted.
	maxSettled = 4 * maxReordered
)

// blockVersionStep is the version increment when a signature is blocked and when that is retracted. It is large, so that
// both take precedence over any number of concurrent changes between Suspect and Clear on other hosts.
const blockVersionStep = 1 << 32

// disproofVersionStep is the version increment when suspicions of other hosts are disproved. It exceeds the increments of a host
// between two of its reports, and a million of them take no precedence over a block.
const disproofVersionStep = 1 << 12

// Options configures a Detector. Zero values select the defaults.
type Options struct {
	Bound      int // maximum number of signatures
	Retention  time.Duration
	MaxCrashes int // interruptions in sequence after which a signature is blocked
}

// Report is the state of one signature, as sent to other hosts. Of two reports the one with the higher version takes
// precedence, and with equal versions the one with the stricter status.
type Report struct {
	Signature uint64
	Status    Status
	Version   uint64
	Age       time.Duration // since the event; the receiver adds the time in transit
	Crashes   int           // interruptions in sequence; of a cleared signature those before it was cleared
	Upstream  string        // of the last of them
}

// Event is an input of Observe. Its types are the structs below.
type Event interface{ event() }

// Crash lists the signatures that were in flight when an upstream crashed.
type Crash struct {
	Signatures []uint64
	Alone      bool // the only signature is that of a suspect that ran alone
}

// Interrupted reports that the connection to an upstream ended before the response to a request was complete. The upstream
// may have crashed, and any request that was in flight there may be the cause. The interruption counts if the request was
// sent after the last one that counts, to another upstream, and if no upstream has run such a request lately. All upstreams
// that fail at the same moment thus count once, until Collected. Hosts report interruptions with different delays: they are
// counted in the order in which they ended, not in that of their arrival.
type Interrupted struct {
	Signature uint64
	// Variant is the narrow signature of the request, if Signature is a wider one, and else 0. A variant counts once.
	Variant  uint64
	Upstream string // one incarnation of it
	SentAt   time.Duration
	EndedAt  time.Duration
}

// Ended reports that an upstream has ended under requests whose interruptions do not count. Interrupted reports the others.
type Ended struct {
	Upstream string // one incarnation of it
	At       time.Duration
}

// Collected reports that the observations of all hosts up to a time have arrived. A request that ran at several upstreams at once
// may have ended each of them, or these have failed together for another reason. In the second case others fail with
// them that do not run the request. So each upstream that ended under the request counts, less those that ended at the same
// time without it, but at least one for each moment.
type Collected struct{ Until time.Duration }

// Completed reports that an upstream ran a request and did not crash.
type Completed struct{ Signature uint64 }

// Disproved reports that another host suspects requests that an upstream has run lately. That host may have seen none of them end
// without an interruption.
type Disproved struct{ Signature uint64 }

// Retracted cancels a Crash: the upstream had not crashed.
type Retracted struct{ Signatures []uint64 }

// Reported carries reports of another host.
type Reported struct{ Reports []Report }

func (Crash) event()       {}
func (Interrupted) event() {}
func (Ended) event()       {}
func (Collected) event()   {}
func (Completed) event()   {}
func (Disproved) event()   {}
func (Retracted) event()   {}
func (Reported) event()    {}

// Detector holds the statuses of signatures on one host. It is not safe for concurrent use.
type Detector struct {
	options   Options
	entries   map[uint64]*list.Element
	unblocked *list.List // suspect and cleared signatures, in the order of their updates
	blocked   *list.List
	trusted   map[uint64]completion
	recent    []uint64 // signatures in the order in which they were added to trusted
	ends      endings
	unsettled map[uint64]bool // suspects with interruptions that Collected has to count
}

type completion struct {
	at       time.Duration // of the last one
	sharedAt time.Duration // when ShareCompletion last returned true
}

type entry struct {
	Report
	expiry time.Duration
	before crashes       // interruptions that ended before those of latest
	latest []Interrupted // in the order of compareEnds
	// settled holds upstreams of the last interruptions before latest. Another report of one of them does not count again.
	settled []string
}

// New returns a detector without suspects.
func New(options Options) *Detector {
	if options.Bound == 0 {
		options.Bound = DefaultBound
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	if options.MaxCrashes == 0 {
		options.MaxCrashes = DefaultMaxCrashes
	}
	return &Detector{
		options:   options,
		entries:   map[uint64]*list.Element{},
		unblocked: list.New(),
		blocked:   list.New(),
		trusted:   map[uint64]completion{},
		ends:      endings{},
		unsettled: map[uint64]bool{},
	}
}

// Sign returns the signature of a request with the given parts. Each part is hashed with its length, so that moving text
// from one part to the next changes the signature.
func Sign(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		length := uint64(len(part))
		prefix := [8]byte{}
		for i := range prefix {
			prefix[i] = byte(length >> (8 * i))
		}
		_, _ = digest.Write(prefix[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// Status returns how a request with the signature may run at now.
func (d *Detector) Status(now time.Duration, signature uint64) Status {
	if len(d.entries) == 0 {
		return Clear
	}
	known, ok := d.get(now, signature)
	if !ok || (known.Crashes > 0 && d.Trusted(now, signature)) {
		return Clear
	}
	return known.Status
}

// Trusted reports whether interruptions of requests with the signature do not count, because an upstream has run one
// lately. Such requests are neither suspect nor blocked on this host, whatever interruptions other hosts have reported.
func (d *Detector) Trusted(now time.Duration, signature uint64) bool {
	last, ok := d.trusted[signature]
	return ok && now < last.at+trustTime
}

// ShareCompletion reports whether the host that collects all observations has to know that an upstream has run a request
// with the signature: if it is a suspect, and repeatedly if such requests are sent often.
func (d *Detector) ShareCompletion(now time.Duration, signature uint64) bool {
	known, ok := d.get(now, signature)
	last := d.trusted[signature]
	if ok && known.Status != Clear {
		return true
	}
	if !d.Trusted(now, signature) || now < last.sharedAt+trustTime/2 {
		return false
	}
	last.sharedAt = now
	d.trusted[signature] = last
	return true
}

// trust records a completion. The oldest signatures are forgotten when there are more than Bound.
func (d *Detector) trust(now time.Duration, signature uint64) {
	last, ok := d.trusted[signature]
	if !ok {
		last.sharedAt = -trustTime
		if len(d.recent) >= d.options.Bound {
			delete(d.trusted, d.recent[0])
			d.recent = d.recent[1:]
		}
		d.recent = append(d.recent, signature)
	}
	last.at = now
	d.trusted[signature] = last
}

// Len returns the number of stored signatures. Expired ones count until they are removed.
func (d *Detector) Len() int { return len(d.entries) }

// Observe applies event and returns the reports to send to all other hosts.
func (d *Detector) Observe(now time.Duration, event Event) []Report {
	d.expire(now)
	var changed []Report
	switch event := event.(type) {
	case Crash:
		for _, signature := range event.Signatures {
			changed = d.markSuspect(now, signature, event.Alone, changed)
		}
	case Interrupted:
		d.ends.add(now, event.Upstream, event.EndedAt)
		changed = d.countCrash(now, event, changed)
	case Ended:
		d.ends.add(now, event.Upstream, event.At)
	case Collected:
		changed = d.settle(now, event.Until, changed)
	case Completed:
		d.trust(now, event.Signature)
		changed = d.clearSuspect(now, event.Signature, changed)
	case Disproved:
		changed = d.disprove(now, event.Signature, changed)
	case Retracted:
		for _, signature := range event.Signatures {
			changed = d.retract(now, signature, changed)
		}
	case Reported:
		for _, report := range event.Reports {
			d.merge(now, report)
		}
	}
	return changed
}

// Reports returns the state of all signatures, to send to a host that has joined.
func (d *Detector) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(d.entries))
	for _, entries := range []*list.List{d.blocked, d.unblocked} {
		for element := entries.Front(); element != nil; element = element.Next() {
			known := element.Value.(*entry)
			if now < known.expiry {
				known.Age = now - (known.expiry - d.options.Retention)
				reports = append(reports, known.Report)
			}
		}
	}
	return reports
}

func (d *Detector) markSuspect(now time.Duration, signature uint64, alone bool, changed []Report) []Report {
	known, _ := d.get(now, signature)
	switch {
	case known.Status == Blocked:
		return changed
	case alone && known.Status == Suspect:
		return append(changed, d.put(now, Report{
			Signature: signature, Status: Blocked, Version: known.Version + blockVersionStep,
		}))
	default:
		return append(changed, d.put(now, Report{Signature: signature, Status: Suspect, Version: known.Version + 1}))
	}
}

// countCrash makes the signature a suspect, and blocks it at the last of MaxCrashes interruptions in sequence.
func (d *Detector) countCrash(now time.Duration, event Interrupted, changed []Report) []Report {
	if d.Trusted(event.EndedAt, event.Signature) {
		return changed
	}
	known, ok := d.get(now, event.Signature)
	if ok && known.Status == Blocked {
		return changed
	}
	if !ok || known.Status != Suspect {
		known.Signature, known.before, known.latest, known.settled = event.Signature, crashes{}, nil, nil
	}
	total := known.addInterruption(event)
	if ok && known.Status == Suspect && total.count == known.Crashes && total.upstream == known.Upstream {
		d.keepOrder(known)
		return changed
	}
	changed = append(changed, d.putCrashes(now, known, total))
	d.keepOrder(known)
	return changed
}

// putCrashes stores the number of crashes of a suspect, which is blocked from MaxCrashes on.
func (d *Detector) putCrashes(now time.Duration, known entry, total crashes) Report {
	next := Report{
		Signature: known.Signature, Status: Suspect, Version: known.Version + 1, Age: now - total.endedAt, Crashes: total.count,
		Upstream: total.upstream,
	}
	if next.Crashes >= d.options.MaxCrashes {
		next.Status, next.Version = Blocked, known.Version+blockVersionStep
	}
	return d.put(now, next)
}

// settle counts the interruptions of suspects whose last one ended by until.
func (d *Detector) settle(now, until time.Duration, changed []Report) []Report {
	d.ends.expire(now)
	for _, signature := range slices.Sorted(maps.Keys(d.unsettled)) {
		known, ok := d.get(now, signature)
		if ok && known.latest[len(known.latest)-1].EndedAt > until {
			continue
		}
		delete(d.unsettled, signature)
		if !ok || known.Status != Suspect {
			continue
		}
		upstreams := known.upstreams()
		known.before, known.latest = known.settle(d.ends), nil
		known.settled = upstreams[max(0, len(upstreams)-maxSettled):]
		if known.before.count > known.Crashes {
			changed = append(changed, d.putCrashes(now, known, known.before))
		}
		d.keepOrder(known)
	}
	return changed
}

// keepOrder stores the interruptions of a signature, which put drops. Those of latest are to be settled.
func (d *Detector) keepOrder(known entry) {
	stored := d.entries[known.Signature].Value.(*entry)
	stored.before, stored.latest, stored.settled = known.before, known.latest, known.settled
	if len(known.latest) > 0 {
		d.unsettled[known.Signature] = true
	}
}

// clearSuspect clears a suspect, and a signature that was blocked after interruptions.
func (d *Detector) clearSuspect(now time.Duration, signature uint64, changed []Report) []Report {
	known, ok := d.get(now, signature)
	next := Report{
		Signature: signature, Status: Clear, Version: known.Version + 1, Crashes: known.Crashes, Upstream: known.Upstream,
	}
	switch {
	case ok && known.Status == Blocked && known.Crashes > 0:
		next.Version = known.Version + blockVersionStep
	case !ok || known.Status != Suspect:
		return changed
	}
	return append(changed, d.put(now, next))
}

// disprove clears the suspicions that other hosts have of a trusted signature. Their blocks are lifted by Completed.
func (d *Detector) disprove(now time.Duration, signature uint64, changed []Report) []Report {
	known, _ := d.get(now, signature)
	if known.Status == Blocked || !d.Trusted(now, signature) {
		return changed
	}
	return append(changed, d.put(now, Report{Signature: signature, Status: Clear, Version: known.Version + disproofVersionStep}))
}

// retract undoes one crash. A blocked signature becomes a suspect again, because an earlier crash had made it one.
func (d *Detector) retract(now time.Duration, signature uint64, changed []Report) []Report {
	known, ok := d.get(now, signature)
	if !ok || known.Status != Blocked {
		return d.clearSuspect(now, signature, changed)
	}
	return append(changed, d.put(now, Report{
		Signature: signature, Status: Suspect, Version: known.Version + blockVersionStep, Crashes: max(0, known.Crashes-1),
		Upstream: known.Upstream,
	}))
}

func (d *Detector) merge(now time.Duration, report Report) {
	known, ok := d.get(now, report.Signature)
	if report.Age >= d.options.Retention || (ok && !newer(report, known.Report)) {
		return
	}
	d.put(now, report)
}

func newer(a, b Report) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Status > b.Status
}

func (d *Detector) get(now time.Duration, signature uint64) (entry, bool) {
	element, ok := d.entries[signature]
	if !ok {
		return entry{}, false
	}
	known := element.Value.(*entry)
	return *known, now < known.expiry
}

func (d *Detector) put(now time.Duration, report Report) Report {
	if element, ok := d.entries[report.Signature]; ok {
		d.drop(element)
	}
	if len(d.entries) >= d.options.Bound {
		d.evict()
	}
	target := d.unblocked
	if report.Status == Blocked {
		target = d.blocked
	}
	expiry := now - report.Age + d.options.Retention
	known := &entry{Report: report, expiry: expiry}
	known.before = crashes{count: report.Crashes, endedAt: now - report.Age, upstream: report.Upstream}
	d.entries[report.Signature] = target.PushBack(known)
	return report
}

func (d *Detector) evict() {
	if oldest := d.unblocked.Front(); oldest != nil {
		d.drop(oldest)
		return
	}
	d.drop(d.blocked.Front())
}

// expire removes expired entries at the front of both lists. An entry that was merged with an age may be behind one that
// expires later and then stays until that one expires. get ignores it. A signature that was blocked after interruptions
// becomes a suspect that the next one blocks again.
func (d *Detector) expire(now time.Duration) {
	for _, entries := range []*list.List{d.unblocked, d.blocked} {
		for front := entries.Front(); front != nil && now >= front.Value.(*entry).expiry; front = entries.Front() {
			d.drop(front)
			last := front.Value.(*entry)
			if until := last.expiry + d.options.Retention; last.Status == Blocked && last.Crashes > 0 && now < until {
				last.Status, last.Crashes, last.Version, last.expiry = Suspect, d.options.MaxCrashes-1, last.Version+1, until
				d.entries[last.Signature] = d.unblocked.PushBack(last)
			}
		}
	}
}

func (d *Detector) drop(element *list.Element) {
	known := element.Value.(*entry)
	delete(d.entries, known.Signature)
	delete(d.unsettled, known.Signature)
	if known.Status == Blocked {
		d.blocked.Remove(element)
		return
	}
	d.unblocked.Remove(element)
}
