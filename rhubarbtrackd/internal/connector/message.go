package connector

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	Unreadable Kind = iota + 1
	Disconnected
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Report is what a host tells the controller.
type Report struct {
	Host string
	// Address is where the host accepts others.
	Address string
	Keys    map[string][]uint16 // keys of requests since the last report, by service
	Timings []Timing
	Loads   []LoadReport
	// NeedsFullCopy asks for the controller's whole copy of the store.
	NeedsFullCopy bool
	// Refused are upstreams whose address refused a connection, Silent those that did not answer, and Reached those that
	// accepted one after a suspicion.
	Refused      []string
	Unresponsive []string
	Reached      []string
}

// Timing is the time that requests took at an upstream, without waiting.
type Timing struct {
	Upstream string
	Count    int
	Sum      time.Duration
}

// LoadReport is a load report of an upstream.
type LoadReport struct {
	Upstream string
	Load     selector.Load
	Age      time.Duration
}

// Heartbeat is what the controller tells a host.
type Heartbeat struct {
	Term  uint64
	Valid bool // the controller's right to act is confirmed
	// Revision is that of the record to which the right belongs, and Remaining how much longer it lasts.
	Revision  int64
	Remaining time.Duration
	Index     int // number of the host among Hosts
	Hosts     int
	Tables    []TableChange
	Loads     EncodedLoads
	// HasCopy vouches for the copy of the store, with Copy applied.
	HasCopy bool
	Copy    follower.Change
	// Suspects are upstreams that other hosts could not reach. Every host tries them and reports.
	Suspects []string
	// Addresses are where hosts accept others, or empty when they are as before.
	Addresses []string
}

// TableChange is a change of the table of a service, or the whole table.
type TableChange struct {
	Service string
	Full    bool
	Rows    allocator.RoutingTable
}

// EncodedLoads are load reports in the form in which they are sent, so that they are encoded once for all hosts.
type EncodedLoads []byte

// EncodeLoads encodes load reports.
func EncodeLoads(sightings []LoadReport) (EncodedLoads, error) {
	return cbor.Marshal(toWireSightings(sightings))
}

// Decode returns the load reports.
func (s EncodedLoads) Decode() ([]LoadReport, error) {
	if len(s) == 0 {
		return nil, nil
	}
	var wire []wireSighting
	if err := cbor.Unmarshal(s, &wire); err != nil {
		return nil, &Error{"decode-sightings", Unreadable, err}
	}
	return fromWireSightings(wire), nil
}

type wireSighting struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Running  int
	Waiting  int
	Slots    int
	Pace     int // percent
	Age      int // milliseconds
}

type wireTiming struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Count    int
	Sum      int64 // milliseconds
}

type wireReport struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Address string
	Keys    map[string][]uint16
	Times   []wireTiming
	Loads   []wireSighting
	Whole   bool
	Refused []string
	Silent  []string
	Reached []string
}

type wireUpstream struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Life     int64
	Service  string
	Address  string
	Domain   string
	Slots    int
	Draining bool
	ColdLeft int // milliseconds
}

type wireCopy struct {
	_        struct{} `cbor:",toarray"`
	Whole    bool
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
	Whole   bool
	Rows    []wireRow
}

type wireBeat struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Valid     bool
	Revision  int64
	Left      int // milliseconds of the right
	Index     int
	Hosts     int
	Tables    []wireTable
	Loads     []byte
	Fresh     bool
	Copy      wireCopy
	Suspects  []string
	Addresses []string
}

func toWireCopy(now time.Duration, c follower.Change) wireCopy {
	wire := wireCopy{Whole: c.Full, Revision: c.Revision, Removed: c.Removed, TakenOut: c.TakenOut, Config: c.Configuration}
	for _, u := range c.Puts {
		wire.Puts = append(wire.Puts, wireUpstream{
			ID: u.ID, Life: u.Incarnation, Service: u.Service, Address: u.Address, Domain: u.Domain, Slots: u.Slots,
			Draining: u.Draining, ColdLeft: int(max(0, u.ColdEnd-now).Milliseconds()),
		})
	}
	return wire
}

