// Command demo runs the daemons, the simulators and the load generator as processes on loopback. It takes a failure
// domain out of service and returns it, kills a daemon and an upstream, and checks that no request was lost and that no
// request that must not be repeated was executed twice. The flag --scenario selects other faults, and --soak injects
// faults in random order.
//
// Usage:
//
//	.bin/demo
//	.bin/demo --scenario list
//	.bin/demo --soak 3 --seed 7
package main

import (
	"os"

	"rhubarbtrack.example/demo/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
