package drainer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind is the reason why a request was rejected.
type Kind int

// Kinds of errors.
const (
	// CapacityExceeded means that the demand exceeds the capacity that would remain.
	CapacityExceeded Kind = iota
	// OtherDomainOut means that another failure domain is out of service.
	OtherDomainOut
	// Overlap means that a window overlaps one of another failure domain.
	Overlap
	// Invalid means that the start, length or weekday of a window is out of range, or its time zone is unknown.
	Invalid
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := []string{"capacity exceeded", "other domain out", "overlap", "invalid"}
	if k < 0 || int(k) >= len(names) {
		return fmt.Sprintf("kind %d", int(k))
	}
	return names[k]
}

// Error is returned by all functions of this package that return an error.
type Error struct {
	Op         string
	Kind       Kind
	Err        error       // detail
	Shortfalls []Shortfall // for CapacityExceeded
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the detail.
func (e *Error) Unwrap() error {
	return e.Err
}

func fail(op string, kind Kind, shortfalls []Shortfall, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: errors.Newf(format, args...), Shortfalls: shortfalls}
}
