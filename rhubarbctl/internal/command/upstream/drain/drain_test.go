package drain_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/upstream/drain"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Without the version that was read, a drain would overwrite a concurrent change. --undo must clear the drain.
func TestDrain(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	var sent *rhubarbtrackv1.DrainUpstreamRequest
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{Resource: &rhubarbtrackv1.Resource{Version: 7}}, nil
	}
	p.Calls.DrainUpstream = func(_ context.Context, request *rhubarbtrackv1.DrainUpstreamRequest) (
		*rhubarbtrackv1.DrainUpstreamResponse, error) {
		sent = request
		return &rhubarbtrackv1.DrainUpstreamResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}}, nil
	}
	command := drain.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"marks.p1", "--undo"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, sent.GetName(), "marks.p1")
	assert.Assert(t, !sent.GetDrained())
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, out.String(), "upstream marks.p1\t8\top-1\tfalse\n")
}
