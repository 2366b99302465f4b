// Package suspector shares the detection of requests that crash upstreams among all hosts.
//
// It wraps the detector of this host, whose status for a signature the admitters check before each dispatch. It floods
// the reports of the detector to all hosts as relay items.
//
// # Usage
//
//	s := suspector.New(publish, log)
//	status := s.Status(now, signature)
//	s.Observe(now, admitter.CrashDetected{Signatures: signatures})
//	s.Deliver(now, item) // a report of another host
package suspector

import (
	"encoding/binary"
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
	publish func(item relayer.Item)
	log     *eventlog.Logger

	mu       sync.Mutex
	detector *detector.Detector
}

// New returns a suspector without suspected signatures. It calls publish without holding a lock.
func New(publish func(item relayer.Item), log *eventlog.Logger) *Suspector {
	return &Suspector{publish: publish, log: log, detector: detector.New(detector.Options{})}
}

// Status returns how requests with a signature may run.
func (s *Suspector) Status(now time.Duration, signature uint64) detector.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Status(now, signature)
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
		event = detector.RanAlone{Signature: a.Signature}
	default:
		return
	}
	s.mu.Lock()
	reports := s.detector.Observe(now, event)
	s.mu.Unlock()
	for _, report := range reports {
		if report.Status == detector.Blocked {
			s.log.Log(eventlog.RequestBlocked, zap.String("signature", strconv.FormatUint(report.Signature, 16)))
		}
		s.publish(encode(report))
	}
}

// Deliver passes a report of another host to the detector. It ignores items that it cannot decode.
func (s *Suspector) Deliver(now time.Duration, item relayer.Item) {
	report, ok := decode(item)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Observe(now, detector.Reported{Reports: []detector.Report{report}})
}

// encode converts a report to a relay item. The version of the report becomes the term of the item's version and the
// status its sequence number, so that of two reports of equal version the one with the stricter status wins.
func encode(report detector.Report) relayer.Item {
	body := binary.BigEndian.AppendUint64(nil, report.Signature)
	body = binary.BigEndian.AppendUint64(body, uint64(report.Age))
	return relayer.Item{
		Key:     relayer.Key{Kind: relayer.Suspect, Name: strconv.FormatUint(report.Signature, 16)},
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
