// Command platformsim simulates the platform: an object store with versions, conditional writes and watches, and a list
// of hosts. It keeps everything in memory and injects faults on demand.
//
// Usage:
//
//	platformsim --listen 127.0.0.1:0
package main

import (
	"os"

	"rhubarbtrack.example/platformsim/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
