// Package slicer divides the key space of a service into slices and contains the ownership table, which assigns each
// slice to an upstream.
//
// The key space is the 64-bit hash space. It is divided into contiguous ranges, and a bounded number of hot keys have a
// slice of their own. The size of a table depends on the number of slices and upstreams, not on the number of keys.
//
// # Usage
//
//	table := slicer.New("shelf-marks", 320)
//	slice, ok := table.Lookup(key)
//	if ok && slice.Owner != "" {
//		// route to slice.Owner with the fence of the slice
//	}
//
// A controller modifies a clone of the table (Assign, Isolate, Fold, Split, Merge), sets a later Version, stores the
// Chunks and publishes the Diff. Entry hosts update their copy with Apply, which rejects a delta that does not start at
// the version of the copy. A Table is not safe for concurrent use, but see Apply about copies.
package slicer

import (
	"math"
	"sort"

	"rhubarbtrack.example/core/hasher"
)

// MaxHotKeys is the maximum number of keys of one service that have a slice of their own.
const MaxHotKeys = 256

// Version orders the states of a table by term, then sequence number.
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

// Fence is the fencing token of one assignment of a slice. Fences of a slice are ordered by term, then epoch.
type Fence struct {
	Slice uint32
	Term  uint64
	Epoch uint64
}

// Slice is one part of the key space.
type Slice struct {
	ID     uint32
	Low    uint64 // first hash of the range, which ends before the Low of the next one
	HotKey string // if not empty, the slice contains only this key, and Low is its hash
	Owner  string // name of the upstream, empty if unassigned
	Epoch  uint64 // increases with every change of the owner or of the set of keys
}

// Admission assigns the admission role of an upstream to the host that admits requests to it.
type Admission struct {
	Host  string
	Epoch uint64 // increases with every change of the host
}

// Table is the assignment of all slices of one service.
type Table struct {
	Service   string
	Version   Version
	Ranges    []Slice              // sorted by Low; the first Low is 0
	Hot       map[string]Slice     // by key, at most MaxHotKeys
	Admission map[string]Admission // by upstream
	LastID    uint32               // highest slice ID used so far; IDs are never reused
}

// New returns a table with count ranges of equal size and without owners. Count must be positive.
func New(service string, count int) Table {
	table := Table{Service: service, Hot: map[string]Slice{}, Admission: map[string]Admission{}, LastID: uint32(count)}
	width := math.MaxUint64/uint64(count) + 1
	for i := range count {
		table.Ranges = append(table.Ranges, Slice{ID: uint32(i + 1), Low: uint64(i) * width})
	}
	return table
}

// Lookup returns the slice that contains key, or false if the table has no ranges.
func (t *Table) Lookup(key string) (Slice, bool) {
	if hot, ok := t.Hot[key]; ok {
		return hot, true
	}
	hash := hasher.Sum(key)
	next := sort.Search(len(t.Ranges), func(i int) bool { return t.Ranges[i].Low > hash })
	if next == 0 {
		return Slice{}, false
	}
	return t.Ranges[next-1], true
}

// Clone returns a copy that shares no state with t.
func (t *Table) Clone() Table {
	clone := Table{
		Service:   t.Service,
		Version:   t.Version,
		Ranges:    append([]Slice(nil), t.Ranges...),
		Hot:       make(map[string]Slice, len(t.Hot)),
		Admission: make(map[string]Admission, len(t.Admission)),
		LastID:    t.LastID,
	}
	for key, slice := range t.Hot {
		clone.Hot[key] = slice
	}
	for upstream, admission := range t.Admission {
		clone.Admission[upstream] = admission
	}
	return clone
}
