package allocator

import (
	"time"

	"rhubarbtrack.example/core/identifier"
)

// phase is the state of a range. It determines the next order for the range.
type phase int

const (
	// committing waits until the stored table names the new owner. The former owner continues to serve the range.
	committing phase = iota
	// raisingFence renews the grant of the former owner with a newer fence. It goes on serving until it has responded.
	raisingFence
	// releasing waits until the former owner has finished the requests for the range.
	releasing
	// expiring waits until all possible grants of the former owner have expired.
	expiring
	// releasingPrevious asks the former owner to release the range after a takeover, when the new owner may also have a
	// grant. The new owner keeps it.
	releasingPrevious
	// granting sends the first grant to the owner.
	granting
	// held renews the grant of the owner.
	held
)

// String returns the name of the phase for logs.
func (p phase) String() string {
	return [...]string{
		"committing", "raising", "releasing", "expiring", "clearing", "granting", "held",
	}[p]
}

// Range is a row of the ownership table: an inclusive range of keys and the upstreams that may have a grant for it. The start
// of an upstream is unknown in tables of earlier versions.
type Range struct {
	From, To uint16
	Owner    identifier.Incarnation
	Previous identifier.Incarnation // former owner that may still have a grant, or zero
}

// Upstream is a listed upstream of the service.
type Upstream struct {
	identifier.Incarnation
	Domain string
	// Usable upstreams may get ranges. A draining upstream, or one in a failure domain that is taken out, is not usable.
	Usable bool
	// Suspect upstreams could not be reached. They get no ranges and no requests, and keep their grants: a partition of the
	// network looks the same as a stopped process.
	Suspect bool
	Cold    bool
	Slots   int
}

// Event is an input of Step. Its types are the structs below.
type Event interface{ event() }

// Tick advances the time without other input.
type Tick struct{}

// TermStarted starts a term with the stored ownership table, which is empty if there is none.
type TermStarted struct {
	Term       uint64
	Generation int64 // of the store, see package contender
	Table      []Range
	// Recovery is set if the table may lack moves, because it was not written in this generation of the store.
	Recovery *Recovery
}

// Recovery describes what is known of grants that the table does not show.
type Recovery struct {
	// Former lists upstreams that may hold grants and may not be listed any more.
	Former []identifier.Incarnation
	// ListedAt is when all upstreams that run have registered again, so that the list is complete.
	ListedAt time.Duration
}

// GenerationBegan reports a later generation of the store during the term. The store may have lost the table.
type GenerationBegan struct{ Generation int64 }

// UpstreamsListed carries all upstreams of the service, by ID. The Allocator keeps the map.
type UpstreamsListed struct{ Upstreams map[string]Upstream }

// KeysObserved carries the keys of requests that hosts have received since the last report, one for each request.
type KeysObserved struct{ Keys []uint16 }

// RunTimesMeasured carries the number of requests that an upstream ran and the sum of their run times, without
// queueing.
type RunTimesMeasured struct {
	Upstream identifier.Incarnation
	Count    int
	Sum      time.Duration
}

// Result is the result of an order.
type Result int

// Results of orders.
const (
	// Accepted means that the upstream has applied the order.
	Accepted Result = iota + 1
	// Stale means that the upstream has seen a newer fence.
	Stale
	// Unanswered means that there was no response. The upstream may still apply the order later.
	Unanswered
	// NotSent means that the upstream cannot have received the order.
	NotSent
	// Replaced means that another process responded at the address, so the incarnation that got the order has stopped.
	Replaced
)

// OrderCompleted carries the result of a Grant or Release.
type OrderCompleted struct {
	OrderID  uint64
	Result   Result
	Handover string // of an accepted release: token for the next owner, or empty
}

// Committed reports that the store of the given generation has the table of the given version.
type Committed struct {
	Generation int64
	Version    uint64
}

// CommitFailed reports that the table of the given version was not written. The write is retried.
type CommitFailed struct {
	Generation int64
	Version    uint64
}

// SetLifetime sets the lifetime of grants from now on: Options.MaxLifetime if Long is set, GrantLifetime otherwise.
type SetLifetime struct{ Long bool }

// Settle ends moves by load. Moves that have begun, and moves away from upstreams that leave or have stopped, go on.
type Settle struct{}

func (Tick) event()             {}
func (TermStarted) event()      {}
func (GenerationBegan) event()  {}
func (UpstreamsListed) event()  {}
func (KeysObserved) event()     {}
func (RunTimesMeasured) event() {}
func (OrderCompleted) event()   {}
func (Committed) event()        {}
func (CommitFailed) event()     {}
func (SetLifetime) event()      {}
func (Settle) event()           {}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Grant asks the caller to send a grant of a range to an upstream. The caller reports the result by OrderCompleted.
type Grant struct {
	OrderID  uint64
	Upstream identifier.Incarnation
	From, To uint16
	Fence    uint64
	Lifetime time.Duration
	Handover string // token from the release of the former owner, or empty
	Repeated bool   // the owner has accepted a grant of the same fence and lifetime before
}

// Release asks the caller to send a release order for a range to an upstream. The caller reports the result by
// OrderCompleted.
type Release struct {
	OrderID  uint64
	Upstream identifier.Incarnation
	From, To uint16
	Fence    uint64
}

// Commit asks the caller to write the ownership table to the store. The caller reports Committed, if the store was of the given
// generation, or CommitFailed.
type Commit struct {
	Generation int64
	Version    uint64
	Table      []Range
}

// Moved reports a change of owner. It is for the log only.
type Moved struct {
	From, To uint16
	Previous identifier.Incarnation
	Owner    identifier.Incarnation
	Reason   string
}

// UpstreamUnreachable reports that an upstream has failed all orders for so long that its ranges get other owners, once its
// grants have expired. It gets no ranges until the caller has listed it as a suspect and then, when it was reached, no longer.
type UpstreamUnreachable struct{ Upstream identifier.Incarnation }

// RecoveryEnded reports that no other upstreams than the owners hold grants, or that those have expired. It is for the log only.
type RecoveryEnded struct {
	Taken   time.Duration // since the start of the term
	Expired bool          // not all upstreams have responded in time
}

// UpstreamStopped reports that the process of an upstream has stopped, so that its grants are void. It is for the log only.
type UpstreamStopped struct{ Upstream identifier.Incarnation }

func (Grant) action()               {}
func (Release) action()             {}
func (Commit) action()              {}
func (Moved) action()               {}
func (RecoveryEnded) action()       {}
func (UpstreamUnreachable) action() {}
func (UpstreamStopped) action()     {}
