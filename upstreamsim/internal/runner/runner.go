// Package runner parses the command line and runs the simulator.
//
// Without --store the process serves the control calls of package responder and holds slices by leases. With --store it
// registers in the platform's store and holds ranges of numeric keys by grants that it receives over HTTP.
//
// Usage:
//
//	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
package runner

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/upstreamsim/internal/responder"
)

// platformQueue is the queue length, in requests, of an upstream on the users' platform.
const platformQueue = 24

type options struct {
	Listen         string  `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Slots          int     `long:"slots" default:"6" description:"number of requests that run at the same time"`
	ServiceTime    float64 `long:"service-time-ms" default:"5" description:"mean running time of a request in ms"`
	ServiceSpread  float64 `long:"service-spread-ms" description:"largest deviation of the running time from the mean in ms, uniformly distributed"`
	ResponseBytes  int     `long:"response-bytes" default:"64" description:"size of the padding in each response in bytes"`
	NoFence        bool    `long:"no-fence" description:"do not check fences: accept any term and run any request"`
	NoKeys         bool    `long:"no-keys" description:"run requests that carry no fence, for a service without keys"`
	Fragile        bool    `long:"fragile" description:"crash when running and shed requests together exceed twice the concurrency limit"`
	Warm           bool    `long:"warm" description:"start with the concurrency limit at the number of slots instead of at 1"`
	Seed           uint64  `long:"seed" default:"1" description:"seed of the running times"`
	Store          string  `long:"store" description:"address of the platform's store, to register there and hold ranges of numeric keys by the platform's grants"`
	ID             string  `long:"id" description:"name of the upstream in the store"`
	Service        string  `long:"service" description:"service of the upstream in the store"`
	Domain         string  `long:"failure-domain" description:"failure domain of the upstream in the store"`
	Advertise      string  `long:"advertise" description:"address of the upstream in the store, by default the one to listen on"`
	LateGrantShare float64 `long:"late-orders" description:"with --store: share of grants, 0 to 1, that are carried out late and without a response"`
	GarbleShare    float64 `long:"garble" description:"with --store: share of responses, 0 to 1, that are replaced by bytes without end or an invalid head, or followed by a late copy"`
	EarlyResets    float64 `long:"early-resets" description:"with --store: share of long uploads, 0 to 1, to which a part of a response is sent before the connection is reset"`
	RunsFile       string  `long:"runs-file" description:"file to which the start and end of each run are appended as lines of JSON"`
}

// Main runs the program until the server fails and returns the exit status: 2 for an invalid command line, 1 for all
// other errors. The first line on stdout is "listening on " and the address.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed options
	if _, err := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	if parsed.Slots < 1 {
		_, _ = fmt.Fprintln(stderr, "--slots must be at least 1")
		return 2
	}
	if err := serve(parsed, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
	}
	return 1
}

func serve(parsed options, stdout io.Writer) error {
	var runsFile io.Writer
	if parsed.RunsFile != "" {
		file, err := os.OpenFile(parsed.RunsFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		runsFile = file
	}
	listener, err := net.Listen("tcp", parsed.Listen)
	if err != nil {
		return err
	}
	if parsed.Store != "" {
		_, _ = fmt.Fprintf(stdout, "listening on %s\n", listener.Addr())
		return simulator.RunProcess(context.Background(), simulator.UpstreamOptions{
			ID: parsed.ID, Service: parsed.Service, Domain: parsed.Domain, Address: cmp.Or(parsed.Advertise, listener.Addr().String()),
			Keyed: !parsed.NoKeys, Slots: parsed.Slots, Queue: platformQueue, WorkTime: milliseconds(parsed.ServiceTime),
			LateGrantShare: parsed.LateGrantShare, GarbleShare: parsed.GarbleShare, EarlyResetShare: parsed.EarlyResets,
		}, listener, parsed.Store, stdout)
	}
	start := time.Now()
	handler := responder.New(responder.Options{
		Incarnation:   rand.Text(),
		Now:           func() time.Duration { return time.Since(start) },
		WallNS:        func() int64 { return time.Now().UnixNano() },
		Exit:          os.Exit,
		RunsFile:      runsFile,
		Slots:         parsed.Slots,
		Warm:          parsed.Warm,
		Fragile:       parsed.Fragile,
		CheckFences:   !parsed.NoFence,
		Keyed:         !parsed.NoKeys,
		ServiceTime:   milliseconds(parsed.ServiceTime),
		ServiceSpread: milliseconds(parsed.ServiceSpread),
		ResponseBytes: parsed.ResponseBytes,
		Seed:          parsed.Seed,
	})
	_, _ = fmt.Fprintf(stdout, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(listener)
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
