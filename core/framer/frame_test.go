package framer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/core/slicer"
)

func sampleFrame() relayer.Frame {
	key := relayer.Key{Kind: relayer.Config, Name: "config/service/marks"}
	version := relayer.Version{Term: 3, Seq: 4}
	return relayer.Frame{
		Checksum: 9, HasDigest: true, Leaving: true,
		Digest:    []relayer.DigestEntry{{Key: key, Version: version}},
		Items:     []relayer.Item{{Key: key, Version: version, Body: []byte("body")}},
		Deltas:    []relayer.Delta{{Key: key, From: version, To: relayer.Version{Term: 3, Seq: 5}, Body: []byte("delta")}},
		Refreshes: []relayer.Refresh{{Fingerprint: 1, Seq: 2}},
		Subtree:   []relayer.RevisionCount{{Revision: 7, Hosts: 8}},
	}
}

// FuzzFrame guards against a frame that changes when a host decodes it and encodes it again to forward it.
func FuzzFrame(f *testing.F) {
	data, err := framer.EncodeFrame(sampleFrame())
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := framer.DecodeFrame(data)
		if err != nil {
			return
		}
		encoded, err := framer.EncodeFrame(frame)
		assert.NilError(t, err)
		decoded, err := framer.DecodeFrame(encoded)
		assert.NilError(t, err)
		reencoded, err := framer.EncodeFrame(decoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, reencoded, encoded)
	})
}

// FuzzPatchTable guards against a delta from a peer that makes a host panic or produces a table that cannot be decoded.
func FuzzPatchTable(f *testing.F) {
	before := slicer.New("marks", 4)
	after := before.Clone()
	after.Version.Seq++
	after.Ranges[1].Owner = "marks.u1"
	base, err := framer.EncodeTable(before)
	assert.NilError(f, err)
	change, err := framer.EncodeTableDelta(slicer.Diff(&before, &after))
	assert.NilError(f, err)
	f.Add(base, change)
	f.Fuzz(func(t *testing.T, base, change []byte) {
		patched, err := framer.PatchTable(base, change)
		if err != nil {
			return
		}
		_, err = framer.DecodeTable(patched)
		assert.NilError(t, err)
	})
}

// BenchmarkFrame measures a frame with one item, the most frequent kind of frame besides keepalives.
func BenchmarkFrame(b *testing.B) {
	frame := sampleFrame()
	data, err := framer.EncodeFrame(frame)
	assert.NilError(b, err)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = framer.EncodeFrame(frame)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = framer.DecodeFrame(data)
		}
	})
}
