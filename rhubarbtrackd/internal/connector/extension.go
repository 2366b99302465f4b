package connector

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
)

// subprotocol is negotiated by hosts that read an extension after a message. An extension is a second CBOR item, a map, so
// that later versions can add fields. A message without an extension is the same in all versions.
const subprotocol = "rhubarbtrack-extensions"

// maxAge bounds the ages of an extension that are used. All longer ones have the same effect.
const maxAge = time.Hour

// maxEcho bounds the times of an echo that are used. A clock that started with the host stays below it for 100 years.
const maxEcho = 100 * 365 * 24 * time.Hour

// maxExtensionEntries bounds the entries of a list in an extension that are used.
const maxExtensionEntries = detector.DefaultBound

type wireInterruption struct {
	_         struct{} `cbor:",toarray"`
	Signature uint64
	Upstream  string
	SentAge   int64 // milliseconds
	EndedAge  int64 // milliseconds
}

type wireReportExtension struct {
	Interruptions []wireInterruption `cbor:"interruptions,omitempty"`
	// Variants are those of Interruptions, in their order. The rows have a fixed length, which earlier versions check.
	Variants     []uint64         `cbor:"variants,omitempty"`
	Completed    []uint64         `cbor:"completed,omitempty"`
	Blocked      []wireSignature  `cbor:"blocked,omitempty"`
	SentAt       int64            `cbor:"sent-at,omitempty"` // milliseconds on the host's clock
	Leaving      []wireLeaving    `cbor:"leaving,omitempty"`
	Timings      []wireTiming     `cbor:"timings,omitempty"`
	Loads        []wireLoad       `cbor:"loads,omitempty"`
	Refused      []identifier.Tag `cbor:"refused,omitempty"`
	Unresponsive []identifier.Tag `cbor:"unresponsive,omitempty"`
	Reached      []identifier.Tag `cbor:"reached,omitempty"`
	Fitness      int              `cbor:"fitness,omitempty"` // in thousandths, at least 1
	PackedLoads  bool             `cbor:"packed-loads,omitempty"`
	Quotas       *wireQuotaReport `cbor:"quotas,omitempty"`
	CopyDigest   uint64           `cbor:"copy-digest,omitempty"`
	Ended        []wireEnding     `cbor:"ended,omitempty"`
}

type wireEnding struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Incarnation int64
	Age         int64 // milliseconds
}

type wireLeaving struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Incarnation int64
}

type wireSignature struct {
	_         struct{} `cbor:",toarray"`
	Signature uint64
	Status    int
	Version   uint64
	Age       int64 // milliseconds
	Crashes   int
	Upstream  string
}

type wireHeartbeatExtension struct {
	Signatures  []wireSignature  `cbor:"signatures,omitempty"`
	Age         int64            `cbor:"copy-age,omitempty"`      // milliseconds, as all ages
	DrainAges   map[string]int64 `cbor:"drain-ages,omitempty"`    // by upstream
	TakeOutAges map[string]int64 `cbor:"take-out-ages,omitempty"` // by failure domain
	Kept        []string         `cbor:"kept,omitempty"`          // follower.Change.Kept
	Echo        int64            `cbor:"echo,omitempty"`          // wireReportExtension.SentAt of the last report
	EchoAge     int64            `cbor:"echo-age,omitempty"`
	Loads       []byte           `cbor:"loads,omitempty"`
	Doubted     []identifier.Tag `cbor:"doubted,omitempty"`
	OwnerStarts [][]int64        `cbor:"owner-starts,omitempty"` // by table and row of wireHeartbeat
	PackedLoads []byte           `cbor:"packed-loads,omitempty"` // instead of Loads, see Packer
	Resigned    bool             `cbor:"resigned,omitempty"`
	Quotas      *wireQuotaGrants `cbor:"quotas,omitempty"`
	CopyBase    uint64           `cbor:"copy-base,omitempty"` // follower.Change.Base

	Generation     int64 `cbor:"generation,omitempty"`
	Origin         int64 `cbor:"origin,omitempty"`
	CopyGeneration int64 `cbor:"copy-generation,omitempty"` // follower.Change.Generation
}

func toWireHeartbeatExtension(h Heartbeat) wireHeartbeatExtension {
	wire := wireHeartbeatExtension{
		Signatures: toWireSignatures(h.Signatures), Echo: h.Echo.Milliseconds(), EchoAge: h.EchoAge.Milliseconds(),
		Loads: h.Loads, Doubted: h.Doubted, PackedLoads: h.packed, Resigned: h.Resigned, Quotas: toWireQuotaGrants(h.Quotas),
		Generation: h.Generation, Origin: h.Origin,
	}
	for _, t := range h.Tables {
		starts := make([]int64, 0, len(t.Rows))
		for _, row := range t.Rows {
			starts = append(starts, row.Owner.Start)
		}
		wire.OwnerStarts = append(wire.OwnerStarts, starts)
	}
	if h.HasCopy {
		wire.Age, wire.DrainAges, wire.TakeOutAges = h.Copy.Age.Milliseconds(), toWireAges(h.Copy.DrainAges), toWireAges(h.Copy.TakeOutAges)
		wire.Kept, wire.CopyBase, wire.CopyGeneration = h.Copy.Kept, h.Copy.Base, h.Copy.Generation
	}
	return wire
}

