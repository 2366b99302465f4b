package takeout_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/takeout"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// newProvider returns dependencies in which all hosts have applied the change from the second poll on, and each poll of
// the slices returns one less.
func newProvider(t *testing.T, takenOut bool, out *strings.Builder, slept *time.Duration) *provider.Provider {
	polls, remaining := 0, 3
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: out, Err: out},
		NewOperationID: func() string { return "op-1" },
		Sleep: func(_ context.Context, duration time.Duration) error {
			*slept += duration
			return nil
		},
	}
	p.Calls.GetResource = func(context.Context, *rhubarbtrackv1.GetResourceRequest) (
		*rhubarbtrackv1.GetResourceResponse, error) {
		return &rhubarbtrackv1.GetResourceResponse{Resource: &rhubarbtrackv1.Resource{Version: 7}}, nil
	}
	p.Calls.TakeOutFailureDomain = func(context.Context, *rhubarbtrackv1.TakeOutFailureDomainRequest) (
		*rhubarbtrackv1.TakeOutFailureDomainResponse, error) {
		result := &rhubarbtrackv1.ChangeResult{Version: 8, OperationId: "op-1"}
		return &rhubarbtrackv1.TakeOutFailureDomainResponse{Result: result}, nil
	}
	p.Calls.GetChange = func(context.Context, *rhubarbtrackv1.GetChangeRequest) (
		*rhubarbtrackv1.GetChangeResponse, error) {
		polls++
		rollout := &rhubarbtrackv1.Rollout{Hosts: 2, HostsInForce: uint32(min(polls, 2))}
		return &rhubarbtrackv1.GetChangeResponse{Change: &rhubarbtrackv1.Change{Rollout: rollout}}, nil
	}
	p.Calls.ListResources = func(context.Context, *rhubarbtrackv1.ListResourcesRequest) (
		*rhubarbtrackv1.ListResourcesResponse, error) {
		service := &rhubarbtrackv1.Service{Name: "marks", Keyed: true}
		upstream := &rhubarbtrackv1.Upstream{Name: "p1", Service: "marks", FailureDomain: "east"}
		domain := &rhubarbtrackv1.FailureDomain{Name: "east", TakenOut: takenOut}
		return &rhubarbtrackv1.ListResourcesResponse{Resources: []*rhubarbtrackv1.Resource{
			{Value: &rhubarbtrackv1.Resource_FailureDomain{FailureDomain: domain}},
			{Value: &rhubarbtrackv1.Resource_Service{Service: service}},
			{Value: &rhubarbtrackv1.Resource_Upstream{Upstream: upstream}},
		}}, nil
	}
	p.Calls.ListSlices = func(_ context.Context, request *rhubarbtrackv1.ListSlicesRequest) (
		*rhubarbtrackv1.ListSlicesResponse, error) {
		// Ownership tables identify owners by "<service>.<name>". A request with another form of the name finds no slices.
		if request.GetOwner() != "marks.p1" {
			return &rhubarbtrackv1.ListSlicesResponse{}, nil
		}
		remaining--
		return &rhubarbtrackv1.ListSlicesResponse{Slices: make([]*rhubarbtrackv1.Slice, remaining)}, nil
	}
	return p
}

// If --wait succeeded before all hosts have applied the change and all slices have moved, the operator would work on a
// failure domain that still owns slices. At its limit --wait must return its own exit code. If the failure domain was
// brought back, its slices never move away, and --wait must fail with a conflict.
func TestTakeOut(t *testing.T) {
	cases := []struct {
		name  string
		args  []string
		code  int
		slept time.Duration
		last  string
	}{
		{"no wait", []string{"east", "-y"}, reporter.CodeOK, 0, "failure-domain east\t8\top-1\tfalse"},
		{"wait", []string{"east", "-y", "--wait"}, reporter.CodeOK, 3 * time.Second, "failure-domain east\t8\top-1\tfalse"},
		{"wait limit reached", []string{"east", "-y", "--wait", "--wait-limit", "1s"}, reporter.CodeTimeout, time.Second,
			"waiting: in force on 1 of 2 hosts"},
		{"brought back", []string{"east", "-y", "--wait"}, reporter.CodeConflict, time.Second, "waiting: in force on 1 of 2 hosts"},
		{"not confirmed", []string{"east"}, reporter.CodeUsage, 0, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			var slept time.Duration
			command := takeout.New(newProvider(t, test.name != "brought back", &out, &slept), nil)
			_, err := flags.ParseArgs(command.Options, test.args)
			assert.NilError(t, err)
			assert.Equal(t, reporter.Code(command.Options.Execute(nil)), test.code)
			assert.Equal(t, slept, test.slept)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			assert.Equal(t, lines[len(lines)-1], test.last)
		})
	}
}
