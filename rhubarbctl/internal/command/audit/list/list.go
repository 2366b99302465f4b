// Package list holds the command "audit list".
//
// # Usage
//
//	verb := list.New(dependencies, nil)
package list

import (
	"context"
	"time"

	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options are the options and dependencies of "audit list".
type Options struct {
	Day    string `long:"day" value-name:"YYYY-MM-DD" description:"Day in UTC (default: today)"`
	Object string `long:"object" value-name:"NAME" description:"Only this object, for example config/service/shelf-marks"`
	Limit  uint32 `long:"limit" default:"30" description:"Highest number of records, at most 1000"`
	Format printer.Format

	Context context.Context                                                                `no-flag:"yes"`
	Streams *printer.Streams                                                               `no-flag:"yes"`
	List    dialer.Call[rhubarbtrackv1.ListAuditRequest, rhubarbtrackv1.ListAuditResponse] `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "list",
		Short: "List attempted changes",
		Long:  "Lists attempted changes of a day, newest first, refused ones included.",
		Examples: []string{
			"$ rhubarbctl audit list",
			"$ rhubarbctl audit list --day 2026-12-04 --object config/failure-domain/east",
			"$ rhubarbctl audit list --json time,writer,before,after",
		},
		Options: &Options{Context: p.Context, Streams: p.Streams, List: p.Calls.ListAudit, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	request := &rhubarbtrackv1.ListAuditRequest{Day: o.Day, Object: o.Object, Limit: o.Limit}
	response, err := o.List(o.Context, request)
	if err != nil {
		return err
	}
	table := printer.Table{Fields: []string{"time", "writer", "call", "object", "result", "operation-id", "problem"}}
	// Whole objects would make lines unreadable, so they are part of the JSON form only.
	if o.Format.JSON != "" {
		table.Fields = append(table.Fields, "before", "after", "version-before", "version-after")
	}
	for _, record := range response.GetRecords() {
		row := []any{
			record.GetTime().AsTime().Format(time.RFC3339), record.GetWriter(), record.GetCall(), record.GetObject(),
			converter.EnumName(record.GetResult(), "AUDIT_RESULT_"), record.GetOperationId(), record.GetProblem(),
		}
		if o.Format.JSON != "" {
			row = append(row, record.GetBefore(), record.GetAfter(), record.GetVersionBefore(), record.GetVersionAfter())
		}
		table.Rows = append(table.Rows, row)
	}
	return o.Format.Print(o.Streams, table)
}
