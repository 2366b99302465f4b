// Package relayer distributes versioned items to every host over a tree of hosts.
//
// An item is published at any host and flooded over the connections of the tree, upwards and downwards. A host accepts
// an item only if its version is higher than the stored one. Items therefore never revert to an older version, and
// floods terminate. Two neighbours exchange digests when they connect, and each then sends the items that the other one
// lacks.
//
// The number of neighbours of a host is bounded by the fan-out, independent of the number of hosts.
//
// # Usage
//
//	r := relayer.New(relayer.Options{Self: "host-1", Seed: 1})
//	actions := r.Step(now, relayer.Hosts{Names: names})
//	// carry out the actions: dial, disconnect, send, deliver
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
	Fanout int    // default 8: 3,400 hosts need four hops and have at most 11 neighbours each
	// Patch applies the body of a delta to the body of an item. If nil, every change is sent as a full item.
	Patch func(key Key, held, delta []byte) ([]byte, error)
}

const (
	defaultRoots  = 3
	defaultFanout = 8
	// keepaliveInterval is the maximum time between two frames to a neighbour.
	keepaliveInterval = 250 * time.Millisecond
	// neighbourTimeout is the time without a frame after which a neighbour is disconnected. Three keepalives may be
	// missed.
	neighbourTimeout = time.Second
	// redialInterval is the minimum time before a host to which a connection failed or was lost is dialled again.
	redialInterval = 2 * time.Second
	// maxRevisions is the maximum size of the progress histogram; the oldest revisions are merged into one.
	maxRevisions = 8
	// checksumInterval is the maximum time between two checksums to a neighbour. A frame can be lost while its
	// connection stays open, for example because a queue is full. It is detected by a checksum that differs for
	// differenceTimeout.
	checksumInterval  = 500 * time.Millisecond
	differenceTimeout = time.Second
	// suspectRetention and maxSuspects limit the age and number of stored reports about requests that crash upstreams.
	suspectRetention = 10 * time.Minute
	maxSuspects      = 4096
)

type neighbour struct {
	outbound       bool
	receivedAt     time.Duration
	sentAt         time.Duration
	checksumSentAt time.Duration // send time of the latest checksum
	differs        bool          // every checksum of this neighbour since differsAt differed from the one of this host
	differsAt      time.Duration
	digestSentAt   time.Duration // latest digest sent by requestMissing
	subtree        []RevisionCount
}

// Relayer is the state machine of one host. It is not safe for concurrent use.
type Relayer struct {
	options         Options
	tree            Tree
	items           map[Key]Item
	checksum        uint64
	neighbours      map[string]*neighbour
	parent          string                   // connected or being dialled; empty for roots
	failed          map[string]time.Duration // hosts to which a connection failed or was lost, with the time of that
	dialling        map[string]bool
	appliedRevision uint64
	reportedSubtree []RevisionCount
	reportedTo      string    // parent that counts the subtree of this host
	suspects        []suspect // in the order of arrival
	heartbeats      map[uint32]Key
	refreshes       map[uint32]pendingRefresh
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
		heartbeats: map[uint32]Key{},
		refreshes:  map[uint32]pendingRefresh{},
	}
}

// IsRoot reports whether this host is a root. Roots watch the store.
func (r *Relayer) IsRoot() bool {
	return r.tree.IsRoot(r.options.Self)
}

// Connected reports whether this host is connected to the tree: a root to any neighbour, another host to its parent. A
// single host counts as connected.
func (r *Relayer) Connected() bool {
	if r.IsRoot() {
		return len(r.neighbours) > 0 || len(r.tree.Order) == 1
	}
	return r.parent != "" && r.neighbours[r.parent] != nil
}

// Item returns the stored state of an item, which may be a deletion.
func (r *Relayer) Item(key Key) (Item, bool) {
	item, ok := r.items[key]
	return item, ok
}

// Keys returns the sorted keys of all items of a kind, including deleted items.
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

// Step applies one event and returns the actions to carry out, in order.
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
		r.appliedRevision = e.Revision
	case Ticked:
		actions = r.tick(now)
	}
	return actions
}

func (r *Relayer) peerUp(now time.Duration, e PeerUp) []Action {
	delete(r.dialling, e.Peer)
	delete(r.failed, e.Peer)
	r.neighbours[e.Peer] = &neighbour{outbound: e.Outbound, receivedAt: now}
	r.reportedSubtree = nil
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
	from.receivedAt = now
	if e.Frame.Subtree != nil {
		from.subtree = e.Frame.Subtree
	}
	actions := r.compareChecksum(now, e.Peer, from, e.Frame.Checksum)
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
	actions = append(actions, r.acceptRefreshes(now, e.Peer, e.Frame.Refreshes)...)
	if e.Frame.Leaving && r.parent == e.Peer {
		r.failed[e.Peer] = now
		r.parent = ""
		actions = append(actions, Disconnect{Peer: e.Peer})
		actions = append(actions, r.choosePeers()...)
	}
	return actions
}

