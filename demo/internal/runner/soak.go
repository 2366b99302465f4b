package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"rhubarbtrack.example/demo/internal/soaker"
)

// soak plays seeds of the fault soak, and returns 1 when a promise was broken.
func soak(ctx context.Context, parsed options, stdout, stderr io.Writer) int {
	binary, err := os.Executable()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	status := 0
	for i := range parsed.Soak {
		if ctx.Err() != nil {
			return max(status, 3)
		}
		status = max(status, soakSeed(ctx, parsed, filepath.Dir(binary), parsed.Seed+uint64(i), stdout, stderr))
	}
	return status
}

// soakSeed plays one seed in a folder of its own, which is kept when a promise was broken.
func soakSeed(ctx context.Context, parsed options, binaries string, seed uint64, stdout, stderr io.Writer) int {
	work, err := os.MkdirTemp("", "rhubarbtrack-soak-")
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	faults, err := os.Create(filepath.Join(work, "faults.log"))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	defer func() { _ = faults.Close() }() // the run has its verdict by then
	report, err := soaker.Run(ctx, soaker.Options{
		BinDir: binaries, WorkDir: work, Seed: seed, Length: time.Duration(parsed.SoakSeconds) * time.Second,
		Hosts: parsed.SoakHosts, Upstreams: parsed.SoakKeyed, Out: faults,
	})
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "seed=%d %v; logs: %s\n", seed, err, work)
		return 3
	}
	verdict := "pass"
	if len(report.Violations) > 0 {
		verdict = "fail"
	}
	_, _ = fmt.Fprintf(stdout, "soak seed=%d requests=%d served=%d recovered=%.3f verdict=%s\n", seed, report.Requests, report.Served,
		report.Recovered, verdict)
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintln(stdout, "  "+violation)
	}
	if verdict == "pass" && !parsed.Keep {
		_ = os.RemoveAll(work)
		return 0
	}
	_, _ = fmt.Fprintf(stdout, "  logs: %s\n", work)
	if verdict == "pass" {
		return 0
	}
	return 1
}
