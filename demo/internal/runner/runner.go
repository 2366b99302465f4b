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

// runLimit ends a run that hangs; the whole demo has to stay under 60 s.
const runLimit = 58 * time.Second

type options struct {
	KeyedRate   float64 `long:"keyed-rate" default:"150" description:"requests per second to the service with keys"`
	UnkeyedRate float64 `long:"unkeyed-rate" default:"80" description:"requests per second to the service without keys"`
	Keys        int     `long:"keys" default:"300" description:"number of keys"`
	Seed        uint64  `long:"seed" default:"1" description:"seed of the load"`
	NoFence     bool    `long:"no-fence" description:"run upstreams that do not check fences"`
	NoKills     bool    `long:"no-kills" description:"kill neither a daemon nor an upstream"`
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
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	work, err := os.MkdirTemp("", "rhubarbtrack-demo-")
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	status := runIn(ctx, parsed, work, stdout, stderr)
	if status == 0 && !parsed.Keep {
		_ = os.RemoveAll(work)
		return status
	}
	_, _ = fmt.Fprintf(stdout, "logs and results: %s\n", work)
	return status
}

func runIn(ctx context.Context, parsed options, work string, stdout, stderr io.Writer) int {
	binary, err := os.Executable()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	processes := launcher.New(filepath.Dir(binary), work)
	defer processes.EndAll()
	s := &scenario{
		options: parsed, work: work, processes: processes, out: stdout, start: time.Now(),
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
