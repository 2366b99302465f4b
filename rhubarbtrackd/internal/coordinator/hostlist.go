package coordinator

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
)

const (
	// hostRetention is how long a host stays in the list after it was last connected. It is longer than outages of the
	// store that affect only some hosts, because a new controller must still reach those hosts during such an outage.
	hostRetention = 30 * time.Second
	// maxHosts bounds the hosts that receive announcements. All others find a new controller through the store.
	maxHosts = 512
)

// hostList holds the addresses of the hosts. The controller collects them and sends them to all hosts, so that its
// successor can announce itself to hosts that cannot reach the store.
type hostList struct {
	own          string
	lastSeen     map[string]time.Duration
	version      int
	sentVersions map[*connector.Peer]int // version of the list that was last sent to each host
}

func newHostList(own string) *hostList {
	return &hostList{own: own, lastSeen: map[string]time.Duration{}, sentVersions: map[*connector.Peer]int{}}
}

// replace replaces the list by one that the controller has sent. An empty list changes nothing.
func (l *hostList) replace(now time.Duration, addresses []string) {
	if len(addresses) > 0 {
		clear(l.lastSeen)
	}
	for _, address := range addresses {
		l.observe(now, address)
	}
}

func (l *hostList) observe(now time.Duration, address string) {
	if address == "" || address == l.own {
		return
	}
	if _, ok := l.lastSeen[address]; !ok {
		if len(l.lastSeen) >= maxHosts {
			return
		}
		l.version++
	}
	l.lastSeen[address] = now
}

// resetAges restarts the retention of every host. It is called at the start of a term, because the former controller
// may have sent the list long ago.
func (l *hostList) resetAges(now time.Duration) {
	for address := range l.lastSeen {
		l.lastSeen[address] = now
	}
}

// disconnected returns the addresses of the hosts that are not connected. It first removes hosts whose retention time
// has passed.
func (l *hostList) disconnected(now time.Duration, peers []*connector.Peer) []string {
	connected := map[string]bool{}
	for _, peer := range peers {
		connected[peer.Address] = true
		l.observe(now, peer.Address)
	}
	var missing []string
	for address, seen := range l.lastSeen {
		switch {
		case now >= seen+hostRetention:
			delete(l.lastSeen, address)
			l.version++
		case !connected[address]:
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	return missing
}

// positions are those of the hosts that may use shares of common limits.
type positions struct {
	own   int
	index map[*connector.Peer]int
	hosts int // number of them
}

// positions returns the positions of this host and of the connected ones. Hosts that were connected within throttler.HostMemory count
// as well. The order is that of the addresses, so that a new controller, or a host that restarts, changes no position.
func (l *hostList) positions(now time.Duration, peers []*connector.Peer) positions {
	p := positions{index: map[*connector.Peer]int{}}
	for _, peer := range peers {
		l.observe(now, peer.Address)
	}
	addresses := []string{l.own}
	for address, seen := range l.lastSeen {
		if now < seen+throttler.HostMemory {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	p.own, _ = slices.BinarySearch(addresses, l.own)
	p.hosts = len(addresses)
	for _, peer := range peers {
		index, listed := slices.BinarySearch(addresses, peer.Address)
		if !listed || peer.Address == l.own {
			index = p.hosts
			p.hosts++
		}
		p.index[peer] = index
	}
	return p
}

// update returns the list, or nil if its present version was already sent to the host.
func (l *hostList) update(peer *connector.Peer) []string {
	if l.sentVersions[peer] == l.version {
		return nil
	}
	l.sentVersions[peer] = l.version
	addresses := []string{l.own}
	for address := range l.lastSeen {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// removePeer deletes the state of a closed connection.
func (l *hostList) removePeer(peer *connector.Peer) { delete(l.sentVersions, peer) }
