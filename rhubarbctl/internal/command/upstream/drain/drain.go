// Package drain holds the command "upstream drain".
//
// # Usage
//
//	verb := drain.New(dependencies, nil)
package drain

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

// Options are the options and dependencies of "upstream drain".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Undo   bool `long:"undo" description:"End the drain"`
	Change changer.Options

	Context        context.Context                                                                        `no-flag:"yes"`
	Streams        *printer.Streams                                                                       `no-flag:"yes"`
	NewOperationID func() string                                                                          `no-flag:"yes"`
	Get            changer.Get                                                                            `no-flag:"yes"`
	Drain          dialer.Call[rhubarbtrackv1.DrainUpstreamRequest, rhubarbtrackv1.DrainUpstreamResponse] `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "drain",
		Short: "Drain an upstream, or end its drain",
		Long: "Drains an upstream: it receives no new work after 4 seconds and its slices move to other upstreams. " +
			"NAME is <service>.<upstream>.",
		Examples: []string{
			"$ rhubarbctl upstream drain shelf-marks.p1",
			"$ rhubarbctl upstream drain shelf-marks.p1 --undo",
		},
		Options: &Options{
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			Get:            p.Calls.GetResource,
			Drain:          p.Calls.DrainUpstream,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	current, err := o.Get(o.Context, &rhubarbtrackv1.GetResourceRequest{Kind: converter.Upstream, Name: o.Args.Name})
	if err != nil {
		return err
	}
	response, err := o.Drain(o.Context, &rhubarbtrackv1.DrainUpstreamRequest{
		Name:            o.Args.Name,
		Drained:         !o.Undo,
		ExpectedVersion: o.Change.ResolveVersion(current.GetResource()),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	return o.Change.Finish(o.Streams, "upstream "+o.Args.Name, response.GetResult(), err)
}
