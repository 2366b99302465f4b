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

// Guards against two lost updates: a modification that resets the values that are not given, and a write without the
// version that was read, which overwrites a concurrent change.
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
	command := set.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"marks.p1", "--slots", "8", "--checks-fence", "no"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, sent.GetOperationId(), "op-1")
	value := sent.GetResource().GetUpstream()
	assert.Equal(t, value.GetSlots(), uint32(8))
	assert.Equal(t, value.GetAddress(), "10.0.0.1:80")
	assert.Assert(t, !value.GetChecksFence())
	assert.Assert(t, value.GetDrained())
	assert.Equal(t, out.String(), "upstream marks.p1\t8\top-1\tfalse\n")
}

// A name without a service must be rejected as a usage error before a write is sent.
func TestSetRejectsNameWithoutService(t *testing.T) {
	p := &provider.Provider{Context: t.Context()}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{}, nil
	}
	command := set.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"p1"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(command.Options.Execute(nil)), reporter.CodeUsage)
}
