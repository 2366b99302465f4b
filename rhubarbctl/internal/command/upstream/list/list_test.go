package list_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/upstream/list"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// A missing or reordered column breaks the scripts that parse the tab-separated output.
func TestList(t *testing.T) {
	var out, warning strings.Builder
	var sent *rhubarbtrackv1.ListResourcesRequest
	p := &provider.Provider{Context: t.Context(), Streams: &printer.Streams{Out: &out, Err: &warning}}
	p.Calls.ListResources = func(_ context.Context, request *rhubarbtrackv1.ListResourcesRequest) (
		*rhubarbtrackv1.ListResourcesResponse, error) {
		sent = request
		return &rhubarbtrackv1.ListResourcesResponse{
			Freshness: &rhubarbtrackv1.Freshness{StoreDown: true},
			Resources: []*rhubarbtrackv1.Resource{{
				Value:   &rhubarbtrackv1.Resource_Upstream{Upstream: &rhubarbtrackv1.Upstream{Name: "p1", Service: "marks", FailureDomain: "east", Address: "10.0.0.1:80", Slots: 6, Connections: 9, Drained: true}},
				Version: 7, Writer: "ana", OperationId: "op-1",
			}},
		}, nil
	}
	command := list.New(p, nil)
	_, err := flags.ParseArgs(command.Options, []string{"--service", "marks"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, sent.GetKind(), rhubarbtrackv1.ResourceKind_RESOURCE_KIND_UPSTREAM)
	assert.Equal(t, sent.GetService(), "marks")
	assert.Equal(t, out.String(), "p1\tmarks\teast\t10.0.0.1:80\t6\t9\tfalse\ttrue\t7\tana\top-1\n")
	assert.Equal(t, warning.String(), "rhubarbctl: the store does not answer, the state shown is 0s old\n")
}
