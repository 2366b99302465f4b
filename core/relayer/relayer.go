// Package relayer distributes versioned items to every host over a tree of hosts.
//
// An item enters at any host and is flooded over the connections of the tree, upwards and downwards. A host accepts an
// item only if its version is higher than the one it holds, so nothing reverts and no item travels in circles. Two
// neighbours exchange digests when they connect and then send each other what the other one lacks.
//
// The number of neighbours of a host is bounded by the fan-out, whatever the size of the fleet.
//
// # Usage
//
//	r := relayer.New(relayer.Options{Self: "host-1", Seed: 1})
//	actions := r.Step(now, relayer.Hosts{Names: names})
//	// dial, send and deliver as the actions say
package relayer

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"rhubarbtrack.example/core/hasher"
)

// Options of a relayer.
type Options struct {
	Self   string
	Seed   uint64 // same on every host
	Roots  int    // default 3
	Fanout int    // default 8: with 3,400 hosts four hops, and at most 11 neighbours
	// Patch applies the body of a delta to the body of an item. Without it every change travels as a whole item.
	Patch func(key Key, held, delta []byte) ([]byte, error)
}

const (
	defaultRoots  = 3
	defaultFanout = 8
	// heartbeatInterval is the longest time without a frame to a neighbour.
	heartbeatInterval = 250 * time.Millisecond
	// silenceTimeout is the silence after which a neighbour counts as lost; three heartbeats may be missed.
	silenceTimeout = time.Second
	// redialInterval is the pause before a parent is tried again.
	redialInterval = 2 * time.Second
	// maxRevisions bounds the progress histogram; older revisions are merged into the oldest kept one.
	maxRevisions = 8
	// checksumInterval is the longest time between two checksums to a neighbour. A frame that was lost without the loss of
	// its connection, for instance by a full queue, is noticed by a checksum that differs for differenceTimeout.
	checksumInterval  = 500 * time.Millisecond
	differenceTimeout = time.Second
	// suspectRetention is how long reports about requests that crash upstreams are kept, and maxSuspects how many.
	suspectRetention = 10 * time.Minute
	maxSuspects      = 4096
)

type neighbour struct {
	outbound  bool
	lastHeard time.Duration
	lastSent  time.Duration
	summedAt  time.Duration // latest checksum sent
	differs   bool          // since differsAt no checksum of this neighbour was equal to the one here
	differsAt time.Duration
	askedAt   time.Duration // latest digest sent because of an unknown beacon
	subtree   []RevisionCount
}

// Relayer is the state machine of one host. It is not safe for concurrent use.
type Relayer struct {
	options    Options
	tree       Tree
	items      map[Key]Item
	checksum   uint64
	neighbours map[string]*neighbour
	parent     string                   // the parent that is connected or being dialled, empty for roots
	failed     map[string]time.Duration // candidates that could not be reached, with the time of the failure
	dialling   map[string]bool
	inForce    uint64
	sentUp     []RevisionCount
	reportedTo string    // parent that counts the hosts below this one
	suspects   []suspect // in the order of their arrival
	beacons    map[uint32]Key
	pulses     map[uint32]pendingPulse
}

type suspect struct {
	key     Key
	version Version
	at      time.Duration
}

// New returns a relayer without items and neighbours.
func New(options Options) *Relayer {
	if options.Roots == 0 {
		options.Roots = defaultRoots
	}
	if options.Fanout == 0 {
		options.Fanout = defaultFanout
	}
	return &Relayer{
		options:    options,
		items:      map[Key]Item{},
		neighbours: map[string]*neighbour{},
		failed:     map[string]time.Duration{},
		dialling:   map[string]bool{},
		beacons:    map[uint32]Key{},
		pulses:     map[uint32]pendingPulse{},
	}
}

// IsRoot reports whether this host is a root and should watch the store.
func (r *Relayer) IsRoot() bool {
	return r.tree.IsRoot(r.options.Self)
}

// Connected reports whether this host has a neighbour, and for a host that is not a root, a parent.
func (r *Relayer) Connected() bool {
	if r.IsRoot() {
		return len(r.neighbours) > 0 || len(r.tree.Order) == 1
	}
	return r.parent != "" && r.neighbours[r.parent] != nil
}

