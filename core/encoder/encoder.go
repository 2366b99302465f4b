// Package encoder is the codec of stored configuration objects: JSON with kebab-case names.
//
// The domain types of configurator carry no struct tags. The wire types of this package do, and are mapped by hand.
// Unknown fields are refused, so that a misspelt field never falls back to its zero value.
//
// # Usage
//
//	body, err := encoder.Encode(service, configurator.Origin{Writer: "ana", Operation: "01J9"})
//	value, origin, err := encoder.Decode("config/service/shelf-marks", body)
package encoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
)

// Kind classifies the errors of this package.
type Kind int

// Kinds of errors.
const (
	// Malformed means that the bytes are not one JSON object.
	Malformed Kind = iota + 1
	// UnknownField means that the object has a field that its kind lacks.
	UnknownField
	// BadValue means that a field has a value of the wrong type or outside its set.
	BadValue
	// UnknownKind means that the name of the object, or the type of the value, belongs to no kind.
	UnknownKind
)

// Error is the error of all functions of this package.
type Error struct {
	Op    string // "encode" or "decode"
	Kind  Kind
	Field string // kebab case, "" when no single field is at fault
	Err   error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s: field %s: %v", e.Op, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// As presents an error with a field as a *configurator.Error, so that configurator.FieldsOf finds the field.
func (e *Error) As(target any) bool {
	typed, ok := target.(**configurator.Error)
	if !ok || e.Field == "" {
		return false
	}
	fields := []configurator.FieldError{{Field: e.Field, Problem: e.Err.Error()}}
	*typed = &configurator.Error{Op: e.Op, Kind: configurator.Unreadable, Fields: fields, Err: e.Err}
	return true
}

// Decode reads the object with the given name. It implements configurator.Decoder. The value is not validated. Its error
// is an *Error.
func Decode(name string, body []byte) (configurator.Value, configurator.Origin, error) {
	switch kind, _ := configurator.KindOf(name); configurator.Prefix + kind + "/" {
	case configurator.ServicePrefix:
		return decode(body, service.domain)
	case configurator.UpstreamPrefix:
		return decode(body, upstream.domain)
	case configurator.FailureDomainPrefix:
		return decode(body, failureDomain.domain)
	case configurator.WindowPrefix:
		return decode(body, window.domain)
	}
	err := errors.Newf("object %q belongs to no kind", name)
	return nil, configurator.Origin{}, &Error{Op: "decode", Kind: UnknownKind, Err: err}
}

// Encode returns the bytes of a stored object. Its error is an *Error.
func Encode(value configurator.Value, origin configurator.Origin) ([]byte, error) {
	wire, err := toWire(value, origin)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: BadValue, Err: err}
	}
	return body, nil
}

func toWire(value configurator.Value, origin configurator.Origin) (any, error) {
	switch typed := value.(type) {
	case configurator.Service:
		return serviceOf(typed, origin)
	case configurator.Upstream:
		return upstreamOf(typed, origin), nil
	case configurator.FailureDomain:
		return failureDomainOf(typed, origin), nil
	case configurator.Window:
		return windowOf(typed, origin)
	}
	return nil, &Error{Op: "encode", Kind: UnknownKind, Err: errors.Newf("%T belongs to no kind", value)}
}

func decode[W any](body []byte, domain func(W) (configurator.Value, configurator.Origin, error)) (
	configurator.Value, configurator.Origin, error) {
	var wire W
	if err := unmarshal(body, &wire); err != nil {
		return nil, configurator.Origin{}, err
	}
	return domain(wire)
}

// unmarshal reads exactly one JSON object.
func unmarshal(body []byte, wire any) error {
	reader := json.NewDecoder(bytes.NewReader(body))
	reader.DisallowUnknownFields()
	if err := reader.Decode(wire); err != nil {
		return jsonError(err)
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return &Error{Op: "decode", Kind: Malformed, Err: errors.New("data after the object")}
	}
	// The decoder accepts null for a struct and leaves it empty.
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return &Error{Op: "decode", Kind: Malformed, Err: errors.New("null is not an object")}
	}
	return nil
}

// jsonError finds the field in an error of encoding/json, which has a type for values but only a text for unknown fields.
func jsonError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		cause := errors.Newf("%s is not of type %s", mismatch.Value, mismatch.Type)
		return &Error{Op: "decode", Kind: BadValue, Field: mismatch.Field, Err: cause}
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		cause := errors.New("unknown field")
		return &Error{Op: "decode", Kind: UnknownField, Field: strings.Trim(field, `"`), Err: cause}
	}
	return &Error{Op: "decode", Kind: Malformed, Err: err}
}
