// Package apply implements the command "apply".
//
// The file is YAML with the lists failure-domains, services, upstreams and windows. Their entries have the fields of
// stored objects. Objects that the file does not list remain unchanged. Operators set the field drained of an upstream
// and the field taken-out of a failure domain by other commands, so both remain unchanged unless the file sets them.
//
// # Usage
//
//	command := apply.New(dependencies, nil)
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

// standardInput is the file name that selects the standard input.
const standardInput = "-"

// Options are the options and dependencies of "apply".
type Options struct {
	File        string `short:"f" long:"file" value-name:"FILE" required:"yes" description:"YAML file, - for standard input"`
	DryRun      bool   `long:"dry-run" description:"Show the differences without changing anything"`
	OperationID string `long:"operation-id" value-name:"ID" description:"Retry an earlier run with its operation ID (default: a new ID)"`
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

// New returns the command. A nil run executes it; a test may pass another run.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "apply",
		Short: "Create and modify the objects of a file",
		Long: "Shows how the objects of a file differ from the applied configuration, asks for confirmation, and then creates and " +
			"modifies them. It never deletes objects. It stops at the first failed change; run it again to continue.",
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

// step is the creation or modification of one object.
type step struct {
	number   int // position in the file, part of the operation ID, so that a retry uses the same IDs
	object   string
	resource *rhubarbtrackv1.Resource
	current  *rhubarbtrackv1.Resource // nil for a creation
}

func execute(o *Options) error {
	body, err := o.read()
	if err != nil {
		return reporter.Errorf("read file", reporter.CodeUsage, "%v", err)
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
	if err := o.Format.Print(o.Streams, diffTable(steps)); err != nil {
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

// plan returns a step for each desired object that does not exist or differs from the current one.
func plan(wanted []desired, current []*rhubarbtrackv1.Resource) []step {
	existing := map[string]*rhubarbtrackv1.Resource{}
	for _, resource := range current {
		existing[label(resource)] = resource
	}
	var steps []step
	for i, want := range wanted {
		object := label(want.resource)
		found := existing[object]
		keepOperatorState(want, found)
		if found == nil || !reflect.DeepEqual(converter.Row(found), converter.Row(want.resource)) {
			steps = append(steps, step{number: i + 1, object: object, resource: want.resource, current: found})
		}
	}
	return steps
}

// keepOperatorState copies the state that operators set by other commands, unless the file sets it.
func keepOperatorState(want desired, found *rhubarbtrackv1.Resource) {
	if upstream := want.resource.GetUpstream(); upstream != nil && !want.setsDrained {
		upstream.Drained = found.GetUpstream().GetDrained()
	}
	if domain := want.resource.GetFailureDomain(); domain != nil && !want.setsTakenOut {
		domain.TakenOut = found.GetFailureDomain().GetTakenOut()
	}
}

func label(resource *rhubarbtrackv1.Resource) string {
	return converter.KindName(converter.Kind(resource)) + " " + converter.Name(resource)
}

// diffTable returns one row per field that differs; a creation has a row for each field.
func diffTable(steps []step) printer.Table {
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
