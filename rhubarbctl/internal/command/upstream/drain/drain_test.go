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

// The drain must be conditional on the version that was read, and --undo must end it.
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
	verb := drain.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"marks.p1", "--undo"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, sent.GetName(), "marks.p1")
	assert.Assert(t, !sent.GetDrained())
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, out.String(), "upstream marks.p1\t8\top-1\tfalse\n")
}
