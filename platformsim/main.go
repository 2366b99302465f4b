// Command platformsim simulates the platform: an object API with versions, conditional updates and watches, and a list
// of hosts.
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
