// Package picker chooses the entry address of each request among the ready ones, as the platform's balancer does.
//
// Usage:
//
//	entries := picker.New(seed, addresses)
//	entries.Set(address, false)
//	address := entries.Pick()
package picker

import (
	"math/rand/v2"
	"sync"
)

// Picker is safe for concurrent use.
type Picker struct {
	mu        sync.Mutex
	random    *rand.Rand
	addresses []string
	unready   map[string]bool
}

// New returns a picker for which all addresses are ready.
func New(seed uint64, addresses []string) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), addresses: addresses, unready: map[string]bool{}}
}

// SetReady says whether the address is ready.
func (p *Picker) SetReady(address string, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unready[address] = !ready
}

// Pick returns a random ready address, or any address when none is ready.
func (p *Picker) Pick() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready []string
	for _, address := range p.addresses {
		if !p.unready[address] {
			ready = append(ready, address)
		}
	}
	if len(ready) == 0 {
		ready = p.addresses
	}
	return ready[p.random.IntN(len(ready))]
}

// Jitter returns a random factor between 0.5 and 1.5.
func (p *Picker) Jitter() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 0.5 + p.random.Float64()
}
