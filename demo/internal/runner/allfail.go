package runner

import (
	"context"
	"fmt"
	"time"

	"rhubarbtrack.example/demo/internal/rejecter"
	"rhubarbtrack.example/demo/internal/sampler"
)

const (
	// maxReachedRatio bounds the attempts that reach upstreams for each offered request while all upstreams fail.
	maxReachedRatio = 1.1
	failingLength   = 4 * time.Second
	// failingRate is the load of the scenario in requests per second. Each request is sent once.
	failingRate = 200
)

// failAll replaces all upstreams of the service without keys by stand-ins that reject all requests and later abort
// their connections, and counts the attempts that reach them.
func failAll(ctx context.Context, s *scenario) error {
	load := sampler.Load{Entries: s.entries(nil), Service: unkeyedService, Rate: failingRate, Length: failingLength}
	baseline := sampler.Measure(ctx, load)
	s.logf("before: requests=%d failed=%d", baseline.Requests, baseline.Failed)
	var rejecters []*rejecter.Rejecter
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
		rejecters = append(rejecters, r)
	}
	receivedBefore := 0
	for _, abort := range []bool{false, true} {
		for _, r := range rejecters {
			r.SetAbort(abort)
		}
		result := sampler.Measure(ctx, load)
		received := 0
		for _, r := range rejecters {
			received += r.Received()
		}
		s.logf("breaks=%t: requests=%d failed=%d reached=%d", abort, result.Requests, result.Failed, received-receivedBefore)
		s.extraLimits = append(s.extraLimits, limit{
			name:     fmt.Sprintf("reached-per-offered-breaks-%t", abort),
			measured: float64(received-receivedBefore) / float64(result.Requests), bound: maxReachedRatio,
		})
		receivedBefore = received
	}
	return nil
}
