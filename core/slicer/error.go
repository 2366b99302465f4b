package slicer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind is the reason why an operation on a table failed.
type Kind int

// Kinds of errors.
const (
	// Invalid means that a table or an argument violates an invariant, see Table.Validate.
	Invalid Kind = iota
	// Stale means that a delta ends at the version of the table or an earlier one.
	Stale
	// Gap means that a delta does not start at the version of the table. The caller must read the full table.
	Gap
	// Unknown means that a slice or key is not in the table.
	Unknown
	// Full means that the table cannot contain another hot key or slice.
	Full
	// Conflict means that slices have different owners, that a key is already a hot key, or that a delta is for another
	// service.
	Conflict
	// Incomplete means that chunks are missing, duplicated or of different versions.
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

// Error is returned by all functions of this package that return an error.
type Error struct {
	Op   string
	Kind Kind
	Err  error // detail
}

// Error implements the error interface.
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
