// Package reserver bounds the memory that a host holds in the bodies of requests and responses.
//
// A body is held until the upstream or the caller has taken it. Slow ones keep their bodies for seconds, and with enough of
// them a host exceeds its memory and ends, with all its requests. A request therefore reserves its body before it is read.
// Without room it waits, and the caller's bytes stay in the network. It is refused after a bounded time, and at once if
// many requests wait already. Large bodies leave a part of the memory to small ones. A response that an upstream has made
// is never refused: its body counts, and fewer requests get room.
//
// # Usage
//
//	r := reserver.New(limit)
//	ticket, decision := r.Reserve(now, size)
//	if decision == reserver.Waiting { ... r.Expire(now) ... }
//	for _, granted := range r.Release(size) { ... }
//	r.Hold(len(body))
//
// A Reserver is not safe for concurrent use. Times are durations since an arbitrary origin.
package reserver

import "time"

const (
	// largeShare is the share of the limit up to which large bodies get room.
	largeShare = 0.75
	// largeSize is the size in bytes from which on a body is large.
	largeSize = 16 << 10
	// maxWaiting bounds the requests that wait. One more is refused at once.
	maxWaiting = 256
	// MaxWait is how long a request waits for room. Slow callers and upstreams keep a body for longer than that, so the request
	// is better sent to another host then.
	MaxWait = 500 * time.Millisecond
)

// Decision is the result of Reserve.
type Decision int

// Decisions about a request.
const (
	Granted Decision = iota + 1
	Waiting
	Refused
)

// Ticket identifies a waiting request.
type Ticket uint64

type waiter struct {
	ticket Ticket
	size   int64
	since  time.Duration
}

// Reserver counts the bytes of one host.
type Reserver struct {
	limit  int64
	used   int64
	queue  []waiter // in the order of arrival
	ticket Ticket
}

// New returns a Reserver for a limit in bytes. 0 means no limit.
func New(limit int64) *Reserver { return &Reserver{limit: limit} }

// Used returns the bytes that are reserved or held.
func (r *Reserver) Used() int64 { return r.used }

// Waiting returns the number of requests that wait.
func (r *Reserver) Waiting() int { return len(r.queue) }

// Reserve reserves the bytes of a body that is about to be read. A waiting request gets its bytes from a later call of
// Release, unless Expire or Cancel removes it.
func (r *Reserver) Reserve(now time.Duration, size int64) (Ticket, Decision) {
	switch {
	case r.limit <= 0 || r.fits(size) && !r.isOvertaking(size):
		r.used += size
		return 0, Granted
	case len(r.queue) >= maxWaiting:
		return 0, Refused
	}
	r.ticket++
	r.queue = append(r.queue, waiter{r.ticket, size, now})
	return r.ticket, Waiting
}

// fits reports whether there is room for a body. One that is larger than the limit for its size gets room when nothing else is
// held, because it would wait for ever otherwise.
func (r *Reserver) fits(size int64) bool {
	limit := r.limit
	if size >= largeSize {
		limit = int64(largeShare * float64(r.limit))
	}
	return r.used == 0 || r.used+size <= limit
}

// isOvertaking reports whether a request of the same kind waits already. Small bodies may overtake large ones.
func (r *Reserver) isOvertaking(size int64) bool {
	for _, w := range r.queue {
		if size >= largeSize || w.size < largeSize {
			return true
		}
	}
	return false
}

// Hold counts the bytes of a response, whether there is room or not.
func (r *Reserver) Hold(size int64) { r.used += size }

// Release gives back bytes, and returns the waiting requests that get room.
func (r *Reserver) Release(size int64) []Ticket {
	r.used -= size
	return r.grant()
}

func (r *Reserver) grant() []Ticket {
	var granted []Ticket
	kept := r.queue[:0]
	largeWaits, smallWaits := false, false
	for _, w := range r.queue {
		large := w.size >= largeSize
		if (large && (largeWaits || smallWaits)) || (!large && smallWaits) || !r.fits(w.size) {
			largeWaits, smallWaits = largeWaits || large, smallWaits || !large
			kept = append(kept, w)
			continue
		}
		r.used += w.size
		granted = append(granted, w.ticket)
	}
	r.queue = kept
	return granted
}

// Expire removes the requests that have waited for MaxWait, and returns them. They are refused. A request behind them may get
// room: granted holds those.
func (r *Reserver) Expire(now time.Duration) (refused, granted []Ticket) {
	kept := r.queue[:0]
	for _, w := range r.queue {
		if now >= w.since+MaxWait {
			refused = append(refused, w.ticket)
			continue
		}
		kept = append(kept, w)
	}
	r.queue = kept
	if len(refused) > 0 {
		granted = r.grant()
	}
	return refused, granted
}

// Cancel removes a waiting request whose caller has left, and returns the requests behind it that get room.
func (r *Reserver) Cancel(ticket Ticket) []Ticket {
	for i, w := range r.queue {
		if w.ticket == ticket {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			return r.grant()
		}
	}
	return nil
}
