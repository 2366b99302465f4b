package list_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/audit/list"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// The objects before and after a change appear only in the JSON form, which scripts read. In the tab-separated form
// they would make lines unreadable.
func TestList(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	p.Calls.ListAudit = func(_ context.Context, request *rhubarbtrackv1.ListAuditRequest) (
		*rhubarbtrackv1.ListAuditResponse, error) {
		assert.Equal(t, request.GetLimit(), uint32(30))
		return &rhubarbtrackv1.ListAuditResponse{Records: []*rhubarbtrackv1.AuditRecord{{
			Time: timestamppb.New(time.Unix(0, 0)), Writer: "ana", Call: "DrainUpstream", Object: request.GetObject(),
			Result: rhubarbtrackv1.AuditResult_AUDIT_RESULT_REFUSED, OperationId: "op-1", Problem: "denied", Before: "{}",
		}}}, nil
	}
	command := list.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"--object", "config/service/marks"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, out.String(), "1970-01-01T00:00:00Z\tana\tDrainUpstream\tconfig/service/marks\trefused\top-1\tdenied\n")
	out.Reset()
	_, err = flags.ParseArgs(command.Options, []string{"--json", "before"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, out.String(), "[\n  {\n    \"before\": \"{}\"\n  }\n]\n")
}
