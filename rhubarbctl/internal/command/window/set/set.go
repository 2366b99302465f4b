// Package set holds the command "window set".
//
// # Usage
//
//	verb := set.New(dependencies, nil)
package set

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

// Options are the options and dependencies of "window set". Values that are not given stay as they are.
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	FailureDomain *string `long:"failure-domain" value-name:"NAME" description:"Failure domain that is cleaned"`
	Weekday       *string `long:"weekday" value-name:"DAY" description:"Day of the week, in lower case"`
	Start         *string `long:"start" value-name:"HH:MM" description:"Time of day in the time zone"`
	Minutes       *uint32 `long:"minutes" value-name:"N" description:"Length"`
	TimeZone      *string `long:"time-zone" value-name:"ZONE" description:"IANA name of the time zone"`
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
		Short: "Create or modify a window",
		Long:  "Creates a weekly cleaning window of a failure domain, or modifies the given values of an existing one. Windows must not overlap.",
		Examples: []string{
			"$ rhubarbctl window set east-weekly --failure-domain east --weekday sunday --start 03:00 --minutes 60 --time-zone Europe/Bratislava",
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

	current, err := changer.Current(o.Context, o.Get, converter.Window, o.Args.Name)
	if err != nil {
		return err
	}
	value := current.GetWindow()
	if value == nil {
		value = &rhubarbtrackv1.Window{Name: o.Args.Name}
	}
	override(&value.FailureDomain, o.FailureDomain)
	override(&value.Start, o.Start)
	override(&value.LengthMinutes, o.Minutes)
	override(&value.TimeZone, o.TimeZone)
	if o.Weekday != nil {
		if value.Weekday, err = converter.ParseWeekday(*o.Weekday); err != nil {
			return err
		}
	}
	response, err := o.Put(o.Context, &rhubarbtrackv1.PutResourceRequest{
		Resource:        &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Window{Window: value}},
		ExpectedVersion: o.Change.ResolveVersion(current),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	return o.Change.Finish(o.Streams, "window "+o.Args.Name, response.GetResult(), err)
}

// override replaces a value by the one of an option that was given.
func override[T any](target *T, option *T) {
	if option != nil {
		*target = *option
	}
}
