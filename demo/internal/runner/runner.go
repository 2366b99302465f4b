// Package runner parses the command line and runs the default scenario, the fault scenarios or the fault soak.
//
// Each run of a scenario starts processes of its own in a temporary folder: the platform simulator, the upstream
// simulators, the daemons and the load generators. After the load it compares the outcomes at the callers with the
// executions at the upstreams, and the measured values with their bounds. A process that exits unexpectedly fails the
// run.
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

// runTimeout ends a run of the default scenario that hangs. The whole run has to take less than 60 s.
const runTimeout = 58 * time.Second

// setupAllowance is the part of the time limit of a variant that covers the work before and after its load.
const setupAllowance = 30 * time.Second

type options struct {
	KeyedRate   float64 `long:"keyed-rate" default:"150" description:"requests per second to the service with keys"`
	UnkeyedRate float64 `long:"unkeyed-rate" default:"80" description:"requests per second to the service without keys"`
	Keys        int     `long:"keys" default:"300" description:"number of keys"`
	Seed        uint64  `long:"seed" default:"1" description:"seed of the load, or first seed of a soak"`
	NoFence     bool    `long:"no-fence" description:"run upstreams that do not check fences"`
	NoKills     bool    `long:"no-kills" description:"kill neither a daemon nor an upstream"`
	Scenario    string  `long:"scenario" value-name:"NAME" description:"fault scenario to run, or 'all'; 'list' prints their names"`
	Soak        int     `long:"soak" value-name:"COUNT" description:"run the fault soak for COUNT consecutive seeds, starting with --seed, against simulators of the platform"`
	SoakSeconds int     `long:"soak-seconds" default:"15" description:"seconds for which each seed of a soak injects faults"`
	SoakHosts   int     `long:"soak-hosts" default:"4" description:"number of daemons in a soak"`
	SoakKeyed   int     `long:"soak-upstreams" default:"4" description:"number of upstreams with keys in a soak; half as many without keys are added"`
	Keep        bool    `long:"keep" description:"keep the folder with logs and results of a passing run as well"`
}

// Main runs the demo and returns its exit status: 0 if every run passed, 1 if a run failed one of its checks, 2 for an
// invalid command line, and 3 if the demo failed to run.
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
			_, _ = fmt.Fprintf(stdout, "%-18s %s\n", named.name, named.description)
		}
		return 0
	}
	variants, ok := variantsOf(parsed.Scenario)
	if !ok {
		_, _ = fmt.Fprintf(stderr, "unknown scenario %q; --scenario list prints the names\n", parsed.Scenario)
		return 2
	}
	status := 0
	for _, v := range variants {
		if ctx.Err() != nil {
			return max(status, 3)
		}
		status = max(status, runVariant(ctx, parsed, v, stdout, stderr))
	}
	return status
}

// runVariant runs a variant in a temporary folder, which is kept if the variant fails.
func runVariant(ctx context.Context, parsed options, v variant, stdout, stderr io.Writer) int {
	timeout := runTimeout
	if v.name != "" {
		timeout = v.length + setupAllowance
		_, _ = fmt.Fprintf(stdout, "== %s\n", v.name)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	workDir, err := os.MkdirTemp("", "rhubarbtrack-demo-")
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	status := runInFolder(ctx, parsed, v, workDir, stdout, stderr)
	if status == 0 && !parsed.Keep {
		_ = os.RemoveAll(workDir)
		return status
	}
	_, _ = fmt.Fprintf(stdout, "logs and results: %s\n", workDir)
	return status
}

func runInFolder(ctx context.Context, parsed options, v variant, workDir string, stdout, stderr io.Writer) int {
	binary, err := os.Executable()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	parsed.NoFence = parsed.NoFence || v.noFence
	processes := launcher.New(filepath.Dir(binary), workDir)
	defer processes.KillAll()
	s := &scenario{
		options: parsed, variant: v, workDir: workDir, processes: processes, out: stdout, start: time.Now(),
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
