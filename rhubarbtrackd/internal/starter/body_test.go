package starter_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
)

// bodyLengths are around the size up to which hosts keep a body in memory.
var bodyLengths = []int{1, 20_000, 131_071, 131_072, 131_073, 225_000, 1 << 20}

// Guards against a request that runs with another body than the caller has sent: an upload above the size that a host keeps in
// memory was sent again after a failure, without its body.
func TestRequestsRunWithTheirBodies(t *testing.T) {
	tests := []struct {
		name string
		// fail makes an upstream fail the n-th request. It is another one each time, so that no host avoids it.
		fail func(t *testing.T, s *system, n int)
	}{
		{"status 500", func(_ *testing.T, s *system, n int) { s.failWith(http.StatusInternalServerError, n) }},
		{"rejection", func(_ *testing.T, s *system, n int) { s.failWith(http.StatusServiceUnavailable, n) }},
		{"connections refused", func(t *testing.T, s *system, n int) { s.cutOne(t, refused, n) }},
		{"connections reset", func(t *testing.T, s *system, n int) { s.cutOne(t, reset, n) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var mutex sync.Mutex
			runs := map[string]simulator.Run{}
			s := newSystemWith(t, 1, 3, func(o *simulator.UpstreamOptions) {
				record := o.OnRun
				o.OnRun = func(run simulator.Run) {
					record(run)
					mutex.Lock()
					defer mutex.Unlock()
					runs[run.Attempt] = run
				}
			})
			sent, served := 0, 0
			for _, framing := range []simulator.Framing{simulator.ByLength, simulator.ByChunks} {
				for _, length := range bodyLengths {
					for range 6 {
						call := simulator.Call{
							Prefix: simulator.PlainPrefix, Name: "upload", Attempt: fmt.Sprintf("%016x", rand.Uint64()), TimeLeft: 3 * time.Second,
							Body: simulator.Body{Bytes: length, Framing: framing},
						}
						tt.fail(t, s, sent)
						sent++
						reply, err := call.Send(clientFrom(served), s.hosts[rand.IntN(len(s.hosts))].settings.CallerAddress)
						mutex.Lock()
						run, ran := runs[call.Attempt]
						mutex.Unlock()
						if ran {
							assert.Equal(t, run.Bytes, int64(length), "an upload by %s", framing)
							assert.Equal(t, run.Digest, simulator.Digest(simulator.Content(call.Attempt, length)))
						}
						if err == nil && reply.Status == http.StatusOK {
							assert.Assert(t, ran && reply.Matches)
							served++
						}
					}
				}
			}
			t.Logf("served %d of %d", served, sent)
			assert.Assert(t, served > 0)
		})
	}
}

// failWith makes one of the upstreams without keys respond with a status to all requests.
func (s *system) failWith(status, n int) {
	for i, u := range s.upstreams[1:] {
		u.SetStatus(0)
		if i == n%len(s.upstreams[1:]) {
			u.SetStatus(status)
		}
	}
}

// cutOne cuts off one of the upstreams without keys.
func (s *system) cutOne(t *testing.T, a answer, n int) {
	t.Helper()
	for i, p := range s.partitions[1:] {
		if i == n%len(s.partitions[1:]) {
			p.cut(t, a)
		} else {
			p.heal(t)
		}
	}
}