// compareChecksum sends a digest to a neighbour whose checksum has differed for differenceTimeout. The neighbour does
// the same, so that each sends what the other one lacks.
func (r *Relayer) compareChecksum(now time.Duration, peer string, from *neighbour, checksum uint64) []Action {
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

// inDigest reports whether items of a kind are part of digests and checksums. Kinds whose items expire are not.
func inDigest(kind Kind) bool {
	return kind != LeaderHeartbeat && kind != Suspect
}

// checksumPart returns the hash of one item, which is combined into the checksum by XOR.
func checksumPart(key Key, version Version) uint64 {
	return hasher.Sum(fmt.Sprintf("%d/%s/%d/%d", key.Kind, key.Name, version.Term, version.Seq))
}

// accept stores an item if it is newer than the stored one, and forwards it to every neighbour except its sender.
func (r *Relayer) accept(now time.Duration, sender string, item Item) []Action {
	if !r.newer(item) {
		return nil
	}
	if held, ok := r.items[item.Key]; ok && unchanged(held, item) {
		return r.refresh(sender, item)
	}
	return r.storeAndFlood(now, sender, item, Frame{Items: []Item{item}})
}

// newer reports whether an item is newer than the stored one.
func (r *Relayer) newer(item Item) bool {
	held, ok := r.items[item.Key]
	return !ok || held.Version.Less(item.Version)
}

// storeAndFlood stores a newer item and sends a frame with it to every neighbour except its sender.
func (r *Relayer) storeAndFlood(now time.Duration, sender string, item Item, frame Frame) []Action {
	r.store(now, item)
	if sender != "" && item.Key == (Key{Kind: Progress, Name: r.options.Self}) {
		// This item dates from before a restart of this host. Publish the current state with a higher version.
		r.reportedSubtree = nil
	}
	actions := []Action{Deliver{Item: item}}
	for _, peer := range r.peers() {
		if peer != sender {
			actions = append(actions, r.send(now, peer, frame))
		}
	}
	return actions
}

// store stores an item and updates the checksum, the leader heartbeat index and the list of suspects.
func (r *Relayer) store(now time.Duration, item Item) {
	held, ok := r.items[item.Key]
	if item.Kind == LeaderHeartbeat {
		delete(r.heartbeats, heartbeatFingerprint(held))
		r.heartbeats[heartbeatFingerprint(item)] = item.Key
	}
	r.items[item.Key] = item
	if inDigest(item.Kind) {
		if ok {
			r.checksum ^= checksumPart(held.Key, held.Version)
		}
		r.checksum ^= checksumPart(item.Key, item.Version)
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
		if now-n.receivedAt > neighbourTimeout {
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
	actions = append(actions, r.sendRefreshes(now)...)
	actions = append(actions, r.choosePeers()...)
	actions = append(actions, r.reportProgress(now)...)
	for _, peer := range r.peers() {
		n := r.neighbours[peer]
		if now-n.sentAt >= keepaliveInterval || now-n.checksumSentAt >= checksumInterval {
			n.checksumSentAt = now
			actions = append(actions, r.send(now, peer, Frame{Checksum: r.checksum}))
		}
	}
	return actions
}

// expireSuspects removes reports older than suspectRetention and the oldest ones above maxSuspects.
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

// choosePeers dials a parent if there is none. A root dials the roots before it in the order instead, so that of two
// roots only one dials.
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

// reportProgress sends the histogram of applied configuration revisions to the parent when it has changed. Roots publish
// the histogram of their own subtree as an item instead.
func (r *Relayer) reportProgress(now time.Duration) []Action {
	target := r.parent
	if r.IsRoot() {
		target = r.options.Self
	}
	actions := r.withdrawProgress(now, target)
	subtree := r.subtree()
	if slices.Equal(subtree, r.reportedSubtree) {
		return actions
	}
	if r.IsRoot() {
		r.reportedSubtree = subtree
		r.reportedTo = target
		return append(actions, r.accept(now, "", r.progressItem(subtree))...)
	}
	if target == "" || r.neighbours[target] == nil {
		return actions
	}
	r.reportedSubtree = subtree
	r.reportedTo = target
	return append(actions, r.send(now, target, Frame{Subtree: subtree}))
}

// withdrawProgress sends an empty histogram to a former parent that is still connected, so that no host is counted
// twice.
func (r *Relayer) withdrawProgress(now time.Duration, target string) []Action {
	former := r.reportedTo
	if former == "" || former == target {
		return nil
	}
	r.reportedTo = ""
	r.reportedSubtree = nil
	if r.neighbours[former] == nil {
		return nil
	}
	return []Action{r.send(now, former, Frame{Subtree: []RevisionCount{{}}})}
}

func (r *Relayer) subtree() []RevisionCount {
	hosts := map[uint64]uint32{r.appliedRevision: 1}
	for _, n := range r.neighbours {
		// Only a neighbour whose parent is this host sends a subtree. It withdraws it when it chooses another parent.
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

// sortCounts sorts a histogram in place by revision, newest first.
func sortCounts(counts []RevisionCount) []RevisionCount {
	sort.Slice(counts, func(i, j int) bool { return counts[i].Revision > counts[j].Revision })
	return counts
}

func (r *Relayer) digest() []DigestEntry {
	entries := make([]DigestEntry, 0, len(r.items))
	for key, item := range r.items {
		if inDigest(key.Kind) {
			entries = append(entries, DigestEntry{Key: key, Version: item.Version})
		}
	}
	return entries
}

// missing returns the stored items that are newer than in the digest of a peer, or absent from it.
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
		n.sentAt = now
	}
	return Send{Peer: peer, Frame: frame}
}

// peers returns the sorted names of the neighbours. The fixed order makes Step deterministic.
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
