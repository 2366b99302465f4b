// Command upstreamsim simulates an upstream with a fixed number of slots, each of which runs one request at a time. It
// accepts fenced leases of slices, raises its concurrency limit step by step after a start, sheds load above the limit,
// drains on demand, and records every request that it runs.
//
// Usage:
//
//	upstreamsim --listen 127.0.0.1:0 --slots 6 --service-time-ms 5
package main

import (
	"os"

	"rhubarbtrack.example/upstreamsim/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
