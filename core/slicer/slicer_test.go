package slicer_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
)

// lookupLinear implements Lookup by linear search.
func lookupLinear(t *slicer.Table, key string) (slicer.Slice, bool) {
	for _, hot := range t.Hot {
		if hot.HotKey == key {
			return hot, true
		}
	}
	found, ok := slicer.Slice{}, false
	for _, slice := range t.Ranges {
		if slice.Low <= hasher.Sum(key) {
			found, ok = slice, true
		}
	}
	return found, ok
}

// edit makes one random change and reports whether it may have changed the owner of its key.
func edit(t *rapid.T, table *slicer.Table, keys []string) (reassigned bool) {
	key := rapid.SampledFrom(keys).Draw(t, "key")
	slice, _ := table.Lookup(key)
	switch rapid.IntRange(0, 5).Draw(t, "edit") {
	case 0:
		assert.NilError(t, table.Assign(slice.ID, rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "owner")))
		return true
	case 1:
		_, err := table.Isolate(key)
		assert.Equal(t, err == nil, slice.HotKey == "")
	case 2:
		keyRange, _ := table.RangeOf(hasher.Sum(key))
		assert.Equal(t, table.Fold(key) == nil, slice.HotKey != "" && keyRange.Owner == slice.Owner)
	case 3:
		if middle, ok := table.Middle(slice.ID); ok {
			_, err := table.Split(slice.ID, middle)
			assert.NilError(t, err)
		}
	case 4:
		_ = table.Merge(slice.ID) // fails for hot keys, the last range and different owners
	case 5:
		table.Admission[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream")] = slicer.Admission{Host: key}
	}
	table.Version.Seq++
	return false
}

// Makes random edits. Guards against a lookup that differs from a linear search, edits that violate an invariant or
// change the owner of a key unintentionally, deltas that do not reproduce the table, and a fence that is still valid
// for a key at its previous owner.
func TestEdits(t *testing.T) {
	var keys []string
	for i := range 12 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	rapid.Check(t, func(t *rapid.T) {
		table := slicer.New("shelf-marks", rapid.IntRange(1, 5).Draw(t, "ranges"))
		copied := slicer.Table{Service: table.Service}
		assert.NilError(t, copied.Apply(withVersion(slicer.Diff(&copied, &table), 1)))
		table.Version.Seq = 1
		fences := map[string]map[slicer.Fence]string{} // by key: all fences that covered it, with their owners
		for _, key := range keys {
			fences[key] = map[slicer.Fence]string{}
		}
		for range rapid.IntRange(1, 40).Draw(t, "edits") {
			before := table.Clone()
			shared := copied
			reassigned := edit(t, &table, keys)
			table.Version.Seq++
			assert.NilError(t, table.Validate())
			assert.NilError(t, copied.Apply(slicer.Diff(&before, &table)))
			assert.DeepEqual(t, copied, table)
			assert.DeepEqual(t, shared, before)
			current := map[slicer.Fence]string{}
			for _, chunk := range table.Chunks() {
				for _, slice := range chunk.Slices {
					current[slicer.Fence{Slice: slice.ID, Epoch: slice.Epoch}] = slice.Owner
				}
			}
			for _, key := range keys {
				slice, ok := table.Lookup(key)
				linear, _ := lookupLinear(&table, key)
				assert.Assert(t, ok && slice == linear)
				old, _ := before.Lookup(key)
				assert.Assert(t, reassigned || old.Owner == slice.Owner)
				for fence, owner := range fences[key] {
					holder, valid := current[fence]
					assert.Assert(t, !valid || owner == slice.Owner && holder == owner, "%v of %q at %q", fence, key, owner)
				}
				fences[key][slicer.Fence{Slice: slice.ID, Epoch: slice.Epoch}] = slice.Owner
			}
		}
	})
}

func withVersion(d slicer.Delta, seq uint64) slicer.Delta {
	d.To.Seq = seq
	return d
}

