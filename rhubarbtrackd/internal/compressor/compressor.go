// Package compressor compresses texts, against an earlier version if the receiver has that one.
//
// Versions of a configuration differ in a few routes. Against the former version, a configuration of 0.5 MB takes some hundred bytes, where
// it takes 40 kB by itself.
//
// # Usage
//
//	data, err := compressor.Compress(text, base) // base may be nil
//	text, err := compressor.Decompress(data, base, limit)
//
// The format is Zstandard, with base as the dictionary and a checksum, so another base is an error. Errors are of type *Error.
package compressor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Kind classifies errors of this package.
type Kind int

const (
	// Unreadable means that the data are not a compressed text, or that the base is another one.
	Unreadable Kind = iota + 1
	// TooLong means that the text exceeds its limit.
	TooLong
	// Failed means that the text could not be compressed.
	Failed
)

// Error is the type of the errors of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

const (
	// maxWindow is the distance in bytes up to which repetitions are found. It covers base and text of the longest configurations.
	maxWindow = 8 << 20
	// dictionaryID marks data that need a base.
	dictionaryID = 1
)

// Compress returns the compressed text. Decompress needs the same base.
func Compress(text, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(maxWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, &Error{"compress", Failed, err}
	}
	defer func() { _ = encoder.Close() }() // writes nothing, as EncodeAll is complete
	return encoder.EncodeAll(text, nil), nil
}

// Decompress returns a text of up to limit bytes.
func Decompress(data, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(maxWindow), zstd.WithDecoderMaxMemory(uint64(limit)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, &Error{"decompress", Failed, err}
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(data, nil)
	switch {
	case errors.IsAny(err, zstd.ErrDecoderSizeExceeded, zstd.ErrWindowSizeExceeded):
		return nil, &Error{"decompress", TooLong, errors.Newf("the text exceeds %d bytes", limit)}
	case err != nil:
		return nil, &Error{"decompress", Unreadable, err}
	}
	return text, nil
}

// Unzip returns a text of up to limit bytes in gzip format.
func Unzip(data []byte, limit int) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &Error{"unzip", Unreadable, err}
	}
	text, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	switch {
	case err != nil:
		return nil, &Error{"unzip", Unreadable, err}
	case len(text) > limit:
		return nil, &Error{"unzip", TooLong, errors.Newf("the text exceeds %d bytes", limit)}
	}
	return text, nil
}
