// Package deleter holds the command "delete", which is the same for every noun.
//
// # Usage
//
//	verb := deleter.New(dependencies, converter.Service, "NAME is the name of the service.", examples, nil)
package deleter

import (
	"context"
	"fmt"

	"rhubarbtrack.example/rhubarbctl/internal/changer"
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/prompter"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options are the options and dependencies of "delete".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Confirm prompter.Confirm
	Change  changer.Options

	Kind           rhubarbtrackv1.ResourceKind                                                              `no-flag:"yes"`
	Context        context.Context                                                                          `no-flag:"yes"`
	Streams        *printer.Streams                                                                         `no-flag:"yes"`
	NewOperationID func() string                                                                            `no-flag:"yes"`
	Get            changer.Get                                                                              `no-flag:"yes"`
	Delete         dialer.Call[rhubarbtrackv1.DeleteResourceRequest, rhubarbtrackv1.DeleteResourceResponse] `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command for a kind. A nil run executes it.
func New(p *provider.Provider, kind rhubarbtrackv1.ResourceKind, long string, examples []string,
	run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:     "delete",
		Short:    "Delete a " + converter.KindName(kind),
		Long:     long,
		Examples: examples,
		Options: &Options{
			Kind:           kind,
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			Get:            p.Calls.GetResource,
			Delete:         p.Calls.DeleteResource,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	object := converter.KindName(o.Kind) + " " + o.Args.Name
	request := &rhubarbtrackv1.DeleteResourceRequest{Kind: o.Kind, Name: o.Args.Name}
	// A repeated deletion names its version, since the object may be gone already.
	if o.Change.ExpectedVersion == nil {
		response, err := o.Get(o.Context, &rhubarbtrackv1.GetResourceRequest{Kind: o.Kind, Name: o.Args.Name})
		if err != nil {
			return err
		}
		request.ExpectedVersion = response.GetResource().GetVersion()
	} else {
		request.ExpectedVersion = *o.Change.ExpectedVersion
	}
	if err := o.Confirm.Ask(o.Streams, fmt.Sprintf("Delete %s?", object)); err != nil {
		return err
	}
	request.OperationId = o.Change.ResolveOperationID(o.NewOperationID)
	response, err := o.Delete(o.Context, request)
	return o.Change.Finish(o.Streams, object, response.GetResult(), err)
}
