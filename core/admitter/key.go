package admitter

import (
	"time"

	"rhubarbtrack.example/core/hasher"
)

// keyRetention is how long a duplicate of an idempotency key is refused.
const keyRetention = 10 * time.Minute

type keyResult int

const (
	keyAdded keyResult = iota
	keyKnown
	keysFull
)

type keyState struct {
	id         ID
	expiry     time.Duration
	repeatable bool // another attempt of the same caller request may run
}

type keyExpiry struct {
	key    uint64
	expiry time.Duration
}

// keyMemory holds the idempotency keys of the last 10 minutes as hashes. When it is full, new keys are refused, because
// forgetting one would let its duplicate run.
type keyMemory struct {
	bound  int
	states map[uint64]keyState
	order  []keyExpiry // by expiry; entries whose key was removed or added again are skipped
	head   int
}

func newKeyMemory(bound int) keyMemory {
	return keyMemory{bound: bound, states: map[uint64]keyState{}}
}

func hashKey(key string) uint64 {
	return hasher.Sum(key)
}

// add records a key. An attempt of the same request passes when the previous one was released.
func (m *keyMemory) add(now time.Duration, key uint64, id ID, neverRepeat bool) keyResult {
	if state, known := m.states[key]; known {
		if state.id != id || !state.repeatable || neverRepeat {
			return keyKnown
		}
		state.repeatable = false
		m.states[key] = state
		return keyAdded
	}
	if len(m.states) >= m.bound {
		return keysFull
	}
	if len(m.order)-m.head >= 2*m.bound {
		m.compact()
	}
	m.states[key] = keyState{id: id, expiry: now + keyRetention}
	m.order = append(m.order, keyExpiry{key: key, expiry: now + keyRetention})
	return keyAdded
}

// release lets further attempts of the request that holds the key pass.
func (m *keyMemory) release(key uint64) {
	if state, known := m.states[key]; known {
		state.repeatable = true
		m.states[key] = state
	}
}

func (m *keyMemory) remove(key uint64) {
	delete(m.states, key)
}

// compact removes the entries of keys that were removed, which would otherwise stay for 10 minutes.
func (m *keyMemory) compact() {
	kept := m.order[:0]
	for _, entry := range m.order[m.head:] {
		if state, known := m.states[entry.key]; known && state.expiry == entry.expiry {
			kept = append(kept, entry)
		}
	}
	m.order = kept
	m.head = 0
}

func (m *keyMemory) expire(now time.Duration) {
	for m.head < len(m.order) && m.order[m.head].expiry <= now {
		oldest := m.order[m.head]
		if state, known := m.states[oldest.key]; known && state.expiry == oldest.expiry {
			delete(m.states, oldest.key)
		}
		m.head++
	}
	if m.head > len(m.order)/2 {
		m.order = append(m.order[:0], m.order[m.head:]...)
		m.head = 0
	}
}
