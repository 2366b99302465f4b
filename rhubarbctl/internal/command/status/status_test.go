package status_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/status"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Operators read the output, and scripts check the exit code. A problem must appear in both.
func TestStatus(t *testing.T) {
	problem := []*rhubarbtrackv1.Problem{{Subject: "host h2", Text: "is dead"}}
	cases := []struct {
		name     string
		args     []string
		problems []*rhubarbtrackv1.Problem
		code     int
		want     string
	}{
		{"healthy", nil, nil, reporter.CodeOK, `wrong	nothing
last change	revision 9 in force on 2 of 3 hosts
hosts	3 of 3 live
upstreams	4, 1 drained
taken out	east
moving	1 slices
moving	marks slice 2 from p1 to none (loss)
`},
		{"problem", []string{"--json", "healthy,problems"}, problem, reporter.CodeUnhealthy, `{
  "healthy": false,
  "problems": [
    "host h2 is dead"
  ]
}
`},
		{"owner", []string{"--service", "marks", "--key", "k", "--json", "owner"}, nil, reporter.CodeOK, `{
  "owner": "p1"
}
`},
		{"key without service", []string{"--key", "k"}, nil, reporter.CodeUsage, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			p := &provider.Provider{Context: t.Context(), Streams: &printer.Streams{Out: &out, Err: &out}}
			p.Calls.GetStatus = func(context.Context, *rhubarbtrackv1.GetStatusRequest) (
				*rhubarbtrackv1.GetStatusResponse, error) {
				return &rhubarbtrackv1.GetStatusResponse{Status: &rhubarbtrackv1.Status{
					Healthy: len(test.problems) == 0, Problems: test.problems,
					LastChange: &rhubarbtrackv1.Rollout{Revision: 9, Hosts: 3, HostsInForce: 2},
					Moves:      []*rhubarbtrackv1.Move{{Service: "marks", Slice: 2, From: "p1", Reason: "loss"}},
					HostsLive:  3, Hosts: 3, Upstreams: 4, UpstreamsDrained: 1, FailureDomainsTakenOut: []string{"east"},
				}}, nil
			}
			p.Calls.GetOwner = func(context.Context, *rhubarbtrackv1.GetOwnerRequest) (
				*rhubarbtrackv1.GetOwnerResponse, error) {
				owner := &rhubarbtrackv1.Owner{Slice: &rhubarbtrackv1.Slice{Owner: "p1"}}
				return &rhubarbtrackv1.GetOwnerResponse{Owner: owner}, nil
			}
			command := status.New(p, nil)
			_, err := flags.ParseArgs(command.Options, test.args)
			assert.NilError(t, err)
			assert.Equal(t, reporter.Code(command.Options.Execute(nil)), test.code)
			assert.Equal(t, out.String(), test.want)
		})
	}
}
