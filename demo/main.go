// Command demo runs the daemons, the simulators and the load generator as processes on loopback. It takes a failure
// domain out of service and returns it, kills a daemon and an upstream, and checks that no request was lost or executed
// twice.
//
// Usage:
//
//	.bin/demo
package main

import (
	"os"

	"rhubarbtrack.example/demo/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
