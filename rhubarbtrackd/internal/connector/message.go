package connector

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// Kind classifies errors of this package.
type Kind int

const (
	// Unreadable means that a message could not be encoded or decoded.
	Unreadable Kind = iota + 1
	// Disconnected means that a connection could not be made, failed, or was closed.
	Disconnected
	// TimedOut means that a connection was not made in time.
	TimedOut
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// Report holds what a host has observed since its last report.
type Report struct {
	Host string
	// Address is the address at which the host accepts other hosts.
	Address string
	Keys    map[string][]uint16 // keys of requests since the last report, by service
	// Upstreams are named by the tags of their incarnations, see package identifier. Reports of earlier versions name the IDs;
	// these entries are dropped.
	Timings []Timing
	Loads   []LoadReport
	// NeedsFullCopy requests the controller's full copy of the store.
	NeedsFullCopy bool
	// Refused lists upstreams whose address refused a connection, Unresponsive those that did not respond, and Reached
	// those that accepted a connection while they were suspected.
	Refused      []identifier.Tag
	Unresponsive []identifier.Tag
	Reached      []identifier.Tag
	// Interruptions lists requests whose connection to an upstream ended, and Completed the signatures of suspects that an
	// upstream ran without a crash. Blocked lists the blocked signatures after one was blocked on the host, and
	// after it has connected. Hosts of earlier versions neither send nor receive them.
	Interruptions []Interruption
	Completed     []uint64
	Blocked       []detector.Report
	// Ended lists upstreams that have ended under requests that are not listed in Interruptions.
	Ended []Ending
	// Leaving lists the upstreams from which the host has a leaving notice.
	Leaving []identifier.Incarnation
	// Quotas holds the changes of the tokens of client accounts on the host.
	Quotas apportioner.Report
	// SentAt is the time on the host's clock at which the report was sent. The controller returns it with its heartbeats. It is
	// 0 in reports of earlier versions.
	SentAt time.Duration
	// Fitness is how well the host suits the role of the controller, see package qualifier. 0: unknown, of an earlier version.
	Fitness float64
	// PackedLoads is set by hosts that decode packed loads.
	PackedLoads bool
	// CopyDigest is the digest of the host's copy of the store while the host does not use the relay, or 0.
	CopyDigest uint64
}

// Interruption is the end of a connection to an upstream before the response to a request was complete. The ages are the
// times since the request was sent and since the connection ended.
type Interruption struct {
	Signature uint64 // of the request, see package detector
	Variant   uint64 // narrow signature of the request, if Signature is a wider one, or 0
	Upstream  identifier.Incarnation
	SentAge   time.Duration
	EndedAge  time.Duration
}

// Ending is the end of an upstream. Age is the time since then.
type Ending struct {
	Upstream identifier.Incarnation
	Age      time.Duration
}

// Timing is the time that requests took at an upstream, without time spent in its queue.
type Timing struct {
	Upstream identifier.Tag
	Count    int
	Sum      time.Duration
}

// LoadReport is the load of an upstream as reported by it. Age is the time since it was received.
type LoadReport struct {
	Upstream identifier.Tag
	Load     selector.Load
	Age      time.Duration
}

// Heartbeat is the periodic message of the controller to a host.
type Heartbeat struct {
	Term  uint64
	Valid bool // the controller's lease is valid
	// Revision is the revision of the lease record in a generation of the store, and Remaining the time until the lease expires.
	// Controllers of earlier versions send the generation 0.
	Revision   int64
	Generation int64
	Origin     int64 // of the lease record, see package contender
	Remaining  time.Duration
	Index      int // position of the host among Hosts
	Hosts      int
	Tables     []TableChange
	Loads      EncodedLoads
	// Packed replaces Loads for hosts that decode packed loads. It may be nil.
	Packed *PackedLoads
	// Resigned is set after the controller has given up its lease.
	Resigned bool
	// HasCopy is set when Copy is valid. It also confirms that the controller's copy of the store is up to date.
	HasCopy bool
	Copy    follower.Change
	// Doubted lists upstreams that other hosts could not reach. Every host probes them and reports the result.
	Doubted []identifier.Tag
	// Suspects lists upstreams that get no requests because nothing reaches them. The host that is the controller sends them
	// health checks. It is not sent to other hosts.
	Suspects []identifier.Tag
	// Addresses lists the addresses at which hosts accept other hosts. It is empty when the list has not changed.
	Addresses []string
	// Signatures holds the changed statuses of requests that may crash upstreams, or all of them on a new connection. Hosts
	// of earlier versions receive neither them nor the ages in Copy.
	Signatures []detector.Report
	// Echo is SentAt of the last report that the controller received before it made the heartbeat, and EchoAge the time since
	// its receipt. Their sum is a lower bound of the time at which the heartbeat was made, on the host's clock. Echo is 0 in
	// heartbeats of earlier versions.
	Echo    time.Duration
	EchoAge time.Duration
	// MadeAt is the earliest time at which the heartbeat may have been made, on the clock of the host that received it. It is not
	// sent.
	MadeAt time.Duration
	// Quotas confirms the tokens of client accounts and holds their changes. It is nil without client accounts, and from a
	// controller of an earlier version.
	Quotas *apportioner.Grants

	packed   []byte // packed loads as they are sent
	unpacked *unpackedLoads
}

type unpackedLoads struct {
	loads    []LoadReport
	runTimes map[identifier.Tag]time.Duration
}

// SharedLoads returns the load reports and run times of a heartbeat.
func (h *Heartbeat) SharedLoads() ([]LoadReport, map[identifier.Tag]time.Duration, error) {
	if h.unpacked != nil {
		return h.unpacked.loads, h.unpacked.runTimes, nil
	}
	return h.Loads.Decode()
}

// TableChange is a change to the routing table of a service, or the full table.
type TableChange struct {
	Service string
	Full    bool
	Rows    allocator.RoutingTable
}

// runTimeAge is the age of an entry that carries a run time instead of a load.
const runTimeAge = 24 * time.Hour

type wireTiming struct {
	_        struct{} `cbor:",toarray"`
	Upstream identifier.Tag
	Count    int
	Sum      int64 // milliseconds
}

// maxSlots and maxLoad bound what an upstream can have and report.
const (
	maxSlots = 1 << 16
	maxLoad  = 1 << 24
)

// maxTimingCount and maxTimingSum bound what a host can measure at one upstream between two reports.
const (
	maxTimingCount = 1 << 20
	maxTimingSum   = time.Hour
)

// wireReport has five fields that are empty: earlier versions named upstreams there by their IDs.
type wireReport struct {
	_             struct{} `cbor:",toarray"`
	Host          string
	Address       string
	Keys          map[string][]uint16
	Timings       []cbor.RawMessage
	Loads         []cbor.RawMessage
	NeedsFullCopy bool
	Refused       []cbor.RawMessage
	Unresponsive  []cbor.RawMessage
	Reached       []cbor.RawMessage
}

type wireUpstream struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
	Service     string
	Address     string
	Domain      string
	Slots       int
	Draining    bool
	ColdLeft    int // milliseconds
}

