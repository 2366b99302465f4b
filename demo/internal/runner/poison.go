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
	mark = "poison"
	// poisonLength is the time during which the caller of the marked request sends it again.
	poisonLength   = 7 * time.Second
	poisonInterval = 100 * time.Millisecond
	poisonTimeout  = 2 * time.Second
	// mostLost is the number of upstreams after which a request that crashes them is refused (section 8 of docs/design.md).
	mostLost = 2
)

// poison sends a request that crashes its upstream to each service, again and again through all entries. The method PUT is
// idempotent by the rules, so that the router may repeat the request as well.
func poison(ctx context.Context, s *scenario) error {
	if err := s.waitUntil(ctx, faultAt); err != nil {
		return err
	}
	for _, u := range s.upstreams {
		if err := injector.SetUpstream(ctx, u.address, injector.Upstream{CrashMark: mark}); err != nil {
			return err
		}
	}
	for i, service := range []string{keyedService, unkeyedService} {
		if err := s.waitUntil(ctx, faultAt+time.Duration(i)*(poisonLength+time.Second)); err != nil {
			return err
		}
		s.sendMarked(ctx, service)
		lost := s.lostUpstreams(service)
		if lost == 0 {
			return errors.Newf("the marked request crashed no upstream of %s", service)
		}
		s.extra = append(s.extra, limit{name: "upstreams-lost-" + service, measured: float64(lost), bound: mostLost})
	}
	s.judge = s.judgeUnknown
	return nil
}

// judgeUnknown bounds the other requests of unknown outcome by those that were in flight at an upstream that crashed.
func (s *scenario) judgeUnknown(result *summary, _ []checker.Execution) {
	for _, loaded := range result.services {
		s.extra = append(s.extra, limit{
			name: "unknown-requests-" + loaded.service, measured: float64(loaded.result.Unknown), bound: mostLost * slots,
		})
	}
}

func (s *scenario) sendMarked(ctx context.Context, service string) {
	client := &http.Client{Timeout: poisonTimeout}
	defer client.CloseIdleConnections()
	entries := s.entries(nil)
	outcomes := map[string]int{}
	last := ""
	for n, begun := 0, time.Now(); time.Since(begun) < poisonLength; n++ {
		last = sendMarkedOnce(ctx, client, entries[n%len(entries)], service)
		outcomes[last]++
		if pause(ctx, poisonInterval) != nil {
			return
		}
	}
	s.say("marked request to %s: outcomes %v, the last one %q", service, outcomes, last)
}

// sendMarkedOnce returns the status and outcome that the caller sees.
func sendMarkedOnce(ctx context.Context, client *http.Client, entry, service string) string {
	url := fmt.Sprintf("http://%s/%s/marked", entry, service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(mark))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Demo-Mark", mark)
	if service == keyedService {
		request.Header.Set("Rhubarbtrack-Key", "marked")
	}
	answer, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
	return fmt.Sprintf("%d %s", answer.StatusCode, answer.Header.Get("Rhubarbtrack-Outcome"))
}

// lostUpstreams counts the upstreams of the service that ended, and takes their end as expected from then on.
func (s *scenario) lostUpstreams(service string) int {
	lost := 0
	for _, u := range s.upstreams {
		if u.service == service && u.process.HasExited() {
			lost++
			s.kill(u)
		}
	}
	return lost
}
