// Package encoder encodes and decodes stored configuration objects: JSON with kebab-case names.
//
// The domain types of configurator carry no struct tags. The wire types of this package do, and are mapped to them by
// hand. Unknown fields are rejected, because a misspelt field would otherwise silently get its zero value.
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
	// BadValue means that a field has a value of the wrong type or outside its allowed set.
	BadValue
	// UnknownKind means that the name of the object, or the type of the value, is not that of any kind of object.
	UnknownKind
)

// Error is the type of all errors that this package creates.
type Error struct {
	Op    string // "encode" or "decode"
	Kind  Kind
	Field string // kebab case, "" if the error does not concern a single field
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

// As converts an error with a field to a *configurator.Error, so that configurator.FieldsOf finds the field.
func (e *Error) As(target any) bool {
	typed, ok := target.(**configurator.Error)
	if !ok || e.Field == "" {
		return false
	}
	fields := []configurator.FieldError{{Field: e.Field, Problem: e.Err.Error()}}
	*typed = &configurator.Error{Op: e.Op, Kind: configurator.Unreadable, Fields: fields, Err: e.Err}
	return true
}

// Decode decodes the object with the given name. It implements configurator.Decoder. It does not validate the value.
// Its error is an *Error.
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
	err := errors.Newf("kind of object %q is unknown", name)
	return nil, configurator.Origin{}, &Error{Op: "decode", Kind: UnknownKind, Err: err}
}

// Encode encodes an object for the store. Its error is an *Error.
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
	return nil, &Error{Op: "encode", Kind: UnknownKind, Err: errors.Newf("%T is not a kind of object", value)}
}

func decode[W any](body []byte, domain func(W) (configurator.Value, configurator.Origin, error)) (
	configurator.Value, configurator.Origin, error) {
	var wire W
	if err := unmarshal(body, &wire); err != nil {
		return nil, configurator.Origin{}, err
	}
	return domain(wire)
}

// unmarshal decodes exactly one JSON object and rejects other data after it.
func unmarshal(body []byte, wire any) error {
	reader := json.NewDecoder(bytes.NewReader(body))
	reader.DisallowUnknownFields()
	if err := reader.Decode(wire); err != nil {
		return jsonError(err)
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return &Error{Op: "decode", Kind: Malformed, Err: errors.New("data after the object")}
	}
	// encoding/json accepts null for a struct and leaves the struct unchanged.
	if bytes.Equal(bytes.TrimSpace(body), []byte("null")) {
		return &Error{Op: "decode", Kind: Malformed, Err: errors.New("null is not an object")}
	}
	return nil
}

// jsonError extracts the field from an error of encoding/json. That package has an error type for values of the wrong
// type, but reports unknown fields only in the text of an error.
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
