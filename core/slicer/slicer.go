// Package slicer holds the table of a key-divided service: which slice of the key space belongs to which upstream.
//
// The key space is the 64-bit hash space, cut into contiguous ranges, plus a bounded list of hot keys that have a slice
// of their own. The size of a table depends on the number of upstreams, never on the number of keys.
//
// # Usage
//
//	table := slicer.New("shelf-marks", 320)
//	slice, ok := table.Lookup(key)
//	if ok && slice.Owner != "" {
//		// route to slice.Owner with the fence of the slice
//	}
//
// A controller changes a clone of the table (Assign, Isolate, Fold, Split, Merge), gives it a later Version, stores its
// Chunks, and publishes the Diff. Entry hosts bring their copy up to date with Apply, which refuses a delta that does not
// start at the version they have.
package slicer

import (
	"math"
	"sort"

	"rhubarbtrack.example/core/hasher"
)

// MaxHotKeys bounds the number of keys of one service that have a slice of their own.
const MaxHotKeys = 256

// Version orders the states of a table. A later term wins over any sequence number of an earlier one.
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

// Fence identifies one assignment of a slice. Fences of a slice are ordered by term, then epoch.
type Fence struct {
	Slice uint32
	Term  uint64
	Epoch uint64
}

// Slice is one part of the key space.
type Slice struct {
	ID     uint32
	Low    uint64 // first hash of a range; the range ends before the Low of the next one
	HotKey string // not empty: the slice holds just this key and Low is its hash
	Owner  string // name of the upstream, empty when unassigned
	Epoch  uint64 // rises with every change of owner
}

// Admission names the host that admits requests to one upstream.
type Admission struct {
	Host  string
	Epoch uint64 // rises with every change of host
}

// Table is the assignment of all slices of one service.
type Table struct {
	Service   string
	Version   Version
	Ranges    []Slice              // sorted by Low; the first Low is 0
	Hot       map[string]Slice     // by key, at most MaxHotKeys
	Admission map[string]Admission // by upstream
	LastID    uint32               // highest ID given to a slice so far; IDs are never given twice
}

// New returns a table whose hash space is cut into count ranges of equal size without owners. Count must be positive.
func New(service string, count int) Table {
	table := Table{Service: service, Hot: map[string]Slice{}, Admission: map[string]Admission{}, LastID: uint32(count)}
	width := math.MaxUint64/uint64(count) + 1
	for i := range count {
		table.Ranges = append(table.Ranges, Slice{ID: uint32(i + 1), Low: uint64(i) * width})
	}
	return table
}

// Lookup returns the slice that holds key. It reports false for a table without ranges.
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