type wireCopy struct {
	_        struct{} `cbor:",toarray"`
	Full     bool
	Revision int64
	Puts     []wireUpstream
	Removed  []string
	TakenOut []string
	Config   int64
}

type wireRow struct {
	_     struct{} `cbor:",toarray"`
	From  uint16
	To    uint16
	Owner string
	Wait  int // milliseconds
}

type wireTable struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Full    bool
	Rows    []wireRow
}

type wireHeartbeat struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Valid     bool
	Revision  int64
	Remaining int // milliseconds until the lease expires, rounded up
	Index     int
	Hosts     int
	Tables    []wireTable
	Loads     []byte // empty; earlier versions named upstreams by their IDs
	HasCopy   bool
	Copy      wireCopy
	Suspects  []string // empty, as Loads
	Addresses []string
}

func toWireCopy(now time.Duration, c follower.Change) wireCopy {
	wire := wireCopy{Full: c.Full, Revision: c.Revision, Removed: c.Removed, TakenOut: c.TakenOut, Config: c.Configuration}
	for _, u := range c.Puts {
		wire.Puts = append(wire.Puts, wireUpstream{
			ID: u.ID, Incarnation: u.Start, Service: u.Service, Address: u.Address, Domain: u.Domain, Slots: u.Slots,
			Draining: u.Draining, ColdLeft: int(max(0, u.ColdEnd-now).Milliseconds()),
		})
	}
	return wire
}

func fromWireCopy(now time.Duration, wire wireCopy) follower.Change {
	c := follower.Change{Full: wire.Full, Revision: wire.Revision, Removed: wire.Removed, TakenOut: wire.TakenOut,
		Configuration: wire.Config}
	for _, w := range wire.Puts {
		if w.Slots < 1 || w.Slots > maxSlots {
			continue // no host reads such an entry
		}
		u := registrar.Upstream{
			Incarnation: identifier.Incarnation{ID: w.ID, Start: w.Incarnation},
			Service:     w.Service, Address: w.Address, Domain: w.Domain, Slots: w.Slots, Draining: w.Draining,
		}
		if w.ColdLeft > 0 {
			u.ColdEnd = now + fromWireAge(int64(w.ColdLeft))
		}
		c.Puts = append(c.Puts, u)
	}
	return c
}

