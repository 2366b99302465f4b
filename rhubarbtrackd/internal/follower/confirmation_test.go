package follower_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// acknowledgements holds when each version of the configuration was acknowledged by the store.
type acknowledgements struct {
	mutex sync.Mutex
	at    map[int64]time.Duration
}

func (a *acknowledgements) record(version int64) {
	now := timer.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.at[version] = now
}

// newest returns the newest version that had been acknowledged at a time.
func (a *acknowledgements) newest(at time.Duration) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	newest := int64(0)
	for version, acknowledged := range a.at {
		if acknowledged < at {
			newest = max(newest, version)
		}
	}
	return newest
}

// faultyStore serves a store. Calls fail, hang or are delayed by turns.
type faultyStore struct {
	store http.Handler
	fault atomic.Int64
}

const (
	noFault int64 = iota
	rejects
	hangs
	delaysCalls
	delaysResponses
)

// drawFault returns a fault. Delayed responses are those by which a copy may seem newer than it is.
func drawFault() int64 {
	faults := []int64{noFault, rejects, hangs, delaysCalls, delaysResponses, delaysResponses, delaysResponses}
	return faults[rand.IntN(len(faults))]
}

func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration(rand.Int64N(int64(300 * time.Millisecond)))
	switch s.fault.Load() {
	case rejects:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hangs:
		<-r.Context().Done()
		return
	case delaysCalls:
		time.Sleep(delay)
	}
	recorder := httptest.NewRecorder()
	s.store.ServeHTTP(recorder, r)
	if s.fault.Load() == delaysResponses {
		time.Sleep(delay)
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// Guards against a configuration that counts as confirmed at a time at which the store had a newer one: a key that was taken away with
// that would work too long. One host reads the store, the other one follows it with delays.
func TestConfirmedConfigurationWasTheNewest(t *testing.T) {
	t.Parallel()
	store := simulator.NewStore()
	stores := []*faultyStore{{store: store}, {store: store}}
	ctx, cancel := context.WithCancel(context.Background())
	var followers []*follower.Follower
	for _, s := range stores {
		server := httptest.NewServer(s)
		t.Cleanup(server.CloseClientConnections)
		options := follower.Options{Store: storer.New(strings.TrimPrefix(server.URL, "http://")), Log: eventlog.New(zap.NewNop()), Now: timer.Now}
		if len(followers) == 1 {
			controller := followers[0]
			options.FetchConfiguration = func(context.Context, []byte) ([]byte, error) { return controller.Configuration(), nil }
		}
		followers = append(followers, follower.New(options))
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, f := range followers {
		group.Go(func() { f.Run(ctx) })
	}
	acknowledged := acknowledgements{at: map[int64]time.Duration{}}
	group.Go(func() {
		for version := int64(3); ctx.Err() == nil; version++ {
			configuration := simulator.ConfigurationWithAccounts(int(version), simulator.Account{Name: "a", Keys: []string{"k"}})
			if store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil) == nil {
				acknowledged.record(version)
			}
			time.Sleep(time.Duration(rand.Int64N(int64(400 * time.Millisecond))))
		}
	})
	group.Go(func() {
		for ctx.Err() == nil {
			stores[rand.IntN(2)].fault.Store(drawFault())
			time.Sleep(time.Duration(rand.Int64N(int64(700 * time.Millisecond))))
		}
	})
	group.Go(func() { relay(ctx, followers[0], followers[1]) })
	reads, confirmed := 0, map[time.Duration]bool{}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); reads++ {
		for i, f := range followers {
			at := f.ConfirmedAt(timer.Now())
			config := f.Snapshot().Config
			if config == nil {
				assert.Assert(t, timer.Now()-at > time.Hour, "an absent configuration is confirmed")
				continue
			}
			confirmed[at] = true
			newest := acknowledged.newest(at)
			assert.Assert(t, config.Version >= newest, "host %d has version %d, but %d was acknowledged before", i, config.Version, newest)
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, reads > 100 && len(confirmed) > 10, "%d reads of %d confirmations", reads, len(confirmed))
}

// relay sends what a controller sends to a host, with random delays, until ctx is done.
func relay(ctx context.Context, controller, host *follower.Follower) {
	for ctx.Err() == nil {
		change := follower.Change{Full: true, Revision: 1 << 40, MadeAt: timer.Now()}
		confirmedAt := controller.ConfirmedAt(change.MadeAt)
		if config := controller.Snapshot().Config; config != nil && controller.Direct() {
			change.Configuration = config.Version
			change.Age = timer.Now() - confirmedAt
			time.Sleep(time.Duration(rand.Int64N(int64(500 * time.Millisecond))))
			host.ApplyChange(change)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a host that counts the absence of a configuration as one that is confirmed.
func TestAbsentConfigurationIsNotConfirmed(t *testing.T) {
	store, f := newFollower(t)
	putUpstream(t, store, "a")
	eventually(t, "the upstreams were not read", func() bool { return len(f.Snapshot().Upstreams) == 1 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		now := timer.Now()
		assert.Assert(t, now-f.ConfirmedAt(now) > time.Hour)
	}
	putConfiguration(t, store, 3)
	eventually(t, "the configuration was not read, or is not confirmed", func() bool {
		now := timer.Now()
		return version(f) == 3 && now-f.ConfirmedAt(now) < time.Hour
	})
}
