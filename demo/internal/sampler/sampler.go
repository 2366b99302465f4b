// Package sampler measures the latency of a service during a phase of a scenario. It sends safe requests at a fixed
// rate, whether or not earlier ones were answered, and measures each latency from the scheduled send time. A delay of
// the sender itself is therefore part of the latency (no coordinated omission).
//
// Usage:
//
//	quantiles := sampler.Measure(ctx, sampler.Load{
//		Entries: entries, Service: "shelf-marks", Keys: 300, Rate: 100, Length: 5 * time.Second,
//	})
package sampler

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

const timeout = 5 * time.Second

// Load describes the requests of a measurement. Entries are the addresses that the requests are sent to in turn, Keys
// is 0 for a service without keys, and Rate is in requests per second.
type Load struct {
	Entries []string
	Service string
	Keys    int
	Rate    int
	Length  time.Duration
}

// Quantiles holds quantiles of the latency. A request without a complete response of status 200 counts as failed; its
// latency is the time until the failure.
type Quantiles struct {
	Requests int
	Failed   int
	P50      time.Duration
	P99      time.Duration
	P999     time.Duration
}

// Measure sends the requests and waits until all of them are answered or have failed.
func Measure(ctx context.Context, load Load) Quantiles {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: load.Rate}}
	defer client.CloseIdleConnections()
	count := int(load.Length.Seconds() * float64(load.Rate))
	latencies := make([]time.Duration, count)
	failed := make([]bool, count)
	start := time.Now()
	var group sync.WaitGroup
	for n := range count {
		intended := start.Add(time.Duration(n) * time.Second / time.Duration(load.Rate))
		time.Sleep(time.Until(intended))
		group.Go(func() {
			failed[n] = !send(ctx, client, load, n)
			latencies[n] = time.Since(intended)
		})
	}
	group.Wait()
	result := quantilesOf(latencies)
	for _, f := range failed {
		if f {
			result.Failed++
		}
	}
	return result
}

func send(ctx context.Context, client *http.Client, load Load, n int) bool {
	url := fmt.Sprintf("http://%s/%s/sample", load.Entries[n%len(load.Entries)], load.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	if load.Keys > 0 {
		request.Header.Set("Rhubarbtrack-Key", fmt.Sprintf("sample-%d", n%load.Keys))
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func quantilesOf(latencies []time.Duration) Quantiles {
	if len(latencies) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(latencies))
	at := func(quantile float64) time.Duration {
		return sorted[max(int(math.Ceil(quantile*float64(len(sorted)))), 1)-1]
	}
	return Quantiles{Requests: len(sorted), P50: at(0.5), P99: at(0.99), P999: at(0.999)}
}
