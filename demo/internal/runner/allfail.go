package runner

import (
	"context"
	"fmt"
	"time"

	"rhubarbtrack.example/demo/internal/rejecter"
	"rhubarbtrack.example/demo/internal/sampler"
)

const (
	// mostReached bounds the requests that reach upstreams for each request offered while all upstreams fail.
	mostReached   = 1.1
	failingLength = 4 * time.Second
	// failingRate is the load in requests/s that the scenario sends itself, each request once.
	failingRate = 200
)

// failAll replaces all upstreams of the service without keys by stand-ins that refuse and then break every request.
func failAll(ctx context.Context, s *scenario) error {
	load := sampler.Load{Entries: s.entries(nil), Service: unkeyedService, Rate: failingRate, Length: failingLength}
	quiet := sampler.Measure(ctx, load)
	s.say("before: requests=%d failed=%d", quiet.Requests, quiet.Failed)
	var stands []*rejecter.Rejecter
	for _, u := range s.upstreams {
		if u.service != unkeyedService {
			continue
		}
		s.kill(u)
		r, err := rejecter.Listen(u.address)
		if err != nil {
			return err
		}
		defer r.Close()
		stands = append(stands, r)
	}
	before := 0
	for _, breaks := range []bool{false, true} {
		for _, r := range stands {
			r.SetAbort(breaks)
		}
		result := sampler.Measure(ctx, load)
		reached := 0
		for _, r := range stands {
			reached += r.Received()
		}
		s.say("breaks=%t: requests=%d failed=%d reached=%d", breaks, result.Requests, result.Failed, reached-before)
		s.extra = append(s.extra, limit{
			name:     fmt.Sprintf("reached-per-offered-breaks-%t", breaks),
			measured: float64(reached-before) / float64(result.Requests), bound: mostReached,
		})
		before = reached
	}
	return nil
}
