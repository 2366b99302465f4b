package framer

import (
	"sort"

	"rhubarbtrack.example/core/slicer"
)

type wireSlice struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Low    uint64
	HotKey string
	Owner  string
	Epoch  uint64
}

type wireAdmission struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Host     string
	Epoch    uint64
}

type wireTable struct {
	Service   string          `cbor:"1,keyasint"`
	Term      uint64          `cbor:"2,keyasint"`
	Seq       uint64          `cbor:"3,keyasint"`
	Ranges    []wireSlice     `cbor:"4,keyasint,omitempty"`
	Hot       []wireSlice     `cbor:"5,keyasint,omitempty"`
	Admission []wireAdmission `cbor:"6,keyasint,omitempty"`
	LastID    uint32          `cbor:"7,keyasint"`
}

// EncodeTable encodes a table. Equal tables have equal encodings.
func EncodeTable(table slicer.Table) ([]byte, error) {
	wire := wireTable{Service: table.Service, Term: table.Version.Term, Seq: table.Version.Seq, LastID: table.LastID}
	for _, slice := range table.Ranges {
		wire.Ranges = append(wire.Ranges, toWireSlice(slice))
	}
	for _, slice := range table.Hot {
		wire.Hot = append(wire.Hot, toWireSlice(slice))
	}
	sort.Slice(wire.Hot, func(i, j int) bool { return wire.Hot[i].HotKey < wire.Hot[j].HotKey })
	for upstream, admission := range table.Admission {
		wire.Admission = append(wire.Admission, wireAdmission{Upstream: upstream, Host: admission.Host, Epoch: admission.Epoch})
	}
	sort.Slice(wire.Admission, func(i, j int) bool { return wire.Admission[i].Upstream < wire.Admission[j].Upstream })
	return encode("encode table", wire)
}

// DecodeTable decodes a table.
func DecodeTable(data []byte) (slicer.Table, error) {
	var wire wireTable
	if err := decode("decode table", data, &wire); err != nil {
		return slicer.Table{}, err
	}
	table := slicer.Table{
		Service:   wire.Service,
		Version:   slicer.Version{Term: wire.Term, Seq: wire.Seq},
		LastID:    wire.LastID,
		Hot:       make(map[string]slicer.Slice, len(wire.Hot)),
		Admission: make(map[string]slicer.Admission, len(wire.Admission)),
	}
	for _, slice := range wire.Ranges {
		table.Ranges = append(table.Ranges, slice.slice())
	}
	for _, slice := range wire.Hot {
		table.Hot[slice.HotKey] = slice.slice()
	}
	for _, admission := range wire.Admission {
		table.Admission[admission.Upstream] = slicer.Admission{Host: admission.Host, Epoch: admission.Epoch}
	}
	return table, nil
}

func toWireSlice(slice slicer.Slice) wireSlice {
	return wireSlice{ID: slice.ID, Low: slice.Low, HotKey: slice.HotKey, Owner: slice.Owner, Epoch: slice.Epoch}
}

func (w wireSlice) slice() slicer.Slice {
	return slicer.Slice{ID: w.ID, Low: w.Low, HotKey: w.HotKey, Owner: w.Owner, Epoch: w.Epoch}
}
