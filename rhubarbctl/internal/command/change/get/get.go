// Package get holds the command "change get".
//
// # Usage
//
//	verb := get.New(dependencies, nil)
package get

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

// Options are the options and dependencies of "change get".
type Options struct {
	Args struct {
		Operation string `positional-arg-name:"OPERATION"`
	} `positional-args:"yes" required:"yes"`
	Writer string `long:"writer" value-name:"NAME" description:"Operator who issued the change (default: you)"`
	Format printer.Format

	Context context.Context                                                                `no-flag:"yes"`
	Streams *printer.Streams                                                               `no-flag:"yes"`
	Get     dialer.Call[rhubarbtrackv1.GetChangeRequest, rhubarbtrackv1.GetChangeResponse] `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "get",
		Short: "Show the outcome of a change and how far it is in force",
		Long:  "Shows whether a change was accepted, and on how many hosts it is in force.",
		Examples: []string{
			"$ rhubarbctl change get RB3Q7C",
			"$ rhubarbctl change get RB3Q7C --json state,hosts-in-force,hosts",
		},
		Options: &Options{Context: p.Context, Streams: p.Streams, Get: p.Calls.GetChange, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	request := &rhubarbtrackv1.GetChangeRequest{OperationId: o.Args.Operation, Writer: o.Writer}
	response, err := o.Get(o.Context, request)
	if err != nil {
		return err
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	change := response.GetChange()
	rollout := change.GetRollout()
	return o.Format.Print(o.Streams, printer.Table{
		Fields: []string{
			"operation-id", "writer", "object", "state", "version", "hosts-in-force", "hosts", "lagging-hosts",
		},
		Rows: [][]any{{
			change.GetOperationId(), change.GetWriter(), change.GetObject(), converter.EnumName(change.GetState(), "CHANGE_STATE_"),
			change.GetVersion(), rollout.GetHostsInForce(), rollout.GetHosts(), rollout.GetLaggingHosts(),
		}},
		Single: true,
	})
}
