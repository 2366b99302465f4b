package elector

import (
	"time"

	"rhubarbtrack.example/core/witness"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick reports the passing of time. It is due at least every TickInterval.
type Tick struct{}

// PromiseGranted says that the witness of this host has confirmed a controller of this service.
type PromiseGranted struct {
	Holder witness.Holder
}

// Resigned says that the controller of this host gives its right up.
type Resigned struct{}

// ConfirmReply is the reply of a witness to SendConfirm.
type ConfirmReply struct {
	Reply witness.Reply
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

// RecordRead carries the controller record as the store has it, as answer to ReadRecord (then Operation is that of the
// action) or from a watch (Operation 0). Version 0 says that there is no record.
type RecordRead struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64
	Record    witness.Record
}

// RecordWritten is the answer to WriteRecord. The daemon reports Unknown when no answer arrives.
type RecordWritten struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64
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

// Action is an output of Step.
type Action interface{ action() }

// SendConfirm asks a witness, which may be this host, for a promise.
type SendConfirm struct {
	Witness string
	Request witness.Request
}

// ReadRecord reads the controller record. It is answered by RecordRead.
type ReadRecord struct {
	Operation uint64
}

// WriteRecord writes the controller record on condition that it has version Expect, 0 meaning that it does not exist. It
// is answered by RecordWritten.
type WriteRecord struct {
	Operation uint64
	Expect    uint64
	Record    witness.Record
}

// LeaderLease reports the right to act whenever it changes. A zero Term says that there is none.
type LeaderLease struct {
	Term     uint64
	Acquired time.Duration // when a majority of the witnesses first confirmed Term
	Until    time.Duration // end of the right unless it is extended
}

// Log records a numbered event.
type Log struct {
	Code Code
	Term uint64
}

// Code identifies a log event; the daemon maps it to its number in the catalogue.
type Code int

// Codes of log events.
const (
	CandidacyStarted Code = iota + 1
	CandidacyLost
	LeaderLeaseAcquired
	LeaderLeaseLost
	WitnessesReplaced
	WitnessesCommitted
)

func (Tick) event()           {}
func (PromiseGranted) event() {}
func (Resigned) event()       {}
func (ConfirmReply) event()   {}
func (RecordRead) event()     {}
func (RecordWritten) event()  {}
func (Hosts) event()          {}

func (SendConfirm) action() {}
func (ReadRecord) action()  {}
func (WriteRecord) action() {}
func (LeaderLease) action() {}
func (Log) action()         {}
