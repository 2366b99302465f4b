package allocator

import "time"

// phase is what a range needs next.
type phase int

const (
	// committing waits until the record names the new owner. The former owner goes on serving.
	committing phase = iota
	// raising gives the former owner a newer fence, so that an older grant that is still on its way has no effect.
	raising
	// releasing waits until the former owner has finished its work on the range.
	releasing
	// expiring waits until every grant that the former owner may have has expired.
	expiring
	// clearing releases the range at the former owner after a takeover, when the new owner may have a grant as well.
	clearing
	// settling releases the range at the new owner for the time of fencing.
	settling
	// fencing gives the former owner a grant that expires at once, for its fence.
	fencing
	// granting gives the range to its owner.
	granting
	// held renews the grant of the owner.
	held
)

// String returns the name of the phase for logs.
func (p phase) String() string {
	return [...]string{"committing", "raising", "releasing", "expiring", "clearing", "settling", "fencing", "granting", "held"}[p]
}

// Range is a row of the record: an inclusive range of keys and the upstreams that may have a grant for it.
type Range struct {
	From, To uint16
	Owner    string
	Previous string // former owner that may still have a grant, or empty
}

// Upstream is an upstream as the controller sees it.
type Upstream struct {
	ID          string
	Incarnation int64
	Domain      string
	// Usable owners may get ranges. An upstream that drains, or whose failure domain is taken out, is not usable.
	Usable bool
	Cold   bool
	Slots  int
}

// Event is an input of Step. Its types are the structs below.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// TermStarted begins a term with the record that the store holds.
type TermStarted struct {
	Term  uint64
	Table []Range
}

// UpstreamsListed carries all upstreams of the service.
type UpstreamsListed struct{ Upstreams map[string]Upstream }

// KeysObserved carries the keys of requests that hosts have received.
type KeysObserved struct{ Keys []uint16 }

// RunTimesMeasured carries what hosts have seen of an upstream: the sum of the times that requests took there, without waiting.
type RunTimesMeasured struct {
	Upstream string
	Count    int
	Sum      time.Duration
}

// Result is the outcome of an order.
type Result int

// Results of orders.
const (
	// Accepted means that the upstream has carried the order out.
	Accepted Result = iota + 1
	// Stale means that the upstream has seen a newer fence.
	Stale
	// Unanswered means that no answer came; the order may be carried out later.
	Unanswered
	// NotSent means that the upstream cannot have received the order.
	NotSent
	// Replaced means that another process has the address: the upstream's process has ended.
	Replaced
)

// OrderCompleted is the outcome of a Grant or Release.
type OrderCompleted struct {
	OrderID  uint64
	Result   Result
	Handover string // of an accepted release
}

// Committed tells that the store holds the table of the given version.
type Committed struct{ Version uint64 }

// CommitFailed tells that the store did not take the table.
type CommitFailed struct{ Version uint64 }

// UpstreamStopped tells that the process of an upstream has certainly ended, so that it has no grants.
type UpstreamStopped struct{ Upstream string }

// SetLifetime sets the lifetime of the grants from now on.
type SetLifetime struct{ Long bool }

func (Tick) event()             {}
func (TermStarted) event()      {}
func (UpstreamsListed) event()  {}
func (KeysObserved) event()     {}
func (RunTimesMeasured) event() {}
func (OrderCompleted) event()   {}
func (Committed) event()        {}
func (CommitFailed) event()     {}
func (UpstreamStopped) event()  {}
func (SetLifetime) event()      {}

// Action is an output of Step. Its types are the structs below.
type Action interface{ action() }

// Grant asks to give a range to an upstream.
type Grant struct {
	OrderID  uint64
	Upstream string
	From, To uint16
	Fence    uint64
	Lifetime time.Duration
	Handover string
	Renewal  bool // the upstream is expected to have the range already
}

// Release asks to take a range from an upstream.
type Release struct {
	OrderID  uint64
	Upstream string
	From, To uint16
	Fence    uint64
}

// Commit asks to write the table.
type Commit struct {
	Version uint64
	Table   []Range
}

// Moved tells of a change of owner, for the log.
type Moved struct {
	From, To uint16
	Previous string
	Owner    string
	Reason   string
}

func (Grant) action()   {}
func (Release) action() {}
func (Commit) action()  {}
func (Moved) action()   {}
