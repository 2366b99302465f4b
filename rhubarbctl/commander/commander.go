// Package commander builds the command tree of rhubarbctl and runs one command line.
//
// # Usage
//
//	os.Exit(commander.Run(ctx, commander.System(), os.Args[1:], os.Getenv))
package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"rhubarbtrack.example/rhubarbctl/internal/command/apply"
	auditlist "rhubarbtrack.example/rhubarbctl/internal/command/audit/list"
	changeget "rhubarbtrack.example/rhubarbctl/internal/command/change/get"
	"rhubarbtrack.example/rhubarbctl/internal/command/completion"
	configcheck "rhubarbtrack.example/rhubarbctl/internal/command/config/check"
	"rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/bringback"
	domaincreate "rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/create"
	domaindelete "rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/delete"
	domainlist "rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/list"
	"rhubarbtrack.example/rhubarbctl/internal/command/failuredomain/takeout"
	hostlist "rhubarbtrack.example/rhubarbctl/internal/command/host/list"
	servicedelete "rhubarbtrack.example/rhubarbctl/internal/command/service/delete"
	servicelist "rhubarbtrack.example/rhubarbctl/internal/command/service/list"
	serviceset "rhubarbtrack.example/rhubarbctl/internal/command/service/set"
	"rhubarbtrack.example/rhubarbctl/internal/command/service/slices"
	"rhubarbtrack.example/rhubarbctl/internal/command/status"
	upstreamdelete "rhubarbtrack.example/rhubarbctl/internal/command/upstream/delete"
	"rhubarbtrack.example/rhubarbctl/internal/command/upstream/drain"
	upstreamlist "rhubarbtrack.example/rhubarbctl/internal/command/upstream/list"
	upstreamset "rhubarbtrack.example/rhubarbctl/internal/command/upstream/set"
	windowdelete "rhubarbtrack.example/rhubarbctl/internal/command/window/delete"
	windowlist "rhubarbtrack.example/rhubarbctl/internal/command/window/list"
	windowset "rhubarbtrack.example/rhubarbctl/internal/command/window/set"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// Streams are the standard streams of a command.
type Streams = printer.Streams

// System returns the standard streams of the process.
func System() *Streams { return printer.System() }

// Run runs one command line, given without the program name, and returns its exit code. The help text lists the exit
// codes. getenv reads the bearer token; go-flags reads the other environment variables.
func Run(ctx context.Context, streams *Streams, args []string, getenv func(name string) string) int {
	settings := &dialer.Settings{}
	client := func() (dialer.Client, error) { return settings.Client(getenv(dialer.TokenVariable)) }
	parser, err := newParser(settings, provider.New(ctx, streams, client))
	if err != nil {
		return reporter.Report(streams, err)
	}
	_, err = parser.ParseArgs(args)
	return reporter.Report(streams, err)
}

func newParser(settings *dialer.Settings, p *provider.Provider) (*flags.Parser, error) {
	parser := flags.NewNamedParser("rhubarbctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Operates rhubarbtrack"
	parser.LongDescription = longDescription()
	parser.CommandHandler = execute
	if _, err := parser.AddGroup("Connection", "Connection to a daemon", settings); err != nil {
		return nil, err
	}
	for _, group := range commandGroups(p) {
		if err := group.Add(parser.Command); err != nil {
			return nil, err
		}
	}
	for _, command := range []registrar.Command{status.New(p, nil), apply.New(p, nil), completion.New(p, nil)} {
		if err := command.Add(parser.Command); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func commandGroups(p *provider.Provider) []registrar.Group {
	return []registrar.Group{
		{Name: "service", Short: "Services", Commands: []registrar.Command{
			servicelist.New(p, nil), serviceset.New(p, nil), slices.New(p, nil), servicedelete.New(p, nil),
		}},
		{Name: "upstream", Short: "Upstreams", Commands: []registrar.Command{
			upstreamlist.New(p, nil), upstreamset.New(p, nil), drain.New(p, nil), upstreamdelete.New(p, nil),
		}},
		{Name: "failure-domain", Short: "Failure domains", Commands: []registrar.Command{
			domainlist.New(p, nil), domaincreate.New(p, nil), takeout.New(p, nil), bringback.New(p, nil),
			domaindelete.New(p, nil),
		}},
		{Name: "window", Short: "Weekly cleaning windows", Commands: []registrar.Command{
			windowlist.New(p, nil), windowset.New(p, nil), windowdelete.New(p, nil),
		}},
		{Name: "config", Short: "Configurations of the users' platform", Commands: []registrar.Command{configcheck.New(p, nil)}},
		{Name: "change", Short: "Issued changes", Commands: []registrar.Command{changeget.New(p, nil)}},
		{Name: "audit", Short: "Audit trail", Commands: []registrar.Command{auditlist.New(p, nil)}},
		{Name: "host", Short: "Hosts", Commands: []registrar.Command{hostlist.New(p, nil)}},
	}
}

// execute rejects surplus positional arguments, which go-flags ignores.
func execute(command flags.Commander, args []string) error {
	if len(args) > 0 {
		return reporter.Errorf("parse arguments", reporter.CodeUsage, "unexpected argument %q", args[0])
	}
	if command == nil {
		return nil
	}
	return command.Execute(args)
}

func longDescription() string {
	var text strings.Builder
	text.WriteString("Operates rhubarbtrack through the operators' listener of any host.\n\n")
	fmt.Fprintf(&text, "The environment variable %s holds the bearer token, if the listener requires one.\n\n", dialer.TokenVariable)
	text.WriteString("Exit codes:\n\n")
	for _, entry := range reporter.ExitCodes {
		fmt.Fprintf(&text, "%d: %s\n", entry.Code, entry.Text)
	}
	return text.String()
}
