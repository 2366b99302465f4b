// Package framer encodes messages between hosts as CBOR, and also the controller records and ownership tables in the
// store.
//
// Domain types carry no struct tags; the wire structs of this package are mapped to them by hand. Wire structs use
// integer keys or arrays instead of field names, because the size of the messages counts against the bandwidth that a
// host may use for control traffic. Decoders bound the number and depth of elements, because the data comes from other
// processes.
//
// # Usage
//
//	data, err := framer.EncodeFrame(frame)
//	frame, err := framer.DecodeFrame(data)
package framer

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"rhubarbtrack.example/core/relayer"
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	Malformed   Kind = iota + 1 // the data cannot be decoded or violates a bound
	Unsupported                 // the value cannot be encoded
)

// Error is the type of all errors that this package creates.
type Error struct {
	Op   string // for example "decode relay frame"
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// decoder limits the memory that data from a peer can make this process allocate.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 12,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(op string, wire any) ([]byte, error) {
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unsupported, Err: errors.WithStack(err)}
	}
	return data, nil
}

func decode(op string, data []byte, wire any) error {
	if err := decoder.Unmarshal(data, wire); err != nil {
		return &Error{Op: op, Kind: Malformed, Err: err}
	}
	return nil
}

type wireItem struct {
	Kind    uint8  `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Term    uint64 `cbor:"3,keyasint,omitempty"`
	Seq     uint64 `cbor:"4,keyasint,omitempty"`
	Deleted bool   `cbor:"5,keyasint,omitempty"`
	Body    []byte `cbor:"6,keyasint,omitempty"`
}

type wireCount struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Hosts    uint32
}

type wireRefresh struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint32
	Seq         uint64
}

type wireFrame struct {
	Digest    []wireItem    `cbor:"1,keyasint,omitempty"`
	HasDigest bool          `cbor:"2,keyasint,omitempty"`
	Items     []wireItem    `cbor:"3,keyasint,omitempty"`
	Subtree   []wireCount   `cbor:"4,keyasint,omitempty"`
	Leaving   bool          `cbor:"5,keyasint,omitempty"`
	Checksum  uint64        `cbor:"6,keyasint,omitempty"`
	Refreshes []wireRefresh `cbor:"7,keyasint,omitempty"`
	Deltas    []wireDelta   `cbor:"8,keyasint,omitempty"`
}

// EncodeFrame encodes a frame of the relay tree.
func EncodeFrame(frame relayer.Frame) ([]byte, error) {
	wire := wireFrame{HasDigest: frame.HasDigest, Leaving: frame.Leaving, Checksum: frame.Checksum}
	for _, entry := range frame.Digest {
		wire.Digest = append(wire.Digest, wireItem{
			Kind: uint8(entry.Key.Kind),
			Name: entry.Key.Name,
			Term: entry.Version.Term,
			Seq:  entry.Version.Seq,
		})
	}
	for _, item := range frame.Items {
		wire.Items = append(wire.Items, wireItem{
			Kind:    uint8(item.Kind),
			Name:    item.Name,
			Term:    item.Version.Term,
			Seq:     item.Version.Seq,
			Deleted: item.Deleted,
			Body:    item.Body,
		})
	}
	for _, delta := range frame.Deltas {
		wire.Deltas = append(wire.Deltas, toWireDelta(delta))
	}
	for _, refresh := range frame.Refreshes {
		wire.Refreshes = append(wire.Refreshes, wireRefresh{Fingerprint: refresh.Fingerprint, Seq: refresh.Seq})
	}
	for _, count := range frame.Subtree {
		wire.Subtree = append(wire.Subtree, wireCount{Revision: count.Revision, Hosts: count.Hosts})
	}
	return encode("encode relay frame", wire)
}

// DecodeFrame decodes a frame of the relay tree.
func DecodeFrame(data []byte) (relayer.Frame, error) {
	var wire wireFrame
	if err := decode("decode relay frame", data, &wire); err != nil {
		return relayer.Frame{}, err
	}
	frame := relayer.Frame{HasDigest: wire.HasDigest, Leaving: wire.Leaving, Checksum: wire.Checksum}
	for _, entry := range wire.Digest {
		frame.Digest = append(frame.Digest, relayer.DigestEntry{Key: entry.key(), Version: entry.version()})
	}
	for _, item := range wire.Items {
		frame.Items = append(frame.Items, relayer.Item{
			Key:     item.key(),
			Version: item.version(),
			Deleted: item.Deleted,
			Body:    item.Body,
		})
	}
	for _, delta := range wire.Deltas {
		frame.Deltas = append(frame.Deltas, delta.delta())
	}
	for _, refresh := range wire.Refreshes {
		frame.Refreshes = append(frame.Refreshes, relayer.Refresh{Fingerprint: refresh.Fingerprint, Seq: refresh.Seq})
	}
	for _, count := range wire.Subtree {
		frame.Subtree = append(frame.Subtree, relayer.RevisionCount{Revision: count.Revision, Hosts: count.Hosts})
	}
	return frame, nil
}

func (w wireItem) key() relayer.Key {
	return relayer.Key{Kind: relayer.Kind(w.Kind), Name: w.Name}
}

func (w wireItem) version() relayer.Version {
	return relayer.Version{Term: w.Term, Seq: w.Seq}
}