// Guards against applying a delta of the wrong service or version, or one with an invalid result, and against a table
// that is changed by a rejected delta.
func TestApplyRejects(t *testing.T) {
	at := func(term, seq uint64) slicer.Version { return slicer.Version{Term: term, Seq: seq} }
	tests := []struct {
		name  string
		delta slicer.Delta
		want  slicer.Kind
	}{
		{"other service", slicer.Delta{Service: "labels", From: at(2, 5), To: at(2, 6)}, slicer.Conflict},
		{"same version", slicer.Delta{Service: "marks", From: at(2, 4), To: at(2, 5)}, slicer.Stale},
		{"earlier term", slicer.Delta{Service: "marks", From: at(1, 9), To: at(1, 99)}, slicer.Stale},
		{"missing delta", slicer.Delta{Service: "marks", From: at(2, 6), To: at(2, 7)}, slicer.Gap},
		{"first range removed", slicer.Delta{Service: "marks", From: at(2, 5), To: at(3, 1), LastID: 4,
			Removed: []uint32{1}}, slicer.Invalid},
		{"ID above LastID", slicer.Delta{Service: "marks", From: at(2, 5), To: at(3, 1), LastID: 4,
			Set: []slicer.Slice{{ID: 9, Low: 7}}}, slicer.Invalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := slicer.New("marks", 4)
			table.Version = at(2, 5)
			before := table.Clone()
			assertKind(t, table.Apply(test.delta), test.want)
			assert.DeepEqual(t, table, before)
		})
	}
}

func assertKind(t *testing.T, err error, want slicer.Kind) {
	t.Helper()
	var failure *slicer.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Kind, want, "%v", err)
}

// Guards against chunks that exceed the limits of the store, and against assembling a table from chunks that are
// missing, duplicated or of different versions.
func TestChunks(t *testing.T) {
	table := slicer.New("marks", 9600)
	table.Version.Seq = 7
	name := strings.Repeat("n", 250)
	for i := range table.Ranges {
		assert.NilError(t, table.Assign(table.Ranges[i].ID, name))
	}
	for i := range slicer.MaxHotKeys {
		_, err := table.Isolate(fmt.Sprintf("%01024d", i))
		assert.NilError(t, err)
	}
	_, err := table.Isolate("one too many")
	assertKind(t, err, slicer.Full)
	for i := range 600 {
		table.Admission[fmt.Sprintf("%s%d", name, i)] = slicer.Admission{Host: name, Epoch: 3}
	}
	chunks := table.Chunks()
	for _, chunk := range chunks {
		encoded, err := json.Marshal(chunk)
		assert.NilError(t, err)
		assert.Assert(t, len(chunk.Slices) <= 1024 && len(encoded) < 600_000, "%d bytes", len(encoded))
	}
	slices.Reverse(chunks)
	joined, err := slicer.Assemble(chunks)
	assert.NilError(t, err)
	assert.DeepEqual(t, joined, table)
	_, err = slicer.Assemble(chunks[1:])
	assertKind(t, err, slicer.Incomplete)
	_, err = slicer.Assemble(append(chunks[1:len(chunks):len(chunks)], chunks[1]))
	assertKind(t, err, slicer.Incomplete)
	chunks[2].Version.Seq--
	_, err = slicer.Assemble(chunks)
	assertKind(t, err, slicer.Incomplete)
}

// Guards against accepting a table that violates an invariant.
func TestValidateRejects(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*slicer.Table)
	}{
		{"no ranges", func(table *slicer.Table) { table.Ranges = nil }},
		{"first range not at 0", func(table *slicer.Table) { table.Ranges[0].Low = 1 }},
		{"not sorted", func(table *slicer.Table) { table.Ranges[2].Low = 5 }},
		{"duplicate ID", func(table *slicer.Table) { table.Ranges[2].ID = 1 }},
		{"ID zero", func(table *slicer.Table) { table.Ranges[2].ID = 0 }},
		{"ID above LastID", func(table *slicer.Table) { table.LastID = 2 }},
		{"range with hot key", func(table *slicer.Table) { table.Ranges[1].HotKey = "k" }},
		{"owner without epoch", func(table *slicer.Table) { table.Ranges[1].Owner = "a" }},
		{"hot key under another name", func(table *slicer.Table) {
			table.Hot["x"] = slicer.Slice{ID: 3, HotKey: "y", Low: hasher.Sum("y")}
		}},
		{"hot key with a wrong hash", func(table *slicer.Table) { table.Hot["x"] = slicer.Slice{ID: 3, HotKey: "x"} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := slicer.New("marks", 3)
			assert.NilError(t, table.Validate())
			test.modify(&table)
			assertKind(t, table.Validate(), slicer.Invalid)
		})
	}
}
