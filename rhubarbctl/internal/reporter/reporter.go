// Package reporter converts errors to messages on the error stream and to exit codes.
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
	CodeUsage       = 2 // invalid arguments, or a value that the daemon rejects
	CodeNotAccepted = 3 // the change had no effect, or the daemon cannot be reached
	CodeUnknown     = 4 // the change may have taken effect
	CodeConflict    = 5 // the object has another version
	CodeNotFound    = 6
	CodeDenied      = 7
	CodeCapacity    = 8 // insufficient capacity without the failure domain
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
	{CodeFailed, "other failure"},
	{CodeUsage, "invalid arguments or rejected values"},
	{CodeNotAccepted, "change not accepted, no effect"},
	{CodeUnknown, "outcome of the change unknown, check the operation"},
	{CodeConflict, "conflict, the object has another version"},
	{CodeNotFound, "not found"},
	{CodeDenied, "caller not authenticated or not authorized"},
	{CodeCapacity, "insufficient capacity, --force overrides"},
	{CodeUnhealthy, "status found a problem"},
	{CodeTimeout, "--wait timed out"},
	{CodeCancelled, "not confirmed"},
}

// Kind classifies the errors that originate in rhubarbctl. Its value is the exit code.
type Kind int

// Error is an error that originates in rhubarbctl, in contrast to errors that the daemon returns.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an *Error with an exit code and a formatted cause.
func Errorf(op string, code int, format string, args ...any) error {
	return &Error{Op: op, Kind: Kind(code), Err: errors.Newf(format, args...)}
}

// ChangeError classifies the error of an RPC that changes an object. Without a response from the daemon the outcome is
// unknown, unless the connection was never established.
func ChangeError(err error, operation string) error {
	if err == nil || FaultOf(err) != nil {
		return err
	}
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		return &Error{Op: "not accepted", Kind: CodeNotAccepted, Err: err}
	}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && connect.IsWireError(err) && connectErr.Code() != connect.CodeUnavailable {
		return err
	}
	return &Error{Op: "unknown, check operation " + operation, Kind: CodeUnknown, Err: err}
}

// FaultOf returns the Fault that the daemon attached to the error of a call, or nil.
func FaultOf(err error) *rhubarbtrackv1.Fault {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil
	}
	for _, detail := range connectErr.Details() {
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

// Code returns the exit code of an error, CodeOK for nil.
func Code(err error) int {
	var ownErr *Error
	var flagsErr *flags.Error
	var printErr *printer.Error
	var connectErr *connect.Error
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &ownErr):
		return int(ownErr.Kind)
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return CodeOK
	case errors.As(err, &flagsErr):
		return CodeUsage
	case errors.As(err, &printErr) && printErr.Kind == printer.UnknownField:
		return CodeUsage
	}
	if fault := FaultOf(err); fault != nil {
		for _, entry := range faultCodes {
			if entry.kind == fault.GetKind() {
				return entry.code
			}
		}
	}
	if errors.As(err, &connectErr) && connectErr.Code() == connect.CodeUnavailable {
		return CodeNotAccepted
	}
	return CodeFailed
}

// Report writes the message of an error to the error stream and returns its exit code. go-flags returns help as an
// error; its text goes to the output stream with CodeOK.
func Report(streams *printer.Streams, err error) int {
	if err == nil {
		return CodeOK
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(streams.Out, flagsErr.Message)
		return CodeOK
	}
	for _, line := range messageLines(err) {
		_, _ = fmt.Fprintln(streams.Err, "rhubarbctl: "+printer.Cell(line))
	}
	return Code(err)
}

func messageLines(err error) []string {
	fault := FaultOf(err)
	var connectErr *connect.Error
	if fault == nil || !errors.As(err, &connectErr) {
		return append(strings.Split(strings.TrimSpace(err.Error()), "\n"), outcomeHint(err)...)
	}
	lines := []string{connectErr.Message()}
	switch fault.GetKind() {
	case rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN:
		lines = append(lines, retryHint(fault.GetOperationId()))
	case rhubarbtrackv1.FaultKind_FAULT_KIND_CAPACITY:
		lines = append(lines, "use --force to take it out anyway")
	}
	return lines
}

func outcomeHint(err error) []string {
	var ownErr *Error
	if !errors.As(err, &ownErr) || ownErr.Kind != CodeUnknown {
		return nil
	}
	_, operation, found := strings.Cut(ownErr.Op, "check operation ")
	if !found {
		return nil
	}
	return []string{retryHint(operation)}
}

func retryHint(operation string) string {
	return fmt.Sprintf("run 'rhubarbctl change get %s', or retry the command with --operation-id %s", operation, operation)
}

// WarnIfStale writes a warning with the age of the returned state if the store does not answer the daemon.
func WarnIfStale(out io.Writer, freshness *rhubarbtrackv1.Freshness) {
	if freshness.GetStoreDown() {
		age := freshness.GetAge().AsDuration().Round(100 * time.Millisecond)
		_, _ = fmt.Fprintf(out, "rhubarbctl: the store does not answer, the state shown is %v old\n", age)
	}
}
