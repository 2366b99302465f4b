// Package runner parses the command line, generates the load and reports the results.
//
// Requests are sent at their intended times, whether or not earlier ones have been answered, and their latency counts
// from the intended time. A slow service therefore shows up as latency instead of lowering the request rate.
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
	"rhubarbtrack.example/platform/transporter"
)

const (
	// maxInFlight bounds the requests without a response. Further ones are not sent and counted as overflow.
	maxInFlight = 20000
	// maxProbedKeys bounds the number of keys that are probed at the same time.
	maxProbedKeys = 256
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe, because a probe that hangs would hide that the key is available again.
	probeTimeout  = time.Second
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
	// maxIdleConnsPerEntry is large enough that most requests of an open-loop load reuse a connection.
	maxIdleConnsPerEntry = 1024
)

type options struct {
	Entries          []string `long:"entry" required:"true" description:"entry address, host:port; may be repeated"`
	Service          string   `long:"service" default:"shelf-marks" description:"name of the service"`
	KeyHeader        string   `long:"key-header" default:"Rhubarbtrack-Key" description:"header that carries the key"`
	Rate             float64  `long:"rate" default:"200" description:"mean requests per second"`
	DurationS        float64  `long:"duration-s" default:"10" description:"time during which requests are sent, in s"`
	DeadlineMS       int64    `long:"deadline-ms" default:"5000" description:"deadline of a request in ms, from its intended send time"`
	Keys             int      `long:"keys" default:"1000" description:"number of keys, 0 for a service without keys"`
	ZipfExponent     float64  `long:"zipf-exponent" default:"1.1" description:"exponent of the Zipf distribution of keys, above 1"`
	NeverRepeatShare float64  `long:"never-repeat-share" default:"0.3" description:"share of never-repeat requests (POST)"`
	IdempotentShare  float64  `long:"idempotent-share" default:"0.2" description:"share of idempotent requests (PUT)"`
	BodyBytes        int      `long:"body-bytes" default:"128" description:"size of request bodies in bytes"`
	Seed             uint64   `long:"seed" default:"1" description:"seed of arrivals, keys and kinds"`
	IDPrefix         string   `long:"id-prefix" description:"prefix of request IDs, by default service and start time"`
	ReadyPath        string   `long:"ready-path" default:"/readyz" description:"path of the readiness check of entries, empty for no check"`
	JSON             string   `long:"json" description:"file to which the results are written as JSON"`
}

type run struct {
	options    options
	start      time.Time
	client     *http.Client
	entries    *picker.Picker
	sender     *sender.Sender
	results    *tracker.Tracker
	probeSlots chan struct{}
	probes     atomic.Int64
	pending    sync.WaitGroup
}

// Main runs the load and returns the exit status: 0 for success, 2 for an invalid command line, 3 if a response was
// mismatched (see sender.Mismatched), and 1 for other errors. Requests that failed do not affect it.
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
	r.pending.Wait()
	return reporter.New(r.results, reporter.Run{
		Service: parsed.Service, Seed: parsed.Seed, Rate: parsed.Rate, Duration: seconds(parsed.DurationS),
		Probes: int(r.probes.Load()),
	}, time.Since(r.start))
}

func newRun(parsed options) *run {
	if parsed.IDPrefix == "" {
		parsed.IDPrefix = fmt.Sprintf("%s-%d", parsed.Service, time.Now().UnixNano())
	}
	transport := transporter.New(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true})
	r := &run{
		options:    parsed,
		start:      time.Now(),
		client:     &http.Client{Transport: transport},
		entries:    picker.New(parsed.Seed, parsed.Entries),
		results:    tracker.New(),
		probeSlots: make(chan struct{}, maxProbedKeys),
	}
	r.sender = sender.New(sender.Options{
		Client: r.client, Entries: r.entries, Service: parsed.Service, KeyHeader: parsed.KeyHeader,
		BodyBytes: parsed.BodyBytes, Observe: r.observe,
	})
	return r
}

// sendAll starts each request at its intended time, whether or not earlier ones have been answered.
func (r *run) sendAll(ctx context.Context) {
	plan := planner.New(planner.Options{
		Seed: r.options.Seed, Rate: r.options.Rate, Duration: seconds(r.options.DurationS), Keys: r.options.Keys,
		ZipfExponent: r.options.ZipfExponent, NeverRepeatShare: r.options.NeverRepeatShare,
		IdempotentShare: r.options.IdempotentShare, IDPrefix: r.options.IDPrefix,
	})
	slots := make(chan struct{}, maxInFlight)
	for arrival, ok := plan.Next(); ok; arrival, ok = plan.Next() {
		time.Sleep(time.Until(r.start.Add(arrival.At)))
		select {
		case slots <- struct{}{}:
		default:
			r.results.RecordOverflow()
			continue
		}
		r.pending.Add(1)
		go func() {
			defer r.pending.Done()
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
	result := r.sender.Send(ctx, arrival)
	r.results.RecordCompletion(tracker.Completion{
		ID: arrival.ID, Key: arrival.Key, Kind: arrival.Kind, Latency: time.Since(intended), Result: result,
	})
}

// observe records an attempt and starts probing a key that has just become unavailable, unless too many keys are probed
// already.
func (r *run) observe(attempt sender.Attempt) {
	becameUnavailable := r.results.RecordAttempt(tracker.Attempt{
		Key: attempt.Key, Started: attempt.Started.Sub(r.start), Ended: attempt.Ended.Sub(r.start), OK: attempt.OK,
	})
	if !becameUnavailable {
		return
	}
	select {
	case r.probeSlots <- struct{}{}:
	default:
		return
	}
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		r.probe(attempt.Key)
		<-r.probeSlots
	}()
}

// probe sends safe requests for the key until the key is available again or the latest deadline of the run has passed.
// Without probes, the outage of a rarely requested key would seem to last until its next planned request.
func (r *run) probe(key string) {
	end := r.start.Add(seconds(r.options.DurationS)).Add(time.Duration(r.options.DeadlineMS) * time.Millisecond)
	for r.results.IsUnavailable(key) && time.Now().Before(end) {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		id := fmt.Sprintf("%s-probe-%d", r.options.IDPrefix, r.probes.Add(1))
		r.sender.SendOnce(ctx, planner.Arrival{ID: id, Key: key, Kind: planner.Safe})
		cancel()
	}
}

// checkReady polls the readiness of an entry, as the platform's load balancer does.
func (r *run) checkReady(ctx context.Context, entry string) {
	client := &http.Client{Transport: transporter.New(&http.Transport{}), Timeout: readyTimeout}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + entry + r.options.ReadyPath)
		r.entries.SetReady(entry, err == nil && response.StatusCode == http.StatusOK)
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(readyInterval)
	}
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
