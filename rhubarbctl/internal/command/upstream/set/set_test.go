package set_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/upstream/set"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Values that are not given must stay, and the write must depend on the version that was read.
func TestSet(t *testing.T) {
	var out strings.Builder
	var sent *rhubarbtrackv1.PutResourceRequest
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		value := &rhubarbtrackv1.Upstream{Name: "p1", Service: "marks", Address: "10.0.0.1:80", ChecksFence: true, Drained: true}
		resource := &rhubarbtrackv1.Resource{Version: 7, Value: &rhubarbtrackv1.Resource_Upstream{Upstream: value}}
		return &rhubarbtrackv1.GetResourceResponse{Resource: resource}, nil
	}
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		sent = request
		return &rhubarbtrackv1.PutResourceResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}}, nil
	}
	verb := set.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"marks.p1", "--slots", "8", "--checks-fence", "no"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, sent.GetOperationId(), "op-1")
	value := sent.GetResource().GetUpstream()
	assert.Equal(t, value.GetSlots(), uint32(8))
	assert.Equal(t, value.GetAddress(), "10.0.0.1:80")
	assert.Assert(t, !value.GetChecksFence())
	assert.Assert(t, value.GetDrained())
	assert.Equal(t, out.String(), "upstream marks.p1\t8\top-1\tfalse\n")
}

// A word outside its set must be refused before anything is sent.
func TestSetRejectsNameWithoutService(t *testing.T) {
	p := &provider.Provider{Context: t.Context()}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{}, nil
	}
	verb := set.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"p1"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(verb.Options.Execute(nil)), reporter.CodeUsage)
}
