package framer

import (
	"sort"

	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/core/slicer"
)

type wireDelta struct {
	Kind     uint8  `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	FromTerm uint64 `cbor:"3,keyasint,omitempty"`
	FromSeq  uint64 `cbor:"4,keyasint,omitempty"`
	ToTerm   uint64 `cbor:"5,keyasint,omitempty"`
	ToSeq    uint64 `cbor:"6,keyasint,omitempty"`
	Body     []byte `cbor:"7,keyasint"`
}

func toWireDelta(delta relayer.Delta) wireDelta {
	return wireDelta{
		Kind: uint8(delta.Key.Kind), Name: delta.Key.Name,
		FromTerm: delta.From.Term, FromSeq: delta.From.Seq, ToTerm: delta.To.Term, ToSeq: delta.To.Seq,
		Body: delta.Body,
	}
}

func (w wireDelta) delta() relayer.Delta {
	return relayer.Delta{
		Key:  relayer.Key{Kind: relayer.Kind(w.Kind), Name: w.Name},
		From: relayer.Version{Term: w.FromTerm, Seq: w.FromSeq},
		To:   relayer.Version{Term: w.ToTerm, Seq: w.ToSeq},
		Body: w.Body,
	}
}

type wireTableDelta struct {
	Service          string          `cbor:"1,keyasint"`
	FromTerm         uint64          `cbor:"2,keyasint"`
	FromSeq          uint64          `cbor:"3,keyasint"`
	ToTerm           uint64          `cbor:"4,keyasint"`
	ToSeq            uint64          `cbor:"5,keyasint"`
	LastID           uint32          `cbor:"6,keyasint"`
	Set              []wireSlice     `cbor:"7,keyasint,omitempty"`
	Removed          []uint32        `cbor:"8,keyasint,omitempty"`
	Admission        []wireAdmission `cbor:"9,keyasint,omitempty"`
	AdmissionRemoved []string        `cbor:"10,keyasint,omitempty"`
}

// EncodeTableDelta encodes the change of a table. Equal deltas have equal encodings.
func EncodeTableDelta(delta slicer.Delta) ([]byte, error) {
	wire := wireTableDelta{
		Service:  delta.Service,
		FromTerm: delta.From.Term, FromSeq: delta.From.Seq, ToTerm: delta.To.Term, ToSeq: delta.To.Seq,
		LastID:           delta.LastID,
		Removed:          delta.Removed,
		AdmissionRemoved: delta.AdmissionRemoved,
	}
	for _, slice := range delta.Set {
		wire.Set = append(wire.Set, toWireSlice(slice))
	}
	for upstream, admission := range delta.Admission {
		wire.Admission = append(wire.Admission, wireAdmission{Upstream: upstream, Host: admission.Host, Epoch: admission.Epoch})
	}
	sort.Slice(wire.Admission, func(i, j int) bool { return wire.Admission[i].Upstream < wire.Admission[j].Upstream })
	return encode("encode table delta", wire)
}

// DecodeTableDelta decodes the change of a table.
func DecodeTableDelta(data []byte) (slicer.Delta, error) {
	var wire wireTableDelta
	if err := decode("decode table delta", data, &wire); err != nil {
		return slicer.Delta{}, err
	}
	delta := slicer.Delta{
		Service: wire.Service,
		From:    slicer.Version{Term: wire.FromTerm, Seq: wire.FromSeq},
		To:      slicer.Version{Term: wire.ToTerm, Seq: wire.ToSeq},
		LastID:  wire.LastID, Removed: wire.Removed, AdmissionRemoved: wire.AdmissionRemoved,
		Admission: make(map[string]slicer.Admission, len(wire.Admission)),
	}
	for _, slice := range wire.Set {
		delta.Set = append(delta.Set, slice.slice())
	}
	for _, admission := range wire.Admission {
		delta.Admission[admission.Upstream] = slicer.Admission{Host: admission.Host, Epoch: admission.Epoch}
	}
	return delta, nil
}

// PatchTable applies an encoded delta to an encoded table and returns the encoding of the new table, which equals
// EncodeTable of that table. It fails if the delta does not start at the version of base.
func PatchTable(base, delta []byte) ([]byte, error) {
	table, err := DecodeTable(base)
	if err != nil {
		return nil, err
	}
	change, err := DecodeTableDelta(delta)
	if err != nil {
		return nil, err
	}
	if err := table.Apply(change); err != nil {
		return nil, err
	}
	return EncodeTable(table)
}
