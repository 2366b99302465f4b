package runner

import (
	"context"
	"strings"
	"sync"
	"time"

	"rhubarbtrack.example/demo/internal/checker"
	"rhubarbtrack.example/demo/internal/injector"
	"rhubarbtrack.example/demo/internal/sampler"
)

const (
	slowFactor = 10
	slowLength = 5 * time.Second
	// mostExtra is the bound of the extra load by hedges.
	mostExtra = 0.05
	// A slowed upstream with keys runs about 120 requests/s. The sample of 100/s keeps its share of all load below that.
	keyedSampleRate   = 100
	unkeyedSampleRate = 200
)

// phase is a part of a scenario whose executions are counted.
type phase struct {
	name        string
	from, until int64
}

// slowUpstreams slows one and then two upstreams of each service, and compares the latencies with the quiet time before.
func slowUpstreams(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	s.measure(ctx, "quiet")
	var phases []phase
	for i, name := range []string{"one-slow", "two-slow"} {
		if err := s.waitUntil(ctx, faultAt+time.Duration(i+1)*(slowLength+2*time.Second)); err != nil {
			return err
		}
		if err := s.slow(ctx, i+1, slowFactor); err != nil {
			return err
		}
		from := time.Now()
		s.measure(ctx, name)
		phases = append(phases, phase{name: name, from: from.UnixNano(), until: time.Now().UnixNano()})
		if err := s.slow(ctx, i+1, 0); err != nil {
			return err
		}
	}
	s.judge = func(_ *summary, executions []checker.Execution) { s.judgeExtra(phases, executions) }
	return nil
}

// slow multiplies the running times of the first upstreams of each service.
func (s *scenario) slow(ctx context.Context, count int, factor float64) error {
	seen := map[string]int{}
	for _, u := range s.upstreams {
		if seen[u.service] == count {
			continue
		}
		seen[u.service]++
		if err := injector.SetUpstream(ctx, u.address, injector.Upstream{SlowFactor: factor}); err != nil {
			return err
		}
	}
	return nil
}

// measure samples both services at the same time and prints the quantiles.
func (s *scenario) measure(ctx context.Context, name string) {
	loads := []sampler.Load{
		{Entries: s.entries(nil), Service: keyedService, Keys: s.options.Keys, Rate: keyedSampleRate, Length: slowLength},
		{Entries: s.entries(nil), Service: unkeyedService, Rate: unkeyedSampleRate, Length: slowLength},
	}
	measured := make([]sampler.Quantiles, len(loads))
	var waiting sync.WaitGroup
	for i, load := range loads {
		waiting.Go(func() { measured[i] = sampler.Measure(ctx, load) })
	}
	waiting.Wait()
	for i, q := range measured {
		s.say("phase=%s service=%s samples=%d failed=%d p50-ms=%.1f p99-ms=%.1f p99-9-ms=%.1f", name, loads[i].Service,
			q.Requests, q.Failed, milliseconds(q.P50), milliseconds(q.P99), milliseconds(q.P999))
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// judgeExtra bounds the share of executions beyond the first one of each request.
func (s *scenario) judgeExtra(phases []phase, executions []checker.Execution) {
	for _, service := range []string{keyedService, unkeyedService} {
		for _, p := range phases {
			s.extra = append(s.extra, limit{
				name: "extra-load-" + p.name + "-" + service, measured: extraShare(p, service, executions), bound: mostExtra,
			})
		}
	}
}

func extraShare(p phase, service string, executions []checker.Execution) float64 {
	distinct := map[string]bool{}
	count := 0
	for _, e := range executions {
		if !strings.HasPrefix(e.Upstream, service+".") || e.Start < p.from || e.Start > p.until {
			continue
		}
		count++
		distinct[e.RequestID] = true
	}
	if len(distinct) == 0 {
		return 0
	}
	return float64(count-len(distinct)) / float64(len(distinct))
}
