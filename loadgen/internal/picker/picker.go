// Package picker selects the entry address of each request at random among the ready addresses, as the platform's load
// balancer does.
//
// Usage:
//
//	entries := picker.New(seed, addresses)
//	entries.SetReady(address, false)
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

// New returns a picker that treats all addresses as ready. The seed determines the random numbers. The choices also
// depend on the readiness of the addresses and on the order of concurrent calls.
func New(seed uint64, addresses []string) *Picker {
	return &Picker{random: rand.New(rand.NewPCG(seed, seed)), addresses: addresses, unready: map[string]bool{}}
}

// SetReady sets whether the address is ready.
func (p *Picker) SetReady(address string, ready bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unready[address] = !ready
}

// Pick returns a random ready address, or a random one of all addresses when none is ready.
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

// Jitter returns a random factor from 0.5 to below 1.5, which spreads retries over time.
func (p *Picker) Jitter() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 0.5 + p.random.Float64()
}
