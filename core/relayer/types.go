package relayer

// Kind is the kind of an item.
type Kind uint8

// Kinds of items. Beacons expire quickly and are therefore not part of the digest that two peers exchange.
const (
	Config Kind = iota + 1
	Table
	LeaderHeartbeat
	Member
	Suspect
	Progress
)

// Version orders the states of an item.
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

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// Item is one versioned value that every host holds. Deleted items keep their version, so that an older state cannot
// return.
type Item struct {
	Key
	Version Version
	Deleted bool
	Body    []byte
}

// DigestEntry tells a peer which version of an item the sender holds.
type DigestEntry struct {
	Key     Key
	Version Version
}

// Delta turns one version of an item into the next one. It replaces the whole item for large items with small changes.
type Delta struct {
	Key  Key
	From Version
	To   Version
	Body []byte // for Options.Patch
}

// Refresh says that a beacon was published again with an unchanged body. It replaces the whole item, because beacons are
// repeated every second and would otherwise be most of the traffic of a large fleet.
type Refresh struct {
	Fingerprint uint32 // fingerprint of name, term and body
	Seq         uint64
}

// RevisionCount is the number of hosts of a subtree that have a configuration revision in force.
type RevisionCount struct {
	Revision uint64
	Hosts    uint32
}

// Frame is one message between two neighbours of the tree. A frame with nothing but a checksum is a heartbeat.
type Frame struct {
	Checksum  uint64        // over the versions of all items that the sender holds, except those that expire; 0 for none
	Digest    []DigestEntry // every item that the sender holds
	HasDigest bool
	Items     []Item
	Deltas    []Delta
	Refreshes []Refresh
	Subtree   []RevisionCount // progress below the sender, sent to its parent
	Leaving   bool            // the sender closes; its children should choose another parent
}

// Event is an input of the relayer.
type Event interface{ event() }

// Action is an output of the relayer.
type Action interface{ action() }

// Ticked lets time pass; it is expected every 100 ms.
type Ticked struct{}

// Hosts replaces the list of hosts from which the tree is built.
type Hosts struct{ Names []string }

// PeerUp reports a usable connection.
type PeerUp struct {
	Peer     string
	Outbound bool // dialled by this host
}

// PeerDown reports a closed connection or a failed dial.
type PeerDown struct{ Peer string }

// Received is a frame from a neighbour.
type Received struct {
	Peer  string
	Frame Frame
}

// Published is a new state of an item that originates at this host. Delta, if any, leads to it from the version before.
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

// Dial asks for a connection to a peer.
type Dial struct{ Peer string }

// Disconnect asks to close the connection to a peer.
type Disconnect struct{ Peer string }

// Send asks to send a frame to a connected peer.
type Send struct {
	Peer  string
	Frame Frame
}

// Deliver hands a newly accepted item to this host.
type Deliver struct{ Item Item }

// ChildLost reports that an inbound neighbour has been silent or disconnected for longer than the loss timeout.
type ChildLost struct{ Peer string }

func (Dial) action()       {}
func (Disconnect) action() {}
func (Send) action()       {}
func (Deliver) action()    {}
func (ChildLost) action()  {}
