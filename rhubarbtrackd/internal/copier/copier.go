// Package copier writes long bodies with the framing of HTTP/1.1.
//
// # Usage
//
//	err := copier.Copy(write, body, length) // length -1: chunked
//	if copier.KindOf(err) == copier.Incomplete { ... }
//
// The caller writes the header before, and its framing must match length. After an error the caller must close the
// connection, so that the receiver cannot mistake the truncated body for a complete one.
package copier

import (
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// BlockSize is the maximum number of bytes of one read. It is a few packets, so that bodies are sent on as they arrive.
const BlockSize = 16 << 10

// Kind classifies errors of this package.
type Kind int

const (
	// Incomplete means that reading the body failed before its end, or that it has another length.
	Incomplete Kind = iota + 1
	// Unwritable means that a write to the receiver failed.
	Unwritable
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or 0.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return 0
}

// Copy reads body to its end and passes it to write in blocks. If length is -1, each block is written as one chunk,
// followed by the last chunk at the end. Otherwise the body must have that length, and no byte beyond it is written. Errors are of
// type *Error.
func Copy(write func([]byte) error, body io.Reader, length int64) error {
	block := make([]byte, BlockSize)
	var chunk []byte // reused: a long body would fill the heap with one chunk for each block
	copied := int64(0)
	for {
		n, err := body.Read(block)
		if copied += int64(n); length >= 0 && (copied > length || (err == io.EOF && copied < length)) {
			return &Error{"read-body", Incomplete, errors.Newf("the body has another length than %d bytes", length)}
		}
		if n > 0 {
			data := block[:n]
			if length < 0 {
				chunk = append(strconv.AppendInt(chunk[:0], int64(n), 16), "\r\n"...)
				chunk = append(append(chunk, block[:n]...), "\r\n"...)
				data = chunk
			}
			if err := write(data); err != nil {
				return &Error{"write-body", Unwritable, err}
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return &Error{"read-body", Incomplete, err}
		}
	}
	if length < 0 {
		if err := write([]byte("0\r\n\r\n")); err != nil {
			return &Error{"write-body", Unwritable, err}
		}
	}
	return nil
}
