// Package lister makes the "list" verbs of the nouns whose objects are configuration objects without further options.
//
// # Usage
//
//	verb := lister.New(dependencies, lister.Noun{Command: "service", Plural: "services", Kind: converter.Service}, nil)
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

// Object is what a verb lists.
type Object struct {
	Command string // as on the command line
	Plural  string // as in sentences
	Kind    rhubarbtrackv1.ResourceKind
}

// Options are the options and dependencies of a "list" verb.
type Options struct {
	Format printer.Format

	Context context.Context                                                                        `no-flag:"yes"`
	Streams *printer.Streams                                                                       `no-flag:"yes"`
	List    dialer.Call[rhubarbtrackv1.ListResourcesRequest, rhubarbtrackv1.ListResourcesResponse] `no-flag:"yes"`
	kind    rhubarbtrackv1.ResourceKind
	run     func(*Options) error
}

// New returns the verb of a noun. A nil run executes it.
func New(p *provider.Provider, noun Object, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "list",
		Short: "List " + noun.Plural,
		Long:  "Lists the " + noun.Plural + " that the daemon has in force.",
		Examples: []string{
			"$ rhubarbctl " + noun.Command + " list",
			"$ rhubarbctl " + noun.Command + " list --json name,version",
		},
		Options: &Options{Context: p.Context, Streams: p.Streams, List: p.Calls.ListResources, kind: noun.Kind, run: run},
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
