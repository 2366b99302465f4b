// Package operator serves the operators' calls of schema/proto over Connect on net/http's own mux.
//
// A change is a conditional write to the store. It is recorded in the audit trail before it is sent, so that no change
// takes effect without a record, and the record is completed with its outcome. A write whose answer was lost is resolved
// by reading back and comparing writer and operation; while that gives no certainty the answer is "unknown".
//
// Reads are answered from the host's last known state together with its age, also while the store is down.
//
// # Usage
//
//	server := &operator.Server{Store: store, Snapshot: snapshot, Identify: identify, Now: time.Now}
//	mux := http.NewServeMux()
//	mux.Handle(server.Handler())
//
// The daemon calls Server.Maintain about once a minute. gRPC tools need an http.Server that speaks HTTP/2.
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
	maxRequestBytes    = 512 << 10 // a service with the highest number of rules takes about 100 KiB
	maxOperationLength = 64
	maxWatches         = 64
	maxLaggingHosts    = 32
	resolveAttempts    = 3 // reads after a lost answer
)

// Object is a stored object. Version 0 means that it does not exist.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Store is the client of the object API. All functions are required. Writes return an *Error of kind Conflict when the
// condition fails, with the current object in Stored, and of kind NotAccepted when the store certainly did not take the
// write. Every other error means that the answer was lost.
type Store struct {
	// List returns all objects whose names start with prefix and the store revision that the answer reflects.
	List func(ctx context.Context, prefix string) (revision uint64, objects []Object, err error)
	// Get returns the object, with version 0 when it does not exist.
	Get func(ctx context.Context, name string) (Object, error)
	// Put writes the object if its version is expected, or if it does not exist when expected is 0.
	Put func(ctx context.Context, name string, value []byte, expected uint64) (version uint64, err error)
	// Delete deletes the object if its version is expected, and returns the revision of the deletion.
	Delete func(ctx context.Context, name string, expected uint64) (version uint64, err error)
}

// View is the configuration that this host has in force.
type View struct {
	Snapshot  *configurator.Snapshot // not modified after it was handed out
	Age       time.Duration          // since the host last knew that the snapshot was current
	StoreDown bool                   // the store does not answer
}

// HostState is the state of a host.
type HostState int

// States of hosts.
const (
	Live HostState = iota + 1
	Leaving
	Dead
)

// HostRoleKind is a duty that a host has besides the entry of requests.
type HostRoleKind int

// Duties of hosts.
const (
	Controller HostRoleKind = iota + 1
	Witness
	Admission
	Root
)

// HostRole is one duty of a host.
type HostRole struct {
	Kind    HostRoleKind
	Subject string // service, "<service>.<upstream>" for Admission, "" for Root
}

// Host is a host as this host knows it.
type Host struct {
	Name           string
	Address        string
	FailureDomain  string
	State          HostState
	Roles          []HostRole
	Revision       uint64        // configuration revision in force
	SinceHeartbeat time.Duration // since the last heartbeat
}

// Move is a change of owner that is under way.
type Move struct {
	Service string
	Slice   uint32
	From    string
	To      string
	Reason  string // "drain", "failure-domain", "balance" or "loss"
}

// Rollout tells on how many hosts a revision is in force.
type Rollout struct {
	Revision uint64
	Hosts    int
	Applied  int
	Lagging  []string // live hosts on which it is not in force
}

// Shortfall is capacity that would be missing without a failure domain.
type Shortfall struct {
	Service     string
	SlotsNeeded int
	SlotsLeft   int
	Text        string
}

// Problem is one thing that is wrong now.
type Problem struct {
	Subject string // for example "host entry-3"
	Text    string
}

// Server implements the operators' calls. Its function fields are the seams to the rest of the daemon; optional ones say
// so. They are called concurrently.
type Server struct {
	Store Store
	// Identify returns the caller. An error refuses the call as unauthenticated.
	Identify func(request *http.Request) (Identity, error)
	// Now returns the time of day for the audit trail and for the comparison of windows.
	Now func() time.Time
	// Snapshot returns the last known configuration.
	Snapshot func() View
	// Changed returns a channel that is closed when the view changes after the call.
	Changed func() <-chan struct{}
	// Table returns the table of a service.
	Table func(service string) (slicer.Table, bool)
	// Hosts returns the known hosts, sorted by name.
	Hosts func() []Host
	// Rollout returns the progress of a revision.
	Rollout func(revision uint64) Rollout
	// Moves returns the moves under way. Optional.
	Moves func() []Move
	// Problems returns problems that only the daemon knows. Optional.
	Problems func() []Problem
	// Shortfalls returns what would be missing without the failure domain. Without this function taking a failure domain
	// out needs force, since its capacity is not known.
	Shortfalls func(snapshot *configurator.Snapshot, failureDomain string) []Shortfall
	// Accepted receives every accepted object or tombstone, so that this host need not wait for its watch. Optional.
	Accepted func(object configurator.Object)
	// NewAttempt returns an identifier for an audit record that no other daemon uses. Optional, random by default.
	NewAttempt func() string
	// Wait pauses before a read that resolves a lost answer; attempt starts at 0. Optional.
	Wait func(ctx context.Context, attempt int)

	audit   auditor
	watches atomic.Int32
}

var _ rhubarbtrackv1connect.OperatorServiceHandler = (*Server)(nil)

// Handler returns the pattern and the handler for a mux. Requests from pages of other origins are refused, since a
// listener on loopback is within reach of every page in a local browser.
func (s *Server) Handler() (string, http.Handler) {
	pattern, handler := rhubarbtrackv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	guarded := http.NewCrossOriginProtection().Handler(s.identified(handler))
	return pattern, guarded
}

func (s *Server) newAttempt() string {
	if s.NewAttempt == nil {
		return rand.Text()
	}
	return s.NewAttempt()
}

// Maintain writes the audit records that an outage has kept in memory and deletes a batch of records that are past their
// retention. Its error is an *Error.
func (s *Server) Maintain(ctx context.Context) error {
	if err := s.flush(ctx); err != nil {
		return err
	}
	return s.prune(ctx, s.Now())
}
