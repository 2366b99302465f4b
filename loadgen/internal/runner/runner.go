// Package runner parses the command line and runs the load.
//
// Usage:
//
//	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"rhubarbtrack.example/loadgen/internal/picker"
	"rhubarbtrack.example/loadgen/internal/planner"
	"rhubarbtrack.example/loadgen/internal/reporter"
	"rhubarbtrack.example/loadgen/internal/sender"
	"rhubarbtrack.example/loadgen/internal/tracker"
)

const (
	// waitingLimit bounds the requests without an answer; further ones are counted as overflow.
	waitingLimit = 20000
	// probeLimit bounds the keys that are probed at once.
	probeLimit    = 256
	probeInterval = 100 * time.Millisecond
	// probeTimeout keeps one probe that hangs from hiding that the key is available again.
	probeTimeout  = time.Second
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
	// idleConnections per entry are enough to keep an open loop from opening a connection for most requests.
	idleConnections = 1024
)

type options struct {
	Entries          []string `long:"entry" required:"true" description:"entry address, host:port; may be repeated"`
	Service          string   `long:"service" default:"shelf-marks" description:"name of the service"`
	KeyHeader        string   `long:"key-header" default:"Rhubarbtrack-Key" description:"header that carries the key"`
	Rate             float64  `long:"rate" default:"200" description:"mean requests per second"`
	DurationS        float64  `long:"duration-s" default:"10" description:"time during which requests are sent, in s"`
	DeadlineMS       int64    `long:"deadline-ms" default:"5000" description:"deadline of a request in ms, from its intended send time"`
	Keys             int      `long:"keys" default:"1000" description:"number of keys, 0 for a service without keys"`
	ZipfExponent     float64  `long:"zipf-exponent" default:"1.1" description:"exponent of the key distribution, above 1"`
	NeverRepeatShare float64  `long:"never-repeat-share" default:"0.3" description:"share of never-repeat requests (POST)"`
	IdempotentShare  float64  `long:"idempotent-share" default:"0.2" description:"share of idempotent requests (PUT)"`
	BodyBytes        int      `long:"body-bytes" default:"128" description:"size of request bodies in bytes"`
	Seed             uint64   `long:"seed" default:"1" description:"seed of arrivals, keys and kinds"`
	IDPrefix         string   `long:"id-prefix" description:"beginning of request ids, by default service and start time"`
	ReadyPath        string   `long:"ready-path" default:"/readyz" description:"path by which entries are checked, empty for no check"`
	JSON             string   `long:"json" description:"file for the results"`
}

type run struct {
	options options
	start   time.Time
	client  *http.Client
	entries *picker.Picker
	send    *sender.Sender
	results *tracker.Tracker
	probing chan struct{}
	probes  atomic.Int64
	waiting sync.WaitGroup
}

// Main runs the load and returns the exit status: 0 when every answer belonged to its request and was whole, 3 when one
// did not, 2 for a wrong command line, and 1 for other errors.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed options
	if _, err := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 2
	}
	if parsed.Rate <= 0 || parsed.ZipfExponent <= 1 {
		_, _ = fmt.Fprintln(stderr, "--rate must be above 0 and --zipf-exponent above 1")
		return 2
	}
	report := execute(parsed)
	report.Print(stdout)
	if parsed.JSON != "" {
		if err := report.Write(parsed.JSON); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return 1
		}
	}
	if report.Mismatched > 0 {
		return 3
	}
	return 0
}

