// Package operator serves the operator calls of schema/proto over Connect on a net/http mux.
//
// A change is a conditional write to the store. The audit record is stored before the write is sent, so that no change
// takes effect without a record, and is updated with the outcome afterwards. If the response to a write is lost, the
// server reads the object back and compares writer and operation. If that does not prove that the write took effect,
// the call returns "unknown".
//
// Reads return the last known state of this host together with its age, also while the store is unavailable.
//
// # Usage
//
//	server := &operator.Server{Store: store, Snapshot: snapshot, Identify: identify, Now: time.Now}
//	mux := http.NewServeMux()
//	mux.Handle(server.Handler())
//
// The daemon calls Server.Maintain about once a minute. gRPC clients need an http.Server that serves HTTP/2.
package operator

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/schema/gen/rhubarbtrack/v1/rhubarbtrackv1connect"
)

// Bounds of the calls.
const (
	maxRequestBytes    = 512 << 10 // a service with the maximum number of rules takes about 100 KiB
	maxOperationLength = 64        // in bytes
	maxWatches         = 64        // concurrent watches per host
	maxLaggingHosts    = 32        // hosts in one response
	resolveAttempts    = 3         // reads after a lost response to a write
)

// Object is a stored object. Version 0 means that it does not exist.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Store is the client of the object API. All functions are required. Writes return an *Error of kind Conflict if the
// condition fails, with the current object in Stored, and of kind NotAccepted if the write certainly had no effect.
// Every other error means that the response was lost and the write may have taken effect.
type Store struct {
	// List returns all objects whose names start with prefix, and the store revision that the list reflects.
	List func(ctx context.Context, prefix string) (revision uint64, objects []Object, err error)
	// Get returns the object, with version 0 if it does not exist.
	Get func(ctx context.Context, name string) (Object, error)
	// Put writes the object if its version equals expected. If expected is 0, the object must not exist.
	Put func(ctx context.Context, name string, value []byte, expected uint64) (version uint64, err error)
	// Delete deletes the object if its version equals expected, and returns the revision of the deletion.
	Delete func(ctx context.Context, name string, expected uint64) (version uint64, err error)
}

// View is the configuration that this host has applied.
type View struct {
	Snapshot  *configurator.Snapshot // not modified after Server.Snapshot has returned it
	Age       time.Duration          // time since the snapshot was last confirmed to be current
	StoreDown bool                   // the store does not respond
}

// HostState says whether a host is running, shutting down or unreachable. The values are those of the wire enum.
type HostState int

// States of hosts.
const (
	Live HostState = iota + 1
	Leaving
	Dead
)

// HostRoleKind is a role that a host has in addition to receiving requests. The values are those of the wire enum.
type HostRoleKind int

// Roles of hosts.
const (
	Controller HostRoleKind = iota + 1
	Witness
	Admission
	Root
)

// HostRole is one role of a host, together with the service or upstream that it serves.
type HostRole struct {
	Kind    HostRoleKind
	Subject string // service, "<service>.<upstream>" for Admission, "" for Root
}

// Host is the state of a host as last known to this host.
type Host struct {
	Name           string
	Address        string
	FailureDomain  string
	State          HostState
	Roles          []HostRole
	Revision       uint64        // applied configuration revision
	SinceHeartbeat time.Duration // time since the last heartbeat, 0 if unknown
}

// Move is a change of the owner of a slice that is in progress.
type Move struct {
	Service string
	Slice   uint32
	From    string
	To      string
	Reason  string // "drain", "failure-domain", "balance" or "loss"
}

// Rollout is the progress of a configuration revision: on how many hosts it is applied.
type Rollout struct {
	Revision uint64
	Hosts    int
	Applied  int
	Lagging  []string // live hosts that have not applied it
}

// Shortfall is the capacity that a service would lack without a failure domain.
type Shortfall struct {
	Service     string
	SlotsNeeded int
	SlotsLeft   int
	Text        string
}

// Problem is one current fault of the system.
type Problem struct {
	Subject string // for example "host entry-3"
	Text    string
}

// Server implements the operator calls. Its function fields connect it to the rest of the daemon. They are required
// unless their comments say "Optional", and must be safe for concurrent use.
type Server struct {
	Store Store
	// Identify authenticates the caller. If it returns an error, the call is rejected as unauthenticated.
	Identify func(request *http.Request) (Identity, error)
	// Now returns the wall-clock time for the audit trail and for the comparison of cleaning windows.
	Now func() time.Time
	// Snapshot returns the last known configuration.
	Snapshot func() View
	// Changed returns a channel that is closed at the next change of the view after the call.
	Changed func() <-chan struct{}
	// Table returns the ownership table of a service, and false if there is none.
	Table func(service string) (slicer.Table, bool)
	// Hosts returns the known hosts, sorted by name.
	Hosts func() []Host
	// Rollout returns the progress of a revision.
	Rollout func(revision uint64) Rollout
	// Moves returns the moves in progress. Optional.
	Moves func() []Move
	// Problems returns additional problems that other parts of the daemon have detected. Optional.
	Problems func() []Problem
	// Shortfalls returns the capacity that services would lack without the failure domain. If this function is nil, the
	// capacity is unknown and a failure domain can be taken out only with force.
	Shortfalls func(snapshot *configurator.Snapshot, failureDomain string) []Shortfall
	// Accepted receives every accepted object or tombstone, so that this host applies it before its watch delivers it.
	// Optional.
	Accepted func(object configurator.Object)
	// NewAttempt returns an identifier for an audit record. It must be unique among all daemons. Optional; the default
	// is a random identifier.
	NewAttempt func() string
	// Wait pauses before each read that follows a lost response to a write; attempt starts at 0. Optional.
	Wait func(ctx context.Context, attempt int)

	audit   auditor
	watches atomic.Int32
}

var _ rhubarbtrackv1connect.OperatorServiceHandler = (*Server)(nil)

// Handler returns the pattern and the handler for a mux. It rejects cross-origin requests of browsers, because every
// web page in a browser on the same machine can send requests to a loopback listener.
func (s *Server) Handler() (string, http.Handler) {
	pattern, handler := rhubarbtrackv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	guarded := http.NewCrossOriginProtection().Handler(s.withIdentity(handler))
	return pattern, guarded
}

func (s *Server) newAttempt() string {
	if s.NewAttempt == nil {
		return rand.Text()
	}
	return s.NewAttempt()
}

// Maintain stores the audit records that were kept in memory during a store outage, and deletes a batch of records that
// are older than the retention time. Its error is an *Error.
func (s *Server) Maintain(ctx context.Context) error {
	if err := s.flush(ctx); err != nil {
		return err
	}
	return s.prune(ctx, s.Now())
}