// Item returns the state of an item that this host holds.
func (r *Relayer) Item(key Key) (Item, bool) {
	item, ok := r.items[key]
	return item, ok
}

// Keys returns the keys of all items of a kind, deleted ones included.
func (r *Relayer) Keys(kind Kind) []Key {
	var keys []Key
	for key := range r.items {
		if key.Kind == kind {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return lessKey(keys[i], keys[j]) })
	return keys
}

// Step applies one event and returns what is to be done.
func (r *Relayer) Step(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Hosts:
		r.tree = NewTree(e.Names, r.options.Seed, r.options.Roots, r.options.Fanout)
		actions = r.choosePeers()
	case PeerUp:
		actions = r.peerUp(now, e)
	case PeerDown:
		actions = r.peerDown(now, e.Peer)
	case Received:
		actions = r.receive(now, e)
	case Published:
		actions = r.publish(now, e)
	case RevisionApplied:
		r.inForce = e.Revision
	case Ticked:
		actions = r.tick(now)
	}
	return actions
}

func (r *Relayer) peerUp(now time.Duration, e PeerUp) []Action {
	delete(r.dialling, e.Peer)
	delete(r.failed, e.Peer)
	r.neighbours[e.Peer] = &neighbour{outbound: e.Outbound, lastHeard: now}
	r.sentUp = nil
	return []Action{r.send(now, e.Peer, Frame{Digest: r.digest(), HasDigest: true})}
}

func (r *Relayer) peerDown(now time.Duration, peer string) []Action {
	delete(r.dialling, peer)
	var actions []Action
	if lost := r.neighbours[peer]; lost != nil {
		delete(r.neighbours, peer)
		if !lost.outbound {
			actions = append(actions, ChildLost{Peer: peer})
		}
	}
	r.failed[peer] = now
	if r.parent == peer {
		r.parent = ""
	}
	return append(actions, r.choosePeers()...)
}

func (r *Relayer) receive(now time.Duration, e Received) []Action {
	from := r.neighbours[e.Peer]
	if from == nil {
		return nil
	}
	from.lastHeard = now
	if e.Frame.Subtree != nil {
		from.subtree = e.Frame.Subtree
	}
	actions := r.compare(now, e.Peer, from, e.Frame.Checksum)
	if e.Frame.HasDigest {
		if missing := r.missing(e.Frame.Digest); len(missing) > 0 {
			actions = append(actions, r.send(now, e.Peer, Frame{Items: missing}))
		}
	}
	for _, item := range e.Frame.Items {
		actions = append(actions, r.accept(now, e.Peer, item)...)
	}
	for _, delta := range e.Frame.Deltas {
		actions = append(actions, r.acceptDelta(now, e.Peer, delta)...)
	}
	actions = append(actions, r.acceptPulses(now, e.Peer, e.Frame.Refreshes)...)
	if e.Frame.Leaving && r.parent == e.Peer {
		r.failed[e.Peer] = now
		r.parent = ""
		actions = append(actions, Disconnect{Peer: e.Peer})
		actions = append(actions, r.choosePeers()...)
	}
	return actions
}

// compare sends a digest to a neighbour whose items have differed for too long. The neighbour does the same, so both get
// what they lack.
func (r *Relayer) compare(now time.Duration, peer string, from *neighbour, checksum uint64) []Action {
	switch {
	case checksum == 0:
		return nil
	case checksum == r.checksum:
		from.differs = false
		return nil
	case !from.differs:
		from.differs = true
		from.differsAt = now
		return nil
	case now-from.differsAt < differenceTimeout:
		return nil
	}
	from.differsAt = now
	return []Action{r.send(now, peer, Frame{Digest: r.digest(), HasDigest: true})}
}

// digestible reports whether items of a kind are part of digests and checksums. The others expire.
func digestible(kind Kind) bool {
	return kind != LeaderHeartbeat && kind != Suspect
}

// fingerprint is the part of an item in the checksum.
func fingerprint(key Key, version Version) uint64 {
	return hasher.Sum(fmt.Sprintf("%d/%s/%d/%d", key.Kind, key.Name, version.Term, version.Seq))
}

