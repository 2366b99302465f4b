package follower

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rhubarbtrack.example/core/registrar"
)

// Digest returns a digest of the upstreams of a snapshot, or 0 if they have not been read. Two hosts with the same digest have the
// same upstreams and keep the same removed ones, apart from the times until they are warm or dropped. Each host derives the time until
// an upstream is warm from when it has read the entry. A new controller sends hosts that have its copy the cold upstreams and no full
// copy: in a fleet of 300 hosts with 3,000 upstreams, full ones take a link of 200 Mbit/s for seconds.
func (s *Snapshot) Digest() uint64 {
	if !s.Listed {
		return 0
	}
	if known := s.digest.Load(); known != 0 {
		return known
	}
	sum := digest(s.Upstreams, s.Kept)
	s.digest.Store(sum)
	return sum
}

// digest does not depend on the order of the upstreams. It is never 0. An upstream that a host only keeps after its removal
// counts as another one: the host drops it later, and the controller would send no change for it.
func digest[K any](upstreams map[string]registrar.Upstream, kept map[string]K) uint64 {
	sum := uint64(1)
	for _, u := range upstreams {
		_, isKept := kept[u.ID]
		h := xxhash.New()
		for _, text := range []string{
			u.ID, strconv.FormatInt(u.Start, 10), u.Service, u.Address, u.Domain, strconv.Itoa(u.Slots), strconv.FormatBool(u.Draining),
			strconv.FormatBool(isKept),
		} {
			_, _ = h.WriteString(text) // documented to never fail
			_, _ = h.Write([]byte{0})
		}
		sum += h.Sum64()
	}
	return max(1, sum)
}

// hasBase reports whether this host has the copy that a change applies to. After a Base that does not fit, changes of that
// controller do not apply to the copy that this host has from the former one. The caller holds the mutex.
func (f *Follower) hasBase(change Change) bool {
	if change.Base == 0 {
		return f.relayed && !f.needsFull
	}
	return f.listed && digest(f.list.All(), f.list.Kept()) == change.Base
}
