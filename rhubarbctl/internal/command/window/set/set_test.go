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
		value := &rhubarbtrackv1.Window{Name: "w", Start: "03:00"}
		resource := &rhubarbtrackv1.Resource{Version: 7, Value: &rhubarbtrackv1.Resource_Window{Window: value}}
		return &rhubarbtrackv1.GetResourceResponse{Resource: resource}, nil
	}
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		sent = request
		return &rhubarbtrackv1.PutResourceResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}}, nil
	}
	command := set.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"w", "--weekday", "sunday", "--minutes", "30"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, sent.GetExpectedVersion(), uint64(7))
	assert.Equal(t, sent.GetOperationId(), "op-1")
	value := sent.GetResource().GetWindow()
	assert.Equal(t, value.GetWeekday(), rhubarbtrackv1.Weekday_WEEKDAY_SUNDAY)
	assert.Equal(t, value.GetLengthMinutes(), uint32(30))
	assert.Equal(t, value.GetStart(), "03:00")
	assert.Equal(t, out.String(), "window w\t8\top-1\tfalse\n")
}

// An unknown weekday must be rejected as a usage error before a write is sent.
func TestSetRejectsInvalidWeekday(t *testing.T) {
	p := &provider.Provider{Context: t.Context()}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{}, nil
	}
	command := set.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"w", "--weekday", "Sonntag"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(command.Options.Execute(nil)), reporter.CodeUsage)
}
