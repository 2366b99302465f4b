package controller

import (
	"time"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick advances the time without other input. It is due at least every TickInterval.
type Tick struct{}

// LeaderLease is the lease under which the controller acts, as reported by the elector. Term 0 means that there is
// none.
type LeaderLease struct {
	Term     uint64
	Acquired time.Duration // when a majority of the witnesses first confirmed Term
	Until    time.Duration // expiry unless the lease is extended
}

// Configured carries the applied configuration. The controller keeps the snapshot, so the caller must not change it.
type Configured struct {
	Snapshot *configurator.Snapshot
}

// Hosts carries the platform's list of hosts. It replaces the previous list.
type Hosts struct {
	Hosts []Host
}

// Host is an entry of the platform's list.
type Host struct {
	Name          string
	FailureDomain string
	Leaving       bool // shuts down soon and must not be assigned admission roles
}

// Heartbeat is the periodic message of a host to the controller. The reply to a host with admission roles is
// SendLeases.
type Heartbeat struct {
	Host          string
	Incarnation   string
	FailureDomain string
	Leaving       bool
	Sent          time.Duration // by the clock of the host, echoed in SendLeases
	Term          uint64        // highest term of all SendLeases that the host has received
	Leases        []HeldLease   // admission leases of this service that are valid at Sent
}

// HeldLease is an admission lease that a host holds.
type HeldLease struct {
	Upstream string
	Term     uint64
	Epoch    uint64
}

// StopAnswer confirms that a host admits no requests to the slices and that none is in flight. A host waits for
// requests in flight up to 1 s, for never-repeat requests up to their deadline.
type StopAnswer struct {
	Host        string
	Incarnation string
	Upstream    string
	Term        uint64 // of the SendLeases that asked for the stop
	Seq         uint64 // of the latest SendLeases that asked for the stop
	Slices      []slicer.Fence
}

// LeaseReturned confirms that a host has returned an admission lease and has no request in flight under it.
type LeaseReturned struct {
	Host        string
	Incarnation string
	Upstream    string
	Epoch       uint64
}

// Refusal is the reason why an upstream rejected an order.
type Refusal int

// Refusals. Accepted is the zero value.
const (
	Accepted Refusal = iota
	// StaleTerm means that the upstream has received an order of a higher term.
	StaleTerm
	// StaleNonce means that the nonce was not the latest one that the upstream issued.
	StaleNonce
	// ExpiredNonce means that the grants would already have expired: their lifetime counts from the issue of the
	// nonce.
	ExpiredNonce
)

// OrderReply is the reply of an upstream to SendOrder. With Failed there is none: besides Upstream and ID, only
// ConnectionRefused may be set, which means that nothing listens at the address of the upstream.
type OrderReply struct {
	Upstream          string
	ID                uint64
	Failed            bool
	ConnectionRefused bool
	Refusal           Refusal
	Term              uint64 // highest term that the upstream has received
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
	// Done means that the call took effect.
	Done
	// Conflict means that the condition of a write failed.
	Conflict
	// Refused means that the store did not run the call.
	Refused
)

// TableWritten is the result of WriteTable. The outcome is Unknown when the store does not reply.
type TableWritten struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64 // of the stored object, only with Done
}

// TableRead is the result of ReadTable. An object that does not exist is reported as Done with Version 0.
type TableRead struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64
	Stamp     Stamp
	Table     slicer.Table
}

// Stamp is stored with a table and identifies the write, so that a later read shows whether the write took effect.
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

// SendOrder is an order to an upstream. An order with an empty Nonce is a query without Add and Remove. At most one
// order per upstream awaits its reply: a later order replaces it, and the reply to the earlier one is ignored.
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

// SendLeases carries all admission leases of one host for this service. The host ignores a message whose (Term, Seq)
// is not above the highest that it has received. The leases expire at HeartbeatSent + Lifetime by the clock of the
// host. The host must not admit requests to an upstream that is not listed. A query changes no lease: the host stores
// its term and replies with a heartbeat at once.
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
	Table         slicer.Version // oldest table with the current ranges and hot keys; zero accepts any
	Leases        []Lease
}

// Lease is an admission lease: it permits a host to admit requests to one upstream.
type Lease struct {
	Upstream    string
	Epoch       uint64
	Incarnation string         // of the upstream, empty when unknown
	InFlight    int            // number of requests in flight in the latest report of the upstream, -1 when unknown
	Serve       []slicer.Fence // slices whose requests are admitted
	Stop        []slicer.Fence // slices to stop and drain; confirmed by StopAnswer
	NoNewWork   bool           // admit nothing: the upstream is drained or its failure domain is taken out
	Release     bool           // admit nothing, drain, and reply to every such lease with LeaseReturned
}

// WriteTable writes the table to the store on condition that the object has version Expect; 0 means that it does not
// exist. The result is a TableWritten.
type WriteTable struct {
	Operation uint64
	Expect    uint64
	Stamp     Stamp
	Table     slicer.Table
}

// ReadTable reads the table from the store. The result is a TableRead.
type ReadTable struct {
	Operation uint64
}

// PublishTable sends the table to all hosts.
type PublishTable struct {
	Table slicer.Table
}

// PublishLeaderHeartbeat sends a leader heartbeat to all hosts. It shows that this controller holds the leader lease.
type PublishLeaderHeartbeat struct {
	Service  string
	Term     uint64
	Table    slicer.Version
	Revision uint64
}

// Resign gives up the leader lease because this host reaches too few upstreams. The caller passes it to the elector.
type Resign struct{}

// Log is an event for the log.
type Log struct {
	Code     Code
	Upstream string
	Host     string
	Slices   int
	Term     uint64
}

// Code identifies a log event. The daemon maps it to a number of its event catalogue.
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
