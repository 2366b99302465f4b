package framer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/slicer"
)

// Guards against hosts whose patched table differs from the published one.
func TestPatchTableMatchesPublishedTable(t *testing.T) {
	before := slicer.New("marks", 8)
	before.Version = slicer.Version{Term: 1, Seq: 1}
	before.Admission["marks.u1"] = slicer.Admission{Host: "host-1", Epoch: 1}
	before.Admission["marks.u2"] = slicer.Admission{Host: "host-1", Epoch: 1}
	after := before.Clone()
	after.Version.Seq = 2
	after.Ranges[3].Owner = "marks.u1"
	after.Ranges[3].Epoch = 2
	after.Hot["QA76"] = slicer.Slice{ID: 9, HotKey: "QA76", Low: hasher.Sum("QA76"), Owner: "marks.u1", Epoch: 1}
	after.LastID = 9
	after.Admission["marks.u1"] = slicer.Admission{Host: "host-2", Epoch: 2}
	delete(after.Admission, "marks.u2")

	held, err := framer.EncodeTable(before)
	assert.NilError(t, err)
	want, err := framer.EncodeTable(after)
	assert.NilError(t, err)
	change, err := framer.EncodeTableDelta(slicer.Diff(&before, &after))
	assert.NilError(t, err)
	got, err := framer.PatchTable(held, change)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.Assert(t, len(change) < len(held), "the delta is not smaller")
	_, err = framer.PatchTable(got, change)
	assert.Assert(t, err != nil, "a delta applied twice")
}