func fromWireCopy(now time.Duration, wire wireCopy) follower.Change {
	c := follower.Change{Full: wire.Whole, Revision: wire.Revision, Removed: wire.Removed, TakenOut: wire.TakenOut,
		Configuration: wire.Config}
	for _, w := range wire.Puts {
		u := registrar.Upstream{
			ID: w.ID, Incarnation: w.Life, Service: w.Service, Address: w.Address, Domain: w.Domain, Slots: w.Slots, Draining: w.Draining,
		}
		if w.ColdLeft > 0 {
			u.ColdEnd = now + time.Duration(w.ColdLeft)*time.Millisecond
		}
		c.Puts = append(c.Puts, u)
	}
	return c
}

func toWireSightings(sightings []LoadReport) []wireSighting {
	wire := make([]wireSighting, 0, len(sightings))
	for _, s := range sightings {
		wire = append(wire, wireSighting{
			Upstream: s.Upstream, Running: s.Load.Running, Waiting: s.Load.Waiting, Slots: s.Load.Slots,
			Pace: int(s.Load.Slowdown * 100), Age: int(s.Age.Milliseconds()),
		})
	}
	return wire
}

func fromWireSightings(wire []wireSighting) []LoadReport {
	sightings := make([]LoadReport, 0, len(wire))
	for _, w := range wire {
		sightings = append(sightings, LoadReport{
			Upstream: w.Upstream,
			Load:     selector.Load{Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Slowdown: float64(w.Pace) / 100},
			Age:      time.Duration(w.Age) * time.Millisecond,
		})
	}
	return sightings
}

func encodeReport(r Report) ([]byte, error) {
	wire := wireReport{Host: r.Host, Address: r.Address, Keys: r.Keys, Loads: toWireSightings(r.Loads), Whole: r.NeedsFullCopy,
		Refused: r.Refused, Silent: r.Unresponsive, Reached: r.Reached}
	for _, t := range r.Timings {
		wire.Times = append(wire.Times, wireTiming{Upstream: t.Upstream, Count: t.Count, Sum: t.Sum.Milliseconds()})
	}
	return cbor.Marshal(wire)
}

func decodeReport(data []byte) (Report, error) {
	var wire wireReport
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return Report{}, &Error{"decode-report", Unreadable, err}
	}
	r := Report{Host: wire.Host, Address: wire.Address, Keys: wire.Keys, Loads: fromWireSightings(wire.Loads), NeedsFullCopy: wire.Whole,
		Refused: wire.Refused, Unresponsive: wire.Silent, Reached: wire.Reached}
	for _, t := range wire.Times {
		r.Timings = append(r.Timings, Timing{t.Upstream, t.Count, time.Duration(t.Sum) * time.Millisecond})
	}
	return r, nil
}

func encodeBeat(now time.Duration, b Heartbeat) ([]byte, error) {
	wire := wireBeat{Term: b.Term, Valid: b.Valid, Revision: b.Revision, Left: int(b.Remaining.Milliseconds()) + 1, Index: b.Index, Hosts: b.Hosts, Loads: b.Loads,
		Fresh: b.HasCopy, Copy: toWireCopy(now, b.Copy), Suspects: b.Suspects, Addresses: b.Addresses}
	for _, t := range b.Tables {
		table := wireTable{Service: t.Service, Whole: t.Full}
		for _, row := range t.Rows {
			table.Rows = append(table.Rows, wireRow{From: row.From, To: row.To, Owner: row.Owner, Wait: int(row.Wait.Milliseconds())})
		}
		wire.Tables = append(wire.Tables, table)
	}
	return cbor.Marshal(wire)
}

func decodeBeat(now time.Duration, data []byte) (Heartbeat, error) {
	var wire wireBeat
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return Heartbeat{}, &Error{"decode-beat", Unreadable, err}
	}
	b := Heartbeat{Term: wire.Term, Valid: wire.Valid, Revision: wire.Revision, Remaining: time.Duration(wire.Left) * time.Millisecond, Index: wire.Index, Hosts: wire.Hosts, Loads: wire.Loads,
		HasCopy: wire.Fresh, Copy: fromWireCopy(now, wire.Copy), Suspects: wire.Suspects, Addresses: wire.Addresses}
	for _, t := range wire.Tables {
		change := TableChange{Service: t.Service, Full: t.Whole}
		for _, row := range t.Rows {
			change.Rows = append(change.Rows, allocator.Assignment{
				From: row.From, To: row.To, Owner: row.Owner, Wait: time.Duration(row.Wait) * time.Millisecond,
			})
		}
		b.Tables = append(b.Tables, change)
	}
	return b, nil
}
