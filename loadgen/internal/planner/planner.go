// Package planner generates the sequence of requests with their send times. Arrivals are a Poisson process, keys follow
// a Zipf distribution, and the same options, including the seed, give the same requests.
//
// Usage:
//
//	plan := planner.New(planner.Options{Seed: 1, Rate: 200, Duration: time.Second, Keys: 100, ZipfExponent: 1.1})
//	for arrival, ok := plan.Next(); ok; arrival, ok = plan.Next() { ... }
package planner

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind says whether a request may safely be repeated. It determines the HTTP method.
type Kind int

// Kinds of requests.
const (
	// Safe requests are read-only and are sent as GET.
	Safe Kind = iota
	// Idempotent requests have the same effect when repeated and are sent as PUT.
	Idempotent
	// NeverRepeat requests must run at most once and are sent as POST.
	NeverRepeat
)

// Options configure a Plan.
type Options struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Keys is the number of keys; zero means a service without keys.
	Keys int
	// ZipfExponent must be greater than 1.
	ZipfExponent float64
	// NeverRepeatShare and IdempotentShare are shares of all requests; the rest is safe.
	NeverRepeatShare float64
	IdempotentShare  float64
	// IDPrefix precedes the sequence number in every request ID.
	IDPrefix string
}

// Arrival is one planned request. Key is empty for a service without keys.
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

// New returns a plan that starts with the first arrival.
func New(options Options) *Plan {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	p := &Plan{options: options, random: random}
	if options.Keys > 0 {
		p.zipf = rand.NewZipf(random, options.ZipfExponent, 1, uint64(options.Keys-1))
	}
	return p
}

// Next returns the next arrival, or false after the end of the run. Times between arrivals are exponentially
// distributed.
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
