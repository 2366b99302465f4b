package relayer

// Kind is the kind of an item. The values are part of the wire format.
type Kind uint8

// Kinds of items. Leader heartbeats expire quickly and suspects after 10 minutes, so neither is part of digests and
// checksums.
const (
	Config Kind = iota + 1
	Table
	LeaderHeartbeat
	Member
	Suspect
	Progress
)

// Version orders the states of an item: by term, then by sequence number.
type Version struct {
	Term uint64
	Seq  uint64
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	if v.Term != other.Term {
		return v.Term < other.Term
	}
	return v.Seq < other.Seq
}

// Key identifies an item. Names are unique within a kind.
type Key struct {
	Kind Kind
	Name string
}

// Item is one versioned value that is replicated to every host. Deleted items keep their version, so that an older state
// is not accepted again.
type Item struct {
	Key
	Version Version
	Deleted bool
	Body    []byte
}

// DigestEntry is the version of an item that the sender of a digest has stored.
type DigestEntry struct {
	Key     Key
	Version Version
}

// Delta is the difference between two versions of an item. It is sent instead of the full item when a large item changes
// slightly.
type Delta struct {
	Key  Key
	From Version
	To   Version
	Body []byte // for Options.Patch
}

// Refresh reports that a leader heartbeat was published again with an unchanged body. It is sent instead of the full
// item: each controller publishes a leader heartbeat twice a second, and as full items they would be most of the traffic
// in a large fleet.
type Refresh struct {
	Fingerprint uint32 // fingerprint of name, term and body
	Seq         uint64
}

// RevisionCount is the number of hosts of a subtree that apply a configuration revision.
type RevisionCount struct {
	Revision uint64
	Hosts    uint32
}

// Frame is one message between two neighbours of the tree. A frame with only a checksum is a keepalive.
type Frame struct {
	Checksum  uint64        // of the versions of all stored items of the sender, except those that expire; 0 for none
	Digest    []DigestEntry // of all stored items of the sender, except those that expire
	HasDigest bool
	Items     []Item
	Deltas    []Delta
	Refreshes []Refresh
	Subtree   []RevisionCount // progress of the subtree of the sender, sent to its parent
	Leaving   bool            // the sender shuts down; its children should choose another parent
}

// Event is an input of the relayer.
type Event interface{ event() }

// Action is an output of the relayer.
type Action interface{ action() }

// Ticked advances the time. It is expected every 100 ms.
type Ticked struct{}

// Hosts replaces the list of hosts from which the tree is built.
type Hosts struct{ Names []string }

// PeerUp reports an established connection.
type PeerUp struct {
	Peer     string
	Outbound bool // dialled by this host
}

// PeerDown reports a closed connection or a failed dial.
type PeerDown struct{ Peer string }

// Received reports a frame from a neighbour.
type Received struct {
	Peer  string
	Frame Frame
}

// Published is a new state of an item of this host. Delta, if set, is the difference to an earlier version.
type Published struct {
	Item  Item
	Delta *Delta
}

// RevisionApplied reports the configuration revision that this host applies.
type RevisionApplied struct{ Revision uint64 }

func (Ticked) event()          {}
func (Hosts) event()           {}
func (PeerUp) event()          {}
func (PeerDown) event()        {}
func (Received) event()        {}
func (Published) event()       {}
func (RevisionApplied) event() {}

// Dial requests a connection to a peer. PeerUp or PeerDown follows.
type Dial struct{ Peer string }

// Disconnect requests to close the connection to a peer.
type Disconnect struct{ Peer string }

// Send requests to send a frame to a connected peer.
type Send struct {
	Peer  string
	Frame Frame
}

// Deliver passes a newly accepted item to the other components of this host.
type Deliver struct{ Item Item }

// ChildLost reports that an inbound neighbour has disconnected, or has sent no frame for neighbourTimeout.
type ChildLost struct{ Peer string }

func (Dial) action()       {}
func (Disconnect) action() {}
func (Send) action()       {}
func (Deliver) action()    {}
func (ChildLost) action()  {}
