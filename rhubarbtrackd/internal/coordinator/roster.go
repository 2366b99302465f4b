package coordinator

import (
	"slices"
	"time"

	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

const (
	// hostRetention is how long a host is remembered after it was last connected: longer than outages of the store for some
	// hosts last, during which a new controller has to find them.
	hostRetention = 30 * time.Second
	// maxHosts bounds the hosts that are told of a new controller; the rest finds it through the store.
	maxHosts = 512
)

// hostList is the list of addresses of hosts. The controller collects and spreads it, so that its successor can tell hosts
// of itself.
type hostList struct {
	own          string
	lastSeen     map[string]time.Duration
	version      int
	sentVersions map[*connector.Peer]int // version that a host has got
}

func newHostList(own string) *hostList {
	return &hostList{own: own, lastSeen: map[string]time.Duration{}, sentVersions: map[*connector.Peer]int{}}
}

// replace replaces the list by the controller's. An empty list changes nothing.
func (r *hostList) replace(now time.Duration, addresses []string) {
	if len(addresses) > 0 {
		clear(r.lastSeen)
	}
	for _, address := range addresses {
		r.observe(now, address)
	}
}

func (r *hostList) observe(now time.Duration, address string) {
	if address == "" || address == r.own {
		return
	}
	if _, ok := r.lastSeen[address]; !ok {
		if len(r.lastSeen) >= maxHosts {
			return
		}
		r.version++
	}
	r.lastSeen[address] = now
}

// resetAges starts a term as controller: hosts are remembered from now on, however long ago the former controller listed them.
func (r *hostList) resetAges(now time.Duration) {
	for address := range r.lastSeen {
		r.lastSeen[address] = now
	}
}

// disconnected returns the hosts that are not connected. It drops those that have been away for long.
func (r *hostList) disconnected(now time.Duration, peers []*connector.Peer) []string {
	connected := map[string]bool{}
	for _, peer := range peers {
		connected[peer.Address] = true
		r.observe(now, peer.Address)
	}
	var missing []string
	for address, seen := range r.lastSeen {
		switch {
		case now >= seen+hostRetention:
			delete(r.lastSeen, address)
			r.version++
		case !connected[address]:
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	return missing
}

// update returns the list if a host does not have it as it is.
func (r *hostList) update(peer *connector.Peer) []string {
	if r.sentVersions[peer] == r.version {
		return nil
	}
	r.sentVersions[peer] = r.version
	addresses := []string{r.own}
	for address := range r.lastSeen {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// removePeer drops a connection that has ended.
func (r *hostList) removePeer(peer *connector.Peer) { delete(r.sentVersions, peer) }
