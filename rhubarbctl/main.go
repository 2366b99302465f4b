// Command rhubarbctl is the command-line tool for operators of rhubarbtrack.
//
// # Usage
//
//	$ rhubarbctl status
//	$ rhubarbctl --help
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"rhubarbtrack.example/rhubarbctl/commander"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, commander.System(), os.Args[1:], os.Getenv)
}