// encodeReport encodes a report, with its extension if the controller reads extensions.
func encodeReport(r Report, extended bool) ([]byte, error) {
	wire := wireReport{Host: r.Host, Address: r.Address, Keys: r.Keys, NeedsFullCopy: r.NeedsFullCopy}
	data, err := cbor.Marshal(wire)
	if err != nil || !extended {
		return data, err
	}
	extension := wireReportExtension{
		Completed: r.Completed, Blocked: toWireSignatures(r.Blocked), SentAt: r.SentAt.Milliseconds(),
		Loads: toWireLoads(r.Loads), Refused: r.Refused, Unresponsive: r.Unresponsive, Reached: r.Reached,
		PackedLoads: r.PackedLoads, CopyDigest: r.CopyDigest, Quotas: toWireQuotaReport(r.Quotas),
	}
	if r.Fitness > 0 {
		extension.Fitness = max(1, int(r.Fitness*1000))
	}
	for _, t := range r.Timings {
		extension.Timings = append(extension.Timings, wireTiming{Upstream: t.Upstream, Count: t.Count, Sum: t.Sum.Milliseconds()})
	}
	for _, e := range r.Ended {
		extension.Ended = append(extension.Ended, wireEnding{Upstream: e.Upstream.ID, Incarnation: e.Upstream.Start, Age: e.Age.Milliseconds()})
	}
	for _, l := range r.Leaving {
		extension.Leaving = append(extension.Leaving, wireLeaving{Upstream: l.ID, Incarnation: l.Start})
	}
	for _, i := range r.Interruptions {
		extension.Interruptions = append(extension.Interruptions, wireInterruption{
			Signature: i.Signature, Upstream: i.Upstream.String(), SentAge: i.SentAge.Milliseconds(), EndedAge: i.EndedAge.Milliseconds(),
		})
		extension.Variants = append(extension.Variants, i.Variant)
	}
	return withExtension(data, extension)
}

func decodeReport(data []byte) (Report, error) {
	var wire wireReport
	var extension wireReportExtension
	if err := decodeExtended(data, &wire, &extension); err != nil {
		return Report{}, &Error{"decode-report", Unreadable, err}
	}
	r := Report{Host: wire.Host, Address: wire.Address, Keys: wire.Keys, NeedsFullCopy: wire.NeedsFullCopy}
	fromWireReportExtension(&r, extension)
	return r, nil
}

// encodeHeartbeat encodes a heartbeat, with its extension if the host reads extensions.
func encodeHeartbeat(now time.Duration, h Heartbeat, extended bool) ([]byte, error) {
	wire := wireHeartbeat{
		Term: h.Term, Valid: h.Valid, Revision: h.Revision, Remaining: int(h.Remaining.Milliseconds()) + 1,
		Index: h.Index, Hosts: h.Hosts, HasCopy: h.HasCopy, Copy: toWireCopy(now, h.Copy), Addresses: h.Addresses,
	}
	for _, t := range h.Tables {
		table := wireTable{Service: t.Service, Full: t.Full}
		for _, row := range t.Rows {
			table.Rows = append(table.Rows, wireRow{
				From: row.From, To: row.To, Owner: row.Owner.ID, Wait: int(row.Wait.Milliseconds()),
			})
		}
		wire.Tables = append(wire.Tables, table)
	}
	data, err := cbor.Marshal(wire)
	if err != nil || !extended {
		return data, err
	}
	return withExtension(data, toWireHeartbeatExtension(h))
}

func decodeHeartbeat(now time.Duration, data []byte) (Heartbeat, error) {
	var wire wireHeartbeat
	var extension wireHeartbeatExtension
	if err := decodeExtended(data, &wire, &extension); err != nil {
		return Heartbeat{}, &Error{"decode-heartbeat", Unreadable, err}
	}
	h := Heartbeat{
		Term: wire.Term, Valid: wire.Valid, Revision: wire.Revision, Remaining: fromWireAge(int64(wire.Remaining)),
		Index: wire.Index, Hosts: wire.Hosts, HasCopy: wire.HasCopy, Copy: fromWireCopy(now, wire.Copy), Addresses: wire.Addresses,
	}
	fromWireHeartbeatExtension(&h, extension)
	for i, t := range wire.Tables {
		var starts []int64
		if i < len(extension.OwnerStarts) {
			starts = extension.OwnerStarts[i]
		}
		h.Tables = append(h.Tables, fromWireTable(t, starts))
	}
	return h, nil
}

// fromWireTable decodes a table. starts has the starts of the owners by row; a heartbeat of an earlier version has none.
func fromWireTable(wire wireTable, starts []int64) TableChange {
	change := TableChange{Service: wire.Service, Full: wire.Full}
	for i, row := range wire.Rows {
		if row.From > row.To {
			continue // not a range
		}
		owner := identifier.Incarnation{ID: row.Owner}
		if i < len(starts) && row.Owner != "" {
			owner.Start = starts[i]
		}
		change.Rows = append(change.Rows, allocator.Assignment{
			From: row.From, To: row.To, Owner: owner, Wait: fromWireAge(int64(row.Wait)),
		})
	}
	return change
}
