// Package detector finds requests that crash upstreams.
//
// Requests that were in flight when an upstream crashed become suspects. A suspect runs alone: when it ends without a
// crash it is cleared, and when the upstream crashes again it is condemned. Hosts flood the reports that Observe returns,
// so all of them come to the same verdicts.
//
// # Usage
//
//	crashes := detector.New(detector.Options{})
//	reports := crashes.Observe(now, detector.Crash{Signatures: inFlight})
//	verdict := crashes.Verdict(now, detector.Sign(service, method, path, key, idempotencyKey))
//
// The memory is bounded: the oldest suspects make room first, and condemned signatures only for each other.
package detector

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Options.
const (
	DefaultBound     = 4096
	DefaultRetention = 10 * time.Minute
)

// condemnation is the version step of a condemnation and of its withdrawal, so that both win over any number of
// suspicions and clearings that other hosts saw at the same time.
const condemnation = 1 << 32

// Options configures a Detector. Zero values select the defaults.
type Options struct {
	Bound     int // signatures held
	Retention time.Duration
}

// Report is the state of one signature, for other hosts. Of two reports the higher version wins, then the stricter one.
type Report struct {
	Signature uint64
	Status    Status
	Version   uint64
	Age       time.Duration // since the evidence; includes the time in transit once the receiver has added it
}

// Event is an input of Observe. Its types are the structs below.
type Event interface{ event() }

// Crash lists the signatures that were in flight when an upstream crashed.
type Crash struct {
	Signatures []uint64
	Alone      bool // the only one was a suspect that ran alone
}

// RanAlone reports that a suspect ran alone and ended without a crash.
type RanAlone struct{ Signature uint64 }

// Retracted withdraws a Crash: the upstream had not crashed.
type Retracted struct{ Signatures []uint64 }

// Reported carries reports of another host.
type Reported struct{ Reports []Report }

func (Crash) event()     {}
func (RanAlone) event()  {}
func (Retracted) event() {}
func (Reported) event()  {}

// Detector holds the verdicts that this host knows. It is not safe for concurrent use.
type Detector struct {
	options   Options
	entries   map[uint64]*list.Element
	mild      *list.List // suspect and cleared signatures, oldest update first
	condemned *list.List
}

type entry struct {
	Report
	expiry time.Duration
}

// New returns a detector without suspects.
func New(options Options) *Detector {
	if options.Bound == 0 {
		options.Bound = DefaultBound
	}
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	return &Detector{
		options:   options,
		entries:   map[uint64]*list.Element{},
		mild:      list.New(),
		condemned: list.New(),
	}
}

// Sign returns the signature of a request. Parts are separated by their lengths, so moving text between them changes it.
func Sign(service, method, path, key, idempotencyKey string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{service, method, path, key, idempotencyKey} {
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
	if !ok {
		return Clear
	}
	return known.Status
}

// Len returns the number of signatures held, expired ones included until they are met.
func (d *Detector) Len() int { return len(d.entries) }

// Observe applies event and returns the reports that other hosts need.
func (d *Detector) Observe(now time.Duration, event Event) []Report {
	d.expire(now)
	var changed []Report
	switch event := event.(type) {
	case Crash:
		for _, signature := range event.Signatures {
			changed = d.accuse(now, signature, event.Alone, changed)
		}
	case RanAlone:
		changed = d.acquit(now, event.Signature, changed)
	case Retracted:
		for _, signature := range event.Signatures {
			changed = d.withdraw(now, signature, changed)
		}
	case Reported:
		for _, report := range event.Reports {
			d.merge(now, report)
		}
	}
	return changed
}

// Reports returns the state of all signatures, for a host that has just joined.
func (d *Detector) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(d.entries))
	for _, entries := range []*list.List{d.condemned, d.mild} {
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

func (d *Detector) accuse(now time.Duration, signature uint64, alone bool, changed []Report) []Report {
	known, _ := d.get(now, signature)
	switch {
	case known.Status == Blocked:
		return changed
	case alone && known.Status == Suspect:
		return append(changed, d.put(now, Report{signature, Blocked, known.Version + condemnation, 0}))
	default:
		return append(changed, d.put(now, Report{signature, Suspect, known.Version + 1, 0}))
	}
}

func (d *Detector) acquit(now time.Duration, signature uint64, changed []Report) []Report {
	known, ok := d.get(now, signature)
	if !ok || known.Status != Suspect {
		return changed
	}
	return append(changed, d.put(now, Report{signature, Clear, known.Version + 1, 0}))
}

// withdraw takes one crash back. A condemned signature becomes a suspect, because an earlier crash had made it one.
func (d *Detector) withdraw(now time.Duration, signature uint64, changed []Report) []Report {
	known, ok := d.get(now, signature)
	if !ok || known.Status != Blocked {
		return d.acquit(now, signature, changed)
	}
	return append(changed, d.put(now, Report{signature, Suspect, known.Version + condemnation, 0}))
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
	target := d.mild
	if report.Status == Blocked {
		target = d.condemned
	}
	expiry := now - report.Age + d.options.Retention
	d.entries[report.Signature] = target.PushBack(&entry{Report: report, expiry: expiry})
	return report
}

func (d *Detector) evict() {
	if oldest := d.mild.Front(); oldest != nil {
		d.drop(oldest)
		return
	}
	d.drop(d.condemned.Front())
}

// expire drops expired entries at the front of both lists. Entries merged with an age may stay behind younger ones until
// these expire as well; get ignores them.
func (d *Detector) expire(now time.Duration) {
	for _, entries := range []*list.List{d.mild, d.condemned} {
		for front := entries.Front(); front != nil && now >= front.Value.(*entry).expiry; front = entries.Front() {
			d.drop(front)
		}
	}
}

func (d *Detector) drop(element *list.Element) {
	known := element.Value.(*entry)
	delete(d.entries, known.Signature)
	if known.Status == Blocked {
		d.condemned.Remove(element)
		return
	}
	d.mild.Remove(element)
}
