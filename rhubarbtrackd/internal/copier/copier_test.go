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

func TestCopy(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name   string
		body   io.Reader
		length int64
		fail   error // of the receiver
		sent   string
		kind   copier.Kind
	}{
		{"known length", strings.NewReader("abc"), 3, nil, "abc", 0},
		{"chunks", iotest.OneByteReader(strings.NewReader("ab")), -1, nil, "1\r\na\r\n1\r\nb\r\n0\r\n\r\n", 0},
		{"empty, in chunks", strings.NewReader(""), -1, nil, "0\r\n\r\n", 0},
		{"last bytes come with the end", iotest.DataErrReader(strings.NewReader("abc")), -1, nil, "3\r\nabc\r\n0\r\n\r\n", 0},
		{"ends early", io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, nil, "2\r\nab\r\n", copier.Incomplete},
		{"receiver gone", strings.NewReader("abc"), 3, broken, "", copier.Unwritable},
		{"receiver gone at the end", strings.NewReader(""), -1, broken, "", copier.Unwritable},
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
