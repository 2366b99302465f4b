package ownership

import (
	"math/rand/v2"
	"time"
)

const (
	naiveLease       = 3 * time.Second // three renewal intervals
	naiveRenewal     = time.Second
	naivePoll        = time.Second
	naiveStoreOutage = 60 * time.Second // of crashWithoutStore
)

// naive models the baseline. Every upstream renews a lease in the store and owns its slices while the lease is valid.
// An assigner polls the leases and writes one assignment per slice. A planned move waits until the lease expires,
// because the old owner does not report that it has stopped. Hosts poll the assignments.
type naive struct {
	random    *rand.Rand
	upstreams int
}

func newNaive(seed uint64, upstreams int) *naive {
	return &naive{random: rand.New(rand.NewPCG(seed, 2)), upstreams: upstreams}
}

// crash returns the time from the crash of an upstream until its last slice is served again.
func (n *naive) crash() time.Duration {
	sinceRenewal := n.phase(naiveRenewal)
	expiry := naiveLease - sinceRenewal
	return expiry + n.phase(naivePoll) + n.reassign()
}

// restart returns the time from a crash with an immediate restart until the upstream serves again. The lease of the
// crashed process must expire before the new process acquires it together with its assignments.
func (n *naive) restart() time.Duration {
	return naiveLease - n.phase(naiveRenewal) + storeLatency(n.random)
}

// move returns the time from the last renewal until the last slice is served again. The upstream rejects requests for
// its slices as soon as it stops renewing.
func (n *naive) move() time.Duration {
	return naiveLease + n.phase(naivePoll) + n.reassign()
}

// crashWithoutStore returns the time from a crash during a store outage until the last slice is served again. Slices
// can be assigned only after the outage.
func (n *naive) crashWithoutStore() time.Duration {
	return naiveStoreOutage + n.phase(naivePoll) + n.reassign()
}

// reassign returns the time of one write per slice and of the poll with which the hosts read the assignments.
func (n *naive) reassign() time.Duration {
	total := n.phase(naivePoll)
	for range slicesPerUpstream {
		total += storeLatency(n.random)
	}
	return total
}

// phase returns a random time within an interval.
func (n *naive) phase(interval time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(interval)))
}

// storeCalls returns the calls per second: renewals, polls of the assigner and polls of the hosts.
func (n *naive) storeCalls() float64 {
	renewals := float64(n.upstreams) / naiveRenewal.Seconds()
	polls := float64(1+hostCount) / naivePoll.Seconds()
	return renewals + polls
}

// messages returns the requests and responses per second.
func (n *naive) messages() float64 {
	return 2 * n.storeCalls()
}
