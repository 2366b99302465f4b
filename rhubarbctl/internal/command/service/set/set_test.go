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
		value := &rhubarbtrackv1.Service{Name: "marks", KeyHeader: "K"}
		resource := &rhubarbtrackv1.Resource{Version: 7, Value: &rhubarbtrackv1.Resource_Service{Service: value}}
		return &rhubarbtrackv1.GetResourceResponse{Resource: resource}, nil
	}
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		sent = request
		return &rhubarbtrackv1.PutResourceResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}}, nil
	}
	verb := set.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"marks", "--keyed", "--slice-count", "8", "--key-segment", "2", "--rule", "* /a never-repeat"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
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

// A word outside its set must be refused before anything is sent.
func TestSetRejectsInvalidClass(t *testing.T) {
	p := &provider.Provider{Context: t.Context()}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{}, nil
	}
	verb := set.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"marks", "--rule", "GET /a often"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(verb.Options.Execute(nil)), reporter.CodeUsage)
}