func execute(parsed options) reporter.Report {
	r := newRun(parsed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if parsed.ReadyPath != "" {
		for _, entry := range parsed.Entries {
			go r.checkReady(ctx, entry)
		}
	}
	r.sendAll(ctx)
	r.waiting.Wait()
	return reporter.New(r.results, reporter.Run{
		Service: parsed.Service, Seed: parsed.Seed, Rate: parsed.Rate, Duration: seconds(parsed.DurationS),
		Probes: int(r.probes.Load()),
	}, time.Since(r.start))
}

func newRun(parsed options) *run {
	if parsed.IDPrefix == "" {
		parsed.IDPrefix = fmt.Sprintf("%s-%d", parsed.Service, time.Now().UnixNano())
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	r := &run{
		options: parsed,
		start:   time.Now(),
		client:  &http.Client{Transport: transport},
		entries: picker.New(parsed.Seed, parsed.Entries),
		results: tracker.New(),
		probing: make(chan struct{}, probeLimit),
	}
	r.send = sender.New(sender.Options{
		Client: r.client, Entries: r.entries, Service: parsed.Service, KeyHeader: parsed.KeyHeader,
		BodyBytes: parsed.BodyBytes, Observe: r.observe,
	})
	return r
}

// sendAll starts each request at its intended time, whether or not earlier ones were answered.
func (r *run) sendAll(ctx context.Context) {
	plan := planner.New(planner.Options{
		Seed: r.options.Seed, Rate: r.options.Rate, Duration: seconds(r.options.DurationS), Keys: r.options.Keys,
		ZipfExponent: r.options.ZipfExponent, NeverRepeatShare: r.options.NeverRepeatShare,
		IdempotentShare: r.options.IdempotentShare, IDPrefix: r.options.IDPrefix,
	})
	slots := make(chan struct{}, waitingLimit)
	for arrival, ok := plan.Next(); ok; arrival, ok = plan.Next() {
		time.Sleep(time.Until(r.start.Add(arrival.At)))
		select {
		case slots <- struct{}{}:
		default:
			r.results.RecordOverflow()
			continue
		}
		r.waiting.Add(1)
		go func() {
			defer r.waiting.Done()
			r.sendOne(ctx, arrival)
			<-slots
		}()
	}
}

func (r *run) sendOne(ctx context.Context, arrival planner.Arrival) {
	intended := r.start.Add(arrival.At)
	deadline := intended.Add(time.Duration(r.options.DeadlineMS) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result := r.send.Send(ctx, arrival)
	r.results.RecordCompletion(tracker.Completion{
		ID: arrival.ID, Key: arrival.Key, Kind: arrival.Kind, Latency: time.Since(intended), Result: result,
	})
}

// observe records an attempt and starts to probe a key that has become unavailable.
func (r *run) observe(attempt sender.Attempt) {
	becameUnavailable := r.results.RecordAttempt(tracker.Attempt{
		Key: attempt.Key, Started: attempt.Started.Sub(r.start), Ended: attempt.Ended.Sub(r.start), OK: attempt.OK,
	})
	if !becameUnavailable {
		return
	}
	select {
	case r.probing <- struct{}{}:
	default:
		return
	}
	r.waiting.Add(1)
	go func() {
		defer r.waiting.Done()
		r.probe(attempt.Key)
		<-r.probing
	}()
}

// probe sends safe requests for the key until one succeeds, so that the unavailability of a rarely requested key is not
// overstated by the time until its next request.
func (r *run) probe(key string) {
	limit := r.start.Add(seconds(r.options.DurationS)).Add(time.Duration(r.options.DeadlineMS) * time.Millisecond)
	for r.results.IsUnavailable(key) && time.Now().Before(limit) {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		id := fmt.Sprintf("%s-probe-%d", r.options.IDPrefix, r.probes.Add(1))
		r.send.SendOnce(ctx, planner.Arrival{ID: id, Key: key, Kind: planner.Safe})
		cancel()
	}
}

// checkReady keeps the readiness of an entry up to date, as the platform's balancer does.
func (r *run) checkReady(ctx context.Context, entry string) {
	client := &http.Client{Timeout: readyTimeout}
	for ctx.Err() == nil {
		answer, err := client.Get("http://" + entry + r.options.ReadyPath)
		r.entries.SetReady(entry, err == nil && answer.StatusCode == http.StatusOK)
		if err == nil {
			_ = answer.Body.Close()
		}
		time.Sleep(readyInterval)
	}
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
