package serializer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

func TestStoredBlockKeepsItsAge(t *testing.T) {
	written := time.UnixMilli(1_796_404_652_336)
	report := detector.Report{
		Signature: 0x1dd4c85f0384ba87, Status: detector.Blocked, Version: 1 << 32, Age: 2 * time.Second, Crashes: 3, Upstream: "u/1",
	}
	data, err := serializer.EncodeBlocked(written, report)
	assert.NilError(t, err)
	name := serializer.BlockedName(report.Signature)
	assert.Equal(t, name, "1dd4c85f0384ba87")
	read, err := serializer.DecodeBlocked(written.Add(time.Minute), name, data)
	assert.NilError(t, err)
	report.Age += time.Minute
	assert.DeepEqual(t, read, report)
	read, err = serializer.DecodeBlocked(written.Add(-time.Hour), name, data)
	assert.NilError(t, err)
	assert.Equal(t, read.Age, time.Duration(0), "a time in the future counts as now")
}

func TestInvalidStoredBlocksAreRejected(t *testing.T) {
	const valid = `{"blocked-at-ms":5,"version":1,"crashes":3,"upstream":"u"}`
	for _, tt := range []struct{ name, data string }{
		{"", valid}, {"-1", valid}, {"not hexadecimal", valid}, {"11111111111111111", valid}, {"a", ""}, {"a", "[]"}, {"a", "{}"},
		{"a", `{"blocked-at-ms":"5","version":1,"crashes":3}`}, {"a", `{"blocked-at-ms":5,"version":-1,"crashes":3}`},
		{"a", `{"blocked-at-ms":5,"version":1,"crashes":0}`}, {"a", `{"blocked-at-ms":-5,"version":1,"crashes":3}`},
	} {
		_, err := serializer.DecodeBlocked(time.UnixMilli(9), tt.name, []byte(tt.data))
		assert.Assert(t, err != nil, "%q %s", tt.name, tt.data)
	}
}
