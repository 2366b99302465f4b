package copier_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/copier"
)

// Guards against a last chunk after a body that could not be read to its end. The receiver would take the truncated
// body for a complete one.
func TestCopy(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name   string
		body   io.Reader
		length int64
		fail   error // returned by write
		sent   string
		kind   copier.Kind
	}{
		{"known length", strings.NewReader("abc"), 3, nil, "abc", 0},
		{"unknown length, one chunk a read", iotest.OneByteReader(strings.NewReader("ab")), -1, nil, "1\r\na\r\n1\r\nb\r\n0\r\n\r\n", 0},
		{"unknown length, empty", strings.NewReader(""), -1, nil, "0\r\n\r\n", 0},
		{"last bytes returned together with EOF", iotest.DataErrReader(strings.NewReader("abc")), -1, nil, "3\r\nabc\r\n0\r\n\r\n", 0},
		{"body fails before its end", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, nil, "2\r\nab\r\n", copier.Incomplete},
		{"shorter than its length", strings.NewReader("ab"), 3, nil, "ab", copier.Incomplete},
		{"read before", strings.NewReader(""), 3, nil, "", copier.Incomplete},
		{"longer than its length", strings.NewReader("abcd"), 3, nil, "", copier.Incomplete},
		{"receiver disconnected", strings.NewReader("abc"), 3, broken, "", copier.Unwritable},
		{"receiver disconnected before the last chunk", strings.NewReader(""), -1, broken, "", copier.Unwritable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var sent strings.Builder
			err := copier.Copy(func(data []byte) error {
				if test.fail != nil {
					return test.fail
				}
				sent.Write(data)
				return nil
			}, test.body, test.length)
			assert.Equal(t, sent.String(), test.sent)
			assert.Equal(t, copier.KindOf(err), test.kind)
			assert.Equal(t, err == nil, test.kind == 0)
		})
	}
}
