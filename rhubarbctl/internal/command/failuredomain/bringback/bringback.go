// Package bringback holds the command "failure-domain bring-back".
//
// # Usage
//
//	verb := bringback.New(dependencies, nil)
package bringback

import (
	"context"

	"rhubarbtrack.example/rhubarbctl/internal/changer"
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// BringBack is the call of the command.
type BringBack = dialer.Call[rhubarbtrackv1.BringBackFailureDomainRequest, rhubarbtrackv1.BringBackFailureDomainResponse]

// Options are the options and dependencies of "failure-domain bring-back".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Change changer.Options

	Context        context.Context  `no-flag:"yes"`
	Streams        *printer.Streams `no-flag:"yes"`
	NewOperationID func() string    `no-flag:"yes"`
	Get            changer.Get      `no-flag:"yes"`
	BringBack      BringBack        `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:     "bring-back",
		Short:    "Return a failure domain to service",
		Long:     "Returns a failure domain to service. Its upstreams receive work at the pace of cold starts.",
		Examples: []string{"$ rhubarbctl failure-domain bring-back east"},
		Options: &Options{
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			Get:            p.Calls.GetResource,
			BringBack:      p.Calls.BringBackFailureDomain,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	request := &rhubarbtrackv1.GetResourceRequest{Kind: converter.FailureDomain, Name: o.Args.Name}
	current, err := o.Get(o.Context, request)
	if err != nil {
		return err
	}
	response, err := o.BringBack(o.Context, &rhubarbtrackv1.BringBackFailureDomainRequest{
		Name:            o.Args.Name,
		ExpectedVersion: o.Change.ResolveVersion(current.GetResource()),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	return o.Change.Finish(o.Streams, "failure-domain "+o.Args.Name, response.GetResult(), err)
}
