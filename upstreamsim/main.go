// Command upstreamsim simulates an upstream: it has slots, accepts fenced leases of slices, starts cold, drains, sheds,
// and records every request that it runs.
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
