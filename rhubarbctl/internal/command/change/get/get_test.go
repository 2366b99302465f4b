package get_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/change/get"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// The progress of a rollout must name the hosts that lag.
func TestGet(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	p.Calls.GetChange = func(_ context.Context, request *rhubarbtrackv1.GetChangeRequest) (
		*rhubarbtrackv1.GetChangeResponse, error) {
		return &rhubarbtrackv1.GetChangeResponse{Change: &rhubarbtrackv1.Change{
			OperationId: request.GetOperationId(), Writer: request.GetWriter(), Object: "config/service/marks",
			State: rhubarbtrackv1.ChangeState_CHANGE_STATE_ACCEPTED, Version: 8,
			Rollout: &rhubarbtrackv1.Rollout{Hosts: 3, HostsInForce: 1, LaggingHosts: []string{"h2", "h3"}},
		}}, nil
	}
	verb := get.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"op-1", "--writer", "ana"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, out.String(), "op-1\tana\tconfig/service/marks\taccepted\t8\t1\t3\th2,h3\n")
}
