package ownership

import (
	"math/rand/v2"
	"time"
)

// The naive version: every upstream renews a lease in the store, its slices belong to it while the lease is valid, and
// an assigner polls the leases and writes one assignment per slice. A planned move waits for the lease to end, because
// nothing else says that the old owner has stopped. Hosts poll the assignments.
const (
	naiveLease       = 3 * time.Second // three renewals
	naiveRenewal     = time.Second
	naivePoll        = time.Second
	naiveStoreOutage = 60 * time.Second // length of the store outage in the measure
)

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

// restart returns the time from a crash with an immediate restart until the upstream serves again: the lease of the
// process that crashed must end first, then the new process takes it over with its assignments.
func (n *naive) restart() time.Duration {
	return naiveLease - n.phase(naiveRenewal) + storeLatency(n.random)
}

// move returns the time from the end of the renewals until the last slice is served again. The upstream refuses its
// slices from the moment at which it stops renewing.
func (n *naive) move() time.Duration {
	return naiveLease + n.phase(naivePoll) + n.reassign()
}

// crashWithoutStore returns the time until the store is back: no lease can be renewed or assigned before.
func (n *naive) crashWithoutStore() time.Duration {
	return naiveStoreOutage + n.phase(naivePoll) + n.reassign()
}

// reassign returns the time of one write per slice and of the poll by which the hosts learn it.
func (n *naive) reassign() time.Duration {
	total := n.phase(naivePoll)
	for range slicesPerUpstream {
		total += storeLatency(n.random)
	}
	return total
}

func (n *naive) phase(interval time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(interval)))
}

// storeCalls returns the calls per second: renewals, the assigner's poll and the hosts' polls.
func (n *naive) storeCalls() float64 {
	renewals := float64(n.upstreams) / naiveRenewal.Seconds()
	polls := float64(1+hostCount) / naivePoll.Seconds()
	return renewals + polls
}

// messages returns requests and answers per second.
func (n *naive) messages() float64 {
	return 2 * n.storeCalls()
}