func fromWireHeartbeatExtension(h *Heartbeat, wire wireHeartbeatExtension) {
	h.Signatures = fromWireSignatures(wire.Signatures)
	h.Loads, h.Doubted = wire.Loads, wire.Doubted
	h.packed, h.Resigned = wire.PackedLoads, wire.Resigned
	h.Copy.Age = fromWireAge(wire.Age)
	h.EchoAge = fromWireAge(wire.EchoAge)
	if wire.Echo > 0 && wire.Echo <= maxEcho.Milliseconds() {
		h.Echo = time.Duration(wire.Echo) * time.Millisecond
	}
	h.Copy.DrainAges, h.Copy.TakeOutAges = fromWireAges(wire.DrainAges), fromWireAges(wire.TakeOutAges)
	h.Copy.Kept, h.Copy.Base, h.Copy.Generation = wire.Kept, wire.CopyBase, max(0, wire.CopyGeneration)
	h.Generation, h.Origin = max(0, wire.Generation), max(0, wire.Origin)
	h.Quotas = fromWireQuotaGrants(wire.Quotas)
}

// fromWireAge returns an age of at most maxAge. A negative one counts as 0.
func fromWireAge(wire int64) time.Duration {
	return time.Duration(min(max(0, wire), maxAge.Milliseconds())) * time.Millisecond
}

func toWireAges(ages map[string]time.Duration) map[string]int64 {
	wire := map[string]int64{}
	for name, age := range ages {
		wire[name] = age.Milliseconds()
	}
	return wire
}

func fromWireAges(wire map[string]int64) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for name, age := range wire {
		if age >= 0 {
			ages[name] = fromWireAge(age)
		}
	}
	return ages
}

// withExtension appends an extension to an encoded message.
func withExtension(message []byte, extension any) ([]byte, error) {
	encoded, err := cbor.Marshal(extension)
	if err != nil {
		return nil, err
	}
	return append(message, encoded...), nil
}

// decodeExtended decodes a message, and the extension if there is one.
func decodeExtended(data []byte, message, extension any) error {
	rest, err := cbor.UnmarshalFirst(data, message)
	if err != nil || len(rest) == 0 {
		return err
	}
	return cbor.Unmarshal(rest, extension)
}

func fromWireReportExtension(r *Report, wire wireReportExtension) {
	hasVariants := len(wire.Variants) == len(wire.Interruptions) // earlier versions send none
	for n, w := range wire.Interruptions[:min(len(wire.Interruptions), maxExtensionEntries)] {
		if w.EndedAge < 0 || w.SentAge < w.EndedAge || w.SentAge > detector.DefaultRetention.Milliseconds() {
			continue // not possible, or too old to count
		}
		upstream, ok := identifier.Parse(w.Upstream)
		if !ok {
			continue
		}
		interruption := Interruption{
			Signature: w.Signature, Upstream: upstream, SentAge: time.Duration(w.SentAge) * time.Millisecond,
			EndedAge: time.Duration(w.EndedAge) * time.Millisecond,
		}
		if hasVariants {
			interruption.Variant = wire.Variants[n]
		}
		r.Interruptions = append(r.Interruptions, interruption)
	}
	r.Completed = wire.Completed[:min(len(wire.Completed), maxExtensionEntries)]
	r.Blocked = fromWireSignatures(wire.Blocked)
	for _, w := range wire.Leaving[:min(len(wire.Leaving), maxExtensionEntries)] {
		r.Leaving = append(r.Leaving, identifier.Incarnation{ID: w.Upstream, Start: w.Incarnation})
	}
	for _, w := range wire.Ended[:min(len(wire.Ended), maxExtensionEntries)] {
		if w.Age >= 0 {
			r.Ended = append(r.Ended, Ending{identifier.Incarnation{ID: w.Upstream, Start: w.Incarnation}, fromWireAge(w.Age)})
		}
	}
	for _, t := range wire.Timings {
		if t.Count <= 0 || t.Count > maxTimingCount || t.Sum < 0 || t.Sum > maxTimingSum.Milliseconds() {
			continue // no host measures this, and the averages of the controller could overflow
		}
		r.Timings = append(r.Timings, Timing{t.Upstream, t.Count, time.Duration(t.Sum) * time.Millisecond})
	}
	r.Loads = fromWireLoads(wire.Loads)
	r.Refused, r.Unresponsive, r.Reached = wire.Refused, wire.Unresponsive, wire.Reached
	r.Fitness, r.PackedLoads = float64(min(max(0, wire.Fitness), 1000))/1000, wire.PackedLoads
	r.Quotas = fromWireQuotaReport(wire.Quotas)
	r.CopyDigest = wire.CopyDigest
	if wire.SentAt > 0 && wire.SentAt <= maxEcho.Milliseconds() {
		r.SentAt = time.Duration(wire.SentAt) * time.Millisecond
	}
}

func toWireSignatures(reports []detector.Report) []wireSignature {
	wire := make([]wireSignature, 0, len(reports))
	for _, r := range reports {
		wire = append(wire, wireSignature{
			Signature: r.Signature, Status: int(r.Status), Version: r.Version, Age: r.Age.Milliseconds(), Crashes: r.Crashes,
			Upstream: r.Upstream,
		})
	}
	return wire
}

func fromWireSignatures(wire []wireSignature) []detector.Report {
	var reports []detector.Report
	for _, w := range wire[:min(len(wire), maxExtensionEntries)] {
		status := detector.Status(w.Status)
		if status < detector.Clear || status > detector.Blocked || w.Age < 0 || w.Age > detector.DefaultRetention.Milliseconds() || w.Crashes < 0 {
			continue // not possible, or too old to count
		}
		reports = append(reports, detector.Report{
			Signature: w.Signature, Status: status, Version: w.Version, Age: time.Duration(w.Age) * time.Millisecond, Crashes: w.Crashes,
			Upstream: w.Upstream,
		})
	}
	return reports
}
