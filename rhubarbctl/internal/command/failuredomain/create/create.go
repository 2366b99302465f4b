// Package create holds the command "failure-domain create".
//
// # Usage
//
//	verb := create.New(dependencies, nil)
package create

import (
	"context"

	"rhubarbtrack.example/rhubarbctl/internal/changer"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options are the options and dependencies of "failure-domain create".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Change changer.Options

	Context        context.Context                                                                    `no-flag:"yes"`
	Streams        *printer.Streams                                                                   `no-flag:"yes"`
	NewOperationID func() string                                                                      `no-flag:"yes"`
	Put            dialer.Call[rhubarbtrackv1.PutResourceRequest, rhubarbtrackv1.PutResourceResponse] `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:     "create",
		Short:    "Create a failure domain",
		Long:     "Creates a failure domain that is in service.",
		Examples: []string{"$ rhubarbctl failure-domain create east"},
		Options: &Options{
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			Put:            p.Calls.PutResource,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	domain := &rhubarbtrackv1.FailureDomain{Name: o.Args.Name}
	response, err := o.Put(o.Context, &rhubarbtrackv1.PutResourceRequest{
		Resource:        &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_FailureDomain{FailureDomain: domain}},
		ExpectedVersion: o.Change.ResolveVersion(nil),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	return o.Change.Finish(o.Streams, "failure-domain "+o.Args.Name, response.GetResult(), err)
}
