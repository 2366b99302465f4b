// Package set holds the command "upstream set".
//
// # Usage
//
//	verb := set.New(dependencies, nil)
package set

import (
	"context"
	"strings"

	"rhubarbtrack.example/rhubarbctl/internal/changer"
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options are the options and dependencies of "upstream set". Values that are not given stay as they are.
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	FailureDomain *string `long:"failure-domain" value-name:"NAME" description:"Failure domain of the upstream"`
	Address       *string `long:"endpoint" value-name:"IP:PORT" description:"IP address and port of the upstream"`
	Slots         *uint32 `long:"slots" value-name:"N" description:"Requests run concurrently"`
	Connections   *uint32 `long:"connections" value-name:"N" description:"Connections that the upstream accepts"`
	ChecksFence   *string `long:"checks-fence" value-name:"ANSWER" description:"The upstream refuses requests with an outdated fence: yes or no"`
	Change        changer.Options

	Context        context.Context                                                                    `no-flag:"yes"`
	Streams        *printer.Streams                                                                   `no-flag:"yes"`
	NewOperationID func() string                                                                      `no-flag:"yes"`
	Get            changer.Get                                                                        `no-flag:"yes"`
	Put            dialer.Call[rhubarbtrackv1.PutResourceRequest, rhubarbtrackv1.PutResourceResponse] `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "set",
		Short: "Create or modify an upstream",
		Long:  "Creates an upstream, or modifies the given values of an existing one. NAME is <service>.<upstream>.",
		Examples: []string{
			"$ rhubarbctl upstream set shelf-marks.p1 --failure-domain east --endpoint 10.0.0.1:8080 --slots 6 --connections 130",
			"$ rhubarbctl upstream set shelf-marks.p1 --checks-fence yes",
		},
		Options: &Options{
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			Get:            p.Calls.GetResource,
			Put:            p.Calls.PutResource,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	service, name, found := strings.Cut(o.Args.Name, ".")
	if !found {
		return reporter.Errorf("name", reporter.CodeUsage, "%q is not <service>.<upstream>", o.Args.Name)
	}
	if o.ChecksFence != nil && *o.ChecksFence != "yes" && *o.ChecksFence != "no" {
		return reporter.Errorf("checks-fence", reporter.CodeUsage, "%q is neither yes nor no", *o.ChecksFence)
	}
	current, err := changer.Current(o.Context, o.Get, converter.Upstream, o.Args.Name)
	if err != nil {
		return err
	}
	value := current.GetUpstream()
	if value == nil {
		value = &rhubarbtrackv1.Upstream{Service: service, Name: name}
	}
	override(&value.FailureDomain, o.FailureDomain)
	override(&value.Address, o.Address)
	override(&value.Slots, o.Slots)
	override(&value.Connections, o.Connections)
	if o.ChecksFence != nil {
		value.ChecksFence = *o.ChecksFence == "yes"
	}
	response, err := o.Put(o.Context, &rhubarbtrackv1.PutResourceRequest{
		Resource:        &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Upstream{Upstream: value}},
		ExpectedVersion: o.Change.ResolveVersion(current),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	return o.Change.Finish(o.Streams, "upstream "+o.Args.Name, response.GetResult(), err)
}

// override replaces a value by the one of an option that was given.
func override[T any](target *T, option *T) {
	if option != nil {
		*target = *option
	}
}
