package deleter_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/deleter"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Without confirmation, a deletion must send nothing. Without the version that was read or given, it would delete an
// object that someone else has changed in the meantime.
func TestDelete(t *testing.T) {
	cases := []struct {
		args    []string
		code    int
		version uint64
	}{
		{[]string{"east"}, reporter.CodeUsage, 0},
		{[]string{"east", "--yes"}, reporter.CodeOK, 7},
		{[]string{"east", "--yes", "--expected-version", "5", "--operation-id", "op-1"}, reporter.CodeOK, 5},
	}
	for _, test := range cases {
		var out strings.Builder
		var sent *rhubarbtrackv1.DeleteResourceRequest
		p := &provider.Provider{
			Context:        t.Context(),
			Streams:        &printer.Streams{Out: &out, Err: &out},
			NewOperationID: func() string { return "op-1" },
		}
		p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
			*rhubarbtrackv1.GetResourceResponse, error) {
			return &rhubarbtrackv1.GetResourceResponse{Resource: &rhubarbtrackv1.Resource{Version: 7}}, nil
		}
		p.Calls.DeleteResource = func(_ context.Context, request *rhubarbtrackv1.DeleteResourceRequest) (
			*rhubarbtrackv1.DeleteResourceResponse, error) {
			sent = request
			result := &rhubarbtrackv1.ChangeResult{OperationId: request.GetOperationId(), Version: 9}
			return &rhubarbtrackv1.DeleteResourceResponse{Result: result}, nil
		}
		command := deleter.New(p, converter.FailureDomain, "", nil, nil)
		_, err := flags.ParseArgs(command.Options, test.args)
		assert.NilError(t, err)
		assert.Equal(t, reporter.Code(command.Options.Execute(nil)), test.code)
		assert.Equal(t, sent.GetExpectedVersion(), test.version)
		if test.code == reporter.CodeOK {
			assert.Equal(t, out.String(), "failure-domain east\t9\top-1\tfalse\n")
		}
	}
}
