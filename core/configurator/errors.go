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
	// Invalid means that a field of the object has an invalid value, regardless of other objects.
	Invalid Kind = iota + 1
	// Unreadable means that the object could not be decoded.
	Unreadable
	// Misnamed means that the name of the object has the prefix of no kind, or does not match the name in its value.
	Misnamed
	// DanglingReference means that the change would result in a reference to an object that does not exist.
	DanglingReference
	// Overlapping means that the cleaning window overlaps another one.
	Overlapping
	// Immutable means that the change affects a field that cannot be changed after creation.
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

// FieldError describes one invalid field of an object.
type FieldError struct {
	Field   string // path in kebab case, as in the stored object: "rules[2].path"
	Problem string
}

// Error is returned by all functions of this package that return an error.
type Error struct {
	Op     string // "merge", "validate", "check" or "check-delete"
	Kind   Kind
	Object string       // name of the object: "config/service/shelf-marks"
	Fields []FieldError // invalid fields, in the order of the object
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

// FieldsOf returns the invalid fields of the first Error in the chain of err, or nil.
func FieldsOf(err error) []FieldError {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Fields
	}
	return nil
}
