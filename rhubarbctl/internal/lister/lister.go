// Package lister implements the "list" commands of configuration objects that have no filter options.
//
// # Usage
//
//	object := lister.Object{Command: "service", Plural: "services", Kind: converter.Service}
//	command := lister.New(dependencies, object, nil)
package lister

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

// Object is a kind of configuration object to list.
type Object struct {
	Command string // command group, as typed: "failure-domain"
	Plural  string // plural for help texts: "failure domains"
	Kind    rhubarbtrackv1.ResourceKind
}

// Options are the options and dependencies of a "list" command.
type Options struct {
	Format printer.Format

	Context context.Context                                                                        `no-flag:"yes"`
	Streams *printer.Streams                                                                       `no-flag:"yes"`
	List    dialer.Call[rhubarbtrackv1.ListResourcesRequest, rhubarbtrackv1.ListResourcesResponse] `no-flag:"yes"`
	kind    rhubarbtrackv1.ResourceKind
	run     func(*Options) error
}

// New returns the command. A nil run executes it; a test may pass another run.
func New(p *provider.Provider, object Object, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "list",
		Short: "List " + object.Plural,
		Long:  "Lists the " + object.Plural + " of the configuration that the daemon has applied.",
		Examples: []string{
			"$ rhubarbctl " + object.Command + " list",
			"$ rhubarbctl " + object.Command + " list --json name,version",
		},
		Options: &Options{Context: p.Context, Streams: p.Streams, List: p.Calls.ListResources, kind: object.Kind, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	response, err := o.List(o.Context, &rhubarbtrackv1.ListResourcesRequest{Kind: o.kind})
	if err != nil {
		return err
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	return o.Format.Print(o.Streams, converter.Table(o.kind, response.GetResources()))
}
