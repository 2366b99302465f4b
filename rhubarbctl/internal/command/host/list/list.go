// Package list holds the command "host list".
//
// # Usage
//
//	verb := list.New(dependencies, nil)
package list

import (
	"context"

	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options are the options and dependencies of "host list".
type Options struct {
	Format printer.Format

	Context context.Context                                                                `no-flag:"yes"`
	Streams *printer.Streams                                                               `no-flag:"yes"`
	List    dialer.Call[rhubarbtrackv1.ListHostsRequest, rhubarbtrackv1.ListHostsResponse] `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:     "list",
		Short:    "List hosts and their roles",
		Long:     "Lists the hosts, their state, their roles and the configuration revision that they have in force.",
		Examples: []string{"$ rhubarbctl host list", "$ rhubarbctl host list --json name,state,roles"},
		Options:  &Options{Context: p.Context, Streams: p.Streams, List: p.Calls.ListHosts, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	response, err := o.List(o.Context, &rhubarbtrackv1.ListHostsRequest{})
	if err != nil {
		return err
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	table := printer.Table{Fields: []string{"name", "address", "failure-domain", "state", "revision", "roles"}}
	for _, host := range response.GetHosts() {
		table.Rows = append(table.Rows, []any{
			host.GetName(), host.GetAddress(), host.GetFailureDomain(), converter.EnumName(host.GetState(), "HOST_STATE_"),
			host.GetRevision(), roles(host),
		})
	}
	return o.Format.Print(o.Streams, table)
}

// roles returns "<role>:<subject>" for each role of a host.
func roles(host *rhubarbtrackv1.Host) []string {
	texts := []string{}
	for _, role := range host.GetRoles() {
		text := converter.EnumName(role.GetKind(), "ROLE_KIND_")
		if role.GetSubject() != "" {
			text += ":" + role.GetSubject()
		}
		texts = append(texts, text)
	}
	return texts
}
