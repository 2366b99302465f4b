// Package serializer encodes what hosts write to the store as JSON: the lease record, the ownership tables and the
// requests that are blocked.
//
// Field names are in kebab case. A row of an ownership table is an array: first key, last key, ID of the owner and, while it may
// still hold a grant, ID of the former owner. The field starts has, for each row, their starts. Tables of earlier versions lack it.
//
// # Usage
//
//	data, err := serializer.EncodeRecord(record, nonce)
//	record, err := serializer.DecodeRecord(object.Revision, object.Specification)
package serializer

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/contender"
)

// Kinds of the objects in the store, and the name of the lease record.
const (
	RecordKind = "rhubarbtrack-controllers"
	RecordName = "main"
	TableKind  = "rhubarbtrack-tables" // objects are named by service
	// TermKind holds the counters of reserved terms. Objects are named by the generation of the store.
	TermKind = "rhubarbtrack-terms"
	// BlockedKind holds the requests that crash upstreams. Objects are named by signature, in hexadecimal digits.
	BlockedKind = "rhubarbtrack-blocked-requests"
)

// Kind classifies errors of this package.
type Kind int

const (
	// Unreadable means that stored data could not be decoded or is inconsistent.
	Unreadable Kind = iota + 1
	// Unwritable means that a value could not be encoded.
	Unwritable
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

type wireRecord struct {
	Holder     string `json:"holder"`
	Address    string `json:"address"`
	Term       uint64 `json:"term"`
	Resigned   bool   `json:"resigned,omitempty"`
	Nonce      uint64 `json:"beat"` // differs between writes; the store gives a new revision only to changed data
	Generation int64  `json:"generation,omitempty"`
	Origin     int64  `json:"origin,omitempty"`
}

// EncodeRecord encodes the lease record. The nonce must differ from that of the previous write, so that the write
// changes the revision.
func EncodeRecord(r contender.Record, nonce uint64) ([]byte, error) {
	data, err := json.Marshal(wireRecord{r.Holder, r.Address, r.Term, r.Resigned, nonce, r.Generation, r.Origin})
	if err != nil {
		return nil, &Error{"encode-record", Unwritable, err}
	}
	return data, nil
}

// DecodeRecord decodes the lease record that the store holds at the given revision.
func DecodeRecord(revision int64, data []byte) (contender.Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return contender.Record{}, &Error{"decode-record", Unreadable, err}
	}
	return contender.Record{
		Revision: revision, Generation: wire.Generation, Origin: wire.Origin, Holder: wire.Holder, Address: wire.Address, Term: wire.Term,
		Resigned: wire.Resigned,
	}, nil
}

type wireTerm struct {
	Term uint64 `json:"term"`
}

// EncodeTerm encodes the highest reserved term of a generation.
func EncodeTerm(term uint64) ([]byte, error) {
	data, err := json.Marshal(wireTerm{term})
	if err != nil {
		return nil, &Error{"encode-term", Unwritable, err}
	}
	return data, nil
}

// DecodeTerm decodes the highest reserved term of a generation.
func DecodeTerm(data []byte) (uint64, error) {
	var wire wireTerm
	err := json.Unmarshal(data, &wire)
	if err == nil && (wire.Term == 0 || wire.Term >= contender.MaxTerm) {
		err = errors.Newf("the term %d is not between 1 and %d", wire.Term, contender.MaxTerm-1)
	}
	if err != nil {
		return 0, &Error{"decode-term", Unreadable, err}
	}
	return wire.Term, nil
}

// Table is the stored ownership table of a service.
type Table struct {
	Term       uint64
	Generation int64 // of the store in which it was written; 0 in tables of earlier versions
	Version    uint64
	Ranges     []allocator.Range
}

type wireTable struct {
	Term       uint64    `json:"term"`
	Generation int64     `json:"generation,omitempty"`
	Version    uint64    `json:"version"`
	Ranges     [][]any   `json:"ranges"`
	Starts     [][]int64 `json:"starts"`
}

// EncodeTable encodes an ownership table.
func EncodeTable(t Table) ([]byte, error) {
	wire := wireTable{t.Term, t.Generation, t.Version, make([][]any, 0, len(t.Ranges)), make([][]int64, 0, len(t.Ranges))}
	for _, r := range t.Ranges {
		row, starts := []any{r.From, r.To, r.Owner.ID}, []int64{r.Owner.Start}
		if !r.Previous.IsZero() {
			row, starts = append(row, r.Previous.ID), append(starts, r.Previous.Start)
		}
		wire.Ranges, wire.Starts = append(wire.Ranges, row), append(wire.Starts, starts)
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, &Error{"encode-table", Unwritable, err}
	}
	return data, nil
}

// DecodeTable decodes an ownership table. Its rows must cover all keys in order; a table without rows is valid.
func DecodeTable(data []byte) (Table, error) {
	var wire struct {
		Term       uint64              `json:"term"`
		Generation int64               `json:"generation"`
		Version    uint64              `json:"version"`
		Ranges     [][]json.RawMessage `json:"ranges"`
		Starts     [][]int64           `json:"starts"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return Table{}, &Error{"decode-table", Unreadable, err}
	}
	t := Table{Term: wire.Term, Generation: wire.Generation, Version: wire.Version}
	next := 0
	for i, row := range wire.Ranges {
		r, err := decodeRange(row)
		if err == nil && (int(r.From) != next || r.To < r.From) {
			err = errors.Newf("keys %d to %d do not follow key %d", r.From, r.To, next-1)
		}
		if err != nil {
			return Table{}, &Error{"decode-table", Unreadable, errors.Wrapf(err, "row %d", i)}
		}
		if i < len(wire.Starts) {
			setStarts(&r, wire.Starts[i])
		}
		next = int(r.To) + 1
		t.Ranges = append(t.Ranges, r)
	}
	if len(t.Ranges) > 0 && next != 1<<16 {
		return Table{}, &Error{"decode-table", Unreadable, errors.Newf("last key is %d, want 65535", next-1)}
	}
	return t, nil
}

func decodeRange(row []json.RawMessage) (allocator.Range, error) {
	var r allocator.Range
	fields := []any{&r.From, &r.To, &r.Owner.ID, &r.Previous.ID}
	if len(row) < 3 || len(row) > len(fields) {
		return r, errors.Newf("got %d fields, want 3 or 4", len(row))
	}
	for i, raw := range row {
		if err := json.Unmarshal(raw, fields[i]); err != nil {
			return r, err
		}
	}
	return r, nil
}

// setStarts sets the starts of the owner and of the former owner, as far as they are there.
func setStarts(r *allocator.Range, starts []int64) {
	if len(starts) > 0 {
		r.Owner.Start = starts[0]
	}
	if len(starts) > 1 && r.Previous.ID != "" {
		r.Previous.Start = starts[1]
	}
}
