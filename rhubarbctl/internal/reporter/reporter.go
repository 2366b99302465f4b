// Package reporter turns errors into messages and exit codes.
//
// # Usage
//
//	os.Exit(reporter.Report(streams, err))
package reporter

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Exit codes of rhubarbctl.
const (
	CodeOK          = 0
	CodeFailed      = 1
	CodeUsage       = 2 // wrong arguments, or a value that the daemon refuses
	CodeNotAccepted = 3 // the change had no effect, or the daemon cannot be reached
	CodeUnknown     = 4 // the change may have taken effect
	CodeConflict    = 5 // the object has another version
	CodeNotFound    = 6
	CodeDenied      = 7
	CodeCapacity    = 8 // too little capacity without the failure domain
	CodeUnhealthy   = 9 // status found a problem
	CodeTimeout     = 10
	CodeCancelled   = 11 // the user did not confirm
)

// ExitCodes describes the exit codes for the help text.
var ExitCodes = []struct {
	Code int
	Text string
}{
	{CodeOK, "success"},
	{CodeFailed, "failure of another kind"},
	{CodeUsage, "wrong arguments or refused values"},
	{CodeNotAccepted, "change not accepted, it had no effect"},
	{CodeUnknown, "outcome of the change unknown, check the operation"},
	{CodeConflict, "conflict, the object has another version"},
	{CodeNotFound, "not found"},
	{CodeDenied, "caller unknown or role not sufficient"},
	{CodeCapacity, "too little capacity, --force overrides"},
	{CodeUnhealthy, "status found a problem"},
	{CodeTimeout, "--wait ended by its timeout"},
	{CodeCancelled, "not confirmed"},
}

// Kind classifies the errors that arise in rhubarbctl itself. It is the exit code.
type Kind int

// Error is an error that arises in rhubarbctl itself.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an error with an exit code.
func Errorf(op string, code int, format string, args ...any) error {
	return &Error{Op: op, Kind: Kind(code), Err: errors.Newf(format, args...)}
}

// ChangeError marks an error of a change call. Without an answer of the daemon the outcome is unknown, unless no connection was
// made.
func ChangeError(err error, operation string) error {
	if err == nil || FaultOf(err) != nil {
		return err
	}
	var refused *net.OpError
	if errors.As(err, &refused) && refused.Op == "dial" {
		return &Error{Op: "not accepted", Kind: CodeNotAccepted, Err: err}
	}
	var typed *connect.Error
	if errors.As(err, &typed) && connect.IsWireError(err) && typed.Code() != connect.CodeUnavailable {
		return err
	}
	return &Error{Op: "unknown, check operation " + operation, Kind: CodeUnknown, Err: err}
}

// FaultOf returns the Fault of a refused call, or nil.
func FaultOf(err error) *rhubarbtrackv1.Fault {
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return nil
	}
	for _, detail := range refusal.Details() {
		message, valueErr := detail.Value()
		if fault, ok := message.(*rhubarbtrackv1.Fault); ok && valueErr == nil {
			return fault
		}
	}
	return nil
}

var faultCodes = []struct {
	kind rhubarbtrackv1.FaultKind
	code int
}{
	{rhubarbtrackv1.FaultKind_FAULT_KIND_INVALID, CodeUsage},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT, CodeConflict},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_FOUND, CodeNotFound},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_ACCEPTED, CodeNotAccepted},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN, CodeUnknown},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_CAPACITY, CodeCapacity},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_DENIED, CodeDenied},
	{rhubarbtrackv1.FaultKind_FAULT_KIND_UNAUTHENTICATED, CodeDenied},
}

// Code returns the exit code of an error.
func Code(err error) int {
	var own *Error
	var usage *flags.Error
	var output *printer.Error
	var refusal *connect.Error
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &own):
		return int(own.Kind)
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return CodeOK
	case errors.As(err, &usage):
		return CodeUsage
	case errors.As(err, &output) && output.Kind == printer.UnknownField:
		return CodeUsage
	}
	if fault := FaultOf(err); fault != nil {
		for _, entry := range faultCodes {
			if entry.kind == fault.GetKind() {
				return entry.code
			}
		}
	}
	if errors.As(err, &refusal) && refusal.Code() == connect.CodeUnavailable {
		return CodeNotAccepted
	}
	return CodeFailed
}

// Report writes the message of an error and returns its exit code. Help goes to the output stream.
func Report(streams *printer.Streams, err error) int {
	if err == nil {
		return CodeOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(streams.Out, usage.Message)
		return CodeOK
	}
	for _, line := range message(err) {
		_, _ = fmt.Fprintln(streams.Err, "rhubarbctl: "+printer.Cell(line))
	}
	return Code(err)
}

func message(err error) []string {
	fault := FaultOf(err)
	var refusal *connect.Error
	if fault == nil || !errors.As(err, &refusal) {
		return append(strings.Split(strings.TrimSpace(err.Error()), "\n"), hint(err)...)
	}
	lines := []string{refusal.Message()}
	switch fault.GetKind() {
	case rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN:
		lines = append(lines, checkHint(fault.GetOperationId()))
	case rhubarbtrackv1.FaultKind_FAULT_KIND_CAPACITY:
		lines = append(lines, "--force takes it out nevertheless")
	}
	return lines
}

func hint(err error) []string {
	var own *Error
	if !errors.As(err, &own) || own.Kind != CodeUnknown {
		return nil
	}
	_, operation, found := strings.Cut(own.Op, "check operation ")
	if !found {
		return nil
	}
	return []string{checkHint(operation)}
}

func checkHint(operation string) string {
	return fmt.Sprintf("run 'rhubarbctl change get %s', or repeat the command with --operation-id %s", operation, operation)
}

// WarnIfStale warns when an answer is not current.
func WarnIfStale(out io.Writer, freshness *rhubarbtrackv1.Freshness) {
	if freshness.GetStoreDown() {
		age := freshness.GetAge().AsDuration().Round(100 * time.Millisecond)
		_, _ = fmt.Fprintf(out, "rhubarbctl: the store does not answer, the state shown is %v old\n", age)
	}
}
