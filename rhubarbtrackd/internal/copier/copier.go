// Package copier passes long bodies on in the framing of HTTP/1.1.
//
// # Usage
//
//	err := copier.Copy(write, body, length) // length -1: in chunks
//	if copier.KindOf(err) == copier.Incomplete { ... }
//
// The caller writes the head before. After an error the receiver must not be able to take what was sent for the whole.
package copier

import (
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// blockSize is the most that is read at once: the bytes of a few packets, so that bodies are passed on as they come.
const blockSize = 16 << 10

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	// Incomplete means that the body could not be read to its end.
	Incomplete Kind = iota + 1
	// Unwritable means that the receiver took no more.
	Unwritable
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or 0.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return 0
}

// Copy passes body to write, block by block. A body of unknown length, which is -1, goes in chunks.
func Copy(write func([]byte) error, body io.Reader, length int64) error {
	block := make([]byte, blockSize)
	for {
		n, err := body.Read(block)
		if n > 0 {
			data := block[:n]
			if length < 0 {
				data = append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
				data = append(append(data, block[:n]...), "\r\n"...)
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
