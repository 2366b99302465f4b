package set_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/service/set"
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
		value := &rhubarbtrackv1.Service{Name: "marks", KeyHeader: "K"}
		resource := &rhubarbtrackv1.Resource{Version: 7, Value: &rhubarbtrackv1.Resource_Service{Service: value}}
		return &rhubarbtrackv1.GetResourceResponse{Resource: resource}, nil
	}
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		sent = request
		return &rhubarbtrackv1.PutResourceResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}}, nil
	}
	command := set.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"marks", "--keyed", "--slice-count", "8", "--key-segment", "2", "--rule", "* /a never-repeat"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, sent.GetOperationId(), "op-1")
	assert.Assert(t, sent.GetResource().GetService().GetKeyed())
	assert.Equal(t, sent.GetResource().GetService().GetKeySegment(), uint32(2))
	assert.Equal(t, sent.GetResource().GetService().GetKeyHeader(), "")
	assert.Equal(t, sent.GetResource().GetService().GetSliceCount(), uint32(8))
	rule := sent.GetResource().GetService().GetRules()[0]
	assert.Equal(t, rule.GetClass(), rhubarbtrackv1.Class_CLASS_NEVER_REPEAT)
	assert.Equal(t, rule.GetMethod(), "")
	assert.Equal(t, out.String(), "service marks\t8\top-1\tfalse\n")
}

// An unknown class must be rejected as a usage error before a write is sent.
func TestSetRejectsInvalidClass(t *testing.T) {
	p := &provider.Provider{Context: t.Context()}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{}, nil
	}
	command := set.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"marks", "--rule", "GET /a often"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(command.Options.Execute(nil)), reporter.CodeUsage)
}
