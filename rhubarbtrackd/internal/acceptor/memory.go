package acceptor

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/reserver"
)

// Memory bounds the bodies that a host holds, over all connections. A nil Memory has no bound. It is safe for concurrent use.
type Memory struct {
	mutex    sync.Mutex
	reserver *reserver.Reserver
	started  time.Time
	waiting  map[reserver.Ticket]chan reserver.Decision
	observe  func(bytes int64, waiting int)
}

// NewMemory returns a Memory with a limit in bytes. observe is called after each change; it must not block.
func NewMemory(limit int64, observe func(bytes int64, waiting int)) *Memory {
	return &Memory{
		reserver: reserver.New(limit), started: time.Now(), waiting: map[reserver.Ticket]chan reserver.Decision{}, observe: observe,
	}
}

// waitShare is the share of the time which the caller still waits that a request may spend without memory. Callers abandon an attempt
// that is not read after a third; the difference leaves time for the answer to reach them.
const waitShare = 1.0 / 4

// maxRetryAfterShare is the share of the remaining time up to which callers honour Retry-After.
const maxRetryAfterShare = 1.0 / 3

// disconnectInterval is the time between two checks whether the caller of a waiting request has disconnected. Its body is not read
// during the wait, so reading would not show the end.
const disconnectInterval = 25 * time.Millisecond

// refuse returns the error for a request without memory, after a wait, whose caller waits for timeLeft in all.
func refuse(timeLeft, waited time.Duration) error {
	left := max(0, timeLeft-waited)
	return &Error{
		Op: "read-body", Kind: NoMemory, Status: http.StatusServiceUnavailable, RetryAfter: min(reserver.MaxWait, time.Duration(maxRetryAfterShare*float64(left))),
		Err: errors.New("no memory for the body"),
	}
}

// reserve reserves the bytes of a body. It waits for room for up to reserver.MaxWait, and for a caller that waits for timeLeft
// only for waitShare of it. It ends the wait when the caller has disconnected.
func (m *Memory) reserve(ctx context.Context, size int64, timeLeft time.Duration, isDisconnected func() bool) error {
	if m == nil {
		return nil
	}
	began := time.Now()
	m.mutex.Lock()
	ticket, decision := m.reserver.Reserve(time.Since(m.started), size)
	var decided chan reserver.Decision
	if decision == reserver.Waiting {
		decided = make(chan reserver.Decision, 1)
		m.waiting[ticket] = decided
	}
	m.report()
	m.mutex.Unlock()
	switch decision {
	case reserver.Granted:
		return nil
	case reserver.Refused:
		return refuse(timeLeft, time.Since(began))
	}
	timer := time.NewTimer(min(reserver.MaxWait, time.Duration(waitShare*float64(timeLeft))))
	defer timer.Stop()
	poll := time.NewTicker(disconnectInterval)
	defer poll.Stop()
	for waits := true; waits; {
		waits = false
		select {
		case decision = <-decided:
		case <-timer.C:
			m.expire()
			decision = m.decided(ticket, decided)
		case <-ctx.Done():
			return m.abandon(ticket, decided, size, ctx.Err())
		case <-poll.C:
			if isDisconnected() {
				return m.abandon(ticket, decided, size, io.ErrUnexpectedEOF)
			}
			waits = true
		}
	}
	if decision != reserver.Granted {
		return refuse(timeLeft, time.Since(began))
	}
	return nil
}

// abandon ends the wait of a request whose caller has disconnected.
func (m *Memory) abandon(ticket reserver.Ticket, decided chan reserver.Decision, size int64, reason error) error {
	if m.decided(ticket, decided) == reserver.Granted {
		m.release(size)
	}
	return &Error{Op: "read-body", Kind: Incomplete, Err: reason}
}

// decided returns the decision about a request that waits no longer.
func (m *Memory) decided(ticket reserver.Ticket, decided chan reserver.Decision) reserver.Decision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	select {
	case decision := <-decided:
		return decision
	default:
		delete(m.waiting, ticket)
		m.decide(m.reserver.Cancel(ticket), reserver.Granted)
		m.report()
		return reserver.Refused
	}
}

func (m *Memory) expire() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	refused, granted := m.reserver.Expire(time.Since(m.started))
	m.decide(refused, reserver.Refused)
	m.decide(granted, reserver.Granted)
	m.report()
}

// hold counts the bytes of a response until they are released.
func (m *Memory) hold(size int64) {
	if m == nil || size == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reserver.Hold(size)
	m.report()
}

func (m *Memory) release(size int64) {
	if m == nil || size == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.decide(m.reserver.Release(size), reserver.Granted)
	m.report()
}

// decide passes a decision to waiting requests. The caller holds the mutex.
func (m *Memory) decide(tickets []reserver.Ticket, decision reserver.Decision) {
	for _, ticket := range tickets {
		m.waiting[ticket] <- decision
		delete(m.waiting, ticket)
	}
}

func (m *Memory) report() {
	if m.observe != nil {
		m.observe(m.reserver.Used(), m.reserver.Waiting())
	}
}
