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

// soak runs the seeds of the fault soak one after the other. It returns the highest exit status of a seed: 1 if a
// guarantee was violated and 3 if a run failed.
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

// soakSeed runs one seed in a temporary folder, which is kept if a guarantee was violated.
func soakSeed(ctx context.Context, parsed options, binDir string, seed uint64, stdout, stderr io.Writer) int {
	workDir, err := os.MkdirTemp("", "rhubarbtrack-soak-")
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	faults, err := os.Create(filepath.Join(workDir, "faults.log"))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 3
	}
	defer func() { _ = faults.Close() }() // the verdict does not depend on this log
	report, err := soaker.Run(ctx, soaker.Options{
		BinDir: binDir, WorkDir: workDir, Seed: seed, Length: time.Duration(parsed.SoakSeconds) * time.Second,
		Hosts: parsed.SoakHosts, Upstreams: parsed.SoakKeyed, Out: faults,
	})
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "seed=%d %v; logs: %s\n", seed, err, workDir)
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
		_ = os.RemoveAll(workDir)
		return 0
	}
	_, _ = fmt.Fprintf(stdout, "  logs: %s\n", workDir)
	if verdict == "pass" {
		return 0
	}
	return 1
}
