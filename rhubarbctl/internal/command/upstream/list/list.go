// Package list holds the command "upstream list".
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

// Options are the options and dependencies of "upstream list".
type Options struct {
	Format  printer.Format
	Service string `long:"service" value-name:"NAME" description:"Only the upstreams of this service"`

	Context context.Context                                                                        `no-flag:"yes"`
	Streams *printer.Streams                                                                       `no-flag:"yes"`
	List    dialer.Call[rhubarbtrackv1.ListResourcesRequest, rhubarbtrackv1.ListResourcesResponse] `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "list",
		Short: "List upstreams",
		Long:  "Lists the upstreams that the daemon has in force.",
		Examples: []string{
			"$ rhubarbctl upstream list",
			"$ rhubarbctl upstream list --service shelf-marks",
			"$ rhubarbctl upstream list --json name,version",
		},
		Options: &Options{Context: p.Context, Streams: p.Streams, List: p.Calls.ListResources, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	response, err := o.List(o.Context, &rhubarbtrackv1.ListResourcesRequest{Kind: converter.Upstream, Service: o.Service})
	if err != nil {
		return err
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	return o.Format.Print(o.Streams, converter.Table(converter.Upstream, response.GetResources()))
}
