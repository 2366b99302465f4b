package drainer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind says why a request is refused.
type Kind int

// Kinds of errors.
const (
	// CapacityExceeded means that the rest cannot bear the demand.
	CapacityExceeded Kind = iota
	// OtherDomainOut means that another failure domain is out of service.
	OtherDomainOut
	// Overlap means that a window runs at the same time as one of another failure domain.
	Overlap
	// Invalid windows have an impossible start, length or weekday, or an unknown time zone.
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

// Error is the error type of this package.
type Error struct {
	Op         string
	Kind       Kind
	Err        error       // detail
	Shortfalls []Shortfall // for TooSmall
}

// Error returns operation, kind and detail.
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