// accept keeps an item if it is newer than the held one and passes it on to every neighbour but its sender.
func (r *Relayer) accept(now time.Duration, sender string, item Item) []Action {
	if !r.newer(item) {
		return nil
	}
	if held, ok := r.items[item.Key]; ok && repeats(held, item) {
		return r.pulse(sender, item)
	}
	return r.keepAndFlood(now, sender, item, Frame{Items: []Item{item}})
}

// newer reports whether an item is newer than the held one.
func (r *Relayer) newer(item Item) bool {
	held, ok := r.items[item.Key]
	return !ok || held.Version.Less(item.Version)
}

// keepAndFlood stores a newer item and sends a frame that carries it to every neighbour but its sender.
func (r *Relayer) keepAndFlood(now time.Duration, sender string, item Item, frame Frame) []Action {
	r.keep(now, item)
	if sender != "" && item.Key == (Key{Kind: Progress, Name: r.options.Self}) {
		// A state from before a restart of this host; publish the current one above its version.
		r.sentUp = nil
	}
	actions := []Action{Deliver{Item: item}}
	for _, peer := range r.peers() {
		if peer != sender {
			actions = append(actions, r.send(now, peer, frame))
		}
	}
	return actions
}

// keep stores an item and updates what is derived from all items.
func (r *Relayer) keep(now time.Duration, item Item) {
	held, ok := r.items[item.Key]
	if item.Kind == LeaderHeartbeat {
		delete(r.beacons, beaconPrint(held))
		r.beacons[beaconPrint(item)] = item.Key
	}
	r.items[item.Key] = item
	if digestible(item.Kind) {
		if ok {
			r.checksum ^= fingerprint(held.Key, held.Version)
		}
		r.checksum ^= fingerprint(item.Key, item.Version)
	}
	if item.Kind == Suspect {
		r.suspects = append(r.suspects, suspect{key: item.Key, version: item.Version, at: now})
		r.expireSuspects(now)
	}
}

func (r *Relayer) tick(now time.Duration) []Action {
	var actions []Action
	for _, peer := range r.peers() {
		n := r.neighbours[peer]
		if now-n.lastHeard > silenceTimeout {
			actions = append(actions, Disconnect{Peer: peer})
			actions = append(actions, r.peerDown(now, peer)...)
		}
	}
	for peer, at := range r.failed {
		if now-at > redialInterval {
			delete(r.failed, peer)
		}
	}
	r.expireSuspects(now)
	actions = append(actions, r.sendPulses(now)...)
	actions = append(actions, r.choosePeers()...)
	actions = append(actions, r.reportProgress(now)...)
	for _, peer := range r.peers() {
		n := r.neighbours[peer]
		if now-n.lastSent >= heartbeatInterval || now-n.summedAt >= checksumInterval {
			n.summedAt = now
			actions = append(actions, r.send(now, peer, Frame{Checksum: r.checksum}))
		}
	}
	return actions
}

// expireSuspects forgets old reports and, above the bound, the oldest ones.
func (r *Relayer) expireSuspects(now time.Duration) {
	for len(r.suspects) > 0 {
		oldest := r.suspects[0]
		if len(r.suspects) <= maxSuspects && now-oldest.at < suspectRetention {
			return
		}
		r.suspects = r.suspects[1:]
		if r.items[oldest.key].Version == oldest.version {
			delete(r.items, oldest.key)
		}
	}
}

// choosePeers dials a parent if there is none, or all other roots if this host is a root. Of two roots, the later one in
// the order dials.
func (r *Relayer) choosePeers() []Action {
	if r.IsRoot() {
		return r.dialRoots()
	}
	if r.parent != "" {
		return nil
	}
	candidates := r.tree.Parents(r.options.Self)
	for _, candidate := range candidates {
		if _, failed := r.failed[candidate]; failed {
			continue
		}
		r.parent = candidate
		if r.neighbours[candidate] != nil || r.dialling[candidate] {
			return nil
		}
		r.dialling[candidate] = true
		return []Action{Dial{Peer: candidate}}
	}
	return nil
}

