package operator

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Kind classifies the errors of this package and of the Store functions.
type Kind int

// Kinds of errors.
const (
	// Invalid means that fields of the request have invalid values.
	Invalid Kind = iota + 1
	// Conflict means that the expected version differs from the current version.
	Conflict
	// NotFound means that the object or operation does not exist.
	NotFound
	// NotAccepted means that the change certainly had no effect.
	NotAccepted
	// Unknown means that the change may or may not have taken effect.
	Unknown
	// Capacity means that taking out a failure domain would leave too little capacity.
	Capacity
	// Denied means that the role of the caller does not permit the call.
	Denied
	// Unauthenticated means that the caller could not be authenticated.
	Unauthenticated
)

var kinds = []struct {
	kind  Kind
	name  string
	code  connect.Code
	fault rhubarbtrackv1.FaultKind
}{
	{Invalid, "invalid", connect.CodeInvalidArgument, rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID},
	{Conflict, "conflict", connect.CodeAborted, rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT},
	{NotFound, "not found", connect.CodeNotFound, rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_FOUND},
	{NotAccepted, "not accepted", connect.CodeUnavailable, rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_ACCEPTED},
	{Unknown, "unknown", connect.CodeUnknown, rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN},
	{Capacity, "capacity", connect.CodeFailedPrecondition, rhubarbtrackv1.FaultKind_FAULT_KIND_CAPACITY},
	{Denied, "denied", connect.CodePermissionDenied, rhubarbtrackv1.FaultKind_FAULT_KIND_DENIED},
	{Unauthenticated, "unauthenticated", connect.CodeUnauthenticated, rhubarbtrackv1.FaultKind_FAULT_KIND_UNAUTHENTICATED},
}

// String returns the name of the kind.
func (k Kind) String() string {
	for _, entry := range kinds {
		if entry.kind == k {
			return entry.name
		}
	}
	return "unclassified"
}

// Error is the type of all errors that this package creates, and of the classified errors of the Store functions.
type Error struct {
	Op         string // call, or store function
	Kind       Kind
	Err        error                     // cause, may be nil
	Operation  string                    // operation ID of the change
	Fields     []configurator.FieldError // invalid fields, for Invalid
	Expected   uint64                    // expected version, for Conflict
	Current    uint64                    // current version, for Conflict
	Stored     Object                    // current object, set by Store functions for Conflict
	Shortfalls []Shortfall               // for Capacity
}

// Error returns the kind followed by the details. Op is not part of the text.
func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(e.Kind.String())
	switch e.Kind {
	case Conflict:
		fmt.Fprintf(&text, ": expected version %d, current version %d", e.Expected, e.Current)
	case Unknown:
		fmt.Fprintf(&text, ", check operation %s", e.Operation)
	}
	for _, field := range e.Fields {
		fmt.Fprintf(&text, "; %s: %s", field.Field, field.Problem)
	}
	for _, shortfall := range e.Shortfalls {
		fmt.Fprintf(&text, "; %s", shortfall.Text)
	}
	if e.Err != nil {
		fmt.Fprintf(&text, ": %v", e.Err)
	}
	return text.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// kindOf returns the kind of err, or Unknown for any other error, because the outcome of a write is then unknown.
func kindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Unknown
}

// invalid converts a validation error of configurator, with its fields.
func invalid(err error) *Error {
	return &Error{Kind: Invalid, Fields: configurator.FieldsOf(err)}
}

func invalidField(field, problem string) *Error {
	return &Error{Kind: Invalid, Fields: []configurator.FieldError{{Field: field, Problem: problem}}}
}

// connectError converts an error to a Connect error that has a Fault as its detail.
func connectError(err *Error) error {
	code, fault := connect.CodeInternal, rhubarbtrackv1.FaultKind_FAULT_KIND_UNSPECIFIED
	for _, entry := range kinds {
		if entry.kind == err.Kind {
			code, fault = entry.code, entry.fault
		}
	}
	message := &rhubarbtrackv1.Fault{
		Kind:            fault,
		OperationId:     err.Operation,
		ExpectedVersion: err.Expected,
		CurrentVersion:  err.Current,
		Shortfalls:      shortfallMessages(err.Shortfalls),
	}
	for _, field := range err.Fields {
		message.Fields = append(message.Fields, &rhubarbtrackv1.FieldFault{Field: field.Field, Problem: field.Problem})
	}
	converted := connect.NewError(code, err)
	if detail, detailErr := connect.NewErrorDetail(message); detailErr == nil {
		converted.AddDetail(detail)
	}
	return converted
}
