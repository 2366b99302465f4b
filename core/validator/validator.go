// Package validator checks the heads of HTTP/1.1 responses against the grammar of RFC 9112.
//
// The parser of net/http accepts more than that: every status of three characters that is an integer of at least 0, blanks within
// the name of a field and before its colon, and any byte in the reason. A field such as "Content-Length : 4" is then an unknown
// one, so that the body ends elsewhere than the sender meant. What such bytes say cannot be relied on. They are no response: they
// are not passed on, no byte behind them is parsed, and they prove neither that a request has run nor that it has not.
//
// A head of version 1.0 with a Transfer-Encoding field is rejected as well: that version has none, and net/http takes the encoded
// bytes for the body.
//
// A head is accepted if a recipient may accept it by RFC 9112: a line may end with a single LF, a value may continue on the next
// line after a blank, the blank before an empty reason may be missing, and the minor version may be any digit.
//
// # Usage
//
//	var head validator.Head
//	for !head.IsComplete() {
//		n, err := head.Check(next())
//		...
//	}
//	if validator.IsInterim(head.Status()) { ... }
//
// Errors are of type *Error.
package validator

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Kind classifies errors of this package.
type Kind int

const (
	// StatusLine means that the version, the status or the reason is invalid.
	StatusLine Kind = iota + 1
	// FieldName means that the name of a field is invalid, or that its colon is missing.
	FieldName
	// FieldValue means that the value of a field is invalid.
	FieldValue
	// LineEnd means that a CR is not followed by an LF.
	LineEnd
	// Framing means that a head of version 1.0 has a Transfer-Encoding field.
	Framing
)

// parts are the names of the kinds in texts of errors.
var parts = map[Kind]string{
	StatusLine: "the status line", FieldName: "the name of a field", FieldValue: "the value of a field", LineEnd: "the end of a line",
	Framing: "a field that version 1.0 does not have",
}

// Error is the type of the errors of this package. Op names the failed operation, Byte is the first byte that breaks the grammar.
type Error struct {
	Op   string
	Kind Kind
	Byte byte
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: invalid byte 0x%02x in %s", e.Op, e.Byte, parts[e.Kind])
}

// position is where the next byte of a head belongs.
type position int

const (
	atStart     position = iota // the version, the blank after it, or the status
	afterStatus                 // the blank before the reason, or the end of the line
	inReason
	atLine // the first byte of a line behind the status line
	inName
	inValue
	afterReturn     // the LF behind a CR
	afterLastReturn // the LF behind the CR of the empty line
	complete
)

// Head is the head of one response, of which a part has been checked. The zero value is a head without bytes. It is not safe for
// concurrent use.
type Head struct {
	position    position
	read        int // bytes of the version, the blank and the status
	status      int
	hasFields   bool
	isVersion10 bool
	matched     int // bytes of transferEncoding that the present name begins with; -1: it is another name
}

// transferEncoding is the name of the field, in lower case.
const transferEncoding = "transfer-encoding"

const (
	// versionPrefix is followed by a digit, a blank and the three digits of the status.
	versionPrefix = "HTTP/1."
	minorAt       = len(versionPrefix)
	blankAt       = minorAt + 1
	statusAt      = blankAt + 1
	startLength   = statusAt + 3
)

// IsComplete reports whether the empty line at the end of the head has been checked.
func (h *Head) IsComplete() bool { return h.position == complete }

// Status returns the status of a complete head, from 100 to 599.
func (h *Head) Status() int { return h.status }

// IsInterim reports whether a response with the status is followed by another one to the same request. A response with status 101
// is the last one in HTTP.
func IsInterim(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Check checks the next bytes of a response and returns how many of them belong to its head. With an error, of type *Error, the last
// one of these is invalid, and the head must not be checked further.
func (h *Head) Check(data []byte) (int, error) {
	for i, b := range data {
		if h.IsComplete() {
			return i, nil
		}
		if !h.accept(b) {
			return i + 1, &Error{"check-head", h.kindOf(b), b}
		}
	}
	return len(data), nil
}

// kindOf returns the kind of an error at the present position.
func (h *Head) kindOf(invalid byte) Kind {
	switch h.position {
	case inName:
		if invalid == ':' {
			return Framing
		}
		return FieldName
	case atLine:
		return FieldName
	case inValue:
		return FieldValue
	case afterReturn, afterLastReturn:
		return LineEnd
	}
	return StatusLine
}

// accept moves to the position after b. It returns false, and does not move, if b is invalid.
func (h *Head) accept(b byte) bool {
	switch h.position {
	case atStart:
		return h.acceptStart(b)
	case afterStatus:
		if b == ' ' {
			return h.move(true, inReason)
		}
		return h.acceptLineEnd(b)
	case inReason, inValue:
		return isText(b) || h.acceptLineEnd(b)
	case atLine:
		return h.acceptLineStart(b)
	case inName:
		if b == ':' {
			return h.move(!h.isVersion10 || h.matched != len(transferEncoding), inValue)
		}
		h.match(b)
		return isToken(b)
	case afterReturn:
		return h.move(b == '\n', atLine)
	case afterLastReturn:
		return h.move(b == '\n', complete)
	}
	return false
}

// move moves to the next position if the last byte is valid. It returns isValid.
func (h *Head) move(isValid bool, next position) bool {
	if isValid {
		h.position = next
	}
	return isValid
}

// acceptStart accepts the version, the blank after it and the status.
func (h *Head) acceptStart(b byte) bool {
	at := h.read
	h.read++
	isDigit := '0' <= b && b <= '9'
	switch {
	case at < minorAt:
		return b == versionPrefix[at]
	case at == minorAt:
		h.isVersion10 = b == '0'
		return isDigit
	case at == blankAt:
		return b == ' '
	case at == statusAt && (b < '1' || b > '5'):
		return false
	}
	h.status = h.status*10 + int(b-'0')
	if h.read < startLength {
		return isDigit
	}
	return h.move(isDigit, afterStatus)
}

// acceptLineEnd accepts the end of a line with content.
func (h *Head) acceptLineEnd(b byte) bool {
	if b == '\r' {
		return h.move(true, afterReturn)
	}
	return h.move(b == '\n', atLine)
}

// acceptLineStart accepts the first byte of a line behind the status line.
func (h *Head) acceptLineStart(b byte) bool {
	switch b {
	case '\r':
		return h.move(true, afterLastReturn)
	case '\n':
		return h.move(true, complete)
	case ' ', '\t':
		// The line continues the value before.
		return h.move(h.hasFields, inValue)
	}
	h.hasFields, h.matched = true, 0
	h.match(b)
	return h.move(isToken(b), inName)
}

// match compares the next byte of a name with transferEncoding.
func (h *Head) match(b byte) {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	if h.matched < 0 || h.matched == len(transferEncoding) || b != transferEncoding[h.matched] {
		h.matched = -1
		return
	}
	h.matched++
}

// isText reports whether a reason or a value may hold b: every byte but control bytes, apart from tabs.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func isToken(b byte) bool { return httpguts.IsTokenRune(rune(b)) }
