package serializer

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/identifier"
)

// Guards against a successor that takes the next process of an upstream for the owner that the table names. An upstream can be
// the former and the new owner of a range under the same ID.
func TestTablesNameIncarnations(t *testing.T) {
	former, next := identifier.Incarnation{ID: "u", Start: 1700000000000}, identifier.Incarnation{ID: "u", Start: 1700000000001}
	table := Table{Term: 3, Version: 7, Ranges: []allocator.Range{
		{From: 0, To: 9, Owner: next, Previous: former}, {From: 10, To: 65535, Owner: next},
	}}
	data, err := EncodeTable(table)
	assert.NilError(t, err)
	decoded, err := DecodeTable(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, table)
}

// Tables of earlier versions have no starts, and earlier versions read the rows of this one.
func TestTablesOfEarlierVersions(t *testing.T) {
	table, err := DecodeTable([]byte(`{"term":3,"version":7,"ranges":[[0,9,"u","v"],[10,65535,"v"]]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, table.Ranges, []allocator.Range{
		{From: 0, To: 9, Owner: identifier.Incarnation{ID: "u"}, Previous: identifier.Incarnation{ID: "v"}},
		{From: 10, To: 65535, Owner: identifier.Incarnation{ID: "v"}},
	})
	data, err := EncodeTable(table)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"term":3,"version":7,"ranges":[[0,9,"u","v"],[10,65535,"v"]],"starts":[[0,0],[0]]}`)
}
