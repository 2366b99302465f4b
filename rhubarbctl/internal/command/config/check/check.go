// Package check implements the command "config check".
//
// The file is a configuration of the users' platform, as operators send it. The checks are those of package inspector.
//
// # Usage
//
//	command := check.New(dependencies, nil)
package check

import (
	"io"
	"os"

	"rhubarbtrack.example/core/inspector"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// standardInput is the file name that selects the standard input.
const standardInput = "-"

// differs is the kind of a row that shows a difference, which is no finding.
const differs = "differs"

// Options are the options and dependencies of "config check".
type Options struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
	Against string `long:"against" value-name:"FILE" description:"Also show what differs from this version"`
	Format  printer.Format

	Streams  *printer.Streams                  `no-flag:"yes"`
	ReadFile func(name string) ([]byte, error) `no-flag:"yes"`
	run      func(*Options) error
}

// New returns the command. A nil run executes it; a test may pass another run.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "check",
		Short: "Check a configuration before it is sent",
		Long: "Checks a configuration of the users' platform without sending it: errors, entries that no request can reach, and limits that " +
			"contradict each other. With --against, it also shows what differs from another version. FILE is JSON, - for standard " +
			"input. No daemon is needed, and no key of a client account is shown. The exit code is 0 without findings, 1 with findings, and 2 if a file " +
			"cannot be read. Differences are no findings.",
		Examples: []string{
			"$ rhubarbctl config check next.json",
			"$ rhubarbctl config check next.json --against in-force.json",
			"$ rhubarbctl config check next.json --json kind,place,reason",
		},
		Options: &Options{Streams: p.Streams, ReadFile: os.ReadFile, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	data, err := o.read(o.Args.File)
	if err != nil {
		return err
	}
	table := printer.Table{Fields: []string{"kind", "place", "reason", "field", "before", "after"}}
	document, err := translator.Document(data)
	if err != nil {
		table.Rows = [][]any{finding(inspector.Finding{Kind: inspector.Wrong, Place: "file", Reason: err.Error()})}
		return o.report(table, 1)
	}
	findings := inspector.Check(document)
	var differences []inspector.Difference
	if o.Against != "" {
		inForce, err := o.readDocument(o.Against)
		if err != nil {
			return err
		}
		findings = append(findings, inspector.CheckOrder(inForce, document)...)
		differences = inspector.Compare(inForce, document)
	}
	for _, f := range findings {
		table.Rows = append(table.Rows, finding(f))
	}
	for _, d := range differences {
		table.Rows = append(table.Rows, []any{differs, d.Place, "", d.Field, d.Before, d.After})
	}
	return o.report(table, len(findings))
}

func finding(f inspector.Finding) []any { return []any{string(f.Kind), f.Place, f.Reason, "", "", ""} }

func (o *Options) report(table printer.Table, findings int) error {
	if err := o.Format.Print(o.Streams, table); err != nil {
		return err
	}
	if findings > 0 {
		return reporter.Errorf("check "+o.Args.File, reporter.CodeFailed, "findings: %d", findings)
	}
	return nil
}

func (o *Options) read(name string) ([]byte, error) {
	var data []byte
	var err error
	if name == standardInput {
		data, err = io.ReadAll(o.Streams.In)
	} else {
		data, err = o.ReadFile(name)
	}
	if err != nil {
		return nil, reporter.Errorf("read file", reporter.CodeUsage, "%v", err)
	}
	return data, nil
}

// readDocument reads the version to compare with. It may have findings of its own, which do not count.
func (o *Options) readDocument(name string) (inspector.Document, error) {
	data, err := o.read(name)
	if err != nil {
		return inspector.Document{}, err
	}
	document, err := translator.Document(data)
	if err != nil {
		return inspector.Document{}, reporter.Errorf("read "+name, reporter.CodeUsage, "%v", err)
	}
	return document, nil
}
