// Package slices holds the command "service slices".
//
// # Usage
//
//	verb := slices.New(dependencies, nil)
package slices

import (
	"context"
	"fmt"

	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options are the options and dependencies of "service slices".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Owner  string `long:"owner" value-name:"UPSTREAM" description:"Only the slices of this upstream (SERVICE.NAME)"`
	Format printer.Format

	Context context.Context                                                                  `no-flag:"yes"`
	Streams *printer.Streams                                                                 `no-flag:"yes"`
	List    dialer.Call[rhubarbtrackv1.ListSlicesRequest, rhubarbtrackv1.ListSlicesResponse] `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "slices",
		Short: "List the slices of a service and their owners",
		Long:  "Lists the slices of a keyed service with their owners, fences and admission hosts.",
		Examples: []string{
			"$ rhubarbctl service slices shelf-marks",
			"$ rhubarbctl service slices shelf-marks --owner shelf-marks.p1 --json slice,epoch",
		},
		Options: &Options{Context: p.Context, Streams: p.Streams, List: p.Calls.ListSlices, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	response, err := o.List(o.Context, &rhubarbtrackv1.ListSlicesRequest{Service: o.Args.Name, Owner: o.Owner})
	if err != nil {
		return err
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	table := printer.Table{Fields: []string{"slice", "low", "hot-key", "owner", "term", "epoch", "admission-host"}}
	for _, slice := range response.GetSlices() {
		// Hashes exceed the exact range of numbers in many JSON readers.
		low := fmt.Sprintf("%016x", slice.GetLow())
		table.Rows = append(table.Rows, []any{
			slice.GetId(), low, slice.GetHotKey(), slice.GetOwner(), slice.GetTerm(), slice.GetEpoch(), slice.GetAdmissionHost(),
		})
	}
	return o.Format.Print(o.Streams, table)
}
