package elector

import (
	"time"

	"rhubarbtrack.example/core/witness"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick advances the time without other input. It is due at least every TickInterval.
type Tick struct{}

// PromiseGranted reports that the witness of this host has granted a promise to a controller of this service. It
// postpones the candidacy of this host.
type PromiseGranted struct {
	Holder witness.Holder
}

// Resigned reports that the controller of this host has given up its leader lease.
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
	// Done means that the call took effect.
	Done
	// Conflict means that the condition of a write failed.
	Conflict
	// Refused means that the store did not run the call.
	Refused
)

// RecordRead carries the stored controller record: as result of ReadRecord, with the Operation of that action, or
// from a watch, with Operation 0. Version 0 means that there is no record.
type RecordRead struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64
	Record    witness.Record
}

// RecordWritten is the result of WriteRecord. The outcome is Unknown when the store does not reply.
type RecordWritten struct {
	Operation uint64
	Outcome   Outcome
	Version   uint64
}

// Hosts carries the platform's list of hosts. It replaces the previous list.
type Hosts struct {
	Hosts []Host
}

// Host is an entry of the platform's list.
type Host struct {
	Name          string
	FailureDomain string
	Leaving       bool // shuts down soon: must not become a candidate or a new witness
}

// Action is an output of Step.
type Action interface{ action() }

// SendConfirm requests a promise from a witness, which may be the one of this host. The reply is a ConfirmReply.
type SendConfirm struct {
	Witness string
	Request witness.Request
}

// ReadRecord reads the controller record. The result is a RecordRead.
type ReadRecord struct {
	Operation uint64
}

// WriteRecord writes the controller record on condition that it has version Expect; 0 means that it does not exist.
// The result is a RecordWritten.
type WriteRecord struct {
	Operation uint64
	Expect    uint64
	Record    witness.Record
}

// LeaderLease reports the leader lease of this host whenever it changes. Term 0 means that there is none.
type LeaderLease struct {
	Term     uint64
	Acquired time.Duration // when a majority of the witnesses first confirmed Term
	Until    time.Duration // expiry unless the lease is extended
}

// Log is an event for the log.
type Log struct {
	Code Code
	Term uint64
}

// Code identifies a log event. The daemon maps it to a number of its event catalogue.
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
