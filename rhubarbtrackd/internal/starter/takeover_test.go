package starter_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// holdChange is a grant, or a release if until is zero.
type holdChange struct {
	upstream string
	until    time.Time
}

// waitUntil waits until condition is true.
func waitUntil(t *testing.T, condition func() bool, what string) {
	t.Helper()
	for deadline := time.Now().Add(readyWithin); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%s", what)
	}
}

// Guards against a successor that takes the keys of a finished move away from their owner, or grants them to the former one.
func TestSuccessorLeavesTheKeysOfAFinishedMoveToTheirOwner(t *testing.T) {
	var mutex sync.Mutex
	var changes []holdChange
	s := newSystemWith(t, 4, 0, func(o *simulator.UpstreamOptions) {
		o.LateGrantShare = 0
		id := o.ID
		o.OnHold = func(_, _ int, until time.Time) {
			mutex.Lock()
			defer mutex.Unlock()
			changes = append(changes, holdChange{id, until})
		}
	})
	owners := func() []string {
		var ids []string
		for _, key := range checkedKeys() {
			ids = append(ids, simulator.Holders(s.upstreams, key)...)
		}
		return ids
	}
	waitUntil(t, func() bool { return len(owners()) == len(checkedKeys()) }, "all keys have an owner")
	time.Sleep(time.Second) // until all hosts follow the controller
	controller := s.hosts[slices.IndexFunc(s.hosts, isController)]
	tables := controller.logged(eventlog.TableCommitted)
	s.upstreams[0].Drain()
	waitUntil(t, func() bool { return controller.logged(eventlog.TableCommitted) > tables }, "the moves are written")
	controller.storeUnavailable.Store(true) // the end of the moves is not written
	waitUntil(t, func() bool { return !slices.Contains(owners(), "u0") }, "the moves have ended")
	time.Sleep(200 * time.Millisecond)
	before := owners()
	assert.Equal(t, len(before), len(checkedKeys()))
	mutex.Lock()
	changes = nil
	mutex.Unlock()
	waitUntil(t, func() bool {
		return slices.ContainsFunc(s.hosts, func(h *testHost) bool { return h != controller && isController(h) })
	}, "another host becomes the controller")
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.DeepEqual(t, owners(), before)
	}
	mutex.Lock()
	defer mutex.Unlock()
	for _, c := range changes {
		isRelease := c.until.IsZero()
		assert.Assert(t, isRelease == (c.upstream == "u0"), "%+v", c)
	}
}

// Guards against hosts that get the full copy of the store from each new controller, although they have it.
func TestRelayResumesAfterATakeover(t *testing.T) {
	s := newSystem(t)
	time.Sleep(time.Second) // until all hosts follow the controller
	i := slices.IndexFunc(s.hosts, isController)
	s.hosts[i].stop()
	var followers []*testHost
	waitUntil(t, func() bool {
		followers = slices.DeleteFunc(slices.Clone(s.hosts), isController)
		return len(followers) == hostCount-2
	}, "another host becomes the controller")
	for _, h := range followers {
		waitUntil(t, func() bool { return h.logged(eventlog.RelayResumed) > 0 }, "the host resumes the relay")
	}
}
