package list_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/host/list"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Roles must name their subject.
func TestList(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}
	p.Calls.ListHosts = func(context.Context, *rhubarbtrackv1.ListHostsRequest) (
		*rhubarbtrackv1.ListHostsResponse, error) {
		return &rhubarbtrackv1.ListHostsResponse{Hosts: []*rhubarbtrackv1.Host{{
			Name: "h1", Address: "10.1.0.1:7000", FailureDomain: "east", State: rhubarbtrackv1.HostState_HOST_STATE_LEAVING,
			Revision: 9, Roles: []*rhubarbtrackv1.Role{
				{Kind: rhubarbtrackv1.RoleKind_ROLE_KIND_ADMISSION, Subject: "marks.p1"},
				{Kind: rhubarbtrackv1.RoleKind_ROLE_KIND_ROOT},
			},
		}}}, nil
	}
	verb := list.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Equal(t, out.String(), "h1\t10.1.0.1:7000\teast\tleaving\t9\tadmission:marks.p1,root\n")
}
