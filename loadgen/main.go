// Command loadgen is an open-loop load generator: it sends requests at a given mean rate, without waiting for the
// responses to earlier requests. It checks that every response is complete and belongs to its request.
//
// Usage:
//
//	loadgen --entry 127.0.0.1:8080 --service shelf-marks --rate 200 --duration-s 10 --json result.json
package main

import (
	"os"

	"rhubarbtrack.example/loadgen/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
