package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/checker"
	"rhubarbtrack.example/demo/internal/injector"
)

const (
	poisonMark = "poison"
	// poisonLength is the time for which a caller sends the marked request repeatedly.
	poisonLength   = 7 * time.Second
	poisonInterval = 100 * time.Millisecond
	poisonTimeout  = 2 * time.Second
	// maxLostUpstreams is the number of crashed upstreams after which the request that crashes them is blocked (section
	// 8 of docs/design.md).
	maxLostUpstreams = 2
)

// poison sends a request that crashes its upstream to each service, repeatedly and through all hosts. The method is
// PUT, which the rules of the services class as idempotent, so that the router may retry the request as well.
func poison(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	for _, u := range s.upstreams {
		if err := injector.SetUpstream(ctx, u.address, injector.Upstream{CrashMark: poisonMark}); err != nil {
			return err
		}
	}
	for i, service := range []string{keyedService, unkeyedService} {
		if err := s.waitUntil(ctx, faultAt+time.Duration(i)*(poisonLength+time.Second)); err != nil {
			return err
		}
		s.sendPoison(ctx, service)
		crashed := s.countCrashedUpstreams(service)
		if crashed == 0 {
			return errors.Newf("the marked request crashed no upstream of %s", service)
		}
		s.extraLimits = append(s.extraLimits, limit{
			name: "upstreams-lost-" + service, measured: float64(crashed), bound: maxLostUpstreams,
		})
	}
	s.addLimits = s.addUnknownLimits
	return nil
}

// addUnknownLimits bounds the number of other requests of unknown outcome by the requests that can be in flight at the
// upstreams that may crash.
func (s *scenario) addUnknownLimits(result *summary, _ []checker.Execution) {
	for _, loaded := range result.services {
		s.extraLimits = append(s.extraLimits, limit{
			name: "unknown-requests-" + loaded.service, measured: float64(loaded.result.Unknown), bound: maxLostUpstreams * slots,
		})
	}
}

func (s *scenario) sendPoison(ctx context.Context, service string) {
	client := &http.Client{Timeout: poisonTimeout}
	defer client.CloseIdleConnections()
	entries := s.entries(nil)
	outcomes := map[string]int{}
	last := ""
	for n, start := 0, time.Now(); time.Since(start) < poisonLength; n++ {
		last = sendPoisonOnce(ctx, client, entries[n%len(entries)], service)
		outcomes[last]++
		if pause(ctx, poisonInterval) != nil {
			return
		}
	}
	s.logf("marked request to %s: outcomes %v, last outcome %q", service, outcomes, last)
}

// sendPoisonOnce returns the status and the outcome header of the response, or the reason why there is none.
func sendPoisonOnce(ctx context.Context, client *http.Client, entry, service string) string {
	url := fmt.Sprintf("http://%s/%s/marked", entry, service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(poisonMark))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Demo-Mark", poisonMark)
	if service == keyedService {
		request.Header.Set("Rhubarbtrack-Key", "marked")
	}
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, response.Header.Get("Rhubarbtrack-Outcome"))
}

// countCrashedUpstreams counts the upstreams of the service that have exited, and marks them as killed, so that their
// exit is not reported as a failure.
func (s *scenario) countCrashedUpstreams(service string) int {
	crashed := 0
	for _, u := range s.upstreams {
		if u.service == service && u.process.HasExited() {
			crashed++
			s.kill(u)
		}
	}
	return crashed
}
