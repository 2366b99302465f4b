package slicer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind says what is wrong with an operation on a table.
type Kind int

// Kinds of errors.
const (
	// Invalid tables, chunks or arguments break an invariant.
	Invalid Kind = iota
	// Stale deltas lead to a version that the table has reached or passed.
	Stale
	// Gap means that a delta starts at a version that the table does not have; the whole table has to be read.
	Gap
	// Unknown slices or keys are not in the table.
	Unknown
	// Full means that the table has no room for another hot key.
	Full
	// Conflict means that slices have different owners or that a key is hot already.
	Conflict
	// Incomplete sets of chunks lack one or mix versions.
	Incomplete
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := []string{"invalid", "stale", "gap", "unknown", "full", "conflict", "incomplete"}
	if k < 0 || int(k) >= len(names) {
		return fmt.Sprintf("kind %d", int(k))
	}
	return names[k]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error // detail
}

// Error returns operation, kind and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the detail.
func (e *Error) Unwrap() error {
	return e.Err
}

func fail(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Newf(format, args...)}
}
