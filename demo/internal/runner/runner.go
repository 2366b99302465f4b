// Package runner parses the command line and runs the demo.
//
// Usage:
//
//	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
package runner

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"rhubarbtrack.example/demo/internal/launcher"
)

// runLimit ends a run of the default scenario that hangs; it has to stay under 60 s.
const runLimit = 58 * time.Second

// startAndEnd bounds what a part needs beside its load.
const startAndEnd = 30 * time.Second

type options struct {
	KeyedRate   float64 `long:"keyed-rate" default:"150" description:"requests per second to the service with keys"`
	UnkeyedRate float64 `long:"unkeyed-rate" default:"80" description:"requests per second to the service without keys"`
	Keys        int     `long:"keys" default:"300" description:"number of keys"`
	Seed        uint64  `long:"seed" default:"1" description:"seed of the load"`
	NoFence     bool    `long:"no-fence" description:"run upstreams that do not check fences"`
	NoKills     bool    `long:"no-kills" description:"kill neither a daemon nor an upstream"`
	Scenario    string  `long:"scenario" value-name:"NAME" description:"fault scenario to run, or 'all'; 'list' prints their names"`
	Soak        int     `long:"soak" value-name:"COUNT" description:"play this many seeds of the fault soak on the platform's stand-ins, from --seed on"`
	SoakSeconds int     `long:"soak-seconds" default:"15" description:"length of the faults of each soak seed"`
	SoakHosts   int     `long:"soak-hosts" default:"4" description:"daemons of a soak"`
	SoakKeyed   int     `long:"soak-upstreams" default:"4" description:"upstreams with keys of a soak; half as many without are added"`
	Keep        bool    `long:"keep" description:"keep the folder with logs and results"`
}

// Main runs the demo and returns its exit status: 0 without violations, 1 with any, 2 for a wrong command line, and 3 when
// the demo could not run.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed options
	if _, err := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if parsed.Soak > 0 {
		return soak(ctx, parsed, stdout, stderr)
	}
	if parsed.Scenario == "list" {
		for _, named := range catalogue() {
			_, _ = fmt.Fprintf(stdout, "%-18s %s\n", named.name, named.proves)
		}
		return 0
	}
	parts, ok := partsOf(parsed.Scenario)
	if !ok {
		_, _ = fmt.Fprintf(stderr, "there is no scenario %q; --scenario list prints their names\n", parsed.Scenario)
		return 2
	}
	status := 0
	for _, p := range parts {
		if ctx.Err() != nil {
			return max(status, 3)
		}
		status = max(status, runPart(ctx, parsed, p, stdout, stderr))
	}
	return status
}

// runPart runs a part in a folder of its own, which is kept when the part failed.
func runPart(ctx context.Context, parsed options, p part, stdout, stderr io.Writer) int {
	limit := runLimit
	if p.name != "" {
		limit = p.length + startAndEnd
		_, _ = fmt.Fprintf(stdout, "== %s\n", p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	work, err := os.MkdirTemp("", "rhubarbtrack-demo-")
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	status := runIn(ctx, parsed, p, work, stdout, stderr)
	if status == 0 && !parsed.Keep {
		_ = os.RemoveAll(work)
		return status
	}
	_, _ = fmt.Fprintf(stdout, "logs and results: %s\n", work)
	return status
}

func runIn(ctx context.Context, parsed options, p part, work string, stdout, stderr io.Writer) int {
	binary, err := os.Executable()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	parsed.NoFence = parsed.NoFence || p.noFence
	processes := launcher.New(filepath.Dir(binary), work)
	defer processes.KillAll()
	s := &scenario{
		options: parsed, part: p, work: work, processes: processes, out: stdout, start: time.Now(),
		peerSecret: rand.Text(),
	}
	summary, err := s.run(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		for _, exited := range processes.Exited() {
			_, _ = fmt.Fprintln(stderr, "ended:", exited)
		}
		return 3
	}
	summary.print(stdout)
	if summary.failed() {
		return 1
	}
	return 0
}
