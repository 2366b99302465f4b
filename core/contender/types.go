package contender

import "time"

// Record is the lease record in the store.
type Record struct {
	Revision int64 // 0: the record does not exist
	// Generation is that of the store in which the record was written. Records of earlier versions have 0.
	Generation int64
	// Origin is the generation in which all hosts were started for the first time, or 0 if it is unknown. While the generation is the
	// same, no copy has lost a term.
	Origin   int64
	Holder   string // name of the host
	Address  string // at which the holder accepts connections of other hosts
	Term     uint64
	Resigned bool
}

// Options configures a Contender.
type Options struct {
	Name    string        // unique for each incarnation of a host
	Address string        // at which this host accepts connections of other hosts
	Delay   time.Duration // added before a takeover; shorter on hosts that are better suited as controller
	// FirstStart is set while all hosts start for the first time. A missing record then shows that there was no holder.
	FirstStart bool
}

// Event is an input of Step. Its types are the structs below.
type Event interface{ event() }

// Tick advances the time without other input.
type Tick struct{}

// LeaseStatus is the state of the lease that the holder sends to other hosts.
type LeaseStatus struct {
	Term       uint64
	Generation int64         // in which the holder last wrote the record
	Origin     int64         // see Record
	Revision   int64         // last revision of the record that the holder knows
	Remaining  time.Duration // remaining time of the lease when the status is sent
}

// HeartbeatReceived carries the lease status from a heartbeat of a holder.
type HeartbeatReceived struct{ Lease LeaseStatus }

// AnnouncementReceived carries the announcement of a new holder. With it, hosts whose calls the store rejects can
// follow the holder.
type AnnouncementReceived struct {
	Lease   LeaseStatus
	Holder  string
	Address string
}

// HolderStopped reports that the holder of Term has resigned or that its process has stopped.
type HolderStopped struct{ Term uint64 }

// HolderResigned reports that the holder has given up the lease. The revision is the one that the record has since then.
type HolderResigned struct{ Lease LeaseStatus }

// GenerationObserved reports the generation of any response of the store.
type GenerationObserved struct{ Generation int64 }

// ReadResult carries the result of Read. Generation is that of the store that responded, as in WriteResult.
type ReadResult struct {
	Generation int64
	Record     Record
	Err        error
}

// WriteResult carries the result of Write. On a conflict, Record is the stored record.
type WriteResult struct {
	SentAt     time.Duration
	Generation int64
	Record     Record
	Conflict   bool  // the record has another revision than expected
	Err        error // the write was not confirmed
	Rejected   bool  // the write has no effect; with Err alone, it may take effect later
}

// TermReserved carries the result of ReserveTerm. Generation is that of the store that responded.
type TermReserved struct {
	Generation int64
	Term       uint64
	Err        error
}

// Resign makes the host give up the lease. A holder goes on if it observes a later generation of the store before the record says
// that it has resigned. The host takes over again after Pause at the earliest, or never if Pause is 0. The pause ends
// early if no other host acts as controller within VacancyTimeout.
type Resign struct{ Pause time.Duration }

func (Tick) event()                 {}
func (HeartbeatReceived) event()    {}
func (AnnouncementReceived) event() {}
func (HolderStopped) event()        {}
func (HolderResigned) event()       {}
func (GenerationObserved) event()   {}
func (ReadResult) event()           {}
func (WriteResult) event()          {}
func (TermReserved) event()         {}
func (Resign) event()               {}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Read asks the caller to read the record and to report ReadResult.
type Read struct{}

// Write asks the caller to write the record and to report WriteResult. Record.Revision is the expected revision in
// Record.Generation, or 0 to create the record.
type Write struct{ Record Record }

// ReserveTerm asks the caller to reserve the lowest term above a given one that no host has reserved in a generation, and to report
// TermReserved.
type ReserveTerm struct {
	Generation int64
	Above      uint64
}

// Follow reports that another host holds the record.
type Follow struct{ Record Record }

// Lead reports that this host has taken over the record with a new term.
type Lead struct{ Term uint64 }

// StepDown reports that this host no longer holds the record.
type StepDown struct{}

func (Read) action()        {}
func (Write) action()       {}
func (ReserveTerm) action() {}
func (Follow) action()      {}
func (Lead) action()        {}
func (StepDown) action()    {}
