// Package qualifier decides how well a host suits the role of the controller, how long it delays its candidacy, and when a
// controller that runs short of link or processor hands the role over.
//
// The controller sends heartbeats to all hosts several times a second. On a slow link or a small share of a processor,
// this work delays the writes that renew the lease. Hosts that suit the role fully become candidates at once, all others
// later, but within MaxDelay. A fleet without a suitable host therefore has a controller as well.
//
// # Usage
//
//	fitness := qualifier.Fitness(qualifier.Host{Cores: 0.4, LinkRate: 1.25e6})
//	delay := qualifier.Delay(fitness, seed)
//
//	h := qualifier.NewHandover(fitness)
//	if h.Step(now, qualifier.Observation{Starved: true, Fittest: 1}) { ... }
//
// Times are durations since an arbitrary origin.
package qualifier

import "time"

const (
	// fullCores, fullLinkRate and fullMemory are what a controller of some hundred hosts needs. A host that has less of one
	// delays its candidacy. docs/CAPACITY.md derives the link rate.
	fullCores    = 0.3
	fullLinkRate = 50e6 / 8 // bytes per second
	fullMemory   = 128 << 20
	// MaxDelay is the delay of a host without any of these. It bounds how long a fleet of small hosts waits for a controller.
	MaxDelay = 1200 * time.Millisecond
	// spread bounds a delay that depends on the seed, so that hosts of equal fitness do not compete at the same moment.
	spread = 150 * time.Millisecond
)

// Host is what the settings of a host provide. A rate or size of 0 is unknown and does not count against the host.
type Host struct {
	Cores       float64
	LinkRate    float64 // bytes per second
	MemoryBytes int64
}

// Fitness returns how well a host suits the role: 1 fully, 0 not at all. A shortage of one kind cannot be made up by another
// one, so the shares are multiplied.
func Fitness(h Host) float64 {
	fitness := share(h.Cores, fullCores)
	if h.LinkRate > 0 {
		fitness *= share(h.LinkRate, fullLinkRate)
	}
	if h.MemoryBytes > 0 {
		fitness *= share(float64(h.MemoryBytes), fullMemory)
	}
	return fitness
}

func share(value, full float64) float64 { return min(1, max(0, value/full)) }

// Delay returns the time by which a host of the given fitness delays its candidacy.
func Delay(fitness float64, seed uint64) time.Duration {
	return time.Duration((1-fitness)*float64(MaxDelay) + float64(seed%256)/256*float64(spread))
}

const (
	// fitterMargin is by how much another host must be fitter to get the role. A smaller gain does not make up for the
	// time without a controller.
	fitterMargin = 0.25
	// starvedTime is how long a controller must be starved before it hands over. Short peaks, such as the full states that
	// it sends at the start of its term, end earlier.
	starvedTime = 3 * time.Second
	// HandoverPause is how long a host that handed over leaves the role to others.
	HandoverPause = 8 * time.Second
)

// Observation is what a controller observes about itself and the connected hosts.
type Observation struct {
	Starved bool    // the link or the processor does not suffice for the controller's messages
	Fittest float64 // highest fitness of the connected hosts; 0: unknown
}

// Handover decides when a controller hands over its role. It is not safe for concurrent use.
type Handover struct {
	fitness float64
	since   time.Duration // from when the controller has been starved beside a fitter host
	starved bool
}

// NewHandover returns the state of a controller of the given fitness at the start of its term.
func NewHandover(fitness float64) *Handover { return &Handover{fitness: fitness} }

// Step reports whether the controller hands over at now. It must be called several times a second. Starvation that is
// interrupted begins anew, and so does starvation without a fitter host.
func (h *Handover) Step(now time.Duration, o Observation) bool {
	if !o.Starved || o.Fittest < h.fitness+fitterMargin {
		h.starved = false
		return false
	}
	if !h.starved {
		h.starved, h.since = true, now
	}
	return now >= h.since+starvedTime
}
