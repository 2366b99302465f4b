// Package apply holds the command "apply".
//
// The file is YAML with the lists failure-domains, services, upstreams and windows. Their entries have the fields of
// stored objects. Objects that the file does not name are left alone, and so are the drain of an upstream and the state of
// a failure domain unless the file names them.
//
// # Usage
//
//	verb := apply.New(dependencies, nil)
package apply

import (
	"context"
	"fmt"
	"io"
	"os"
	"reflect"

	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/prompter"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// standardInput is the file name that stands for the input stream.
const standardInput = "-"

// Options are the options and dependencies of "apply".
type Options struct {
	File        string `short:"f" long:"file" value-name:"FILE" required:"yes" description:"YAML file, - for the standard input"`
	DryRun      bool   `long:"dry-run" description:"Only show the difference"`
	OperationID string `long:"operation-id" value-name:"ID" description:"Repeat an earlier run under its operation id (default: a new one)"`
	Confirm     prompter.Confirm
	Format      printer.Format

	Context        context.Context                                                                        `no-flag:"yes"`
	Streams        *printer.Streams                                                                       `no-flag:"yes"`
	NewOperationID func() string                                                                          `no-flag:"yes"`
	ReadFile       func(name string) ([]byte, error)                                                      `no-flag:"yes"`
	List           dialer.Call[rhubarbtrackv1.ListResourcesRequest, rhubarbtrackv1.ListResourcesResponse] `no-flag:"yes"`
	Put            dialer.Call[rhubarbtrackv1.PutResourceRequest, rhubarbtrackv1.PutResourceResponse]     `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "apply",
		Short: "Create and modify the objects of a file",
		Long: "Shows how the objects of a file differ from those in force, asks, and then creates and modifies them. Nothing is " +
			"deleted. It stops at the first refused change; running it again continues.",
		Examples: []string{
			"$ rhubarbctl apply -f library.yaml --dry-run",
			"$ rhubarbctl apply -f library.yaml --yes",
		},
		Options: &Options{
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			ReadFile:       os.ReadFile,
			List:           p.Calls.ListResources,
			Put:            p.Calls.PutResource,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

// step is one object that differs.
type step struct {
	number   int // position in the file, part of the operation id, so that a repeated run uses the same ids
	object   string
	resource *rhubarbtrackv1.Resource
	current  *rhubarbtrackv1.Resource // nil for a creation
}

func execute(o *Options) error {
	body, err := o.read()
	if err != nil {
		return reporter.Errorf("file", reporter.CodeUsage, "%v", err)
	}
	wanted, err := parse(body)
	if err != nil {
		return err
	}
	response, err := o.List(o.Context, &rhubarbtrackv1.ListResourcesRequest{})
	if err != nil {
		return err
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	steps := plan(wanted, response.GetResources())
	if err := o.Format.Print(o.Streams, difference(steps)); err != nil {
		return err
	}
	if len(steps) == 0 {
		_, _ = fmt.Fprintln(o.Streams.Err, "nothing to change")
		return nil
	}
	if o.DryRun {
		return nil
	}
	if err := o.Confirm.Ask(o.Streams, fmt.Sprintf("Change %d objects?", len(steps))); err != nil {
		return err
	}
	return o.apply(steps)
}

func (o *Options) read() ([]byte, error) {
	if o.File == standardInput {
		return io.ReadAll(o.Streams.In)
	}
	return o.ReadFile(o.File)
}

// plan returns the objects that differ from the current ones.
func plan(wanted []desired, current []*rhubarbtrackv1.Resource) []step {
	existing := map[string]*rhubarbtrackv1.Resource{}
	for _, resource := range current {
		existing[label(resource)] = resource
	}
	var steps []step
	for i, want := range wanted {
		object := label(want.resource)
		found := existing[object]
		keepState(want, found)
		if found == nil || !reflect.DeepEqual(converter.Row(found), converter.Row(want.resource)) {
			steps = append(steps, step{number: i + 1, object: object, resource: want.resource, current: found})
		}
	}
	return steps
}

// keepState takes over what operators set by other commands, unless the file says otherwise.
func keepState(want desired, found *rhubarbtrackv1.Resource) {
	if upstream := want.resource.GetUpstream(); upstream != nil && !want.drained {
		upstream.Drained = found.GetUpstream().GetDrained()
	}
	if domain := want.resource.GetFailureDomain(); domain != nil && !want.takenOut {
		domain.TakenOut = found.GetFailureDomain().GetTakenOut()
	}
}

func label(resource *rhubarbtrackv1.Resource) string {
	return converter.KindName(converter.Kind(resource)) + " " + converter.Name(resource)
}

// difference has one row per field that differs; a creation shows all fields.
func difference(steps []step) printer.Table {
	table := printer.Table{Fields: []string{"action", "object", "field", "old", "new"}}
	for _, step := range steps {
		names := converter.Fields(converter.Kind(step.resource))
		wanted := converter.Row(step.resource)
		if step.current == nil {
			for i, name := range names {
				table.Rows = append(table.Rows, []any{"create", step.object, name, "", wanted[i]})
			}
			continue
		}
		for i, old := range converter.Row(step.current) {
			if !reflect.DeepEqual(old, wanted[i]) {
				table.Rows = append(table.Rows, []any{"modify", step.object, names[i], old, wanted[i]})
			}
		}
	}
	return table
}

func (o *Options) apply(steps []step) error {
	if o.OperationID == "" {
		o.OperationID = o.NewOperationID()
	}
	for i, step := range steps {
		operation := fmt.Sprintf("%s-%d", o.OperationID, step.number)
		response, err := o.Put(o.Context, &rhubarbtrackv1.PutResourceRequest{
			Resource:        step.resource,
			ExpectedVersion: step.current.GetVersion(),
			OperationId:     operation,
		})
		if err != nil {
			_, _ = fmt.Fprintf(o.Streams.Err, "stopped at %s, %d of %d objects changed\n", step.object, i, len(steps))
			return reporter.ChangeError(err, operation)
		}
		_, _ = fmt.Fprintf(o.Streams.Err, "%s has version %d, operation %s\n", step.object,
			response.GetResult().GetVersion(), operation)
	}
	return nil
}
