// Package planner decides when which request is sent. The same seed gives the same requests.
//
// Usage:
//
//	plan := planner.New(planner.Options{Seed: 1, Rate: 200, Length: time.Second, Keys: 100, ZipfExponent: 1.1})
//	for arrival, ok := plan.Next(); ok; arrival, ok = plan.Next() { ... }
package planner

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind says how often a request may be sent.
type Kind int

// Kinds of requests.
const (
	// Safe requests are sent by GET.
	Safe Kind = iota
	// Idempotent requests are sent by PUT.
	Idempotent
	// NeverRepeat requests are sent by POST.
	NeverRepeat
)

// Options configure a Plan.
type Options struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Keys is the number of keys; zero means a service without keys.
	Keys int
	// ZipfExponent must be greater than 1.
	ZipfExponent float64
	// NeverRepeatShare and IdempotentShare are shares of all requests; the rest is safe.
	NeverRepeatShare float64
	IdempotentShare  float64
	// IDPrefix begins every request id.
	IDPrefix string
}

// Arrival is one request.
type Arrival struct {
	// At is the intended send time since the start of the run.
	At   time.Duration
	ID   string
	Key  string
	Kind Kind
}

// Plan is a sequence of arrivals. It is not safe for concurrent use.
type Plan struct {
	options Options
	random  *rand.Rand
	zipf    *rand.Zipf
	at      time.Duration
	count   int
}

// New returns the plan of the options.
func New(options Options) *Plan {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	p := &Plan{options: options, random: random}
	if options.Keys > 0 {
		p.zipf = rand.NewZipf(random, options.ZipfExponent, 1, uint64(options.Keys-1))
	}
	return p
}

// Next returns the next arrival, and false when the run is over. Times between arrivals are distributed exponentially.
func (p *Plan) Next() (Arrival, bool) {
	p.at += time.Duration(p.random.ExpFloat64() / p.options.Rate * float64(time.Second))
	if p.at >= p.options.Duration {
		return Arrival{}, false
	}
	p.count++
	arrival := Arrival{At: p.at, ID: fmt.Sprintf("%s-%d", p.options.IDPrefix, p.count)}
	if p.zipf != nil {
		arrival.Key = fmt.Sprintf("key-%d", p.zipf.Uint64())
	}
	arrival.Kind = p.kind()
	return arrival, true
}

func (p *Plan) kind() Kind {
	share := p.random.Float64()
	if share < p.options.NeverRepeatShare {
		return NeverRepeat
	}
	if share < p.options.NeverRepeatShare+p.options.IdempotentShare {
		return Idempotent
	}
	return Safe
}
