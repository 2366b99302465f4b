package bringback_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/bringback"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// The return must be conditional on the version that the operator names.
func TestBringBack(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	var sent *rhubarbtrackv1.BringBackFailureDomainRequest
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{Resource: &rhubarbtrackv1.Resource{Version: 7}}, nil
	}
	p.Calls.BringBackFailureDomain = func(_ context.Context, request *rhubarbtrackv1.BringBackFailureDomainRequest) (
		*rhubarbtrackv1.BringBackFailureDomainResponse, error) {
		sent = request
		return &rhubarbtrackv1.BringBackFailureDomainResponse{}, nil
	}
	verb := bringback.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"east", "--expected-version", "5", "--operation-id", "op-9"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, sent.GetName(), "east")
	assert.Equal(t, sent.GetExpectedVersion(), uint64(5))
	assert.Equal(t, sent.GetOperationId(), "op-9")
}
