package framer

import (
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/witness"
)

type wireRecord struct {
	Service     string   `cbor:"1,keyasint"`
	Term        uint64   `cbor:"2,keyasint"`
	Host        string   `cbor:"3,keyasint"`
	Incarnation string   `cbor:"4,keyasint"`
	Operation   uint64   `cbor:"5,keyasint"`
	Witnesses   []string `cbor:"6,keyasint"`
	Previous    []string `cbor:"7,keyasint,omitempty"`
}

// EncodeRecord returns the stored form of a controller record.
func EncodeRecord(record witness.Record) ([]byte, error) {
	return encode("encode controller record", wireRecord{
		Service:     record.Service,
		Term:        record.Term,
		Host:        record.Holder.Host,
		Incarnation: record.Holder.Incarnation,
		Operation:   record.Operation,
		Witnesses:   record.Witnesses,
		Previous:    record.Previous,
	})
}

// DecodeRecord reads the stored form of a controller record.
func DecodeRecord(data []byte) (witness.Record, error) {
	var wire wireRecord
	if err := decode("decode controller record", data, &wire); err != nil {
		return witness.Record{}, err
	}
	return witness.Record{
		Service:   wire.Service,
		Term:      wire.Term,
		Holder:    witness.Holder{Host: wire.Host, Incarnation: wire.Incarnation},
		Operation: wire.Operation,
		Witnesses: wire.Witnesses,
		Previous:  wire.Previous,
	}, nil
}

type wireStored struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Operation   uint64 `cbor:"3,keyasint"`
	Table       []byte `cbor:"4,keyasint"`
}

// EncodeStoredTable returns the stored form of a table with the stamp of its write.
func EncodeStoredTable(stamp controller.Stamp, table slicer.Table) ([]byte, error) {
	body, err := EncodeTable(table)
	if err != nil {
		return nil, err
	}
	return encode("encode stored table", wireStored{
		Host: stamp.Host, Incarnation: stamp.Incarnation, Operation: stamp.Operation, Table: body,
	})
}

// DecodeStoredTable reads the stored form of a table.
func DecodeStoredTable(data []byte) (controller.Stamp, slicer.Table, error) {
	var wire wireStored
	if err := decode("decode stored table", data, &wire); err != nil {
		return controller.Stamp{}, slicer.Table{}, err
	}
	table, err := DecodeTable(wire.Table)
	stamp := controller.Stamp{Host: wire.Host, Incarnation: wire.Incarnation, Operation: wire.Operation}
	return stamp, table, err
}

// LeaderHeartbeat is the proof of a controller that it has the right to act. Seq is not part of the body, so that repeated beacons
// have equal bodies; it travels as the version of the item.
type LeaderHeartbeat struct {
	Service  string
	Term     uint64
	Seq      uint64
	Table    slicer.Version
	Revision uint64 // of the configuration that the controller applies
	Holder   string // host of the controller
	InUse    uint64 // slots in use of all upstreams, the recent peak
}

type wireBeacon struct {
	Term      uint64 `cbor:"1,keyasint"`
	TableTerm uint64 `cbor:"3,keyasint"`
	TableSeq  uint64 `cbor:"4,keyasint"`
	Revision  uint64 `cbor:"5,keyasint"`
	Holder    string `cbor:"6,keyasint"`
	InUse     uint64 `cbor:"7,keyasint,omitempty"`
}

// EncodeLeaderHeartbeat returns the body of a beacon item.
func EncodeLeaderHeartbeat(beacon LeaderHeartbeat) ([]byte, error) {
	return encode("encode beacon", wireBeacon{
		Term:      beacon.Term,
		TableTerm: beacon.Table.Term,
		TableSeq:  beacon.Table.Seq,
		Revision:  beacon.Revision,
		Holder:    beacon.Holder,
		InUse:     beacon.InUse,
	})
}

// DecodeLeaderHeartbeat reads the body of the beacon item of a service.
func DecodeLeaderHeartbeat(service string, body []byte) (LeaderHeartbeat, error) {
	var wire wireBeacon
	if err := decode("decode beacon", body, &wire); err != nil {
		return LeaderHeartbeat{}, err
	}
	return LeaderHeartbeat{
		Service:  service,
		Term:     wire.Term,
		Table:    slicer.Version{Term: wire.TableTerm, Seq: wire.TableSeq},
		Revision: wire.Revision,
		Holder:   wire.Holder,
		InUse:    wire.InUse,
	}, nil
}
