package throttler

import (
	"time"

	"rhubarbtrack.example/core/identifier"
)

const (
	// shareLifetime is how long the share of a host lasts after the last heartbeat. A host that is cut off from the controller has none
	// when the others get it.
	shareLifetime = 5 * time.Second
	// HostMemory is how long a host that is not connected counts among the hosts. It may use its share until then: the rest is for
	// heartbeats on their way.
	HostMemory = shareLifetime + time.Second
	// countMemory is how long a host uses the highest number of hosts of that time. A new controller that does not know all hosts
	// counts them while they connect, and the others still use their former shares.
	countMemory = 3 * time.Second
)

// position is that of a host among all hosts.
type position struct{ index, hosts int }

// Shares holds the position of this host among all hosts, and its shares of the limits of cold upstreams. It is not safe for
// concurrent use.
type Shares struct {
	position    position
	since       time.Duration // from which the share is that of position
	highest     int           // number of hosts within countMemory
	highestAt   time.Duration // when highest was last received
	assumed     int           // number of hosts before the first heartbeat
	confirmed   bool          // a heartbeat has been received
	firstAt     time.Duration // when the first one was received
	confirmedAt time.Duration
	buckets     map[identifier.Incarnation]*coldBucket
}

type coldBucket struct {
	*Bucket
	limit float64 // of all hosts
}

// NewShares returns the shares of a host before the first heartbeat. It has none of a cold upstream then, and assumes the given number
// of hosts for other limits.
func NewShares(hosts int) *Shares {
	return &Shares{assumed: hosts, buckets: map[identifier.Incarnation]*coldBucket{}}
}

// SetPosition applies the position of a host from a heartbeat.
func (s *Shares) SetPosition(now time.Duration, index, hosts int) {
	if !s.confirmed {
		s.firstAt = now
	}
	s.confirmed, s.confirmedAt = true, now
	if hosts >= s.highest || now >= s.highestAt+countMemory {
		s.highest, s.highestAt = hosts, now
	}
	next := position{index, s.highest}
	if next == s.position {
		return
	}
	s.position, s.since = next, now
	for upstream, bucket := range s.buckets {
		share := ColdShare(upstream.ID, index, s.highest, bucket.limit)
		bucket.Set(now, share.Rate, share.Burst) // tokens above the burst of the new share are discarded
	}
}

// Hosts returns the number of hosts that share the limits, which is at least 1. After a start of all hosts, the first heartbeats count
// only those that have connected, so the assumed number holds for some time.
func (s *Shares) Hosts(now time.Duration) int {
	if !s.confirmed || now < s.firstAt+countMemory {
		return max(1, s.assumed, s.highest)
	}
	return max(1, s.highest)
}

// TakeCold reports whether one more request may be sent to a cold upstream with the given limit, in requests per second over all hosts,
// and counts it. A share that is new to this host begins without a burst, because another host may have used that.
func (s *Shares) TakeCold(now time.Duration, upstream identifier.Incarnation, limit float64) bool {
	if !s.confirmed || now >= s.confirmedAt+shareLifetime {
		return false
	}
	bucket := s.buckets[upstream]
	if bucket == nil {
		share := ColdShare(upstream.ID, s.position.index, s.position.hosts, limit)
		bucket = &coldBucket{&Bucket{Rate: share.Rate, Burst: share.Burst, last: s.since}, limit}
		s.buckets[upstream] = bucket
	}
	return bucket.Take(now)
}

// Forget removes the state of upstreams that are not listed.
func (s *Shares) Forget(isListed func(identifier.Incarnation) bool) {
	for upstream := range s.buckets {
		if !isListed(upstream) {
			delete(s.buckets, upstream)
		}
	}
}
