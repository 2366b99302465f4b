// Package runner parses the command line and runs the simulator.
//
// Usage:
//
//	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"rhubarbtrack.example/platformsim/internal/responder"
)

type options struct {
	Listen          string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	WritesPerSecond float64 `long:"writes-per-second" default:"400" description:"rate limit of writes, 0 for none"`
	ReadsPerSecond  float64 `long:"reads-per-second" default:"2000" description:"rate limit of reads, 0 for none"`
}

// Main runs the program until the server fails and returns the exit status: 2 for an invalid command line, 1 for all
// other errors. The first line on stdout is "listening on " and the address.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed options
	if _, err := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	listener, err := net.Listen("tcp", parsed.Listen)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	_, _ = fmt.Fprintf(stdout, "listening on %s\n", listener.Addr())
	start := time.Now()
	handler := responder.New(responder.Options{
		Now:             func() time.Duration { return time.Since(start) },
		WritesPerSecond: parsed.WritesPerSecond,
		ReadsPerSecond:  parsed.ReadsPerSecond,
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	_, _ = fmt.Fprintln(stderr, server.Serve(listener))
	return 1
}
