// Command loadgen sends requests at a given rate, whether or not earlier ones were answered, and checks every answer.
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
