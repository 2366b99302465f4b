package validator_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/core/validator"
)

const tokens = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// check checks text in parts of the given size. It returns how many bytes belong to the head.
func check(head *validator.Head, text string, size int) (int, error) {
	read := 0
	for read < len(text) && !head.IsComplete() {
		n, err := head.Check([]byte(text[read:min(len(text), read+size)]))
		read += n
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

// Guards against a sound response that is rejected because of a rare form.
func TestSoundHeads(t *testing.T) {
	tests := []struct {
		name, head string
		status     int
	}{
		{"no fields", "HTTP/1.1 200 OK\r\n\r\n", 200},
		{"fields", "HTTP/1.1 404 Not Found\r\nA: 1\r\nContent-Length: 0\r\n\r\n", 404},
		{"lowest status", "HTTP/1.1 100 Continue\r\n\r\n", 100},
		{"highest status", "HTTP/1.1 599 x\r\n\r\n", 599},
		{"unknown status", "HTTP/1.1 299 x\r\n\r\n", 299},
		{"empty reason", "HTTP/1.1 200 \r\n\r\n", 200},
		{"no reason and no blank", "HTTP/1.1 200\r\n\r\n", 200},
		{"reason with tab and obsolete text", "HTTP/1.1 200 a\tb \xe4\xff\r\n\r\n", 200},
		{"version 1.0", "HTTP/1.0 200 OK\r\n\r\n", 200},
		{"higher minor version", "HTTP/1.9 200 OK\r\n\r\n", 200},
		{"single LF", "HTTP/1.1 200 OK\nA: 1\n\n", 200},
		{"every character of a token", "HTTP/1.1 200 OK\r\n" + tokens + ": 1\r\n\r\n", 200},
		{"blanks around a value", "HTTP/1.1 200 OK\r\nA: \t 1 \t\r\n\r\n", 200},
		{"no blank before a value", "HTTP/1.1 200 OK\r\nA:1\r\n\r\n", 200},
		{"empty value", "HTTP/1.1 200 OK\r\nA:\r\n\r\n", 200},
		{"value with colons and obsolete text", "HTTP/1.1 200 OK\r\nA: b:c: \x80\xff\r\n\r\n", 200},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200},
		{"names that differ from Transfer-Encoding", "HTTP/1.0 200 OK\r\nTransfer-Encodin: 1\r\nTransfer-Encodings: 1\r\nA: Transfer-Encoding: 1\r\n Transfer-Encoding: 1\r\n\r\n", 200},
		{"value on two lines", "HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n\t3\r\nB: 4\r\n\r\n", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 3, len(tt.head) + 10} {
				var head validator.Head
				n, err := check(&head, tt.head+"\x00body", size)
				assert.NilError(t, err)
				assert.Assert(t, head.IsComplete())
				assert.Equal(t, n, len(tt.head))
				assert.Equal(t, head.Status(), tt.status)
			}
		})
	}
}

