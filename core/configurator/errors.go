package configurator

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// Invalid means that a value of the object is not acceptable on its own.
	Invalid Kind = iota + 1
	// Unreadable means that the bytes of the object are not in the expected format.
	Unreadable
	// Misnamed means that the name of the object belongs to no kind, or differs from the name in its value.
	Misnamed
	// DanglingReference means that the change would leave a reference to something that does not exist.
	DanglingReference
	// Overlapping means that a cleaning window would overlap another one.
	Overlapping
	// Immutable means that the change affects a field that cannot change after creation.
	Immutable
)

var kindNames = []struct {
	kind Kind
	name string
}{
	{Invalid, "invalid"},
	{Unreadable, "unreadable"},
	{Misnamed, "misnamed"},
	{DanglingReference, "dangling"},
	{Overlapping, "overlapping"},
	{Immutable, "fixed"},
}

// String returns the name of the kind in kebab case.
func (k Kind) String() string {
	for _, entry := range kindNames {
		if entry.kind == k {
			return entry.name
		}
	}
	return "unknown"
}

// FieldError names one field at fault.
type FieldError struct {
	Field   string // kebab case, as in the stored object: "rules[2].path"
	Problem string
}

// Error is the error of all functions of this package.
type Error struct {
	Op     string // "merge", "validate", "check" or "check-delete"
	Kind   Kind
	Object string       // name of the object: "config/service/shelf-marks"
	Fields []FieldError // the fields at fault, in the order of the object
	Err    error        // cause, may be nil
}

// Error implements the error interface.
func (e *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %s", e.Op, e.Object, e.Kind)
	for _, field := range e.Fields {
		fmt.Fprintf(&text, "; %s: %s", field.Field, field.Problem)
	}
	if e.Err != nil {
		fmt.Fprintf(&text, ": %v", e.Err)
	}
	return text.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FieldsOf returns the fields at fault of the first Error in the chain of err, or nil.
func FieldsOf(err error) []FieldError {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Fields
	}
	return nil
}
