package set_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/window/set"
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
		value := &rhubarbtrackv1.Window{Name: "w", Start: "03:00"}
		resource := &rhubarbtrackv1.Resource{Version: 7, Value: &rhubarbtrackv1.Resource_Window{Window: value}}
		return &rhubarbtrackv1.GetResourceResponse{Resource: resource}, nil
	}
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		sent = request
		return &rhubarbtrackv1.PutResourceResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}}, nil
	}
	verb := set.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"w", "--weekday", "sunday", "--minutes", "30"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, sent.GetOperationId(), "op-1")
	value := sent.GetResource().GetWindow()
	assert.Equal(t, value.GetWeekday(), rhubarbtrackv1.Weekday_WEEKDAY_SUNDAY)
	assert.Equal(t, value.GetLengthMinutes(), uint32(30))
	assert.Equal(t, value.GetStart(), "03:00")
	assert.Equal(t, out.String(), "window w\t8\top-1\tfalse\n")
}

// A word outside its set must be refused before anything is sent.
func TestSetRejectsInvalidWeekday(t *testing.T) {
	p := &provider.Provider{Context: t.Context()}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{}, nil
	}
	verb := set.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"w", "--weekday", "Sonntag"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(verb.Options.Execute(nil)), reporter.CodeUsage)
}