// Guards against a head that is taken for a response although it is no message of HTTP/1.1.
func TestMalformedHeads(t *testing.T) {
	tests := []struct {
		name  string
		valid string // accepted bytes before the invalid one
		rest  string
		kind  validator.Kind
	}{
		{"status 000", "HTTP/1.1 ", "000 x\r\n\r\n", validator.StatusLine},
		{"status 099", "HTTP/1.1 ", "099 x\r\n\r\n", validator.StatusLine},
		{"status 600", "HTTP/1.1 ", "600 x\r\n\r\n", validator.StatusLine},
		{"status with a sign", "HTTP/1.1 ", "+20 x\r\n\r\n", validator.StatusLine},
		{"status of two digits", "HTTP/1.1 20", " x\r\n\r\n", validator.StatusLine},
		{"status of four digits", "HTTP/1.1 200", "0 x\r\n\r\n", validator.StatusLine},
		{"two blanks before the status", "HTTP/1.1 ", " 200 x\r\n\r\n", validator.StatusLine},
		{"tab before the status", "HTTP/1.1", "\t200 x\r\n\r\n", validator.StatusLine},
		{"tab after the status", "HTTP/1.1 200", "\tx\r\n\r\n", validator.StatusLine},
		{"version 2.0", "HTTP/", "2.0 200 x\r\n\r\n", validator.StatusLine},
		{"version 0.9", "HTTP/", "0.9 200 x\r\n\r\n", validator.StatusLine},
		{"version of two digits", "HTTP/1.1", "0 200 x\r\n\r\n", validator.StatusLine},
		{"lower case", "", "http/1.1 200 x\r\n\r\n", validator.StatusLine},
		{"empty line first", "", "\r\nHTTP/1.1 200 x\r\n\r\n", validator.StatusLine},
		{"no status", "HTTP/1.1", "\r\n\r\n", validator.StatusLine},
		{"control byte in the reason", "HTTP/1.1 200 O", "\x00K\r\n\r\n", validator.StatusLine},
		{"DEL in the reason", "HTTP/1.1 200 O", "\x7fK\r\n\r\n", validator.StatusLine},
		{"CR in the reason", "HTTP/1.1 200 O\r", "K\r\n\r\n", validator.LineEnd},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX", " Y: 1\r\n\r\n", validator.FieldName},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length", " : 4\r\n\r\n", validator.FieldName},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n", " X: 1\r\n\r\n", validator.FieldName},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX", "\x01Y: 1\r\n\r\n", validator.FieldName},
		{"tab in a name", "HTTP/1.1 200 OK\r\nX", "\tY: 1\r\n\r\n", validator.FieldName},
		{"DEL in a name", "HTTP/1.1 200 OK\r\nX", "\x7fY: 1\r\n\r\n", validator.FieldName},
		{"separator in a name", "HTTP/1.1 200 OK\r\nX", "@Y: 1\r\n\r\n", validator.FieldName},
		{"obsolete text in a name", "HTTP/1.1 200 OK\r\nX", "\xe4Y: 1\r\n\r\n", validator.FieldName},
		{"empty name", "HTTP/1.1 200 OK\r\nA: 1\r\n", ": 1\r\n\r\n", validator.FieldName},
		{"no colon", "HTTP/1.1 200 OK\r\nX", "\r\n\r\n", validator.FieldName},
		{"control byte in a value", "HTTP/1.1 200 OK\r\nX: a", "\x00b\r\n\r\n", validator.FieldValue},
		{"DEL in a value", "HTTP/1.1 200 OK\r\nX: a", "\x7fb\r\n\r\n", validator.FieldValue},
		{"CR in a value", "HTTP/1.1 200 OK\r\nX: a\r", "b\r\n\r\n", validator.LineEnd},
		{"two CR behind a value", "HTTP/1.1 200 OK\r\nX: a\r", "\r\n\r\n", validator.LineEnd},
		{"control byte on the second line of a value", "HTTP/1.1 200 OK\r\nX: a\r\n b", "\x02\r\n\r\n", validator.FieldValue},
		{"chunks in version 1.0", "HTTP/1.0 200 OK\r\nA: 1\r\ntransfer-ENCODING", ": chunked\r\n\r\n", validator.Framing},
		{"CR in the last line", "HTTP/1.1 200 OK\r\nX: a\r\n\r", "x\r\n\r\n", validator.LineEnd},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 3, 1000} {
				var head validator.Head
				n, err := check(&head, tt.valid+tt.rest, size)
				var typed *validator.Error
				assert.Assert(t, errors.As(err, &typed), "%v", err)
				assert.Equal(t, typed.Kind, tt.kind)
				assert.Equal(t, typed.Byte, tt.rest[0])
				assert.Equal(t, n, len(tt.valid)+1)
				assert.Assert(t, !head.IsComplete())
			}
		})
	}
}

// Guards against an interim response that ends the exchange, and against a wait for a response behind the last one.
func TestInterim(t *testing.T) {
	for status, want := range map[int]bool{100: true, 101: false, 102: true, 103: true, 199: true, 200: false, 500: false} {
		assert.Equal(t, validator.IsInterim(status), want, "status %d", status)
	}
}

// Guards against a verdict that depends on how the network splits a head.
func TestVerdictDoesNotDependOnParts(t *testing.T) {
	parts := []string{"HTTP/1.1 200 OK", "HTTP/1.1 000", "\r\n", "\n", "\r", " ", "\t", ":", "X", "X: 1\r\n", "X Y: 1\r\n", "\x00", "\xff"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(parts)).Draw(t, "parts"), "")
		size := rapid.IntRange(1, 8).Draw(t, "size")
		var whole, split validator.Head
		wantRead, wantErr := check(&whole, text, len(text)+1)
		read, err := check(&split, text, size)
		assert.Equal(t, read, wantRead)
		assert.DeepEqual(t, err, wantErr)
		assert.Equal(t, split, whole)
	})
}
