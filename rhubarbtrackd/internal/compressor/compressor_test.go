package compressor_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/rhubarbtrackd/internal/compressor"
)

const limit = 4 << 20

// configuration returns a text with the given number of routes, some of which depend on the version.
func configuration(routes, version int) []byte {
	source := rand.New(rand.NewPCG(uint64(routes), 1))
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, `{"version":%d,"route_paths":[`, version)
	for i := range routes {
		timeout := 2
		if i%1000 == version%1000 {
			timeout = version
		}
		_, _ = fmt.Fprintf(&text, `{"name":"r-%x","path_prefix":"/%x/","kind":"idempotent","timeout_s":%d,"service":"huvo11a"},`, source.Uint32(), source.Uint64(), timeout)
	}
	text.WriteString("{}]}")
	return text.Bytes()
}

// Guards against versions that take as long to transfer as the whole configuration.
func TestVersionsTakeFewBytesAgainstTheFormerOne(t *testing.T) {
	for _, routes := range []int{0, 8, 300, 3000, 6000, 9400} { // the store holds about 1 MB at most
		former, next := configuration(routes, 7), configuration(routes, 8)
		data, err := compressor.Compress(next, former)
		assert.NilError(t, err)
		t.Logf("%d bytes for a version of %d", len(data), len(next))
		assert.Assert(t, len(data) < 2000, "%d bytes for a version of %d", len(data), len(next))
		text, err := compressor.Decompress(data, former, limit)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(text, next))
	}
}

// Guards against a text that is put together from another base than the sender has used, or that is cut.
func TestOtherBasesAndDamagedDataAreErrors(t *testing.T) {
	former, next := configuration(3000, 7), configuration(3000, 8)
	data, err := compressor.Compress(next, former)
	assert.NilError(t, err)
	tests := []struct {
		name string
		data []byte
		base []byte
		kind compressor.Kind
	}{
		{"another version", data, configuration(3000, 9), compressor.Unreadable},
		{"no base", data, nil, compressor.Unreadable},
		{"cut", data[:len(data)-1], former, compressor.Unreadable},
		{"empty", nil, former, 0},
		{"changed", append([]byte{data[0] ^ 1}, data[1:]...), former, compressor.Unreadable},
		{"text instead", next, former, compressor.Unreadable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text, err := compressor.Decompress(tt.data, tt.base, limit)
			if tt.kind == 0 {
				assert.Equal(t, len(text), 0)
				return
			}
			var typed *compressor.Error
			assert.Assert(t, errors.As(err, &typed), "%v", err)
			assert.Equal(t, typed.Kind, tt.kind, "%v", err)
		})
	}
}

// Guards against data that fill the memory of the receiver.
func TestLongTextsAreNotDecompressed(t *testing.T) {
	data, err := compressor.Compress(make([]byte, 64<<20), nil)
	assert.NilError(t, err)
	_, err = compressor.Decompress(data, nil, limit)
	var typed *compressor.Error
	assert.Assert(t, errors.As(err, &typed), "%v", err)
	assert.Equal(t, typed.Kind, compressor.TooLong)
}

// Guards against texts that do not come back, whatever the base.
func TestTextsComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "base")
		text := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "text")
		if from := rapid.IntRange(0, len(base)).Draw(t, "from"); rapid.Bool().Draw(t, "shares") {
			text = append(text, base[from:]...)
		}
		data, err := compressor.Compress(text, base)
		assert.NilError(t, err)
		got, err := compressor.Decompress(data, base, limit)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, text))
	})
}