func (r *Relayer) dialRoots() []Action {
	var actions []Action
	if r.parent != "" && r.neighbours[r.parent] != nil && !r.tree.IsRoot(r.parent) {
		actions = append(actions, Disconnect{Peer: r.parent})
	}
	r.parent = ""
	for _, root := range r.tree.Order[:r.tree.position(r.options.Self)] {
		_, failed := r.failed[root]
		if failed || r.neighbours[root] != nil || r.dialling[root] {
			continue
		}
		r.dialling[root] = true
		actions = append(actions, Dial{Peer: root})
	}
	return actions
}

// reportProgress sends the histogram of configuration revisions to the parent when it changed. Roots publish the
// histogram of their own subtree as an item instead.
func (r *Relayer) reportProgress(now time.Duration) []Action {
	target := r.parent
	if r.IsRoot() {
		target = r.options.Self
	}
	actions := r.withdrawProgress(now, target)
	subtree := r.subtree()
	if slices.Equal(subtree, r.sentUp) {
		return actions
	}
	if r.IsRoot() {
		r.sentUp = subtree
		r.reportedTo = target
		return append(actions, r.accept(now, "", r.progressItem(subtree))...)
	}
	if target == "" || r.neighbours[target] == nil {
		return actions
	}
	r.sentUp = subtree
	r.reportedTo = target
	return append(actions, r.send(now, target, Frame{Subtree: subtree}))
}

// withdrawProgress tells a former parent that is still connected to count nothing below this host any more.
func (r *Relayer) withdrawProgress(now time.Duration, target string) []Action {
	former := r.reportedTo
	if former == "" || former == target {
		return nil
	}
	r.reportedTo = ""
	r.sentUp = nil
	if r.neighbours[former] == nil {
		return nil
	}
	return []Action{r.send(now, former, Frame{Subtree: []RevisionCount{{}}})}
}

func (r *Relayer) subtree() []RevisionCount {
	hosts := map[uint64]uint32{r.inForce: 1}
	for _, n := range r.neighbours {
		// Only a neighbour that has chosen this host as its parent reports, and it withdraws the report when it changes.
		for _, count := range n.subtree {
			if count.Hosts > 0 {
				hosts[count.Revision] += count.Hosts
			}
		}
	}
	counts := make([]RevisionCount, 0, len(hosts))
	for revision, number := range hosts {
		counts = append(counts, RevisionCount{Revision: revision, Hosts: number})
	}
	counts = sortCounts(counts)
	for len(counts) > maxRevisions {
		last := len(counts) - 1
		counts[last-1] = RevisionCount{Revision: counts[last].Revision, Hosts: counts[last].Hosts + counts[last-1].Hosts}
		counts = counts[:last]
	}
	return counts
}

// sortCounts orders a histogram by revision, newest first.
func sortCounts(counts []RevisionCount) []RevisionCount {
	sort.Slice(counts, func(i, j int) bool { return counts[i].Revision > counts[j].Revision })
	return counts
}

func (r *Relayer) digest() []DigestEntry {
	entries := make([]DigestEntry, 0, len(r.items))
	for key, item := range r.items {
		if digestible(key.Kind) {
			entries = append(entries, DigestEntry{Key: key, Version: item.Version})
		}
	}
	return entries
}

// missing returns the items that are newer here than in the digest of a peer.
func (r *Relayer) missing(digest []DigestEntry) []Item {
	theirs := make(map[Key]Version, len(digest))
	for _, entry := range digest {
		theirs[entry.Key] = entry.Version
	}
	var items []Item
	for key, item := range r.items {
		version, ok := theirs[key]
		if !ok || version.Less(item.Version) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return lessKey(items[i].Key, items[j].Key) })
	return items
}

func (r *Relayer) send(now time.Duration, peer string, frame Frame) Action {
	if n := r.neighbours[peer]; n != nil {
		n.lastSent = now
	}
	return Send{Peer: peer, Frame: frame}
}

// peers returns the names of the neighbours in a fixed order, so that every run takes the same course.
func (r *Relayer) peers() []string {
	names := make([]string, 0, len(r.neighbours))
	for name := range r.neighbours {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func lessKey(a, b Key) bool {
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Name < b.Name
}
