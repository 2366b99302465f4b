package create_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/create"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Expected version 0 makes the daemon reject the creation of an existing failure domain. Without it, the write would
// put a taken-out failure domain back into service.
func TestCreate(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	var sent *rhubarbtrackv1.PutResourceRequest
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		sent = request
		return &rhubarbtrackv1.PutResourceResponse{}, nil
	}
	command := create.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"east"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, sent.GetResource().GetFailureDomain().GetName(), "east")
	assert.Equal(t, sent.GetExpectedVersion(), uint64(0))
}
