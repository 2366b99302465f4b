package slices_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/service/slices"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// A hash must be printed in full, since it exceeds the exact range of numbers in JSON.
func TestSlices(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	p.Calls.ListSlices = func(_ context.Context, request *rhubarbtrackv1.ListSlicesRequest) (
		*rhubarbtrackv1.ListSlicesResponse, error) {
		slice := &rhubarbtrackv1.Slice{Id: 2, Low: 1 << 63, Owner: request.GetOwner(), Term: 7, Epoch: 3, AdmissionHost: "h1"}
		return &rhubarbtrackv1.ListSlicesResponse{Slices: []*rhubarbtrackv1.Slice{slice}}, nil
	}
	verb := slices.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"marks", "--owner", "p1"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, out.String(), "2\t8000000000000000\t\tp1\t7\t3\th1\n")
}
