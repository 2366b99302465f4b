package slicer

import (
	"maps"
	"slices"
)

const (
	// MaxChunkSlices is the maximum number of slices in a chunk.
	MaxChunkSlices = 1024
	// MaxChunkBytes is the maximum estimated encoded size of a chunk. The store limits values to 1 MB. Half of it is
	// reserved for codecs that expand text.
	MaxChunkBytes = 512 << 10
	// entryBytes is an upper bound of the encoded size of a slice or an admission without its strings: five numbers of
	// up to 20 digits and their field names.
	entryBytes = 150
)

// Chunk is a part of a table that is stored as one object.
type Chunk struct {
	Service   string
	Version   Version // version of the table
	Index     int     // 0-based position
	Count     int     // number of chunks of the table
	LastID    uint32
	Slices    []Slice
	Admission map[string]Admission
}

// Chunks divides the table into chunks of at most MaxChunkSlices slices and an estimated size of at most MaxChunkBytes.
// Equal tables give equal chunks.
func (t *Table) Chunks() []Chunk {
	var chunks []Chunk
	size := MaxChunkBytes
	reserve := func(bytes int) *Chunk {
		if size+bytes > MaxChunkBytes || len(chunks[len(chunks)-1].Slices) == MaxChunkSlices {
			chunks = append(chunks, Chunk{Service: t.Service, Version: t.Version, Index: len(chunks), LastID: t.LastID,
				Admission: map[string]Admission{}})
			size = 0
		}
		size += bytes
		return &chunks[len(chunks)-1]
	}
	hot := slices.SortedFunc(maps.Values(t.Hot), byID)
	for _, slice := range append(slices.Clone(t.Ranges), hot...) {
		chunk := reserve(entryBytes + len(slice.HotKey) + len(slice.Owner))
		chunk.Slices = append(chunk.Slices, slice)
	}
	for _, upstream := range slices.Sorted(maps.Keys(t.Admission)) {
		admission := t.Admission[upstream]
		reserve(entryBytes + len(upstream) + len(admission.Host)).Admission[upstream] = admission
	}
	for i := range chunks {
		chunks[i].Count = len(chunks)
	}
	return chunks
}

// Assemble returns the table that consists of the chunks, which may be in any order. It returns an error of kind
// Incomplete if a chunk is missing, is duplicated or belongs to another version, in which case the caller should read
// the chunks again. It returns one of kind Invalid if the table is not valid.
func Assemble(chunks []Chunk) (Table, error) {
	if len(chunks) == 0 || len(chunks) != chunks[0].Count {
		return Table{}, fail("assemble", Incomplete, "got %d chunks", len(chunks))
	}
	first := chunks[0]
	table := Table{Service: first.Service, Version: first.Version, LastID: first.LastID,
		Admission: map[string]Admission{}}
	seen := make([]bool, first.Count)
	var all []Slice
	for _, chunk := range chunks {
		if chunk.Service != first.Service || chunk.Version != first.Version || chunk.Count != first.Count {
			return Table{}, fail("assemble", Incomplete, "chunk %d belongs to another version", chunk.Index)
		}
		if chunk.Index < 0 || chunk.Index >= first.Count || seen[chunk.Index] {
			return Table{}, fail("assemble", Incomplete, "chunk %d is duplicated or out of range", chunk.Index)
		}
		seen[chunk.Index] = true
		all = append(all, chunk.Slices...)
		maps.Copy(table.Admission, chunk.Admission)
	}
	if err := table.setSlices(all); err != nil {
		return Table{}, err
	}
	return table, nil
}
