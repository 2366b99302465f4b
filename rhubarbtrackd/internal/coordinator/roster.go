package coordinator

import (
	"slices"
	"time"

	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

const (
	// rosterLife is how long a host is remembered after it was last connected: longer than outages of the store for some
	// hosts last, during which a new controller has to find them.
	rosterLife = 30 * time.Second
	// maxRoster bounds the hosts that are told of a new controller; the rest finds it through the store.
	maxRoster = 512
)

// roster is the list of addresses of hosts. The controller collects and spreads it, so that its successor can tell hosts
// of itself.
type roster struct {
	own     string
	seen    map[string]time.Duration
	version int
	told    map[*connector.Peer]int // version that a host has got
}

func newRoster(own string) *roster {
	return &roster{own: own, seen: map[string]time.Duration{}, told: map[*connector.Peer]int{}}
}

// adopt replaces the list by the controller's. An empty list changes nothing.
func (r *roster) adopt(now time.Duration, addresses []string) {
	if len(addresses) > 0 {
		clear(r.seen)
	}
	for _, address := range addresses {
		r.note(now, address)
	}
}

func (r *roster) note(now time.Duration, address string) {
	if address == "" || address == r.own {
		return
	}
	if _, ok := r.seen[address]; !ok {
		if len(r.seen) >= maxRoster {
			return
		}
		r.version++
	}
	r.seen[address] = now
}

// begin starts a term as controller: hosts are remembered from now on, however long ago the former controller listed them.
func (r *roster) begin(now time.Duration) {
	for address := range r.seen {
		r.seen[address] = now
	}
}

// missing returns the hosts that are not connected. It drops those that have been away for long.
func (r *roster) missing(now time.Duration, peers []*connector.Peer) []string {
	connected := map[string]bool{}
	for _, peer := range peers {
		connected[peer.Address] = true
		r.note(now, peer.Address)
	}
	var missing []string
	for address, seen := range r.seen {
		switch {
		case now >= seen+rosterLife:
			delete(r.seen, address)
			r.version++
		case !connected[address]:
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	return missing
}

// news returns the list if a host does not have it as it is.
func (r *roster) news(peer *connector.Peer) []string {
	if r.told[peer] == r.version {
		return nil
	}
	r.told[peer] = r.version
	addresses := []string{r.own}
	for address := range r.seen {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// forget drops a connection that has ended.
func (r *roster) forget(peer *connector.Peer) { delete(r.told, peer) }
