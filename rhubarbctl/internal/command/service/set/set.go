// Package set holds the command "service set".
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

// Options are the options and dependencies of "service set". Values that are not given stay as they are.
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Keyed      *bool    `long:"keyed" description:"Keys are owned exclusively"`
	KeyHeader  *string  `long:"key-header" value-name:"NAME" description:"Header that carries the key"`
	KeySegment *uint32  `long:"key-segment" value-name:"N" description:"1-based path segment that carries the key"`
	SliceCount *uint32  `long:"slice-count" value-name:"N" description:"Ranges of the hash space"`
	Rules      []string `long:"rule" value-name:"RULE" description:"METHOD PATH CLASS, with * for any method; may be repeated"`
	ClearRules bool     `long:"clear-rules" description:"Remove all rules"`
	Change     changer.Options

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
		Short: "Create or modify a service",
		Long:  "Creates a service, or modifies the given values of an existing one. The options --keyed and --slice-count apply to creation only. Rules given replace all rules of the service; the first matching rule wins, and a request that no rule matches is never repeated unless its method is safe.",
		Examples: []string{
			"$ rhubarbctl service set label-templates",
			"$ rhubarbctl service set shelf-marks --keyed --slice-count 320 --key-header Shelf-Mark",
			"$ rhubarbctl service set shelf-marks --rule 'POST /print/** never-repeat' --rule 'PUT /marks/* idempotent'",
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
	var rules []*rhubarbtrackv1.Rule
	for _, text := range o.Rules {
		rule, err := converter.ParseRule(text)
		if err != nil {
			return err
		}
		rules = append(rules, rule)
	}
	current, err := changer.Current(o.Context, o.Get, converter.Service, o.Args.Name)
	if err != nil {
		return err
	}
	value := current.GetService()
	if value == nil {
		value = &rhubarbtrackv1.Service{Name: o.Args.Name}
	}
	override(&value.Keyed, o.Keyed)
	// The key is in a header or in a segment, so giving one of them replaces the other.
	if o.KeyHeader != nil || o.KeySegment != nil {
		value.KeyHeader, value.KeySegment = "", 0
	}
	override(&value.KeyHeader, o.KeyHeader)
	override(&value.KeySegment, o.KeySegment)
	override(&value.SliceCount, o.SliceCount)
	if len(rules) > 0 || o.ClearRules {
		value.Rules = rules
	}
	response, err := o.Put(o.Context, &rhubarbtrackv1.PutResourceRequest{
		Resource:        &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Service{Service: value}},
		ExpectedVersion: o.Change.ResolveVersion(current),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	return o.Change.Finish(o.Streams, "service "+o.Args.Name, response.GetResult(), err)
}

// override replaces a value by the one of an option that was given.
func override[T any](target *T, option *T) {
	if option != nil {
		*target = *option
	}
}
