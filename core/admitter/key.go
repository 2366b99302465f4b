package admitter

import (
	"time"

	"rhubarbtrack.example/core/hasher"
)

// keyRetention is how long a duplicate of an idempotency key is rejected.
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
	repeatable bool // a further attempt of the same request may run
}

type keyExpiry struct {
	key    uint64
	expiry time.Duration
}

// keyStore holds the hashes of the idempotency keys of the last 10 minutes. When it is full, new keys are rejected,
// because evicting a key would let its duplicate run.
type keyStore struct {
	bound  int
	states map[uint64]keyState
	order  []keyExpiry // by expiry; entries of keys that were removed or added again are skipped
	head   int
}

func newKeyStore(bound int) keyStore {
	return keyStore{bound: bound, states: map[uint64]keyState{}}
}

func hashKey(key string) uint64 {
	return hasher.Sum(key)
}

// add stores a key, or returns keyKnown for a duplicate. A further attempt of the same request is no duplicate after
// release, unless the request must never be repeated.
func (s *keyStore) add(now time.Duration, key uint64, id ID, neverRepeat bool) keyResult {
	if state, known := s.states[key]; known {
		if state.id != id || !state.repeatable || neverRepeat {
			return keyKnown
		}
		state.repeatable = false
		s.states[key] = state
		return keyAdded
	}
	if len(s.states) >= s.bound {
		return keysFull
	}
	if len(s.order)-s.head >= 2*s.bound {
		s.compact()
	}
	s.states[key] = keyState{id: id, expiry: now + keyRetention}
	s.order = append(s.order, keyExpiry{key: key, expiry: now + keyRetention})
	return keyAdded
}

// release allows one further attempt of the request that holds the key.
func (s *keyStore) release(key uint64) {
	if state, known := s.states[key]; known {
		state.repeatable = true
		s.states[key] = state
	}
}

func (s *keyStore) remove(key uint64) {
	delete(s.states, key)
}

// compact drops the order entries of removed keys, which would otherwise use memory until their expiry.
func (s *keyStore) compact() {
	kept := s.order[:0]
	for _, entry := range s.order[s.head:] {
		if state, known := s.states[entry.key]; known && state.expiry == entry.expiry {
			kept = append(kept, entry)
		}
	}
	s.order = kept
	s.head = 0
}

func (s *keyStore) expire(now time.Duration) {
	for s.head < len(s.order) && s.order[s.head].expiry <= now {
		oldest := s.order[s.head]
		if state, known := s.states[oldest.key]; known && state.expiry == oldest.expiry {
			delete(s.states, oldest.key)
		}
		s.head++
	}
	if s.head > len(s.order)/2 {
		s.order = append(s.order[:0], s.order[s.head:]...)
		s.head = 0
	}
}
