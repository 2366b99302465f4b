package reporter_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

func faultError(t *testing.T, code connect.Code, kind rhubarbtrackv1.FaultKind) error {
	t.Helper()
	connectErr := connect.NewError(code, errors.New("message"))
	detail, err := connect.NewErrorDetail(&rhubarbtrackv1.Fault{Kind: kind, OperationId: "op-1"})
	assert.NilError(t, err)
	connectErr.AddDetail(detail)
	return connectErr
}

// A change without a response may have taken effect. Reporting it as not accepted would claim that it had no effect.
// Only a connection that could not be established proves that it was not sent.
func TestChangeError(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	read := &net.OpError{Op: "read", Err: errors.New("connection reset")}
	cases := []struct {
		name string
		err  error
		code int
		hint bool
	}{
		{"success", nil, reporter.CodeOK, false},
		{"no connection", connect.NewError(connect.CodeUnavailable, dial), reporter.CodeNotAccepted, false},
		{"connection lost", connect.NewError(connect.CodeUnavailable, read), reporter.CodeUnknown, true},
		{"deadline exceeded", connect.NewError(connect.CodeDeadlineExceeded, errors.New("deadline exceeded")), reporter.CodeUnknown, true},
		{"conflict", faultError(t, connect.CodeAborted, rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT), reporter.CodeConflict, false},
		{"unknown outcome", faultError(t, connect.CodeUnknown, rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN), reporter.CodeUnknown, true},
		{"store unavailable", faultError(t, connect.CodeUnavailable, rhubarbtrackv1.FaultKind_FAULT_KIND_NOT_ACCEPTED),
			reporter.CodeNotAccepted, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var message strings.Builder
			code := reporter.Report(&printer.Streams{Out: &message, Err: &message}, reporter.ChangeError(test.err, "op-1"))
			assert.Equal(t, code, test.code)
			assert.Equal(t, strings.Contains(message.String(), "change get op-1"), test.hint, message.String())
		})
	}
}

// The age must be rounded: unrounded durations such as "5.627647868s" are hard to read.
func TestWarnIfStale(t *testing.T) {
	var out strings.Builder
	age := durationpb.New(5627647868 * time.Nanosecond)
	reporter.WarnIfStale(&out, &rhubarbtrackv1.Freshness{Age: age, StoreDown: true})
	assert.Equal(t, out.String(), "rhubarbctl: the store does not answer, the state shown is 5.6s old\n")
}
