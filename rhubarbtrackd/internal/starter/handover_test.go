package starter_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// slowLink is too slow for the heartbeats to two hosts, in bytes per second.
const slowLink = 2000

// maxMoveTime bounds the time in which a key has no owner because it moves while no requests run: a release and a grant, both
// answered at once. Grants that expire during a takeover leave keys without an owner for longer.
const maxMoveTime = 300 * time.Millisecond

// longestUnowned checks the owners of keys until stop is set, and returns the longest time for which a key had none.
func longestUnowned(s *system, stop *atomic.Bool) (longest time.Duration) {
	ownedAt := map[int]time.Time{}
	for ; !stop.Load(); time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		for _, key := range checkedKeys() {
			if since, known := ownedAt[key]; known {
				longest = max(longest, now.Sub(since))
			}
			if len(simulator.Holders(s.upstreams, key)) == 1 {
				ownedAt[key] = now
			}
		}
	}
	return longest
}

// Guards against a system without a controller after all hosts with a fast link have stopped, against a controller whose link
// is too slow and that keeps its role, or takes it again, although fitter hosts run, and against keys without an owner during the
// hand-over. The hand-over may be cut short: the controller is cut off from the store and from all hosts as it begins.
func TestControllerWithASlowLinkHandsOver(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cutOff bool
	}{{"planned", false}, {"cut off halfway", true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSystem(t)
			s.linkRate = slowLink
			s.startHost(t, hostCount)
			slow := s.hosts[hostCount]
			waitReady(t, slow)
			assert.Equal(t, slow.logged(eventlog.LeadershipGained), 0)
			for _, h := range s.hosts[:hostCount] {
				h.stop()
				time.Sleep(200 * time.Millisecond)
			}
			waitUntil(t, func() bool { return isController(slow) }, "the last host becomes the controller")
			waitUntil(t, func() bool {
				return !slices.ContainsFunc(checkedKeys(), func(key int) bool { return len(simulator.Holders(s.upstreams, key)) != 1 })
			}, "all keys have an owner")
			var stop atomic.Bool
			time.AfterFunc(2*time.Second, func() { stop.Store(true) })
			served := s.check(t, load([]*testHost{slow}, &stop))
			assert.Assert(t, served >= 0.95, "served %.3f", served)

			if tt.cutOff {
				hook := func(entry zapcore.Entry) {
					if entry.Message == eventlog.LeadershipHandedOver.Name {
						slow.storeUnavailable.Store(true)
						go slow.peers.cut(t, refused)
					}
				}
				slow.onLog.Store(&hook)
			}
			var watched atomic.Bool
			unowned := make(chan time.Duration, 1)
			go func() { unowned <- longestUnowned(s, &watched) }()
			s.linkRate = 0
			fast := []*testHost{}
			for i := range 2 {
				s.startHost(t, hostCount+1+i)
				fast = append(fast, s.hosts[hostCount+1+i])
			}
			waitUntil(t, func() bool { return isController(fast[0]) || isController(fast[1]) }, "a host with a fast link takes over")
			for _, h := range fast {
				waitReady(t, h)
			}
			time.Sleep(time.Second)
			watched.Store(true)
			longest := <-unowned
			assert.Assert(t, longest < maxMoveTime, "a key had no owner for %v", longest)

			stop.Store(false)
			time.AfterFunc(3*time.Second, func() { stop.Store(true) })
			served = s.check(t, load(fast, &stop))
			assert.Assert(t, served >= 0.98, "served %.3f", served)
			assert.Equal(t, slow.logged(eventlog.LeadershipHandedOver), 1)
			assert.Equal(t, slow.logged(eventlog.LeadershipGained), 1)
		})
	}
}
