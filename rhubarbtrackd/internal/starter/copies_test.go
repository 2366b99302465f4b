package starter_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
)

// roundPause is the time from one round of copies to the next. All upstreams are back by then.
const roundPause = 4 * time.Second

// sendCopies sends copies of a request to one host after the other, and returns their responses. Without a response, the status is 0.
func (s *system) sendCopies(name string, copies int, apart time.Duration, prefix string) (replies []simulator.Reply, attempts []string) {
	replies = make([]simulator.Reply, copies)
	var group sync.WaitGroup
	for i := range copies {
		call := simulator.Call{Prefix: prefix, Name: name, Attempt: fmt.Sprintf("%016x", rand.Uint64()), TimeLeft: 3 * time.Second}
		attempts = append(attempts, call.Attempt)
		group.Go(func() {
			time.Sleep(time.Duration(i) * apart)
			replies[i], _ = call.Send(clientFrom(i), s.hosts[i%len(s.hosts)].settings.CallerAddress)
		})
	}
	group.Wait()
	return replies, attempts
}

// statusAfterRetries returns the status of a request that is sent to a host, and again for a while if it could not be sent to an
// upstream. That is too short for a block to end.
func (s *system) statusAfterRetries(host int, name string) int {
	status := 0
	for range 5 {
		call := simulator.Call{Prefix: simulator.PlainPrefix, Name: name, Attempt: fmt.Sprintf("%016x", rand.Uint64()), TimeLeft: 3 * time.Second}
		reply, err := call.Send(clientFrom(host), s.hosts[host].settings.CallerAddress)
		if status = reply.Status; err == nil && status != http.StatusServiceUnavailable {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// Guards against a request that crashes nearly all upstreams before it is blocked, because copies of it run at the same time.
func TestCopiesOfARequestThatCrashesUpstreamsAreBlocked(t *testing.T) {
	for _, tt := range []struct {
		copies int
		apart  time.Duration
	}{{2, 0}, {3, 0}, {4, 0}, {4, 10 * time.Millisecond}, {4, 30 * time.Millisecond}, {8, 0}} {
		t.Run(fmt.Sprintf("%d copies, %v apart", tt.copies, tt.apart), func(t *testing.T) {
			t.Parallel()
			s := newSystemWith(t, 4, 18)
			time.Sleep(time.Second) // until all hosts follow the controller
			crash := &crashLoad{prefix: simulator.PlainPrefix}
			var stop atomic.Bool
			var group sync.WaitGroup
			group.Go(func() {
				defer stop.Store(true)
				for range 3 {
					_, attempts := s.sendCopies(simulator.CrashName, tt.copies, tt.apart, simulator.PlainPrefix)
					crash.attempts = append(crash.attempts, attempts...)
					time.Sleep(roundPause)
				}
			})
			served := runCallers(s, numberedCall, &stop)
			group.Wait()
			t.Logf("served %.3f", served)
			crash.checkBlocked(t, s)
		})
	}
}

// Guards against the block of a request of which copies run at several upstreams that fail together.
func TestCopiesOfAHarmlessRequestAreServedAfterUpstreamsFailTogether(t *testing.T) {
	const (
		copies  = 4
		failing = 6
	)
	for _, tt := range []struct {
		name string
		next func(n int) simulator.Call // of the other requests
	}{{"beside different requests", numberedCall}, {"beside one that is sent often", func(int) simulator.Call { return popularCall() }}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystemWith(t, 4, 18, func(o *simulator.UpstreamOptions) { o.WorkTime = 200 * time.Millisecond })
			time.Sleep(time.Second)
			var stop atomic.Bool
			var group sync.WaitGroup
			group.Go(func() {
				defer stop.Store(true)
				for round := range 5 {
					var replies []simulator.Reply
					var inFlight sync.WaitGroup
					inFlight.Go(func() { replies, _ = s.sendCopies("harmless", copies, 0, simulator.PlainPrefix) })
					time.Sleep(100 * time.Millisecond)
					s.crashUpstreams(rand.Perm(18)[:failing]...)
					inFlight.Wait()
					for i := range s.hosts {
						status := s.statusAfterRetries(i, "harmless")
						assert.Check(t, status == http.StatusOK, "round %d, host %d: status %d", round, i, status)
					}
					t.Logf("round %d: %+v", round, replies)
					time.Sleep(roundPause)
				}
			})
			served := runCallers(s, tt.next, &stop)
			group.Wait()
			t.Logf("served %.3f, %d blocks", served, s.blocked())
			assert.Equal(t, s.blocked(), 0)
		})
	}
}
