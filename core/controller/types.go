package controller

import (
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick reports the passing of time. It is due at least every TickInterval.
type Tick struct{}

// LeaderLease reports the right to act as the elector knows it. A zero Term says that there is none.
type LeaderLease struct {
	Term     uint64
	Acquired time.Duration // when a majority of the witnesses first confirmed Term
	Until    time.Duration // end of the right unless it is extended
}

// Configured carries the configuration in force. The controller only reads the snapshot, so it must not change later.
type Configured struct {
	Snapshot *configurator.Snapshot
}

// Hosts carries the platform's list of hosts.
type Hosts struct {
	Hosts []Host
}

// Host is an entry of the platform's list.
type Host struct {
	Name          string
	FailureDomain string
	Leaving       bool
}

// Heartbeat is the regular message of a host to the controller. Every heartbeat of a host with a role is answered by
// SendLeases.
type Heartbeat struct {
	Host          string
	Incarnation   string
	FailureDomain string
	Leaving       bool
	Sent          time.Duration // by the clock of the host, echoed in SendLeases
	Term          uint64        // highest term of the SendLeases that the host has received
	Leases        []HeldLease   // admission leases of this service that are valid at Sent
}

// HeldLease is an admission lease that a host holds.
type HeldLease struct {
	Upstream string
	Term     uint64
	Epoch    uint64
}

// StopAnswer says that a host admits no request to the slices any more and that none is in flight. A host waits for
// requests in flight up to 1 s, for never-repeat requests up to their deadline.
type StopAnswer struct {
	Host        string
	Incarnation string
	Upstream    string
	Term        uint64 // of the SendLeases that asked for the stop
	Seq         uint64 // of the latest SendLeases that asked for the stop
	Slices      []slicer.Fence
}

// LeaseReturned says that a host has given up an admission lease and has nothing in flight for it.
type LeaseReturned struct {
	Host        string
	Incarnation string
	Upstream    string
	Epoch       uint64
}

// Refusal is the reason for which an upstream refused an order.
type Refusal int

// Refusals. Accepted is the zero value.
const (
	Accepted Refusal = iota
	// StaleTerm says that the upstream has seen a higher term.
	StaleTerm
	// StaleNonce says that the nonce was not the latest one.
	StaleNonce
	// ExpiredNonce says that the lease would have ended already.
	ExpiredNonce
)

// OrderReply is the answer of an upstream to SendOrder. Failed says that there is none: the other fields are zero, but
// ConnectionRefused says that nothing listens at the address of the upstream.
type OrderReply struct {
	Upstream          string
	ID                uint64
	Failed            bool
	ConnectionRefused bool
	Refusal           Refusal
	Term              uint64 // highest term that the upstream has seen
	Incarnation       string
	Nonce             string
	Held              []slicer.Fence
	InFlight          int
}

// Outcome is the result of a store call.
type Outcome int

// Outcomes. Unknown is the zero value: the call may or may not have taken effect.
const (
	Unknown Outcome = iota
	// Done says that the call took effect.
	Done
	// Conflict says that the condition of a write failed.
	Conflict
	// Refused says that the store did not run the call.
	Refused
)

// TableWritten is the answer to WriteTable. The daemon reports Unknown when no answer arrives.
type TableWritten struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64 // of the object, with Done
}

// TableRead is the answer to ReadTable. Outcome is Done also when the object does not exist (Version 0).
type TableRead struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64
	Stamp     Stamp
	Table     slicer.Table
}

// Stamp is stored with a table and identifies the write.
type Stamp struct {
	Host        string
	Incarnation string
	Operation   uint64
}

// Action is an output of Step.
type Action interface{ action() }

// Grant is a slice in an order.
type Grant struct {
	Slice uint32
	Epoch uint64
}

// SendOrder is an order to an upstream. An empty Nonce makes it a query without Add and Remove. At most one order per
// upstream awaits its reply; a later order replaces it and the reply to the earlier one is ignored.
type SendOrder struct {
	Upstream string
	Address  string
	ID       uint64
	Service  string
	Term     uint64
	Nonce    string
	Lifetime time.Duration
	Add      []Grant
	Remove   []Grant
}

// SendLeases carries all admission leases of one host for this service. The host ignores a message whose (Term, Seq) is
// not above the highest it has seen. Its leases end at HeartbeatSent + Lifetime by its own clock. An upstream that is
// not listed must not be admitted to any more. A query changes no lease; the host notes its term and answers with a
// heartbeat at once.
type SendLeases struct {
	Query         bool
	Host          string
	Incarnation   string
	Service       string
	Term          uint64
	Seq           uint64
	HeartbeatSent time.Duration
	Lifetime      time.Duration
	Revision      uint64         // of the configuration
	Table         slicer.Version // oldest table with the present ranges and hot keys; zero accepts any, as they never change yet
	Leases        []Lease
}

// Lease is the right of a host to admit requests to one upstream.
type Lease struct {
	Upstream    string
	Epoch       uint64
	Incarnation string         // of the upstream, empty when unknown
	InFlight    int            // last in-flight number that the upstream reported, -1 when unknown
	Serve       []slicer.Fence // slices to admit to
	Stop        []slicer.Fence // slices to stop and drain; answered by StopAnswer
	NoNewWork   bool           // admit nothing: the upstream is drained or its failure domain is taken out
	Release     bool           // admit nothing, drain, and answer every such lease with LeaseReturned
}

// WriteTable writes the table to the store on condition that the object has version Expect, 0 meaning that it does not
// exist. It is answered by TableWritten.
type WriteTable struct {
	Operation uint64
	Expect    uint64
	Stamp     Stamp
	Table     slicer.Table
}

// ReadTable reads the table from the store. It is answered by TableRead.
type ReadTable struct {
	Operation uint64
}

// PublishTable floods the table to all hosts.
type PublishTable struct {
	Table slicer.Table
}

// PublishLeaderHeartbeat floods the proof that this controller has a valid right to act.
type PublishLeaderHeartbeat struct {
	Service  string
	Term     uint64
	Table    slicer.Version
	Revision uint64
}

// Resign gives the right to act up, because this host reaches too few upstreams. The daemon passes it to the elector.
type Resign struct{}

// Log records a numbered event.
type Log struct {
	Code     Code
	Upstream string
	Host     string
	Slices   int
	Term     uint64
}

// Code identifies a log event; the daemon maps it to its number in the catalogue.
type Code int

// Codes of log events.
const (
	TakeoverStarted Code = iota + 1
	TakeoverFinished
	LeaderLeaseLost
	UpstreamRestarted
	UpstreamExpired
	UpstreamReturned
	MoveStarted
	MoveFinished
	ExcessRevoked
	AssignedProvisionally
	StoreUnavailable
	StoreAvailable
	AdmissionAssigned
	AdmissionExpired
	Superseded
	Resigned
)

func (Tick) event()          {}
func (LeaderLease) event()   {}
func (Configured) event()    {}
func (Hosts) event()         {}
func (Heartbeat) event()     {}
func (StopAnswer) event()    {}
func (LeaseReturned) event() {}
func (OrderReply) event()    {}
func (TableWritten) event()  {}
func (TableRead) event()     {}

func (SendOrder) action()              {}
func (SendLeases) action()             {}
func (WriteTable) action()             {}
func (ReadTable) action()              {}
func (PublishTable) action()           {}
func (PublishLeaderHeartbeat) action() {}
func (Resign) action()                 {}
func (Log) action()                    {}
