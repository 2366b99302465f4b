// Package suspector shares the detection of requests that crash upstreams among all hosts.
//
// It wraps the detector of this host, whose status for a signature is checked before a request is sent. The reports of the
// detector are published: as relay items in the standalone daemon, and by the controller's heartbeats on the platform.
//
// # Usage
//
//	s := suspector.New(func(report detector.Report) { publish(suspector.Encode(report)) }, log)
//	status := s.Status(now, signature)
//	s.Record(now, detector.Completed{Signature: signature})
//	s.Observe(now, admitter.CrashDetected{Signatures: signatures})
//	s.Deliver(now, item) // a report of another host
package suspector

import (
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Suspector is safe for concurrent use.
type Suspector struct {
	publish func(report detector.Report)
	log     *eventlog.Logger

	mu       sync.Mutex
	detector *detector.Detector
}

// New returns a suspector without suspected signatures. It calls publish without holding a lock, with the reports of
// events on this host and of those passed to Record.
func New(publish func(report detector.Report), log *eventlog.Logger) *Suspector {
	return &Suspector{publish: publish, log: log, detector: detector.New(detector.Options{})}
}

// Status returns how requests with a signature may run.
func (s *Suspector) Status(now time.Duration, signature uint64) detector.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Status(now, signature)
}

// Trusted reports whether interruptions of requests with a signature do not count.
func (s *Suspector) Trusted(now time.Duration, signature uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Trusted(now, signature)
}

// Observe passes an action of an admitter to the detector and publishes the resulting reports. It ignores actions other
// than detected crashes, retracted crashes and requests that ran alone.
func (s *Suspector) Observe(now time.Duration, action admitter.Action) {
	var event detector.Event
	switch a := action.(type) {
	case admitter.CrashDetected:
		event = detector.Crash{Signatures: a.Signatures, Alone: a.Alone}
	case admitter.CrashRetracted:
		event = detector.Retracted{Signatures: a.Signatures}
	case admitter.RanAlone:
		event = detector.Completed{Signature: a.Signature}
	default:
		return
	}
	s.Record(now, event)
}

// Record passes an event to the detector and publishes the resulting reports.
func (s *Suspector) Record(now time.Duration, event detector.Event) {
	s.mu.Lock()
	reports := s.detector.Observe(now, event)
	s.mu.Unlock()
	for _, report := range reports {
		if report.Status == detector.Blocked {
			s.log.Log(eventlog.RequestBlocked, zap.String("signature", Name(report.Signature)),
				zap.Int("crashes", report.Crashes), zap.String("upstream", report.Upstream))
		}
		s.publish(report)
	}
}

// Complete records that an upstream has run a request and did not crash. It returns whether the host that collects all
// observations has to know.
func (s *Suspector) Complete(now time.Duration, signature uint64) bool {
	s.mu.Lock()
	share := s.detector.ShareCompletion(now, signature)
	s.mu.Unlock()
	s.Record(now, detector.Completed{Signature: signature})
	return share
}

// Disprove returns the reports that clear the suspicions other hosts have of a trusted signature. It does not publish them.
func (s *Suspector) Disprove(now time.Duration, signature uint64) []detector.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Observe(now, detector.Disproved{Signature: signature})
}

// Merge passes reports of other hosts to the detector. It returns the signatures that they suspect or block and that this
// host trusts.
func (s *Suspector) Merge(now time.Duration, reports []detector.Report) (disproved []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Observe(now, detector.Reported{Reports: reports})
	for _, report := range reports {
		if report.Status != detector.Clear && s.detector.Trusted(now, report.Signature) {
			disproved = append(disproved, report.Signature)
		}
	}
	return disproved
}

// Reports returns the state of all signatures.
func (s *Suspector) Reports(now time.Duration) []detector.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Reports(now)
}

// Blocked returns the blocked signatures.
func (s *Suspector) Blocked(now time.Duration) []detector.Report {
	return slices.DeleteFunc(s.Reports(now), func(r detector.Report) bool { return r.Status != detector.Blocked })
}

// Name returns a signature as it is written in logs.
func Name(signature uint64) string { return strconv.FormatUint(signature, 16) }

// Deliver passes a report of another host to the detector. It ignores items that it cannot decode.
func (s *Suspector) Deliver(now time.Duration, item relayer.Item) {
	report, ok := decode(item)
	if !ok {
		return
	}
	_ = s.Merge(now, []detector.Report{report}) // trust rests on interruptions, which this assembly does not report
}

// Encode converts a report to a relay item. The version of the report becomes the term of the item's version and the
// status its sequence number, so that of two reports of equal version the one with the stricter status wins.
func Encode(report detector.Report) relayer.Item {
	body := binary.BigEndian.AppendUint64(nil, report.Signature)
	body = binary.BigEndian.AppendUint64(body, uint64(report.Age))
	return relayer.Item{
		Key:     relayer.Key{Kind: relayer.Suspect, Name: Name(report.Signature)},
		Version: relayer.Version{Term: report.Version, Seq: uint64(report.Status)},
		Body:    body,
	}
}

func decode(item relayer.Item) (detector.Report, bool) {
	if len(item.Body) != 16 {
		return detector.Report{}, false
	}
	return detector.Report{
		Signature: binary.BigEndian.Uint64(item.Body),
		Status:    detector.Status(item.Version.Seq),
		Version:   item.Version.Term,
		Age:       time.Duration(binary.BigEndian.Uint64(item.Body[8:])),
	}, true
}
